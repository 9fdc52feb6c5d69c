//! Each broker's part of bounds that hold for the whole fleet: what all brokers together may send a cold node, spend on
//! further dispatches, take within a customer's quota. Pure: no clock, no socket, no chance.
//!
//! A bound is a whole of [`TOTAL_UNITS`] units. Each broker that may exist has a floor of it that is its own for good, lease or
//! not; the rest is spare, and leased: a [`QuotaLedger`], which is part of the agreed log, says who has how much of it. A part
//! that goes down counts at its old size until its broker has surely stopped acting on that ([`reusable_from`]); only then may
//! another's go up. So the sum stays within the whole at each moment, over any window that a bound is counted by, whatever
//! is lost, cut off, stopped or started again. What holds and why is proved in `docs/notes/quota.md`.

mod error;
mod ledger;
mod need;
mod own;
mod plan;
mod waits;

pub use error::QuotaError;
pub use ledger::{BrokerShares, QuotaLedger, UnitGrant};
pub use need::Demand;
pub use own::LocalQuota;
pub use plan::{PlannerConfig, ReceivedReport, SplitRule, next_entry, target_units};
pub use waits::{BrokerRun, ReuseDelays, reusable_from};

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Units in the whole of each bound; sums of whole numbers are exact.
pub const TOTAL_UNITS: u32 = 1_000_000;
/// Bounds of a fleet, and brokers that may share them.
pub const MAX_QUOTA_COUNT: usize = 256;
pub const MAX_BROKER_COUNT: u32 = 10_000;
/// Milliseconds.
pub const MAX_WINDOW_MILLIS: u64 = 3_600_000;

/// What is shared, and among how many; the same in each broker's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SharedQuotas {
    /// Names, each once.
    pub names: Vec<String>,
    /// Brokers that may exist at once.
    #[serde(rename = "brokers")]
    pub max_brokers: u32,
    /// Units that each of them has without any lease.
    #[serde(rename = "floor")]
    pub floor_units: u32,
    /// Milliseconds: the longest span over which one of these bounds is counted.
    #[serde(rename = "window")]
    pub window_millis: u64,
}

impl SharedQuotas {
    /// `share`: of the whole, split evenly as floors.
    pub fn new(names: Vec<String>, brokers: u32, share: f64, window: u64) -> Result<Self, QuotaError> {
        if !(share > 0.0 && share <= 1.0) {
            return Err(QuotaError::FloorRatio(share));
        }
        let floor = (f64::from(TOTAL_UNITS) * share) as u32 / brokers.max(1);
        let bounds = Self { names, max_brokers: brokers, floor_units: floor, window_millis: window };
        bounds.check()?;
        Ok(bounds)
    }

    pub fn check(&self) -> Result<(), QuotaError> {
        if !(1..=MAX_BROKER_COUNT).contains(&self.max_brokers) {
            return Err(QuotaError::BrokerCount { given: self.max_brokers, most: MAX_BROKER_COUNT });
        }
        if self.names.is_empty() || self.names.len() > MAX_QUOTA_COUNT {
            return Err(QuotaError::QuotaCount { given: self.names.len(), most: MAX_QUOTA_COUNT });
        }
        if let Some(name) = self.names.iter().enumerate().find(|(at, name)| self.names[..*at].contains(name))
        {
            return Err(QuotaError::DuplicateQuota(name.1.clone()));
        }
        if u64::from(self.floor_units) * u64::from(self.max_brokers) > u64::from(TOTAL_UNITS) {
            return Err(QuotaError::FloorsExceedTotal { floor: self.floor_units, brokers: self.max_brokers });
        }
        if !(1..=MAX_WINDOW_MILLIS).contains(&self.window_millis) {
            return Err(QuotaError::Window { given: self.window_millis, most: MAX_WINDOW_MILLIS });
        }
        Ok(())
    }

    /// Units that are no floor.
    pub fn spare_units(&self) -> u32 {
        TOTAL_UNITS - self.floor_units * self.max_brokers
    }
}

/// What of limits stands in the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuotaEntry {
    /// What is shared from now on; only while nothing is leased, nor counted as if it were.
    #[serde(rename = "Bounds")]
    Configure(SharedQuotas),
    /// A broker is one of those that may have a part.
    #[serde(rename = "Seat")]
    AddBroker { broker: String },
    /// It is so no more; only while nothing is leased to it.
    #[serde(rename = "Free")]
    RemoveBroker { broker: String },
    /// Units beyond the floor that brokers have from now on; what is not named stays.
    #[serde(rename = "Parts")]
    SetShares { parts: Vec<QuotaShare> },
    /// The leader's word, by its clock: the broker has stopped acting on what it had before this generation.
    #[serde(rename = "Settled")]
    Release { broker: String, generation: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaShare {
    pub broker: String,
    #[serde(rename = "bound")]
    pub quota: String,
    pub units: u32,
}

/// What a broker hears with its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocation {
    /// Of the ledger; it only grows.
    pub generation: u64,
    /// The agreed floor, units.
    #[serde(rename = "floor")]
    pub floor_units: u32,
    /// It is one of the brokers that may have a part, or one more may still come; if not, it has nothing, floor included.
    #[serde(rename = "counted")]
    pub admitted: bool,
    /// Generation of the last entry by which a part of its own went down.
    #[serde(rename = "shrunk")]
    pub shrunk_generation: u64,
    /// Units beyond the floor.
    #[serde(rename = "parts")]
    pub leased_units: BTreeMap<String, u32>,
}

/// What a broker says with each question for a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DemandReport {
    /// [`Allocation::shrunk_generation`] of what it acts on; 0 if it has heard of nothing in this run.
    #[serde(rename = "shrunk")]
    pub shrunk_generation: u64,
    /// What its own file shares.
    #[serde(rename = "bounds")]
    pub shared: SharedQuotas,
    /// Units of each bound that it would use, floor included.
    #[serde(rename = "needs")]
    pub demand_units: BTreeMap<String, u32>,
}
