//! How long the handling of events and timers took since the last report, as a histogram.

use hdrhistogram::Histogram;
use tracing::info;

/// Longest turn that the histogram distinguishes, in microseconds; longer ones count as this long.
const MAX_MICROSECONDS: u64 = 10_000_000;
/// Number of significant decimal digits of the histogram's values.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram of the times that turns took.
pub(super) struct TurnTimes(Histogram<u32>);

impl TurnTimes {
    pub(super) fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_MICROSECONDS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds of the histogram are valid"))
    }

    /// Records a turn that took this many seconds.
    pub(super) fn record(&mut self, seconds: f64) {
        self.0.saturating_record((seconds.max(0.0) * 1e6) as u64);
    }

    /// Returns the statistics of the turns since the last call, and begins anew.
    pub(super) fn take_summary(&mut self) -> TurnSummary {
        let milliseconds = |microseconds: u64| microseconds as f64 / 1e3;
        let quantile = |quantile: f64| milliseconds(self.0.value_at_quantile(quantile));
        let summary = TurnSummary {
            count: self.0.len(),
            median_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            max_ms: milliseconds(self.0.max()),
        };
        self.0.reset();
        summary
    }
}

/// Statistics of turns; the times are in milliseconds, rounded to two digits.
#[derive(Debug, PartialEq)]
pub(super) struct TurnSummary {
    pub(super) count: u64,
    pub(super) median_ms: f64,
    pub(super) p99_ms: f64,
    pub(super) p999_ms: f64,
    pub(super) max_ms: f64,
}

impl TurnSummary {
    /// Writes the statistics to the log.
    pub(super) fn log(&self) {
        let Self { count, median_ms, p99_ms, p999_ms, max_ms } = self;
        info!(turns = count, median_ms, p99_ms, p999_ms, max_ms, "event loop counters");
    }
}

#[cfg(test)]
mod tests;
