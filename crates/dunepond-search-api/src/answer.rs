//! What clients hear, in the API's words. An answer that is not whole never looks like one that is.

use serde::Serialize;
use serde_json::{Value, json};

use crate::error::ApiError;
use crate::hits::{Merge, Written};
use crate::request::{Search, Track};

/// An answer's text, one JSON object: what hits are about goes into it as the nodes gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer(String);

impl Answer {
    fn of(value: &impl Serialize) -> Self {
        // Plain types and texts that were read as JSON: there is nothing that could not be written.
        Self(serde_json::to_string(value).unwrap_or_default())
    }

    pub fn text(&self) -> &str {
        &self.0
    }

    pub fn into_text(self) -> String {
        self.0
    }

    /// With its status, as one of many has it.
    fn with_status(&self, status: u16) -> String {
        let open = self.0.strip_suffix('}').unwrap_or(&self.0);
        format!("{open},\"status\":{status}}}")
    }
}

#[derive(Serialize)]
struct Searched<'a> {
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
    hits: Vec<Written<'a>>,
}

/// What became of a search's parts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parts {
    pub total: usize,
    /// Searched; left out on evidence; and the rest, each with why it is not in.
    pub successful: usize,
    pub skipped: usize,
    pub missing: Vec<(usize, String)>,
    /// The answer was given before all could come, as its table type allows.
    pub timed_out: bool,
}

impl Parts {
    fn shards(&self, index: &str) -> Value {
        let failures = self.missing.iter().map(|(seg, why)| {
            json!({"shard": seg, "index": index, "reason": {"type": "unavailable_shards_exception", "reason": why}})
        });
        let mut shards = json!({
            "total": self.total,
            // In the API's words what was skipped counts as a success too.
            "successful": self.successful + self.skipped,
            "skipped": self.skipped,
            "failed": self.missing.len(),
        });
        if !self.missing.is_empty() {
            shards["failures"] = failures.collect();
        }
        shards
    }

    fn is_whole(&self) -> bool {
        self.missing.is_empty() && self.successful + self.skipped == self.total
    }
}

/// Why a client who will have all or nothing has nothing.
fn refused(parts: &Parts) -> Option<ApiError> {
    let missing = parts.total - parts.successful - parts.skipped;
    let words = format!(
        "{missing} of {} shards are not in, and [allow_partial_search_results] is false",
        parts.total
    );
    (!parts.is_whole()).then(|| ApiError::shards_failed(words))
}

/// The answer to a search, from what was merged of its parts.
pub fn search(
    took_ms: u64,
    index: &str,
    search: &Search,
    parts: &Parts,
    merge: Merge,
) -> Result<Answer, ApiError> {
    if !search.allow_partial
        && let Some(refused) = refused(parts)
    {
        return Err(refused);
    }
    let (total, exact, max_score, terminated) = (merge.total, merge.exact, merge.max_score, merge.terminated);
    // What is missing may hold more: the total is a bound then, whatever the parts said of theirs.
    let exact = exact && parts.is_whole() && !terminated;
    let total = match search.track {
        Track::No => None,
        Track::UpTo(most) if total > most => Some(json!({"value": most, "relation": "gte"})),
        _ => Some(json!({"value": total, "relation": if exact { "eq" } else { "gte" }})),
    };
    let max_score = max_score.filter(|_| search.sort.is_empty());
    let hits = merge.hits(index, search.from as usize);
    Ok(Answer::of(&Searched {
        took: took_ms,
        timed_out: parts.timed_out,
        terminated_early: terminated.then_some(true),
        _shards: parts.shards(index),
        hits: Hits { total, max_score, hits },
    }))
}

/// The answer to a count. It is of all parts or none: a lower number would look like one that is right.
pub fn count(index: &str, parts: &Parts, merge: &Merge) -> Result<Answer, ApiError> {
    match refused(parts) {
        Some(refused) => Err(refused),
        None if !merge.exact => Err(ApiError::shards_failed("a node gave a bound in place of a count")),
        None => Ok(Answer::of(&json!({"count": merge.total, "_shards": parts.shards(index)}))),
    }
}

/// The answer to an update whose parts have all run, once each.
pub fn updated(took_ms: u64, total: u64) -> Answer {
    Answer::of(&json!({
        "took": took_ms,
        "timed_out": false,
        "total": total,
        "updated": total,
        "version_conflicts": 0,
        "failures": [],
    }))
}

/// All answers of an `_msearch`, in the order of its searches, each with its own status.
pub fn many(took_ms: u64, outcomes: &[Result<Answer, ApiError>]) -> String {
    let each = outcomes.iter().map(|outcome| match outcome {
        Ok(answer) => answer.with_status(200),
        Err(e) => e.body().to_string(),
    });
    format!("{{\"took\":{took_ms},\"responses\":[{}]}}", each.collect::<Vec<_>>().join(","))
}

/// Who is there, as far as tools need it to connect.
pub fn info(name: &str, version: &str) -> Value {
    json!({
        "name": name,
        "cluster_name": "dunepond",
        "version": {"distribution": "dunepond", "number": version, "minimum_wire_compatibility_version": version,
            "minimum_index_compatibility_version": version},
        "tagline": "dunepond: a query router",
    })
}

/// What is known of the nodes: green with all in service, yellow with some, red with none.
pub fn health(nodes: usize, in_service: usize, segments: usize) -> Value {
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
