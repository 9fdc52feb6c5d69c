//! The state of a node as this broker knows it.

use std::collections::VecDeque;

use super::age;
use crate::{AttemptId, Endpoint, EndpointState, LearnedNode, LearnedSample, NodeId};

/// A listed node with the samples and outstanding attempts of this broker.
pub struct Node {
    pub zone: usize,
    pub state: EndpointState,
    /// When the node's process last started.
    pub started_at: f64,
    pub slow_start_tokens: TokenBucket,
    /// Instant at which the node last answered or rejected an attempt; `f64::MIN` if it has not done so yet.
    pub last_response_at: f64,
    /// Instant at which an attempt was last sent to the node or ended there; `f64::MAX` if there was none
    /// yet, so that the computed idle time is not positive.
    pub last_used_at: f64,
    /// Instant at which the node last rejected an attempt as full; `f64::MIN` if it has not done so yet.
    pub last_full_at: f64,
    /// Instant at which the node last answered a probe; `f64::MIN` if it has not done so yet.
    pub last_probe_at: f64,
    /// Attempts that have not ended, ordered by `sent_at`.
    pub outstanding: Vec<OutstandingAttempt>,
    /// For each abandoned attempt, the instant up to which it counts as load, because the node may still be
    /// working on it.
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
    /// Query class of the attempt.
    pub class: usize,
    /// When the attempt was sent; for a streamed attempt, when its frame had been sent completely. Moved
    /// forward by the length of each stall of this process, so that a stall does not count as the node's
    /// silence.
    pub sent_at: f64,
    /// Seconds without traffic with the node before the attempt was sent.
    pub idle_seconds: f64,
    /// Whether the attempt's frame has been sent completely; before that, no answer is due.
    pub frame_sent: bool,
}

/// Sample of an attempt at a node.
pub struct NodeSample {
    /// Query class of the attempt.
    pub class: usize,
    pub sent_at: f64,
    /// Latency in seconds, multiplied by the ratio of the node's capacity to that of a warm node; for a
    /// rejection as full, the fleet's 95th percentile.
    pub latency: f64,
    /// When the attempt ended.
    pub at: f64,
    pub outcome: SampleOutcome,
}

/// What the outcome of an attempt says about its node.
#[derive(Clone, Copy, PartialEq)]
pub enum SampleOutcome {
    /// The node served the attempt.
    Served,
    /// The attempt failed, and the failure counts against the node.
    Fault,
    /// The node rejected the attempt as full, or the attempt was cancelled or timed out. Its latency counts,
    /// but the attempt does not count as a fault of the node.
    Inconclusive,
}

/// Ejection of a node from service.
pub struct Ejection {
    /// Instant from which probation attempts may be sent.
    pub probation_at: f64,
    /// Largest number of probation attempts that may be outstanding at once.
    pub probation_limit: usize,
}

/// The slow start tokens that this broker has for a node. Each part that it sends to the node takes a token.
#[derive(Clone, Copy)]
pub struct TokenBucket {
    /// Number of tokens at the instant `at`.
    pub tokens: f64,
    /// The value of [`LatencyStats::completed_per_node`](super::LatencyStats::completed_per_node) at `at`.
    pub completed_per_node: f64,
    /// Instant at which `tokens` was last computed.
    pub at: f64,
}

impl Node {
    /// Creates the state of a node that is listed for the first time.
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

    /// Returns the number of this broker's attempts on which the node is probably working, abandoned ones
    /// included.
    pub fn attempts_in_progress(&self) -> f64 {
        (self.outstanding.len() + self.abandoned_until.len()) as f64
    }

    /// Converts the node's statistics to the stored form, with ages instead of instants.
    pub fn to_learned(&self, id: NodeId, now: f64) -> LearnedNode {
        LearnedNode {
            node: id,
            ejected: self.ejection.is_some(),
            samples: self.samples.iter().map(|sample| sample.to_learned(now)).collect(),
        }
    }

    /// Returns the position of an attempt in `outstanding`; `None` if it is not outstanding at this node.
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

    /// Converts the sample to the stored form, with ages instead of instants.
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

    /// Converts a stored sample to instants on this process's clock.
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
