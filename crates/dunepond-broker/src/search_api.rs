//! The search API. Each search of a request is one query of the router, and the results of its parts are merged into
//! one response.

use std::collections::HashMap;
use std::rc::Rc;

use dunepond_config::HostSettings;
use dunepond_routing::{Deployment, Idempotency, Part, QueryId};
use dunepond_search_api::hits::{ExpectedResult, HitMerger};
use dunepond_search_api::node::{NodeOutcome, read_response};
use dunepond_search_api::request::{TrackTotalHits, parse};
use dunepond_search_api::response::{self, MissingPart, PartOutcomes, ResponseBody};
use dunepond_search_api::{ApiError, ApiRequest, RequestLimits, Search, routing};

use crate::body::Payload;
use crate::http::{Head, HttpError};
use crate::query_request::QueryRequest;

/// Memory of a parsed request, as a multiple of the length of its body.
const PARSED_REQUEST_RATIO: usize = 12;
/// Maximum length of a client's request id in characters; a longer id is truncated.
const MAX_REQUEST_ID_CHARS: usize = 64;

/// The configuration of the search API, shared by the client connections, which parse requests with it, and the router
/// host.
pub struct SearchApi {
    /// Limits on requests.
    pub limits: RequestLimits,
    settings: Rc<HostSettings>,
    query_classes: Vec<QueryClass>,
}

/// What the search API needs to know of a query class.
struct QueryClass {
    /// Whether the queries of the class are updates, which must not run twice.
    is_update: bool,
    /// The query timeout in seconds.
    timeout: f64,
}

/// A parsed request of the search API.
pub struct SearchRequest {
    /// The API call that is requested.
    pub call: ApiRequest,
    /// Index of the tenant among the configured tenants; the number of configured tenants if the tenant is not
    /// configured.
    pub tenant: usize,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// The client's id for the request; empty if there is none that can be used.
    pub request_id: String,
    /// How long the client waits for the response, in seconds; `None` if it does not say.
    pub time_budget: Option<f64>,
    /// When the first byte of the request arrived, in Unix seconds.
    pub received_at: f64,
    /// Length of the request's body in bytes.
    body_bytes: usize,
}

impl SearchApi {
    /// Creates the search API for the query classes of a deployment.
    pub fn new(limits: RequestLimits, settings: Rc<HostSettings>, deployment: &Deployment) -> Self {
        let classes = deployment.query_classes.iter().map(|class| QueryClass {
            is_update: class.idempotency == Idempotency::NonIdempotent,
            timeout: class.timeout,
        });
        Self { limits, settings, query_classes: classes.collect() }
    }

    /// Parses a request whose first byte arrived at `received_at`. An index whose query class is non-idempotent can
    /// only be updated (by query), and any other index can only be searched.
    pub fn parse_request(
        &self,
        head: &Head,
        body: &[u8],
        received_at: f64,
    ) -> Result<SearchRequest, ApiError> {
        let call = parse(&head.method, &head.path, body, &self.settings.query_classes, &self.limits)?;
        let call = self.check_indices(call)?;
        let tenant = self.settings.tenants.iter().position(|c| *c == head.tenant);
        let is_usable = head.request_id.bytes().all(|b| b.is_ascii_graphic());
        Ok(SearchRequest {
            call,
            tenant: tenant.unwrap_or(self.settings.tenants.len()),
            is_retry: head.is_retry,
            request_id: if is_usable {
                head.request_id.chars().take(MAX_REQUEST_ID_CHARS).collect()
            } else {
                String::new()
            },
            time_budget: time_budget(&head.time_budget)?,
            received_at,
            body_bytes: body.len(),
        })
    }

    /// Checks that each index of a call may be searched or updated as requested. In a multi-search only the invalid
    /// searches fail.
    fn check_indices(&self, call: ApiRequest) -> Result<ApiRequest, ApiError> {
        match call {
            ApiRequest::Search(search) => {
                self.check_index(&search, false)?;
                Ok(ApiRequest::Search(search))
            }
            ApiRequest::Count(search) => {
                self.check_index(&search, false)?;
                Ok(ApiRequest::Count(search))
            }
            ApiRequest::Update(search) => {
                self.check_index(&search, true)?;
                Ok(ApiRequest::Update(search))
            }
            ApiRequest::Multi(searches) => {
                let checked = searches.into_iter().map(|search| {
                    let search = search?;
                    self.check_index(&search, false)?;
                    Ok(search)
                });
                Ok(ApiRequest::Multi(checked.collect()))
            }
            call => Ok(call),
        }
    }

