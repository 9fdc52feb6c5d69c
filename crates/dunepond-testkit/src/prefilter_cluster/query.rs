//! Queries for a term, and what their answers say segment by segment.

use std::time::Instant;

use serde_json::{Value, json};

use super::Corpus;
use crate::stand_ins::Answer;

/// The text of a query of these segments for a term; `budget` is the time that the client gives it, in seconds.
pub fn query_request(query_class: &str, id: &str, segments: &[usize], budget: f64, term: &str) -> String {
    let share = 1.0 / segments.len() as f64;
    let buckets: Vec<_> = segments.iter().map(|segment| json!({"bucket": segment, "part": share})).collect();
    let body = json!({"buckets": buckets, "body": term}).to_string();
    format!(
        "POST /{query_class} HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: {budget}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What an answer says, segment by segment.
#[derive(Debug, Default)]
pub struct SegmentResults {
    /// The status code.
    pub status: u16,
    /// Whether the answer calls itself complete.
    pub complete: bool,
    /// Segments that were searched.
    pub searched: Vec<usize>,
    /// Segments in which something was found.
    pub found: Vec<usize>,
    /// Segments that the prefilter left out.
    pub pruned: Vec<usize>,
}

/// Reads an answer.
pub fn parse_answer(answer: &Answer) -> SegmentResults {
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
    /// Whether it says complete and is not: a segment is missing, counted twice, or pruned though it matched all the while
    /// between these times.
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
        let pruned_falsely = |segment: &usize| corpus.matched_throughout(*segment, term, from, to);
        covered != requested || self.pruned.iter().any(pruned_falsely)
    }
}
