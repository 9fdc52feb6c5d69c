//! Jobs: what is known of one before, while and after it runs.

/// A job's number; none is used twice.
pub type JobId = u64;

/// Of two jobs that may run, the one of higher priority runs first, unless the other has waited much longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Whenever there is time.
    Idle,
    /// Worth something soon.
    Normal,
    /// A guarantee depends on it.
    Urgent,
}

/// Where a job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// A short, bounded step on the caller's own thread, while nothing else waits there.
    Step,
    /// May wait for a disk: on the pool.
    Blocking,
}

/// How a failed job is retried. The backoff doubles with each failure up to its maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Backoff after the first failure.
    pub initial_backoff_seconds: f64,
    /// Longest backoff.
    pub max_backoff_seconds: f64,
    /// Most attempts in all; absent, as many as it takes.
    pub max_attempts: Option<u32>,
}

/// What a run is expected to take; what it did take is reported with its end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobCost {
    /// Bytes written to the disk.
    pub bytes: u64,
}

/// A job as it is added.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// Name that its counters are kept under.
    pub name: &'static str,
    /// Which of several runs first.
    pub priority: Priority,
    /// Where it runs.
    pub kind: JobKind,
    /// What a run is expected to take.
    pub cost: JobCost,
    /// It does not start before this time.
    pub not_before: f64,
    /// It does not start at this time or later: it is worth nothing by then.
    pub deadline: Option<f64>,
    /// Absent, a failure is final.
    pub retry: Option<RetryPolicy>,
}

/// A job that is to run now. Its end must be reported by [`crate::Scheduler::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedJob {
    /// The job's number.
    pub id: JobId,
    /// The name it was added under.
    pub name: &'static str,
    /// Where it is to run.
    pub kind: JobKind,
    /// Runs that have failed before.
    pub failed_attempts: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job is complete.
    Done,
    /// A step of it is; there are more.
    Yielded,
    /// It may be retried.
    Failed,
}

/// What a run has taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUse {
    /// Time of the caller's thread that was used; a blocking job takes none.
    pub seconds: f64,
    /// Bytes written to the disk.
    pub bytes: u64,
}

/// A job that will not be done: it has expired or failed for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedJob {
    /// The job's number.
    pub id: JobId,
    /// The name it was added under.
    pub name: &'static str,
}

/// Counters of all jobs of one name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobCounters {
    /// Jobs that completed.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Jobs that did not start before their deadline.
    pub expired: u64,
    /// Jobs that failed and were not retried.
    pub abandoned: u64,
    /// Time of the caller's thread that was used.
    pub seconds: f64,
    /// Bytes written to the disk.
    pub bytes: u64,
    /// The longest that a job has waited, due, for its first run.
    pub longest_wait_seconds: f64,
}
