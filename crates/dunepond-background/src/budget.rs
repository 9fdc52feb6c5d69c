//! The resource budget of background jobs, and the token buckets that enforce it.

/// Longest time for which unused budget accumulates. A longer one would allow bursts that delay queries.
const MAX_ACCUMULATED_SECONDS: f64 = 0.5;
/// Lower limit of a bucket's rate in [`TokenBucket::opens_at`], which avoids a division by 0 for a budget of 0.
const MIN_RATE: f64 = 1e-9;
/// Added to the computed time at which a bucket's level rises above 0, so that tokens may be taken again: with
/// rounding, the level could still be 0 at the exact time.
const OPENING_MARGIN_SECONDS: f64 = 1e-6;

/// Resources that all background jobs together may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Share (0 to 1) of the caller's thread time that steps may use.
    pub time_ratio: f64,
    /// Bytes that jobs may write to the disk per second.
    pub bytes_per_second: f64,
    /// Maximum number of blocking jobs that run at the same time.
    pub max_blocking_jobs: usize,
}

/// A token bucket that may go into debt: tokens may be taken while the level is above 0, even if that makes the level
/// negative. Nothing more may be taken until it has refilled above 0.
pub(crate) struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    level: f64,
    /// Time of the last refill; `f64::MIN` before the first one.
    refilled_at: f64,
}

impl TokenBucket {
    /// Creates a full bucket that refills by `rate` tokens per second.
    pub(crate) fn new(rate: f64) -> Self {
        Self { rate, level: rate * MAX_ACCUMULATED_SECONDS, refilled_at: f64::MIN }
    }

    /// Adds the tokens for the time since the last refill.
    pub(crate) fn refill(&mut self, now: f64) {
        if self.refilled_at != f64::MIN {
            let elapsed = (now - self.refilled_at).max(0.0);
            self.level = (self.level + self.rate * elapsed).min(self.rate * MAX_ACCUMULATED_SECONDS);
        }
        self.refilled_at = now;
    }

    /// Whether tokens may be taken now.
    pub(crate) fn is_open(&self) -> bool {
        self.level > 0.0
    }

    pub(crate) fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns tokens that were taken and not used; a negative amount takes more.
    pub(crate) fn give_back(&mut self, amount: f64) {
        self.level += amount;
    }

    /// Time from which tokens may be taken: `now` if the bucket is open.
    pub(crate) fn opens_at(&self, now: f64) -> f64 {
        if self.is_open() { now } else { now - self.level / self.rate.max(MIN_RATE) + OPENING_MARGIN_SECONDS }
    }
}
