//! The fill scheduler: the active fills of one kind, and the threads that run their attempts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use dunepond_settlement::{Fill, FillPlanner, FillProgress, FillRetryPolicy, LinkCapacities, StartedFill};
use rand_pcg::Pcg64Mcg;

use super::sources::AvoidedSources;
use crate::error::FillError;
use crate::fill_client::{FillClient, FillRequest, FillResult};

/// Time between two reviews of the required fills.
const REVIEW_INTERVAL_SECONDS: f64 = 0.1;
/// Maximum time that a request to the fill service waits for its response. If a fill takes longer, it is requested
/// again, and the fill service continues it.
const MAX_REQUEST_SECONDS: f64 = 600.0;

/// The kind of fills that a scheduler plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillKind {
    /// Fills that the proposed configuration version requires, planned by the leader.
    Version,
    /// Fills of replicas that this broker is responsible for, on nodes in slow start. Planned with or without a valid
    /// lease.
    Own,
}

/// The result of one attempt, sent by its thread to the control loop.
pub struct AttemptResult {
    pub(super) kind: FillKind,
    /// Id of the fill.
    pub(super) id: String,
    /// The fill service's result, or why the attempt failed.
    pub(super) outcome: Result<FillResult, FillError>,
}

/// A planned fill that has not ended yet.
pub(super) struct ActiveFill {
    /// State of the attempts and their back-off.
    pub(super) progress: FillProgress,
    /// Whether a thread is waiting for the fill service's response.
    pub(super) attempt_running: bool,
    /// The fill service's result, once the fill is done.
    pub(super) result: Option<FillResult>,
    /// When the log entry for the fill's start is proposed next, unless the log has the entry by then.
    pub(super) next_start_entry_at: f64,
    /// When the log entry for the fill's completion is proposed next, unless the log has the entry by then.
    pub(super) next_completion_entry_at: f64,
    /// Whether the fill's settlement was refused permanently, so that all bytes of the fill are a new debt.
    pub(super) settlement_refused: bool,
}

impl ActiveFill {
    fn new(fill: Fill, retry_policy: FillRetryPolicy, now: f64) -> Self {
        Self {
            progress: FillProgress::new(fill, retry_policy, now),
            attempt_running: false,
            result: None,
            next_start_entry_at: 0.0,
            next_completion_entry_at: 0.0,
            settlement_refused: false,
        }
    }
}

/// Identifies a fill that a leader has started. The key includes the source's partner, as the same fill may be started
/// again from another partner's node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StartedFillKey {
    /// Id of the fill.
    pub(super) id: String,
    /// Name of the partner whose node is the source.
    pub(super) source_partner: String,
}

impl From<&StartedFill> for StartedFillKey {
    fn from(started: &StartedFill) -> Self {
        Self { id: started.id.clone(), source_partner: started.from.clone() }
    }
}

/// The client of the fill service, and the channel for the results of attempts.
#[derive(Clone)]
pub struct FillService {
    /// Client of the fill service; `None` if the deployment has none, and then no fills are planned.
    pub client: Option<Arc<dyn FillClient>>,
    /// Sends the results of attempts to the control loop.
    pub results: Sender<AttemptResult>,
}

impl FillService {
    /// Runs one attempt on a new thread, which sends the result over the channel.
    fn start_attempt(&self, kind: FillKind, request: FillRequest, timeout: Duration) {
        let Some(client) = self.client.clone() else { return };
        let (results, id) = (self.results.clone(), request.id.clone());
        let run = move || {
            let outcome = client.fill(&request, timeout);
            let _ = results.send(AttemptResult { kind, id: request.id, outcome });
        };
        if let Err(e) = std::thread::Builder::new().name("fill".to_string()).spawn(run) {
            let at = "the configured address".to_string();
            let why = format!("no thread could be started for the attempt: {e}");
            let outcome = Err(FillError::Unreachable { at, why });
            let _ = self.results.send(AttemptResult { kind, id, outcome });
        }
    }
}

/// Limits of a scheduler's fills.
pub struct FillLimits {
    /// Maximum rates of fills between partners.
    pub links: LinkCapacities,
    /// Assumed size of each segment, in bytes.
    pub segment_bytes: u64,
    /// Maximum number of concurrent attempts.
    pub max_concurrent: usize,
}

