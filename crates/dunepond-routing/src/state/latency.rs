//! Latency samples, and the quantiles computed from them.

use std::collections::VecDeque;

use super::age;
use crate::{Deployment, LatencyRecord};

/// Latency samples of the fleet and of each zone, with the statistics computed from them.
pub struct LatencyStats {
    /// The last attempts that warm nodes served, oldest first.
    pub completions: VecDeque<CompletionSample>,
    /// Samples of the last attempts in each zone, by zone.
    pub zones: Vec<VecDeque<ZoneSample>>,
    /// Median latency of each zone in seconds, by zone.
    pub zone_median: Vec<f64>,
    /// Median latency of the fleet in seconds; stored because a burst of queries reads it often.
    pub median: f64,
    /// 95th percentile of the fleet's latency, in seconds.
    pub p95: f64,
    /// Baseline latency in seconds: the lowest median so far. `f64::MAX` while unknown.
    pub baseline: f64,
    /// Number of nodes that are listed as active and past slow start; at least 1.
    pub warm_nodes: usize,
    /// Number of parts that each warm node has completed for this broker since the router was created, on
    /// average.
    pub completed_per_node: f64,
    /// Parts per second that a warm node completed for this broker, as of the last call of
    /// [`Router::on_wake`](super::Router::on_wake).
    pub completion_rate_at_wake: f64,
    /// Longest latency objective of all query classes in seconds.
    pub longest_objective: f64,
    /// Shortest latency objective of all query classes in seconds.
    pub shortest_objective: f64,
}

/// An attempt that a warm node served.
#[derive(Clone, Copy)]
pub struct CompletionSample {
    /// Latency of the attempt, in seconds.
    pub latency: f64,
    /// When the attempt ended.
    pub at: f64,
    /// Contribution of the attempt to the mean number of served attempts per warm node: 1 divided by the number
    /// of warm nodes at that time. Kept with the sample because after many nodes crash, their completions must
    /// not be attributed to the remaining few.
    pub node_share: f64,
}

/// Latency of an attempt at a node of a zone.
#[derive(Clone, Copy)]
pub struct ZoneSample {
    /// Latency of the attempt in seconds, multiplied by the ratio of the node's capacity to that of a warm
    /// node.
    pub latency: f64,
    /// When the attempt ended.
    pub at: f64,
}

impl LatencyStats {
    pub fn new(deployment: &Deployment) -> Self {
        let objectives = || deployment.query_classes.iter().map(|class| class.latency_objective);
        Self {
            completions: VecDeque::new(),
            zones: Vec::new(),
            zone_median: Vec::new(),
            median: 0.0,
            p95: 0.0,
            baseline: f64::MAX,
            warm_nodes: 1,
            completed_per_node: 0.0,
            completion_rate_at_wake: 0.0,
            longest_objective: objectives().fold(0.0, f64::max),
            shortest_objective: objectives().fold(f64::MAX, f64::min),
        }
    }
}

impl CompletionSample {
    /// Converts the sample to the stored form, with ages instead of instants.
    pub fn to_record(self, now: f64) -> LatencyRecord {
        LatencyRecord { latency: self.latency, ago: age(self.at, now), node_share: self.node_share }
    }

    /// Converts a stored sample to instants on this process's clock.
    pub fn from_record(record: &LatencyRecord, now: f64) -> Self {
        let &LatencyRecord { latency, ago, node_share } = record;
        Self { latency, at: now - ago, node_share }
    }
}
