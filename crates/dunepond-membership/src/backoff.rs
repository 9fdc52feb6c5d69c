//! Exponential backoff between attempts to connect to an unreachable peer.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// Exponential backoff with jitter for one peer, reset by a successful request. It only computes how long to wait; it
/// never sleeps.
pub struct Backoff {
    builder: ExponentialBuilder,
    /// The delays that follow the next failures, in order; `None` if no attempt has failed since the last success.
    delays: Option<ExponentialBackoff>,
    /// Time until which no request is sent to the peer, in seconds on the caller's clock.
    until: f64,
}

impl Backoff {
    /// Creates a backoff whose delays double from `initial_seconds` to `max_seconds`. Each delay is random, between
    /// half of its nominal length and the full length.
    pub fn new(initial_seconds: f64, max_seconds: f64, seed: u64) -> Backoff {
        // The library adds a random jitter of at most the delay itself. It is given half of each bound, so that the sum
        // of delay and jitter stays within the bound.
        let builder = ExponentialBuilder::new()
            .with_min_delay(Duration::from_secs_f64(initial_seconds / 2.0))
            .with_max_delay(Duration::from_secs_f64(max_seconds / 2.0))
            .with_factor(2.0)
            .without_max_times()
            .with_jitter()
            .with_jitter_seed(seed);
        Backoff { builder, delays: None, until: 0.0 }
    }

    /// Records a failed attempt and starts the next delay. Failures during a delay are ignored: their requests were in
    /// flight when the delay began, so they add no information.
    pub fn record_failure(&mut self, now: f64) {
        if now < self.until {
            return;
        }
        let delay = self.delays.get_or_insert_with(|| self.builder.build()).next();
        self.until = now + delay.unwrap_or_default().as_secs_f64();
    }

    /// Ends the current delay; the next failure starts the shortest delay.
    pub fn reset(&mut self) {
        self.delays = None;
        self.until = 0.0;
    }

    /// Returns how many seconds to wait before a request may be sent to the peer; 0 if it may be sent at once.
    pub fn remaining_seconds(&self, now: f64) -> f64 {
        (self.until - now).max(0.0)
    }
}
