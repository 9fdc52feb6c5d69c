//! Can-match requests: decides whether a query is prefiltered and which nodes are asked, and handles their answers.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use super::{OpenQuery, Prefilter, SearchingQuery, SentRequest};
use crate::backoff::RequestFailure;
use crate::evidence::SentAt;
use crate::model::{
    Action, CanMatch, CanMatchRequest, NodeId, NodeView, PrefilterQuery, QueryId, QueryKey, SearchPlan,
    SegmentAnswer, SegmentIndex,
};

/// Margin on the search time: after waiting for answers, at least this multiple of the median search time must be left.
const SEARCH_TIME_MARGIN_RATIO: f64 = 1.5;
/// Of the choices of a node to ask, the ratio in which distrusted nodes are candidates too. Searches then show whether
/// their denials are correct again.
const PROBATION_RATIO: f64 = 1.0 / 16.0;
/// Time in seconds after which a sent request is forgotten if no query waits for its answer.
const UNAWAITED_RETENTION_SECONDS: f64 = 10.0;

impl Prefilter {
    /// Opens a query that has arrived. Returns its search plan if the query is searched directly or no node needs to be
    /// asked. Otherwise the next [`Prefilter::flush`] returns its requests, and the plan is returned when they are
    /// answered, when they fail, or at the query's deadline for answers.
    pub fn open(&mut self, now: f64, nodes: &dyn NodeView, query: PrefilterQuery) -> Vec<Action> {
        let Some(deadline) = self.request_deadline(now, nodes, &query) else {
            return vec![self.search_directly(now, query)];
        };
        self.counters.prefiltered += 1;
        self.benefit(query.query_class).on_start();
        self.counters.segments += query.segments.len() as u64;
        let (id, segments) = (query.id, query.segments.clone());
        let open = OpenQuery {
            query,
            opened_at: now,
            counts_since: self.counts_since(now),
            deadline,
            waiting: BTreeMap::new(),
            second_requested: BTreeSet::new(),
        };
        self.open.insert(id, open);
        self.assign_requests(now, nodes, id, &segments);
        self.plan_if_answered(now, id).into_iter().collect()
    }

    /// Returns the requests to send, at most one for each node and text, and records them as sent. The host calls this
    /// once in each iteration of its event loop.
    pub fn flush(&mut self, now: f64) -> Vec<Action> {
        let mut unsent = std::mem::take(&mut self.unsent);
        // Requests that no query waits for are dropped: a query may have ended before its requests were sent.
        let awaited = self.awaited_requests();
        unsent.retain(|_, request| awaited.contains(&request.id));
        let mut actions = Vec::new();
        for request in unsent.into_values() {
            self.counters.requests += 1;
            self.backoffs.on_sent(request.node, request.id);
            self.requests_sent += 1;
            let sent = SentAt { sequence: self.requests_sent, time: now };
            self.sent.insert(request.id, SentRequest { request: request.clone(), sent });
            actions.push(Action::Send(request));
        }
        actions
    }

    /// The numbers of the requests that open queries wait for.
    fn awaited_requests(&self) -> BTreeSet<u64> {
        self.open.values().flat_map(|open| open.waiting.values().copied()).collect()
    }

    /// Time until which a query may wait for answers; `None` if it is to be searched directly.
    fn request_deadline(&mut self, now: f64, nodes: &dyn NodeView, query: &PrefilterQuery) -> Option<f64> {
        if !self.is_eligible(query) || nodes.is_congested() {
            return None;
        }
        let time_left = query.time_left_seconds;
        let mut max_seconds = self.config.time_ratio * time_left;
        let benefit = self.benefits.entry(query.query_class).or_default();
        if let Some(median) = benefit.median_times() {
            // If little is pruned, the search may take as long as a direct one, which may be longer than the median
            // search of prefiltered queries. The time left must suffice for that, too.
            let search_seconds = median.search_seconds.max(benefit.direct_seconds().unwrap_or(0.0));
            max_seconds = max_seconds.min(time_left - SEARCH_TIME_MARGIN_RATIO * search_seconds);
            if max_seconds < median.request_seconds {
                return None;
            }
        }
        if let Some(timeout_seconds) = benefit.request_timeout_seconds() {
            max_seconds = max_seconds.min(timeout_seconds);
        }
        benefit.should_prefilter().then_some(now + max_seconds)
    }

