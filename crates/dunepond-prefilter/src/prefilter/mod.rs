//! The prefilter: queries from their opening to their search plan, and the audits behind them.

mod outcome;
mod planning;
mod requests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::audit_budget::AuditBudget;
use crate::backoff::NodeBackoffs;
use crate::benefit::Benefit;
use crate::evidence::{CountsSince, Evidence, SentAt};
use crate::model::{
    Audit, CanMatchRequest, Counters, InFlight, NodeId, PrefilterConfig, PrefilterQuery, PrunedSegment,
    QueryId, QueryKey, SegmentIndex,
};
use crate::trust::Trust;

/// Audits that may be saved up.
const MAX_SAVED_AUDITS: f64 = 8.0;

/// A query that waits for answers.
struct OpenQuery {
    query: PrefilterQuery,
    opened_at: f64,
    counts_since: CountsSince,
    /// When asking ends, whatever has come.
    deadline: f64,
    /// The request that each segment waits for.
    waiting: BTreeMap<SegmentIndex, u64>,
    /// Segments of which a second replica has been asked.
    second_requested: BTreeSet<SegmentIndex>,
}

/// A query with a search plan, until it ends.
struct SearchingQuery {
    query_class: usize,
    key: QueryKey,
    opened_at: f64,
    counts_since: CountsSince,
    /// When asking ended; None where the query was searched directly.
    planned_at: Option<f64>,
    segment_count: usize,
    pruned: Vec<PrunedSegment>,
}

/// A request that was sent.
struct SentRequest {
    request: CanMatchRequest,
    sent: SentAt,
}

/// Decides which queries to prefilter, which nodes to ask, and what may be pruned.
pub struct Prefilter {
    config: PrefilterConfig,
    rng: Pcg64Mcg,
    /// What was learned of each query class.
    benefits: BTreeMap<usize, Benefit>,
    evidence: Evidence,
    trust: Trust,
    backoffs: NodeBackoffs,
    audit_budget: AuditBudget,
    counters: Counters,
    open: BTreeMap<QueryId, OpenQuery>,
    searching: BTreeMap<QueryId, SearchingQuery>,
    /// Requests that [`Prefilter::flush`] will send; queries that come before share them.
    unsent: BTreeMap<(NodeId, QueryKey), CanMatchRequest>,
    sent: BTreeMap<u64, SentRequest>,
    last_request_id: u64,
    requests_sent: u64,
    audits: VecDeque<Audit>,
}

impl Prefilter {
    /// `seed` is of the random choices among nodes.
    pub fn new(config: PrefilterConfig, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            benefits: BTreeMap::new(),
            evidence: Evidence::new(config.max_entries),
            trust: Trust::default(),
            backoffs: NodeBackoffs::default(),
            counters: Counters::default(),
            audit_budget: AuditBudget::new(config.audit_ratio, MAX_SAVED_AUDITS),
            open: BTreeMap::new(),
            searching: BTreeMap::new(),
            unsent: BTreeMap::new(),
            sent: BTreeMap::new(),
            last_request_id: 0,
            requests_sent: 0,
            audits: VecDeque::new(),
            config,
        }
    }

    /// Sets the configuration for queries that come from now on.
    pub fn reconfigure(&mut self, config: PrefilterConfig) {
        self.evidence.set_max_entries(config.max_entries);
        self.audit_budget.set_ratio(config.audit_ratio);
        self.config = config;
    }

    /// Whether a query may be prefiltered at all, whatever the moment.
    pub fn is_eligible(&self, query: &PrefilterQuery) -> bool {
        query.idempotent && query.complete_at >= 1.0 && query.segments.len() >= self.config.min_segments
    }

    /// The next pruned segment to search all the same; none while the nodes are congested.
    pub fn audit(&mut self, nodes: &dyn crate::NodeView) -> Option<Audit> {
        if nodes.is_congested() {
            // Worth nothing later: the content will have changed.
            self.audits.clear();
        }
        let audit = self.audits.pop_front();
        self.counters.audits += u64::from(audit.is_some());
        audit
    }

    /// Whether any audits wait.
    pub fn has_audits(&self) -> bool {
        !self.audits.is_empty()
    }

    /// Drops what is known of a node: it left, or a new process stands under its number.
    pub fn remove_node(&mut self, node: NodeId) {
        self.trust.remove_node(node);
        self.backoffs.remove_node(node);
        self.evidence.remove_node(node);
    }

    /// What was counted so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The number of nodes that are not asked now, as they did not answer.
    pub fn nodes_in_backoff(&self, now: f64) -> usize {
        self.backoffs.count(now)
    }

    /// What waits for answers.
    pub fn in_flight(&self) -> InFlight {
        InFlight { queries: self.open.len(), requests: self.sent.len() }
    }

    /// The number of nodes whose denials do not count now.
    pub fn distrusted_nodes(&self) -> usize {
        self.trust.distrusted()
    }

    /// Whether queries of a class are prefiltered now.
    pub fn is_beneficial(&self, query_class: usize) -> bool {
        self.benefits.get(&query_class).is_some_and(Benefit::is_beneficial)
    }

    /// From when on answers count for a query that arrives now.
    fn counts_since(&self, now: f64) -> CountsSince {
        CountsSince { sequence: self.requests_sent, time: now - self.config.max_age_seconds }
    }

    fn benefit(&mut self, query_class: usize) -> &mut Benefit {
        self.benefits.entry(query_class).or_default()
    }
}
