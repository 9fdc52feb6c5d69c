//! Which job runs next, and whether any may: by priority and age, within budgets of time and bytes, before its deadline,
//! and after a failure not before its back-off is over.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Seconds of waiting that lift a job by one priority: the lowest gets its turn however much is above it.
const LIFT: f64 = 2.0;
/// Budgets save up so many seconds' worth: more would be a burst that the ordinary path feels.
const SAVED_UP: f64 = 0.5;
/// The part of its back-off by which a job's retry may come sooner: what failed together must not come back together.
const JITTER: f64 = 0.5;

/// A job, by a number that is never used twice.
pub type JobId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Nobody minds when.
    Idle,
    /// Worth something soon.
    Usual,
    /// A rule rests on it.
    Urgent,
}

/// Where a job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A short, bounded step on the caller's own thread, while nothing else waits there.
    Step,
    /// May wait for a disk: on the pool.
    Blocking,
}

/// How a job that failed is tried again: seconds at first, doubled up to the longest; so many tries in all, or as many
/// as it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retry {
    pub first: f64,
    pub longest: f64,
    pub tries: Option<u32>,
}

/// What a run is expected to take of the budgets; what it did take is told with its end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    pub bytes: u64,
}

/// A job as it is handed in.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: &'static str,
    pub priority: Priority,
    pub kind: Kind,
    pub cost: Cost,
    /// Not begun before this time, nor at or after that one: it is worth nothing by then.
    pub not_before: f64,
    pub deadline: Option<f64>,
    pub retry: Option<Retry>,
}

/// What all jobs together may take each second.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Of the caller's thread, as a share.
    pub time: f64,
    /// To the disk.
    pub bytes: f64,
    /// Blocking jobs under way at once.
    pub at_once: usize,
}

/// A job that is to run now. Its end must be told by [`Scheduler::ended`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Given {
    pub id: JobId,
    pub name: &'static str,
    pub kind: Kind,
    /// How often it has been tried before.
    pub tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// A step of more.
    More,
    Failed,
}

/// What a run has taken: seconds of the caller's thread (a blocking job takes none), bytes to the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Used {
    pub seconds: f64,
    pub bytes: u64,
}

/// What has become of the jobs of one name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub done: u64,
    pub failed: u64,
    /// Worthless by the time they could have run.
    pub expired: u64,
    /// Given up after all their tries.
    pub given_up: u64,
    pub seconds: f64,
    pub bytes: u64,
    /// The longest that a job of this name has waited, due, for its first step.
    pub longest_wait: f64,
}

struct Job {
    spec: Spec,
    /// Since when it could run: for its age.
    due: f64,
    tries: u32,
    running: bool,
    begun: bool,
    cancelled: bool,
}

/// So much may be taken; below nothing, it waits.
struct Bucket {
    rate: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self { rate, level: rate * SAVED_UP, at: f64::MIN }
    }

    fn refill(&mut self, now: f64) {
        if self.at != f64::MIN {
            self.level = (self.level + self.rate * (now - self.at).max(0.0)).min(self.rate * SAVED_UP);
        }
        self.at = now;
    }

    /// When something may be taken again.
    fn open_at(&self, now: f64) -> f64 {
        if self.level > 0.0 { now } else { now - self.level / self.rate.max(1e-9) + 1e-6 }
    }
}

pub struct Scheduler {
    budget: Budget,
    rng: Pcg64Mcg,
    jobs: BTreeMap<JobId, Job>,
    last: JobId,
    time: Bucket,
    bytes: Bucket,
    blocking: usize,
    counts: BTreeMap<&'static str, Counts>,
    /// Jobs that ended without having been done, not told yet.
    dropped: Vec<(JobId, &'static str)>,
}

impl Scheduler {
    pub fn new(budget: Budget, seed: u64) -> Self {
        Self {
            time: Bucket::new(budget.time),
            bytes: Bucket::new(budget.bytes),
            budget,
            rng: Pcg64Mcg::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            last: 0,
            blocking: 0,
            counts: BTreeMap::new(),
            dropped: Vec::new(),
        }
    }

    pub fn add(&mut self, now: f64, spec: Spec) -> JobId {
        self.last += 1;
        let due = spec.not_before.max(now);
        let job = Job { spec, due, tries: 0, running: false, begun: false, cancelled: false };
        self.jobs.insert(self.last, job);
        self.last
    }

    /// Takes a job back. One that is running ends as it ends, and is not tried again.
    pub fn cancel(&mut self, id: JobId) {
        match self.jobs.get_mut(&id) {
            Some(job) if job.running => job.cancelled = true,
            _ => drop(self.jobs.remove(&id)),
        }
    }

