//! Commands that hosts propose to the log. The serialized names are part of the log's format.

use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, VoterChange};

/// A command to the replicated state machine.
// Only one command is in memory at a time, and the log stores it encoded, so the size of the largest variant does not
// matter.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Proposes a configuration version. Once the command is committed, brokers act on the joint configuration of the
    /// active and the proposed version from their next lease on.
    Propose(Box<ConfigVersion>),
    /// Reports that a fill is complete: a node now stores a replica that the proposed shard map requires.
    #[serde(rename = "Filled")]
    FillCompleted {
        /// Number of the proposed version.
        number: u64,
        /// Id of the segment that was filled.
        segment: u64,
        /// Name of the node that stores the filled replica.
        holder: String,
    },
    /// Makes the proposed version the only active one.
    #[serde(rename = "Confirm")]
    Activate {
        /// Number of the proposed version.
        number: u64,
    },
    /// Withdraws the proposed version, so that the active version stays the only one in force. If the proposed version
    /// is in its first stage, it is rolled back first.
    Withdraw {
        /// Number of the proposed version.
        number: u64,
        /// Reason for the withdrawal; only shown to people.
        why: String,
    },
    /// Changes the ledger of transfer debts between partners (organisations that run nodes): allots or releases a share
    /// of a debt, settles the part of a debt that a fill has paid off, or records the start of a fill.
    #[serde(rename = "Debt")]
    Settlement(dunepond_settlement::SettlementEntry),
    /// Changes brokers' shares of fleet-wide quotas.
    #[serde(rename = "Limit")]
    Quota(dunepond_quota::QuotaEntry),
    /// Changes a rebalancing plan, whose steps are carried out as configuration versions.
    #[serde(rename = "Move")]
    Rebalance(dunepond_rebalance::CommittedEntry),
    /// Proposes a new list of voters.
    #[serde(rename = "Vote")]
    ChangeVoters(Box<VoterChange>),
}
