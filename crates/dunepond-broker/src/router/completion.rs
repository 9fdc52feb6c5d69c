//! Completes queries: records attempts that ended, responds to clients and releases resources.

use dunepond_routing::{AttemptEnded, AttemptId, AttemptOutcome, Idempotency, QueryId, Transport};
use dunepond_search_api::ApiError;
use dunepond_search_api::response::ResponseBody;
use tracing::{debug, error, warn};

use super::{ActiveQuery, FinishedQuery, RouterHost, SentAttempt, may_have_run};
use crate::body::Payload;
use crate::downstream::error_body;
use crate::search_api::{ActiveRequest, SearchResponse};
use crate::upstream::CompletedAttempt;

impl RouterHost {
    /// Records the end of an attempt and returns what the router needs to know of it; `None` if the query is not in
    /// flight.
    pub fn record_attempt_end(&mut self, completed: CompletedAttempt) -> Option<AttemptEnded> {
        let CompletedAttempt { mut ended, mut value, .. } = completed;
        let active = self.queries.get_mut(&ended.query)?;
        active.outstanding = active.outstanding.saturating_sub(1);
        if let Some(coordination) = &mut active.coordination {
            coordination.on_attempt_ended(ended.part, ended.outcome);
        }
        if may_have_run(ended.outcome) {
            active.first_possible_run_at[ended.part] =
                active.first_possible_run_at[ended.part].min(self.now - ended.elapsed);
        }
        if let (Some(control_plane), Some(text)) = (&self.control_plane, &value) {
            control_plane.record_answer_bytes(ended.node, active.tenant, text.len());
        }
        let answer_bytes = value.as_ref().map_or(0, |text| text.len() as u64);
        // An attempt with an invalid answer counts as failed. Only the first answer for a part is used, so later ones
        // are not checked.
        if let (Some(text), Some(search)) = (&value, &mut active.search)
            && active.values[ended.part].is_none()
            && !active.is_finished
        {
            match search.record_value(active.segments[ended.part], text) {
                Ok(()) => value = Some(String::new()),
                Err(reason) => {
                    warn!("node {}: invalid answer: {reason}", self.upstream.name(ended.node));
                    (ended.outcome, value) = (AttemptOutcome::Error, None);
                }
            }
        }
        debug!(
            "query {}: attempt of part {} at {}: {:?} after {:.4} s",
            active.request_id,
            ended.part,
            self.upstream.name(ended.node),
            ended.outcome,
            ended.elapsed
        );
        if let Some(value) = value
            && active.values[ended.part].is_none()
        {
            active.stored_bytes += answer_bytes;
            self.memory.add_answer(answer_bytes);
            active.values[ended.part] = Some(value);
            self.in_flight -= usize::from(!active.is_finished);
        }
        Some(ended)
    }

    /// Removes a finished query once all its attempts have ended.
    pub fn release(&mut self, query: QueryId) {
        if self.queries.get(&query).is_some_and(|active| active.is_finished && active.outstanding == 0)
            && let Some(active) = self.queries.remove(&query)
        {
            self.timers.cancel(active.timer);
            self.memory.remove(active.stored_bytes);
            self.request_ids.remove(&active.request_id);
            if active.is_abandoned() {
                let idempotency = self.idempotencies[active.query_class];
                let expires_at = self.now + self.host_settings.longest_query_seconds;
                self.abandoned_ids.add(self.now, &active.request_id, idempotency, expires_at);
            }
        }
    }

    /// Marks a query as completely answered if `complete` is true and the query is the one that finished most recently.
    /// Only completely answered queries count when the prefilter compares query times.
    pub(super) fn mark_completely_answered(&mut self, query: QueryId, complete: bool) {
        if complete && let Some(last) = self.finished_queries.last_mut().filter(|last| last.query == query) {
            last.completely_answered = true;
        }
    }

    /// Checks whether the client of a query has disconnected. If so, the event loop ends the query afterwards.
    pub fn check_client(&mut self, query: QueryId) {
        if let Some(active) = self.queries.get(&query)
            && !active.is_finished
            && let Some(client) = active.client
        {
            self.downstream.check_disconnected(self.now, client);
        }
    }

    /// Finishes a query whose client has disconnected.
    pub fn conclude_disconnected(&mut self, query: QueryId) {
        if let Some(active) = self.queries.get(&query) {
            debug!("query {}: client disconnected", active.request_id);
        }
        self.conclude(query);
    }

    /// Ends all attempts of a query whose deadline has passed. Returns whether the query is still unanswered.
    pub fn expire_attempts(&mut self, query: QueryId) -> bool {
        let Some(active) = self.queries.get_mut(&query) else { return false };
        active.timer = None;
        let is_unanswered = !active.is_finished;
        for SentAttempt { part, index, node } in active.all_attempts() {
            self.upstream.cancel(
                self.now,
                node,
                AttemptId { query, part, index },
                AttemptOutcome::TimedOut,
                &mut self.timers,
            );
        }
        is_unanswered
    }

    /// Returns the ids of the queries that clients still wait for, in ascending order.
    pub fn unanswered_queries(&self) -> Vec<QueryId> {
        let is_unanswered = |active: &ActiveQuery| !active.is_finished && active.client.is_some();
        let unanswered = self.queries.iter().filter(|(_, active)| is_unanswered(active));
        let mut ids: Vec<_> = unanswered.map(|(query, _)| *query).collect();
        ids.sort_unstable();
        ids
    }

