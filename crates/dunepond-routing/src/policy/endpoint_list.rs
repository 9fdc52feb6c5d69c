//! Endpoint list: how the rows of the list update the known nodes, and when the list is polled.
//!
//! Inputs: the rows with each node's start (an instant) and, if the endpoint list is only sent on request, the
//! time (seconds) within which it must be polled. A node listed as draining or removed gets no new work; a node
//! listed as active is still subject to outlier detection.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

use rand::RngExt;

use crate::state::{Node, Router, TokenBucket};
use crate::{Endpoint, EndpointState, NodeId, Transport};

/// Interval between polls of the endpoint list, as a ratio of
/// [`Deployment::list_poll_deadline`](crate::Deployment::list_poll_deadline). The list is polled even if it is
/// watched, because a watch may have failed without notice.
const POLL_INTERVAL_RATIO: f64 = 0.9;
/// First back-off after a failed poll of the endpoint list, as a ratio of
/// [`Deployment::list_poll_deadline`](crate::Deployment::list_poll_deadline). Each further failure doubles it,
/// up to the poll interval.
const FIRST_BACKOFF_RATIO: f64 = 0.03;
/// Range of the random factor by which the back-off after a failed poll is multiplied. Without it, the polls
/// of many brokers that start at the same time would fill the queue of the server that sends the list.
const BACKOFF_SPREAD: Range<f64> = 0.5..1.0;

impl Router {
    /// Applies the endpoint list: the complete list, or only the rows that have changed. A node that is missing
    /// from a complete list counts as removed.
    pub fn update_endpoints(
        &mut self,
        transport: &mut dyn Transport,
        is_complete: bool,
        endpoints: &[Endpoint],
    ) {
        self.sync_clock(transport);
        self.schedule_next_poll();
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

    /// Schedules the next poll of the endpoint list, which has just been received. Does nothing if the list has
    /// never been polled.
    fn schedule_next_poll(&mut self) {
        let was_polled = self.endpoint_poll.next_at > f64::MIN;
        if let Some(poll_deadline) = self.deployment.list_poll_deadline
            && was_polled
        {
            self.endpoint_poll.next_at = self.now + POLL_INTERVAL_RATIO * poll_deadline;
            self.endpoint_poll.failed_polls = 0;
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

    /// Records that a poll of the endpoint list has failed or that a watch of it was interrupted; the list is
    /// polled again after a back-off.
    pub fn on_list_poll_failed(&mut self, transport: &mut dyn Transport) {
        self.sync_clock(transport);
        if let Some(poll_deadline) = self.deployment.list_poll_deadline {
            let doubled = FIRST_BACKOFF_RATIO * 2_f64.powi(self.endpoint_poll.failed_polls);
            let backoff = doubled.min(POLL_INTERVAL_RATIO) * poll_deadline;
            self.endpoint_poll.failed_polls += 1;
            self.endpoint_poll.next_at = self.now + backoff * self.rng.random_range(BACKOFF_SPREAD);
        }
        self.schedule_wake(transport);
    }

    /// Polls an endpoint list that is only sent on request, at the start and whenever a poll is due.
    pub(super) fn poll_endpoints(&mut self, transport: &mut dyn Transport) {
        let Some(poll_deadline) = self.deployment.list_poll_deadline else { return };
        if self.now >= self.endpoint_poll.next_at {
            self.endpoint_poll.next_at = self.now + POLL_INTERVAL_RATIO * poll_deadline;
            transport.poll_endpoint_list();
        }
    }

    /// Sets the nodes from which these segments may be read, in place of the replica groups. All other segments follow the
    /// groups again. A part is sent to no other node from now on; ids that no listed node has are ignored.
    pub fn set_segment_replicas(&mut self, replicas: BTreeMap<usize, Vec<NodeId>>) {
        self.segment_replicas = replicas;
    }

    /// Forgets a removed node that has no outstanding attempt. The host may then assign its id to another node.
    ///
    /// # Panics
    ///
    /// If the node was never listed.
    pub fn remove_node(&mut self, id: NodeId) {
        self.nodes[id] = None;
        for part in self.queries.values_mut().flat_map(|query| &mut query.parts) {
            if part.required_node == Some(id) {
                // Another node may get this id, and the part must not be sent there.
                part.required_node = Some(NodeId::MAX);
            }
        }
        for group in self.replica_groups.iter_mut().chain(self.segment_replicas.values_mut()) {
            group.retain(|member| *member != id);
        }
    }
}

impl Node {
    /// Resets the state of a node whose process has restarted: samples, ejection and attempts of the old
    /// process do not apply to the new one. An ejection ends without a log line.
    fn restart(&mut self, started_at: f64, tokens: TokenBucket) {
        self.started_at = started_at;
        self.slow_start_tokens = tokens;
        self.ejection = None;
        self.outstanding.retain(|attempt| attempt.sent_at >= started_at);
        self.samples.clear();
        self.abandoned_until.clear();
    }
}
