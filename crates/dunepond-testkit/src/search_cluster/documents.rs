//! The documents of each segment, and a stand-in node's response to a search of one segment.

use serde_json::{Value, json};

use super::SearchNodeBehavior;

/// Number of segments in the broker's settings.
pub const SEGMENT_COUNT: usize = 6;
/// Number of documents in each segment.
pub const DOCUMENTS_PER_SEGMENT: usize = 5;
/// Number of hits that are returned if a search does not state a `size`.
const DEFAULT_SIZE: u64 = 10;

/// Returns the score of a document. All scores differ, and the best documents of each segment are spread over all ranks.
pub fn score(segment: usize, document: usize) -> f64 {
    ((segment * 7 + document * 13) % 31) as f64 + segment as f64 / 100.0
}

/// Returns the ids of all documents, in descending order of score.
pub fn ranked_documents() -> Vec<String> {
    let mut documents = Vec::new();
    for segment in 0..SEGMENT_COUNT {
        for document in 0..DOCUMENTS_PER_SEGMENT {
            documents.push((score(segment, document), format!("{segment}-{document}")));
        }
    }
    documents.sort_by(|a, b| b.0.total_cmp(&a.0));
    documents.into_iter().map(|(_, id)| id).collect()
}

/// Returns a node's JSON response to a search of one segment: the requested hits, and also the fields that an update by query
/// returns, so that one response serves both. `behavior` may spoil the response.
pub(super) fn search_response(segment: usize, request: &str, behavior: SearchNodeBehavior) -> String {
    let request: Value = serde_json::from_str(request).unwrap_or(Value::Null);
    let sorted = request.get("sort").is_some();
    let total = if behavior == SearchNodeBehavior::WrongTotal { 0 } else { DOCUMENTS_PER_SEGMENT };
    let hit = |(score, document): (f64, usize)| {
        let mut hit =
            json!({"_id": format!("{segment}-{document}"), "_score": score, "_source": {"seg": segment}});
        if behavior == SearchNodeBehavior::WrongIndex {
            hit["_index"] = json!("another");
        }
        if sorted {
            hit["sort"] = json!([score]);
        }
        hit
    };
    let hits: Vec<_> = scored_hits(segment, &request, behavior).into_iter().map(hit).collect();
    let response = json!({
        "timed_out": behavior == SearchNodeBehavior::TimedOut,
        "hits": {"total": {"value": total, "relation": "eq"}, "max_score": 31.0, "hits": hits},
        "updated": 1,
        "failures": [],
    });
    let mut text = response.to_string();
    if behavior == SearchNodeBehavior::TruncatedResponse {
        text.truncate(text.len() / 2);
    }
    text
}

/// Returns the score and the number of each document to return, in the requested order.
fn scored_hits(segment: usize, request: &Value, behavior: SearchNodeBehavior) -> Vec<(f64, usize)> {
    let size = request["size"].as_u64().unwrap_or(DEFAULT_SIZE) as usize;
    let mut hits: Vec<_> =
        (0..DOCUMENTS_PER_SEGMENT).map(|document| (score(segment, document), document)).collect();
    hits.sort_by(|a, b| b.0.total_cmp(&a.0));
    // The only sort order that tests request is ascending by score.
    if request.get("sort").is_some() {
        hits.reverse();
    }
    hits.truncate(size);
    if behavior == SearchNodeBehavior::TooManyHits {
        hits = hits.into_iter().cycle().take(size + 1).collect();
    }
    hits
}
