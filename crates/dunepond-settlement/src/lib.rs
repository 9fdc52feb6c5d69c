//! Transfer accounting between partners, and the replica fills that settle it. Pure: no socket, file, clock or thread. `now`
//! is in seconds on a monotonic clock and handed in, amounts are bytes, rates bytes a second, randomness comes from a seed.
//!
//! Partners carry traffic for each other. A debt is paid off by taking a fill from the debtor's nodes. [`CarriedCounts`] are
//! what brokers saw, merged in any order; [`LocalCounts`] are one broker's own part over restarts, [`CountsReplication`]
//! sends them to peers. [`SettlementLedger`] is the committed part: shares and settlements, in the order of the consensus
//! log. [`Balances`] makes net debts of both. [`FillPlanner`] chooses the source of each fill, [`FillProgress`] follows one
//! fill, [`SharePromises`] are what this broker may promise without reaching the log.
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
    SlowStartCapacity, WaitReason, WaitingDemand, max_units,
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

/// What one fill pays off: a committed entry, applied exactly once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Settlement {
    /// `FILL@BROKER`: the fill's id, and the broker from whose share it is taken; see [`Settlement::new`].
    pub id: String,
    /// Partner whose debt shrinks.
    pub debtor: String,
    /// Partner to whom it owes less.
    pub creditor: String,
    /// Bytes that are paid off.
    pub bytes: u64,
    /// Id of the segment that was filled.
    pub segment: u64,
    /// Node that was filled. The name shows in log lines.
    pub holder: String,
    /// Node that it was filled from.
    pub source: String,
}

impl Settlement {
    /// For a fill that `broker` carried out, and that pays off `bytes`. The same fill has the same id at every broker and
    /// after every crash, so that it cannot settle twice.
    ///
    /// # Errors
    /// The name of the broker would make the id ambiguous.
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

    /// Id of the fill that paid.
    pub fn fill(&self) -> &str {
        self.id.rsplit_once('@').map_or(&self.id, |(fill, _)| fill)
    }

    /// Broker from whose share it is taken; empty where the id names none.
    pub fn broker(&self) -> &str {
        self.id.rsplit_once('@').map_or("", |(_, broker)| broker)
    }

    /// Number of the version for whose map the fill was done.
    pub fn version(&self) -> Option<u64> {
        self.id.split_once('/')?.0.parse().ok()
    }
}
