//! What hosts propose to the log. The serialised names are those of the log's format.

use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, VoterChange};

/// A command to the replicated state.
// One stands in memory at a time; in the log it is bytes.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens the joint step from the active version to this one.
    Propose(Box<ConfigVersion>),
    /// A replica that the proposed map requires has been filled.
    #[serde(rename = "Filled")]
    FillCompleted {
        /// Of the proposed version.
        number: u64,
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        holder: String,
    },
    /// Makes the proposed version the only active one.
    #[serde(rename = "Confirm")]
    Activate {
        /// Of the proposed version.
        number: u64,
    },
    /// Withdraws the proposed version; the one before stays the only active one.
    Withdraw {
        /// Of the proposed version.
        number: u64,
        /// Shown to people.
        why: String,
    },
    /// Accounts between partners: allotments, settlements, fills that start.
    #[serde(rename = "Debt")]
    Settlement(dunepond_settlement::SettlementEntry),
    /// Shares of fleet-wide quotas.
    #[serde(rename = "Limit")]
    Quota(dunepond_quota::QuotaEntry),
    /// A rebalancing plan; its steps are versions.
    #[serde(rename = "Move")]
    Rebalance(dunepond_rebalance::CommittedEntry),
    /// Replaces the list of voters.
    #[serde(rename = "Vote")]
    ChangeVoters(Box<VoterChange>),
}
