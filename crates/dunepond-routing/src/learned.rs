//! What a process has learned and spent, for its successor. All times are ages in seconds, since each
//! process has its own clock. These types are stored: the order of their fields is part of the format.

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// The statistics that a router has learned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// The statistics of each node.
    pub nodes: Vec<LearnedNode>,
    /// The fleet's last completions, oldest first.
    pub latency_samples: Vec<LatencyRecord>,
    /// Attempts on connections that had been idle.
    pub idle_resets: Vec<IdleResetRecord>,
    /// Baseline latency of attempts in seconds; `None` while it is not known.
    pub baseline_latency: Option<f64>,
}

/// The statistics of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedNode {
    /// The node.
    pub node: NodeId,
    /// Whether the node was ejected.
    pub ejected: bool,
    /// The last attempts at the node, oldest first.
    pub samples: Vec<LearnedSample>,
}

/// What an attempt showed about its node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedSample {
    /// Index into [`Deployment::query_classes`](crate::Deployment::query_classes).
    pub class: usize,
    /// Seconds since it was sent.
    pub sent_ago: f64,
    /// The time that it took in seconds, as a warm node would have taken.
    pub latency: f64,
    /// Seconds since it ended.
    pub ended_ago: f64,
    /// Whether the node served it; an error is an answer, too, and does not count here.
    pub served: bool,
    /// Whether it counts against the node.
    pub fault: bool,
}

/// A completion at a warm node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencyRecord {
    /// The time that it took, in seconds.
    pub latency: f64,
    /// Seconds since it ended.
    pub ago: f64,
    /// One node's share of the completion: 1 divided by the number of warm nodes at that time.
    pub node_share: f64,
}

/// The outcome of an attempt on a connection that had been idle.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdleResetRecord {
    /// Seconds since it ended.
    pub ago: f64,
    /// Seconds that the connection had been idle.
    pub idle_seconds: f64,
    /// Whether the connection broke at once.
    pub broke: bool,
}

/// The part of the budgets that a router has spent and that a restart does not renew.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpentBudgets {
    /// Ages of the retries and hedged requests, in seconds.
    pub retries: Vec<f64>,
    /// The admissions against which the retry budget is measured.
    pub admissions: Vec<AdmissionRecord>,
    /// Parts sent to nodes in slow start.
    pub slow_start_sends: Vec<SlowStartRecord>,
}

/// Queries and parts that arrived at one time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRecord {
    /// Age of the admission, in seconds.
    pub ago: f64,
    /// Number of queries and parts.
    pub count: f64,
}

/// Parts that were sent to a node in slow start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStartRecord {
    /// The node.
    pub node: NodeId,
    /// Ages of the parts, in seconds.
    pub sent_ago: Vec<f64>,
}
