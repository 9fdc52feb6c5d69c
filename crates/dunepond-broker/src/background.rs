//! Runs the broker's background jobs as the scheduler decides, between iterations of the event loop or on the thread
//! pool.

use dunepond_background::{
    DroppedJob, FinishedJob, JobId, JobSpec, Outcome, Pool, ResourceUse, Scheduler, StartedJob,
};

use crate::clock::{self, TimerEvent, Timers};

/// The scheduler of background jobs, and the thread pool for blocking ones.
pub struct Background {
    scheduler: Scheduler,
    /// The thread pool; `None` if there are no blocking jobs.
    pool: Option<Pool>,
    /// When the pending timer for the next job fires, in Unix seconds, and its key; `None` if no timer is pending.
    timer: Option<(f64, clock::TimerKey)>,
}

impl Background {
    /// Creates an instance without jobs. If there is no pool, no blocking job may be added.
    pub fn new(scheduler: Scheduler, pool: Option<Pool>) -> Self {
        Self { scheduler, pool, timer: None }
    }

    /// Returns the thread pool for blocking jobs; `None` if there is none.
    pub fn pool(&self) -> Option<&Pool> {
        self.pool.as_ref()
    }

    /// Adds a job. `now` is in Unix seconds.
    pub fn add(&mut self, now: f64, spec: JobSpec) -> JobId {
        self.scheduler.add(now, spec)
    }

    /// Starts the next job that may run, if any. `idle` says whether the event loop has nothing else to do.
    pub fn next(&mut self, now: f64, idle: bool) -> Option<StartedJob> {
        self.scheduler.next(now, idle)
    }

    /// Records that a step of a job has run for `seconds`.
    pub fn on_step_done(&mut self, now: f64, id: JobId, outcome: Outcome, seconds: f64) {
        self.scheduler.finish(now, id, outcome, ResourceUse { seconds, bytes: 0 });
    }

    /// Records the end of a job on the thread pool.
    pub fn on_job_finished(&mut self, now: f64, finished: FinishedJob) {
        self.scheduler.finish(now, finished.id, finished.outcome, finished.used);
    }

    /// Returns and removes the jobs that were dropped and will not run.
    pub fn dropped(&mut self) -> Vec<DroppedJob> {
        self.scheduler.drain_dropped()
    }

    /// Schedules the timer for the next job, unless a timer that fires earlier is pending.
    pub fn schedule_timer(&mut self, now: f64, timers: &mut Timers) {
        let due = self.scheduler.next_wakeup(now).map(|due| due.max(now + 0.001));
        let is_sooner = match (due, self.timer) {
            (Some(due), Some((set, _))) => due < set - 1e-4,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_sooner && let Some(due) = due {
            timers.cancel(self.timer.map(|timer| timer.1));
            self.timer = Some((due, timers.schedule(due, TimerEvent::BackgroundJob)));
        }
    }

    /// Records that the timer has fired.
    pub fn on_timer(&mut self) {
        self.timer = None;
    }

    /// Returns the counters of each kind of job as the text of a log line.
    pub fn report(&self) -> String {
        let kinds = self.scheduler.counters().map(|(name, counters)| {
            format!(
                "{name}: {} done, {} failed, {} expired, {} given up, {:.3} s, {} bytes, waited {:.3} s at most",
                counters.done,
                counters.failed,
                counters.expired,
                counters.abandoned,
                counters.seconds,
                counters.bytes,
                counters.longest_wait_seconds
            )
        });
        kinds.collect::<Vec<_>>().join("; ")
    }
}
