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
    pub scan: ScanId,
    pub part: usize,
    pub node: NodeId,
}

#[derive(Default)]
pub struct Fake {
    pub now: f64,
    pub sent: Vec<Sent>,
    pub finals: Vec<(f64, ScanId, Final)>,
    pub cancelled: Vec<(ScanId, usize, usize)>,
    pub probed: Vec<NodeId>,
    pub closed: Vec<NodeId>,
    pub log: Vec<String>,
    /// When the list was asked for.
    pub asked: Vec<f64>,
    pub woken: usize,
    /// How each node ends what it is sent, and after how long; a node that is not here is silent.
    pub nodes: Vec<Option<(End, f64)>>,
    wakes: Vec<f64>,
    due: Vec<(f64, Ended)>,
}

impl Host for Fake {
    fn now(&self) -> f64 {
        self.now
    }
    fn dispatch(&mut self, scan: ScanId, part: usize, node: NodeId) {
        assert!(
            !self.finals.iter().any(|(_, s, f)| *s == scan && *f != Final::Answer { whole: true }),
            "sent after the final answer"
        );
        let shot = self.sent.iter().filter(|s| (s.scan, s.part) == (scan, part)).count();
        self.sent.push(Sent { at: self.now, scan, part, node });
        if let Some((end, took)) = self.nodes[node] {
            self.due.push((self.now + took, Ended { scan, part, shot, node, end, took }));
        }
    }
    fn cancel(&mut self, scan: ScanId, part: usize, shot: usize) {
        self.cancelled.push((scan, part, shot));
        let sent = self.sent.iter().filter(|s| (s.scan, s.part) == (scan, part)).nth(shot);
        let (node, took) = sent.map(|s| (s.node, self.now - s.at)).expect("cancelled what was sent");
        self.due.retain(|(_, e)| (e.scan, e.part, e.shot) != (scan, part, shot));
        self.due.push((self.now, Ended { scan, part, shot, node, end: End::Cancelled, took }));
    }
    fn close_idle(&mut self, node: NodeId) {
        self.closed.push(node);
    }
    fn probe(&mut self, node: NodeId) {
        self.probed.push(node);
    }
    fn answer(&mut self, scan: ScanId, whole: bool) {
        self.finals.push((self.now, scan, Final::Answer { whole }));
    }
    fn throttle(&mut self, scan: ScanId, wait: f64) {
        self.finals.push((self.now, scan, Final::Throttle { wait }));
    }
    fn abandon(&mut self, scan: ScanId) {
        self.finals.push((self.now, scan, Final::Abandon));
    }
    fn forget(&mut self, _: ScanId) {}
    fn ask_list(&mut self) {
        self.asked.push(self.now);
    }
    fn wake_at(&mut self, at: f64) {
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
    let full = TableType {
        target: 2.0,
        timeout: 6.0,
        benefit: 1.0,
        late: 0.3,
        repeat: Repeat::Replayable,
        whole_at: 1.0,
        least: 1.0,
        second_step: false,
    };
    let quick =
        TableType { whole_at: 0.6, least: 0.6, late: 0.0, timeout: 4.0, benefit: 2.0, ..full.clone() };
    let fix = TableType { repeat: Repeat::NonReplayable, ..full.clone() };
    let keyed = TableType { repeat: Repeat::Keyed(1.0), ..full.clone() };
    let two_step = TableType { second_step: true, whole_at: 0.5, least: 0.5, ..full.clone() };
    let partial = TableType { least: 0.5, ..full.clone() };
    let patient = TableType { target: 20.0, timeout: 30.0, ..full.clone() };
    Deployment {
        seed: 7,
        brokers: 3.0,
        zone: 0,
        table_types: vec![quick, full, fix, keyed, two_step, partial, patient],
        quotas: Vec::new(),
        benefit_by_work: false,
        cells: 6,
        holders: 3,
        crossing: None,
        dispatch_cap: 4,
        second_copies: true,
        may_cancel: true,
        may_probe: false,
        longest_wait: 2.0,
        budget: None,
        cold: ColdRule { from: 0.2, warm_after: 15.0, multiple: 2.5, span: 1.0 },
        ask_within: None,
        tick: 0.005,
    }
}

pub struct Town {
    pub broker: Broker,
    pub host: Fake,
    scans: ScanId,
}

impl Town {
    /// All six nodes long warm, each answering in 0.2 s.
    pub fn new(site: Deployment) -> Self {
        let host = Fake { now: 100.0, nodes: vec![Some((End::Completed, 0.2)); 6], ..Fake::default() };
        let mut town = Town { broker: Broker::new(site), host, scans: 0 };
        let rows: Vec<_> = (0..6).map(|n| row(n, Standing::Active, 0.0)).collect();
        town.broker.listed(&mut town.host, true, &rows);
        town
    }