    /// Returns a plan that searches all segments of a query.
    fn search_directly(&mut self, now: f64, query: PrefilterQuery) -> Action {
        self.counters.searched_directly += u64::from(self.is_eligible(&query));
        let PrefilterQuery { id, query_class, key, segments, .. } = query;
        let searching = SearchingQuery {
            query_class,
            key,
            opened_at: now,
            counts_since: self.counts_since(now),
            planned_at: None,
            segment_count: segments.len(),
            pruned: Vec::new(),
        };
        self.searching.insert(id, searching);
        Action::Search(SearchPlan { query: id, search: segments, pruned: Vec::new() })
    }

    /// Assigns a request to each of the segments that lacks evidence: an existing request that can be shared, or a new
    /// one. Segments for which no node can be asked get none.
    fn assign_requests(&mut self, now: f64, nodes: &dyn NodeView, id: QueryId, segments: &[SegmentIndex]) {
        let Some(open) = self.open.get(&id) else { return };
        let (key, since) = (open.query.key, open.counts_since);
        for &segment in segments {
            let is_trusted = |node| self.trust.is_trusted(node);
            if self.evidence.basis(key, segment, since, is_trusted).is_some() {
                continue;
            }
            let denied_by: Vec<_> = self.evidence.denied_since(key, segment, since).collect();
            let request = match self.shared_request(id, segment, &denied_by) {
                Some(request) => request,
                None => match self.choose_node(now, nodes, key, segment, &denied_by) {
                    Some(node) => self.add_to_unsent(node, key, segment),
                    None => continue,
                },
            };
            if let Some(open) = self.open.get_mut(&id) {
                open.waiting.insert(segment, request);
            }
        }
    }

    /// Returns the number of an existing request that asks another node than those in `denied_by` about the query's
    /// text and this segment. The request is not sent yet, or was sent recently enough for the query
    /// to use its answer.
    fn shared_request(&self, id: QueryId, segment: SegmentIndex, denied_by: &[NodeId]) -> Option<u64> {
        let open = self.open.get(&id)?;
        let (key, since) = (open.query.key, open.counts_since);
        let fresh = self.sent.values().filter(|sent| since.includes(sent.sent)).map(|sent| &sent.request);
        let asks_the_same = |request: &&CanMatchRequest| {
            request.key == key && request.segments.contains(&segment) && !denied_by.contains(&request.node)
        };
        self.unsent.values().chain(fresh).find(asks_the_same).map(|request| request.id)
    }

    /// Chooses the less loaded of two random replicas, among those that may be asked and have not denied a match
    /// already. `None` if there is no such replica.
    fn choose_node(
        &mut self,
        now: f64,
        nodes: &dyn NodeView,
        key: QueryKey,
        segment: SegmentIndex,
        denied_by: &[NodeId],
    ) -> Option<NodeId> {
        let on_probation = self.rng.random_bool(PROBATION_RATIO);
        let is_available = |node: &NodeId| {
            !denied_by.contains(node)
                && self.backoffs.is_available(now, *node)
                && (on_probation || self.trust.is_trusted(*node))
        };
        let candidates: Vec<_> = nodes.replicas(segment).into_iter().filter(is_available).collect();
        match candidates.len() {
            0 => None,
            1 => Some(candidates[0]),
            count => {
                let first = self.rng.random_range(0..count);
                let second = (first + self.rng.random_range(1..count)) % count;
                Some(self.less_loaded(nodes, key, candidates[first], candidates[second]))
            }
        }
    }

    /// Of two nodes, returns the one to which a request on this text is waiting to be sent. If that does not
    /// distinguish them, returns the one with fewer requests in flight.
    fn less_loaded(&self, nodes: &dyn NodeView, key: QueryKey, a: NodeId, b: NodeId) -> NodeId {
        // One more segment in a request that is sent anyway adds hardly any cost.
        let is_asked = |node| self.unsent.contains_key(&(node, key));
        match (is_asked(a), is_asked(b)) {
            (true, false) => a,
            (false, true) => b,
            _ if nodes.outstanding(b) < nodes.outstanding(a) => b,
            _ => a,
        }
    }

