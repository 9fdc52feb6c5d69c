//! The prefilter: handles queries from their opening to their end, and tells the host which audits to carry out. An
//! audit searches a pruned segment after all, to check the denials.

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

/// Maximum number of audits that the budget accumulates.
const MAX_SAVED_AUDITS: f64 = 8.0;

/// A query that waits for answers to can-match requests.
struct OpenQuery {
    query: PrefilterQuery,
    opened_at: f64,
    counts_since: CountsSince,
    /// Time at which the query stops waiting for answers and its plan is made.
    deadline: f64,
    /// For each undecided segment, the number of the request whose answer it waits for.
    waiting: BTreeMap<SegmentIndex, u64>,
    /// Segments for which a second replica was asked after a first one denied.
    second_requested: BTreeSet<SegmentIndex>,
}

/// A query that has a search plan and has not ended.
struct SearchingQuery {
    query_class: usize,
    key: QueryKey,
    opened_at: f64,
    counts_since: CountsSince,
    /// Time at which the plan of a prefiltered query was made; `None` if the query was searched directly.
    planned_at: Option<f64>,
    segment_count: usize,
    /// Pruned segments, except those that had to be searched after all.
    pruned: Vec<PrunedSegment>,
}

/// A request that was sent and not answered yet.
struct SentRequest {
    request: CanMatchRequest,
    sent: SentAt,
}

/// Decides which queries to prefilter, which nodes to ask, and what may be pruned.
pub struct Prefilter {
    config: PrefilterConfig,
    rng: Pcg64Mcg,
    /// Whether prefiltering is beneficial, by query class.
    benefits: BTreeMap<usize, Benefit>,
    evidence: Evidence,
    trust: Trust,
    backoffs: NodeBackoffs,
    audit_budget: AuditBudget,
    counters: Counters,
    /// Queries that wait for answers.
    open: BTreeMap<QueryId, OpenQuery>,
    /// Queries that have a plan and have not ended.
    searching: BTreeMap<QueryId, SearchingQuery>,
    /// Requests that the next [`Prefilter::flush`] returns. Until then, queries of the same text can still share them.
    unsent: BTreeMap<(NodeId, QueryKey), CanMatchRequest>,
    /// Requests that were sent and not answered yet, by number.
    sent: BTreeMap<u64, SentRequest>,
    last_request_id: u64,
    requests_sent: u64,
    /// Audits that [`Prefilter::audit`] has not returned yet.
    audits: VecDeque<Audit>,
}

impl Prefilter {
    /// Creates a prefilter. `seed` seeds the random choices of nodes and of segments to audit.
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

    /// Sets the configuration for queries that are opened from now on.
    pub fn reconfigure(&mut self, config: PrefilterConfig) {
        self.evidence.set_max_entries(config.max_entries);
        self.audit_budget.set_ratio(config.audit_ratio);
        self.config = config;
    }

    /// Whether a query may be prefiltered at all, regardless of the current load and times.
    pub fn is_eligible(&self, query: &PrefilterQuery) -> bool {
        query.idempotent && query.complete_at >= 1.0 && query.segments.len() >= self.config.min_segments
    }

    /// Returns the next audit that the host must carry out. `None` if there is none or the nodes are congested;
    /// congestion discards all waiting audits.
    pub fn audit(&mut self, nodes: &dyn crate::NodeView) -> Option<Audit> {
        if nodes.is_congested() {
            // An audit is useless later, as the content may have changed by then.
            self.audits.clear();
        }
        let audit = self.audits.pop_front();
        self.counters.audits += u64::from(audit.is_some());
        audit
    }

    /// Whether there are audits that were not returned yet.
    pub fn has_audits(&self) -> bool {
        !self.audits.is_empty()
    }

    /// Forgets everything that was learned about a node, because it left, was restarted or was replaced.
    pub fn remove_node(&mut self, node: NodeId) {
        self.trust.remove_node(node);
        self.backoffs.remove_node(node);
        self.evidence.remove_node(node);
    }

    /// Counters since the prefilter was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The number of nodes that are not asked now because their requests failed.
    pub fn nodes_in_backoff(&self, now: f64) -> usize {
        self.backoffs.count(now)
    }

    /// The numbers of queries and requests that wait for answers.
    pub fn in_flight(&self) -> InFlight {
        InFlight { queries: self.open.len(), requests: self.sent.len() }
    }

    /// The number of nodes whose denials are not used as evidence now, because one was refuted.
    pub fn distrusted_nodes(&self) -> usize {
        self.trust.distrusted()
    }

    /// Whether prefiltering is currently beneficial for a query class; `false` if the class is unknown.
    pub fn is_beneficial(&self, query_class: usize) -> bool {
        self.benefits.get(&query_class).is_some_and(Benefit::is_beneficial)
    }

    /// Returns which requests and searches are recent enough for a query that arrives now to use their results.
    fn counts_since(&self, now: f64) -> CountsSince {
        CountsSince { sequence: self.requests_sent, time: now - self.config.max_age_seconds }
    }

    /// The samples of a query class. A new class has none yet.
    fn benefit(&mut self, query_class: usize) -> &mut Benefit {
        self.benefits.entry(query_class).or_default()
    }
}
