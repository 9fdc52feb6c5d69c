//! Deterministic simulation of a fleet's consensus. It runs the voter and the lease client of `dunepond-consensus`,
//! which use no sockets, clocks or files of their own, on a simulated network, clocks and folders. The seed determines
//! which faults occur and when.
//!
//! [`fleet::Fleet`] is the simulation engine: voters and lease clients on an [`event_queue`] and a network that loses,
//! duplicates, delays and reorders messages and can be partitioned. Clocks run as fast or as slow as the configured
//! drift allows, folders have torn records, and brokers pause and crash. [`invariants`] are checked at each step.
//! [`scenario`] injects faults into a fleet of any size. The same calls with the same seed give the same run; two runs
//! are compared by the hash [`fleet::Fleet::trace`]. Times are in seconds.
#![warn(missing_docs)]

pub mod event_queue;
pub mod fixtures;
pub mod fleet;
pub mod invariants;
pub mod scenario;
pub mod settlements;
