//! Consensus log entries that change the quota ledger. The serialized names are part of the log's format and must not
//! change.

use serde::{Deserialize, Serialize};

use crate::SharedQuotas;

/// A log entry that changes the [`crate::QuotaLedger`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuotaEntry {
    /// Replaces the shared quotas and removes all brokers from the ledger. Rejected while units are reserved for any
    /// broker.
    #[serde(rename = "Bounds")]
    Configure(SharedQuotas),
    /// Adds a broker to the ledger, so that it can be given shares.
    #[serde(rename = "Seat")]
    AddBroker {
        /// Name of the broker to add.
        broker: String,
    },
    /// Removes a broker from the ledger, so that it can no longer be given shares. Rejected while units are reserved for
    /// the broker.
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
    /// Frees the units that stayed reserved for a broker after its shares shrank: a shrunk share counts at its old size
    /// until this entry is applied. The leader proposes the entry once its clock shows that the broker has certainly
    /// stopped using the old size.
    #[serde(rename = "Settled")]
    Release {
        /// Name of the broker whose share shrank.
        broker: String,
        /// Ledger generation of the last entry that shrank one of the broker's shares.
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
    /// Units granted to the broker beyond its floor.
    pub units: u32,
}
