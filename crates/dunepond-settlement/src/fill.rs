//! One fill, from its plan to its end: a state machine that takes events and returns actions.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{Settlement, SettlementError};

/// Limits the exponent of the backoff, which is capped long before.
const MAX_DOUBLINGS: u32 = 30;

/// Fills a node from one source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fill {
    /// `VERSION/SEGMENT/NODE`: the same demand has the same id, whoever plans it and however often.
    pub id: String,
    /// Id of the segment.
    pub segment: u64,
    /// Node to fill.
    pub holder: String,
    /// Node to fill it from.
    pub source: String,
    /// Partner of the source.
    pub from: String,
    /// Partner of the filled node.
    pub to: String,
    /// Size of the segment.
    pub bytes: u64,
    /// Bytes a second, at most.
    pub rate: f64,
    /// What it pays off, to be proposed when it is complete. Only the rest of `bytes` counts as carried.
    pub settles: Option<Settlement>,
}

impl Fill {
    /// Id of the fill of a demand.
    pub fn id_of(version: u64, segment: u64, holder: &str) -> String {
        format!("{version}/{segment}/{holder}")
    }

    /// Bytes that are a new debt of `to` towards `from`, for [`crate::LocalCounts::record`] when the fill is complete.
    pub fn unsettled_bytes(&self) -> u64 {
        self.bytes - self.settles.as_ref().map_or(0, |settlement| settlement.bytes.min(self.bytes))
    }

    /// At its rate.
    pub fn duration_seconds(&self) -> f64 {
        self.bytes as f64 / self.rate
    }
}

/// How often a fill is attempted, and how long it may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillRetryPolicy {
    /// Seconds from its plan after which the fill is withdrawn.
    pub deadline: f64,
    /// Timeout of an attempt, as a multiple of its duration at the planned rate.
    pub factor: f64,
    /// Minimum timeout of an attempt, in seconds.
    pub least: f64,
    /// Backoff before the second attempt, in seconds; doubled with each further one, half of it random.
    pub pause: f64,
    /// Maximum backoff, in seconds.
    pub longest: f64,
    /// Maximum number of attempts.
    pub tries: u32,
}

impl Default for FillRetryPolicy {
    fn default() -> FillRetryPolicy {
        FillRetryPolicy { deadline: 3600.0, factor: 2.0, least: 5.0, pause: 1.0, longest: 60.0, tries: 8 }
    }
}

/// Where a fill is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FillState {
    /// Waits for its next attempt.
    Planned {
        /// The attempt does not start before.
        not_before: f64,
    },
    /// An attempt is running.
    UnderWay {
        /// The attempt times out then.
        until: f64,
    },
    /// The node is filled.
    Done,
    /// All attempts failed; another source may be planned.
    Failed {
        /// Of the last attempt.
        why: String,
    },
    /// The fill is not required any more.
    Withdrawn {
        /// For the log.
        why: String,
    },
}

impl FillState {
    /// For messages.
    pub fn name(&self) -> &'static str {
        match self {
            FillState::Planned { .. } => "planned",
            FillState::UnderWay { .. } => "under way",
            FillState::Done => "done",
            FillState::Failed { .. } => "failed",
            FillState::Withdrawn { .. } => "withdrawn",
        }
    }

    /// No event changes it any more.
    pub fn is_final(&self) -> bool {
        !matches!(self, FillState::Planned { .. } | FillState::UnderWay { .. })
    }
}

/// What the fill service reported, or the consensus log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FillEvent {
    /// The node is filled.
    Done,
    /// The attempt failed.
    Failed {
        /// As the fill service reported.
        why: String,
    },
    /// The version that requires it is withdrawn, or the fill planned again.
    Withdrawn {
        /// For the log.
        why: String,
    },
}

impl FillEvent {
    fn name(&self) -> &'static str {
        match self {
            FillEvent::Done => "done",
            FillEvent::Failed { .. } => "failed",
            FillEvent::Withdrawn { .. } => "withdrawn",
        }
    }
}

/// What the host has to do now.
#[derive(Clone, Debug, PartialEq)]
pub enum FillAction {
    /// Start an attempt.
    Begin(Fill),
    /// Stop the attempt, if the fill service can.
    Stop(Fill),
    /// Propose that the node is filled, and the settlement if there is one; again until the log has both.
    Propose(Fill),
    /// Its capacity at link and node is free ([`crate::FillPlanner::fill_ended`]).
    Free(Fill),
}

/// A fill and its progress. Stored as it is; after a crash [`FillProgress::resume`] continues from there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillProgress {
    /// As planned.
    pub fill: Fill,
    retry_policy: FillRetryPolicy,
    state: FillState,
    /// Attempts that were started.
    attempts: u32,
    /// On the monotonic clock.
    deadline: f64,
}

