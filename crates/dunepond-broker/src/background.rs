//! Background jobs of the broker: runs what the scheduler orders, between iterations or on the thread pool.

use dunepond_background::{
    DroppedJob, FinishedJob, JobId, JobSpec, Outcome, Pool, ResourceUse, Scheduler, StartedJob,
};

use crate::clock::{self, TimerEvent, Timers};

/// Schedules background jobs and passes blocking ones to a thread pool.
pub struct Background {
    scheduler: Scheduler,
    /// `None` if there are no blocking jobs.
    pool: Option<Pool>,
    timer: Option<(f64, clock::TimerKey)>,
}

impl Background {
    /// Without a pool no blocking job may be added.
    pub fn new(scheduler: Scheduler, pool: Option<Pool>) -> Self {
        Self { scheduler, pool, timer: None }
    }

    /// The thread pool for blocking jobs, if there is one.
    pub fn pool(&self) -> Option<&Pool> {
        self.pool.as_ref()
    }

    /// Adds a job; `now` in Unix seconds.
    pub fn add(&mut self, now: f64, spec: JobSpec) -> JobId {
        self.scheduler.add(now, spec)
    }

    /// The next job that may run; `idle` if the loop has nothing else to do.
    pub fn next(&mut self, now: f64, idle: bool) -> Option<StartedJob> {
        self.scheduler.next(now, idle)
    }

    /// A step has run, for so many seconds.
    pub fn on_step_done(&mut self, now: f64, id: JobId, outcome: Outcome, seconds: f64) {
        self.scheduler.finish(now, id, outcome, ResourceUse { seconds, bytes: 0 });
    }

    /// A job on the thread pool has ended.
    pub fn on_job_finished(&mut self, now: f64, finished: FinishedJob) {
        self.scheduler.finish(now, finished.id, finished.outcome, finished.used);
    }

    /// Takes the jobs that were dropped and will not run.
    pub fn dropped(&mut self) -> Vec<DroppedJob> {
        self.scheduler.drain_dropped()
    }

    /// Schedules the timer for the next job.
    pub fn schedule_timer(&mut self, now: f64, timers: &mut Timers) {
        let due = self.scheduler.next_wakeup(now).map(|due| due.max(now + 0.001));
        let sooner = match (due, self.timer) {
            (Some(due), Some((set, _))) => due < set - 1e-4,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if sooner && let Some(due) = due {
            timers.cancel(self.timer.map(|timer| timer.1));
            self.timer = Some((due, timers.schedule(due, TimerEvent::BackgroundJob)));
        }
    }

    /// The timer has fired.
    pub fn on_timer(&mut self) {
        self.timer = None;
    }

    /// A log line with the counters of each kind of job.
    pub fn report(&self) -> String {
        let each = self.scheduler.counters().map(|(name, c)| {
            format!(
                "{name}: {} done, {} failed, {} expired, {} given up, {:.3} s, {} bytes, waited {:.3} s at most",
                c.done, c.failed, c.expired, c.abandoned, c.seconds, c.bytes, c.longest_wait_seconds
            )
        });
        each.collect::<Vec<_>>().join("; ")
    }
}