    /// Checks that the index of a search may be updated, if `update` is set, or else searched.
    fn check_index(&self, search: &Search, update: bool) -> Result<(), ApiError> {
        let name = self.index_name(search.index);
        match (self.query_classes[search.index].is_update, update) {
            (true, false) => {
                Err(ApiError::argument(format!("index [{name}] is updated by query, not searched")))
            }
            (false, true) => {
                Err(ApiError::argument(format!("index [{name}] is searched, not updated by query")))
            }
            (true, true) | (false, false) => Ok(()),
        }
    }

    /// Returns the name of an index, which is the name of a query class.
    pub fn index_name(&self, index: usize) -> &str {
        &self.settings.query_classes[index]
    }

    /// Returns the query for a search. All parts have the same weight, because the API does not say which segment holds
    /// more.
    pub fn query_request(
        &self,
        search: &Search,
        request: &SearchRequest,
        request_id: String,
    ) -> QueryRequest {
        let segments = routing::segments_of(&search.routing, self.settings.segment_count);
        let weight = 1.0 / segments.len().max(1) as f64;
        let limits_seconds =
            [search.timeout_seconds, request.time_budget, Some(self.query_classes[search.index].timeout)];
        QueryRequest {
            request_id,
            query_class: search.index,
            tenant: request.tenant,
            deadline: request.received_at + limits_seconds.into_iter().flatten().fold(f64::MAX, f64::min),
            is_retry: request.is_retry,
            parts: segments
                .into_iter()
                .map(|segment| Part { segment, weight, required_node: None })
                .collect(),
            payload: Payload::Inline(search.node_request_body().into()),
        }
    }
}

/// Parses the time budget of a request, in seconds; `None` if it has none.
fn time_budget(text: &str) -> Result<Option<f64>, ApiError> {
    if text.is_empty() {
        return Ok(None);
    }
    let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite() && *s > 0.0);
    seconds.map(Some).ok_or_else(|| ApiError::argument("X-Budget: not a number of seconds"))
}

/// Why a node's response to a part has no result. The attempt counts as failed.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// The node rejected the search.
    #[error("rejected")]
    Rejected,
    /// The node failed, or its response is malformed.
    #[error("{0}")]
    Failed(String),
}

/// A search whose query is in flight. It belongs to a client's request.
pub struct ActiveSearch {
    /// Number of the client's request that contains this search; a request may contain several.
    pub request: u64,
    /// Index of the search among the request's searches.
    position: usize,
    search: Search,
    index: String,
    merge: HitMerger,
    is_update: bool,
    /// Number of documents that were updated.
    updated: u64,
    is_count: bool,
    /// When the search started, in Unix seconds.
    started_at: f64,
    /// For each segment with a failed attempt, why the most recent one failed.
    failures: HashMap<usize, String>,
}

impl ActiveSearch {
    /// Creates a search without results, which started at `started_at`.
    pub fn new(
        api: &SearchApi,
        request: u64,
        position: usize,
        search: &Search,
        call: &ApiRequest,
        started_at: f64,
    ) -> Self {
        let max_hits = search.result_window();
        Self {
            request,
            position,
            index: api.index_name(search.index).to_string(),
            merge: HitMerger::new(&search.sort, max_hits),
            search: search.clone(),
            is_update: matches!(call, ApiRequest::Update(_)),
            updated: 0,
            is_count: matches!(call, ApiRequest::Count(_)),
            started_at,
            failures: HashMap::new(),
        }
    }

    /// Returns the index of the search among the request's searches.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Merges the response that a node returned for a part into the results of the search. Fails if it is a rejection
    /// or an error.
    pub fn record_value(&mut self, segment: usize, value: &str) -> Result<(), ValueError> {
        let expected = ExpectedResult {
            index: &self.index,
            max_hits: self.search.result_window(),
            sort_keys: Some(self.search.sort.len()),
            total_untracked: self.search.track_total_hits == TrackTotalHits::No,
        };
        match read_response(200, value, (!self.is_update).then_some(&expected)) {
            NodeOutcome::Found(found) => self.merge.add(segment, *found),
            NodeOutcome::Updated(count) => self.updated = self.updated.saturating_add(count),
            NodeOutcome::Rejected => return Err(ValueError::Rejected),
            NodeOutcome::Failed(reason) => {
                self.failures.insert(segment, reason.clone());
                return Err(ValueError::Failed(reason));
            }
        }
        Ok(())
    }

