//! The resource budget of background jobs, and the token buckets that enforce it.

/// Unused budget accumulates for at most this time. A longer time would allow bursts of background work that delay
/// queries.
const MAX_ACCUMULATED_SECONDS: f64 = 0.5;
/// Lower limit of a bucket's rate in [`TokenBucket::opens_at`], which avoids a division by 0 for a budget of 0.
const MIN_RATE: f64 = 1e-9;
/// Margin that [`TokenBucket::opens_at`] adds to the computed time. Without the margin, rounding could leave the
/// bucket's level at exactly 0 at that time, and no tokens could be taken.
const OPENING_MARGIN_SECONDS: f64 = 1e-6;

/// Resources that all background jobs together may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Share (0 to 1) of the caller's thread time that [`crate::JobKind::Step`] jobs may use.
    pub time_ratio: f64,
    /// Bytes that jobs may write to the disk per second.
    pub bytes_per_second: f64,
    /// Maximum number of blocking jobs that run at the same time.
    pub max_blocking_jobs: usize,
}

/// A token bucket whose level may become negative: while the level is above 0, any number of tokens may be taken. Then
/// nothing more may be taken until refilling has raised the level above 0 again.
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

    /// Puts back tokens that were taken but not used. A negative `amount` takes more tokens.
    pub(crate) fn give_back(&mut self, amount: f64) {
        self.level += amount;
    }

    /// Earliest time at which tokens may be taken: `now` if the level is above 0 already.
    pub(crate) fn opens_at(&self, now: f64) -> f64 {
        if self.is_open() { now } else { now - self.level / self.rate.max(MIN_RATE) + OPENING_MARGIN_SECONDS }
    }
}
