//! The result of one part of a search. A node's response is validated completely before any of it is used. If it is
//! invalid, the part counts as failed, not as a part with fewer hits.

use super::Hit;
use super::raw::{OneHit, RawHits, RawResponse, Total};

/// The result of one part of a search.
#[derive(Clone, Debug)]
pub struct PartResult {
    /// Number of documents that match the query, including those that are not in `hits`.
    pub total: u64,
    /// Whether `total` is exact; otherwise it is a lower bound.
    pub total_is_exact: bool,
    /// The highest score of any matching document; `None` if the node returned none.
    pub max_score: Option<f64>,
    /// The first hits in sort order, as the node returned them.
    pub hits: Vec<Hit>,
    /// Whether the node ended the search of the part's segment early, because of the search's `terminate_after`.
    pub terminated_early: bool,
}

/// Properties that a node's search response must have, according to the request.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedResult<'a> {
    /// Name of the index that was searched.
    pub index: &'a str,
    /// Maximum number of hits in the response.
    pub max_hits: usize,
    /// Number of sort values that each hit must have; `None` skips this check.
    pub sort_keys: Option<usize>,
    /// Whether the response may lack a total, because the client set `track_total_hits` to false.
    pub total_untracked: bool,
}

impl PartResult {
    /// Parses and validates a node's response.
    ///
    /// # Errors
    /// Returns the first reason why the response can't be used.
    pub fn parse(bytes: &[u8], expected: &ExpectedResult) -> Result<Self, String> {
        let response = RawResponse::parse(bytes, expected.max_hits).map_err(|error| error.to_string())?;
        if response.timed_out == Some(true) {
            // The hits found before the timeout are incomplete.
            return Err("timed_out".to_string());
        }
        if let Some(shards) = response.shards.filter(|shards| shards.failed > 0) {
            return Err(format!("_shards.failed: {}", shards.failed));
        }
        let RawHits { total, max_score, hits } = response.hits.ok_or("hits: missing")?;
        let (total, total_is_exact) = read_total(total, expected)?;
        if total_is_exact && total < hits.len() as u64 {
            return Err(format!("hits.total.value: {total} is less than there are hits ({})", hits.len()));
        }
        let hits = hits.into_iter().map(|hit| check_hit(hit, expected)).collect::<Result<_, String>>()?;
        let terminated_early = response.terminated_early == Some(true);
        Ok(Self { total, total_is_exact, max_score, hits, terminated_early })
    }
}

/// Returns the total number of hits and whether it is exact. If the response may lack a total and does, returns 0,
/// which is a lower bound.
fn read_total(total: Option<Total>, expected: &ExpectedResult) -> Result<(u64, bool), String> {
    let Some(total) = total else {
        return if expected.total_untracked {
            Ok((0, false))
        } else {
            Err("hits.total: missing".to_string())
        };
    };
    match total.relation.as_deref() {
        None | Some("eq") => Ok((total.value, true)),
        Some("gte") => Ok((total.value, false)),
        Some(_) => Err("hits.total.relation: expected eq or gte".to_string()),
    }
}

/// Validates a hit's index and its sort values.
fn check_hit(hit: OneHit, expected: &ExpectedResult) -> Result<Hit, String> {
    let OneHit { index, id, score, sort, source } = hit;
    if index.is_some_and(|index| index != expected.index) {
        return Err(format!("hits.hits._index: of another index, expected {}", expected.index));
    }
    if let Some(keys) = expected.sort_keys.filter(|keys| *keys != sort.len()) {
        return Err(format!("hits.hits.sort: {} keys where {keys} were expected", sort.len()));
    }
    if sort.iter().any(|key| key.is_array() || key.is_object()) {
        return Err("hits.hits.sort: a sort value is a list or an object, which can't be ordered".to_string());
    }
    Ok(Hit { id, score, sort, source })
}
