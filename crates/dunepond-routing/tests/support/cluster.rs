//! A router with a simulated clock and simulated nodes.

use dunepond_routing::*;

use super::deployment::{parts, row};
use super::transport::{FinalAnswer, RecordingTransport, Sent};

/// A router, its recording transport and its simulated nodes.
pub struct Cluster {
    pub router: Router,
    pub transport: RecordingTransport,
    /// Number of queries sent so far, which is also the id of the last one.
    queries: QueryId,
}

impl Cluster {
    /// Creates a cluster of six warm nodes that each answer in 0.2 s.
    pub fn new(deployment: Deployment) -> Self {
        let transport = RecordingTransport {
            now: 100.0,
            nodes: vec![Some((AttemptOutcome::Served, 0.2)); 6],
            ..RecordingTransport::default()
        };
        let mut cluster = Cluster { router: Router::new(deployment), transport, queries: 0 };
        let rows: Vec<_> = (0..6).map(|n| row(n, EndpointState::Active, 0.0)).collect();
        cluster.router.update_endpoints(&mut cluster.transport, true, &rows);
        cluster
    }

    /// Sends the router a complete endpoint list, or only changed rows.
    pub fn update_list(&mut self, complete: bool, rows: &[Endpoint]) {
        self.router.update_endpoints(&mut self.transport, complete, rows);
    }

    /// Sends a query with one part for each segment.
    pub fn query(&mut self, query_class: usize, segments: &[usize]) -> QueryId {
        self.query_with(query_class, segments, 0, 3.9, false)
    }

    /// Sends a query of a tenant. Its client waits for `expires_in` seconds; `is_retry` states whether the client marked it
    /// as a retry.
    pub fn query_with(
        &mut self,
        query_class: usize,
        segments: &[usize],
        tenant: usize,
        expires_in: f64,
        is_retry: bool,
    ) -> u64 {
        self.submit(Query { tenant, expires_in, is_retry, ..self.default_query(query_class, segments) })
    }

    /// Sends a query of `count` parts, each with the same rounded weight.
    pub fn query_with_rounded_weights(&mut self, query_class: usize, count: usize, weight: f64) -> QueryId {
        let parts =
            (0..count).map(|segment| Part { segment: segment % 6, weight, required_node: None }).collect();
        self.submit(Query { parts, ..self.default_query(query_class, &[]) })
    }

    /// Sends a query of one part that may only be sent to the given node.
    pub fn query_with_required_node(&mut self, query_class: usize, segment: usize, node: NodeId) -> QueryId {
        self.query_with_required_nodes(query_class, &[(segment, node)])
    }

    /// Sends a query with one part for each pair of a segment and its required node.
    pub fn query_with_required_nodes(
        &mut self,
        query_class: usize,
        required_nodes: &[(usize, NodeId)],
    ) -> QueryId {
        let weight = 1.0 / required_nodes.len() as f64;
        let parts = required_nodes
            .iter()
            .map(|&(segment, node)| Part { segment, weight, required_node: Some(node) })
            .collect();
        self.submit(Query { parts, ..self.default_query(query_class, &[]) })
    }

    /// Sends a query whose body is streamed.
    pub fn streamed_query(&mut self, query_class: usize, segments: &[usize]) -> QueryId {
        self.query_with_body(query_class, segments, true, true)
    }

    /// Sends a query whose body is available only once.
    pub fn single_shot_query(&mut self, query_class: usize, segments: &[usize]) -> QueryId {
        self.query_with_body(query_class, segments, false, false)
    }

    /// Sends a query that waits for the prefilter.
    pub fn query_awaiting_prefilter(&mut self, query_class: usize, segments: &[usize]) -> QueryId {
        self.submit(Query { awaits_prefilter: true, ..self.default_query(query_class, segments) })
    }

    /// Sends an audit ([`Query::audit`]) of one part.
    pub fn audit_query(&mut self, query_class: usize, segment: usize) -> QueryId {
        self.submit(Query { audit: true, ..self.default_query(query_class, &[segment]) })
    }

    fn query_with_body(
        &mut self,
        query_class: usize,
        segments: &[usize],
        body_retained: bool,
        streamed: bool,
    ) -> QueryId {
        self.submit(Query { body_retained, streamed, ..self.default_query(query_class, segments) })
    }

