//! Versions on which brokers agree: what a version is, who may act on which until when. Pure.
//!
//! A [`Voter`] orders entries with the other voters (the `raft` library, no input or output) and answers questions; a
//! [`Member`], at every broker, asks, and makes of the answers an [`Acting`], which says at each act what is allowed.
//! Times are seconds on each broker's own steady clock, which counts sleep, unless stated. What holds and why is stated
//! and proved in `docs/notes/consensus.md`.

mod acting;
mod docs;
mod ledger;
mod member;
mod messages;
mod old;
mod refusal;
mod rules;
mod state;
mod stricter;
mod terms;
mod voter;

pub use acting::{Acting, Limits, Owner};
pub use docs::More;
pub use member::Member;
pub use messages::{Answer, Ask, Kept, Now, Open, Orders, Outcome, Save, Saved, Step, Told};
pub use refusal::{AgreeError, Refusal};
pub use state::{Change, Debts, DebtsTold, Ended, Named, Noted, Past, Seat, State, Voters, Voting};
pub use stricter::stricter;
pub use terms::{SLACK, Terms, TermsError};
pub use voter::{Recovery, RecoveryError, Voter, WORD};

use dunepond_settlement::Agreed;
use dunepond_shard_map::Map;
use serde::{Deserialize, Serialize};

/// The settings that decide, and the operator's limits; one entry a table type where a list stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Least shares for any and for a whole answer: the greater is the stricter.
    #[serde(rename = "least")]
    pub least: Vec<f64>,
    #[serde(rename = "whole_at")]
    pub whole_at: Vec<f64>,
    /// Further dispatches: share and free ones in a window; the smaller is the stricter.
    #[serde(rename = "budget_share")]
    pub budget_share: f64,
    #[serde(rename = "budget_free")]
    pub budget_free: f64,
    /// Seconds after which nothing new may go to a draining or gone node; the smaller.
    #[serde(rename = "drain_grace")]
    pub drain_grace: f64,
    #[serde(rename = "cold_multiple")]
    pub cold_multiple: f64,
    /// Dispatches of a part at most; the smaller.
    #[serde(rename = "dispatch_cap")]
    pub dispatch_cap: usize,
    /// Only if both.
    #[serde(rename = "second_copies")]
    pub second_copies: bool,
    /// Keyed parts may be repeated inside their window; only if both.
    #[serde(rename = "repeats")]
    pub repeats: bool,
    /// Seconds that a throttling reply may name at most.
    #[serde(rename = "longest_wait")]
    pub longest_wait: f64,
}

/// The list's view as far as it is agreed: nodes that all brokers have to leave alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Standings {
    pub draining: Vec<String>,
    #[serde(rename = "gone")]
    pub gone: Vec<String>,
}

/// The whole of what brokers agree on. A later program's parts are in `more`, never beside the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(remote = "Self")]
pub struct Version {
    /// One more than the highest that was ever proposed, withdrawn ones counted.
    pub number: u64,
    /// The version in force that it was made from (0: none); left out, whatever is in force.
    #[serde(default)]
    #[serde(rename = "follows")]
    pub follows: Option<u64>,
    /// Share of the brokers that act on it first, the others stay joint until it is confirmed or withdrawn.
    #[serde(default)]
    #[serde(rename = "stage")]
    pub stage: Option<f64>,
    pub rules: Rules,
    #[serde(rename = "standings")]
    pub standings: Standings,
    pub map: Option<Map>,
    /// Who proposed it and why; when, in Unix seconds, for people only.
    #[serde(rename = "who")]
    pub who: String,
    #[serde(rename = "why")]
    pub why: String,
    #[serde(rename = "at")]
    pub at: f64,
    /// What this program does not know, or knows and format 1 did not.
    #[serde(skip)]
    pub more: Vec<More>,
}

/// What the agreed log holds.
// One stands in memory at a time; in the log it is bytes.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Opens the joint step from the version in force to this one.
    Propose(Box<Version>),
    /// A holder that the proposed map needs is filled.
    #[serde(rename = "Filled")]
    Filled { number: u64, segment: u64, holder: String },
    /// The proposed version alone is in force.
    #[serde(rename = "Confirm")]
    Confirm { number: u64 },
    /// The proposed version is given up; the one before is in force alone.
    Withdraw { number: u64, why: String },
    /// Of debts between partners: shares, settlements, fills that begin.
    #[serde(rename = "Debt")]
    Debt(Agreed),
    /// Parts of bounds that hold for the whole fleet.
    #[serde(rename = "Limit")]
    Limit(dunepond_quota::Agreed),
    /// Of a plan of moves; its steps are versions.
    #[serde(rename = "Move")]
    Move(dunepond_rebalance::Agreed),
    /// Who votes from now on.
    #[serde(rename = "Vote")]
    Vote(Box<Voting>),
}

/// Which versions a broker acts on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// No version is known.
    None,
    Alone(u64),
    /// The stricter of both, key by key.
    Joint(u64, u64),
    /// The lease has run out: the strictest of what is known, and no non-replayable part at all.
    Cut(u64),
}

impl Version {
    /// Of all of it; hexadecimal.
    pub fn digest(&self) -> String {
        blake3::hash(&self.packed()).to_hex()[..32].to_string()
    }
}
