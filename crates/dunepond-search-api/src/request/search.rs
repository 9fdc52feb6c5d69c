//! A search, and the one form in which nodes are sent it.

use serde_json::{Map, Value, json};

use crate::query::Query;

const DEFAULT_SIZE: u64 = 10;
const DEFAULT_TRACKED_HITS: u64 = 10_000;

/// One key of a sort order.
#[derive(Clone, Debug, PartialEq)]
pub struct SortKey {
    /// A field, `_score` or `_doc`.
    pub field: String,
    /// The largest value comes first.
    pub descending: bool,
    /// Hits without a value come first.
    pub missing_first: bool,
}

/// How far totals are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrackTotalHits {
    /// Not at all.
    No,
    /// However many there are.
    Exactly,
    /// A larger total is given as this lower bound.
    UpTo(u64),
}

/// Which part of each hit's document is returned.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceFilter {
    /// All of it.
    All,
    /// Nothing.
    None,
    /// Some fields.
    Fields {
        /// Names of the fields that are returned; all where there are none.
        includes: Vec<String>,
        /// Names of the fields that are not.
        excludes: Vec<String>,
    },
}

/// A search, a count or an update of one index.
#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    /// Position of the index among those that are served.
    pub index: usize,
    /// What hits match.
    pub query: Query,
    /// How many of the first hits are left out.
    pub from: u64,
    /// How many hits are returned.
    pub size: u64,
    /// The order of hits; by score where there are no keys.
    pub sort: Vec<SortKey>,
    /// Which part of each document is returned.
    pub source: SourceFilter,
    /// How long the client says that it will wait.
    pub timeout_seconds: Option<f64>,
    /// How far totals are counted.
    pub track_total_hits: TrackTotalHits,
    /// Hits of one part after which it may stop.
    pub terminate_after: Option<u64>,
    /// The client accepts a response from some of the parts.
    pub allow_partial_results: bool,
    /// Values that select segments; all segments are searched where there are none.
    pub routing: Vec<String>,
}

impl Search {
    /// A search of an index that says nothing more.
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

    /// How many hits each part has to return: any of them may be among the first of all.
    pub fn result_window(&self) -> usize {
        (self.from + self.size) as usize
    }

    /// The JSON that nodes are sent: equal searches are equal texts, however the client has written them.
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
