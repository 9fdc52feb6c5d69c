//! Estimates a broker's demand for a quota from its use and its rejections. Also defines the report that sends the
//! estimate to the leader.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{SharedQuotas, TOTAL_UNITS};

/// Weight of the newest sample in the exponential moving average of the demand.
const NEWEST_SAMPLE_RATIO: f64 = 0.25;
/// Limit on the rejected demand in a sample, as a multiple of the broker's use or of its available share, whichever is
/// larger. Without the limit, a few requests that are retried again and again would count once for each rejection.
const MAX_REJECTED_RATIO: f64 = 1.0;

/// One broker's smoothed demand for one quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Demand as a fraction of the quota's total; `None` before the first sample.
    smoothed_ratio: Option<f64>,
}

impl Demand {
    /// Adds a sample. `used` is what the broker used since the last sample, `rejected` the further demand that it
    /// rejected, and `available` the share that it may use, all as fractions of the quota's total. A broker cannot use
    /// more than `available`, so demand beyond its share shows only in `rejected`.
    pub fn record_sample(&mut self, used: f64, rejected: f64, available: f64) {
        let (used, available) = (non_negative(used), non_negative(available));
        let sample = used + non_negative(rejected).min(MAX_REJECTED_RATIO * used.max(available));
        let before = self.smoothed_ratio.unwrap_or(sample);
        self.smoothed_ratio = Some(before + NEWEST_SAMPLE_RATIO * (sample - before));
    }

    /// Returns the smoothed demand in units of the quota, at most [`TOTAL_UNITS`].
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
    /// [`crate::Allocation::shrunk_generation`] of the allocation that the broker follows. Reporting it confirms that
    /// the broker no longer uses the larger share from before that shrink; 0 if the broker has received no allocation
    /// since it started.
    #[serde(rename = "shrunk")]
    pub shrunk_generation: u64,
    /// The shared quotas according to the broker's own configuration file.
    #[serde(rename = "bounds")]
    pub shared: SharedQuotas,
    /// Demand in units by quota name, including the part that the broker's floor covers.
    #[serde(rename = "needs")]
    pub demand_units: BTreeMap<String, u32>,
}
