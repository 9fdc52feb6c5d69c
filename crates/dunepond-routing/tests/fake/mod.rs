//! A host of few lines: nodes that answer each dispatch after a set time, or never.
#![allow(dead_code, reason = "each file of stories uses its own part")]
use dunepond_routing::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Answer { whole: bool },
    Throttle { wait: f64 },
    Abandon,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub at: f64,
    pub scan: QueryId,
    pub part: usize,
    pub node: NodeId,
}

#[derive(Default)]
pub struct Fake {
    pub now: f64,
    pub sent: Vec<Sent>,
    pub finals: Vec<(f64, QueryId, Final)>,
    pub cancelled: Vec<(QueryId, usize, usize)>,
    pub probed: Vec<NodeId>,
    pub closed: Vec<NodeId>,
    pub log: Vec<String>,
    /// When the list was asked for.
    pub asked: Vec<f64>,
    pub woken: usize,
    /// How each node ends what it is sent, and after how long; a node that is not here is silent.
    pub nodes: Vec<Option<(AttemptOutcome, f64)>>,
    wakes: Vec<f64>,
    due: Vec<(f64, AttemptEnded)>,
}

impl Transport for Fake {
    fn now(&self) -> f64 {
        self.now
    }
    fn send_attempt(&mut self, scan: QueryId, part: usize, node: NodeId) {
        assert!(
            !self.finals.iter().any(|(_, s, f)| *s == scan && *f != Final::Answer { whole: true }),
            "sent after the final answer"
        );
        let shot = self.sent.iter().filter(|s| (s.scan, s.part) == (scan, part)).count();
        self.sent.push(Sent { at: self.now, scan, part, node });
        if let Some((end, took)) = self.nodes[node] {
            self.due.push((
                self.now + took,
                AttemptEnded { query: scan, part, attempt: shot, node, outcome: end, elapsed: took },
            ));
        }
    }
    fn cancel_attempt(&mut self, scan: QueryId, part: usize, shot: usize) {
        self.cancelled.push((scan, part, shot));
        let sent = self.sent.iter().filter(|s| (s.scan, s.part) == (scan, part)).nth(shot);
        let (node, took) = sent.map(|s| (s.node, self.now - s.at)).expect("cancelled what was sent");
        self.due.retain(|(_, e)| (e.query, e.part, e.attempt) != (scan, part, shot));
        self.due.push((
            self.now,
            AttemptEnded {
                query: scan,
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
    fn answer(&mut self, scan: QueryId, whole: bool) {
        self.finals.push((self.now, scan, Final::Answer { whole }));
    }
    fn reject_retriable(&mut self, scan: QueryId, wait: f64) {
        self.finals.push((self.now, scan, Final::Throttle { wait }));
    }
    fn fail_unknown_outcome(&mut self, scan: QueryId) {
        self.finals.push((self.now, scan, Final::Abandon));
    }
    fn finish(&mut self, _: QueryId) {}
    fn poll_endpoint_list(&mut self) {
        self.asked.push(self.now);
    }
    fn schedule_wake(&mut self, at: f64) {
        self.wakes.push(at);
    }
    fn log(&mut self, line: &str) {
        self.log.push(line.to_string());
    }
}

pub const QUICK: usize = 0;
pub const FULL: usize = 1;
pub const FIX: usize = 2;
pub const KEYED: usize = 3;
pub const TWO_STEP: usize = 4;
pub const PARTIAL: usize = 5;
pub const PATIENT: usize = 6;

/// Six nodes in a ring; each segment is held by the node of its number and the next two.
pub fn site() -> Deployment {
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

pub struct Town {
    pub broker: Router,
    pub host: Fake,
    scans: QueryId,
}

impl Town {
    /// All six nodes long warm, each answering in 0.2 s.
    pub fn new(site: Deployment) -> Self {
        let host =
            Fake { now: 100.0, nodes: vec![Some((AttemptOutcome::Served, 0.2)); 6], ..Fake::default() };
        let mut town = Town { broker: Router::new(site), host, scans: 0 };
        let rows: Vec<_> = (0..6).map(|n| row(n, EndpointState::Active, 0.0)).collect();
        town.broker.update_endpoints(&mut town.host, true, &rows);
        town
    }

    pub fn list(&mut self, complete: bool, rows: &[Endpoint]) {
        self.broker.update_endpoints(&mut self.host, complete, rows);
    }

    pub fn scan(&mut self, table_type: usize, segs: &[usize]) -> QueryId {
        self.scan_of(table_type, segs, 0, 3.9, false)
    }

    pub fn scan_of(
        &mut self,
        table_type: usize,
        segs: &[usize],
        customer: usize,
        left: f64,
        resent: bool,
    ) -> u64 {
        self.enter(Query {
            tenant: customer,
            expires_in: left,
            is_retry: resent,
            ..self.plain(table_type, segs)
        })
    }

    /// A scan of so many parts, each said to be this share.
    pub fn rounded(&mut self, table_type: usize, count: usize, weight: f64) -> QueryId {
        let parts = (0..count).map(|seg| Part { segment: seg % 6, weight, required_node: None }).collect();
        self.enter(Query { parts, ..self.plain(table_type, &[]) })
    }

    /// A scan of one part that only this node may have.
    pub fn owned(&mut self, table_type: usize, seg: usize, node: NodeId) -> QueryId {
        self.owned_all(table_type, &[(seg, node)])
    }

    /// Segments, each with the only node that may have its part.
    pub fn owned_all(&mut self, table_type: usize, owners: &[(usize, NodeId)]) -> QueryId {
        let weight = 1.0 / owners.len() as f64;
        let parts = owners
            .iter()
            .map(|&(seg, node)| Part { segment: seg, weight, required_node: Some(node) })
            .collect();
        self.enter(Query { parts, ..self.plain(table_type, &[]) })
    }

    /// A scan whose frames take their time.
    pub fn long(&mut self, table_type: usize, segs: &[usize]) -> QueryId {
        self.carrying(table_type, segs, true, true)
    }

    /// A scan whose text passes once.
    pub fn passing(&mut self, table_type: usize, segs: &[usize]) -> QueryId {
        self.carrying(table_type, segs, false, false)
    }

    /// A scan that waits to hear what is left out.
    pub fn waiting(&mut self, table_type: usize, segs: &[usize]) -> QueryId {
        self.enter(Query { awaits_prefilter: true, ..self.plain(table_type, segs) })
    }

    pub fn audit(&mut self, table_type: usize, seg: usize) -> QueryId {
        self.enter(Query { audit: true, ..self.plain(table_type, &[seg]) })
    }

    fn carrying(&mut self, table_type: usize, segs: &[usize], kept: bool, long: bool) -> QueryId {
        self.enter(Query { body_retained: kept, streamed: long, ..self.plain(table_type, segs) })
    }

    fn plain(&self, table_type: usize, segs: &[usize]) -> Query {
        Query {
            id: 0,
            class: table_type,
            tenant: 0,
            expires_in: 3.9,
            is_retry: false,
            body_retained: true,
            streamed: false,
            awaits_prefilter: false,
            audit: false,
            parts: parts(segs),
        }
    }

    fn enter(&mut self, scan: Query) -> QueryId {
        self.scans += 1;
        self.broker.on_query(&mut self.host, Query { id: self.scans, ..scan });
        self.scans
    }

    /// Lets the clock run, with one scan of one part every `gap` seconds on each segment in turn.
    pub fn traffic(&mut self, table_type: usize, seconds: f64, gap: f64) {
        let end = self.host.now + seconds;
        let mut turn = 0;
        while self.host.now + gap <= end {
            self.scan(table_type, &[turn % 6]);
            turn += 1;
            self.run(gap);
        }
    }

    pub fn run(&mut self, seconds: f64) {
        let end = self.host.now + seconds;
        loop {
            let wake = self.host.wakes.iter().copied().fold(f64::MAX, f64::min);
            let due = self.host.due.iter().map(|d| d.0).fold(f64::MAX, f64::min);
            if wake.min(due) > end {
                self.host.now = end;
                return;
            }
            self.host.now = self.host.now.max(wake.min(due));
            if due <= wake {
                let at = self.host.due.iter().position(|d| d.0 == due).expect("it is there");
                let (_, ended) = self.host.due.remove(at);
                self.broker.on_attempt_ended(&mut self.host, ended);
            } else {
                self.host.wakes.retain(|w| *w != wake);
                self.host.woken += 1;
                self.broker.on_wake(&mut self.host);
            }
        }
    }

    pub fn hold(&mut self, scan: QueryId, node: NodeId) {
        self.host.due.retain(|(_, e)| (e.query, e.node) != (scan, node));
    }

    pub fn end(&mut self, scan: QueryId, part: usize, end: AttemptOutcome) {
        let shots: Vec<_> = self.host.sent.iter().filter(|s| (s.scan, s.part) == (scan, part)).collect();
        let (shot, last) = (shots.len() - 1, shots[shots.len() - 1].clone());
        self.host.due.retain(|(_, e)| (e.query, e.part, e.attempt) != (scan, part, shot));
        let took = self.host.now - last.at;
        self.broker.on_attempt_ended(
            &mut self.host,
            AttemptEnded { query: scan, part, attempt: shot, node: last.node, outcome: end, elapsed: took },
        );
    }

    pub fn sent(&self, scan: QueryId) -> Vec<Sent> {
        self.host.sent.iter().filter(|s| s.scan == scan).cloned().collect()
    }

    pub fn finals(&self, scan: QueryId) -> Vec<Final> {
        self.host.finals.iter().filter(|f| f.1 == scan).map(|f| f.2.clone()).collect()
    }

    pub fn to_node(&self, node: NodeId, since: f64) -> usize {
        self.host.sent.iter().filter(|s| s.node == node && s.at >= since).count()
    }

    pub fn aside(&self, node: NodeId) -> bool {
        self.host.log.iter().any(|l| l.starts_with(&format!("node {node} is set aside")))
    }
}

pub fn parts(segs: &[usize]) -> Vec<Part> {
    segs.iter()
        .map(|seg| Part { segment: *seg, weight: 1.0 / segs.len() as f64, required_node: None })
        .collect()
}

pub fn row(node: NodeId, standing: EndpointState, started: f64) -> Endpoint {
    Endpoint { node, replica_group: node, zone: node % 3, state: standing, started_at: started }
}
