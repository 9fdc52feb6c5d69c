//! Builds responses to clients. A partial response is always marked as partial.

use serde::Serialize;
use serde_json::{Value, json};

use crate::error::ApiError;
use crate::hits::{HitDocument, HitMerger};
use crate::request::{Search, TrackTotalHits};

/// The body of a response: a JSON object. It contains documents unchanged, as nodes returned them.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseBody(String);

impl ResponseBody {
    fn serialize(value: &impl Serialize) -> Self {
        // Can't fail: the values are plain types and JSON text that was parsed before.
        Self(serde_json::to_string(value).unwrap_or_default())
    }

    /// Borrows the JSON text of the body.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Returns the JSON text of the body.
    pub fn into_text(self) -> String {
        self.0
    }

    /// The JSON text with the HTTP status added as a field, as an `_msearch` response contains it.
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

/// Outcomes of the parts of a search.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartOutcomes {
    /// Number of parts.
    pub total: usize,
    /// Number of parts that returned a result.
    pub successful: usize,
    /// Number of parts that the prefilter skipped.
    pub skipped: usize,
    /// Parts that are neither successful nor skipped.
    pub missing: Vec<MissingPart>,
    /// Whether the answer is not complete: it was sent before enough parts had finished, which the query class may
    /// allow, or the shard map changed during the search.
    pub timed_out: bool,
}

/// A part that returned no result.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingPart {
    /// The segment that the part searches.
    pub segment: usize,
    /// Why the part has no result.
    pub reason: String,
}

impl PartOutcomes {
    /// The `_shards` object of a response.
    fn shards(&self, index: &str) -> Value {
        let failures = self.missing.iter().map(|part| {
            let reason = json!({"type": "unavailable_shards_exception", "reason": part.reason});
            json!({"shard": part.segment, "index": index, "reason": reason})
        });
        let mut shards = json!({
            "total": self.total,
            // The API counts skipped parts as successful too.
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
        !self.timed_out && self.missing.is_empty() && self.successful + self.skipped == self.total
    }
}

/// Fails if the answer is not complete, or a part that was not skipped has no result.
fn require_complete(parts: &PartOutcomes) -> Result<(), ApiError> {
    if parts.is_complete() {
        return Ok(());
    }
    let missing = parts.total - parts.successful - parts.skipped;
    let what = match missing {
        0 => "the shards changed during the search, so its result is not complete".to_string(),
        _ => format!("{missing} of {} shards have no result", parts.total),
    };
    Err(ApiError::shards_failed(format!("{what}, and [allow_partial_search_results] is false")))
}

/// Builds the response to a search.
///
/// # Errors
/// Fails if the answer is not complete and the client does not accept partial results.
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

/// The `hits.total` object of a response, counted as far as the client requested; `None` if the client requested no
/// total.
fn total_hits(search: &Search, parts: &PartOutcomes, merger: &HitMerger) -> Option<Value> {
    // A part without a result may have more hits, which makes the total a lower bound even if all other totals are exact.
    let is_exact = merger.total_is_exact && parts.is_complete() && !merger.terminated_early;
    match search.track_total_hits {
        TrackTotalHits::No => None,
        TrackTotalHits::UpTo(max) if merger.total > max => Some(json!({"value": max, "relation": "gte"})),
        _ => Some(json!({"value": merger.total, "relation": if is_exact { "eq" } else { "gte" }})),
    }
}

/// Builds the response to a count.
///
/// # Errors
/// Fails if the answer is not complete or a part has no exact total, because the client could not tell a lower bound
/// from an exact count.
pub fn count_response(
    index: &str,
    parts: &PartOutcomes,
    merger: &HitMerger,
) -> Result<ResponseBody, ApiError> {
    require_complete(parts)?;
    if !merger.total_is_exact {
        return Err(ApiError::shards_failed("a node returned a lower bound instead of an exact count"));
    }
    Ok(ResponseBody::serialize(&json!({"count": merger.total, "_shards": parts.shards(index)})))
}

/// Builds the response to an update of which every part has run exactly once.
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

/// Builds the response to an `_msearch`: the responses to its searches in their order, each with its own status.
pub fn multi_search_response(took_ms: u64, outcomes: &[Result<ResponseBody, ApiError>]) -> String {
    let responses = outcomes.iter().map(|outcome| match outcome {
        Ok(body) => body.with_status(200),
        Err(error) => error.body().to_string(),
    });
    format!("{{\"took\":{took_ms},\"responses\":[{}]}}", responses.collect::<Vec<_>>().join(","))
}

/// Builds the response to a request for the name and version of the service. It has the fields that client tools need
/// to connect.
pub fn info_response(name: &str, version: &str) -> Value {
    json!({
        "name": name,
        "cluster_name": "dunepond",
        "version": {"distribution": "dunepond", "number": version, "minimum_wire_compatibility_version": version,
            "minimum_index_compatibility_version": version},
        "tagline": "dunepond: a query router",
    })
}

/// Builds the response to a request for the state of the nodes: green if all nodes are in service, yellow if some are,
/// red if none is.
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
