//! Progress of one fill from plan to end, as a state machine that takes events and returns actions.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{Settlement, SettlementError};

/// Maximum number of doublings of the backoff between attempts. Keeps the power of two in range; with the default policy the
/// maximum backoff is reached after fewer doublings.
const MAX_DOUBLINGS: u32 = 30;

/// A planned copy of a segment from a source node to the node that is filled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fill {
    /// Id of the demand, as [`crate::FillDemand::id`]. The id is the same whichever broker plans the fill, and however often it
    /// is planned.
    pub id: String,
    /// Id of the segment to copy.
    pub segment: u64,
    /// Name of the node to fill.
    #[serde(rename = "holder")]
    pub node: String,
    /// Name of the node to copy from.
    pub source: String,
    /// Partner to which the source belongs.
    pub from: String,
    /// Partner to which the filled node belongs.
    pub to: String,
    /// Size of the segment in bytes.
    pub bytes: u64,
    /// Maximum rate of the copy in bytes per second.
    pub rate: f64,
    /// Settlement to propose once the fill is complete, if the fill pays off a debt. The bytes of the fill beyond the
    /// settlement count as carried and make a new debt.
    pub settles: Option<Settlement>,
}

impl Fill {
    /// Returns the id `VERSION/SEGMENT/NODE` of the fill of a replica that a configuration version adds.
    pub fn id_of(version: u64, segment: u64, node: &str) -> String {
        format!("{version}/{segment}/{node}")
    }

    /// Returns the bytes that pay off no debt. They are a new debt of `to` to `from`, to be passed to
    /// [`crate::LocalCounts::record`] once the fill is complete.
    pub fn unsettled_bytes(&self) -> u64 {
        self.bytes - self.settles.as_ref().map_or(0, |settlement| settlement.bytes.min(self.bytes))
    }

    /// Returns the duration of the fill at its maximum rate, in seconds.
    pub fn duration_seconds(&self) -> f64 {
        self.bytes as f64 / self.rate
    }
}

/// Limits on the attempts at a fill: timeouts, backoffs, number of attempts and deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillRetryPolicy {
    /// Seconds after planning at which an unfinished fill is withdrawn.
    #[serde(rename = "deadline")]
    pub deadline_seconds: f64,
    /// Timeout of an attempt, as a multiple of the fill's duration at its maximum rate.
    #[serde(rename = "factor")]
    pub timeout_factor: f64,
    /// Minimum timeout of an attempt, in seconds.
    #[serde(rename = "least")]
    pub min_timeout_seconds: f64,
    /// Backoff before the second attempt, in seconds. The backoff doubles with each further attempt. The actual wait is drawn
    /// at random between half of the backoff and all of it.
    #[serde(rename = "pause")]
    pub initial_backoff_seconds: f64,
    /// Maximum backoff between two attempts, in seconds.
    #[serde(rename = "longest")]
    pub max_backoff_seconds: f64,
    /// Maximum number of attempts at a fill.
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
    /// Returns the timeout of one attempt at `fill`, in seconds.
    pub fn attempt_timeout_seconds(&self, fill: &Fill) -> f64 {
        (fill.duration_seconds() * self.timeout_factor).max(self.min_timeout_seconds)
    }
}

/// State of a fill.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FillState {
    /// The fill waits for its next attempt.
    Planned {
        /// Earliest start of the next attempt, in seconds on the monotonic clock.
        not_before: f64,
    },
    /// An attempt is running.
    #[serde(rename = "UnderWay")]
    Running {
        /// Time at which the attempt times out, in seconds on the monotonic clock.
        until: f64,
    },
    /// The fill is complete.
    Done,
    /// All attempts failed. The demand may be planned again with another source.
    Failed {
        /// Why the last attempt failed.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The fill was stopped before it was complete: it is no longer required, or its deadline has passed.
    Withdrawn {
        /// Why the fill was withdrawn, as text for the operator.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl FillState {
    /// Returns the name of the state for messages.
    pub fn name(&self) -> &'static str {
        match self {
            FillState::Planned { .. } => "planned",
            FillState::Running { .. } => "under way",
            FillState::Done => "done",
            FillState::Failed { .. } => "failed",
            FillState::Withdrawn { .. } => "withdrawn",
        }
    }

    /// Returns whether the state is final, so that no event changes it.
    pub fn is_final(&self) -> bool {
        !matches!(self, FillState::Planned { .. } | FillState::Running { .. })
    }
}

/// Something that happened to a fill, as reported by the fill service or the consensus log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FillEvent {
    /// The fill service has filled the node.
    Done,
    /// An attempt at the fill has failed.
    Failed {
        /// Reason that the fill service reported.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The configuration version that requires the fill was withdrawn, or the fill was planned again.
    Withdrawn {
        /// Why the fill is withdrawn, as text for the operator.
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

/// What the caller must do for a fill now.
#[derive(Clone, Debug, PartialEq)]
pub enum FillAction {
    /// Start an attempt at the fill.
    Start(Fill),
    /// Stop the running attempt, if the fill service supports it.
    Stop(Fill),
    /// Propose to the consensus log that the node is filled, and the fill's settlement if it has one. Repeat this until the log
    /// contains both.
    Propose(Fill),
    /// Release the fill's capacity on its link and node by [`crate::FillPlanner::fill_ended`].
    ReleaseCapacity(Fill),
}

/// A fill and its progress. The caller stores it, and after a crash continues from the stored form by
/// [`FillProgress::resume`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillProgress {
    /// The fill as it was planned.
    pub fill: Fill,
    retry_policy: FillRetryPolicy,
    state: FillState,
    /// Number of attempts that were started.
    attempts: u32,
    /// Time at which the fill is withdrawn unless it has ended, in seconds on the monotonic clock.
    deadline: f64,
}

impl FillProgress {
    /// Creates the progress of a fill that is planned at `now` and has had no attempt.
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

    /// Returns the present state of the fill.
    pub fn state(&self) -> &FillState {
        &self.state
    }

    /// Returns the number of attempts that were started.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Continues after a crash, and returns the actions to take.
    ///
    /// It is unknown whether a running attempt has completed, so it is started again under the same id; the fill service
    /// answers at once if the node is already filled. A complete fill is proposed again, because the log may not contain it
    /// yet; the ledger ignores a duplicate by its id.
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

    /// Returns the next time at which [`FillProgress::tick`] has something to do; `None` if the state is final.
    pub fn next_tick_at(&self) -> Option<f64> {
        match self.state {
            FillState::Planned { not_before } => Some(not_before.min(self.deadline)),
            FillState::Running { until } => Some(until.min(self.deadline)),
            _ => None,
        }
    }

    /// Starts an attempt that is due, times out a running one, or withdraws the fill if its deadline has passed. Returns the
    /// actions to take.
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

    /// Updates the state after an event, and returns the actions to take.
    ///
    /// Once an attempt was started, [`FillEvent::Done`] is accepted in every state that is not final, also from an attempt
    /// that has timed out, because the node is filled.
    ///
    /// # Errors
    /// Returns [`SettlementError::InvalidEvent`] if the event is impossible in the present state.
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
            // Duplicate events have no effect.
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
        let uncapped_seconds = self.retry_policy.initial_backoff_seconds * 2f64.powi(doublings);
        let jitter_ratio = 0.5 + 0.5 * rng.random::<f64>();
        let backoff_seconds = uncapped_seconds.min(self.retry_policy.max_backoff_seconds) * jitter_ratio;
        self.state = FillState::Planned { not_before: now + backoff_seconds };
        Vec::new()
    }
}
