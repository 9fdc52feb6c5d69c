//! The documents of each segment and a node's answer to a search of one.

use serde_json::{Value, json};

use super::SearchNodeBehavior;

/// Segments of the settings.
pub const SEGMENT_COUNT: usize = 6;
/// Documents of each segment.
pub const DOCUMENTS_PER_SEGMENT: usize = 5;
/// Hits that are returned where a search names no size.
const DEFAULT_SIZE: u64 = 10;

/// How well a document matches: no two alike, and the best of each segment spread over all ranks.
pub fn score(segment: usize, document: usize) -> f64 {
    ((segment * 7 + document * 13) % 31) as f64 + segment as f64 / 100.0
}

/// The ids of all documents, the best first.
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

/// A node's document: hits as they were asked for, and beside them what an update answers.
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
    if behavior == SearchNodeBehavior::TruncatedDocument {
        text.truncate(text.len() / 2);
    }
    text
}

/// Scores and numbers of the documents to be returned, in their order.
fn scored_hits(segment: usize, request: &Value, behavior: SearchNodeBehavior) -> Vec<(f64, usize)> {
    let size = request["size"].as_u64().unwrap_or(DEFAULT_SIZE) as usize;
    let mut hits: Vec<_> =
        (0..DOCUMENTS_PER_SEGMENT).map(|document| (score(segment, document), document)).collect();
    hits.sort_by(|a, b| b.0.total_cmp(&a.0));
    // The one order that is asked for beside the usual is the other way round.
    if request.get("sort").is_some() {
        hits.reverse();
    }
    hits.truncate(size);
    if behavior == SearchNodeBehavior::TooManyHits {
        hits = hits.into_iter().cycle().take(size + 1).collect();
    }
    hits
}
