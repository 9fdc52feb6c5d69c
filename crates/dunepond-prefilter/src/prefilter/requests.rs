//! Can-match requests: whether a query is prefiltered, which nodes are asked, and what follows from their answers.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use super::{OpenQuery, Prefilter, SearchingQuery, SentRequest};
use crate::backoff::RequestFailure;
use crate::evidence::SentAt;
use crate::model::{
    Action, CanMatch, CanMatchRequest, NodeId, NodeView, PrefilterQuery, QueryId, QueryKey, SearchPlan,
    SegmentAnswer, SegmentIndex,
};

/// The median search must fit into the time that is left after asking, with this margin.
const SEARCH_TIME_MARGIN_RATIO: f64 = 1.5;
/// How often a distrusted node is asked: its segments are searched, which shows whether it is right again.
const PROBATION_RATIO: f64 = 1.0 / 16.0;
/// A request that no query waits for is forgotten after this long.
const UNAWAITED_RETENTION_SECONDS: f64 = 10.0;

impl Prefilter {
    /// A query came. Its search plan is returned at once where it is searched directly, or nothing need be asked; otherwise its requests are
    /// returned by [`Prefilter::flush`].
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

    /// Returns the requests gathered since the last call, one to a node for each text. Called once in each iteration of the host's loop.
    pub fn flush(&mut self, now: f64) -> Vec<Action> {
        let mut unsent = std::mem::take(&mut self.unsent);
        // A query may have ended before its requests were sent.
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

    /// The requests that open queries wait for.
    fn awaited_requests(&self) -> BTreeSet<u64> {
        self.open.values().flat_map(|open| open.waiting.values().copied()).collect()
    }

    /// Until when a query may wait for answers; None where it is searched directly.
    fn request_deadline(&mut self, now: f64, nodes: &dyn NodeView, query: &PrefilterQuery) -> Option<f64> {
        if !self.is_eligible(query) || nodes.is_congested() {
            return None;
        }
        let time_left = query.time_left_seconds;
        let mut max_seconds = self.config.time_ratio * time_left;
        let benefit = self.benefits.entry(query.query_class).or_default();
        if let Some(median) = benefit.median_times() {
            // A direct search may take longer than one after pruning: if little is pruned, that must fit too.
            let search_seconds = median.search_seconds.max(benefit.direct_seconds().unwrap_or(0.0));
            max_seconds = max_seconds.min(time_left - SEARCH_TIME_MARGIN_RATIO * search_seconds);
            if max_seconds < median.request_seconds {
                return None;
            }
        }
        if let Some(patience_seconds) = benefit.patience_seconds() {
            max_seconds = max_seconds.min(patience_seconds);
        }
        benefit.should_prefilter().then_some(now + max_seconds)
    }

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

    /// Finds or gathers a request for each segment of a query that lacks evidence.
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

    /// A request of another query that asks the same: one not sent yet, or sent late enough to be fresh.
    fn shared_request(&self, id: QueryId, segment: SegmentIndex, denied_by: &[NodeId]) -> Option<u64> {
        let open = self.open.get(&id)?;
        let (key, since) = (open.query.key, open.counts_since);
        let fresh = self.sent.values().filter(|sent| since.includes(sent.sent)).map(|sent| &sent.request);
        let asks_the_same = |request: &&CanMatchRequest| {
            request.key == key && request.segments.contains(&segment) && !denied_by.contains(&request.node)
        };
        self.unsent.values().chain(fresh).find(asks_the_same).map(|request| request.id)
    }

    /// The less loaded of two random replicas, of those that may be asked and have not denied already.
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

    fn less_loaded(&self, nodes: &dyn NodeView, key: QueryKey, a: NodeId, b: NodeId) -> NodeId {
        // One more segment in a request that is sent anyway costs next to nothing.
        let is_asked = |node| self.unsent.contains_key(&(node, key));
        match (is_asked(a), is_asked(b)) {
            (true, false) => a,
            (false, true) => b,
            _ if nodes.outstanding(b) < nodes.outstanding(a) => b,
            _ => a,
        }
    }

    fn add_to_unsent(&mut self, node: NodeId, key: QueryKey, segment: SegmentIndex) -> u64 {
        let last_id = &mut self.last_request_id;
        let request = self.unsent.entry((node, key)).or_insert_with(|| {
            *last_id += 1;
            CanMatchRequest { id: *last_id, node, key, segments: Vec::new() }
        });
        request.segments.push(segment);
        request.id
    }

    /// A node answered, late or in time. Answers about segments that it was not asked about are ignored.
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

    /// A request will not be answered: its segments are searched.
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

    /// Asks a second replica where one denied, and plans the queries that wait for nothing more.
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
                // One second replica only.
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

    /// When the next deadline is.
    pub fn next_deadline(&self) -> Option<f64> {
        self.open.values().map(|open| open.deadline).min_by(f64::total_cmp)
    }

    /// Ends asking for the queries whose deadline has passed: what was not answered is searched.
    pub fn on_deadline(&mut self, now: f64) -> Vec<Action> {
        let due: Vec<_> =
            self.open.iter().filter(|(_, open)| open.deadline <= now).map(|(id, _)| *id).collect();
        for request in due.iter().flat_map(|id| self.open[id].waiting.values()) {
            if let Some(late) = self.sent.get(request) {
                self.backoffs.on_failure(now, late.request.node, *request, RequestFailure::Timeout);
            }
        }
        let actions: Vec<_> = due.into_iter().filter_map(|id| self.plan(now, id)).collect();
        // An answer that no query waits for may still be evidence, but not for ever.
        let awaited = self.awaited_requests();
        self.sent
            .retain(|id, sent| awaited.contains(id) || now - sent.sent.time <= UNAWAITED_RETENTION_SECONDS);
        actions
    }
}
