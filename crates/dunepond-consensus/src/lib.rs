//! Versions on which brokers agree: what a version is, who may act on which until when. Pure.
//!
//! A [`Voter`] orders entries with the other voters (the `raft` library, no input or output) and answers questions; a
//! [`LeaseClient`], at every broker, asks, and makes of the answers an [`ActiveConfig`], which says at each act what is allowed.
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

pub use acting::{ActiveConfig, QuotaView, SegmentOwner};
pub use docs::Extension;
pub use member::LeaseClient;
pub use messages::{
    Effects, EntryOutcome, LeaseAnswer, LeaseGrant, LeaseReply, LeaseRequest, PersistedState,
    ProposedVersion, RolloutStep, StoredVoter, WriteBatch,
};
pub use refusal::{ConsensusError, Rejection};
pub use state::{
    ChangeEnd, PastChange, ReplicatedState, SettlementLog, SettlementRecord, SettlementUpdate, StateChange,
    VoterChange, VoterInfo, VoterList, VoterSlot,
};
pub use stricter::strictest_rules;
pub use terms::{ConsensusConfig, ConsensusConfigError, MAX_ACTION_DELAY_SECONDS};
pub use voter::{RecoveryError, RecoveryOrder, Voter, WORD};

use dunepond_settlement::Agreed;
use dunepond_shard_map::ShardMap;
use serde::{Deserialize, Serialize};

/// The settings that decide, and the operator's limits; one entry a table type where a list stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingRules {
    /// Least shares for any and for a whole answer: the greater is the stricter.
    #[serde(rename = "least")]
    pub minimum_shares: Vec<f64>,
    #[serde(rename = "whole_at")]
    pub complete_at: Vec<f64>,
    /// Further dispatches: share and free ones in a window; the smaller is the stricter.
    #[serde(rename = "budget_share")]
    pub retry_budget_ratio: f64,
    #[serde(rename = "budget_free")]
    pub retry_budget_min: f64,
    /// Seconds after which nothing new may go to a draining or gone node; the smaller.
    #[serde(rename = "drain_grace")]
    pub drain_grace_seconds: f64,
    #[serde(rename = "cold_multiple")]
    pub slow_start_multiple: f64,
    /// Dispatches of a part at most; the smaller.
    #[serde(rename = "dispatch_cap")]
    pub max_attempts: usize,
    /// Only if both.
    #[serde(rename = "second_copies")]
    pub hedging_enabled: bool,
    /// Keyed parts may be repeated inside their window; only if both.
    #[serde(rename = "repeats")]
    pub keyed_retries_enabled: bool,
    /// Seconds that a throttling reply may name at most.
    #[serde(rename = "longest_wait")]
    pub max_retry_after_seconds: f64,
}

/// The list's view as far as it is agreed: nodes that all brokers have to leave alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExcludedNodes {
    pub draining: Vec<String>,
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
}

/// The whole of what brokers agree on. A later program's parts are in `more`, never beside the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(remote = "Self")]
pub struct ConfigVersion {
    /// One more than the highest that was ever proposed, withdrawn ones counted.
    pub number: u64,
    /// The version in force that it was made from (0: none); left out, whatever is in force.
    #[serde(default)]
    #[serde(rename = "follows")]
    pub based_on: Option<u64>,
    /// Share of the brokers that act on it first, the others stay joint until it is confirmed or withdrawn.
    #[serde(default)]
    #[serde(rename = "stage")]
    pub first_stage_ratio: Option<f64>,
    pub rules: RoutingRules,
    #[serde(rename = "standings")]
    pub excluded_nodes: ExcludedNodes,
    pub map: Option<ShardMap>,
    /// Who proposed it and why; when, in Unix seconds, for people only.
    #[serde(rename = "who")]
    pub proposed_by: String,
    #[serde(rename = "why")]
    pub reason: String,
    #[serde(rename = "at")]
    pub proposed_at_unix_seconds: f64,
    /// What this program does not know, or knows and format 1 did not.
    #[serde(skip)]
    pub extensions: Vec<Extension>,
}

/// What the agreed log holds.
// One stands in memory at a time; in the log it is bytes.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens the joint step from the version in force to this one.
    Propose(Box<ConfigVersion>),
    /// A holder that the proposed map needs is filled.
    #[serde(rename = "Filled")]
    FillCompleted { number: u64, segment: u64, holder: String },
    /// The proposed version alone is in force.
    #[serde(rename = "Confirm")]
    Activate { number: u64 },
    /// The proposed version is given up; the one before is in force alone.
    Withdraw { number: u64, why: String },
    /// Of debts between partners: shares, settlements, fills that begin.
    #[serde(rename = "Debt")]
    Settlement(Agreed),
    /// Parts of bounds that hold for the whole fleet.
    #[serde(rename = "Limit")]
    Quota(dunepond_quota::QuotaEntry),
    /// Of a plan of moves; its steps are versions.
    #[serde(rename = "Move")]
    Rebalance(dunepond_rebalance::Agreed),
    /// Who votes from now on.
    #[serde(rename = "Vote")]
    ChangeVoters(Box<VoterChange>),
}

/// Which versions a broker acts on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigPhase {
    /// No version is known.
    Unconfigured,
    Active(u64),
    /// The stricter of both, key by key.
    Joint(u64, u64),
    /// The lease has run out: the strictest of what is known, and no non-replayable part at all.
    LeaseExpired(u64),
}

impl ConfigVersion {
    /// Of all of it; hexadecimal.
    pub fn digest(&self) -> String {
        blake3::hash(&self.packed()).to_hex()[..32].to_string()
    }
}
