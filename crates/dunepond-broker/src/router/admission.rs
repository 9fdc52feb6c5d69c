//! Registers queries: those of clients, those of search API requests, and the prefilter's audits.

use std::rc::Rc;

use dunepond_routing::{Part, Query, QueryId, query_record_bytes};
use dunepond_search_api::{ApiError, ApiRequest, Search, response};
use tracing::debug;

use super::{ActiveQuery, RouterHost};
use crate::body::Payload;
use crate::clock::TimerEvent;
use crate::downstream::error_body;
use crate::query_request::QueryRequest;
use crate::search_api::{ActiveRequest, ActiveSearch, SearchApi, SearchRequest};

/// The error of a search for which the limit of queries and parts in flight, or of their memory, is reached.
fn too_many_searches() -> ApiError {
    ApiError::rejected("as many scans and parts are held as may be")
}

impl RouterHost {
    /// Registers a client's query. Returns `None` if the query was rejected: with 503 if the limit of queries and parts
    /// in flight is reached no further id can be remembered, with 400 if its request id is in use by another query, or was in
    /// use by one that may have run and whose client got no answer.
    pub fn register_query(&mut self, client: usize, request: QueryRequest) -> Option<Query> {
        if self.is_full() {
            debug!(
                "query {}: rejected, {} queries and parts in flight, {} bytes stored",
                request.request_id,
                self.in_flight,
                self.memory.stored_bytes()
            );
            self.downstream.reply(self.now, client, 503, "", self.max_retry_after, &mut self.timers);
            return None;
        }
        if !self.abandoned_ids.admits(self.now, self.idempotencies[request.query_class]) {
            debug!("query {}: rejected, its id could not be remembered", request.request_id);
            self.downstream.reply(self.now, client, 503, "", self.max_retry_after, &mut self.timers);
            return None;
        }
        let is_in_use = self.request_ids.contains(&request.request_id)
            || self.abandoned_ids.contains(self.now, &request.request_id);
        if is_in_use {
            let body = error_body("X-Call-Id: in use");
            self.downstream.reply(self.now, client, 400, &body, 0.0, &mut self.timers);
            return None;
        }
        let query = self.insert_query(Some(client), request, None);
        self.downstream.assign_query(client, query.id);
        Some(query)
    }

    /// Registers a search API request and returns its id; its searches are registered by [`Self::register_next_search`].
    /// Returns `None` for a request without a search, which is answered at once.
    pub fn register_search_request(&mut self, client: usize, request: Box<SearchRequest>) -> Option<QueryId> {
        let body = match &request.call {
            ApiRequest::Info => response::info_response("dunepond", env!("CARGO_PKG_VERSION")).to_string(),
            ApiRequest::Health => {
                let (nodes, active) = self.upstream.node_counts();
                response::health_response(nodes, active, self.host_settings.segment_count).to_string()
            }
            _ if !self.memory.admits(self.in_flight) => {
                let error = too_many_searches();
                let body = error.body().to_string();
                let retry_after = self.max_retry_after;
                self.downstream.reply(self.now, client, error.status, &body, retry_after, &mut self.timers);
                return None;
            }
            _ => {
                self.last_id += 1;
                let id = self.last_id;
                let active = ActiveRequest::new(client, self.now, request);
                self.memory.add(active.stored_bytes);
                self.search_requests.insert(id, active);
                self.downstream.assign_query(client, id);
                return Some(id);
            }
        };
        self.downstream.reply(self.now, client, 200, &body, 0.0, &mut self.timers);
        None
    }

    /// Registers the next search of a search API request that can be registered, and returns its query; `None` if there is
    /// none. A search that is invalid, or for which the limit of queries and parts in flight is reached, gets an error as its
    /// outcome.
    pub fn register_next_search(&mut self, id: QueryId) -> Option<Query> {
        let search_api = self.downstream.search_api.clone()?;
        loop {
            let active = self.search_requests.get_mut(&id)?;
            let (position, request) = (active.next_position()?, active.request.clone());
            match request.call.search(position) {
                Ok(_) if self.is_full() || position > 0 && self.is_full_for_further_searches() => {
                    self.fail_search(id, position, too_many_searches());
                }
                Ok(search) => return Some(self.register_search(&search_api, id, &request, position, search)),
                Err(error) => self.fail_search(id, position, error),
            }
        }
    }

    /// Whether searches of a search API request are still to be registered.
    pub fn has_pending_searches(&self, id: QueryId) -> bool {
        self.search_requests.get(&id).is_some_and(ActiveRequest::has_pending_searches)
    }

