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
    #[serde(rename = "holder")]
    pub node: String,
    /// Node to fill it from.
    pub source: String,
    /// Partner of the source.
    pub from: String,
    /// Partner of the filled node.
    pub to: String,
    /// Size of the segment.
    pub bytes: u64,
    /// Highest rate, in bytes a second.
    pub rate: f64,
    /// What it pays off, to be proposed when it is complete. Only the rest of `bytes` counts as carried.
    pub settles: Option<Settlement>,
}

impl Fill {
    /// Id of the fill of a demand.
    pub fn id_of(version: u64, segment: u64, node: &str) -> String {
        format!("{version}/{segment}/{node}")
    }

    /// Bytes that are a new debt of `to` towards `from`, for [`crate::LocalCounts::record`] when the fill is complete.
    pub fn unsettled_bytes(&self) -> u64 {
        self.bytes - self.settles.as_ref().map_or(0, |settlement| settlement.bytes.min(self.bytes))
    }

    /// Seconds that it takes at its rate.
    pub fn duration_seconds(&self) -> f64 {
        self.bytes as f64 / self.rate
    }
}

/// How often a fill is attempted, and how long it may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillRetryPolicy {
    /// Seconds from its plan after which the fill is withdrawn.
    #[serde(rename = "deadline")]
    pub deadline_seconds: f64,
    /// Timeout of an attempt, as a multiple of its duration at the planned rate.
    #[serde(rename = "factor")]
    pub timeout_factor: f64,
    /// Minimum timeout of an attempt, in seconds.
    #[serde(rename = "least")]
    pub min_timeout_seconds: f64,
    /// Backoff before the second attempt, in seconds; doubled with each further one, half of it random.
    #[serde(rename = "pause")]
    pub initial_backoff_seconds: f64,
    /// Maximum backoff, in seconds.
    #[serde(rename = "longest")]
    pub max_backoff_seconds: f64,
    /// Maximum number of attempts.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
}

impl Default for FillRetryPolicy {
    fn default() -> FillRetryPolicy {
        FillRetryPolicy {
            deadline_seconds: 3600.0,
            timeout_factor: 2.0,
            min_timeout_seconds: 5.0,
            initial_backoff_seconds: 1.0,
            max_backoff_seconds: 60.0,
            max_attempts: 8,
        }
    }
}

impl FillRetryPolicy {
    /// Timeout of one attempt at this fill, in seconds.
    pub fn attempt_timeout_seconds(&self, fill: &Fill) -> f64 {
        (fill.duration_seconds() * self.timeout_factor).max(self.min_timeout_seconds)
    }
}

/// State of a fill.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FillState {
    /// Waits for its next attempt.
    Planned {
        /// The attempt does not start before.
        not_before: f64,
    },
    /// An attempt is running.
    #[serde(rename = "UnderWay")]
    Running {
        /// The attempt times out then.
        until: f64,
    },
    /// The node is filled.
    Done,
    /// All attempts failed; another source may be planned.
    Failed {
        /// Why the last attempt failed.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The fill is not required any more.
    Withdrawn {
        /// Reason, for people.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl FillState {
    /// Name of the state, for messages.
    pub fn name(&self) -> &'static str {
        match self {
            FillState::Planned { .. } => "planned",
            FillState::Running { .. } => "under way",
            FillState::Done => "done",
            FillState::Failed { .. } => "failed",
            FillState::Withdrawn { .. } => "withdrawn",
        }
    }

    /// No event changes it any more.
    pub fn is_final(&self) -> bool {
        !matches!(self, FillState::Planned { .. } | FillState::Running { .. })
    }
}

