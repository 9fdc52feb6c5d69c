//! The terms on which brokers agree, from the operator's file, and the check of the bound T against them.

use serde::{Deserialize, Serialize};

/// Seconds between the check at the act and the act itself, at most: what a turn of the loop may take from reading
/// the clock to writing the frame. Part of the wait W.
pub const MAX_ACTION_DELAY_SECONDS: f64 = 0.1;

/// Bounds of what a file may say, seconds and shares.
const SHORTEST_LEASE: f64 = 0.2;
const LONGEST_LEASE: f64 = 60.0;
const MOST_DRIFT: f64 = 0.2;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConsensusConfig {
    /// This broker's name.
    pub name: String,
    /// Names of the brokers that vote, the same list in each file; the first founds the fleet.
    pub voters: Vec<String>,
    /// Seconds that an answer allows to act, counted from the question.
    #[serde(rename = "lease")]
    pub lease_seconds: f64,
    /// How far any broker's steady clock may run off, as a share: 0.01 is 1%.
    #[serde(rename = "drift")]
    pub drift_ratio: f64,
    /// T, seconds: once a change is agreed on, nobody acts on the version before alone any more after this long.
    #[serde(rename = "bound")]
    pub switch_bound_seconds: f64,
    /// Seconds that the longest query may take.
    #[serde(rename = "longest_timeout")]
    pub longest_query_seconds: f64,
    /// Seconds after which a change whose fills are not done is withdrawn.
    #[serde(rename = "fills_deadline")]
    pub fill_deadline_seconds: f64,
    /// Share of the segments that one change may touch.
    #[serde(rename = "most_changed")]
    pub max_changed_ratio: f64,
    /// Versions may bring a map. Then non-replayable parts are refused while cut off, even if no map is known yet:
    /// the first one may have come meanwhile.
    #[serde(rename = "maps")]
    pub maps_enabled: bool,
    #[serde(rename = "map")]
    pub map_requirements: dunepond_shard_map::MapConstraints,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConsensusConfigError {
    #[error("the broker has no name")]
    NoName,
    #[error("no voter is named")]
    NoVoters,
    #[error("voter `{0}` is named twice")]
    DuplicateVoter(String),
    #[error("lease {lease} s is not between {least} and {most}")]
    Lease { lease: f64, least: f64, most: f64 },
    #[error("drift {drift} is not between 0 and {most}")]
    Drift { drift: f64, most: f64 },
    #[error("longest query timeout {0} s is no time above 0")]
    LongestTimeout(f64),
    #[error("fills deadline {0} s is no time above 0")]
    FillsDeadline(f64),
    #[error("share of segments that may change at once is {0}, not above 0 and up to 1")]
    MostChanged(f64),
    #[error(
        "bound {bound} s is under the wait of {wait:.3} s that lease, drift and longest query timeout ask for: \
         raise bound to {wait:.3} at least, or lower lease to {lease:.3}"
    )]
    Bound { bound: f64, wait: f64, lease: f64 },
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
            Self::MostChanged(_) => "set `map most-changed` to a share such as 0.2",
            Self::Bound { .. } => "raise `bound`, or lower `lease` or the longest query timeout",
        }
    }
}

impl ConsensusConfig {
    /// The wait W, seconds on the leader's own clock: for so long after it saw a change agreed on, what was allowed
    /// before may still be under way somewhere.
    pub fn quiescence_seconds(&self) -> f64 {
        self.quiescence_seconds_for(self.lease_seconds)
    }

    /// The same for another lease than the file's.
    pub fn quiescence_seconds_for(&self, lease: f64) -> f64 {
        self.with_drift(lease + self.longest_query_seconds + MAX_ACTION_DELAY_SECONDS)
    }

    /// What `seconds` on the slowest clock may come to on the fastest.
    pub fn with_drift(&self, seconds: f64) -> f64 {
        seconds * (1.0 + self.drift_ratio) / (1.0 - self.drift_ratio)
    }

    pub fn check(&self) -> Result<(), ConsensusConfigError> {
        if self.name.is_empty() {
            return Err(ConsensusConfigError::NoName);
        }
        if self.voters.is_empty() {
            return Err(ConsensusConfigError::NoVoters);
        }
        if let Some(doubled) =
            self.voters.iter().enumerate().find(|(i, name)| self.voters[..*i].contains(name))
        {
            return Err(ConsensusConfigError::DuplicateVoter(doubled.1.clone()));
        }
        if !(SHORTEST_LEASE..=LONGEST_LEASE).contains(&self.lease_seconds) {
            return Err(ConsensusConfigError::Lease {
                lease: self.lease_seconds,
                least: SHORTEST_LEASE,
                most: LONGEST_LEASE,
            });
        }
        if !(0.0..=MOST_DRIFT).contains(&self.drift_ratio) {
            return Err(ConsensusConfigError::Drift { drift: self.drift_ratio, most: MOST_DRIFT });
        }
        if !(self.longest_query_seconds > 0.0 && self.longest_query_seconds.is_finite()) {
            return Err(ConsensusConfigError::LongestTimeout(self.longest_query_seconds));
        }
        if !(self.fill_deadline_seconds > 0.0 && self.fill_deadline_seconds.is_finite()) {
            return Err(ConsensusConfigError::FillsDeadline(self.fill_deadline_seconds));
        }
        if !(self.max_changed_ratio > 0.0 && self.max_changed_ratio <= 1.0) {
            return Err(ConsensusConfigError::MostChanged(self.max_changed_ratio));
        }
        let wait = self.quiescence_seconds();
        if !(self.switch_bound_seconds >= wait && self.switch_bound_seconds.is_finite()) {
            let lease = self.switch_bound_seconds * (1.0 - self.drift_ratio) / (1.0 + self.drift_ratio)
                - self.longest_query_seconds
                - MAX_ACTION_DELAY_SECONDS;
            return Err(ConsensusConfigError::Bound {
                bound: self.switch_bound_seconds,
                wait,
                lease: lease.max(0.0),
            });
        }
        Ok(())
    }
}
