//! Decides which job runs next, by priority and waiting time. A job starts only within the budget and before its
//! deadline. A failed job is retried only after its back-off.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::budget::{Budget, TokenBucket};
use crate::job::{
    DroppedJob, JobCounters, JobId, JobKind, JobSpec, Outcome, ResourceUse, RetryPolicy, StartedJob,
};

/// Waiting time that counts as much as one level of priority, so that jobs of the lowest priority are not starved.
const SECONDS_PER_PRIORITY: f64 = 2.0;
/// Largest share of a back-off by which random jitter shortens it, so that jobs that failed together are not all
/// retried at the same time.
const BACKOFF_JITTER_RATIO: f64 = 0.5;
/// Limit on the number of doublings of a back-off, which keeps the computed value finite.
const MAX_BACKOFF_DOUBLINGS: u32 = 62;

/// A job that is waiting or running.
struct Job {
    spec: JobSpec,
    /// Time from which the job may run. The waiting time that counts towards its rank also starts here.
    due_at: f64,
    failed_attempts: u32,
    running: bool,
    /// Whether the job has run at least once.
    started: bool,
    /// Whether the job was cancelled while running; it is dropped when the run ends.
    cancelled: bool,
}

/// Keeps the background jobs and decides which one runs next. Has no threads and reads no clock: the caller passes the
/// time, runs the jobs and reports how they ended.
pub struct Scheduler {
    budget: Budget,
    rng: Pcg64Mcg,
    jobs: BTreeMap<JobId, Job>,
    last_id: JobId,
    /// Budget for steps on the caller's thread; one token is one second of that thread's time.
    time: TokenBucket,
    /// Budget for writes to the disk; one token is one byte.
    bytes: TokenBucket,
    /// Number of blocking jobs that are running.
    blocking_jobs: usize,
    counters: BTreeMap<&'static str, JobCounters>,
    /// Dropped jobs that [`Scheduler::drain_dropped`] has not returned yet.
    dropped: Vec<DroppedJob>,
}

impl Scheduler {
    /// Creates a scheduler without jobs. `seed` seeds the jitter of back-offs.
    pub fn new(budget: Budget, seed: u64) -> Self {
        Self {
            time: TokenBucket::new(budget.time_ratio),
            bytes: TokenBucket::new(budget.bytes_per_second),
            budget,
            rng: Pcg64Mcg::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            last_id: 0,
            blocking_jobs: 0,
            counters: BTreeMap::new(),
            dropped: Vec::new(),
        }
    }

    /// Adds a job and returns its number.
    pub fn add(&mut self, now: f64, spec: JobSpec) -> JobId {
        self.last_id += 1;
        let due_at = spec.not_before.max(now);
        let job = Job { spec, due_at, failed_attempts: 0, running: false, started: false, cancelled: false };
        self.jobs.insert(self.last_id, job);
        self.last_id
    }

    /// Cancels a job. A running job is not interrupted, but it is neither continued nor retried.
    pub fn cancel(&mut self, id: JobId) {
        match self.jobs.get_mut(&id) {
            Some(job) if job.running => job.cancelled = true,
            _ => drop(self.jobs.remove(&id)),
        }
    }

    /// Starts the next job that may run, and returns it; `None` if there is none. `caller_idle` says whether nothing
    /// else waits on the caller's thread; if it is false, no [`JobKind::Step`] job is started.
    pub fn next(&mut self, now: f64, caller_idle: bool) -> Option<StartedJob> {
        self.expire(now);
        self.time.refill(now);
        self.bytes.refill(now);
        let id = self.best_runnable(now, caller_idle)?;
        let job = self.jobs.get_mut(&id)?;
        job.running = true;
        if !job.started {
            job.started = true;
            let counters = self.counters.entry(job.spec.name).or_default();
            counters.longest_wait_seconds = counters.longest_wait_seconds.max(now - job.due_at);
        }
        if job.spec.kind == JobKind::Blocking {
            self.blocking_jobs += 1;
        }
        // The estimated bytes are taken when the job starts, so that no second job starts on the same budget. They are
        // corrected when the run ends.
        self.bytes.take(job.spec.cost.bytes as f64);
        Some(StartedJob {
            id,
            name: job.spec.name,
            kind: job.spec.kind,
            failed_attempts: job.failed_attempts,
        })
    }

