//! Endpoint list: how its rows change the known nodes, and when it is polled.
//!
//! Inputs: the rows with each node's start (an instant) and, where the list comes only on request, the
//! seconds after which a broker that has not polled is held to know it anyway. A node listed as draining or
//! removed gets no new work; a node listed as active has to prove it.

use std::collections::VecDeque;
use std::ops::Range;

use rand::RngExt;

use crate::state::{Node, Router, TokenBucket};
use crate::{Endpoint, EndpointState, NodeId, Transport};

/// Ratios to the time within which the list must be polled: the interval after an answer (a watch may have
/// failed silently), and the first backoff after a refusal, doubled with each refusal up to that interval.
const QUIET_POLL_RATIO: f64 = 0.9;
const FIRST_BACKOFF_RATIO: f64 = 0.03;
/// Jitter: many brokers that start at once would fill the list's queue.
const BACKOFF_SPREAD: Range<f64> = 0.5..1.0;

impl Router {
    /// Accepts the endpoint list: all of it, or only the rows that have changed. A node that is not in a
    /// complete list counts as removed.
    pub fn update_endpoints(
        &mut self,
        transport: &mut dyn Transport,
        is_complete: bool,
        endpoints: &[Endpoint],
    ) {
        self.sync_clock(transport);
        self.note_list_answer();
        if is_complete {
            for node in self.nodes.iter_mut().flatten() {
                node.state = EndpointState::Removed;
            }
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.count_warm_nodes();
        self.schedule_wake(transport);
    }

    fn note_list_answer(&mut self) {
        let was_polled = self.endpoint_poll.next_at > f64::MIN;
        if let Some(within) = self.deployment.list_poll_deadline
            && was_polled
        {
            self.endpoint_poll.next_at = self.now + QUIET_POLL_RATIO * within;
            self.endpoint_poll.refusals = 0;
        }
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        let zones = &mut self.latency.zones;
        zones.resize_with(zones.len().max(endpoint.zone + 1), VecDeque::new);
        self.nodes.resize_with(self.nodes.len().max(endpoint.node + 1), || None);
        if self.nodes[endpoint.node].is_none() {
            let groups = self.replica_groups.len();
            self.replica_groups[endpoint.replica_group % groups].push(endpoint.node);
        }
        let tokens = self.initial_slow_start_tokens(endpoint.started_at);
        let node = self.nodes[endpoint.node].get_or_insert_with(|| Node::new(endpoint, tokens));
        node.state = endpoint.state;
        if endpoint.started_at > node.started_at {
            node.restart(endpoint.started_at, tokens);
        }
    }

    /// Records that a poll of the list has failed, or that a watch was interrupted; the list is polled
    /// again after a backoff.
    pub fn on_list_poll_failed(&mut self, transport: &mut dyn Transport) {
        self.sync_clock(transport);
        if let Some(within) = self.deployment.list_poll_deadline {
            let doubled = FIRST_BACKOFF_RATIO * 2_f64.powi(self.endpoint_poll.refusals);
            let backoff = doubled.min(QUIET_POLL_RATIO) * within;
            self.endpoint_poll.refusals += 1;
            self.endpoint_poll.next_at = self.now + backoff * self.rng.random_range(BACKOFF_SPREAD);
        }
        self.schedule_wake(transport);
    }

    /// Polls a list that comes only on request, at the start and whenever it is due.
    pub(super) fn poll_endpoints(&mut self, transport: &mut dyn Transport) {
        let Some(within) = self.deployment.list_poll_deadline else { return };
        if self.now >= self.endpoint_poll.next_at {
            self.endpoint_poll.next_at = self.now + QUIET_POLL_RATIO * within;
            transport.poll_endpoint_list();
        }
    }

    /// Drops a removed node that has no outstanding attempt; its id may then be given to another node.
    ///
    /// # Panics
    ///
    /// If the node was never listed.
    pub fn remove_node(&mut self, id: NodeId) {
        self.nodes[id] = None;
        for part in self.queries.values_mut().flat_map(|query| &mut query.parts) {
            if part.required_node == Some(id) {
                // The next node with this id is not the one that the part requires.
                part.required_node = Some(NodeId::MAX);
            }
        }
        for group in &mut self.replica_groups {
            group.retain(|member| *member != id);
        }
    }
}

impl Node {
    /// Resets a node whose process was restarted under the same name: samples, ejection and attempts of
    /// the old process do not apply to the new one. An ejection ends without a log line.
    fn restart(&mut self, started_at: f64, tokens: TokenBucket) {
        self.started_at = started_at;
        self.slow_start_tokens = tokens;
        self.ejection = None;
        self.outstanding.retain(|attempt| attempt.sent_at >= started_at);
        self.samples.clear();
        self.abandoned_until.clear();
    }
}
