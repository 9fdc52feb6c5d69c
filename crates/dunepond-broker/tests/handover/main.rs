//! Attempts on connections that are established late, block, break or are idle. The nodes are controlled step by step, so that the test sets
//! the order of events.

mod answers;
mod cancellation;
mod harness;
mod late_connect;
mod queued;
