//! Parameters of the consensus from the operator's file, and the check that the switch bound T covers the quiescence
//! period.

use serde::{Deserialize, Serialize};

/// Longest time in seconds from the check of an action to the action itself: what one iteration of the event loop may
/// take from reading the clock to writing the frame. It is part of the quiescence period.
pub const MAX_ACTION_DELAY_SECONDS: f64 = 0.1;

const MIN_LEASE_SECONDS: f64 = 0.2;
const MAX_LEASE_SECONDS: f64 = 60.0;
const MAX_DRIFT_RATIO: f64 = 0.2;

/// Parameters on which all voters have to agree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConsensusConfig {
    /// This broker's name.
    pub name: String,
    /// Names of the voters, in the same order in each broker's file; the first one founds the fleet.
    pub voters: Vec<String>,
    /// Duration of a lease in seconds, counted from when the request was sent.
    #[serde(rename = "lease")]
    pub lease_seconds: f64,
    /// Largest relative drift of any broker's monotonic clock; 0.01 is 1%.
    #[serde(rename = "drift")]
    pub drift_ratio: f64,
    /// The switch bound T in seconds: from then on after a change was committed no broker acts on the previous version
    /// alone.
    #[serde(rename = "bound")]
    pub switch_bound_seconds: f64,
    /// Longest timeout of a query, in seconds.
    #[serde(rename = "longest_timeout")]
    pub longest_query_seconds: f64,
    /// Seconds after which a change is withdrawn if its fills are not complete.
    #[serde(rename = "fills_deadline")]
    pub fill_deadline_seconds: f64,
    /// Largest ratio of the segments that one change may touch.
    #[serde(rename = "most_changed")]
    pub max_changed_ratio: f64,
    /// Whether versions may have a shard map. If so, non-idempotent parts are rejected without a lease even if no map
    /// is known, since the first map may have become active.
    #[serde(rename = "maps")]
    pub maps_enabled: bool,
    /// Constraints that each map has to satisfy.
    #[serde(rename = "map")]
    pub map_requirements: dunepond_shard_map::MapConstraints,
}

/// Why a [`ConsensusConfig`] is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConsensusConfigError {
    /// The broker's name is empty.
    #[error("the broker has no name")]
    NoName,
    /// The list of voters is empty.
    #[error("no voter is named")]
    NoVoters,
    /// A voter is listed twice.
    #[error("voter `{0}` is named twice")]
    DuplicateVoter(String),
    /// The lease is out of range.
    #[error("lease {lease} s is not between {least} and {most}")]
    Lease {
        /// The configured lease, in seconds.
        lease: f64,
        /// Lower limit, in seconds.
        least: f64,
        /// Upper limit, in seconds.
        most: f64,
    },
    /// The drift is out of range.
    #[error("drift {drift} is not between 0 and {most}")]
    Drift {
        /// The configured drift, as a ratio.
        drift: f64,
        /// Upper limit, as a ratio.
        most: f64,
    },
    /// The longest query timeout is not positive and finite.
    #[error("longest query timeout {0} s is not above 0 and finite")]
    LongestTimeout(f64),
    /// The fill deadline is not positive and finite.
    #[error("fills deadline {0} s is not above 0 and finite")]
    FillsDeadline(f64),
    /// The ratio of changed segments is out of range.
    #[error("ratio of segments that may change at once is {0}, not above 0 and up to 1")]
    MostChanged(f64),
    /// The switch bound is shorter than the quiescence period.
    #[error(
        "bound {bound} s is under the {wait:.3} s that lease, drift and longest query timeout require: \
         raise bound to {wait:.3} at least, or lower lease to {lease:.3}"
    )]
    Bound {
        /// The configured switch bound, in seconds.
        bound: f64,
        /// The quiescence period, in seconds.
        wait: f64,
        /// The longest lease that the bound allows, in seconds.
        lease: f64,
    },
}

