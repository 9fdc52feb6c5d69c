//! Scenarios of a simulated fleet, one for each way in which a change may be disturbed. The fleet checks its invariants
//! at each step; the scenarios check the outcome.

mod folders;
mod partitions;
mod pauses;
mod restarts;
mod rollout;
mod support;
