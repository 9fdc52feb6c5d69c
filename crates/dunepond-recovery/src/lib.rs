//! What a broker stores for its successor after a restart, and how much of it is trusted then.
//!
//! A broker that starts in the middle of an outage would learn anew which nodes fail, and would spend its retry budget a
//! second time. What was learned ([`learned_state`]) is of use as long as it is true, so it loses weight with time and
//! with changes of the endpoint list. What was spent ([`spent_budgets`]) does not: it is charged until it has left every
//! window.
//!
//! Pure: bytes and times come in, plain types of the routing crate go out. The encoding is postcard, which carries the
//! order of fields and variants: neither is ever changed without a new [`FORMAT_VERSION`].
#![warn(missing_docs)]

pub mod learned_state;
pub mod spent_budgets;

pub use learned_state::{Confidence, LearnedSnapshot, NodeIdentity, TrustDecision, TrustedState};
pub use spent_budgets::{BudgetRecord, OutstandingCharges};

/// Format version of snapshots and journal records alike.
pub const FORMAT_VERSION: u32 = 1;

/// How far Unix time may have been set back between two timestamps; further back, their difference is not used.
const MAX_UNIX_SETBACK_SECONDS: f64 = 1.0;
/// The same for the uptime clock, which is never set back, only rounded.
const MAX_UPTIME_SETBACK_SECONDS: f64 = 0.1;

/// An instant as both Unix time and uptime tell it: Unix time may be set, and uptime restarts with each boot.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Timestamp {
    /// Unix seconds; may be set at any moment.
    pub unix: f64,
    /// Identifies this boot of the machine; empty where unknown.
    pub boot: String,
    /// Seconds since that boot.
    pub uptime: f64,
}

impl Timestamp {
    fn is_valid(&self) -> bool {
        is_duration(self.unix) && is_duration(self.uptime)
    }

    /// Seconds since an earlier timestamp; `None` if the clock that decides was set back too far. Within one boot the uptime clock decides, whatever
    /// Unix time was set to.
    pub fn seconds_since(&self, earlier: &Timestamp) -> Option<f64> {
        let same_boot = !self.boot.is_empty() && self.boot == earlier.boot;
        let (elapsed, max_setback) = if same_boot {
            (self.uptime - earlier.uptime, MAX_UPTIME_SETBACK_SECONDS)
        } else {
            (self.unix - earlier.unix, MAX_UNIX_SETBACK_SECONDS)
        };
        (elapsed >= -max_setback).then_some(elapsed.max(0.0))
    }
}

/// Why the payload of a valid file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("does not read as what it should be: {0}")]
pub struct DecodeError(String);

fn is_duration(seconds: f64) -> bool {
    seconds.is_finite() && seconds >= 0.0
}

fn decode<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(DecodeError(format!("{} bytes too many", rest.len()))),
        Err(e) => Err(DecodeError(e.to_string())),
    }
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    // Numbers, strings and lists of them always encode.
    postcard::to_stdvec(value).unwrap_or_default()
}
