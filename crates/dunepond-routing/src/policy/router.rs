//! The entry points of [`Router`]. Each of them reads the clock, records its event, and runs the request stages
//! of the queries that the event concerns.

use crate::state::{InFlightQuery, PartStatus, Probing, Router};
use crate::{AttemptEnded, AttemptId, Deployment, NodeId, Part, Query, QueryId, Transport};

impl Router {
    /// Creates a router for a deployment, whose seed determines all random choices. It has no endpoint list yet.
    pub fn new(deployment: Deployment) -> Self {
        let mut router = Self::with_empty_state(deployment);
        router.measure_latency();
        router
    }

    /// Handles the arrival of a query with the parts of its first step.
    pub fn on_query(&mut self, transport: &mut dyn Transport, query: Query) {
        self.sync_clock(transport);
        self.record_arrival(if query.audit { 0.0 } else { 1.0 + query.parts.len() as f64 });
        self.measure_latency();
        let objective_at = self.objective_at(&query);
        let mut in_flight = InFlightQuery::new(&query, self.now, objective_at, self.rules.clone());
        // For a streamed query the host limits the deadline itself, if the request's head arrives during a
        // shutdown.
        if !query.streamed {
            self.limit_to_shutdown(&mut in_flight);
        }
        self.insert(transport, in_flight, query.parts);
        self.schedule_wake(transport);
    }

    /// Handles the parts of a query's second step, which the answer to its first step contained.
    pub fn on_second_step(&mut self, transport: &mut dyn Transport, id: QueryId, parts: Vec<Part>) {
        self.sync_clock(transport);
        self.record_arrival(parts.len() as f64);
        if let Some(mut query) = self.queries.remove(&id) {
            query.is_second_step = true;
            query.probing = Probing::NotProbed;
            self.insert(transport, query, parts);
        }
    }

    /// Handles the end of an attempt. The host must call this exactly once for each attempt.
    pub fn on_attempt_ended(&mut self, transport: &mut dyn Transport, ended: AttemptEnded) {
        self.sync_clock(transport);
        self.run_response_stages(transport, &ended);
    }

    /// Handles the result of a probe: the seconds after which it was answered, or `None` if it failed.
    pub fn on_probe_result(
        &mut self,
        transport: &mut dyn Transport,
        id: NodeId,
        answered_after: Option<f64>,
    ) {
        self.sync_clock(transport);
        self.record_probe(answered_after);
        let now = self.now;
        let Some(node) = self.node_mut(id) else { return };
        if answered_after.is_none() {
            return;
        }
        node.last_probe_at = now;
        for id in self.query_ids_where(|router, query| router.awaits_probes(query)) {
            self.run_request_stages(transport, id);
        }
    }

    /// Records that the frame of a streamed attempt has been sent completely. The time until the node's
    /// response is measured from now on.
    pub fn on_frame_written(&mut self, transport: &mut dyn Transport, node: NodeId, id: AttemptId) {
        self.sync_clock(transport);
        let now = self.now;
        let Some(node) = self.node_mut(node) else { return };
        if let Some(position) = node.outstanding_position(id) {
            let mut attempt = node.outstanding.remove(position);
            attempt.sent_at = now;
            attempt.frame_sent = true;
            node.outstanding.push(attempt);
        }
    }

    /// Records that the body of a query is no longer available: no further attempt can be sent, and a frame
    /// that has not been sent completely never will be.
    pub fn on_body_discarded(&mut self, transport: &mut dyn Transport, id: QueryId) {
        self.sync_clock(transport);
        if let Some(query) = self.queries.get_mut(&id) {
            query.body_unavailable = true;
            self.run_request_stages(transport, id);
        }
    }

    /// Handles the result of the prefilter: the given parts are pruned, because the host has shown that their
    /// result is empty. The other parts are sent; if too little time is left for that, the query ends unserved.
    pub fn on_prefilter_result(&mut self, transport: &mut dyn Transport, id: QueryId, pruned: &[usize]) {
        self.sync_clock(transport);
        let Some(query) = self.queries.get_mut(&id) else { return };
        if !query.awaits_prefilter {
            return;
        }
        query.awaits_prefilter = false;
        for part in pruned {
            query.parts[*part].status = PartStatus::Pruned;
        }
        if self.can_still_be_served(&self.queries[&id]) {
            return self.run_request_stages(transport, id);
        }
        let Some(query) = self.queries.remove(&id) else { return };
        self.end_unserved(transport, &query);
        self.finish(transport, &query);
    }

    /// Revokes the pruning of these parts, whose result may no longer be empty; they are sent after all.
    pub fn on_prefilter_revoked(&mut self, transport: &mut dyn Transport, id: QueryId, parts: &[usize]) {
        self.sync_clock(transport);
        let Some(query) = self.queries.get_mut(&id) else { return };
        for (index, part) in query.parts.iter_mut().enumerate() {
            if part.is_pruned() && parts.contains(&index) {
                part.status = PartStatus::Pending;
            }
        }
        self.run_request_stages(transport, id);
    }

    /// Records that the client of a query has disconnected; the query ends without an answer.
    pub fn on_client_disconnect(&mut self, transport: &mut dyn Transport, id: QueryId) {
        self.sync_clock(transport);
        if let Some(query) = self.queries.remove(&id) {
            self.finish(transport, &query);
        }
    }

    /// Returns the number of outstanding attempts at a node.
    ///
    /// # Panics
    ///
    /// If the node was never listed.
    pub fn outstanding(&self, node: NodeId) -> usize {
        self.nodes[node].as_ref().map_or(0, |node| node.outstanding.len())
    }

    /// Detects outliers among the nodes and runs the request stages of the queries that are due. The host calls
    /// this at the instant requested by [`Transport::schedule_wake`].
    pub fn on_wake(&mut self, transport: &mut dyn Transport) {
        self.sync_clock(transport);
        self.clear_due_wake();
        self.count_warm_nodes();
        self.latency.completion_rate_at_wake = self.completion_rate();
        for node in self.busy_nodes() {
            self.detect_outlier(transport, node);
        }
        for id in self.query_ids_where(|router, query| query.due_at <= router.now) {
            self.run_request_stages(transport, id);
        }
        self.schedule_wake(transport);
    }

    /// Adds the parts of a step to a query, stores the query and runs its request stages.
    fn insert(&mut self, transport: &mut dyn Transport, mut query: InFlightQuery, parts: Vec<Part>) {
        query.add_parts(parts);
        let id = query.id;
        self.queries.insert(id, query);
        self.run_request_stages(transport, id);
    }

    /// Returns the ids of the queries in flight that match a condition, in ascending order.
    fn query_ids_where(&self, matches: impl Fn(&Self, &InFlightQuery) -> bool) -> Vec<QueryId> {
        self.queries.values().filter(|query| matches(self, query)).map(|query| query.id).collect()
    }

    /// Returns the nodes that are probably working on attempts of this broker.
    fn busy_nodes(&self) -> Vec<NodeId> {
        let is_busy =
            |id: &NodeId| self.nodes[*id].as_ref().is_some_and(|node| node.attempts_in_progress() > 0.0);
        (0..self.nodes.len()).filter(is_busy).collect()
    }
}
