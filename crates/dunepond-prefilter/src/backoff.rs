//! Back-off from nodes that do not answer can-match requests, which ask in which segments a query can match. A node
//! that does not support such requests, cannot be reached or does not answer in time delays every query that asks it.
//! It is not asked again until its back-off has ended. The back-off grows with each consecutive failure.

use std::collections::BTreeMap;

use crate::model::NodeId;

#[cfg(test)]
mod tests;

/// Back-off after the first failure of a node.
const INITIAL_BACKOFF_SECONDS: f64 = 0.5;
/// Upper limit of a node's back-off.
const MAX_BACKOFF_SECONDS: f64 = 64.0;
/// Factor by which the first back-off is longer for a node that does not support can-match requests, as the node is
/// unlikely to support them soon.
const UNSUPPORTED_FACTOR: f64 = 8.0;

/// Why a can-match request got no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestFailure {
    /// The node does not support can-match requests: it rejected the request, or closed the connection on receiving it.
    Unsupported,
    /// No connection to the node could be used.
    NoConnection,
    /// The node did not answer by the deadline.
    Timeout,
    /// The node was drained, left or was replaced.
    NodeGone,
    /// The response cannot be decoded, or is not about the segments asked for.
    Malformed,
}

/// Back-off of one node.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// Time until which the node is not asked.
    until: f64,
    /// Length of the back-off.
    seconds: f64,
    /// Number of the probe, a request that was sent after `until`; `None` if no probe is in flight. While the probe is
    /// in flight, the node is not chosen for further requests.
    probe: Option<u64>,
}

/// The back-offs of all nodes whose latest request failed.
#[derive(Default)]
pub struct NodeBackoffs {
    by_node: BTreeMap<NodeId, Backoff>,
}

impl NodeBackoffs {
    /// Whether a request may be sent to the node.
    pub fn is_available(&self, now: f64, node: NodeId) -> bool {
        self.by_node.get(&node).is_none_or(|backoff| now >= backoff.until && backoff.probe.is_none())
    }

    /// Records that a request was sent. If the node was in back-off, the request becomes its probe.
    pub fn on_sent(&mut self, node: NodeId, request: u64) {
        if let Some(backoff) = self.by_node.get_mut(&node) {
            backoff.probe = Some(request);
        }
    }

    /// Records an answer, which ends the node's back-off.
    pub fn on_response(&mut self, node: NodeId) {
        self.by_node.remove(&node);
    }

    /// Records a failed request and starts or lengthens the node's back-off. Failures of requests that were already in
    /// flight when the back-off began do not lengthen it, so failures at the same time count once.
    pub fn on_failure(&mut self, now: f64, node: NodeId, request: u64, failure: RequestFailure) {
        if failure == RequestFailure::NodeGone {
            return self.remove_node(node);
        }
        let seconds = match self.by_node.get(&node) {
            Some(backoff) if backoff.probe != Some(request) => return,
            Some(backoff) => (2.0 * backoff.seconds).min(MAX_BACKOFF_SECONDS),
            None if failure == RequestFailure::Unsupported => UNSUPPORTED_FACTOR * INITIAL_BACKOFF_SECONDS,
            None => INITIAL_BACKOFF_SECONDS,
        };
        self.by_node.insert(node, Backoff { until: now + seconds, seconds, probe: None });
    }

    /// Forgets a node and its back-off.
    pub fn remove_node(&mut self, node: NodeId) {
        self.by_node.remove(&node);
    }

    /// The number of nodes whose back-off has not ended.
    pub fn count(&self, now: f64) -> usize {
        self.by_node.values().filter(|backoff| now < backoff.until).count()
    }
}
