//! Fleet-wide quotas that are leased to brokers in shares: what all brokers together may send to a node in slow start,
//! spend on retries and hedged requests, or admit within a tenant's quota. The crate is pure: it uses no clock, socket
//! or randomness.
//!
//! Each quota is divided into [`TOTAL_UNITS`] units. Each broker, up to the configured maximum number of brokers, owns
//! a fixed part of these units, its floor, without any lease; the remaining units are spare and are leased. A
//! [`QuotaLedger`], replicated through the consensus log, records how many of the spare units each broker holds. A
//! share that shrinks stays reserved at its old size until its broker has certainly stopped using that size
//! ([`reusable_from`]); only then may another share grow. What all brokers together use therefore stays within the
//! total at every moment and over any window over which a quota is counted, even if messages are lost, the network is
//! partitioned, or brokers stop or restart. The proof is in `docs/notes/quota.md`.
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
pub use reuse::{LeasedProcess, ReuseDelays, reusable_from};
pub use shared_quotas::{MAX_BROKER_COUNT, MAX_QUOTA_COUNT, MAX_WINDOW_MILLIS, SharedQuotas, TOTAL_UNITS};