    /// Returns the response with the results of the parts that were served. `segments` are all segments, each with
    /// whether it was served; `pruned` are the segments that were pruned.
    pub fn response(
        &mut self,
        now: f64,
        is_complete: bool,
        segments: &[(usize, bool)],
        pruned: &[usize],
    ) -> Result<ResponseBody, ApiError> {
        let took = ((now - self.started_at).max(0.0) * 1000.0) as u64;
        if self.is_update {
            return if is_complete {
                Ok(response::update_response(took, self.updated))
            } else {
                Err(ApiError::unknown_outcome())
            };
        }
        let missing = segments.iter().filter(|(segment, is_served)| !is_served && !pruned.contains(segment));
        let failure_reason = |segment: &usize| {
            self.failures.get(segment).map_or("not in by the answer's time", String::as_str).to_string()
        };
        let parts = PartOutcomes {
            total: segments.len(),
            successful: segments.iter().filter(|(_, is_served)| *is_served).count(),
            skipped: pruned.len(),
            missing: missing
                .map(|(segment, _)| MissingPart { segment: *segment, reason: failure_reason(segment) })
                .collect(),
            timed_out: !is_complete,
        };
        let merge = std::mem::replace(&mut self.merge, HitMerger::new(&[], 0));
        match self.is_count {
            true => response::count_response(&self.index, &parts, &merge),
            false => response::search_response(took, &self.index, &self.search, &parts, merge),
        }
    }
}

/// A request whose searches are in flight.
pub struct ActiveRequest {
    /// The client connection that waits for the response.
    pub client: usize,
    /// The parsed request.
    pub request: Rc<SearchRequest>,
    /// How many bytes are stored for the request: the request itself, and the outcomes of its searches.
    pub stored_bytes: u64,
    /// When the request was accepted, in Unix seconds.
    started_at: f64,
    /// How many of the searches are registered or have failed before.
    begun: usize,
    /// The outcome of each search; `None` until it is known.
    outcomes: Vec<Option<Result<ResponseBody, ApiError>>>,
    /// The queries of the request's searches.
    pub queries: Vec<QueryId>,
    /// The longest Retry-After of the request's searches, in seconds.
    retry_after: f64,
}

impl ActiveRequest {
    /// Creates a request without outcomes.
    pub fn new(client: usize, started_at: f64, request: Box<SearchRequest>) -> Self {
        Self {
            client,
            started_at,
            stored_bytes: (PARSED_REQUEST_RATIO * request.body_bytes) as u64,
            begun: 0,
            outcomes: vec![None; request.call.search_count()],
            request: request.into(),
            queries: Vec::new(),
            retry_after: 0.0,
        }
    }

    /// Begins with the next search and returns its index; `None` if all have begun.
    pub fn next_position(&mut self) -> Option<usize> {
        let next = self.has_pending_searches().then_some(self.begun);
        self.begun += usize::from(next.is_some());
        next
    }

    /// Whether there are searches that have not begun.
    pub fn has_pending_searches(&self) -> bool {
        self.begun < self.outcomes.len()
    }

    /// Records the outcome of one search. Returns the response once all outcomes are known.
    pub fn record_outcome(
        &mut self,
        now: f64,
        position: usize,
        outcome: Result<ResponseBody, ApiError>,
        retry_after: f64,
    ) -> Option<SearchResponse> {
        self.retry_after = self.retry_after.max(retry_after);
        self.outcomes[position].get_or_insert(outcome);
        if self.outcomes.iter().any(Option::is_none) {
            return None;
        }
        let outcomes: Vec<_> = std::mem::take(&mut self.outcomes).into_iter().flatten().collect();
        if matches!(self.request.call, ApiRequest::Multi(_)) {
            let took = ((now - self.started_at).max(0.0) * 1000.0) as u64;
            let body = response::multi_search_response(took, &outcomes);
            return Some(SearchResponse { status: 200, body, retry_after: 0.0 });
        }
        Some(match outcomes.into_iter().next()? {
            Ok(body) => SearchResponse { status: 200, body: body.into_text(), retry_after: 0.0 },
            Err(e) => {
                SearchResponse { status: e.status, body: e.body().to_string(), retry_after: self.retry_after }
            }
        })
    }
}

/// The response to a request whose searches are all done.
pub struct SearchResponse {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: String,
    /// When the client may retry, in seconds; 0 for no `Retry-After`.
    pub retry_after: f64,
}

/// Converts an HTTP error into an error of the search API.
pub fn error_response(http_error: &HttpError) -> ApiError {
    let error = match http_error.status {
        413 => ApiError::too_large(&http_error.reason),
        429 | 503 => ApiError::rejected(&http_error.reason),
        _ => ApiError::argument(&http_error.reason),
    };
    ApiError { status: http_error.status, ..error }
}
