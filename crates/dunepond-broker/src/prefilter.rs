//! Two-phase scans at work: what the core orders goes to the nodes and to the module, what comes back goes to the core.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

use dunepond_prefilter::{
    Action, Audit, NodeView, Prefilter, PrefilterConfig, PrefilterQuery, PrunedSegment, QueryKey, SearchPlan,
    SegmentIndex,
};
use dunepond_routing::{Deployment, Idempotency, NodeId, Query, QueryId, Router};
use tracing::{debug, info};

use crate::clock::{self, Due};
use crate::prefilter_connections::Words;
use crate::router::Desk;
use crate::upstream::Back;

/// Texts that are kept for audits: as many as can wait, and some behind them.
const TEXTS: usize = 64;

/// The nodes as the module sees them.
struct Seen<'a>(&'a Router);

impl NodeView for Seen<'_> {
    fn replicas(&self, seg: SegmentIndex) -> Vec<NodeId> {
        self.0.prefilter_candidates(seg).collect()
    }

    fn outstanding(&self, node: NodeId) -> usize {
        self.0.outstanding(node)
    }

    fn is_congested(&self) -> bool {
        self.0.is_overloaded()
    }
}

/// A scan that the core knows.
struct Known {
    key: QueryKey,
    table_type: usize,
    text: Rc<str>,
    segs: Vec<SegmentIndex>,
}

pub struct Asking {
    phases: Prefilter,
    /// Texts are known by a hash that nobody outside can aim at: two that met would vouch for each other.
    hashes: RandomState,
    repeats: Vec<(bool, f64)>,
    known: HashMap<QueryId, Known>,
    /// What was left out last, for audits, the oldest first by number.
    texts: BTreeMap<u64, (QueryKey, usize, Rc<str>)>,
    remembered: u64,
    audits: HashMap<QueryId, Audit>,
    alarm: Option<(f64, clock::Key)>,
}

impl Asking {
    pub fn new(terms: PrefilterConfig, site: &Deployment) -> Self {
        let repeats =
            site.query_classes.iter().map(|t| (t.idempotency == Idempotency::Idempotent, t.complete_at));
        Self {
            phases: Prefilter::new(terms, site.seed),
            hashes: RandomState::new(),
            repeats: repeats.collect(),
            known: HashMap::new(),
            texts: BTreeMap::new(),
            remembered: 0,
            audits: HashMap::new(),
            alarm: None,
        }
    }

    pub fn change(&mut self, terms: PrefilterConfig) {
        self.phases.reconfigure(terms);
    }

    /// A scan has been taken: the module admits it, and only then are its questions gathered.
    pub fn begin(&mut self, broker: &mut Router, desk: &mut Desk, scan: Query) {
        let Some((text, segs)) = desk.asks_for(scan.id) else { return broker.on_query(desk, scan) };
        let (replayable, whole_at) = self.repeats[scan.class];
        let key = self.hashes.hash_one((scan.class, &*text));
        let (id, table_type, left) = (scan.id, scan.class, scan.expires_in);
        let wide = PrefilterQuery {
            id,
            query_class: table_type,
            key,
            idempotent: replayable,
            complete_at: whole_at,
            time_left_seconds: left,
            segments: segs.clone(),
        };
        if !self.phases.is_eligible(&wide) {
            return broker.on_query(desk, scan);
        }
        self.known.insert(id, Known { key, table_type, text, segs });
        broker.on_query(desk, Query { awaits_prefilter: true, ..scan });
        if desk.is_open(id) {
            let orders = self.phases.open(desk.now, &Seen(broker), wide);
            self.carry_out(broker, desk, orders);
        }
    }

    fn carry_out(&mut self, broker: &mut Router, desk: &mut Desk, orders: Vec<Action>) {
        for order in orders {
            match order {
                Action::Send(question) => {
                    let Some(known) = self.known.values().find(|known| known.key == question.key) else {
                        continue;
                    };
                    desk.ask(question.node, question.id, &known.text, &question.segments);
                }
                Action::Search(verdict) => self.search(broker, desk, &verdict),
            }
        }
    }

    fn search(&mut self, broker: &mut Router, desk: &mut Desk, verdict: &SearchPlan) {
        let Some(known) = self.known.get(&verdict.query) else { return };
        if !verdict.pruned.is_empty() {
            debug!("scan {}: {} left out", verdict.query, verdict.pruned.len());
            self.remembered += 1;
            self.texts.insert(self.remembered, (known.key, known.table_type, known.text.clone()));
            while self.texts.len() > TEXTS {
                self.texts.pop_first();
            }
        }
        let place = |left: &PrunedSegment| known.segs.iter().position(|seg| *seg == left.segment);
        let parts: Vec<_> = verdict.pruned.iter().filter_map(place).collect();
        desk.leave_out(verdict.query, verdict.pruned.clone());
        broker.on_prefilter_result(desk, verdict.query, &parts);
    }

