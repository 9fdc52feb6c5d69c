//! What a broker keeps over a restart, and how much of it is believed afterwards. Pure: bytes and times come in, plain
//! types for the decision module go out.
//!
//! Beliefs ([`learned_state`]) are of use as long as they are true, so they age: with the time, and with how much of the list
//! has changed. Ledgers ([`spent_budgets`]) are debts, and do not age: what may have been spent was spent.

pub mod learned_state;
pub mod spent_budgets;

pub use learned_state::{Confidence, LearnedSnapshot, NodeIdentity, TrustDecision, TrustedState};
pub use spent_budgets::{BudgetRecord, OutstandingCharges};

/// The version of what is written, for files and records alike.
pub const FORMAT_VERSION: u32 = 1;

/// A moment, by two clocks.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Timestamp {
    /// Unix time, which may be set at any moment.
    pub unix: f64,
    /// Which start of the machine this is, and the seconds since; empty where that is not known.
    pub boot: String,
    pub uptime: f64,
}

/// Clocks are set a little; by more than so many seconds backwards, and Unix time says nothing.
const AHEAD: f64 = 1.0;

impl Timestamp {
    fn is_time(&self) -> bool {
        [self.unix, self.uptime].iter().all(|t| t.is_finite() && *t >= 0.0)
    }

    /// Seconds from an earlier one to this; nothing where no clock tells. Within one start of the machine its own clock
    /// does, whatever the other was set to.
    pub fn seconds_since(&self, earlier: &Timestamp) -> Option<f64> {
        let (elapsed, slack) = match !self.boot.is_empty() && self.boot == earlier.boot {
            true => (self.uptime - earlier.uptime, 0.1),
            false => (self.unix - earlier.unix, AHEAD),
        };
        (elapsed >= -slack).then_some(elapsed.max(0.0))
    }
}

/// Why bytes that were whole as a file are not of use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("does not read as what it should be: {0}")]
pub struct DecodeError(String);

fn decode<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(DecodeError(format!("{} bytes too many", rest.len()))),
        Err(e) => Err(DecodeError(e.to_string())),
    }
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    // Plain numbers and texts: there is nothing that could not be written.
    postcard::to_stdvec(value).unwrap_or_default()
}
