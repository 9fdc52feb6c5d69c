//! Scenarios of a simulated fleet in which faults disturb the change to another configuration version. The simulation
//! checks the fleet's invariants at each step; the scenarios check the outcome.

mod folders;
mod partitions;
mod pauses;
mod restarts;
mod rollout;
mod support;
