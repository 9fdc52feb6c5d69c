//! A parsed search, and the request body in which it is sent to nodes.

use serde_json::{Map, Value, json};

use crate::query::Query;

const DEFAULT_SIZE: u64 = 10;
const DEFAULT_TRACKED_HITS: u64 = 10_000;

/// One key of a sort order.
#[derive(Clone, Debug, PartialEq)]
pub struct SortKey {
    /// Name of a field, or `_score` or `_doc`.
    pub field: String,
    /// Whether the largest value comes first.
    pub descending: bool,
    /// Whether hits without a value come first.
    pub missing_first: bool,
}

/// How far the total number of hits is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrackTotalHits {
    /// The total is not counted.
    No,
    /// The exact total is counted.
    Exactly,
    /// The total is counted up to this number; a larger total is returned as this number with the relation `gte`.
    UpTo(u64),
}

/// Which fields of each hit's document are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceFilter {
    /// The whole document is returned.
    All,
    /// Nothing of the document is returned.
    None,
    /// Some fields of the document are returned.
    Fields {
        /// Names of the fields that are returned; an empty list means all fields.
        includes: Vec<String>,
        /// Names of the fields that are left out.
        excludes: Vec<String>,
    },
}

/// A search, a count or an update of one index.
#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    /// Position of the index in the list of served indices.
    pub index: usize,
    /// The query that hits must match.
    pub query: Query,
    /// Number of hits to skip, counted from the first.
    pub from: u64,
    /// Maximum number of hits to return.
    pub size: u64,
    /// Keys by which hits are sorted; an empty list sorts them by score.
    pub sort: Vec<SortKey>,
    /// Which fields of each hit's document are returned.
    pub source: SourceFilter,
    /// Time that the client is willing to wait, in seconds; `None` if the client states none.
    pub timeout_seconds: Option<f64>,
    /// How far the total number of hits is counted.
    pub track_total_hits: TrackTotalHits,
    /// Number of hits after which a node may end the search of a part's segment early; `None` for no limit.
    pub terminate_after: Option<u64>,
    /// Whether the client accepts a response that lacks the results of some parts.
    pub allow_partial_results: bool,
    /// Routing values, which select segments; an empty list selects all segments.
    pub routing: Vec<String>,
}

impl Search {
    /// Creates a search for all documents of an index, with the API's defaults.
    pub(super) fn match_all(index: usize) -> Self {
        Self {
            index,
            query: Query::MatchAll,
            from: 0,
            size: DEFAULT_SIZE,
            sort: Vec::new(),
            source: SourceFilter::All,
            timeout_seconds: None,
            track_total_hits: TrackTotalHits::UpTo(DEFAULT_TRACKED_HITS),
            terminate_after: None,
            allow_partial_results: true,
            routing: Vec::new(),
        }
    }

    /// Number of hits that each part must return: `from + size`, because the first `from + size` hits of the whole search
    /// may all come from the same part. A part is the share of the search for one segment.
    pub fn result_window(&self) -> usize {
        (self.from + self.size) as usize
    }

    /// The JSON body of the request to a node. Equal searches have equal bodies, however the client wrote them.
    pub fn node_request_body(&self) -> String {
        let mut body = json!({"query": self.query.normalized(), "from": 0, "size": self.result_window()});
        if !self.sort.is_empty() {
            body["sort"] = self.sort.iter().map(SortKey::normalized).collect();
        }
        match &self.source {
            SourceFilter::All => {}
            SourceFilter::None => body["_source"] = json!(false),
            SourceFilter::Fields { includes, excludes } => {
                body["_source"] = json!({"includes": includes, "excludes": excludes});
            }
        }
        body["track_total_hits"] = match self.track_total_hits {
            TrackTotalHits::No => json!(false),
            TrackTotalHits::Exactly => json!(true),
            TrackTotalHits::UpTo(max) => json!(max),
        };
        if let Some(terminate_after) = self.terminate_after {
            body["terminate_after"] = json!(terminate_after);
        }
        body.to_string()
    }
}

impl SortKey {
    fn normalized(&self) -> Value {
        let order = if self.descending { "desc" } else { "asc" };
        let missing = if self.missing_first { "_first" } else { "_last" };
        let options = match self.field.as_str() {
            "_score" | "_doc" => json!({"order": order}),
            _ => json!({"order": order, "missing": missing}),
        };
        Value::Object(Map::from_iter([(self.field.clone(), options)]))
    }
}