impl ConsensusConfigError {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoName => "give the broker a name of its own in GW_NAME",
            Self::NoVoters => "name three or five brokers as `voter` in `fleet`, the same in each file",
            Self::DuplicateVoter(_) => "name each voter once",
            Self::Lease { .. } => "set `lease` to some seconds: several round trips between voters, at least",
            Self::Drift { .. } => {
                "set `drift` to what the machines' clocks keep; 0.01 is ample where they are disciplined"
            }
            Self::LongestTimeout(_) => "set the settings' query timeout to some seconds",
            Self::FillsDeadline(_) => "set `fills deadline` to the seconds that the largest fill may take",
            Self::MostChanged(_) => "set `map most-changed` to a ratio such as 0.2",
            Self::Bound { .. } => "raise `bound`, or lower `lease` or the longest query timeout",
        }
    }
}

impl ConsensusConfig {
    /// The quiescence period W, in seconds on the leader's own clock. Until it has passed since the leader saw a change
    /// committed, actions that were allowed before the change may still be in flight.
    pub fn quiescence_seconds(&self) -> f64 {
        self.quiescence_seconds_for(self.lease_seconds)
    }

    /// The quiescence period for another lease duration.
    pub fn quiescence_seconds_for(&self, lease_seconds: f64) -> f64 {
        self.with_drift(lease_seconds + self.longest_query_seconds + MAX_ACTION_DELAY_SECONDS)
    }

    /// The longest time that may pass on the fastest clock while `seconds` pass on the slowest one.
    pub fn with_drift(&self, seconds: f64) -> f64 {
        seconds * (1.0 + self.drift_ratio) / (1.0 - self.drift_ratio)
    }

    /// # Errors
    /// The first parameter that is invalid.
    pub fn check(&self) -> Result<(), ConsensusConfigError> {
        if self.name.is_empty() {
            return Err(ConsensusConfigError::NoName);
        }
        if self.voters.is_empty() {
            return Err(ConsensusConfigError::NoVoters);
        }
        let mut voters = self.voters.iter().enumerate();
        if let Some((_, name)) = voters.find(|(i, name)| self.voters[..*i].contains(name)) {
            return Err(ConsensusConfigError::DuplicateVoter(name.clone()));
        }
        if !(MIN_LEASE_SECONDS..=MAX_LEASE_SECONDS).contains(&self.lease_seconds) {
            return Err(ConsensusConfigError::Lease {
                lease: self.lease_seconds,
                least: MIN_LEASE_SECONDS,
                most: MAX_LEASE_SECONDS,
            });
        }
        if !(0.0..=MAX_DRIFT_RATIO).contains(&self.drift_ratio) {
            return Err(ConsensusConfigError::Drift { drift: self.drift_ratio, most: MAX_DRIFT_RATIO });
        }
        if !is_positive(self.longest_query_seconds) {
            return Err(ConsensusConfigError::LongestTimeout(self.longest_query_seconds));
        }
        if !is_positive(self.fill_deadline_seconds) {
            return Err(ConsensusConfigError::FillsDeadline(self.fill_deadline_seconds));
        }
        if !(self.max_changed_ratio > 0.0 && self.max_changed_ratio <= 1.0) {
            return Err(ConsensusConfigError::MostChanged(self.max_changed_ratio));
        }
        self.check_switch_bound()
    }

    fn check_switch_bound(&self) -> Result<(), ConsensusConfigError> {
        let (bound, wait) = (self.switch_bound_seconds, self.quiescence_seconds());
        if bound >= wait && bound.is_finite() {
            return Ok(());
        }
        let lease = bound * (1.0 - self.drift_ratio) / (1.0 + self.drift_ratio)
            - self.longest_query_seconds
            - MAX_ACTION_DELAY_SECONDS;
        Err(ConsensusConfigError::Bound { bound, wait, lease: lease.max(0.0) })
    }
}

fn is_positive(seconds: f64) -> bool {
    seconds > 0.0 && seconds.is_finite()
}
