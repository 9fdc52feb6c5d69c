//! Background jobs that run within a budget, so that they do not delay queries.
//!
//! [`Scheduler`] decides which job runs next; it has no threads and reads no clock. [`Pool`] has a few threads of
//! its own, on which it runs jobs that may block. Times are in seconds on the caller's clock; sizes are in bytes.

#![warn(missing_docs)]

mod budget;
mod job;
mod pool;
mod scheduler;

pub use budget::Budget;
pub use job::{
    DroppedJob, JobCost, JobCounters, JobId, JobKind, JobSpec, Outcome, Priority, ResourceUse, RetryPolicy,
    StartedJob,
};
pub use pool::{FinishedJob, Pool};
pub use scheduler::Scheduler;
