//! Commands that hosts propose to the log. The serialised names are those of the log's format.

use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, VoterChange};

/// A command to the replicated state machine.
// Only one is in memory at a time, and the log holds it encoded, so the size of the largest variant does not matter.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens the joint step from the active version to this one.
    Propose(Box<ConfigVersion>),
    /// Reports that a replica that the proposed map requires has been filled.
    #[serde(rename = "Filled")]
    FillCompleted {
        /// Number of the proposed version.
        number: u64,
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        holder: String,
    },
    /// Makes the proposed version the only active one.
    #[serde(rename = "Confirm")]
    Activate {
        /// Number of the proposed version.
        number: u64,
    },
    /// Withdraws the proposed version; the previous version stays the only active one.
    Withdraw {
        /// Number of the proposed version.
        number: u64,
        /// The reason, shown to people.
        why: String,
    },
    /// Changes the accounts between partners: allotments, settlements, and fills that start.
    #[serde(rename = "Debt")]
    Settlement(dunepond_settlement::SettlementEntry),
    /// Changes shares of fleet-wide quotas.
    #[serde(rename = "Limit")]
    Quota(dunepond_quota::QuotaEntry),
    /// Changes a rebalancing plan, whose steps are versions.
    #[serde(rename = "Move")]
    Rebalance(dunepond_rebalance::CommittedEntry),
    /// Replaces the list of voters.
    #[serde(rename = "Vote")]
    ChangeVoters(Box<VoterChange>),
}
