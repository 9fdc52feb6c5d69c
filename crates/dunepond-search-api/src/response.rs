//! What clients are sent. A partial response never looks like a complete one.

use serde::Serialize;
use serde_json::{Value, json};

use crate::error::ApiError;
use crate::hits::{HitDocument, HitMerger};
use crate::request::{Search, TrackTotalHits};

/// The body of a response, one JSON object. Documents stand in it as nodes returned them.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseBody(String);

impl ResponseBody {
    fn serialize(value: &impl Serialize) -> Self {
        // Plain types, and texts that were read as JSON, can always be written.
        Self(serde_json::to_string(value).unwrap_or_default())
    }

    /// The JSON text.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// The JSON text.
    pub fn into_text(self) -> String {
        self.0
    }

    /// With its status, as it stands in the response to an `_msearch`.
    fn with_status(&self, status: u16) -> String {
        let open = self.0.strip_suffix('}').unwrap_or(&self.0);
        format!("{open},\"status\":{status}}}")
    }
}

#[derive(Serialize)]
struct SearchResponse<'a> {
    took: u64,
    timed_out: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    terminated_early: Option<bool>,
    _shards: Value,
    hits: Hits<'a>,
}

#[derive(Serialize)]
struct Hits<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    total: Option<Value>,
    max_score: Option<f64>,
    hits: Vec<HitDocument<'a>>,
}

/// What became of a search's parts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartOutcomes {
    /// How many there are.
    pub total: usize,
    /// Parts with a result.
    pub successful: usize,
    /// Parts left out by the prefilter.
    pub skipped: usize,
    /// All other parts.
    pub missing: Vec<MissingPart>,
    /// The response does not wait for all parts, as the query class allows.
    pub timed_out: bool,
}

/// A part without a result.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingPart {
    /// Its segment.
    pub segment: usize,
    /// Why it has none.
    pub reason: String,
}

impl PartOutcomes {
    fn shards(&self, index: &str) -> Value {
        let failures = self.missing.iter().map(|part| {
            let reason = json!({"type": "unavailable_shards_exception", "reason": part.reason});
            json!({"shard": part.segment, "index": index, "reason": reason})
        });
        let mut shards = json!({
            "total": self.total,
            // In the API a skipped part counts as successful too.
            "successful": self.successful + self.skipped,
            "skipped": self.skipped,
            "failed": self.missing.len(),
        });
        if !self.missing.is_empty() {
            shards["failures"] = failures.collect();
        }
        shards
    }

    fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.successful + self.skipped == self.total
    }
}

/// Fails where some part has no result.
fn require_complete(parts: &PartOutcomes) -> Result<(), ApiError> {
    if parts.is_complete() {
        return Ok(());
    }
    let missing = parts.total - parts.successful - parts.skipped;
    Err(ApiError::shards_failed(format!(
        "{missing} of {} shards are not in, and [allow_partial_search_results] is false",
        parts.total
    )))
}

/// The response to a search.
///
/// # Errors
/// Some part has no result, and the client does not accept a partial response.
pub fn search_response(
    took_ms: u64,
    index: &str,
    search: &Search,
    parts: &PartOutcomes,
    merger: HitMerger,
) -> Result<ResponseBody, ApiError> {
    if !search.allow_partial_results {
        require_complete(parts)?;
    }
    let terminated_early = merger.terminated_early;
    let total = total_hits(search, parts, &merger);
    let max_score = if search.sort.is_empty() { merger.max_score } else { None };
    let hits = merger.into_hits(index, search.from as usize);
    Ok(ResponseBody::serialize(&SearchResponse {
        took: took_ms,
        timed_out: parts.timed_out,
        terminated_early: terminated_early.then_some(true),
        _shards: parts.shards(index),
        hits: Hits { total, max_score, hits },
    }))
}

/// The total, as far as the client asked for it.
fn total_hits(search: &Search, parts: &PartOutcomes, merger: &HitMerger) -> Option<Value> {
    // A part without a result may have more: the total is a lower bound then, whatever the others said of theirs.
    let is_exact = merger.total_is_exact && parts.is_complete() && !merger.terminated_early;
    match search.track_total_hits {
        TrackTotalHits::No => None,
        TrackTotalHits::UpTo(max) if merger.total > max => Some(json!({"value": max, "relation": "gte"})),
        _ => Some(json!({"value": merger.total, "relation": if is_exact { "eq" } else { "gte" }})),
    }
}

/// The response to a count.
///
/// # Errors
/// Some part has no result, or none that is exact: a lower number would look like the right one.
pub fn count_response(
    index: &str,
    parts: &PartOutcomes,
    merger: &HitMerger,
) -> Result<ResponseBody, ApiError> {
    require_complete(parts)?;
    if !merger.total_is_exact {
        return Err(ApiError::shards_failed("a node gave a bound in place of a count"));
    }
    Ok(ResponseBody::serialize(&json!({"count": merger.total, "_shards": parts.shards(index)})))
}

/// The response to an update whose parts have all run once.
pub fn update_response(took_ms: u64, total: u64) -> ResponseBody {
    ResponseBody::serialize(&json!({
        "took": took_ms,
        "timed_out": false,
        "total": total,
        "updated": total,
        "version_conflicts": 0,
        "failures": [],
    }))
}

/// The response to an `_msearch`: one for each of its searches in their order, each with its own status.
pub fn multi_search_response(took_ms: u64, outcomes: &[Result<ResponseBody, ApiError>]) -> String {
    let each = outcomes.iter().map(|outcome| match outcome {
        Ok(body) => body.with_status(200),
        Err(error) => error.body().to_string(),
    });
    format!("{{\"took\":{took_ms},\"responses\":[{}]}}", each.collect::<Vec<_>>().join(","))
}

/// Name and version, as far as tools need them to connect.
pub fn info_response(name: &str, version: &str) -> Value {
    json!({
        "name": name,
        "cluster_name": "dunepond",
        "version": {"distribution": "dunepond", "number": version, "minimum_wire_compatibility_version": version,
            "minimum_index_compatibility_version": version},
        "tagline": "dunepond: a query router",
    })
}

/// The state of the nodes: green with all in service, yellow with some, red with none.
pub fn health_response(nodes: usize, in_service: usize, segments: usize) -> Value {
    let status = match in_service {
        0 => "red",
        some if some < nodes => "yellow",
        _ => "green",
    };
    json!({
        "cluster_name": "dunepond",
        "status": status,
        "timed_out": false,
        "number_of_nodes": nodes,
        "number_of_data_nodes": in_service,
        "active_primary_shards": segments,
        "active_shards": segments,
    })
}
