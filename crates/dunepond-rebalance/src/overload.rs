//! Whether the fleet is overloaded, by its brokers' reports, with hysteresis: a plan must not pause and resume every second.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

/// Plans pause once this ratio of the brokers has been overloaded for this long.
const PAUSE_RATIO: f64 = 0.3;
const PAUSE_SECONDS: f64 = 1.0;
/// They resume once no more than this ratio has been overloaded for this long.
const RESUME_RATIO: f64 = 0.1;
const RESUME_SECONDS: f64 = 5.0;

/// The brokers' last reports, and whether plans have to pause for them. Times are seconds of the leader's monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct OverloadMonitor {
    reports: BTreeMap<String, OverloadReport>,
    is_overloaded: bool,
    /// Since when the ratio is beyond the threshold of a change.
    beyond_since: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct OverloadReport {
    received_at: f64,
    overloaded: bool,
}

impl OverloadMonitor {
    /// Takes a broker's report.
    pub fn record_report(&mut self, now: f64, broker: &str, overloaded: bool) {
        self.reports.insert(broker.to_string(), OverloadReport { received_at: now, overloaded });
    }

    /// Ratio of the brokers that report overload, of those with a recent report.
    pub fn overloaded_ratio(&self) -> f64 {
        if self.reports.is_empty() {
            return 0.0;
        }
        let overloaded = self.reports.values().filter(|report| report.overloaded).count();
        overloaded as f64 / self.reports.len() as f64
    }

    /// Whether plans have to pause; to be called each turn. Reports older than `max_age` seconds are dropped.
    pub fn update(&mut self, now: f64, max_age: f64) -> bool {
        self.reports.retain(|_, report| now - report.received_at <= max_age);
        let ratio = self.overloaded_ratio();
        let (is_beyond, min_seconds) = if self.is_overloaded {
            (ratio <= RESUME_RATIO, RESUME_SECONDS)
        } else {
            (ratio >= PAUSE_RATIO, PAUSE_SECONDS)
        };
        if !is_beyond {
            self.beyond_since = None;
            return self.is_overloaded;
        }
        let since = *self.beyond_since.get_or_insert(now);
        if now - since >= min_seconds {
            self.is_overloaded = !self.is_overloaded;
            self.beyond_since = None;
        }
        self.is_overloaded
    }
}
