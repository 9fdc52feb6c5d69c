//! Background work that never delays the ordinary path: [`Scheduler`] decides what runs next and is free of threads and
//! clocks; [`Pool`] is the few threads on which what may block runs.

mod pool;
mod scheduler;

pub use pool::{Finished, Pool};
pub use scheduler::{
    Budget, Cost, Counts, Given, JobId, Kind, Outcome, Priority, Retry, Scheduler, Spec, Used,
};
