//! Fleet-wide quotas that are leased to brokers in shares: what all brokers together may send to a node in slow start,
//! spend on retries and hedged requests, or admit within a tenant's quota. The crate is pure: it uses no clock, socket
//! or randomness.
//!
//! A quota has [`TOTAL_UNITS`]. Each broker that may exist owns a floor of it without any lease; the rest is spare and
//! leased. A [`QuotaLedger`], replicated through the consensus log, records who holds how many of the spare units. A
//! share that shrinks stays reserved at its old size until its broker has certainly stopped using that size
//! ([`reusable_from`]); only then may another share grow. The sum therefore stays within the total at every moment, over
//! any window by which a quota is counted, whatever is lost, partitioned, stopped or restarted. The proof is in
//! `docs/notes/quota.md`.
#![warn(missing_docs)]

mod demand;
mod entry;
mod error;
mod ledger;
mod local_quota;
mod planner;
mod reuse;
mod shared_quotas;

pub use demand::{Demand, DemandReport};
pub use entry::{QuotaEntry, QuotaShare};
pub use error::QuotaError;
pub use ledger::{BrokerShares, QuotaLedger, UnitGrant};
pub use local_quota::{Allocation, LocalQuota};
pub use planner::{PlannerConfig, ReceivedReport, SplitRule, next_entry, target_units};
pub use reuse::{BrokerRun, ReuseDelays, reusable_from};
pub use shared_quotas::{MAX_BROKER_COUNT, MAX_QUOTA_COUNT, MAX_WINDOW_MILLIS, SharedQuotas, TOTAL_UNITS};