    /// Returns the job to start next: of the jobs that may run, the one with the highest rank, which combines priority
    /// and waiting time. Of jobs with equal ranks, the one that was added first comes first.
    fn best_runnable(&self, now: f64, caller_idle: bool) -> Option<JobId> {
        let rank = |job: &Job| job.spec.priority as u8 as f64 + (now - job.due_at) / SECONDS_PER_PRIORITY;
        let mut best: Option<(f64, JobId)> = None;
        for (&id, job) in &self.jobs {
            let rank = rank(job);
            let is_better = best.is_none_or(|(best_rank, _)| rank.total_cmp(&best_rank).is_gt());
            if is_better && self.may_run(job, now, caller_idle) {
                best = Some((rank, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Whether a job may start now: it is due, not running and within the budget. A [`JobKind::Step`] job may start
    /// only if `caller_idle` is true, that is, if nothing else waits on the caller's thread.
    fn may_run(&self, job: &Job, now: f64, caller_idle: bool) -> bool {
        if job.running || job.due_at > now {
            return false;
        }
        let has_room = match job.spec.kind {
            JobKind::Step => caller_idle && self.time.is_open(),
            JobKind::Blocking => self.blocking_jobs < self.budget.max_blocking_jobs,
        };
        has_room && (job.spec.cost.bytes == 0 || self.bytes.is_open())
    }

    /// Records the end of a run. A completed job is removed, a yielded one becomes due again, and a failed one is
    /// retried or dropped.
    pub fn finish(&mut self, now: f64, id: JobId, outcome: Outcome, used: ResourceUse) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.running) else { return };
        job.running = false;
        if job.spec.kind == JobKind::Blocking {
            self.blocking_jobs -= 1;
        }
        self.time.take(used.seconds);
        self.bytes.give_back(job.spec.cost.bytes as f64 - used.bytes as f64);
        let counters = self.counters.entry(job.spec.name).or_default();
        counters.seconds += used.seconds;
        counters.bytes += used.bytes;
        match outcome {
            Outcome::Done => {
                counters.done += 1;
                self.jobs.remove(&id);
            }
            // The job's waiting time restarts after each step. Otherwise a job of many steps would come to outrank all
            // other jobs.
            Outcome::Yielded if !job.cancelled => job.due_at = now,
            Outcome::Yielded => drop(self.jobs.remove(&id)),
            Outcome::Failed => self.retry_or_drop(now, id),
        }
    }

    /// Schedules a retry of a failed job after its back-off, or drops the job if it may not be retried.
    fn retry_or_drop(&mut self, now: f64, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let name = job.spec.name;
        let counters = self.counters.entry(name).or_default();
        counters.failed += 1;
        job.failed_attempts += 1;
        if let Some(retry) = job.spec.retry.filter(|retry| job.may_retry(retry)) {
            let doublings = (job.failed_attempts - 1).min(MAX_BACKOFF_DOUBLINGS) as i32;
            let backoff =
                (retry.initial_backoff_seconds * 2f64.powi(doublings)).min(retry.max_backoff_seconds);
            let jitter: f64 = self.rng.random_range(1.0 - BACKOFF_JITTER_RATIO..=1.0);
            job.due_at = now + jitter * backoff;
            return;
        }
        counters.abandoned += 1;
        self.dropped.push(DroppedJob { id, name });
        self.jobs.remove(&id);
    }

    /// Drops the jobs whose deadline has passed, except running ones.
    fn expire(&mut self, now: f64) {
        let mut expired = Vec::new();
        for (id, job) in &self.jobs {
            if !job.running && job.spec.deadline.is_some_and(|deadline| now >= deadline) {
                expired.push(*id);
            }
        }
        for id in expired {
            if let Some(job) = self.jobs.remove(&id) {
                let name = job.spec.name;
                self.counters.entry(name).or_default().expired += 1;
                self.dropped.push(DroppedJob { id, name });
            }
        }
    }

    /// Returns the jobs that were dropped since the last call because their deadline passed, or because they failed and
    /// may not be retried.
    pub fn drain_dropped(&mut self) -> Vec<DroppedJob> {
        std::mem::take(&mut self.dropped)
    }

    /// Earliest time, at or after `now`, at which a waiting job may run. `None` if no job is waiting, or if each
    /// waiting job can only start after a running blocking job has ended.
    pub fn next_wakeup(&self, now: f64) -> Option<f64> {
        let waiting = self.jobs.values().filter(|job| !job.running);
        waiting.filter_map(|job| self.may_run_at(job, now)).min_by(f64::total_cmp)
    }

    /// Earliest time at which a waiting job may run; `None` if a running blocking job has to end first.
    fn may_run_at(&self, job: &Job, now: f64) -> Option<f64> {
        let room_at = match job.spec.kind {
            JobKind::Step => self.time.opens_at(now),
            JobKind::Blocking if self.blocking_jobs >= self.budget.max_blocking_jobs => return None,
            JobKind::Blocking => now,
        };
        let bytes_at = if job.spec.cost.bytes > 0 { self.bytes.opens_at(now) } else { now };
        Some(job.due_at.max(room_at).max(bytes_at))
    }

    /// Number of jobs, waiting or running.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Counters of all jobs, by job name.
    pub fn counters(&self) -> impl Iterator<Item = (&'static str, JobCounters)> {
        self.counters.iter().map(|(name, counters)| (*name, *counters))
    }
}

impl Job {
    /// Whether the job may run again after its failed attempts so far.
    fn may_retry(&self, policy: &RetryPolicy) -> bool {
        !self.cancelled && policy.max_attempts.is_none_or(|max| self.failed_attempts < max)
    }
}