impl FillProgress {
    /// Planned at `now`.
    pub fn new(fill: Fill, retry_policy: FillRetryPolicy, now: f64) -> FillProgress {
        let deadline = now + retry_policy.deadline;
        FillProgress {
            fill,
            retry_policy,
            state: FillState::Planned { not_before: now },
            attempts: 0,
            deadline,
        }
    }

    /// Where it is.
    pub fn state(&self) -> &FillState {
        &self.state
    }

    /// Attempts that were started.
    pub fn tries(&self) -> u32 {
        self.attempts
    }

    /// After a crash. A running attempt may be complete or not: it is started again under the same id, which a fill service
    /// answers at once if the node is filled. A complete fill is proposed again; the ledger recognises its id.
    pub fn resume(&mut self, now: f64) -> Vec<FillAction> {
        match self.state {
            FillState::UnderWay { .. } => {
                self.attempts = self.attempts.saturating_sub(1);
                self.state = FillState::Planned { not_before: now };
                Vec::new()
            }
            FillState::Done => vec![FillAction::Propose(self.fill.clone())],
            _ => Vec::new(),
        }
    }

    /// When [`FillProgress::tick`] has something to do; `None` once it is final.
    pub fn next_tick_at(&self) -> Option<f64> {
        match self.state {
            FillState::Planned { not_before } => Some(not_before.min(self.deadline)),
            FillState::UnderWay { until } => Some(until.min(self.deadline)),
            _ => None,
        }
    }

    /// Starts an attempt, or times it out.
    pub fn tick(&mut self, now: f64, rng: &mut impl Rng) -> Vec<FillAction> {
        if !self.state.is_final() && now >= self.deadline {
            return self.withdraw("its deadline has passed".to_string());
        }
        match self.state {
            FillState::Planned { not_before } if now >= not_before => {
                self.attempts += 1;
                let policy = &self.retry_policy;
                let timeout = (self.fill.duration_seconds() * policy.factor).max(policy.least);
                self.state = FillState::UnderWay { until: now + timeout };
                vec![FillAction::Begin(self.fill.clone())]
            }
            FillState::UnderWay { until } if now >= until => {
                let mut actions = vec![FillAction::Stop(self.fill.clone())];
                actions.extend(self.failed(now, "no answer in time".to_string(), rng));
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Takes an event. `Done` counts at any time before the end, also of an attempt that timed out: the node is filled.
    ///
    /// # Errors
    /// The event is impossible in this state.
    pub fn handle_event(
        &mut self,
        now: f64,
        event: FillEvent,
        rng: &mut impl Rng,
    ) -> Result<Vec<FillAction>, SettlementError> {
        match (&self.state, event) {
            (FillState::Planned { .. } | FillState::UnderWay { .. }, FillEvent::Done)
                if self.attempts > 0 =>
            {
                self.state = FillState::Done;
                Ok(vec![FillAction::Free(self.fill.clone()), FillAction::Propose(self.fill.clone())])
            }
            (FillState::UnderWay { .. }, FillEvent::Failed { why }) => Ok(self.failed(now, why, rng)),
            (FillState::Planned { .. } | FillState::UnderWay { .. }, FillEvent::Withdrawn { why }) => {
                Ok(self.withdraw(why))
            }
            // Duplicates.
            (FillState::Done, FillEvent::Done) => Ok(Vec::new()),
            (FillState::Withdrawn { .. }, FillEvent::Withdrawn { .. }) => Ok(Vec::new()),
            (state, event) => {
                let (state, event) = (state.name(), event.name());
                Err(SettlementError::Step { fill: self.fill.id.clone(), state, event })
            }
        }
    }

    fn withdraw(&mut self, why: String) -> Vec<FillAction> {
        let begun = matches!(self.state, FillState::UnderWay { .. });
        self.state = FillState::Withdrawn { why };
        let stop = begun.then(|| FillAction::Stop(self.fill.clone()));
        stop.into_iter().chain([FillAction::Free(self.fill.clone())]).collect()
    }

    fn failed(&mut self, now: f64, why: String, rng: &mut impl Rng) -> Vec<FillAction> {
        if self.attempts >= self.retry_policy.tries {
            self.state = FillState::Failed { why };
            return vec![FillAction::Free(self.fill.clone())];
        }
        let doublings = self.attempts.saturating_sub(1).min(MAX_DOUBLINGS) as i32;
        let doubled = self.retry_policy.pause * 2f64.powi(doublings);
        let backoff = doubled.min(self.retry_policy.longest) * (0.5 + 0.5 * rng.random::<f64>());
        self.state = FillState::Planned { not_before: now + backoff };
        Vec::new()
    }
}
