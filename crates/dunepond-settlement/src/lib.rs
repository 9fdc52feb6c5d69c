//! Transfer accounting between partners, and the replica fills that settle debts.
//!
//! The crate does no I/O, starts no threads and reads no clock. The caller passes `now` in seconds on a monotonic clock.
//! Amounts are in bytes and rates in bytes per second. Random choices come from a seeded generator.
//!
//! Partners carry traffic for each other's tenants. The carried bytes are a debt of the tenant's partner (the debtor) to the
//! partner that carried them (the creditor). A debt is paid off by filling a replica on a node of the creditor from a node of
//! the debtor.
//!
//! - [`CarriedCounts`]: the carried bytes that brokers have counted. They can be merged in any order.
//! - [`LocalCounts`]: the counts that one broker stores across restarts. [`CountsReplication`] sends them to peers.
//! - [`SettlementLedger`]: the settlements, and the shares of debts that brokers may settle, applied in the order of the
//!   consensus log.
//! - [`Balances`]: net debts, computed from the counts and the ledger.
//! - [`FillPlanner`]: chooses the source of each fill. [`FillProgress`] tracks one fill.
//! - [`SharePromises`]: settlements that this broker has promised from its shares of debts, also while it cannot reach the
//!   consensus log.
#![warn(missing_docs)]

mod balances;
mod counts;
mod demand;
mod error;
mod fairness;
mod fill;
mod ledger;
mod netting;
mod planner;
mod promises;
mod replication;
mod started_fills;

use serde::{Deserialize, Serialize};

pub use balances::{Balances, Discrepancy, NetDebt, SettlementTerms};
pub use counts::{BrokerPartners, CarriedCounts, LocalCounts};
pub use demand::{
    FillDemand, FillPlan, FillSource, LinkCapacities, NodeCapacity, PartnerPair, PlanningRule,
    SlowStartCapacity, WaitReason, WaitingDemand, max_slow_start_units,
};
pub use error::SettlementError;
pub use fairness::{jain_index, max_min, max_min_rates};
pub use fill::{Fill, FillAction, FillEvent, FillProgress, FillRetryPolicy, FillState};
pub use ledger::{
    Allotment, AllottedShare, ApplyOutcome, DebtShare, SettlementEntry, SettlementLedger, ShareRelease,
};
pub use planner::{FillPlanner, plan};
pub use promises::{SharePromises, allot_evenly};
pub use replication::{CountsMessage, CountsReplication};
pub use started_fills::StartedFill;

/// The payment of a part of a debt by one fill. The ledger applies each settlement at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Settlement {
    /// `FILL@BROKER`: the fill's id, and the broker whose share of the debt is spent; see [`Settlement::new`].
    pub id: String,
    /// Partner whose debt is reduced.
    pub debtor: String,
    /// Partner to which the debt is owed.
    pub creditor: String,
    /// Bytes of the debt that the fill pays off.
    pub bytes: u64,
    /// Id of the segment that was filled.
    pub segment: u64,
    /// Name of the node that was filled. The field keeps this name because it appears in log lines.
    pub holder: String,
    /// Name of the node that the segment was copied from.
    pub source: String,
}

impl Settlement {
    /// Creates the settlement of `fill`, which `broker` carries out and which pays off `bytes` of what `debtor` owes
    /// `creditor`.
    ///
    /// A fill has the same id at every broker and after every crash, and the ledger accepts only one settlement per fill, so it
    /// cannot be settled twice.
    ///
    /// # Errors
    /// Returns [`SettlementError::InvalidName`] if the broker's name is empty or contains `@`, which would make the id
    /// ambiguous.
    pub fn new(
        fill: &Fill,
        broker: &str,
        debtor: &str,
        creditor: &str,
        bytes: u64,
    ) -> Result<Settlement, SettlementError> {
        if broker.is_empty() || broker.contains('@') {
            return Err(SettlementError::InvalidName { name: broker.to_string() });
        }
        Ok(Settlement {
            id: format!("{}@{broker}", fill.id),
            debtor: debtor.to_string(),
            creditor: creditor.to_string(),
            bytes,
            segment: fill.segment,
            holder: fill.node.clone(),
            source: fill.source.clone(),
        })
    }

    /// Id of the fill that pays off the debt.
    pub fn fill(&self) -> &str {
        self.id.rsplit_once('@').map_or(&self.id, |(fill, _)| fill)
    }

    /// Broker whose share of the debt is spent; empty if the settlement's id names no broker.
    pub fn broker(&self) -> &str {
        self.id.rsplit_once('@').map_or("", |(_, broker)| broker)
    }

    /// Number of the configuration version whose shard map required the fill; `None` if the id contains no number.
    pub fn version(&self) -> Option<u64> {
        self.id.split_once('/')?.0.parse().ok()
    }
}