    /// Registers one search of a search API request, the one at `position`, and returns its query.
    fn register_search(
        &mut self,
        search_api: &Rc<SearchApi>,
        id: QueryId,
        request: &SearchRequest,
        position: usize,
        search: &Search,
    ) -> Query {
        let client_id = if request.request_id.is_empty() { "api" } else { &request.request_id };
        let request_id = format!("{client_id}-{}-{id}-{position}", self.run_id);
        let query_request = search_api.query_request(search, request, request_id);
        let active = ActiveSearch::new(search_api, id, position, search, &request.call, self.now);
        let client = self.search_requests.get(&id).map(|request| request.client);
        let query = self.insert_query(client, query_request, Some(Box::new(active)));
        if let Some(request) = self.search_requests.get_mut(&id) {
            request.queries.push(query.id);
        }
        query
    }

    /// Records an error as the outcome of the search at `position` of the request `id`.
    fn fail_search(&mut self, id: u64, position: usize, error: ApiError) {
        let retry_after = if error.status == 429 { self.max_retry_after } else { 0.0 };
        self.complete_search(id, position, Err(error), retry_after);
    }

    /// Adds a query to those in flight and schedules its deadline; returns it in the form that the router needs.
    fn insert_query(
        &mut self,
        client: Option<usize>,
        request: QueryRequest,
        search: Option<Box<ActiveSearch>>,
    ) -> Query {
        self.request_ids.insert(request.request_id.clone());
        self.last_id += 1;
        let query = self.last_id;
        // A client's deadline is capped by the query class's timeout.
        let deadline = request.deadline.min(self.now + self.timeouts[request.query_class]);
        let expires_at = deadline.min(self.downstream.shutdown_deadline);
        let segments: Vec<_> = request.parts.iter().map(|part| part.segment).collect();
        let part_count = segments.len();
        self.in_flight += 1 + part_count;
        let expires_in = deadline - self.now;
        debug!(
            "query {}: admitted as {query}, {part_count} parts, {expires_in:.3} s left",
            request.request_id
        );
        let body = request.payload.body();
        let body_retained = !body.is_some_and(|body| body.is_pass_through());
        let body = body.map(|body| body.id);
        let timer = self.timers.schedule(expires_at, TimerEvent::QueryDeadline(query));
        let text_bytes = if body.is_none() { request.payload.length() } else { 0 };
        let stored_bytes = text_bytes + query_record_bytes(part_count, request.request_id.len());
        self.memory.add(stored_bytes);
        let active = ActiveQuery {
            search,
            client,
            stored_bytes,
            body,
            expires_at,
            timer: Some(timer),
            tenant: request.tenant,
            ..ActiveQuery::new(request.request_id, request.query_class, request.payload, segments)
        };
        self.queries.insert(query, active);
        Query {
            id: query,
            class: request.query_class,
            tenant: request.tenant,
            expires_in,
            is_retry: request.is_retry,
            body_retained,
            streamed: body.is_some(),
            awaits_prefilter: false,
            audit: false,
            parts: request.parts,
        }
    }

    /// Registers a prefilter audit: a query of one segment without a client. Returns `None` if the limit of queries and
    /// parts in flight leaves no room for it.
    pub fn register_audit(&mut self, query_class: usize, segment: usize, text: Rc<str>) -> Option<Query> {
        let request_id = format!("audit-{}-{}", self.run_id, self.last_id + 1);
        let has_room = self.host_settings.max_in_flight.is_none_or(|max| self.in_flight + 2 <= max);
        if !has_room || !self.request_ids.insert(request_id.clone()) {
            return None;
        }
        self.last_id += 1;
        self.in_flight += 2;
        let query = self.last_id;
        let expires_at = self.now + self.timeouts[query_class];
        debug!("query {request_id}: audit of segment {segment}");
        let timer = self.timers.schedule(expires_at, TimerEvent::QueryDeadline(query));
        let active = ActiveQuery {
            expires_at,
            timer: Some(timer),
            ..ActiveQuery::new(request_id, query_class, Payload::Inline(text), vec![segment])
        };
        self.queries.insert(query, active);
        Some(Query {
            id: query,
            class: query_class,
            // Not the index of any tenant: an audit has no quota and counts in no tenant's statistics.
            tenant: self.host_settings.tenants.len() + 1,
            expires_in: expires_at - self.now,
            is_retry: false,
            body_retained: true,
            streamed: false,
            awaits_prefilter: false,
            audit: true,
            parts: vec![Part { segment, weight: 1.0, required_node: None }],
        })
    }
}
