//! What a process learned and spent, for its successor. All times are ages in seconds, as each process has
//! its own clock. These types are stored: the order of their fields is part of the format.

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// What a router has learned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// Node by node.
    pub nodes: Vec<LearnedNode>,
    /// The fleet's last completions, the oldest first.
    pub latency_samples: Vec<LatencyRecord>,
    /// Attempts on connections that had been idle.
    pub idle_resets: Vec<IdleResetRecord>,
    /// Seconds that attempts take at ease; `None` while that is not known.
    pub baseline_latency: Option<f64>,
}

/// What was learned of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedNode {
    /// The node.
    pub node: NodeId,
    /// It was ejected.
    pub ejected: bool,
    /// Its last attempts, the oldest first.
    pub samples: Vec<LearnedSample>,
}

/// What an attempt told of its node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedSample {
    /// Index into [`Deployment::query_classes`](crate::Deployment::query_classes).
    pub class: usize,
    /// Seconds since it was sent.
    pub sent_ago: f64,
    /// Seconds that it took, as a warm node would have taken them.
    pub latency: f64,
    /// Seconds since it ended.
    pub ended_ago: f64,
    /// It was answered.
    pub served: bool,
    /// It counts against the node.
    pub fault: bool,
}

/// A completion at a warm node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencyRecord {
    /// Seconds that it took.
    pub latency: f64,
    /// Seconds since it came.
    pub ago: f64,
    /// One node's part of it: 1 by the warm nodes of its time.
    pub node_share: f64,
}

/// What became of an attempt on a connection that had been idle.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdleResetRecord {
    /// Seconds since it ended.
    pub ago: f64,
    /// Seconds that the connection had been idle.
    pub idle_seconds: f64,
    /// The connection broke at once.
    pub broke: bool,
}

/// What a router has spent of the budgets that a restart does not renew.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpentBudgets {
    /// Retries and hedged requests, in seconds ago.
    pub retries: Vec<f64>,
    /// What the retry budget is measured against.
    pub admissions: Vec<AdmissionRecord>,
    /// Parts sent to nodes in slow start.
    pub slow_start_sends: Vec<SlowStartRecord>,
}

/// Queries and parts admitted at a time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRecord {
    /// Seconds ago.
    pub ago: f64,
    /// How many queries and parts.
    pub count: f64,
}

/// Parts sent to a node in slow start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStartRecord {
    /// The node.
    pub node: NodeId,
    /// When each was sent, in seconds ago.
    pub sent_ago: Vec<f64>,
}
