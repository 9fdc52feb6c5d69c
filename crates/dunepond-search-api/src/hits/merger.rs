//! Merges what parts found.

use std::cmp::Ordering;

use serde_json::Value;

use super::{Hit, HitDocument, PartResult};
use crate::request::SortKey;

/// The first hits over all parts. It never holds more hits than the response may have.
pub struct HitMerger {
    sort: Vec<SortKey>,
    max_hits: usize,
    first_hits: Vec<MergedHit>,
    /// Documents that match in all parts together.
    pub total: u64,
    /// The total is not just a lower bound.
    pub total_is_exact: bool,
    /// The highest score, where scores count.
    pub max_score: Option<f64>,
    /// Some part stopped early, as the client allowed.
    pub terminated_early: bool,
}

/// A hit and its origin. Among equals the lower segment is first, and within a segment the earlier hit, so that
/// the order in which parts arrive doesn't matter.
#[derive(Clone, Debug)]
struct MergedHit {
    hit: Hit,
    segment: usize,
    position: usize,
}

impl HitMerger {
    /// A merger without hits. Hits are sorted by these keys, or by score where there are none.
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

    /// Adds what the part of a segment found.
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
        // Nodes return hits in order, but this does not depend on it: each is compared with the last one held.
        let is_full = self.first_hits.len() == self.max_hits;
        let last = if is_full { self.first_hits.last().cloned() } else { None };
        for (position, hit) in hits.into_iter().enumerate() {
            let merged = MergedHit { hit, segment, position };
            if last.as_ref().is_none_or(|last| compare_hits(&self.sort, &merged, last).is_lt()) {
                self.first_hits.push(merged);
            }
        }
        if self.first_hits.len() > self.max_hits && self.max_hits > 0 {
            let sort = &self.sort;
            self.first_hits.select_nth_unstable_by(self.max_hits - 1, |a, b| compare_hits(sort, a, b));
        }
        self.first_hits.truncate(self.max_hits);
    }

    /// How many hits are held.
    pub fn hit_count(&self) -> usize {
        self.first_hits.len()
    }

    /// The first hits from a position on, in order.
    pub fn into_hits(mut self, index: &str, from: usize) -> Vec<HitDocument<'_>> {
        let sort = &self.sort;
        self.first_hits.sort_unstable_by(|a, b| compare_hits(sort, a, b));
        let hits = self.first_hits.into_iter().skip(from).map(|merged| merged.hit);
        hits.map(|Hit { id, score, sort, source }| HitDocument { index, id, score, source, sort }).collect()
    }
}

fn compare_hits(sort: &[SortKey], a: &MergedHit, b: &MergedHit) -> Ordering {
    let order =
        if sort.is_empty() { compare_scores(&a.hit, &b.hit) } else { compare_keys(sort, &a.hit, &b.hit) };
    order.then(a.segment.cmp(&b.segment)).then(a.position.cmp(&b.position))
}

/// The higher score is first; a hit without one is last.
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

/// Numbers, then texts, then booleans.
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
