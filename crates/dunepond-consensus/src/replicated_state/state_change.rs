//! The changes that applied entries make.

use dunepond_settlement::SettlementEntry;

/// The change that an applied entry made.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// The version of this number is proposed.
    Proposed(u64),
    /// A required fill is complete.
    FillCompleted {
        /// Number of the proposed version.
        number: u64,
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        holder: String,
    },
    /// The first stage of the version began.
    Staged(u64),
    /// The version is the only active one.
    Activated(u64),
    /// The version is being rolled back from its first stage.
    RollingBack(u64),
    /// The version is withdrawn.
    Withdrawn(u64),
    /// Accounts between partners changed by this entry.
    Settlement(SettlementEntry),
    /// Shares of quotas changed; the value is the ledger's new generation.
    Quota(u64),
    /// A rebalancing plan changed.
    Rebalance {
        /// Id of the plan.
        plan: String,
        /// Progress of the plan, shown to people.
        status: String,
    },
    /// Another configuration of the consensus is in force.
    Config,
    /// A voter's folder or start was recorded.
    VoterSlot(String),
    /// The list of this number is pending.
    VotersPending(u64),
    /// The list of this number is in force.
    VotersChanged(u64),
    /// Leases are granted again, from this epoch on.
    LeasesResumed(u64),
}
