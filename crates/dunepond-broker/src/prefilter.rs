//! Runs the prefilter phase of queries: executes the actions that `dunepond-prefilter` returns, and reports the
//! nodes' answers to it.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

use dunepond_prefilter::{
    Action, Audit, NodeView, Prefilter, PrefilterConfig, PrefilterQuery, PrunedSegment, QueryKey, SearchPlan,
    SegmentIndex,
};
use dunepond_routing::{Deployment, Idempotency, NodeId, Query, QueryId, Router};
use tracing::{debug, info};

use crate::clock::{self, TimerEvent};
use crate::frames::SearchReport;
use crate::prefilter_connections::PrefilterAnswers;
use crate::router::RouterHost;
use crate::upstream::CompletedAttempt;

/// How many texts of pruned queries are kept for audits; more than the audits that can be pending.
const MAX_AUDIT_TEXTS: usize = 64;

/// The router's view of the nodes.
struct RouterView<'a>(&'a Router);

impl NodeView for RouterView<'_> {
    fn replicas(&self, segment: SegmentIndex) -> Vec<NodeId> {
        self.0.prefilter_candidates(segment).collect()
    }

    fn outstanding(&self, node: NodeId) -> usize {
        self.0.outstanding(node)
    }

    fn is_congested(&self) -> bool {
        self.0.is_overloaded()
    }
}

/// A query that is in the prefilter phase, or is being searched after it.
struct ActiveQuery {
    key: QueryKey,
    query_class: usize,
    text: Rc<str>,
    segments: Vec<SegmentIndex>,
}

/// What the prefilter needs to know of a query class.
struct QueryClass {
    idempotent: bool,
    /// The share of the parts' total weight that must be served for a response to count as complete.
    complete_at: f64,
}

/// What an audit needs to know of a pruned query.
#[derive(Clone)]
struct AuditText {
    key: QueryKey,
    query_class: usize,
    text: Rc<str>,
}

/// What the prefilter may remember.
#[derive(Clone, Copy, Debug)]
pub struct PrefilterMemoryLimits {
    /// Maximum number of pairs of a text and a segment for which evidence is kept.
    pub max_entries: usize,
    /// Maximum length of the texts that are kept for audits, in bytes.
    pub max_audit_text_bytes: usize,
}

impl PrefilterMemoryLimits {
    /// Returns the configuration with no more entries than the limits allow.
    fn applied_to(&self, config: PrefilterConfig) -> PrefilterConfig {
        PrefilterConfig { max_entries: config.max_entries.min(self.max_entries), ..config }
    }
}

/// Hosts the prefilter on the broker's event loop.
pub struct PrefilterHost {
    prefilter: Prefilter,
    /// Hashes query texts with a random key. Otherwise a client could construct two texts with the same hash, and the
    /// answers to one would be used for the other.
    hashes: RandomState,
    query_classes: Vec<QueryClass>,
    /// The queries in the prefilter phase or searched after it.
    queries: HashMap<QueryId, ActiveQuery>,
    /// The most recently pruned queries, for audits. The key is a sequence number.
    audit_texts: BTreeMap<u64, AuditText>,
    /// Length of these texts in bytes.
    audit_text_bytes: usize,
    limits: PrefilterMemoryLimits,
    /// The number of the last entry in `audit_texts`.
    last_audit_text: u64,
    /// The audits in flight, by the query that runs each.
    audits: HashMap<QueryId, Audit>,
    /// When the pending timer for the end of a prefilter phase fires, in Unix seconds, and its key.
    timer: Option<(f64, clock::TimerKey)>,
}

impl PrefilterHost {
    /// Creates a host without queries and without learned state.
    pub fn new(config: PrefilterConfig, limits: PrefilterMemoryLimits, deployment: &Deployment) -> Self {
        let classes = deployment.query_classes.iter().map(|class| QueryClass {
            idempotent: class.idempotency == Idempotency::Idempotent,
            complete_at: class.complete_at,
        });
        Self {
            prefilter: Prefilter::new(limits.applied_to(config), deployment.seed),
            limits,
            hashes: RandomState::new(),
            query_classes: classes.collect(),
            queries: HashMap::new(),
            audit_texts: BTreeMap::new(),
            audit_text_bytes: 0,
            last_audit_text: 0,
            audits: HashMap::new(),
            timer: None,
        }
    }