    /// The next job to run, if any may. `calm` says that nothing else waits on the caller's thread: no step is given out
    /// otherwise.
    pub fn next(&mut self, now: f64, calm: bool) -> Option<Given> {
        self.expire(now);
        self.time.refill(now);
        self.bytes.refill(now);
        let may = |job: &Job| {
            let spec = &job.spec;
            let room = match spec.kind {
                Kind::Step => calm && self.time.level > 0.0,
                Kind::Blocking => self.blocking < self.budget.at_once,
            };
            !job.running && job.due <= now && room && (spec.cost.bytes == 0 || self.bytes.level > 0.0)
        };
        let rank = |job: &Job| job.spec.priority as u8 as f64 + (now - job.due) / LIFT;
        let best = self.jobs.iter().filter(|(_, job)| may(job));
        let (&id, _) = best.max_by(|(a, x), (b, y)| rank(x).total_cmp(&rank(y)).then(b.cmp(a)))?;
        let job = self.jobs.get_mut(&id)?;
        job.running = true;
        if !std::mem::replace(&mut job.begun, true) {
            let counts = self.counts.entry(job.spec.name).or_default();
            counts.longest_wait = counts.longest_wait.max(now - job.due);
        }
        if job.spec.kind == Kind::Blocking {
            self.blocking += 1;
        }
        // Taken ahead, and made good with the end: several must not be begun on the same room.
        self.bytes.level -= job.spec.cost.bytes as f64;
        Some(Given { id, name: job.spec.name, kind: job.spec.kind, tries: job.tries })
    }

    /// A run has ended.
    pub fn ended(&mut self, now: f64, id: JobId, outcome: Outcome, used: Used) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.running) else { return };
        job.running = false;
        if job.spec.kind == Kind::Blocking {
            self.blocking -= 1;
        }
        self.time.level -= used.seconds;
        self.bytes.level += job.spec.cost.bytes as f64 - used.bytes as f64;
        let (name, cancelled) = (job.spec.name, job.cancelled);
        let counts = self.counts.entry(name).or_default();
        counts.seconds += used.seconds;
        counts.bytes += used.bytes;
        match outcome {
            Outcome::Done => counts.done += 1,
            // Its age counts anew from each step: what is endless must not come to stand above all else.
            Outcome::More if !cancelled => return job.due = now,
            Outcome::More => {}
            Outcome::Failed => {
                counts.failed += 1;
                job.tries += 1;
                let retry =
                    job.spec.retry.filter(|r| !cancelled && r.tries.is_none_or(|most| job.tries < most));
                if let Some(retry) = retry {
                    let longer = 2f64.powi((job.tries - 1).min(62) as i32);
                    let back_off = (retry.first * longer).min(retry.longest);
                    let spread: f64 = self.rng.random_range(1.0 - JITTER..=1.0);
                    return job.due = now + spread * back_off;
                }
                counts.given_up += 1;
                self.dropped.push((id, name));
            }
        }
        self.jobs.remove(&id);
    }

    /// What is worthless by now goes, unless it is running.
    fn expire(&mut self, now: f64) {
        let late = |job: &Job| !job.running && job.spec.deadline.is_some_and(|deadline| now >= deadline);
        let late: Vec<_> = self.jobs.iter().filter(|(_, job)| late(job)).map(|(id, _)| *id).collect();
        for id in late {
            if let Some(job) = self.jobs.remove(&id) {
                self.counts.entry(job.spec.name).or_default().expired += 1;
                self.dropped.push((id, job.spec.name));
            }
        }
    }

    /// Jobs that will not be done any more: expired, or given up after all their tries.
    pub fn take_dropped(&mut self) -> Vec<(JobId, &'static str)> {
        std::mem::take(&mut self.dropped)
    }

    /// When a job may be due that is not now: to ask again then.
    pub fn next_due(&self, now: f64) -> Option<f64> {
        let due = self.jobs.values().filter(|job| !job.running).filter_map(|job| {
            let open = match job.spec.kind {
                Kind::Step => self.time.open_at(now),
                // The end of one under way asks again.
                Kind::Blocking if self.blocking >= self.budget.at_once => return None,
                Kind::Blocking => now,
            };
            let bytes = if job.spec.cost.bytes > 0 { self.bytes.open_at(now) } else { now };
            Some(job.due.max(open).max(bytes))
        });
        due.min_by(f64::total_cmp)
    }

    /// Jobs that stand here, running or not.
    pub fn count(&self) -> usize {
        self.jobs.len()
    }

    pub fn counts(&self) -> impl Iterator<Item = (&'static str, Counts)> {
        self.counts.iter().map(|(name, counts)| (*name, *counts))
    }
}
