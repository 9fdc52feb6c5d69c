//! Decisions about pace: how long a peer that cannot be reached is left alone, and what is a flood.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::collections::BTreeMap;
use std::time::Duration;

/// A peer's rests after failures: doubling with jitter (`backon`'s iterator, which does not sleep), forgotten at a success.
pub struct Rests {
    builder: ExponentialBuilder,
    under_way: Option<ExponentialBackoff>,
    until: f64,
}

impl Rests {
    /// Rests from `first` to `most` seconds; jitter adds up to the rest's own length.
    pub fn new(first: f64, most: f64, seed: u64) -> Rests {
        // Jitter at most doubles what the library draws, hence half of the bounds.
        let builder = ExponentialBuilder::new()
            .with_min_delay(Duration::from_secs_f64(first / 2.0))
            .with_max_delay(Duration::from_secs_f64(most / 2.0))
            .with_factor(2.0)
            .without_max_times()
            .with_jitter()
            .with_jitter_seed(seed);
        Rests { builder, under_way: None, until: 0.0 }
    }

    /// Those that failed together count once: asks under way when the rest began say nothing new.
    pub fn failed(&mut self, now: f64) {
        if now < self.until {
            return;
        }
        let next = self.under_way.get_or_insert_with(|| self.builder.build()).next();
        self.until = now + next.unwrap_or_default().as_secs_f64();
    }

    pub fn worked(&mut self) {
        self.under_way = None;
        self.until = 0.0;
    }

    /// Seconds still to rest, 0 if none.
    pub fn left(&self, now: f64) -> f64 {
        (self.until - now).max(0.0)
    }
}

/// Counts messages by name in windows of a second. Only names that are believed come here, so it is as small as the membership.
#[derive(Default)]
pub struct Gauge {
    counts: BTreeMap<String, (f64, u32)>,
}

impl Gauge {
    /// False if `name` has sent more than `most` within its present second.
    pub fn take(&mut self, name: &str, most: u32, now: f64) -> bool {
        if !self.counts.contains_key(name) {
            self.counts.retain(|_, (began, _)| now - *began < 60.0);
            self.counts.insert(name.into(), (now, 0));
        }
        let Some((began, count)) = self.counts.get_mut(name) else { return false };
        if now - *began >= 1.0 {
            (*began, *count) = (now, 0);
        }
        *count = count.saturating_add(1);
        *count <= most
    }
}
