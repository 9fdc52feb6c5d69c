//! Which job runs next, and whether any may: by priority and age, within budgets, before its deadline, and after a failure
//! not before its backoff is over.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::budget::{Budget, TokenBucket};
use crate::job::{
    DroppedJob, JobCounters, JobId, JobKind, JobSpec, Outcome, ResourceUse, RetryPolicy, StartedJob,
};

/// Time of waiting that counts as much as one level of priority, so that the lowest priority is not starved.
const SECONDS_PER_PRIORITY: f64 = 2.0;
/// Share of a backoff by which a retry may come sooner: jobs that failed together must not be retried together.
const BACKOFF_JITTER_RATIO: f64 = 0.5;
/// Keeps the doubling of backoffs finite.
const MAX_BACKOFF_DOUBLINGS: u32 = 62;

struct Job {
    spec: JobSpec,
    /// Since when it could run.
    due_at: f64,
    failed_attempts: u32,
    running: bool,
    started: bool,
    cancelled: bool,
}

/// Decides which job runs next.
pub struct Scheduler {
    budget: Budget,
    rng: Pcg64Mcg,
    jobs: BTreeMap<JobId, Job>,
    last_id: JobId,
    time: TokenBucket,
    bytes: TokenBucket,
    blocking_jobs: usize,
    counters: BTreeMap<&'static str, JobCounters>,
    /// Dropped jobs that are not reported yet.
    dropped: Vec<DroppedJob>,
}

impl Scheduler {
    /// A scheduler without jobs. The seed is for the jitter of backoffs.
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

    /// Adds a job.
    pub fn add(&mut self, now: f64, spec: JobSpec) -> JobId {
        self.last_id += 1;
        let due_at = spec.not_before.max(now);
        let job = Job { spec, due_at, failed_attempts: 0, running: false, started: false, cancelled: false };
        self.jobs.insert(self.last_id, job);
        self.last_id
    }

    /// Cancels a job. One that is running ends as it ends, and is not retried.
    pub fn cancel(&mut self, id: JobId) {
        match self.jobs.get_mut(&id) {
            Some(job) if job.running => job.cancelled = true,
            _ => drop(self.jobs.remove(&id)),
        }
    }

    /// Starts the next job, if any may run. `caller_idle` says that nothing else waits on the caller's thread: no step
    /// starts otherwise.
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
        // Taken ahead, and corrected at the end: several jobs must not start on the same budget.
        self.bytes.take(job.spec.cost.bytes as f64);
        Some(StartedJob {
            id,
            name: job.spec.name,
            kind: job.spec.kind,
            failed_attempts: job.failed_attempts,
        })
    }

    /// Of the jobs that may run, the one with the highest priority and age; of equals the one added first.
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

    /// Reports the end of a run.
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
            // Its age restarts with each step: an endless job must not rise above all others.
            Outcome::Yielded if !job.cancelled => job.due_at = now,
            Outcome::Yielded => drop(self.jobs.remove(&id)),
            Outcome::Failed => self.retry_or_drop(now, id),
        }
    }

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

    /// Drops jobs whose deadline is over, unless they are running.
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

    /// Jobs dropped since the last call: expired, or failed for good.
    pub fn drain_dropped(&mut self) -> Vec<DroppedJob> {
        std::mem::take(&mut self.dropped)
    }

    /// When a job may run that may not now; none where only the end of a running one can change that.
    pub fn next_wakeup(&self, now: f64) -> Option<f64> {
        let waiting = self.jobs.values().filter(|job| !job.running);
        waiting.filter_map(|job| self.may_run_at(job, now)).min_by(f64::total_cmp)
    }

    fn may_run_at(&self, job: &Job, now: f64) -> Option<f64> {
        let room_at = match job.spec.kind {
            JobKind::Step => self.time.opens_at(now),
            JobKind::Blocking if self.blocking_jobs >= self.budget.max_blocking_jobs => return None,
            JobKind::Blocking => now,
        };
        let bytes_at = if job.spec.cost.bytes > 0 { self.bytes.opens_at(now) } else { now };
        Some(job.due_at.max(room_at).max(bytes_at))
    }

    /// How many jobs there are, running or not.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Counters by name.
    pub fn counters(&self) -> impl Iterator<Item = (&'static str, JobCounters)> {
        self.counters.iter().map(|(name, counters)| (*name, *counters))
    }
}

impl Job {
    fn may_retry(&self, policy: &RetryPolicy) -> bool {
        !self.cancelled && policy.max_attempts.is_none_or(|max| self.failed_attempts < max)
    }
}