    fn default_query(&self, query_class: usize, segments: &[usize]) -> Query {
        Query {
            id: 0,
            class: query_class,
            tenant: 0,
            expires_in: 3.9,
            is_retry: false,
            body_retained: true,
            streamed: false,
            awaits_prefilter: false,
            audit: false,
            parts: parts(segments),
        }
    }

    fn submit(&mut self, query: Query) -> QueryId {
        self.queries += 1;
        self.router.on_query(&mut self.transport, Query { id: self.queries, ..query });
        self.queries
    }

    /// Advances the clock and sends a query of one part every `gap` seconds, to each segment in turn.
    pub fn run_traffic(&mut self, query_class: usize, seconds: f64, gap: f64) {
        let end = self.transport.now + seconds;
        let mut turn = 0;
        while self.transport.now + gap <= end {
            self.query(query_class, &[turn % 6]);
            turn += 1;
            self.run(gap);
        }
    }

    /// Advances the clock, calls `on_wake` when requested, and delivers the ends of attempts when they are due.
    pub fn run(&mut self, seconds: f64) {
        let end = self.transport.now + seconds;
        loop {
            let wake = self.transport.wakes.iter().copied().fold(f64::MAX, f64::min);
            let due = self.transport.due.iter().map(|d| d.0).fold(f64::MAX, f64::min);
            if wake.min(due) > end {
                self.transport.now = end;
                return;
            }
            self.transport.now = self.transport.now.max(wake.min(due));
            if due <= wake {
                let at =
                    self.transport.due.iter().position(|d| d.0 == due).expect("an end of an attempt is due");
                let (_, ended) = self.transport.due.remove(at);
                self.router.on_attempt_ended(&mut self.transport, ended);
            } else {
                self.transport.wakes.retain(|w| *w != wake);
                self.transport.wake_count += 1;
                self.router.on_wake(&mut self.transport);
            }
        }
    }

    /// Drops the pending responses of a node to a query, so that these attempts never end.
    pub fn drop_responses(&mut self, query: QueryId, node: NodeId) {
        self.transport.due.retain(|(_, e)| (e.query, e.node) != (query, node));
    }

    /// Ends the latest attempt of a part now with the given outcome.
    pub fn end_attempt(&mut self, query: QueryId, part: usize, outcome: AttemptOutcome) {
        let attempts: Vec<_> = self.transport.sent.iter().filter(|s| s.is_attempt_of(query, part)).collect();
        let (attempt, last) = (attempts.len() - 1, attempts[attempts.len() - 1].clone());
        self.transport.remove_due(query, part, attempt);
        let elapsed = self.transport.now - last.at;
        let ended = AttemptEnded { query, part, attempt, node: last.node, outcome, elapsed };
        self.router.on_attempt_ended(&mut self.transport, ended);
    }

    /// Returns the attempts of a query so far.
    pub fn sent(&self, query: QueryId) -> Vec<Sent> {
        self.transport.sent.iter().filter(|s| s.query == query).cloned().collect()
    }

    /// Returns the answers to a query so far.
    pub fn answers(&self, query: QueryId) -> Vec<FinalAnswer> {
        self.transport.answers.iter().filter(|f| f.1 == query).map(|f| f.2.clone()).collect()
    }

    /// Returns the number of attempts sent to a node since an instant.
    pub fn sent_count(&self, node: NodeId, since: f64) -> usize {
        self.transport.sent.iter().filter(|s| s.node == node && s.at >= since).count()
    }

    /// Returns whether the router has logged an ejection of the node.
    pub fn is_ejected(&self, node: NodeId) -> bool {
        self.transport.log.iter().any(|l| l.starts_with(&format!("node {node} is ejected")))
    }
}

/// Creates a cluster of sixty warm nodes.
pub fn sixty_node_cluster(deployment: Deployment) -> Cluster {
    let mut cluster = Cluster::new(Deployment { replica_groups: 60, ..deployment });
    cluster.update_list(true, &(0..60).map(|n| row(n, EndpointState::Active, 0.0)).collect::<Vec<_>>());
    cluster
}

/// Returns the responses of sixty nodes of which every third answers after `delay` seconds and the others after 0.2 s.
pub fn every_third_slow(delay: f64) -> Vec<Option<(AttemptOutcome, f64)>> {
    (0..60).map(|n| Some((AttemptOutcome::Served, if n % 3 == 0 { delay } else { 0.2 }))).collect()
}
