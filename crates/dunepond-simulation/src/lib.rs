//! Deterministic simulation of a fleet's consensus. It runs the *cores*, which are the voter and the lease client of
//! `dunepond-consensus` and use no sockets, clocks or files, on a simulated network, clocks and folders. The seed
//! determines which of them fail and when.
//!
//! [`fleet::Fleet`] is the simulation engine: voters and lease clients on an [`event_queue`] and a network that loses,
//! duplicates, delays and reorders messages and can be partitioned, with clocks at the limits of the drift, folders
//! with torn records, pauses and crashes. [`invariants`] are checked at each step. [`scenario`] drives a fleet of any
//! size through faults. The same calls with the same seed give the same run; [`fleet::Fleet::trace`] is a hash to
//! compare runs by. Times are in seconds.
#![warn(missing_docs)]

pub mod event_queue;
pub mod fixtures;
pub mod fleet;
pub mod invariants;
pub mod scenario;
pub mod settlements;