    /// Adds a segment to the unsent request on this text to a node, and returns the request's number.
    fn add_to_unsent(&mut self, node: NodeId, key: QueryKey, segment: SegmentIndex) -> u64 {
        let last_id = &mut self.last_request_id;
        let request = self.unsent.entry((node, key)).or_insert_with(|| {
            *last_id += 1;
            CanMatchRequest { id: *last_id, node, key, segments: Vec::new() }
        });
        request.segments.push(segment);
        request.id
    }

    /// Records a node's answers to a request, late or in time. Returns the plans of the queries that now have no more
    /// answers to wait for. Answers about segments that the request did not ask about are ignored.
    pub fn on_response(
        &mut self,
        now: f64,
        nodes: &dyn NodeView,
        request: u64,
        answers: &[SegmentAnswer],
    ) -> Vec<Action> {
        let Some(SentRequest { request, sent }) = self.sent.remove(&request) else { return Vec::new() };
        self.backoffs.on_response(request.node);
        let mut denied = BTreeSet::new();
        for &SegmentAnswer { segment, answer, version } in answers {
            if !request.segments.contains(&segment) {
                continue;
            }
            self.evidence.record_answer(sent, request.key, segment, request.node, answer, version);
            if answer == CanMatch::CannotMatch {
                denied.insert(segment);
            }
        }
        self.end_request(now, nodes, &request, &denied)
    }

    /// Records that a request failed. Returns the plans of the queries that now have no more answers to wait for. In
    /// these plans, the request's segments are searched unless other evidence permits pruning.
    pub fn on_failure(
        &mut self,
        now: f64,
        nodes: &dyn NodeView,
        request: u64,
        failure: RequestFailure,
    ) -> Vec<Action> {
        let Some(SentRequest { request, .. }) = self.sent.remove(&request) else { return Vec::new() };
        self.counters.failed_requests += 1;
        self.backoffs.on_failure(now, request.node, request.id, failure);
        self.end_request(now, nodes, &request, &BTreeSet::new())
    }

    /// Handles the end of a request. A second replica is asked about each segment for which the first one denied a
    /// match. Returns the plans of the queries that now have no more answers to wait for.
    fn end_request(
        &mut self,
        now: f64,
        nodes: &dyn NodeView,
        request: &CanMatchRequest,
        denied: &BTreeSet<SegmentIndex>,
    ) -> Vec<Action> {
        let waits = |open: &OpenQuery| open.waiting.values().any(|waited| *waited == request.id);
        let waiting: Vec<_> = self.open.iter().filter(|(_, open)| waits(open)).map(|(id, _)| *id).collect();
        let mut actions = Vec::new();
        for id in waiting {
            let Some(open) = self.open.get_mut(&id) else { continue };
            let mut to_confirm = Vec::new();
            open.waiting.retain(|segment, waited| {
                let ended = *waited == request.id;
                // For each segment of a query, only one further replica is asked.
                if ended && denied.contains(segment) && open.second_requested.insert(*segment) {
                    to_confirm.push(*segment);
                }
                !ended
            });
            if now < open.deadline && !nodes.is_congested() {
                self.assign_requests(now, nodes, id, &to_confirm);
            }
            actions.extend(self.plan_if_answered(now, id));
        }
        actions
    }

    /// Earliest time at which a query stops waiting for answers; `None` if no query waits.
    pub fn next_deadline(&self) -> Option<f64> {
        self.open.values().map(|open| open.deadline).min_by(f64::total_cmp)
    }

    /// Returns the plans of the queries whose time to wait for answers is over. Segments without enough evidence are
    /// searched.
    pub fn on_deadline(&mut self, now: f64) -> Vec<Action> {
        let due: Vec<_> =
            self.open.iter().filter(|(_, open)| open.deadline <= now).map(|(id, _)| *id).collect();
        for request in due.iter().flat_map(|id| self.open[id].waiting.values()) {
            if let Some(late) = self.sent.get(request) {
                self.backoffs.on_failure(now, late.request.node, *request, RequestFailure::Timeout);
            }
        }
        let actions: Vec<_> = due.into_iter().filter_map(|id| self.plan(now, id)).collect();
        // An answer that no query waits for may still become evidence, so its request is kept for a limited time.
        let awaited = self.awaited_requests();
        self.sent
            .retain(|id, sent| awaited.contains(id) || now - sent.sent.time <= UNAWAITED_RETENTION_SECONDS);
        actions
    }
}
