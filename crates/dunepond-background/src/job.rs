//! Types that describe background jobs: their specifications, their results and their counters.

/// Number of a job, unique within a [`crate::Scheduler`].
pub type JobId = u64;

/// Priority of a job. Of two jobs that may run, the one of higher priority runs first, unless the other has waited much
/// longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Lowest priority, for jobs that need not run soon.
    Idle,
    /// For jobs that should run soon.
    Normal,
    /// Highest priority, for jobs that must not be delayed if a guarantee is to be kept.
    Urgent,
}

/// Whether a job runs on the caller's thread or on the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// The job runs as short, bounded steps on the caller's thread while nothing else waits there.
    Step,
    /// The job may block on the disk, so it runs on the [`crate::Pool`].
    Blocking,
}

/// How a failed job is retried. Each retry starts after a back-off, which doubles with each failure up to its maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Back-off after the first failure.
    pub initial_backoff_seconds: f64,
    /// Upper limit of the back-off.
    pub max_backoff_seconds: f64,
    /// Number of failed runs after which the job is dropped; `None` for no limit.
    pub max_attempts: Option<u32>,
}

/// Estimated cost of one run. The actual cost is reported as [`ResourceUse`] when the run ends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobCost {
    /// Bytes that the run is expected to write to the disk.
    pub bytes: u64,
}

/// Specification of a job to be added to the scheduler.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// Name under which [`JobCounters`] are kept for the job; several jobs may share a name.
    pub name: &'static str,
    /// Priority among the jobs that may run.
    pub priority: Priority,
    /// Whether the job runs on the caller's thread or on the pool.
    pub kind: JobKind,
    /// Estimated cost of one run.
    pub cost: JobCost,
    /// Earliest time at which the job may start.
    pub not_before: f64,
    /// Time from which the job is useless. A waiting job is dropped at that time; a run that has started is not
    /// interrupted. `None` for no deadline.
    pub deadline: Option<f64>,
    /// How failures are retried; `None` if the first failure is final.
    pub retry: Option<RetryPolicy>,
}

/// A job that the caller must run now. The caller must report the end of the run with [`crate::Scheduler::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedJob {
    /// Number of the job.
    pub id: JobId,
    /// Name of the job, as in its [`JobSpec`].
    pub name: &'static str,
    /// Whether to run the job on the caller's thread or on the pool.
    pub kind: JobKind,
    /// Number of earlier runs of the job that failed.
    pub failed_attempts: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job is complete.
    Done,
    /// One step of the job is complete, and more steps remain.
    Yielded,
    /// The run failed; the job is retried as its [`RetryPolicy`] permits.
    Failed,
}

/// Resources that a run has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUse {
    /// Seconds of the caller's thread time; 0 for a blocking job.
    pub seconds: f64,
    /// Bytes written to the disk.
    pub bytes: u64,
}

/// A job that was dropped because its deadline passed, or because it failed and may not be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedJob {
    /// Number of the job.
    pub id: JobId,
    /// Name of the job, as in its [`JobSpec`].
    pub name: &'static str,
}

/// Counters of all jobs with one name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobCounters {
    /// Jobs that completed.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Jobs that were dropped because their deadline passed.
    pub expired: u64,
    /// Jobs that were dropped because they failed and may not be retried.
    pub abandoned: u64,
    /// Seconds of the caller's thread time that the jobs used.
    pub seconds: f64,
    /// Bytes written to the disk.
    pub bytes: u64,
    /// Longest time from when a job became due until its first run started.
    pub longest_wait_seconds: f64,
}