/// Plans fills of one kind and runs their attempts.
pub struct FillScheduler {
    kind: FillKind,
    service: FillService,
    retry_policy: FillRetryPolicy,
    pub limits: FillLimits,
    pub(super) planner: FillPlanner,
    pub(super) rng: Pcg64Mcg,
    /// Number of the configuration version that requires the active fills; 0 for own fills.
    pub(super) version: u64,
    /// Planned fills that have not ended yet, by id.
    pub(super) active: BTreeMap<String, ActiveFill>,
    pub(super) avoided_sources: AvoidedSources,
    /// When the next review of the required fills is due.
    pub(super) next_review_at: f64,
    /// Whether this broker led at the last review. If so, the fills of the previous leader are already resumed.
    pub(super) is_leading: bool,
    /// When this broker first saw each started fill in the log, in seconds on the monotonic clock.
    pub(super) first_seen_at: BTreeMap<StartedFillKey, f64>,
}

impl FillScheduler {
    /// Creates a scheduler without active fills.
    pub fn new(
        kind: FillKind,
        service: FillService,
        retry_policy: FillRetryPolicy,
        limits: FillLimits,
        planner: FillPlanner,
        rng: Pcg64Mcg,
    ) -> Self {
        Self {
            kind,
            service,
            retry_policy,
            limits,
            planner,
            rng,
            version: 0,
            active: BTreeMap::new(),
            avoided_sources: AvoidedSources::default(),
            next_review_at: 0.0,
            is_leading: false,
            first_seen_at: BTreeMap::new(),
        }
    }

    /// Whether a review of the required fills is due. If so, schedules the next review after
    /// [`REVIEW_INTERVAL_SECONDS`]. Never due without a fill service.
    pub(super) fn start_review(&mut self, now: f64) -> bool {
        if now < self.next_review_at || self.service.client.is_none() {
            return false;
        }
        self.next_review_at = now + REVIEW_INTERVAL_SECONDS;
        true
    }

    /// Drops all active fills. Called when the proposed version has changed, and when this broker no longer leads or no
    /// version with a map is proposed.
    pub(super) fn abandon_all(&mut self) {
        for (id, _) in std::mem::take(&mut self.active) {
            self.planner.fill_ended(&id, false);
        }
        self.is_leading = false;
    }

    /// Adds a planned fill to the active ones.
    pub(super) fn activate(&mut self, fill: Fill, now: f64) {
        let id = fill.id.clone();
        self.active.insert(id, ActiveFill::new(fill, self.retry_policy.clone(), now));
    }

    /// Resumes fills that were started before a restart or by the previous leader, and may still be running. They keep
    /// their ids.
    pub fn resume(&mut self, fills: impl IntoIterator<Item = Fill>, now: f64) {
        for fill in fills {
            self.planner.resume(&fill, now, true);
            if !self.active.contains_key(&fill.id) {
                self.activate(fill, now);
            }
        }
    }

    /// Whether an active fill will settle a part of the debt of `debtor` to `creditor`.
    pub fn settles(&self, debtor: &str, creditor: &str) -> bool {
        let settlements = self.active.values().filter_map(|active| active.progress.fill.settles.as_ref());
        settlements
            .into_iter()
            .any(|settlement| settlement.debtor == debtor && settlement.creditor == creditor)
    }

    /// Starts an attempt of the fill. The request to the fill service times out together with the attempt, but at the
    /// latest after [`MAX_REQUEST_SECONDS`], as it occupies a thread and a connection.
    pub(super) fn start_attempt(&self, fill: &Fill) {
        let request = FillRequest {
            id: fill.id.clone(),
            segment: fill.segment,
            node: fill.node.clone(),
            source: fill.source.clone(),
            bytes: fill.bytes,
            bytes_per_second: fill.rate as u64,
        };
        let attempt_seconds = self.retry_policy.attempt_timeout_seconds(fill);
        let timeout = Duration::from_secs_f64(attempt_seconds.min(MAX_REQUEST_SECONDS));
        self.service.start_attempt(self.kind, request, timeout);
    }
}
