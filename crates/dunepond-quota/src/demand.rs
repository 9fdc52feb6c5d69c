//! Demand for a quota at one broker, estimated from what it used and what was rejected.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{SharedQuotas, TOTAL_UNITS};

/// Weight of the newest sample in the moving average.
const NEWEST_SAMPLE_RATIO: f64 = 0.25;
/// Rejected demand counts up to this multiple of the use, since the same few requests are retried again and again.
const MAX_REJECTED_RATIO: f64 = 1.0;

/// Smoothed demand for one quota at one broker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Demand as a ratio of the total; `None` before the first sample.
    smoothed_ratio: Option<f64>,
}

impl Demand {
    /// Adds what was used and what was rejected beyond it since the last sample, as ratios of the total. `available` is
    /// the ratio that this broker holds: with almost no share it cannot use more, whatever its demand.
    pub fn record_sample(&mut self, used: f64, rejected: f64, available: f64) {
        let (used, available) = (non_negative(used), non_negative(available));
        let sample = used + non_negative(rejected).min(MAX_REJECTED_RATIO * used.max(available));
        let before = self.smoothed_ratio.unwrap_or(sample);
        self.smoothed_ratio = Some(before + NEWEST_SAMPLE_RATIO * (sample - before));
    }

    /// The demand in units of the quota, at most the total.
    pub fn units(&self) -> u32 {
        let total = f64::from(TOTAL_UNITS);
        (self.smoothed_ratio.unwrap_or(0.0) * total).clamp(0.0, total) as u32
    }
}

fn non_negative(ratio: f64) -> f64 {
    if ratio.is_finite() { ratio.max(0.0) } else { 0.0 }
}

/// The report that a broker sends with each lease request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DemandReport {
    /// Acknowledges [`crate::Allocation::shrunk_generation`] of the allocation in use; 0 if none came in this run.
    #[serde(rename = "shrunk")]
    pub shrunk_generation: u64,
    /// The quotas that the broker's own file shares.
    #[serde(rename = "bounds")]
    pub shared: SharedQuotas,
    /// Demand for each quota in units, floor included.
    #[serde(rename = "needs")]
    pub demand_units: BTreeMap<String, u32>,
}
