//! Completes queries: records attempts that ended, responds to clients and releases resources.

use dunepond_routing::{AttemptEnded, AttemptId, AttemptOutcome, QueryId};
use dunepond_search_api::ApiError;
use dunepond_search_api::response::ResponseBody;
use tracing::{debug, error, warn};

use super::{ActiveQuery, FinishedQuery, RouterHost, SentAttempt, may_have_run};
use crate::body::Payload;
use crate::downstream::error_body;
use crate::search_api::SearchResponse;
use crate::upstream::CompletedAttempt;

impl RouterHost {
    /// Records an attempt that ended; `None` if the router need not be told.
    pub fn record_attempt_end(&mut self, back: CompletedAttempt) -> Option<AttemptEnded> {
        let CompletedAttempt { mut ended, mut value, .. } = back;
        let in_hand = self.queries.get_mut(&ended.query)?;
        in_hand.outstanding = in_hand.outstanding.saturating_sub(1);
        if let Some(agreed) = &mut in_hand.coordination {
            agreed.on_attempt_ended(ended.part, ended.outcome);
        }
        if may_have_run(ended.outcome) {
            in_hand.may_run_since[ended.part] =
                in_hand.may_run_since[ended.part].min(self.now - ended.elapsed);
        }
        if let (Some(fleet), Some(text)) = (&self.control_plane, &value) {
            fleet.record_carried(ended.node, in_hand.tenant, text.len());
        }
        // An invalid answer is a failed attempt; only a part's first answer counts.
        if let (Some(text), Some(api)) = (&value, &mut in_hand.search)
            && in_hand.values[ended.part].is_none()
            && !in_hand.is_finished
        {
            match api.took(in_hand.segments[ended.part], text) {
                Ok(()) => value = Some(String::new()),
                Err(why) => {
                    warn!("node {}: invalid answer: {why}", self.upstream.name(ended.node));
                    (ended.outcome, value) = (AttemptOutcome::Error, None);
                }
            }
        }
        debug!(
            "query {}: attempt of part {} at {}: {:?} after {:.4} s",
            in_hand.request_id,
            ended.part,
            self.upstream.name(ended.node),
            ended.outcome,
            ended.elapsed
        );
        if let Some(value) = value
            && in_hand.values[ended.part].is_none()
        {
            self.value_bytes += value.len() as u64;
            in_hand.values[ended.part] = Some(value);
            self.in_flight -= usize::from(!in_hand.is_finished);
        }
        Some(ended)
    }

    /// Removes a finished query once all its attempts have ended.
    pub fn release(&mut self, query: QueryId) {
        if self.queries.get(&query).is_some_and(|s| s.is_finished && s.outstanding == 0)
            && let Some(in_hand) = self.queries.remove(&query)
        {
            self.timers.cancel(in_hand.timer);
            self.value_bytes -= in_hand.values.iter().flatten().map(|value| value.len() as u64).sum::<u64>();
            self.request_ids.remove(&in_hand.request_id);
        }
    }

    /// Marks a finished query as completely answered; only those count in the prefilter's comparison of query times.
    pub(super) fn mark_served(&mut self, query: QueryId, whole: bool) {
        if whole && let Some(last) = self.finished_queries.last_mut().filter(|last| last.query == query) {
            last.completely_answered = true;
        }
    }

    /// Checks whether the query's client has disconnected; the event loop then ends the query.
    pub fn check_client(&mut self, query: QueryId) {
        if let Some(in_hand) = self.queries.get(&query)
            && !in_hand.is_finished
            && let Some(client) = in_hand.client
        {
            self.downstream.is_disconnected(self.now, client);
        }
    }

    /// Finishes a query whose client has disconnected.
    pub fn conclude_disconnected(&mut self, query: QueryId) {
        if let Some(in_hand) = self.queries.get(&query) {
            debug!("query {}: client disconnected", in_hand.request_id);
        }
        self.conclude(query);
    }

    /// Ends all attempts of a query whose deadline has passed. Returns whether it is still unanswered.
    pub fn expire_attempts(&mut self, query: QueryId) -> bool {
        let Some(in_hand) = self.queries.get_mut(&query) else { return false };
        in_hand.timer = None;
        let is_owed = !in_hand.is_finished;
        for SentAttempt { part, index, node } in in_hand.all_attempts() {
            self.upstream.give_up(
                self.now,
                node,
                AttemptId { query, part, index },
                AttemptOutcome::TimedOut,
                &mut self.timers,
            );
        }
        is_owed
    }

