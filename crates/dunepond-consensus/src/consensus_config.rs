//! Parameters of the consensus, from the operator's file, and the check that the switch bound T covers the quiescence
//! period.

use serde::{Deserialize, Serialize};

/// Seconds from the check of an action to the action itself, at most: what one turn of the event loop may take from
/// reading the clock to writing the frame. Part of the quiescence period.
pub const MAX_ACTION_DELAY_SECONDS: f64 = 0.1;

const MIN_LEASE_SECONDS: f64 = 0.2;
const MAX_LEASE_SECONDS: f64 = 60.0;
const MAX_DRIFT_RATIO: f64 = 0.2;

/// Parameters on which all voters have to agree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConsensusConfig {
    /// This broker's name.
    pub name: String,
    /// Names of the voters, the same list in each file; the first one founds the fleet.
    pub voters: Vec<String>,
    /// Duration of a lease, counted from the request.
    #[serde(rename = "lease")]
    pub lease_seconds: f64,
    /// How far any broker's monotonic clock may drift: 0.01 is 1%.
    #[serde(rename = "drift")]
    pub drift_ratio: f64,
    /// T: so long after a change was committed nobody acts on the previous version alone any more.
    #[serde(rename = "bound")]
    pub switch_bound_seconds: f64,
    /// Longest timeout of a query.
    #[serde(rename = "longest_timeout")]
    pub longest_query_seconds: f64,
    /// A change whose fills are not complete by then is withdrawn.
    #[serde(rename = "fills_deadline")]
    pub fill_deadline_seconds: f64,
    /// Ratio of the segments that one change may touch.
    #[serde(rename = "most_changed")]
    pub max_changed_ratio: f64,
    /// Versions may have a shard map. Then non-idempotent parts are rejected without a lease even if no map is known: the
    /// first one may be active by now.
    #[serde(rename = "maps")]
    pub maps_enabled: bool,
    /// What each map has to satisfy.
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
    /// A voter stands in the list twice.
    #[error("voter `{0}` is named twice")]
    DuplicateVoter(String),
    /// The lease is out of range.
    #[error("lease {lease} s is not between {least} and {most}")]
    Lease {
        /// Seconds.
        lease: f64,
        /// Lower limit.
        least: f64,
        /// Upper limit.
        most: f64,
    },
    /// The drift is out of range.
    #[error("drift {drift} is not between 0 and {most}")]
    Drift {
        /// Ratio.
        drift: f64,
        /// Upper limit.
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
        /// Seconds, as configured.
        bound: f64,
        /// The quiescence period.
        wait: f64,
        /// The longest lease that the bound allows.
        lease: f64,
    },
}

impl ConsensusConfigError {
    /// What an operator can do.
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
    /// The quiescence period W, in seconds on the leader's own clock: for so long after it saw a change committed, actions
    /// that were allowed before may still be in flight somewhere.
    pub fn quiescence_seconds(&self) -> f64 {
        self.quiescence_seconds_for(self.lease_seconds)
    }

    /// The same for another duration of leases.
    pub fn quiescence_seconds_for(&self, lease_seconds: f64) -> f64 {
        self.with_drift(lease_seconds + self.longest_query_seconds + MAX_ACTION_DELAY_SECONDS)
    }

    /// What `seconds` on the slowest clock may come to on the fastest one.
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
