//! The control plane of a broker: a thread that hosts consensus, leases, membership, quotas, settlement and rebalancing,
//! between the other brokers, the data directory and the broker's event loop.
//!
//! It has a thread of its own because consensus waits for the disk, and the event loop must not. The event loop holds a
//! [`ControlHandle`], which returns at any moment what the broker may act on; none of its calls blocks.
//!
//! Times are seconds on the monotonic clock ([`monotonic_seconds`]) unless stated.
#![warn(missing_docs)]

mod audit_log;
mod clock;
mod commitments;
mod config;
mod control_loop;
mod data_directory;
mod documents;
mod error;
pub mod explain;
mod fill_client;
mod handle;
mod link_limits;
mod lost_majority;
mod slow_start;
mod startup;
#[cfg(test)]
mod tests;

pub use audit_log::{AuditEvent, AuditPhase, AuditRecord};
pub use clock::monotonic_seconds;
pub use config::{
    ControlPlaneConfig, CrashPoint, CrashPoints, FillConfig, LinkRate, Partner, QuotaConfig, RebalanceConfig,
    TestDoubles,
};
pub use error::{ControlPlaneError, FillError, PlanError, VersionError};
pub use fill_client::{FillClient, FillRequest, FillResult, HttpFillClient};
pub use handle::{ActiveConfigWatch, ControlHandle, audit_phase};
pub use slow_start::{SlowStartPolicy, StartedNode};
pub use startup::{ControlPlane, start};
