//! Parameters of the consensus from the operator's file, and the check that the switch bound T covers the quiescence
//! period.

use serde::{Deserialize, Serialize};

/// Longest time in seconds between the check whether a broker may send a part and the sending itself: one iteration of
/// the event loop, from reading the clock to writing the frame. It is part of the quiescence period.
pub const MAX_ACTION_DELAY_SECONDS: f64 = 0.1;

const MIN_LEASE_SECONDS: f64 = 0.2;
const MAX_LEASE_SECONDS: f64 = 60.0;
const MAX_DRIFT_RATIO: f64 = 0.2;

/// Parameters of the consensus. All voters have to agree on them, except for the broker's own name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConsensusConfig {
    /// This broker's name.
    pub name: String,
    /// Names of the voters, in the same order in each broker's file; the first one founds the fleet.
    pub voters: Vec<String>,
    /// Duration of a lease in seconds, counted from when the request was sent.
    #[serde(rename = "lease")]
    pub lease_seconds: f64,
    /// Largest relative drift of any broker's monotonic clock, as a ratio; 0.01 is 1%.
    #[serde(rename = "drift")]
    pub drift_ratio: f64,
    /// The switch bound T, in seconds: once this time has passed since a proposed version was committed, no broker acts
    /// only on the previously active version any more.
    #[serde(rename = "bound")]
    pub switch_bound_seconds: f64,
    /// Longest timeout of a query, in seconds.
    #[serde(rename = "longest_timeout")]
    pub longest_query_seconds: f64,
    /// Time in seconds after which a proposed version is withdrawn if its required fills are not complete.
    #[serde(rename = "fills_deadline")]
    pub fill_deadline_seconds: f64,
    /// Largest share of the segments that one version may change, as a ratio.
    #[serde(rename = "most_changed")]
    pub max_changed_ratio: f64,
    /// Whether versions may have a shard map. If so, non-idempotent parts are rejected without a lease even if no map
    /// is known, since the first map may have become active.
    #[serde(rename = "maps")]
    pub maps_enabled: bool,
    /// Constraints that each shard map has to satisfy.
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
    #[error("the list of voters is empty")]
    NoVoters,
    /// A voter is listed twice.
    #[error("voter `{0}` is listed twice")]
    DuplicateVoter(String),
    /// The lease is out of range.
    #[error("`lease` is {lease} s, expected {min} to {max} s")]
    Lease {
        /// The configured lease, in seconds.
        lease: f64,
        /// Shortest valid lease, in seconds.
        min: f64,
        /// Longest valid lease, in seconds.
        max: f64,
    },
    /// The drift is out of range.
    #[error("`drift` is {drift}, expected a ratio from 0 to {max}")]
    Drift {
        /// The configured drift, as a ratio.
        drift: f64,
        /// Largest valid drift, as a ratio.
        max: f64,
    },
    /// The longest query timeout is not positive and finite.
    #[error("the longest query timeout is {0} s, expected a finite number above 0")]
    LongestTimeout(f64),
    /// The fill deadline is not positive and finite.
    #[error("`fills deadline` is {0} s, expected a finite number above 0")]
    FillsDeadline(f64),
    /// The largest ratio of segments that one version may change is out of range.
    #[error("`map most-changed` is {0}, expected a ratio above 0 and at most 1")]
    MostChanged(f64),
    /// The switch bound is shorter than the quiescence period.
    #[error(
        "`bound` is {bound} s, but lease, drift and longest query timeout require at least {wait:.3} s: \
         raise bound to {wait:.3} s, or lower lease to {lease:.3} s"
    )]
    Bound {
        /// The configured switch bound, in seconds.
        bound: f64,
        /// The quiescence period, which is the shortest valid bound, in seconds.
        wait: f64,
        /// The longest lease that the configured bound allows, in seconds.
        lease: f64,
    },
}

impl ConsensusConfigError {
    /// Returns what an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoName => "set GW_NAME to a name that no other broker has",
            Self::NoVoters => {
                "list three or five brokers as `voter` in `fleet`, the same ones in each broker's file"
            }
            Self::DuplicateVoter(_) => "list each voter once",
            Self::Lease { .. } => {
                "set `lease` to a few seconds, and at least to several round trips between voters"
            }
            Self::Drift { .. } => {
                "set `drift` to the largest drift of the machines' clocks; 0.01 is enough for synchronized clocks"
            }
            Self::LongestTimeout(_) => "set the query timeout in the settings to a few seconds",
            Self::FillsDeadline(_) => {
                "set `fills deadline` to the time in seconds that the largest fill may take"
            }
            Self::MostChanged(_) => "set `map most-changed` to a ratio such as 0.2",
            Self::Bound { .. } => "raise `bound`, or lower `lease` or the longest query timeout",
        }
    }
}

impl ConsensusConfig {
    /// The quiescence period W, in seconds on the leader's own clock. Until it has passed since the leader saw an entry
    /// committed, brokers may still act on the state before that entry, and queries that were sent on that state may be
    /// in flight.
    pub fn quiescence_seconds(&self) -> f64 {
        self.quiescence_seconds_for(self.lease_seconds)
    }

    /// The quiescence period for a lease of `lease_seconds`, in seconds on the leader's own clock; see
    /// [`Self::quiescence_seconds`].
    pub fn quiescence_seconds_for(&self, lease_seconds: f64) -> f64 {
        self.with_drift(lease_seconds + self.longest_query_seconds + MAX_ACTION_DELAY_SECONDS)
    }

    /// The longest time that may pass on the fastest allowed clock while `seconds` pass on the slowest allowed one.
    pub fn with_drift(&self, seconds: f64) -> f64 {
        seconds * (1.0 + self.drift_ratio) / (1.0 - self.drift_ratio)
    }

    /// Checks that all parameters are valid.
    ///
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
                min: MIN_LEASE_SECONDS,
                max: MAX_LEASE_SECONDS,
            });
        }
        if !(0.0..=MAX_DRIFT_RATIO).contains(&self.drift_ratio) {
            return Err(ConsensusConfigError::Drift { drift: self.drift_ratio, max: MAX_DRIFT_RATIO });
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
