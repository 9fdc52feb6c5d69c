//! What jobs may take, and the buckets that enforce it.

/// Longest time for which unused budget accumulates: more would be a burst that delays queries.
const MAX_ACCUMULATED_SECONDS: f64 = 0.5;
/// Keeps a budget of nothing from dividing by 0.
const MIN_RATE: f64 = 1e-9;
/// Added to the computed time at which a bucket opens, as rounding could leave its level at 0.
const OPENING_MARGIN_SECONDS: f64 = 1e-6;

/// What all jobs together may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Share of the time of the caller's thread.
    pub time_ratio: f64,
    /// Bytes that may be written to the disk each second.
    pub bytes_per_second: f64,
    /// Blocking jobs under way at once.
    pub max_blocking_jobs: usize,
}

/// Something may be taken while the level is above 0; it may fall below, and then refills first.
pub(crate) struct TokenBucket {
    rate: f64,
    level: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(rate: f64) -> Self {
        Self { rate, level: rate * MAX_ACCUMULATED_SECONDS, refilled_at: f64::MIN }
    }

    pub(crate) fn refill(&mut self, now: f64) {
        if self.refilled_at != f64::MIN {
            let elapsed = (now - self.refilled_at).max(0.0);
            self.level = (self.level + self.rate * elapsed).min(self.rate * MAX_ACCUMULATED_SECONDS);
        }
        self.refilled_at = now;
    }

    pub(crate) fn is_open(&self) -> bool {
        self.level > 0.0
    }

    pub(crate) fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    pub(crate) fn give_back(&mut self, amount: f64) {
        self.level += amount;
    }

    /// When something may be taken again.
    pub(crate) fn opens_at(&self, now: f64) -> f64 {
        if self.is_open() { now } else { now - self.level / self.rate.max(MIN_RATE) + OPENING_MARGIN_SECONDS }
    }
}
