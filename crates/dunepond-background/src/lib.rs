//! Background jobs that never delay queries.
//!
//! [`Scheduler`] decides which job runs next; it has no threads and no clock. [`Pool`] is a few threads for jobs that may
//! block. Times are seconds on the caller's clock; sizes are bytes.

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
