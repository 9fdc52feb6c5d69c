//! Changes of the replicated state that applied entries make.

use dunepond_settlement::SettlementEntry;

/// The change of the replicated state that an applied entry made.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// The configuration version of this number was proposed.
    Proposed(u64),
    /// A fill that the proposed version requires is complete.
    FillCompleted {
        /// Number of the proposed version.
        number: u64,
        /// Id of the segment.
        segment: u64,
        /// Name of the node that stores the filled replica.
        holder: String,
    },
    /// The first stage of the version of this number began.
    Staged(u64),
    /// The version of this number became the only active one.
    Activated(u64),
    /// The rollback of the version of this number from its first stage began.
    RollingBack(u64),
    /// The version of this number was withdrawn.
    Withdrawn(u64),
    /// This entry changed the ledger of transfer debts between partners (organisations that run nodes).
    Settlement(SettlementEntry),
    /// Shares of fleet-wide quotas changed; the value is the quota ledger's new generation.
    Quota(u64),
    /// A rebalancing plan made progress, was paused, resumed or ended.
    Rebalance {
        /// Id of the plan.
        plan: String,
        /// Progress of the plan as text; only shown to people.
        status: String,
    },
    /// Another consensus configuration came into force.
    Config,
    /// The data folder of the voter of this name, or a new process start on it, was recorded.
    VoterSlot(String),
    /// The list of voters of this number was proposed. If a voter joins by it, the list is pending until that voter has
    /// reported an empty folder.
    VotersPending(u64),
    /// The list of voters of this number came into force.
    VotersChanged(u64),
    /// Leases are granted again after the recovery that began this epoch.
    LeasesResumed(u64),
}
