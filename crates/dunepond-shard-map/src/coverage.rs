//! Checks that the answered parts of a query cover its keys exactly once under one map; only then is the answer complete.

use serde::{Deserialize, Serialize};

use crate::fault::{MapFault, SegmentRef};
use crate::{KEY_SPACE_END, KeyRange, VerifiedMap};

/// The keys that a node reports as answered for one part of a query (the share of the query for one segment).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AnsweredPart {
    /// Id of the segment that the part belongs to.
    pub segment: u64,
    /// Answered keys: all keys of the segment, or some of them.
    pub keys: KeyRange,
    /// Epoch of the map that the node used for the answer.
    pub epoch: u64,
}

impl From<&AnsweredPart> for SegmentRef {
    fn from(part: &AnsweredPart) -> Self {
        Self { id: part.segment, keys: part.keys }
    }
}

/// Verifies that `parts` cover the keys of `queried` exactly once and no other keys, and that all parts have the epoch
/// of `map`. Queried ranges may touch or overlap; they count as one set of keys. Returns the first fault found: an
/// empty queried range, then a fault of a single part in the order of `parts`, then keys that two parts cover, then
/// missing or excess keys. Faults of the last two kinds are found in the order of the keys.
pub fn verify_coverage(
    map: &VerifiedMap,
    queried: &[KeyRange],
    parts: &[AnsweredPart],
) -> Result<(), MapFault> {
    if let Some(keys) = queried.iter().find(|keys| keys.is_empty()) {
        return Err(MapFault::QueryEmpty { keys: *keys });
    }
    parts.iter().try_for_each(|part| check_part(map, part))?;
    let mut parts: Vec<_> = parts.iter().map(SegmentRef::from).collect();
    parts.sort_by_key(|part| (part.keys.from, part.keys.end(), part.id));
    for pair in parts.windows(2) {
        if let Some(keys) = pair[0].keys.intersection(&pair[1].keys) {
            return Err(MapFault::CoveredTwice { keys, first: pair[0], second: pair[1] });
        }
    }
    check_cover(&union(queried), parts)
}

/// Checks in one pass that `parts` cover exactly the keys of `queried`. Both lists must be ordered by key and have no
/// overlaps.
fn check_cover(queried: &[KeyRange], parts: Vec<SegmentRef>) -> Result<(), MapFault> {
    let mut remaining = parts.into_iter().peekable();
    let mut before = None;
    for (index, range) in queried.iter().enumerate() {
        let mut covered_to = u128::from(range.from);
        while covered_to < range.end() {
            let after = remaining.peek().copied();
            let from = after.map_or(KEY_SPACE_END, |part| part.keys.from.into()).min(range.end());
            if from > covered_to {
                let keys = KeyRange::between(covered_to, from);
                return Err(MapFault::NotCovered { keys, before, after });
            }
            let Some(part) = remaining.next() else { break };
            if from < covered_to {
                let keys = KeyRange::between(from, covered_to.min(part.keys.end()));
                return Err(MapFault::NotQueried { keys, part });
            }
            if part.keys.end() > range.end() {
                let next = queried.get(index + 1).map_or(KEY_SPACE_END, |next| next.from.into());
                let keys = KeyRange::between(range.end(), part.keys.end().min(next));
                return Err(MapFault::NotQueried { keys, part });
            }
            covered_to = part.keys.end();
            before = Some(part);
        }
    }
    match remaining.next() {
        Some(part) => Err(MapFault::NotQueried { keys: part.keys, part }),
        None => Ok(()),
    }
}

/// Checks a single part: it must have the map's epoch and at least one key, and all its keys must be keys of its
/// segment.
fn check_part(map: &VerifiedMap, answered: &AnsweredPart) -> Result<(), MapFault> {
    let part = SegmentRef::from(answered);
    if answered.epoch != map.epoch() {
        return Err(MapFault::OtherEpoch { part, epoch: answered.epoch, expected: map.epoch() });
    }
    if part.keys.is_empty() {
        return Err(MapFault::PartEmpty { part });
    }
    let keys = map.segment(part.id).map(|segment| segment.keys);
    if keys.and_then(|keys| keys.intersection(&part.keys)) != Some(part.keys) {
        return Err(MapFault::PartOutside { part, keys });
    }
    Ok(())
}

/// Returns the union of the ranges as ordered ranges that neither overlap nor touch.
fn union(ranges: &[KeyRange]) -> Vec<KeyRange> {
    let mut sorted = ranges.to_vec();
    sorted.sort_by_key(|range| range.from);
    let mut union: Vec<KeyRange> = Vec::new();
    for range in sorted {
        match union.last_mut() {
            Some(last) if last.end() >= range.from.into() => {
                *last = KeyRange::between(last.from.into(), last.end().max(range.end()));
            }
            _ => union.push(range),
        }
    }
    union
}
