//! Registers queries in flight: of clients, of search API requests, and audits of the prefilter.

use std::rc::Rc;

use dunepond_routing::{Part, Query};
use dunepond_search_api::{ApiError, ApiRequest, Search, response};
use tracing::debug;

use super::{ActiveQuery, RouterHost};
use crate::body::Payload;
use crate::clock::TimerEvent;
use crate::downstream::error_body;
use crate::query_request::QueryRequest;
use crate::search_api::{ActiveRequest, ActiveSearch, SearchRequest};

impl RouterHost {
    /// Registers a client's query. If too much is in flight it is rejected (503) without the router.
    pub fn register_query(&mut self, client: usize, query_request: QueryRequest) -> Option<Query> {
        if self.is_full() {
            debug!(
                "query {}: rejected, {} queries and parts in flight",
                query_request.request_id, self.in_flight
            );
            self.downstream.reply(self.now, client, 503, "", self.max_retry_after, &mut self.timers);
            return None;
        }
        if self.request_ids.contains(&query_request.request_id) {
            let body = error_body("X-Call-Id: in use");
            self.downstream.reply(self.now, client, 400, &body, 0.0, &mut self.timers);
            return None;
        }
        let query = self.insert_query(client, query_request, None);
        self.downstream.assign_query(client, query.id);
        Some(query)
    }

    /// Registers a search API request: a query for each of its searches. A search that is invalid or over the limit gets its
    /// outcome at once.
    pub fn register_search_request(&mut self, client: usize, request: &SearchRequest) -> Vec<Query> {
        let Some(door) = self.downstream.search_api.clone() else { return Vec::new() };
        let (now, call) = (self.now, &request.call);
        let searches: Vec<Result<&Search, ApiError>> = match call {
            ApiRequest::Info => {
                let body = response::info_response("dunepond", env!("CARGO_PKG_VERSION")).to_string();
                self.downstream.reply(now, client, 200, &body, 0.0, &mut self.timers);
                return Vec::new();
            }
            ApiRequest::Health => {
                let (nodes, active) = self.upstream.count();
                let body = response::health_response(nodes, active, self.bounds.segment_count).to_string();
                self.downstream.reply(now, client, 200, &body, 0.0, &mut self.timers);
                return Vec::new();
            }
            ApiRequest::Search(search) | ApiRequest::Count(search) | ApiRequest::Update(search) => {
                vec![Ok(&**search)]
            }
            ApiRequest::Multi(searches) => {
                searches.iter().map(|s| s.as_ref().map_err(Clone::clone)).collect()
            }
        };
        self.last_id += 1;
        let number = self.last_id;
        self.search_requests.insert(number, ActiveRequest::new(client, now, call));
        self.downstream.assign_query(client, number);
        let mut queries = Vec::new();
        for (place, search) in searches.into_iter().enumerate() {
            let outcome = match search {
                Ok(_) if self.is_full() => {
                    Err(ApiError::rejected("as many scans and parts are held as may be"))
                }
                Ok(search) => {
                    let id = if request.request_id.is_empty() { "api" } else { &request.request_id };
                    let request_id = format!("{id}-{number}-{place}");
                    let query_request = door.query_request(search, request, request_id);
                    let searching = ActiveSearch::new(&door, number, place, search, call, now);
                    let query = self.insert_query(client, query_request, Some(Box::new(searching)));
                    if let Some(open) = self.search_requests.get_mut(&number) {
                        open.queries.push(query.id);
                    }
                    queries.push(query);
                    continue;
                }
                Err(e) => Err(e),
            };
            let wait =
                if outcome.as_ref().is_err_and(|e| e.status == 429) { self.max_retry_after } else { 0.0 };
            self.complete_search(number, place, outcome, wait);
        }
        queries
    }

    fn insert_query(
        &mut self,
        client: usize,
        query_request: QueryRequest,
        api: Option<Box<ActiveSearch>>,
    ) -> Query {
        self.request_ids.insert(query_request.request_id.clone());
        self.last_id += 1;
        let query = self.last_id;
        // A client's deadline is capped by the query class's timeout.
        let client_until = query_request.deadline.min(self.now + self.timeouts[query_request.query_class]);
        let ends_at = client_until.min(self.downstream.shutdown_deadline);
        let segs: Vec<_> = query_request.parts.iter().map(|p| p.segment).collect();
        let count = segs.len();
        self.in_flight += 1 + count;
        let left = client_until - self.now;
        debug!("query {}: admitted as {query}, {count} parts, {left:.3} s left", query_request.request_id);
        let body = query_request.payload.body().map(|body| body.id);
        let kept = !query_request.payload.body().is_some_and(|body| body.is_pass_through());
        let timer = self.timers.schedule(ends_at, TimerEvent::QueryDeadline(query));
        let active = ActiveQuery {
            search: api,
            client: Some(client),
            body,
            expires_at: ends_at,
            timer: Some(timer),
            tenant: query_request.tenant,
            ..ActiveQuery::new(
                query_request.request_id,
                query_request.query_class,
                query_request.payload,
                segs,
            )
        };
        self.queries.insert(query, active);
        Query {
            id: query,
            class: query_request.query_class,
            tenant: query_request.tenant,
            expires_in: client_until - self.now,
            is_retry: query_request.is_retry,
            body_retained: kept,
            streamed: body.is_some(),
            awaits_prefilter: false,
            audit: false,
            parts: query_request.parts,
        }
    }

    /// Registers an audit of the prefilter: a query of one segment without a client. `None` if too much is in flight.
    pub fn register_audit(&mut self, table_type: usize, seg: usize, text: Rc<str>) -> Option<Query> {
        let request_id = format!("audit-{}", self.last_id + 1);
        let room = self.bounds.max_in_flight.is_none_or(|most| self.in_flight + 2 <= most);
        if !room || !self.request_ids.insert(request_id.clone()) {
            return None;
        }
        self.last_id += 1;
        self.in_flight += 2;
        let (query, ends_at) = (self.last_id, self.now + self.timeouts[table_type]);
        debug!("scan {request_id}: an audit of {seg}");
        let timer = self.timers.schedule(ends_at, TimerEvent::QueryDeadline(query));
        let active = ActiveQuery {
            expires_at: ends_at,
            timer: Some(timer),
            ..ActiveQuery::new(request_id, table_type, Payload::Inline(text), vec![seg])
        };
        self.queries.insert(query, active);
        Some(Query {
            id: query,
            class: table_type,
            // No tenant's index: it has no quota and counts in no tenant's statistics.
            tenant: self.bounds.tenants.len() + 1,
            expires_in: ends_at - self.now,
            is_retry: false,
            body_retained: true,
            streamed: false,
            awaits_prefilter: false,
            audit: true,
            parts: vec![Part { segment: seg, weight: 1.0, required_node: None }],
        })
    }
}