    /// Changes the configuration and keeps the learned state.
    pub fn reconfigure(&mut self, config: PrefilterConfig) {
        self.prefilter.reconfigure(self.limits.applied_to(config));
    }

    /// Forgets the oldest texts if there are more of them, or of their bytes, than may be.
    fn forget_old_audit_texts(&mut self) {
        while self.audit_texts.len() > MAX_AUDIT_TEXTS
            || self.audit_text_bytes > self.limits.max_audit_text_bytes
        {
            let Some((_, forgotten)) = self.audit_texts.pop_first() else { return };
            self.audit_text_bytes -= forgotten.text.len();
        }
    }

    /// Starts a query. If it is eligible for the prefilter phase and the router admits it, prefilter requests are
    /// collected for it.
    pub fn start_query(&mut self, router: &mut Router, router_host: &mut RouterHost, query: Query) {
        let Some((text, segments)) = router_host.prefilter_input(query.id) else {
            return router.on_query(router_host, query);
        };
        let QueryClass { idempotent, complete_at } = self.query_classes[query.class];
        let key = self.hashes.hash_one((query.class, &*text));
        let (id, query_class, time_left) = (query.id, query.class, query.expires_in);
        let candidate = PrefilterQuery {
            id,
            query_class,
            key,
            idempotent,
            complete_at,
            time_left_seconds: time_left,
            segments: segments.clone(),
        };
        if !self.prefilter.is_eligible(&candidate) {
            return router.on_query(router_host, query);
        }
        self.queries.insert(id, ActiveQuery { key, query_class, text, segments });
        router.on_query(router_host, Query { awaits_prefilter: true, ..query });
        if router_host.is_active(id) {
            let actions = self.prefilter.open(router_host.now, &RouterView(router), candidate);
            self.execute(router, router_host, actions);
        }
    }

