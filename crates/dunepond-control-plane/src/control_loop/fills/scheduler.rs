//! A scheduler of fills: what is active, and the threads that run attempts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use dunepond_settlement::{Fill, FillPlanner, FillProgress, FillRetryPolicy, LinkCapacities, StartedFill};
use rand_pcg::Pcg64Mcg;

use super::sources::AvoidedSources;
use crate::error::FillError;
use crate::fill_client::{FillClient, FillRequest, FillResult};

/// Seconds between two reviews of what has to be filled.
const REVIEW_INTERVAL_SECONDS: f64 = 0.1;
/// Longest that one request to the fill service waits for its answer. A fill service that takes longer is asked again and
/// continues where it was.
const MAX_REQUEST_SECONDS: f64 = 600.0;

/// What a scheduler's fills are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillKind {
    /// For the proposed version, where this broker leads.
    Version,
    /// For replicas on nodes in slow start that this broker is responsible for, with a lease or without.
    Own,
}

/// The end of one attempt, from its thread to the control loop.
pub struct AttemptResult {
    pub(super) kind: FillKind,
    /// Id of the fill.
    pub(super) id: String,
    /// What the fill service reported.
    pub(super) outcome: Result<FillResult, FillError>,
}

/// A fill that was planned and is not over.
pub(super) struct ActiveFill {
    /// State of the attempts and their backoff.
    pub(super) progress: FillProgress,
    /// A thread is waiting for the fill service.
    pub(super) attempt_running: bool,
    /// What the fill service reported, once the fill is done.
    pub(super) result: Option<FillResult>,
    /// When its start is entered into the log again, unless the log has it by then.
    pub(super) next_start_entry_at: f64,
    /// When its completion is entered into the log again, unless the log has it by then.
    pub(super) next_completion_entry_at: f64,
    /// The log takes no settlement of it: all of its bytes are a new debt.
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

/// A fill that a leader has started. The same fill may be started again from another partner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StartedFillKey {
    /// Id of the fill.
    pub(super) id: String,
    pub(super) source_partner: String,
}

impl From<&StartedFill> for StartedFillKey {
    fn from(started: &StartedFill) -> Self {
        Self { id: started.id.clone(), source_partner: started.from.clone() }
    }
}

/// The fill service, and where its results go.
#[derive(Clone)]
pub struct FillService {
    /// `None` where the deployment has no fill service: nothing is planned then.
    pub client: Option<Arc<dyn FillClient>>,
    /// To the control loop.
    pub results: Sender<AttemptResult>,
}

impl FillService {
    /// Runs one attempt on a thread of its own; the result comes over the channel.
    fn start_attempt(&self, kind: FillKind, request: FillRequest, timeout: Duration) {
        let Some(client) = self.client.clone() else { return };
        let (results, id) = (self.results.clone(), request.id.clone());
        let run = move || {
            let outcome = client.fill(&request, timeout);
            let _ = results.send(AttemptResult { kind, id: request.id, outcome });
        };
        if let Err(e) = std::thread::Builder::new().name("fill".to_string()).spawn(run) {
            let at = "a thread of ours".to_string();
            let outcome = Err(FillError::Unreachable { at, why: e.to_string() });
            let _ = self.results.send(AttemptResult { kind, id, outcome });
        }
    }
}

/// What bounds a scheduler's fills.
pub struct FillLimits {
    /// Rates between partners.
    pub links: LinkCapacities,
    /// Size that each segment is taken to have.
    pub segment_bytes: u64,
    /// Attempts that run at once.
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
    /// Number of the version that the active fills are for.
    pub(super) version: u64,
    /// Fills that are planned and not over, by id.
    pub(super) active: BTreeMap<String, ActiveFill>,
    pub(super) avoided_sources: AvoidedSources,
    pub(super) next_review_at: f64,
    /// Whether the fills that the previous leader started were resumed.
    pub(super) is_leading: bool,
    /// When this broker first saw that a leader had started a fill.
    pub(super) first_seen_at: BTreeMap<StartedFillKey, f64>,
}

impl FillScheduler {
    /// A scheduler without active fills.
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

    /// Whether a review is due; the next one is due after the interval.
    pub(super) fn start_review(&mut self, now: f64) -> bool {
        if now < self.next_review_at || self.service.client.is_none() {
            return false;
        }
        self.next_review_at = now + REVIEW_INTERVAL_SECONDS;
        true
    }

    /// The version or the leader has changed: the active fills are not this broker's any more.
    pub(super) fn abandon_all(&mut self) {
        for (id, _) in std::mem::take(&mut self.active) {
            self.planner.fill_ended(&id, false);
        }
        self.is_leading = false;
    }

    /// Adds a planned fill.
    pub(super) fn activate(&mut self, fill: Fill, now: f64) {
        let id = fill.id.clone();
        self.active.insert(id, ActiveFill::new(fill, self.retry_policy.clone(), now));
    }

    /// Resumes fills that may be running since before a restart or under the previous leader, with the same ids.
    pub fn resume(&mut self, fills: impl IntoIterator<Item = Fill>, now: f64) {
        for fill in fills {
            self.planner.resume(&fill, now, true);
            if !self.active.contains_key(&fill.id) {
                self.activate(fill, now);
            }
        }
    }

    /// Whether an active fill is to pay off this debt.
    pub fn settles(&self, debtor: &str, creditor: &str) -> bool {
        let settlements = self.active.values().filter_map(|active| active.progress.fill.settles.as_ref());
        settlements.into_iter().any(|it| it.debtor == debtor && it.creditor == creditor)
    }

    /// Starts an attempt. Its request waits as long as the state machine allows the attempt, but at most
    /// [`MAX_REQUEST_SECONDS`], as it holds a thread and a connection.
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
