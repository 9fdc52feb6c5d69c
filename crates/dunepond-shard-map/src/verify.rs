//! Verification of a single map: every key is in exactly one segment, and every segment satisfies the constraints. Takes linear
//! time after sorting.

use std::sync::Arc;

use crate::digest::{DigestSum, KEY_HASH};
use crate::fault::{MapFault, SegmentRef};
use crate::segment_rules::{SegmentRules, context};
use crate::{KEY_SPACE_END, KeyRange, MapConstraints, Node, Segment, ShardMap, VerifiedMap};

/// Verifies `map`, or returns all its faults. If `nodes` is empty, these checks are skipped: that the nodes of the
/// replicas exist, are in enough zones, have the stated partners and are not draining (shutting down).
pub fn verify(
    map: &ShardMap,
    nodes: &[Node],
    constraints: &MapConstraints,
) -> Result<VerifiedMap, Vec<MapFault>> {
    verify_owned(map.clone(), nodes, constraints)
}

/// Verifies `map` like [`verify`], but takes ownership of it instead of copying it.
pub fn verify_owned(
    map: ShardMap,
    nodes: &[Node],
    constraints: &MapConstraints,
) -> Result<VerifiedMap, Vec<MapFault>> {
    verify_by(map, SegmentRules::new(nodes, constraints).into())
}

/// Verifies `map` against `rules`, or returns all its faults.
pub(crate) fn verify_by(map: ShardMap, rules: Arc<SegmentRules>) -> Result<VerifiedMap, Vec<MapFault>> {
    let mut faults = Vec::new();
    if map.hash != KEY_HASH {
        faults.push(MapFault::UnknownHash { hash: map.hash.clone(), expected: KEY_HASH.to_string() });
    }
    let sum = DigestSum::of(&map.segments);
    let digest = sum.digest(map.epoch, &map.hash, map.segments.len());
    if digest != map.digest {
        faults.push(MapFault::DigestMismatch { stated: map.digest, actual: digest.clone() });
    }
    let mut segments = map.segments;
    // The sort keys are cached: reading them from segments scattered over memory would cost more than the sort itself.
    segments.sort_by_cached_key(|segment| (segment.keys.from, segment.keys.end(), segment.id));
    let segments: Vec<_> = segments.into_iter().map(Arc::new).collect();
    check_cover(&segments, &mut faults);
    check_ids(&segments, &mut faults);
    faults.extend(rules.check_all(&segments));
    if faults.is_empty() {
        Ok(VerifiedMap::new(map.epoch, digest, sum, segments, rules))
    } else {
        Err(faults)
    }
}

/// Checks in one pass that the segments, which are ordered by key, cover each key exactly once. An overlap is reported
/// between a segment and the earlier segment whose keys extend furthest. This way each key that is covered more than
/// once is in a reported overlap, each overlapping segment is named, and there are never more overlaps reported than
/// segments.
fn check_cover(segments: &[Arc<Segment>], faults: &mut Vec<MapFault>) {
    // Of the segments checked so far, the one whose keys extend furthest.
    let mut furthest: Option<SegmentRef> = None;
    for (index, segment) in segments.iter().enumerate() {
        let here = SegmentRef::from(&**segment);
        let from = u128::from(here.keys.from);
        if here.keys.end() < from {
            faults.push(MapFault::InvertedRange { context: context(segments, index) });
            continue;
        }
        if here.keys.end() == from {
            faults.push(MapFault::EmptyRange { context: context(segments, index) });
            continue;
        }
        match furthest {
            None if from > 0 => {
                faults.push(MapFault::GapAtStart { keys: KeyRange::between(0, from), after: here })
            }
            Some(before) if before.keys.end() < from => {
                let keys = KeyRange::between(before.keys.end(), from);
                faults.push(MapFault::Gap { keys, before, after: here });
            }
            Some(first) => {
                if let Some(keys) = first.keys.intersection(&here.keys) {
                    faults.push(MapFault::Overlap { keys, first, second: here });
                }
            }
            None => {}
        }
        if furthest.is_none_or(|before| here.keys.end() > before.keys.end()) {
            furthest = Some(here);
        }
    }
    match furthest {
        // All segments, if any, have empty or inverted ranges.
        None => faults.push(MapFault::NoSegments),
        Some(before) if before.keys.end() < KEY_SPACE_END => {
            let keys = KeyRange::between(before.keys.end(), KEY_SPACE_END);
            faults.push(MapFault::GapAtEnd { keys, before });
        }
        Some(_) => {}
    }
}

/// Checks that no two segments have the same id.
fn check_ids(segments: &[Arc<Segment>], faults: &mut Vec<MapFault>) {
    let mut refs: Vec<_> = segments.iter().map(|segment| SegmentRef::from(&**segment)).collect();
    // The sort is stable, so that segments with the same id stay in the order of their keys.
    refs.sort_by_key(|segment| segment.id);
    for pair in refs.windows(2).filter(|pair| pair[0].id == pair[1].id) {
        faults.push(MapFault::DuplicateId { first: pair[0], second: pair[1] });
    }
}
