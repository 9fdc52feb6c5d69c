//! What one part found. A node's response is checked as a whole before anything of it counts: one that is invalid is a part
//! that failed, not one that found less.

use super::Hit;
use super::raw::{OneHit, RawHits, RawResponse, Total};

/// What one part found.
#[derive(Clone, Debug)]
pub struct PartResult {
    /// How many documents match.
    pub total: u64,
    /// The total is not just a lower bound.
    pub total_is_exact: bool,
    /// The highest score, where scores count.
    pub max_score: Option<f64>,
    /// The first hits.
    pub hits: Vec<Hit>,
    /// It stopped early, as the client allowed.
    pub terminated_early: bool,
}

/// What a node was asked for, which its response must fit.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedResult<'a> {
    /// Name of the index.
    pub index: &'a str,
    /// Most hits that it may have.
    pub max_hits: usize,
    /// How many sort keys each hit has, where that is known.
    pub sort_keys: Option<usize>,
    /// The response may come without a total.
    pub total_untracked: bool,
}

impl PartResult {
    /// Parses a node's response.
    ///
    /// # Errors
    /// The first reason for which it cannot be used.
    pub fn parse(bytes: &[u8], expected: &ExpectedResult) -> Result<Self, String> {
        let response = RawResponse::parse(bytes, expected.max_hits).map_err(|error| error.to_string())?;
        if response.timed_out == Some(true) {
            // What was found by then is not all that the part has.
            return Err("timed_out".to_string());
        }
        if let Some(shards) = response.shards.filter(|shards| shards.failed > 0) {
            return Err(format!("_shards.failed: {}", shards.failed));
        }
        let RawHits { total, max_score, hits } = response.hits.ok_or("hits: missing")?;
        let (total, total_is_exact) = read_total(total, expected)?;
        if total_is_exact && total < hits.len() as u64 {
            return Err("hits.total.value: less than there are hits".to_string());
        }
        let hits = hits.into_iter().map(|hit| check_hit(hit, expected)).collect::<Result<_, String>>()?;
        let terminated_early = response.terminated_early == Some(true);
        Ok(Self { total, total_is_exact, max_score, hits, terminated_early })
    }
}

/// The total, and whether it is exact.
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
        Some(_) => Err("hits.total.relation: neither eq nor gte".to_string()),
    }
}

fn check_hit(hit: OneHit, expected: &ExpectedResult) -> Result<Hit, String> {
    let OneHit { index, id, score, sort, source } = hit;
    if index.is_some_and(|index| index != expected.index) {
        return Err("hits.hits._index: of another index".to_string());
    }
    if let Some(keys) = expected.sort_keys.filter(|keys| *keys != sort.len()) {
        return Err(format!("hits.hits.sort: {} keys where {keys} were asked for", sort.len()));
    }
    if sort.iter().any(|key| key.is_array() || key.is_object()) {
        return Err("hits.hits.sort: a key that has no order".to_string());
    }
    Ok(Hit { id, score, sort, source })
}
