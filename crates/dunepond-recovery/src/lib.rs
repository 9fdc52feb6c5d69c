//! What a broker stores before a restart, and how much of it is trusted afterwards.
//!
//! Without stored state, a broker that restarts during an outage would have to learn again which nodes fail, and could
//! spend its full retry budget a second time. Learned state ([`learned_state`]) may be outdated, so it loses weight
//! with time and with changes of the endpoint list. Spent budgets ([`spent_budgets`]) do not become outdated: what a
//! broker spent is charged in full after a restart, until it has left every budget window.
//!
//! The crate does no input or output: it takes bytes and times, and returns types of the routing crate. The encoding is
//! postcard, which depends on the order of fields and variants: neither may change without a new [`FORMAT_VERSION`].
#![warn(missing_docs)]

pub mod learned_state;
pub mod spent_budgets;

pub use learned_state::{Confidence, LearnedSnapshot, NodeIdentity, TrustDecision, TrustedState};
pub use spent_budgets::{BudgetRecord, OutstandingCharges};

/// Format version of the snapshots and journal records of this crate.
pub const FORMAT_VERSION: u32 = 1;

/// Largest tolerated setback of Unix time between two timestamps, in seconds. If Unix time went back by at most this much
/// from the first timestamp to the second, the time between the two counts as 0. If it went back further, the time
/// between them is unknown.
const MAX_UNIX_SETBACK_SECONDS: f64 = 1.0;
/// Largest tolerated setback of the uptime between two timestamps of the same boot, in seconds. If the uptime went back by
/// at most this much from the first timestamp to the second, the time between the two counts as 0. If it went back
/// further, the time between them is unknown. The limit only has to allow for rounding, since the uptime clock is never
/// set back.
const MAX_UPTIME_SETBACK_SECONDS: f64 = 0.1;

/// A point in time by two clocks: Unix time, which may be set forward or back, and uptime, which restarts at 0 with
/// each boot.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Timestamp {
    /// Unix time in seconds.
    pub unix: f64,
    /// Identifier of the machine's current boot; empty if unknown.
    pub boot: String,
    /// Seconds since the machine booted.
    pub uptime: f64,
}

impl Timestamp {
    fn is_valid(&self) -> bool {
        is_duration(self.unix) && is_duration(self.uptime)
    }

    /// Returns the seconds since an earlier timestamp; `None` if the clock in use was set back too far since then. If
    /// both timestamps are of the same boot, the uptime clock is used, so changes of Unix time have no effect;
    /// otherwise Unix time is used.
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

/// Error for a payload that cannot be decoded, although the file is undamaged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot be decoded: {0}")]
pub struct DecodeError(String);

fn is_duration(seconds: f64) -> bool {
    seconds.is_finite() && seconds >= 0.0
}

fn decode<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(DecodeError(format!("{} unexpected bytes after the value", rest.len()))),
        Err(e) => Err(DecodeError(e.to_string())),
    }
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    // Encoding cannot fail: the values consist only of numbers, strings and lists.
    postcard::to_stdvec(value).unwrap_or_default()
}
