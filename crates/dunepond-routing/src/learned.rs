//! State that a broker process passes to its successor: learned statistics and spent budgets. All times are
//! ages in seconds, since each process has its own clock. These types are stored: the order of their fields is
//! part of the format.

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// The statistics that a router has collected about nodes, latencies and connections.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// The statistics of each node.
    pub nodes: Vec<LearnedNode>,
    /// The last attempts that warm nodes (those past their slow start) served, oldest first.
    pub latency_samples: Vec<LatencyRecord>,
    /// Outcomes of attempts on connections that had been idle.
    #[serde(rename = "idle_resets")]
    pub idle_uses: Vec<IdleUseRecord>,
    /// Lowest median latency of attempts so far, in seconds; `None` while it is not known.
    pub baseline_latency: Option<f64>,
}

/// The statistics of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedNode {
    /// The node.
    pub node: NodeId,
    /// Whether the node was ejected when the state was saved.
    pub ejected: bool,
    /// Samples of the last attempts at the node, oldest first.
    pub samples: Vec<LearnedSample>,
}

/// Sample of an attempt at a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedSample {
    /// Query class of the attempt, an index into [`Deployment::query_classes`](crate::Deployment::query_classes).
    pub class: usize,
    /// Seconds since the attempt was sent.
    pub sent_ago: f64,
    /// Latency of the attempt in seconds, multiplied by the ratio of the node's capacity to that of a warm
    /// node (one past its slow start).
    pub latency: f64,
    /// Seconds since the attempt ended.
    pub ended_ago: f64,
    /// Whether the node served the attempt; an error response does not count as served.
    pub served: bool,
    /// Whether the outcome counts as a fault of the node.
    pub fault: bool,
}

/// An attempt that a warm node served.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencyRecord {
    /// Latency of the attempt, in seconds.
    pub latency: f64,
    /// Seconds since the attempt ended.
    pub ago: f64,
    /// Contribution of the attempt to the mean number of served attempts per warm node: 1 divided by the number
    /// of warm nodes at that time.
    pub node_share: f64,
}

/// The outcome of an attempt on a connection that had been idle.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdleUseRecord {
    /// Seconds since the attempt ended.
    pub ago: f64,
    /// Seconds that the connection had been idle before the attempt.
    pub idle_seconds: f64,
    /// Whether the connection broke at once; otherwise the attempt was served.
    pub broke: bool,
}

/// What a router has spent of its budgets. A restart does not renew the budgets, so the successor counts
/// these amounts as spent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpentBudgets {
    /// For each retry or hedged request, the seconds since it was sent.
    pub retries: Vec<f64>,
    /// The queries and parts that arrived; the retry budget grows with their number.
    #[serde(rename = "admissions")]
    pub arrivals: Vec<ArrivalRecord>,
    /// The parts that were sent to each node during its slow start.
    pub slow_start_sends: Vec<SlowStartRecord>,
}

/// Number of queries and parts that arrived at the same instant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ArrivalRecord {
    /// Seconds since the arrival.
    pub ago: f64,
    /// Number of queries and parts that arrived.
    pub count: f64,
}

/// Parts that were sent to a node during its slow start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStartRecord {
    /// The node.
    pub node: NodeId,
    /// For each part, the seconds since it was sent.
    pub sent_ago: Vec<f64>,
}
