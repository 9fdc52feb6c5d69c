//! What the consensus log records about quotas. The serialised names are those of the log's format.

use serde::{Deserialize, Serialize};

use crate::SharedQuotas;

/// A change of the [`crate::QuotaLedger`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuotaEntry {
    /// Replaces what is shared. Valid only while no unit is leased or reserved.
    #[serde(rename = "Bounds")]
    Configure(SharedQuotas),
    /// The broker may hold shares from now on.
    #[serde(rename = "Seat")]
    AddBroker {
        /// Its name.
        broker: String,
    },
    /// The broker may hold no shares any more. Valid only while it holds none.
    #[serde(rename = "Free")]
    RemoveBroker {
        /// Its name.
        broker: String,
    },
    /// Units beyond the floor from now on; shares that are not listed stay as they are.
    #[serde(rename = "Parts")]
    SetShares {
        /// New sizes, one for each broker and quota at most.
        #[serde(rename = "parts")]
        shares: Vec<QuotaShare>,
    },
    /// The leader's clock says that the broker has stopped using what it held before this generation.
    #[serde(rename = "Settled")]
    Release {
        /// Its name.
        broker: String,
        /// Of the shrink that is waited for.
        generation: u64,
    },
}

/// Size of one broker's share of one quota.
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
