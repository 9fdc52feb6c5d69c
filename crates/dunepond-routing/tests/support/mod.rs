//! A transport that records its orders, with nodes that end each attempt after a set time, or never.
#![allow(dead_code, reason = "each test file uses its own part")]
use dunepond_routing::*;

#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    Answer { complete: bool },
    Rejected { retry_after: f64 },
    Failed,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub at: f64,
    pub query: QueryId,
    pub part: usize,
    pub node: NodeId,
}

#[derive(Default)]
pub struct RecordingTransport {
    pub now: f64,
    pub sent: Vec<Sent>,
    pub answers: Vec<(f64, QueryId, FinalAnswer)>,
    pub cancelled: Vec<(QueryId, usize, usize)>,
    pub probed: Vec<NodeId>,
    pub closed: Vec<NodeId>,
    pub log: Vec<String>,
    /// When the list was polled.
    pub polled: Vec<f64>,
    pub woken: usize,
    /// How each node ends what it is sent, and after how long; a node that is not here is silent.
    pub nodes: Vec<Option<(AttemptOutcome, f64)>>,
    wakes: Vec<f64>,
    due: Vec<(f64, AttemptEnded)>,
}

impl Transport for RecordingTransport {
    fn now(&self) -> f64 {
        self.now
    }
    fn send_attempt(&mut self, query: QueryId, part: usize, node: NodeId) {
        assert!(
            !self.answers.iter().any(|(_, s, f)| *s == query && *f != FinalAnswer::Answer { complete: true }),
            "sent after the final answer"
        );
        let shot = self.sent.iter().filter(|s| (s.query, s.part) == (query, part)).count();
        self.sent.push(Sent { at: self.now, query, part, node });
        if let Some((end, took)) = self.nodes[node] {
            self.due.push((
                self.now + took,
                AttemptEnded { query, part, attempt: shot, node, outcome: end, elapsed: took },
            ));
        }
    }
    fn cancel_attempt(&mut self, query: QueryId, part: usize, shot: usize) {
        self.cancelled.push((query, part, shot));
        let sent = self.sent.iter().filter(|s| (s.query, s.part) == (query, part)).nth(shot);
        let (node, took) = sent.map(|s| (s.node, self.now - s.at)).expect("cancelled what was sent");
        self.due.retain(|(_, e)| (e.query, e.part, e.attempt) != (query, part, shot));
        self.due.push((
            self.now,
            AttemptEnded {
                query,
                part,
                attempt: shot,
                node,
                outcome: AttemptOutcome::Cancelled,
                elapsed: took,
            },
        ));
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.closed.push(node);
    }
    fn probe(&mut self, node: NodeId) {
        self.probed.push(node);
    }
    fn answer(&mut self, query: QueryId, complete: bool) {
        self.answers.push((self.now, query, FinalAnswer::Answer { complete }));
    }
    fn reject_retriable(&mut self, query: QueryId, retry_after: f64) {
        self.answers.push((self.now, query, FinalAnswer::Rejected { retry_after }));
    }
    fn fail_unknown_outcome(&mut self, query: QueryId) {
        self.answers.push((self.now, query, FinalAnswer::Failed));
    }
    fn finish(&mut self, _: QueryId) {}
    fn poll_endpoint_list(&mut self) {
        self.polled.push(self.now);
    }
    fn schedule_wake(&mut self, at: f64) {
        self.wakes.push(at);
    }
    fn log(&mut self, line: &str) {
        self.log.push(line.to_string());
    }
}

pub const COMPLETE: FinalAnswer = FinalAnswer::Answer { complete: true };

pub const QUICK: usize = 0;
pub const FULL: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;
pub const KEYED: usize = 3;
pub const TWO_STEP: usize = 4;
pub const PARTIAL: usize = 5;
pub const PATIENT: usize = 6;

