//! The control plane of a broker: a thread that runs consensus, leases, membership, quotas, settlement, rebalancing and
//! fills. It exchanges messages with the other brokers, stores its state in the data directory, and publishes the
//! active configuration to the broker's event loop.
//!
//! The control plane has its own thread because consensus waits for the disk, and the event loop must not block. The
//! event loop holds a [`ControlHandle`], which returns the currently applicable configuration without blocking.
//!
//! Unless stated otherwise, times are in seconds on the monotonic clock ([`monotonic_seconds`]).
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
    ControlPlaneConfig, CrashHook, CrashPoint, FillConfig, LinkRate, Partner, QuotaConfig, RebalanceConfig,
    TestDoubles,
};
pub use error::{ControlPlaneError, FillError, PlanError, VersionError};
pub use fill_client::{FillClient, FillRequest, FillResult, HttpFillClient};
pub use handle::{ActiveConfigWatch, ControlHandle, audit_phase};
pub use slow_start::{SlowStartPolicy, StartedNode};
pub use startup::{ControlPlane, start};
