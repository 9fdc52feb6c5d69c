//! Which nodes can be asked. One that does not support the request, cannot be reached or does not answer in time costs every query that asks
//! it a part of its time, so it is left alone: the longer, the more often in a row it failed.

use std::collections::BTreeMap;

use crate::model::NodeId;

#[cfg(test)]
mod tests;

const INITIAL_BACKOFF_SECONDS: f64 = 0.5;
const MAX_BACKOFF_SECONDS: f64 = 64.0;
/// A node that does not support the request will not learn it soon.
const UNSUPPORTED_FACTOR: f64 = 8.0;

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestFailure {
    /// The node closed the connection on it, or refused it as unknown.
    Unsupported,
    /// No connection to the node.
    NoConnection,
    /// Not by the deadline for asking.
    Timeout,
    /// The node drained, left, or was replaced.
    NodeGone,
    /// The answer cannot be decoded, or is not about what was asked.
    Malformed,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: f64,
    seconds: f64,
    /// The one request sent after the backoff; no other is sent before it ends.
    probe: Option<u64>,
}

/// The nodes in backoff.
#[derive(Default)]
pub struct NodeBackoffs {
    by_node: BTreeMap<NodeId, Backoff>,
}

impl NodeBackoffs {
    /// Whether a request may be sent to the node.
    pub fn is_available(&self, now: f64, node: NodeId) -> bool {
        self.by_node.get(&node).is_none_or(|backoff| now >= backoff.until && backoff.probe.is_none())
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, node: NodeId, request: u64) {
        if let Some(backoff) = self.by_node.get_mut(&node) {
            backoff.probe = Some(request);
        }
    }

    /// Records an answer: the node is asked as usual.
    pub fn on_response(&mut self, node: NodeId) {
        self.by_node.remove(&node);
    }

    /// Records a failure. Requests that fail together count once: what was in flight when the backoff began does not lengthen it.
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

    /// Drops what is known of a node.
    pub fn remove_node(&mut self, node: NodeId) {
        self.by_node.remove(&node);
    }

    /// The number of nodes that are left alone now.
    pub fn count(&self, now: f64) -> usize {
        self.by_node.values().filter(|backoff| now < backoff.until).count()
    }
}