/// What the fill service reported, or the consensus log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FillEvent {
    /// The node is filled.
    Done,
    /// The attempt failed.
    Failed {
        /// What the fill service reported.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The version that requires it is withdrawn, or the fill planned again.
    Withdrawn {
        /// Reason, for people.
        #[serde(rename = "why")]
        reason: String,
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
    Start(Fill),
    /// Stop the attempt, if the fill service can.
    Stop(Fill),
    /// Propose that the node is filled, and the settlement if there is one; again until the log has both.
    Propose(Fill),
    /// Release its capacity at link and node ([`crate::FillPlanner::fill_ended`]).
    ReleaseCapacity(Fill),
}

/// A fill and its progress. Stored as it is; after a crash [`FillProgress::resume`] continues from there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillProgress {
    /// The fill, as planned.
    pub fill: Fill,
    retry_policy: FillRetryPolicy,
    state: FillState,
    /// Attempts that were started.
    attempts: u32,
    /// When the fill is withdrawn, on the monotonic clock.
    deadline: f64,
}

impl FillProgress {
    /// A fill that was planned at `now` and has had no attempt.
    pub fn new(fill: Fill, retry_policy: FillRetryPolicy, now: f64) -> FillProgress {
        let deadline = now + retry_policy.deadline_seconds;
        FillProgress {
            fill,
            retry_policy,
            state: FillState::Planned { not_before: now },
            attempts: 0,
            deadline,
        }
    }

    /// The state of the fill.
    pub fn state(&self) -> &FillState {
        &self.state
    }

    /// Attempts that were started.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// After a crash. A running attempt may be complete or not: it is started again under the same id, which a fill service
    /// answers at once if the node is filled. A complete fill is proposed again; the ledger recognises its id.
    pub fn resume(&mut self, now: f64) -> Vec<FillAction> {
        match self.state {
            FillState::Running { .. } => {
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
            FillState::Running { until } => Some(until.min(self.deadline)),
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
                let until = now + self.retry_policy.attempt_timeout_seconds(&self.fill);
                self.state = FillState::Running { until };
                vec![FillAction::Start(self.fill.clone())]
            }
            FillState::Running { until } if now >= until => {
                let mut actions = vec![FillAction::Stop(self.fill.clone())];
                actions.extend(self.on_attempt_failed(now, "no answer in time".to_string(), rng));
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
            (FillState::Planned { .. } | FillState::Running { .. }, FillEvent::Done) if self.attempts > 0 => {
                self.state = FillState::Done;
                Ok(vec![
                    FillAction::ReleaseCapacity(self.fill.clone()),
                    FillAction::Propose(self.fill.clone()),
                ])
            }
            (FillState::Running { .. }, FillEvent::Failed { reason }) => {
                Ok(self.on_attempt_failed(now, reason, rng))
            }
            (FillState::Planned { .. } | FillState::Running { .. }, FillEvent::Withdrawn { reason }) => {
                Ok(self.withdraw(reason))
            }
            // Duplicates.
            (FillState::Done, FillEvent::Done) => Ok(Vec::new()),
            (FillState::Withdrawn { .. }, FillEvent::Withdrawn { .. }) => Ok(Vec::new()),
            (state, event) => {
                let (state, event) = (state.name(), event.name());
                Err(SettlementError::InvalidEvent { fill: self.fill.id.clone(), state, event })
            }
        }
    }

    fn withdraw(&mut self, reason: String) -> Vec<FillAction> {
        let is_running = matches!(self.state, FillState::Running { .. });
        self.state = FillState::Withdrawn { reason };
        let stop = is_running.then(|| FillAction::Stop(self.fill.clone()));
        stop.into_iter().chain([FillAction::ReleaseCapacity(self.fill.clone())]).collect()
    }

    fn on_attempt_failed(&mut self, now: f64, reason: String, rng: &mut impl Rng) -> Vec<FillAction> {
        if self.attempts >= self.retry_policy.max_attempts {
            self.state = FillState::Failed { reason };
            return vec![FillAction::ReleaseCapacity(self.fill.clone())];
        }
        let doublings = self.attempts.saturating_sub(1).min(MAX_DOUBLINGS) as i32;
        let doubled = self.retry_policy.initial_backoff_seconds * 2f64.powi(doublings);
        let jitter_ratio = 0.5 + 0.5 * rng.random::<f64>();
        let backoff_seconds = doubled.min(self.retry_policy.max_backoff_seconds) * jitter_ratio;
        self.state = FillState::Planned { not_before: now + backoff_seconds };
        Vec::new()
    }
}
