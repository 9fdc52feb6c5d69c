//! The search API: each search of a request is one query under the same decisions; its answers are merged into one response.

use std::collections::HashMap;
use std::rc::Rc;

use dunepond_config::Bounds;
use dunepond_routing::{Deployment, Idempotency, Part, QueryId};
use dunepond_search_api::answer::{self, Answer, Parts};
use dunepond_search_api::hits::{Expected, Merge};
use dunepond_search_api::node::{Meaning, meaning};
use dunepond_search_api::request::{Track, read};
use dunepond_search_api::{ApiError, Call, Limits, Search, routing};

use crate::body::Payload;
use crate::downstream::QueryRequest;
use crate::http::{Head, HttpError};

/// What the door goes by; shared by the clients' connections, which read with it, and the router host.
pub struct SearchApi {
    pub limits: Limits,
    bounds: Rc<Bounds>,
    /// Of each query class: whether its queries must never run twice, the share that makes them whole, its query timeout.
    types: Vec<(bool, f64, f64)>,
}

/// A request as it came: what is asked, and what its head says of who asks.
pub struct SearchRequest {
    pub call: Call,
    pub customer: usize,
    pub again: bool,
    pub id: String,
    /// How long its head says that the client will wait, and since when: its first byte came then.
    pub time_budget: Option<f64>,
    pub came: f64,
}

impl SearchApi {
    pub fn new(limits: Limits, bounds: Rc<Bounds>, site: &Deployment) -> Self {
        let types = site.query_classes.iter();
        let types =
            types.map(|t| (t.idempotency == Idempotency::NonIdempotent, t.complete_at, t.timeout)).collect();
        Self { limits, bounds, types }
    }

    /// Reads a request, of which the first byte came then; what must not run twice is updated and not searched, and the
    /// other way round.
    pub fn read(&self, head: &Head, body: &[u8], came: f64) -> Result<SearchRequest, ApiError> {
        let call = read(&head.method, &head.path, body, &self.bounds.table_types, &self.limits)?;
        let fits = |search: &Search, update: bool| {
            let name = &self.bounds.table_types[search.index];
            match (self.types[search.index].0, update) {
                (true, false) => {
                    Err(ApiError::argument(format!("index [{name}] is updated by query, not searched")))
                }
                (false, true) => {
                    Err(ApiError::argument(format!("index [{name}] is searched, not updated by query")))
                }
                _ => Ok(()),
            }
        };
        let call = match call {
            Call::Search(search) | Call::Count(search) if fits(&search, false).is_err() => {
                return Err(fits(&search, false).err().unwrap_or_else(ApiError::unknown_outcome));
            }
            Call::Update(search) => {
                fits(&search, true)?;
                Call::Update(search)
            }
            Call::Multi(searches) => {
                let each =
                    searches.into_iter().map(|search| search.and_then(|s| fits(&s, false).map(|()| s)));
                Call::Multi(each.collect())
            }
            call => call,
        };
        let customer = self.bounds.customers.iter().position(|c| *c == head.tenant);
        let plain = head.request_id.bytes().all(|b| b.is_ascii_graphic());
        let time_budget = match head.time_budget.as_str() {
            "" => None,
            text => {
                let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite() && *s > 0.0);
                Some(seconds.ok_or_else(|| ApiError::argument("X-Budget: not a number of seconds"))?)
            }
        };
        Ok(SearchRequest {
            call,
            customer: customer.unwrap_or(self.bounds.customers.len()),
            again: head.is_retry,
            id: if plain { head.request_id.chars().take(64).collect() } else { String::new() },
            time_budget,
            came,
        })
    }

    pub fn index(&self, index: usize) -> &str {
        &self.bounds.table_types[index]
    }

    /// The query that a search comes to. Its parts weigh the same: which holds more is told nowhere.
    pub fn asked(&self, search: &Search, request: &SearchRequest, request_id: String) -> QueryRequest {
        let segs = routing::segments(&search.routing, self.bounds.segs);
        let weight = 1.0 / segs.len().max(1) as f64;
        let wait = [search.timeout, request.time_budget, Some(self.types[search.index].2)];
        QueryRequest {
            request_id,
            table_type: search.index,
            customer: request.customer,
            deadline: request.came + wait.into_iter().flatten().fold(f64::MAX, f64::min),
            is_retry: request.again,
            parts: segs.into_iter().map(|seg| Part { segment: seg, weight, required_node: None }).collect(),
            text: Payload::Inline(search.text().into()),
        }
    }
}

/// One search of a request, from its query's beginning on.
pub struct ActiveSearch {
    pub request: u64,
    /// Its place among the request's searches.
    place: usize,
    search: Search,
    index: String,
    merge: Merge,
    is_update: bool,
    updated: u64,
    count: bool,
    began: f64,
    /// Why the last attempt of a part brought nothing.
    failures: HashMap<usize, String>,
}

