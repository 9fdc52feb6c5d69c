//! Latency: median, 95th percentile and baseline of the fleet, and the median of each zone.
//!
//! Inputs: latencies (seconds) of the last completions at warm nodes and of the last attempts in each zone.
//! The baseline is the lowest median so far. Other rules use multiples of these quantiles, so that no limit
//! has to be tuned for a deployment. A node is compared with the fleet: if all nodes become slow, the
//! quantiles rise and no node is an outlier.

use std::collections::VecDeque;

use crate::state::{CompletionSample, Router, ZoneSample, keep_last};

/// Number of samples of served attempts that are kept for the whole fleet.
const FLEET_SAMPLE_COUNT: usize = 64;
/// Number of recent served attempts that are needed to compute a quantile of the latency; with fewer, a
/// default is used.
const MIN_QUANTILE_SAMPLE_COUNT: usize = 8;
/// Number of recent served attempts that are needed to update the baseline.
const MIN_BASELINE_SAMPLE_COUNT: usize = 16;
/// Number of samples of attempts that are kept for each zone.
const ZONE_SAMPLE_COUNT: usize = 16;
/// Number of fresh samples (see [`FRESH_OBJECTIVES`]) that are needed to compute the median of a zone.
const MIN_ZONE_SAMPLE_COUNT: usize = 4;
/// Age, in multiples of the longest latency objective, up to which samples are recent, that is, describe the
/// present load.
pub(super) const RECENT_OBJECTIVES: f64 = 2.0;
/// Age, in multiples of the longest latency objective, up to which samples are fresh; older ones no longer
/// describe a node or zone.
pub(super) const FRESH_OBJECTIVES: f64 = 8.0;
/// A latency above this multiple of the fleet's median latency counts as slow.
pub(super) const SLOW_RATIO: f64 = 2.5;
/// If there are too few samples, quantile q of the latency is assumed to be this ratio times q times the
/// shortest latency objective.
const DEFAULT_QUANTILE_RATIO: f64 = 0.4;
/// The quantile that is stored as `p95`.
const HIGH_QUANTILE: f64 = 0.95;

impl Router {
    /// Recomputes the quantiles, the baseline and the zone medians from the last samples.
    pub(super) fn measure_latency(&mut self) {
        let since = self.objectives_ago(RECENT_OBJECTIVES);
        let recent = self.latency.completions.iter().filter(|sample| sample.at > since);
        let sorted = sorted(recent.map(|sample| sample.latency));
        let median = self.quantile(&sorted, 0.5).max(self.deployment.tick);
        if sorted.len() >= MIN_BASELINE_SAMPLE_COUNT {
            self.latency.baseline = self.latency.baseline.min(median);
        }
        self.latency.median = median;
        self.latency.p95 = self.quantile(&sorted, HIGH_QUANTILE).max(median);
        self.latency.zone_median = self.latency.zones.iter().map(|zone| self.zone_median(zone)).collect();
    }

    /// Returns a quantile of sorted latencies, or a default if there are too few of them.
    fn quantile(&self, sorted: &[f64], quantile: f64) -> f64 {
        if sorted.len() < MIN_QUANTILE_SAMPLE_COUNT {
            return DEFAULT_QUANTILE_RATIO * quantile * self.latency.shortest_objective;
        }
        sorted[(sorted.len() as f64 * quantile) as usize]
    }

    /// Returns the median latency of a zone if the zone is much slower than the fleet, otherwise that of the
    /// fleet. A bad link between zones makes all nodes of a zone slow for this broker, and detecting that node
    /// by node would cost an attempt at each.
    fn zone_median(&self, zone: &VecDeque<ZoneSample>) -> f64 {
        let since = self.objectives_ago(FRESH_OBJECTIVES);
        let sorted = sorted(zone.iter().filter(|sample| sample.at > since).map(|sample| sample.latency));
        if sorted.len() < MIN_ZONE_SAMPLE_COUNT {
            return self.latency.median;
        }
        let zone_median = sorted[sorted.len() / 2];
        if zone_median > SLOW_RATIO * self.latency.median { zone_median } else { self.latency.median }
    }

    /// Records that a warm node served an attempt with this latency (seconds).
    pub(super) fn record_completion(&mut self, latency: f64) {
        let node_share = 1.0 / self.latency.warm_nodes as f64;
        let sample = CompletionSample { latency, at: self.now, node_share };
        keep_last(&mut self.latency.completions, sample, FLEET_SAMPLE_COUNT);
        self.latency.completed_per_node += node_share;
    }

    /// Records the latency (seconds) of an attempt at a node of a zone.
    pub(super) fn record_zone_latency(&mut self, zone: usize, latency: f64) {
        let sample = ZoneSample { latency, at: self.now };
        keep_last(&mut self.latency.zones[zone], sample, ZONE_SAMPLE_COUNT);
    }
}

fn sorted(latencies: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sorted: Vec<f64> = latencies.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted
}