/// Six nodes in a ring; each segment is held by the node of its number and the next two.
pub fn deployment() -> Deployment {
    let full = QueryClass {
        latency_objective: 2.0,
        timeout: 6.0,
        priority_weight: 1.0,
        late_value_ratio: 0.3,
        idempotency: Idempotency::Idempotent,
        complete_at: 1.0,
        minimum_share: 1.0,
        second_step: false,
    };
    let quick = QueryClass {
        complete_at: 0.6,
        minimum_share: 0.6,
        late_value_ratio: 0.0,
        timeout: 4.0,
        priority_weight: 2.0,
        ..full.clone()
    };
    let fix = QueryClass { idempotency: Idempotency::NonIdempotent, ..full.clone() };
    let keyed = QueryClass { idempotency: Idempotency::Keyed(1.0), ..full.clone() };
    let two_step = QueryClass { second_step: true, complete_at: 0.5, minimum_share: 0.5, ..full.clone() };
    let partial = QueryClass { minimum_share: 0.5, ..full.clone() };
    let patient = QueryClass { latency_objective: 20.0, timeout: 30.0, ..full.clone() };
    Deployment {
        seed: 7,
        broker_count: 3.0,
        zone: 0,
        query_classes: vec![quick, full, fix, keyed, two_step, partial, patient],
        quotas: Vec::new(),
        weight_by_work: false,
        replica_groups: 6,
        replicas: 3,
        cross_zone_cost: None,
        max_attempts: 4,
        hedging_enabled: true,
        may_cancel: true,
        may_probe: false,
        max_retry_after: 2.0,
        retry_budget: None,
        slow_start: SlowStart {
            initial_capacity_ratio: 0.2,
            duration: 15.0,
            rate_multiple: 2.5,
            window: 1.0,
        },
        list_poll_deadline: None,
        tick: 0.005,
    }
}

pub struct Cluster {
    pub router: Router,
    pub transport: RecordingTransport,
    queries: QueryId,
}

impl Cluster {
    /// All six nodes long warm, each answering in 0.2 s.
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

    pub fn list(&mut self, complete: bool, rows: &[Endpoint]) {
        self.router.update_endpoints(&mut self.transport, complete, rows);
    }

    pub fn query(&mut self, query_class: usize, segments: &[usize]) -> QueryId {
        self.query_with(query_class, segments, 0, 3.9, false)
    }

    pub fn query_with(
        &mut self,
        query_class: usize,
        segments: &[usize],
        customer: usize,
        left: f64,
        resent: bool,
    ) -> u64 {
        self.enter(Query {
            tenant: customer,
            expires_in: left,
            is_retry: resent,
            ..self.plain(query_class, segments)
        })
    }

    /// A query of so many parts, each said to be this share.
    pub fn rounded(&mut self, query_class: usize, count: usize, weight: f64) -> QueryId {
        let parts =
            (0..count).map(|segment| Part { segment: segment % 6, weight, required_node: None }).collect();
        self.enter(Query { parts, ..self.plain(query_class, &[]) })
    }

    /// A query of one part that only this node may have.
    pub fn with_required_node(&mut self, query_class: usize, segment: usize, node: NodeId) -> QueryId {
        self.with_required_nodes(query_class, &[(segment, node)])
    }

    /// Segments, each with the only node that may have its part.
    pub fn with_required_nodes(&mut self, query_class: usize, owners: &[(usize, NodeId)]) -> QueryId {
        let weight = 1.0 / owners.len() as f64;
        let parts = owners
            .iter()
            .map(|&(segment, node)| Part { segment, weight, required_node: Some(node) })
            .collect();
        self.enter(Query { parts, ..self.plain(query_class, &[]) })
    }

    /// A query whose frames take their time.
    pub fn streamed(&mut self, query_class: usize, segments: &[usize]) -> QueryId {
        self.carrying(query_class, segments, true, true)
    }

    /// A query whose text passes once.
    pub fn single_shot(&mut self, query_class: usize, segments: &[usize]) -> QueryId {
        self.carrying(query_class, segments, false, false)
    }

    /// A query that waits to hear what is left out.
    pub fn awaiting_prefilter(&mut self, query_class: usize, segments: &[usize]) -> QueryId {
        self.enter(Query { awaits_prefilter: true, ..self.plain(query_class, segments) })
    }

