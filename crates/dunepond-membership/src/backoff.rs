//! Exponential backoff between attempts to connect to an unreachable peer.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// Exponential backoff with jitter for one peer, reset by a success. It only computes how long to wait; it never
/// sleeps.
pub struct Backoff {
    builder: ExponentialBuilder,
    /// Delays after further failures; `None` if there was no failure since the last success.
    delays: Option<ExponentialBackoff>,
    /// Time until which the peer is not tried, in seconds on the caller's clock.
    until: f64,
}

impl Backoff {
    /// Creates a backoff whose delays double from `initial_seconds` to `max_seconds`. Each delay is drawn at random
    /// between half of its nominal length and all of it.
    pub fn new(initial_seconds: f64, max_seconds: f64, seed: u64) -> Backoff {
        // The library adds jitter of up to the delay's own length, so the bounds that it is given are halved.
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

    /// Ends the current delay; the next failure starts again with the shortest one.
    pub fn reset(&mut self) {
        self.delays = None;
        self.until = 0.0;
    }

    /// Returns how many seconds to wait before the peer may be tried; 0 if it may be tried at once.
    pub fn remaining_seconds(&self, now: f64) -> f64 {
        (self.until - now).max(0.0)
    }
}