    /// Executes the actions that the prefilter has returned.
    fn execute(&mut self, router: &mut Router, router_host: &mut RouterHost, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(request) => {
                    let Some(active) = self.queries.values().find(|active| active.key == request.key) else {
                        continue;
                    };
                    router_host.send_prefilter_request(
                        request.node,
                        request.id,
                        &active.text,
                        &request.segments,
                    );
                }
                Action::Search(plan) => self.start_search(router, router_host, &plan),
            }
        }
    }

    /// Starts the search of a query whose prefilter phase is over, without the pruned segments.
    fn start_search(&mut self, router: &mut Router, router_host: &mut RouterHost, plan: &SearchPlan) {
        let Some(active) = self.queries.get(&plan.query) else { return };
        if !plan.pruned.is_empty() {
            debug!("query {}: {} shards pruned by the prefilter", plan.query, plan.pruned.len());
            self.last_audit_text += 1;
            let (key, query_class, text) = (active.key, active.query_class, active.text.clone());
            self.audit_text_bytes += text.len();
            self.audit_texts.insert(self.last_audit_text, AuditText { key, query_class, text });
        }
        let position =
            |pruned: &PrunedSegment| active.segments.iter().position(|segment| *segment == pruned.segment);
        let parts: Vec<_> = plan.pruned.iter().filter_map(position).collect();
        self.forget_old_audit_texts();
        router_host.prune(plan.query, plan.pruned.clone());
        router.on_prefilter_result(router_host, plan.query, &parts);
    }

    /// Handles the answers to a prefilter request, or its failure.
    pub fn on_response(
        &mut self,
        router: &mut Router,
        router_host: &mut RouterHost,
        request: u64,
        answers: Result<PrefilterAnswers, dunepond_prefilter::RequestFailure>,
    ) {
        let nodes = RouterView(router);
        let actions = match answers {
            Ok(answers) => self.prefilter.on_response(router_host.now, &nodes, request, &answers),
            Err(failure) => self.prefilter.on_failure(router_host.now, &nodes, request, failure),
        };
        self.execute(router, router_host, actions);
    }

    /// Handles the end of an attempt, before the router does. The attempt's search report may confirm or refute
    /// prefilter answers. Segments that were pruned because of refuted answers have to be searched before the
    /// response is complete.
    pub fn on_attempt_ended(
        &mut self,
        router: &mut Router,
        router_host: &mut RouterHost,
        completed: &CompletedAttempt,
    ) {
        let (query, part) = (completed.ended.query, completed.ended.part);
        if let Some(SearchReport { version, found }) = completed.search_report {
            let began = router_host.now - completed.ended.elapsed;
            let audited = self.audits.get(&query).map(|audit| (audit.key, audit.segment));
            let active = || self.queries.get(&query).map(|active| (active.key, active.segments[part]));
            if let Some((key, segment)) = audited.or_else(active)
                && self.prefilter.record_search(began, key, segment, version, found)
            {
                info!(
                    "node {}: shard {segment} matched although a trusted prefilter answer excluded it",
                    completed.ended.node
                );
            }
        }
        let Some(active) = self.queries.get(&query) else { return };
        let revoked = self.prefilter.take_revoked(query);
        if !revoked.is_empty() {
            debug!("query {query}: {} pruned shards are searched after all", revoked.len());
            let position = |segment: &SegmentIndex| active.segments.iter().position(|s| s == segment);
            let parts: Vec<_> = revoked.iter().filter_map(position).collect();
            router_host.restore_pruned(query, &revoked);
            router.on_prefilter_revoked(router_host, query, &parts);
        }
    }

    /// Handles the end of a query. `answered` says whether it has ended with a response.
    pub fn on_query_ended(&mut self, now: f64, query: QueryId, answered: bool) {
        if self.audits.remove(&query).is_none() && self.queries.remove(&query).is_some() {
            self.prefilter.on_query_end(now, query, answered);
        }
    }

    /// Forgets what has been learned of a node that was removed or replaced by another process.
    pub fn forget(&mut self, node: NodeId) {
        self.prefilter.remove_node(node);
    }

    /// Handles the timer: the prefilter phase of a query is over.
    pub fn on_deadline(&mut self, router: &mut Router, router_host: &mut RouterHost) {
        self.timer = None;
        let actions = self.prefilter.on_deadline(router_host.now);
        self.execute(router, router_host, actions);
    }

    /// Sends the collected requests and sets the next timer, at the end of an iteration of the event loop.
    pub fn end_iteration(&mut self, router: &mut Router, router_host: &mut RouterHost) {
        let actions = self.prefilter.flush(router_host.now);
        self.execute(router, router_host, actions);
        let due = self.prefilter.next_deadline();
        if due != self.timer.map(|timer| timer.0) {
            router_host.timers.cancel(self.timer.map(|timer| timer.1));
            self.timer = due.map(|due| (due, router_host.timers.schedule(due, TimerEvent::Prefilter)));
        }
    }

    /// Returns whether a pruned segment waits to be searched as an audit.
    pub fn has_audits(&self) -> bool {
        self.prefilter.has_audits()
    }

    /// Starts one audit (a search of a pruned segment, to check the prefilter answers that excluded it), if the nodes
    /// are not congested.
    pub fn start_audit(&mut self, router: &mut Router, router_host: &mut RouterHost) {
        if let Some(audit) = self.prefilter.audit(&RouterView(router)) {
            let pruned = self.audit_texts.values().rev().find(|pruned| pruned.key == audit.key).cloned();
            if let Some(pruned) = pruned
                && let Some(query) =
                    router_host.register_audit(pruned.query_class, audit.segment, pruned.text)
            {
                self.audits.insert(query.id, audit);
                router.on_query(router_host, query);
            }
        }
    }

    /// Logs the counters of the prefilter.
    pub fn log_counters(&self, now: f64) {
        let counts = self.prefilter.counters();
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
            doubted = self.prefilter.distrusted_nodes(),
            resting = self.prefilter.nodes_in_backoff(now),
            "two-phase counters"
        );
    }
}
