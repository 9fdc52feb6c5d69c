//! The state of a node as this broker knows it.

use std::collections::VecDeque;

use super::age;
use crate::{AttemptId, Endpoint, EndpointState, LearnedNode, LearnedSample, NodeId};

pub struct Node {
    pub zone: usize,
    pub state: EndpointState,
    pub started_at: f64,
    pub slow_start_tokens: TokenBucket,
    /// Instant at which the node last answered or rejected an attempt; `f64::MIN` before that.
    pub last_response_at: f64,
    /// Instant of the last traffic with the node; `f64::MAX` before any, so that no idle time results.
    pub last_used_at: f64,
    /// Instant at which the node last rejected an attempt as full.
    pub last_full_at: f64,
    /// Instant at which the node last answered a probe.
    pub last_probe_at: f64,
    /// Attempts that have not ended, ordered by `sent_at`.
    pub outstanding: Vec<OutstandingAttempt>,
    /// The instant up to which each attempt that was given up counts as load, because the node may still work
    /// on it.
    pub abandoned_until: Vec<f64>,
    /// Samples of recent attempts, oldest first.
    pub samples: VecDeque<NodeSample>,
    /// Instants at which the node was sent parts during slow start.
    pub slow_start_sends: VecDeque<f64>,
    /// Set while the node is ejected: only probation attempts are sent to it.
    pub ejection: Option<Ejection>,
}

/// An attempt that has not ended.
pub struct OutstandingAttempt {
    pub id: AttemptId,
    pub class: usize,
    /// When it was sent; for a streamed attempt, when its frame had been sent completely. Moved by each stall
    /// of this process, which is not the node's silence.
    pub sent_at: f64,
    /// Seconds without traffic with the node before the attempt was sent.
    pub idle_seconds: f64,
    /// Whether its frame has been sent completely; before that, no answer is due.
    pub frame_sent: bool,
}

/// What an attempt showed about its node.
pub struct NodeSample {
    pub class: usize,
    pub sent_at: f64,
    /// Latency in seconds, scaled to that of a warm node; of a rejection as full, the 95th percentile.
    pub latency: f64,
    /// When it ended.
    pub at: f64,
    pub outcome: SampleOutcome,
}

#[derive(Clone, Copy, PartialEq)]
pub enum SampleOutcome {
    Served,
    Fault,
    /// The node rejected the attempt as full, or it was cancelled before it ended: its time counts, but
    /// not against the node.
    Inconclusive,
}

/// The ejection of an outlier.
pub struct Ejection {
    /// Instant from which probation attempts may be sent.
    pub probation_at: f64,
    /// Probation attempts that may be outstanding at once.
    pub probation_limit: usize,
}

/// The slow start budget of a node, as of an instant.
#[derive(Clone, Copy)]
pub struct TokenBucket {
    pub tokens: f64,
    /// The value of [`LatencyStats::completed_per_node`](super::LatencyStats::completed_per_node) at that
    /// instant.
    pub completed_per_node: f64,
    pub at: f64,
}

impl Node {
    /// Creates the state of a node when it is first listed.
    pub fn new(endpoint: &Endpoint, slow_start_tokens: TokenBucket) -> Self {
        Self {
            zone: endpoint.zone,
            state: endpoint.state,
            started_at: endpoint.started_at,
            slow_start_tokens,
            last_response_at: f64::MIN,
            last_used_at: f64::MAX,
            last_full_at: f64::MIN,
            last_probe_at: f64::MIN,
            outstanding: Vec::new(),
            abandoned_until: Vec::new(),
            samples: VecDeque::new(),
            slow_start_sends: VecDeque::new(),
            ejection: None,
        }
    }

    /// This broker's attempts on which the node is likely working, given up or not.
    pub fn attempts_in_hand(&self) -> f64 {
        (self.outstanding.len() + self.abandoned_until.len()) as f64
    }

    /// The node's statistics in the form that is stored for another process.
    pub fn to_learned(&self, id: NodeId, now: f64) -> LearnedNode {
        LearnedNode {
            node: id,
            ejected: self.ejection.is_some(),
            samples: self.samples.iter().map(|sample| sample.to_learned(now)).collect(),
        }
    }

    pub fn outstanding_position(&self, id: AttemptId) -> Option<usize> {
        self.outstanding.iter().position(|attempt| attempt.id == id)
    }
}

impl NodeSample {
    pub fn is_fault(&self) -> bool {
        self.outcome == SampleOutcome::Fault
    }

    pub fn is_served(&self) -> bool {
        self.outcome == SampleOutcome::Served
    }

    /// The sample in the form that is stored for another process, with ages.
    pub fn to_learned(&self, now: f64) -> LearnedSample {
        LearnedSample {
            class: self.class,
            sent_ago: age(self.sent_at, now),
            latency: self.latency,
            ended_ago: age(self.at, now),
            served: self.is_served(),
            fault: self.is_fault(),
        }
    }

    /// The stored sample on this process's clock.
    pub fn from_learned(learned: &LearnedSample, now: f64) -> Self {
        let outcome = match (learned.fault, learned.served) {
            (true, _) => SampleOutcome::Fault,
            (false, true) => SampleOutcome::Served,
            (false, false) => SampleOutcome::Inconclusive,
        };
        Self {
            class: learned.class,
            sent_at: now - learned.sent_ago,
            latency: learned.latency,
            at: now - learned.ended_ago,
            outcome,
        }
    }
}