    /// A node has answered a question, or will not.
    pub fn told(
        &mut self,
        broker: &mut Router,
        desk: &mut Desk,
        question: u64,
        words: Result<Words, dunepond_prefilter::RequestFailure>,
    ) {
        let fleet = Seen(broker);
        let orders = match words {
            Ok(words) => self.phases.on_response(desk.now, &fleet, question, &words),
            Err(why) => self.phases.on_failure(desk.now, &fleet, question, why),
        };
        self.carry_out(broker, desk, orders);
    }

    /// A part is back, before the module hears of it: what it found may bear words out or fell them, and what was left
    /// out on those that fell is to be searched before the answer can be whole.
    pub fn returned(&mut self, broker: &mut Router, desk: &mut Desk, back: &Back) {
        let (scan, part) = (back.ended.query, back.ended.part);
        if let Some((version, found)) = back.searched {
            let began = desk.now - back.ended.elapsed;
            let audited = self.audits.get(&scan).map(|audit| (audit.key, audit.segment));
            let known = || self.known.get(&scan).map(|known| (known.key, known.segs[part]));
            if let Some((key, seg)) = audited.or_else(known)
                && self.phases.record_search(began, key, seg, version, found)
            {
                info!("node {}: found {seg} to match, which a trusted word denied", back.ended.node);
            }
        }
        let Some(known) = self.known.get(&scan) else { return };
        let fallen = self.phases.take_revoked(scan);
        if !fallen.is_empty() {
            debug!("scan {scan}: {} to be searched after all", fallen.len());
            let place = |seg: &SegmentIndex| known.segs.iter().position(|s| s == seg);
            let parts: Vec<_> = fallen.iter().filter_map(place).collect();
            desk.search_after_all(scan, &fallen);
            broker.on_prefilter_revoked(desk, scan, &parts);
        }
    }

    /// A scan is over, answered or not.
    pub fn over(&mut self, now: f64, scan: QueryId, answered: bool) {
        if self.audits.remove(&scan).is_none() && self.known.remove(&scan).is_some() {
            self.phases.on_query_end(now, scan, answered);
        }
    }

    /// Another process stands under a node's number, or none.
    pub fn forget(&mut self, node: NodeId) {
        self.phases.forget(node);
    }

    /// Phase one is over for some.
    pub fn due(&mut self, broker: &mut Router, desk: &mut Desk) {
        self.alarm = None;
        let orders = self.phases.on_deadline(desk.now);
        self.carry_out(broker, desk, orders);
    }

    /// The end of a turn: what was gathered in it goes out, and the next alarm is set.
    pub fn turn_over(&mut self, broker: &mut Router, desk: &mut Desk) {
        let orders = self.phases.flush(desk.now);
        self.carry_out(broker, desk, orders);
        let due = self.phases.next_deadline();
        if due != self.alarm.map(|alarm| alarm.0) {
            desk.alarms.unset(self.alarm.map(|alarm| alarm.1));
            self.alarm = due.map(|due| (due, desk.alarms.set(due, Due::Asking)));
        }
    }

    /// A left-out shard waits to be searched all the same.
    pub fn has_audits(&self) -> bool {
        self.phases.has_audits()
    }

    /// Begins one audit, if the nodes are not pressed.
    pub fn audit(&mut self, broker: &mut Router, desk: &mut Desk) {
        if let Some(audit) = self.phases.audit(&Seen(broker)) {
            let text = self.texts.values().rev().find(|(key, ..)| *key == audit.key).cloned();
            if let Some((_, table_type, text)) = text
                && let Some(scan) = desk.audit(table_type, audit.segment, text)
            {
                self.audits.insert(scan.id, audit);
                broker.on_query(desk, scan);
            }
        }
    }

    /// A line of counters.
    pub fn report(&self, now: f64) {
        let counts = self.phases.counts();
        info!(
            asked_first = counts.prefiltered,
            plain = counts.searched_directly,
            questions = counts.requests,
            unanswered = counts.failed_requests,
            segments = counts.segments,
            left_out = counts.pruned,
            audits = counts.audits,
            lies = counts.false_denials,
            fallen = counts.revoked,
            doubted = self.phases.distrusted_nodes(),
            resting = self.phases.nodes_in_backoff(now),
            "two-phase counters"
        );
    }
}
