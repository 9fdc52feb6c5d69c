//! Consensus log entries that change the quota ledger. The serialized names are part of the log's format.

use serde::{Deserialize, Serialize};

use crate::SharedQuotas;

/// A log entry that changes the [`crate::QuotaLedger`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuotaEntry {
    /// Replaces the shared quotas and removes all brokers. Valid only while no unit is reserved.
    #[serde(rename = "Bounds")]
    Configure(SharedQuotas),
    /// Adds a broker, which may hold shares from then on.
    #[serde(rename = "Seat")]
    AddBroker {
        /// Name of the broker to add.
        broker: String,
    },
    /// Removes a broker, which may no longer hold shares. Valid only while no unit is reserved for it.
    #[serde(rename = "Free")]
    RemoveBroker {
        /// Name of the broker to remove.
        broker: String,
    },
    /// Sets the sizes of shares; shares that are not listed stay as they are.
    #[serde(rename = "Parts")]
    SetShares {
        /// New sizes of shares, at most one for each broker and quota.
        #[serde(rename = "parts")]
        shares: Vec<QuotaShare>,
    },
    /// Releases the units that are reserved for a broker beyond its granted units: when a share shrinks, its old size stays
    /// reserved until this entry. The leader proposes the entry when, by its clock, the broker has certainly stopped using
    /// what it held before the shrink.
    #[serde(rename = "Settled")]
    Release {
        /// Name of the broker whose share shrank.
        broker: String,
        /// Ledger generation of the broker's last shrink.
        generation: u64,
    },
}

/// The size of one broker's share of one quota.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaShare {
    /// Name of the broker that holds the share.
    pub broker: String,
    /// Name of the quota.
    #[serde(rename = "bound")]
    pub quota: String,
    /// Granted units beyond the floor.
    pub units: u32,
}
