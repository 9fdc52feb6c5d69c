//! Idle resets: connections that a middlebox drops without notice while they are idle.
//!
//! Inputs: the idle time of the connection before an attempt (seconds), and how soon the attempt broke. Such
//! a break is no fault of the node, which never saw the attempt. Where resets have been seen, a new
//! connection is opened: that costs less than a lost part.

use super::latency::FRESH_OBJECTIVES;
use crate::state::{IdleReset, OutstandingAttempt, Router, keep_last};

/// Samples of attempts after long idle times, and how many of them must have broken: some connections break
/// for other reasons.
const RESET_SAMPLE_COUNT: usize = 8;
const MIN_RESET_COUNT: usize = 2;
const RESET_FRESH_OBJECTIVES: f64 = 2.0 * FRESH_OBJECTIVES;
/// An idle time is comparable to a sample's if it exceeds this share of it.
const LIKE_IDLE_RATIO: f64 = 0.5;
/// An attempt that does no work at the node ends within this time.
const PROMPT_TICKS: f64 = 4.0;

impl Router {
    /// Whether an attempt broke at once on a connection that had been idle. The crash of a node breaks
    /// attempts of any age.
    pub(super) fn is_idle_reset(&self, attempt: &OutstandingAttempt) -> bool {
        let broke_after = self.now - attempt.sent_at;
        attempt.idle_seconds > self.latency.median && broke_after < PROMPT_TICKS * self.deployment.tick
    }

    pub(super) fn record_idle_reset(&mut self, attempt: &OutstandingAttempt) {
        self.record_idle_use(attempt, true);
    }

    /// Records that an attempt was served after an idle time comparable to that of a reset.
    pub(super) fn record_idle_survival(&mut self, attempt: &OutstandingAttempt) {
        if self.idle_resets.iter().any(|reset| is_like(attempt.idle_seconds, reset)) {
            self.record_idle_use(attempt, false);
        }
    }

    fn record_idle_use(&mut self, attempt: &OutstandingAttempt, broke: bool) {
        let reset = IdleReset { at: self.now, idle_seconds: attempt.idle_seconds, broke };
        keep_last(&mut self.idle_resets, reset, RESET_SAMPLE_COUNT);
    }

    /// Whether connections with this idle time (seconds) have been reset often enough to avoid them.
    pub(super) fn is_likely_reset(&self, idle_seconds: f64) -> bool {
        let since = self.objectives_ago(RESET_FRESH_OBJECTIVES);
        let tells_of_reset =
            |reset: &&IdleReset| reset.broke && reset.at > since && is_like(idle_seconds, reset);
        self.idle_resets.iter().filter(tells_of_reset).count() >= MIN_RESET_COUNT
    }
}

fn is_like(idle_seconds: f64, reset: &IdleReset) -> bool {
    idle_seconds > LIKE_IDLE_RATIO * reset.idle_seconds
}
