//! The consensus of a fleet in simulated time: its *cores* (the voter and the lease client of `dunepond-consensus`, which know
//! no socket, clock or file) on a network, clocks and folders that fail by seed.
//!
//! [`fleet::Fleet`] is the engine: voters and lease clients on an [`event_queue`] and a network that loses, duplicates,
//! delays, reorders and partitions, with clocks at the limits of the drift, folders with torn records, pauses and crashes.
//! [`invariants`] are checked at each step. [`scenario`] drives a fleet of any size through faults. The same calls with the
//! same seed give the same run, which its trace shows. Times are in seconds.
#![warn(missing_docs)]

pub mod event_queue;
pub mod fixtures;
pub mod fleet;
pub mod invariants;
pub mod scenario;
pub mod settlements;