    /// Answers a query with 504 if the router has not answered it by its deadline.
    pub fn fail_overdue(&mut self, query: QueryId) {
        if let Some(client) = self.conclude(query) {
            error!("query {query}: deadline passed without an answer");
            self.audit_answer(query, 504, false);
            if self.queries.get(&query).is_some_and(|active| active.search.is_some()) {
                let e =
                    ApiError { status: 504, ..ApiError::shards_failed("its time was up without an answer") };
                return self.finish_search(query, Err(e), 0.0);
            }
            self.downstream.reply(self.now, client, 504, "", 0.0, &mut self.timers);
        }
    }

    /// Gives up a query for lack of memory, and answers it at once.
    pub fn give_up(&mut self, query: QueryId) {
        let Some(active) = self.queries.get(&query) else { return };
        warn!(
            "query {}: given up for lack of memory, {} bytes stored",
            active.request_id, active.stored_bytes
        );
        if self.idempotencies[active.query_class] == Idempotency::Idempotent {
            self.reject_retriable(query, self.max_retry_after);
        } else {
            self.fail_unknown_outcome(query);
        }
    }

    /// Marks a query as finished and withdraws its attempts that are not fully written. Returns its client; `None` if it
    /// has no client or was finished already.
    pub(super) fn conclude(&mut self, query: QueryId) -> Option<usize> {
        let active = self.queries.get_mut(&query).filter(|active| !active.is_finished)?;
        active.is_finished = true;
        // Frames that still have to send the body have a reference of their own to it.
        if active.body.is_some() {
            active.payload = Payload::Released;
        }
        self.in_flight -= 1 + active.open_parts();
        let client = active.client;
        for SentAttempt { part, index, node } in active.all_attempts() {
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

    /// Withdraws a query's attempts that are not fully written. Returns `true` if no attempt can have run, so that the
    /// client may safely send the query again.
    pub(super) fn try_withdraw_all(&mut self, query: QueryId) -> bool {
        let Some(active) = self.queries.get(&query) else { return false };
        if active.first_possible_run_at.iter().any(|at| *at != f64::MAX) {
            return false;
        }
        let mut is_outstanding = false;
        for SentAttempt { part, index, node } in active.all_attempts() {
            let attempt = AttemptId { query, part, index };
            self.upstream.withdraw(self.now, node, attempt, AttemptOutcome::NotSent, &mut self.timers);
            is_outstanding |= self.upstream.has_outstanding(node, attempt);
        }
        let completed = self.upstream.completed.iter().map(|completed| &completed.ended);
        let any_may_have_run =
            completed.filter(|ended| ended.query == query).any(|ended| may_have_run(ended.outcome));
        !is_outstanding && !any_may_have_run
    }

    /// Finishes a query and sends its client the final response, unless the query was finished already.
    pub(super) fn reply(&mut self, query: QueryId, status: u16, body: &str, retry_after: f64) {
        if let Some(client) = self.conclude(query) {
            if let Some(active) = self.queries.get_mut(&query) {
                active.is_settled = matches!(status, 200 | 429 | 503);
            }
            let active = &self.queries[&query];
            debug!("query {}: answered {status}", active.request_id);
            if status != 200 {
                self.audit_answer(query, status, false);
            }
            // If the streamed body was not retained for retries, the error response says why.
            let failure = active.body_failure.filter(|_| status != 200);
            let error = failure.map(|reason| error_body(&format!("body: not kept for retries: {reason}")));
            let body = error.as_deref().unwrap_or(body);
            self.downstream.reply(self.now, client, status, body, retry_after, &mut self.timers);
        }
    }

    /// Records the outcome of a query that runs for a search API request.
    pub(super) fn finish_search(
        &mut self,
        query: QueryId,
        outcome: Result<ResponseBody, ApiError>,
        retry_after: f64,
    ) {
        let Some(search) = self.queries.get(&query).and_then(|active| active.search.as_ref()) else { return };
        let (request, position) = (search.request, search.position());
        self.complete_search(request, position, outcome, retry_after);
    }

    /// Records the outcome of one search of a search API request, and answers the client once all searches of the
    /// request have an outcome.
    pub(super) fn complete_search(
        &mut self,
        request: u64,
        position: usize,
        outcome: Result<ResponseBody, ApiError>,
        retry_after: f64,
    ) {
        let Some(active) = self.search_requests.get_mut(&request) else { return };
        let (client, outcome_bytes) = (active.client, outcome.as_ref().map_or(0, |body| body.text().len()));
        active.stored_bytes += outcome_bytes as u64;
        self.memory.add(outcome_bytes as u64);
        if let Some(response) = active.record_outcome(self.now, position, outcome, retry_after) {
            self.remove_search_request(request);
            let SearchResponse { status, body, retry_after } = response;
            self.downstream.reply(self.now, client, status, &body, retry_after, &mut self.timers);
        }
    }

    /// Returns the queries of the client request `request`: those of a search API request, which is removed from the
    /// requests in flight, or else the one query with this id.
    pub fn queries_of(&mut self, request: QueryId) -> Vec<QueryId> {
        match self.remove_search_request(request) {
            Some(active) => active.queries,
            None => vec![request],
        }
    }

    /// Removes a search API request from those in flight.
    fn remove_search_request(&mut self, request: QueryId) -> Option<ActiveRequest> {
        let active = self.search_requests.remove(&request)?;
        self.memory.remove(active.stored_bytes);
        Some(active)
    }
}