impl ActiveSearch {
    pub fn new(
        door: &SearchApi,
        request: u64,
        place: usize,
        search: &Search,
        call: &Call,
        began: f64,
    ) -> Self {
        let most = search.window();
        Self {
            request,
            place,
            index: door.index(search.index).to_string(),
            merge: Merge::new(&search.sort, most),
            search: search.clone(),
            is_update: matches!(call, Call::Update(_)),
            updated: 0,
            count: matches!(call, Call::Count(_)),
            began,
            failures: HashMap::new(),
        }
    }

    pub fn place(&self) -> usize {
        self.place
    }

    /// A part's value has come: what it found counts, or it is no answer.
    pub fn took(&mut self, seg: usize, value: &str) -> Result<(), String> {
        let expected = Expected {
            index: &self.index,
            most: self.search.window(),
            keys: Some(self.search.sort.len()),
            untracked: self.search.track == Track::No,
        };
        match meaning(200, value.as_bytes(), (!self.is_update).then_some(&expected)) {
            Meaning::Found(found) => self.merge.add(seg, *found),
            Meaning::Updated(count) => self.updated = self.updated.saturating_add(count),
            Meaning::Rejected => return Err("rejected".to_string()),
            Meaning::Failed(why) => {
                self.failures.insert(seg, why.clone());
                return Err(why);
            }
        }
        Ok(())
    }

    /// The answer, from the parts that are in. `segments` are all of them, with whether each is in; `left_out` those that were left out.
    pub fn answer(
        &mut self,
        now: f64,
        whole: bool,
        segs: &[(usize, bool)],
        left_out: &[usize],
    ) -> Result<Answer, ApiError> {
        let took = ((now - self.began).max(0.0) * 1000.0) as u64;
        if self.is_update {
            return if whole {
                Ok(answer::updated(took, self.updated))
            } else {
                Err(ApiError::unknown_outcome())
            };
        }
        let missing = segs.iter().filter(|(seg, is_in)| !is_in && !left_out.contains(seg));
        let why = |seg: &usize| {
            self.failures.get(seg).map_or("not in by the answer's time", String::as_str).to_string()
        };
        let parts = Parts {
            total: segs.len(),
            successful: segs.iter().filter(|(_, is_in)| *is_in).count(),
            skipped: left_out.len(),
            missing: missing.map(|(seg, _)| (*seg, why(seg))).collect(),
            timed_out: !whole,
        };
        let merge = std::mem::replace(&mut self.merge, Merge::new(&[], 0));
        match self.count {
            true => answer::count(&self.index, &parts, &merge),
            false => answer::search(took, &self.index, &self.search, &parts, merge),
        }
    }
}

/// A request whose searches are under way.
pub struct ActiveRequest {
    pub client: usize,
    pub began: f64,
    many: bool,
    outcomes: Vec<Option<Result<Answer, ApiError>>>,
    pub queries: Vec<QueryId>,
    /// The longest wait that one of them was told.
    wait: f64,
}

impl ActiveRequest {
    pub fn new(client: usize, began: f64, call: &Call) -> Self {
        let (many, count) = match call {
            Call::Multi(searches) => (true, searches.len()),
            _ => (false, 1),
        };
        Self { client, began, many, outcomes: vec![None; count], queries: Vec::new(), wait: 0.0 }
    }

    /// One of them is through. With the last comes the whole answer: status, body, and when to come back.
    pub fn done(
        &mut self,
        now: f64,
        place: usize,
        outcome: Result<Answer, ApiError>,
        wait: f64,
    ) -> Option<(u16, String, f64)> {
        self.wait = self.wait.max(wait);
        self.outcomes[place].get_or_insert(outcome);
        if self.outcomes.iter().any(Option::is_none) {
            return None;
        }
        let outcomes: Vec<_> = std::mem::take(&mut self.outcomes).into_iter().flatten().collect();
        if self.many {
            let took = ((now - self.began).max(0.0) * 1000.0) as u64;
            return Some((200, answer::many(took, &outcomes), 0.0));
        }
        match outcomes.into_iter().next()? {
            Ok(answer) => Some((200, answer.into_text(), 0.0)),
            Err(e) => Some((e.status, e.body().to_string(), self.wait)),
        }
    }
}

/// A refusal of the connection's own in the API's form.
pub fn refused(why: &HttpError) -> ApiError {
    let error = match why.status {
        413 => ApiError::too_large(&why.why),
        429 | 503 => ApiError::rejected(&why.why),
        _ => ApiError::argument(&why.why),
    };
    ApiError { status: why.status, ..error }
}