    /// Queries that clients still wait for, by id.
    pub fn unanswered_queries(&self) -> Vec<QueryId> {
        let is_unanswered = |in_hand: &ActiveQuery| !in_hand.is_finished && in_hand.client.is_some();
        let unanswered = self.queries.iter().filter(|(_, in_hand)| is_unanswered(in_hand));
        let mut ids: Vec<_> = unanswered.map(|(query, _)| *query).collect();
        ids.sort_unstable();
        ids
    }

    /// Answers 504 if the router has not answered by the deadline.
    pub fn fail_overdue(&mut self, query: QueryId) {
        if let Some(client) = self.conclude(query) {
            error!("query {query}: deadline passed without an answer");
            self.audit_answer(query, 504, false);
            if self.queries.get(&query).is_some_and(|in_hand| in_hand.search.is_some()) {
                let e =
                    ApiError { status: 504, ..ApiError::shards_failed("its time was up without an answer") };
                return self.finish_search(query, Err(e), 0.0);
            }
            self.downstream.reply(self.now, client, 504, "", 0.0, &mut self.timers);
        }
    }

    /// Marks a query as finished; returns its client, unless it was finished already.
    pub(super) fn conclude(&mut self, query: QueryId) -> Option<usize> {
        let in_hand = self.queries.get_mut(&query).filter(|s| !s.is_finished)?;
        in_hand.is_finished = true;
        // Frames that still carry the body hold their own reference.
        if in_hand.body.is_some() {
            in_hand.payload = Payload::Released;
        }
        self.in_flight -= 1 + in_hand.open_parts();
        let client = in_hand.client;
        for SentAttempt { part, index, node } in in_hand.all_attempts() {
            self.upstream.withdraw(
                self.now,
                node,
                AttemptId { query, part, index },
                AttemptOutcome::NotSent,
                &mut self.timers,
            );
        }
        if self.prefilter_connections.is_some() {
            self.finished_queries.push(FinishedQuery { query, completely_answered: false });
        }
        client
    }

    /// Withdraws attempts that are not sent yet; returns whether none has been sent completely, so that a retry is safe.
    pub(super) fn nothing_was_sent(&mut self, query: QueryId) -> bool {
        let Some(in_hand) = self.queries.get(&query) else { return false };
        if in_hand.may_run_since.iter().any(|at| *at != f64::MAX) {
            return false;
        }
        let mut left = false;
        for SentAttempt { part, index, node } in in_hand.all_attempts() {
            let key = AttemptId { query, part, index };
            self.upstream.withdraw(self.now, node, key, AttemptOutcome::NotSent, &mut self.timers);
            left |= self.upstream.has_outstanding(node, key);
        }
        let mut ends = self.upstream.back.iter().map(|back| &back.ended).filter(|ended| ended.query == query);
        !left && !ends.any(|ended| may_have_run(ended.outcome))
    }

    pub(super) fn reply(&mut self, query: QueryId, status: u16, body: &str, wait: f64) {
        if let Some(client) = self.conclude(query) {
            let in_hand = &self.queries[&query];
            debug!("query {}: answered {status}", in_hand.request_id);
            if status != 200 {
                self.audit_answer(query, status, false);
            }
            // If the body was not retained for retries, the error says why.
            let note = in_hand.body_failure.filter(|_| status != 200);
            let note = note.map(|why| error_body(&format!("body: not kept for retries: {why}")));
            let body = note.as_deref().unwrap_or(body);
            self.downstream.reply(self.now, client, status, body, wait, &mut self.timers);
        }
    }

    /// Records the outcome of a search API query.
    pub(super) fn finish_search(
        &mut self,
        query: QueryId,
        outcome: Result<ResponseBody, ApiError>,
        wait: f64,
    ) {
        let Some(api) = self.queries.get(&query).and_then(|in_hand| in_hand.search.as_ref()) else { return };
        let (request, place) = (api.request, api.place());
        self.complete_search(request, place, outcome, wait);
    }

    /// Records the outcome of one search of a request; the last one answers the client.
    pub(super) fn complete_search(
        &mut self,
        number: u64,
        place: usize,
        outcome: Result<ResponseBody, ApiError>,
        wait: f64,
    ) {
        let Some(open) = self.search_requests.get_mut(&number) else { return };
        let client = open.client;
        if let Some(response) = open.done(self.now, place, outcome, wait) {
            self.search_requests.remove(&number);
            let SearchResponse { status, body, retry_after } = response;
            self.downstream.reply(self.now, client, status, &body, retry_after, &mut self.timers);
        }
    }

    /// All queries of the request with this id: a query, or a search API request.
    pub fn queries_of(&mut self, number: QueryId) -> Vec<QueryId> {
        match self.search_requests.remove(&number) {
            Some(open) => open.queries,
            None => vec![number],
        }
    }
}
