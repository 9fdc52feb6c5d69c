//! Entries of the consensus log about quotas. The serialised names are those of the log's format.

use serde::{Deserialize, Serialize};

use crate::SharedQuotas;

/// A change of the [`crate::QuotaLedger`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuotaEntry {
    /// Replaces the shared quotas. This is valid only while no unit is leased or reserved.
    #[serde(rename = "Bounds")]
    Configure(SharedQuotas),
    /// Allows the broker to hold shares from now on.
    #[serde(rename = "Seat")]
    AddBroker {
        /// Name of the broker.
        broker: String,
    },
    /// Ends the broker's right to hold shares. This is valid only while it holds none.
    #[serde(rename = "Free")]
    RemoveBroker {
        /// Name of the broker.
        broker: String,
    },
    /// Sets units beyond the floor; shares that are not listed stay as they are.
    #[serde(rename = "Parts")]
    SetShares {
        /// New sizes, at most one for each broker and quota.
        #[serde(rename = "parts")]
        shares: Vec<QuotaShare>,
    },
    /// Releases reserved units: by the leader's clock the broker has stopped using what it held before this generation.
    #[serde(rename = "Settled")]
    Release {
        /// Name of the broker.
        broker: String,
        /// Generation of the shrink whose release is awaited.
        generation: u64,
    },
}

/// The size of one broker's share of one quota.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaShare {
    /// Name of the broker.
    pub broker: String,
    /// Name of the quota.
    #[serde(rename = "bound")]
    pub quota: String,
    /// Units beyond the floor.
    pub units: u32,
}
