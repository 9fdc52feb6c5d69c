//! Decides from the brokers' reports whether the fleet is overloaded, with hysteresis, so that a plan does not pause
//! and resume every second.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

/// Minimum ratio of overloaded brokers, from 0 to 1, at which plans pause.
const PAUSE_RATIO: f64 = 0.3;
/// Time in seconds for which the ratio has to be at least [`PAUSE_RATIO`] before plans pause.
const PAUSE_SECONDS: f64 = 1.0;
/// Maximum ratio of overloaded brokers, from 0 to 1, at which plans resume.
const RESUME_RATIO: f64 = 0.1;
/// Time in seconds for which the ratio has to be at most [`RESUME_RATIO`] before plans resume.
const RESUME_SECONDS: f64 = 5.0;

/// Latest overload report of each broker, and whether plans have to pause because of them. Times are in seconds of the
/// leader's monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct OverloadMonitor {
    /// Latest report of each broker, by the broker's name.
    reports: BTreeMap<String, OverloadReport>,
    is_overloaded: bool,
    /// Time since which the ratio of overloaded brokers has met the threshold for a change of `is_overloaded`; `None`
    /// while it does not meet the threshold.
    threshold_met_since: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct OverloadReport {
    received_at: f64,
    overloaded: bool,
}

impl OverloadMonitor {
    /// Records a broker's report, which replaces its previous one.
    pub fn record_report(&mut self, now: f64, broker: &str, overloaded: bool) {
        self.reports.insert(broker.to_string(), OverloadReport { received_at: now, overloaded });
    }

    /// Ratio of overloaded brokers to all brokers with a recent report, from 0 to 1; 0 without reports.
    pub fn overloaded_ratio(&self) -> f64 {
        if self.reports.is_empty() {
            return 0.0;
        }
        let overloaded = self.reports.values().filter(|report| report.overloaded).count();
        overloaded as f64 / self.reports.len() as f64
    }

    /// Drops reports older than `max_age` seconds, and returns whether plans have to pause. Has to be called regularly,
    /// as no other method detects that plans have to pause or may resume.
    pub fn update(&mut self, now: f64, max_age: f64) -> bool {
        self.reports.retain(|_, report| now - report.received_at <= max_age);
        let ratio = self.overloaded_ratio();
        let (is_threshold_met, min_seconds) = if self.is_overloaded {
            (ratio <= RESUME_RATIO, RESUME_SECONDS)
        } else {
            (ratio >= PAUSE_RATIO, PAUSE_SECONDS)
        };
        if !is_threshold_met {
            self.threshold_met_since = None;
            return self.is_overloaded;
        }
        let since = *self.threshold_met_since.get_or_insert(now);
        if now - since >= min_seconds {
            self.is_overloaded = !self.is_overloaded;
            self.threshold_met_since = None;
        }
        self.is_overloaded
    }
}
