//! Idle resets: detects connections that a middlebox drops without notice while they are idle.
//!
//! Inputs: the idle time of the connection before an attempt (seconds), and the time from sending the attempt
//! until the connection breaks. A break of a connection that had been idle is not a fault of the node, which
//! never received the attempt. After repeated resets a new connection is opened instead, which costs less
//! than a lost part.

use super::latency::FRESH_OBJECTIVES;
use crate::state::{IdleUse, OutstandingAttempt, Router, keep_last};

/// Number of kept samples of attempts on connections that had been idle for long.
const IDLE_USE_SAMPLE_COUNT: usize = 8;
/// Smallest number of resets among the samples at which idle connections are closed instead of used. It is
/// more than one, because a single connection may break for another reason.
const MIN_RESET_COUNT: usize = 2;
/// Age, in multiples of the longest latency objective, up to which a recorded reset counts.
const RESET_FRESH_OBJECTIVES: f64 = 2.0 * FRESH_OBJECTIVES;
/// The idle time of a connection is comparable to that of a recorded attempt if it exceeds the latter
/// multiplied by this ratio.
const COMPARABLE_IDLE_RATIO: f64 = 0.5;
/// A connection that breaks within this number of ticks after an attempt was sent has broken at once: the
/// node did no work on the attempt.
const PROMPT_TICKS: f64 = 4.0;

impl Router {
    /// Returns whether an attempt that ends now broke at once (see [`PROMPT_TICKS`]) on a connection that had
    /// been idle. A crash of the node, in contrast, breaks attempts of any age.
    pub(super) fn is_idle_reset(&self, attempt: &OutstandingAttempt) -> bool {
        let broke_after = self.now - attempt.sent_at;
        attempt.idle_seconds > self.latency.median && broke_after < PROMPT_TICKS * self.deployment.tick
    }

    /// Records that an attempt broke on a connection that had been idle.
    pub(super) fn record_idle_reset(&mut self, attempt: &OutstandingAttempt) {
        self.record_idle_use(attempt, true);
    }

    /// Records that an attempt was served, if the idle time of its connection is comparable to that of a
    /// recorded attempt.
    pub(super) fn record_idle_success(&mut self, attempt: &OutstandingAttempt) {
        if self.idle_uses.iter().any(|idle_use| is_comparable(attempt.idle_seconds, idle_use)) {
            self.record_idle_use(attempt, false);
        }
    }

    fn record_idle_use(&mut self, attempt: &OutstandingAttempt, broke: bool) {
        let idle_use = IdleUse { at: self.now, idle_seconds: attempt.idle_seconds, broke };
        keep_last(&mut self.idle_uses, idle_use, IDLE_USE_SAMPLE_COUNT);
    }

    /// Returns whether connections with a comparable idle time (seconds) have been reset so often that a new
    /// connection should be used instead.
    pub(super) fn is_likely_reset(&self, idle_seconds: f64) -> bool {
        let since = self.objectives_ago(RESET_FRESH_OBJECTIVES);
        let is_relevant_reset = |idle_use: &&IdleUse| {
            idle_use.broke && idle_use.at > since && is_comparable(idle_seconds, idle_use)
        };
        self.idle_uses.iter().filter(is_relevant_reset).count() >= MIN_RESET_COUNT
    }
}

/// Returns whether an idle time is comparable to that of a recorded attempt.
fn is_comparable(idle_seconds: f64, idle_use: &IdleUse) -> bool {
    idle_seconds > COMPARABLE_IDLE_RATIO * idle_use.idle_seconds
}
