//! Merges the results of all parts of a search. A part is the share of the search for one segment, sent to one replica.

use std::cmp::Ordering;

use serde_json::Value;

use super::{Hit, HitDocument, PartResult};
use crate::request::SortKey;

/// Merges the results of parts into the first hits of the whole search. Keeps at most as many hits as the response may
/// need.
pub struct HitMerger {
    sort: Vec<SortKey>,
    max_hits: usize,
    first_hits: Vec<MergedHit>,
    /// Number of matching documents, summed over the part results that were added.
    pub total: u64,
    /// Whether `total` is exact; otherwise it is a lower bound.
    pub total_is_exact: bool,
    /// The highest score of any hit; `None` if no part returned a score.
    pub max_score: Option<f64>,
    /// Whether a node ended the search of some part's segment early, because of the search's `terminate_after`.
    pub terminated_early: bool,
}

/// A hit with its segment and its position in that segment's result. Both break ties in the sort order, so that the
/// merged order doesn't depend on the order in which parts arrive.
#[derive(Clone, Debug)]
struct MergedHit {
    hit: Hit,
    segment: usize,
    position: usize,
}

impl HitMerger {
    /// Creates an empty merger that keeps at most `max_hits` hits. They are sorted by the keys in `sort`, or by score
    /// if `sort` is empty.
    pub fn new(sort: &[SortKey], max_hits: usize) -> Self {
        Self {
            sort: sort.to_vec(),
            max_hits,
            first_hits: Vec::new(),
            total: 0,
            total_is_exact: true,
            max_score: None,
            terminated_early: false,
        }
    }

    /// Adds the result of the part of the search for one segment.
    pub fn add(&mut self, segment: usize, result: PartResult) {
        self.total = self.total.saturating_add(result.total);
        self.total_is_exact &= result.total_is_exact;
        self.terminated_early |= result.terminated_early;
        self.max_score = match (self.max_score, result.max_score) {
            (Some(a), Some(b)) => Some(a.max(b)),
            (a, b) => a.or(b),
        };
        self.add_hits(segment, result.hits);
    }

    fn add_hits(&mut self, segment: usize, hits: Vec<Hit>) {
        // Nodes return sorted hits, but this code doesn't rely on it: every hit is compared with the worst one that is
        // kept, which is the last one once the window is full.
        let kept = self.first_hits.len();
        let worst = if kept == self.max_hits { self.first_hits.last().cloned() } else { None };
        for (position, hit) in hits.into_iter().enumerate() {
            let merged = MergedHit { hit, segment, position };
            if worst.as_ref().is_none_or(|worst| compare_hits(&self.sort, &merged, worst).is_lt()) {
                self.first_hits.push(merged);
            }
        }
        let has_new_hits = self.first_hits.len() > kept;
        if has_new_hits && self.first_hits.len() >= self.max_hits && self.max_hits > 0 {
            let sort = &self.sort;
            self.first_hits.select_nth_unstable_by(self.max_hits - 1, |a, b| compare_hits(sort, a, b));
        }
        self.first_hits.truncate(self.max_hits);
    }

    /// Number of hits that the merger has kept so far.
    pub fn hit_count(&self) -> usize {
        self.first_hits.len()
    }

    /// Returns the merged hits in sort order as documents of `index`, without the first `from` hits.
    pub fn into_hits(mut self, index: &str, from: usize) -> Vec<HitDocument<'_>> {
        let sort = &self.sort;
        self.first_hits.sort_unstable_by(|a, b| compare_hits(sort, a, b));
        let hits = self.first_hits.into_iter().skip(from).map(|merged| merged.hit);
        hits.map(|Hit { id, score, sort, source }| HitDocument { index, id, score, source, sort }).collect()
    }
}

/// Orders hits by sort keys or score, then by segment, then by position in the segment's result.
fn compare_hits(sort: &[SortKey], a: &MergedHit, b: &MergedHit) -> Ordering {
    let order =
        if sort.is_empty() { compare_scores(&a.hit, &b.hit) } else { compare_keys(sort, &a.hit, &b.hit) };
    order.then(a.segment.cmp(&b.segment)).then(a.position.cmp(&b.position))
}

/// Orders hits by descending score; a hit without a score comes last.
fn compare_scores(a: &Hit, b: &Hit) -> Ordering {
    let score = |hit: &Hit| hit.score.unwrap_or(f64::NEG_INFINITY);
    score(b).total_cmp(&score(a))
}

fn compare_keys(sort: &[SortKey], a: &Hit, b: &Hit) -> Ordering {
    let mut order = Ordering::Equal;
    for (key, (a, b)) in sort.iter().zip(a.sort.iter().zip(&b.sort)) {
        order = order.then_with(|| compare_key(key, a, b));
    }
    order
}

fn compare_key(key: &SortKey, a: &Value, b: &Value) -> Ordering {
    match (a.is_null(), b.is_null()) {
        (true, true) => Ordering::Equal,
        (true, false) if key.missing_first => Ordering::Less,
        (true, false) => Ordering::Greater,
        (false, true) if key.missing_first => Ordering::Greater,
        (false, true) => Ordering::Less,
        (false, false) if key.descending => compare_values(b, a),
        (false, false) => compare_values(a, b),
    }
}

/// Orders sort values: numbers before strings before booleans, and values of one type by their natural order.
fn compare_values(a: &Value, b: &Value) -> Ordering {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) => match (a.as_i64(), b.as_i64()) {
            (Some(a), Some(b)) => a.cmp(&b),
            _ => a.as_f64().unwrap_or(f64::NAN).total_cmp(&b.as_f64().unwrap_or(f64::NAN)),
        },
        (Value::String(a), Value::String(b)) => a.cmp(b),
        (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
        _ => type_rank(a).cmp(&type_rank(b)),
    }
}

fn type_rank(value: &Value) -> u8 {
    match value {
        Value::Number(_) => 0,
        Value::String(_) => 1,
        Value::Bool(_) => 2,
        _ => 3,
    }
}
