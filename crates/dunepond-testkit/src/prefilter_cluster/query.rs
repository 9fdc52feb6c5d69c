//! Queries that search segments for a term, and the results that their answers state for each segment.

use std::time::Instant;

use serde_json::{Value, json};

use super::Corpus;
use crate::stand_ins::Response;

/// Returns the HTTP request of a query that searches these segments for a term; `budget` is its time budget, in seconds.
pub fn query_request(query_class: &str, id: &str, segments: &[usize], budget: f64, term: &str) -> String {
    let share = 1.0 / segments.len() as f64;
    let buckets: Vec<_> = segments.iter().map(|segment| json!({"bucket": segment, "part": share})).collect();
    let body = json!({"buckets": buckets, "body": term}).to_string();
    format!(
        "POST /{query_class} HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: {budget}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The results that an answer states for its segments.
#[derive(Debug, Default)]
pub struct SegmentResults {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the answer states that it is complete.
    pub complete: bool,
    /// The segments that were searched.
    pub searched: Vec<usize>,
    /// The segments in which the term was found.
    pub found: Vec<usize>,
    /// The segments that were left out because a probe reported that they cannot match.
    pub pruned: Vec<usize>,
}

/// Extracts the results for each segment from an answer.
pub fn parse_response(answer: &Response) -> SegmentResults {
    let segment = |entry: &Value| entry["bucket"].as_u64().unwrap_or(u64::MAX) as usize;
    let list = |key: &str| answer.body[key].as_array().cloned().unwrap_or_default();
    let found = list("found");
    SegmentResults {
        status: answer.status,
        complete: answer.body["finished"] == json!(true),
        searched: found.iter().map(segment).collect(),
        found: found.iter().filter(|entry| entry["item"] != json!("")).map(segment).collect(),
        pruned: list("left_out").iter().map(segment).collect(),
    }
}

impl SegmentResults {
    /// Returns whether the answer states that it is complete although a requested segment is missing, a segment is counted twice,
    /// or a pruned segment contained the term throughout the time between `from` and `to`.
    pub fn is_falsely_complete(
        &self,
        corpus: &Corpus,
        term: &str,
        segments: &[usize],
        from: Instant,
        to: Instant,
    ) -> bool {
        if self.status != 200 || !self.complete {
            return false;
        }
        let mut covered = [&self.searched[..], &self.pruned[..]].concat();
        covered.sort_unstable();
        let mut requested = segments.to_vec();
        requested.sort_unstable();
        let wrongly_pruned = |segment: &usize| corpus.matched_throughout(*segment, term, from, to);
        covered != requested || self.pruned.iter().any(wrongly_pruned)
    }
}
