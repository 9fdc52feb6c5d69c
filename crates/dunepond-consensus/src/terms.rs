//! The terms on which brokers agree, from the operator's file, and the check of the bound T against them.

use serde::{Deserialize, Serialize};

/// Seconds between the check at the act and the act itself, at most: what a turn of the loop may take from reading
/// the clock to writing the frame. Part of the wait W.
pub const SLACK: f64 = 0.1;

/// Bounds of what a file may say, seconds and shares.
const SHORTEST_LEASE: f64 = 0.2;
const LONGEST_LEASE: f64 = 60.0;
const MOST_DRIFT: f64 = 0.2;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// This broker's name.
    pub name: String,
    /// Names of the brokers that vote, the same list in each file; the first founds the fleet.
    pub voters: Vec<String>,
    /// Seconds that an answer allows to act, counted from the question.
    #[serde(rename = "lease")]
    pub lease: f64,
    /// How far any broker's steady clock may run off, as a share: 0.01 is 1%.
    #[serde(rename = "drift")]
    pub drift: f64,
    /// T, seconds: once a change is agreed on, nobody acts on the version before alone any more after this long.
    #[serde(rename = "bound")]
    pub bound: f64,
    /// Seconds that the longest query may take.
    #[serde(rename = "longest_timeout")]
    pub longest_timeout: f64,
    /// Seconds after which a change whose fills are not done is withdrawn.
    #[serde(rename = "fills_deadline")]
    pub fills_deadline: f64,
    /// Share of the segments that one change may touch.
    #[serde(rename = "most_changed")]
    pub most_changed: f64,
    /// Versions may bring a map. Then non-replayable parts are refused while cut off, even if no map is known yet:
    /// the first one may have come meanwhile.
    #[serde(rename = "maps")]
    pub maps: bool,
    #[serde(rename = "map")]
    pub map: dunepond_shard_map::Terms,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TermsError {
    #[error("the broker has no name")]
    NoName,
    #[error("no voter is named")]
    NoVoters,
    #[error("voter `{0}` is named twice")]
    DoubledVoter(String),
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

impl TermsError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoName => "give the broker a name of its own in GW_NAME",
            Self::NoVoters => "name three or five brokers as `voter` in `fleet`, the same in each file",
            Self::DoubledVoter(_) => "name each voter once",
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

impl Terms {
    /// The wait W, seconds on the leader's own clock: for so long after it saw a change agreed on, what was allowed
    /// before may still be under way somewhere.
    pub fn wait(&self) -> f64 {
        self.waited(self.lease)
    }

    /// The same for another lease than the file's.
    pub fn waited(&self, lease: f64) -> f64 {
        self.at_most(lease + self.longest_timeout + SLACK)
    }

    /// What `seconds` on the slowest clock may come to on the fastest.
    pub fn at_most(&self, seconds: f64) -> f64 {
        seconds * (1.0 + self.drift) / (1.0 - self.drift)
    }

    pub fn check(&self) -> Result<(), TermsError> {
        if self.name.is_empty() {
            return Err(TermsError::NoName);
        }
        if self.voters.is_empty() {
            return Err(TermsError::NoVoters);
        }
        if let Some(doubled) =
            self.voters.iter().enumerate().find(|(i, name)| self.voters[..*i].contains(name))
        {
            return Err(TermsError::DoubledVoter(doubled.1.clone()));
        }
        if !(SHORTEST_LEASE..=LONGEST_LEASE).contains(&self.lease) {
            return Err(TermsError::Lease { lease: self.lease, least: SHORTEST_LEASE, most: LONGEST_LEASE });
        }
        if !(0.0..=MOST_DRIFT).contains(&self.drift) {
            return Err(TermsError::Drift { drift: self.drift, most: MOST_DRIFT });
        }
        if !(self.longest_timeout > 0.0 && self.longest_timeout.is_finite()) {
            return Err(TermsError::LongestTimeout(self.longest_timeout));
        }
        if !(self.fills_deadline > 0.0 && self.fills_deadline.is_finite()) {
            return Err(TermsError::FillsDeadline(self.fills_deadline));
        }
        if !(self.most_changed > 0.0 && self.most_changed <= 1.0) {
            return Err(TermsError::MostChanged(self.most_changed));
        }
        let wait = self.wait();
        if !(self.bound >= wait && self.bound.is_finite()) {
            let lease = self.bound * (1.0 - self.drift) / (1.0 + self.drift) - self.longest_timeout - SLACK;
            return Err(TermsError::Bound { bound: self.bound, wait, lease: lease.max(0.0) });
        }
        Ok(())
    }
}
