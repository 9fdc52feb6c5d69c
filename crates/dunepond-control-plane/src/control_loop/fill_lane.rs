//! A lane of fills: what is under way, and the threads that carry attempts out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use dunepond_settlement::{Fill, FillPlanner, FillProgress, FillRetryPolicy, LinkCapacities};
use rand_pcg::Pcg64Mcg;

use super::fill_sources::AvoidedSources;
use crate::error::FillError;
use crate::fill_client::{self, FillClient, FillResult};

/// Longest that one attempt may take; a slower fill service is asked again and goes on where it was.
const MAX_ATTEMPT_SECONDS: f64 = 600.0;

/// Whose fills they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Of the proposed version, where this broker leads.
    Version,
    /// Of cold holders that fall to this broker, with a lease or without.
    Own,
}

/// The end of one attempt.
pub struct FillEnded {
    pub(super) lane: Lane,
    pub(super) id: String,
    pub(super) outcome: Result<FillResult, FillError>,
}

/// A fill under way, with the fill service's result once it is done.
pub(super) struct ActiveFill {
    pub(super) progress: FillProgress,
    pub(super) attempt_running: bool,
    pub(super) result: Option<FillResult>,
    /// When it is entered again, as begun and as done, unless the log has it by then.
    pub(super) enter_begun_at: f64,
    pub(super) enter_done_at: f64,
    /// The log takes no settlement of it: all of it is a new debt.
    pub(super) settlement_refused: bool,
}

impl ActiveFill {
    pub(super) fn new(fill: Fill, patience: FillRetryPolicy, now: f64) -> Self {
        let progress = FillProgress::new(fill, patience, now);
        Self {
            progress,
            attempt_running: false,
            result: None,
            enter_begun_at: 0.0,
            enter_done_at: 0.0,
            settlement_refused: false,
        }
    }
}

pub struct FillLane {
    pub(super) lane: Lane,
    pub client: Option<Arc<dyn FillClient>>,
    pub ended: Sender<FillEnded>,
    pub planner: FillPlanner,
    pub links: LinkCapacities,
    pub patience: FillRetryPolicy,
    /// Size of a segment in bytes.
    pub segment_bytes: u64,
    pub max_concurrent: usize,
    pub rng: Pcg64Mcg,
    /// For which version, and by id.
    pub(super) version: u64,
    pub(super) active: BTreeMap<String, ActiveFill>,
    pub(super) avoided: AvoidedSources,
    pub(super) next_review_at: f64,
    pub(super) is_leading: bool,
    /// When this broker first saw that a leader began a fill, by id and the source's partner.
    pub(super) begun_at: BTreeMap<(String, String), f64>,
}

impl FillLane {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        lane: Lane,
        client: Option<Arc<dyn FillClient>>,
        ended: Sender<FillEnded>,
        planner: FillPlanner,
        links: LinkCapacities,
        patience: FillRetryPolicy,
        segment_bytes: u64,
        max_concurrent: usize,
        rng: Pcg64Mcg,
    ) -> Self {
        let (version, active, next_review_at, is_leading) = (0, BTreeMap::new(), 0.0, false);
        let (begun_at, avoided) = (BTreeMap::new(), AvoidedSources::default());
        Self {
            lane,
            client,
            ended,
            planner,
            links,
            patience,
            segment_bytes,
            max_concurrent,
            rng,
            version,
            active,
            avoided,
            next_review_at,
            is_leading,
            begun_at,
        }
    }

    /// The version or the leader has changed: the fills under way are not this broker's any more.
    pub(super) fn abandon_all(&mut self) {
        for (id, _) in std::mem::take(&mut self.active) {
            self.planner.fill_ended(&id, false);
        }
        self.is_leading = false;
    }

    /// Resumes fills that may be under way from before the start or under the previous leader, with the same ids.
    pub fn resume(&mut self, fills: impl IntoIterator<Item = Fill>, now: f64) {
        for fill in fills {
            self.planner.resume(&fill, now, true);
            let under = ActiveFill::new(fill, self.patience.clone(), now);
            self.active.entry(under.progress.fill.id.clone()).or_insert(under);
        }
    }

    /// Whether a fill under way is to settle of this debt.
    pub fn settles(&self, debtor: &str, creditor: &str) -> bool {
        let planned = self.active.values().filter_map(|under| under.progress.fill.settles.as_ref());
        planned.into_iter().any(|it| it.debtor == debtor && it.creditor == creditor)
    }

    pub(super) fn start_attempt(&self, fill: &Fill) {
        let Some(filler) = self.client.clone() else { return };
        let order = fill_client::FillRequest {
            id: fill.id.clone(),
            segment: fill.segment,
            holder: fill.holder.clone(),
            source: fill.source.clone(),
            bytes: fill.bytes,
            rate: fill.rate as u64,
        };
        let (ended, lane) = (self.ended.clone(), self.lane);
        let within = Duration::from_secs_f64(
            (fill.duration_seconds() * self.patience.factor).clamp(5.0, MAX_ATTEMPT_SECONDS),
        );
        let run = move || {
            let outcome = filler.fill(&order, within);
            let _ = ended.send(FillEnded { lane, id: order.id, outcome });
        };
        if let Err(e) = std::thread::Builder::new().name("fill".to_string()).spawn(run) {
            let why = e.to_string();
            let outcome = Err(FillError::Unreachable { at: "a thread of ours".to_string(), why });
            let _ = self.ended.send(FillEnded { lane, id: fill.id.clone(), outcome });
        }
    }
}