    pub fn list(&mut self, complete: bool, rows: &[Listed]) {
        self.broker.listed(&mut self.host, complete, rows);
    }

    pub fn scan(&mut self, table_type: usize, segs: &[usize]) -> ScanId {
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
        self.enter(Scan { customer, expires_in: left, resent, ..self.plain(table_type, segs) })
    }

    /// A scan of so many parts, each said to be this share.
    pub fn rounded(&mut self, table_type: usize, count: usize, weight: f64) -> ScanId {
        let parts = (0..count).map(|seg| Part { seg: seg % 6, weight, only: None }).collect();
        self.enter(Scan { parts, ..self.plain(table_type, &[]) })
    }

    /// A scan of one part that only this node may have.
    pub fn owned(&mut self, table_type: usize, seg: usize, node: NodeId) -> ScanId {
        self.owned_all(table_type, &[(seg, node)])
    }

    /// Segments, each with the only node that may have its part.
    pub fn owned_all(&mut self, table_type: usize, owners: &[(usize, NodeId)]) -> ScanId {
        let weight = 1.0 / owners.len() as f64;
        let parts = owners.iter().map(|&(seg, node)| Part { seg, weight, only: Some(node) }).collect();
        self.enter(Scan { parts, ..self.plain(table_type, &[]) })
    }

    /// A scan whose frames take their time.
    pub fn long(&mut self, table_type: usize, segs: &[usize]) -> ScanId {
        self.carrying(table_type, segs, true, true)
    }

    /// A scan whose text passes once.
    pub fn passing(&mut self, table_type: usize, segs: &[usize]) -> ScanId {
        self.carrying(table_type, segs, false, false)
    }

    /// A scan that waits to hear what is left out.
    pub fn waiting(&mut self, table_type: usize, segs: &[usize]) -> ScanId {
        self.enter(Scan { waits: true, ..self.plain(table_type, segs) })
    }

    pub fn audit(&mut self, table_type: usize, seg: usize) -> ScanId {
        self.enter(Scan { audit: true, ..self.plain(table_type, &[seg]) })
    }

    fn carrying(&mut self, table_type: usize, segs: &[usize], kept: bool, long: bool) -> ScanId {
        self.enter(Scan { kept, long, ..self.plain(table_type, segs) })
    }

    fn plain(&self, table_type: usize, segs: &[usize]) -> Scan {
        Scan {
            id: 0,
            table_type,
            customer: 0,
            expires_in: 3.9,
            resent: false,
            kept: true,
            long: false,
            waits: false,
            audit: false,
            parts: parts(segs),
        }
    }

    fn enter(&mut self, scan: Scan) -> ScanId {
        self.scans += 1;
        self.broker.scan(&mut self.host, Scan { id: self.scans, ..scan });
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
                self.broker.ended(&mut self.host, ended);
            } else {
                self.host.wakes.retain(|w| *w != wake);
                self.host.woken += 1;
                self.broker.wake(&mut self.host);
            }
        }
    }

    pub fn hold(&mut self, scan: ScanId, node: NodeId) {
        self.host.due.retain(|(_, e)| (e.scan, e.node) != (scan, node));
    }

    pub fn end(&mut self, scan: ScanId, part: usize, end: End) {
        let shots: Vec<_> = self.host.sent.iter().filter(|s| (s.scan, s.part) == (scan, part)).collect();
        let (shot, last) = (shots.len() - 1, shots[shots.len() - 1].clone());
        self.host.due.retain(|(_, e)| (e.scan, e.part, e.shot) != (scan, part, shot));
        let took = self.host.now - last.at;
        self.broker.ended(&mut self.host, Ended { scan, part, shot, node: last.node, end, took });
    }

    pub fn sent(&self, scan: ScanId) -> Vec<Sent> {
        self.host.sent.iter().filter(|s| s.scan == scan).cloned().collect()
    }

    pub fn finals(&self, scan: ScanId) -> Vec<Final> {
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
    segs.iter().map(|seg| Part { seg: *seg, weight: 1.0 / segs.len() as f64, only: None }).collect()
}

pub fn row(node: NodeId, standing: Standing, started: f64) -> Listed {
    Listed { node, cell: node, zone: node % 3, standing, started }
}
