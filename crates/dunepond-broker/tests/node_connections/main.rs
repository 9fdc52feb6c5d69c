//! Attempts on node connections that are established late, block, break or are idle. The tests control the nodes step by step and
//! thereby the order of events.

mod answers;
mod cancellation;
mod harness;
mod late_connect;
mod queued;