    pub fn audit(&mut self, query_class: usize, segment: usize) -> QueryId {
        self.enter(Query { audit: true, ..self.plain(query_class, &[segment]) })
    }

    fn carrying(&mut self, query_class: usize, segments: &[usize], kept: bool, long: bool) -> QueryId {
        self.enter(Query { body_retained: kept, streamed: long, ..self.plain(query_class, segments) })
    }

    fn plain(&self, query_class: usize, segments: &[usize]) -> Query {
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

    fn enter(&mut self, query: Query) -> QueryId {
        self.queries += 1;
        self.router.on_query(&mut self.transport, Query { id: self.queries, ..query });
        self.queries
    }

    /// Lets the clock run, with one query of one part every `gap` seconds on each segment in turn.
    pub fn traffic(&mut self, query_class: usize, seconds: f64, gap: f64) {
        let end = self.transport.now + seconds;
        let mut turn = 0;
        while self.transport.now + gap <= end {
            self.query(query_class, &[turn % 6]);
            turn += 1;
            self.run(gap);
        }
    }

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
                let at = self.transport.due.iter().position(|d| d.0 == due).expect("it is there");
                let (_, ended) = self.transport.due.remove(at);
                self.router.on_attempt_ended(&mut self.transport, ended);
            } else {
                self.transport.wakes.retain(|w| *w != wake);
                self.transport.woken += 1;
                self.router.on_wake(&mut self.transport);
            }
        }
    }

    pub fn hold(&mut self, query: QueryId, node: NodeId) {
        self.transport.due.retain(|(_, e)| (e.query, e.node) != (query, node));
    }

    pub fn end_attempt(&mut self, query: QueryId, part: usize, end: AttemptOutcome) {
        let shots: Vec<_> =
            self.transport.sent.iter().filter(|s| (s.query, s.part) == (query, part)).collect();
        let (shot, last) = (shots.len() - 1, shots[shots.len() - 1].clone());
        self.transport.due.retain(|(_, e)| (e.query, e.part, e.attempt) != (query, part, shot));
        let took = self.transport.now - last.at;
        self.router.on_attempt_ended(
            &mut self.transport,
            AttemptEnded { query, part, attempt: shot, node: last.node, outcome: end, elapsed: took },
        );
    }

    pub fn sent(&self, query: QueryId) -> Vec<Sent> {
        self.transport.sent.iter().filter(|s| s.query == query).cloned().collect()
    }

    pub fn answers(&self, query: QueryId) -> Vec<FinalAnswer> {
        self.transport.answers.iter().filter(|f| f.1 == query).map(|f| f.2.clone()).collect()
    }

    pub fn sent_count(&self, node: NodeId, since: f64) -> usize {
        self.transport.sent.iter().filter(|s| s.node == node && s.at >= since).count()
    }

    pub fn is_ejected(&self, node: NodeId) -> bool {
        self.transport.log.iter().any(|l| l.starts_with(&format!("node {node} is ejected")))
    }
}

pub fn parts(segments: &[usize]) -> Vec<Part> {
    segments
        .iter()
        .map(|segment| Part { segment: *segment, weight: 1.0 / segments.len() as f64, required_node: None })
        .collect()
}

pub fn row(node: NodeId, standing: EndpointState, started: f64) -> Endpoint {
    Endpoint { node, replica_group: node, zone: node % 3, state: standing, started_at: started }
}

/// Sixty nodes, of which every third answers after a time of its own.
pub fn sixty(deployment: Deployment) -> Cluster {
    let mut cluster = Cluster::new(Deployment { replica_groups: 60, ..deployment });
    cluster.list(true, &(0..60).map(|n| row(n, EndpointState::Active, 0.0)).collect::<Vec<_>>());
    cluster
}

pub fn every_third(took: f64) -> Vec<Option<(AttemptOutcome, f64)>> {
    (0..60).map(|n| Some((AttemptOutcome::Served, if n % 3 == 0 { took } else { 0.2 }))).collect()
}
