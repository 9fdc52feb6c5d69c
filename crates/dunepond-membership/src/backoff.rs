//! The time for which a peer that cannot be reached is not tried again.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// Exponential backoff with jitter for one peer, reset by a success. It only says how long to wait; it never sleeps.
pub struct Backoff {
    builder: ExponentialBuilder,
    delays: Option<ExponentialBackoff>,
    until: f64,
}

impl Backoff {
    /// Creates a backoff with delays from `initial_seconds` to `max_seconds`, of which jitter draws at least half.
    pub fn new(initial_seconds: f64, max_seconds: f64, seed: u64) -> Backoff {
        // The library's jitter adds up to a delay's own length, hence half of the bounds.
        let builder = ExponentialBuilder::new()
            .with_min_delay(Duration::from_secs_f64(initial_seconds / 2.0))
            .with_max_delay(Duration::from_secs_f64(max_seconds / 2.0))
            .with_factor(2.0)
            .without_max_times()
            .with_jitter()
            .with_jitter_seed(seed);
        Backoff { builder, delays: None, until: 0.0 }
    }

    /// Starts the next delay. Failures during a delay count once, since requests that were in flight when it began add
    /// no information.
    pub fn record_failure(&mut self, now: f64) {
        if now < self.until {
            return;
        }
        let delay = self.delays.get_or_insert_with(|| self.builder.build()).next();
        self.until = now + delay.unwrap_or_default().as_secs_f64();
    }

    /// Ends the delay; the next failure starts from the shortest delay.
    pub fn reset(&mut self) {
        self.delays = None;
        self.until = 0.0;
    }

    /// Seconds until the peer may be tried; 0 if it may be tried at once.
    pub fn remaining_seconds(&self, now: f64) -> f64 {
        (self.until - now).max(0.0)
    }
}
