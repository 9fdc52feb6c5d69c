//! Deltas: a change of k out of n segments is verified in O(k log n), since all other segments are verified already.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::digest::KEY_HASH;
use crate::fault::{MapFault, SegmentContext, SegmentRef};
use crate::transition::{SegmentDiff, verify_diff};
use crate::verified::has_unfilled_replica;
use crate::verify::verify_by;
use crate::{KeyRange, MapTransition, Segment, ShardMap, VerifiedMap, verify_transition};

/// The difference between a new map and the map that it replaces. The `rename` attributes keep the serialized names of
/// the first release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapDelta {
    /// Epoch of the new map.
    pub epoch: u64,
    /// Digest of the map that the delta is relative to.
    #[serde(rename = "follows")]
    pub base_digest: String,
    /// Ids of segments that the new map no longer has.
    #[serde(rename = "gone")]
    pub removed: Vec<u64>,
    /// Segments that are new, or that replace the segment with the same id.
    #[serde(rename = "put")]
    pub upserted: Vec<Segment>,
    /// Digest of the new map.
    pub digest: String,
}

/// The new map that results from a delta without faults, and how the new map differs from the old one.
struct AppliedDelta {
    map: VerifiedMap,
    diff: SegmentDiff,
}

/// A range made by merging ranges that touch.
#[derive(PartialEq)]
struct Run {
    /// The first key.
    from: u64,
    /// One past the last key.
    end: u128,
}

impl MapDelta {
    /// Computes the delta from the verified map `from` to `to`, which is not verified: its faults, if any, are found
    /// when the delta is verified. Reads all segments of both maps. If the changed segments are known, it is cheaper to
    /// build the delta from them and call [`MapDelta::with_digests`].
    pub fn between(from: &VerifiedMap, to: &ShardMap) -> Self {
        let mut count_by_id = HashMap::with_capacity(to.segments.len());
        to.segments.iter().for_each(|segment| *count_by_id.entry(segment.id).or_insert(0) += 1);
        let old_ids = from.segments().map(|segment| segment.id);
        let removed = old_ids.filter(|id| !count_by_id.contains_key(id)).collect();
        // All segments with a duplicate id are upserted, so that the verification finds the fault.
        let differs =
            |segment: &&Segment| count_by_id[&segment.id] > 1 || from.segment(segment.id) != Some(segment);
        let upserted = to.segments.iter().filter(differs).cloned().collect();
        let base_digest = from.digest.clone();
        Self { epoch: to.epoch, base_digest, removed, upserted, digest: to.digest.clone() }
    }

    /// Returns the delta with its two digests set: that of `from`, and that of the map that results from applying the
    /// delta to `from`. Removed ids that `from` does not have are ignored.
    pub fn with_digests(mut self, from: &VerifiedMap) -> Self {
        let (mut sum, mut buffer, mut count) = (from.sum, Vec::new(), from.len());
        for old in self.replaced(from) {
            sum.subtract(old, &mut buffer);
            count -= 1;
        }
        for segment in &self.upserted {
            sum.add(segment, &mut buffer);
            count += 1;
        }
        self.digest = sum.digest(self.epoch, KEY_HASH, count);
        self.base_digest = from.digest.clone();
        self
    }

    /// Returns the ids of all segments that are removed or upserted.
    fn touched_ids(&self) -> impl Iterator<Item = u64> {
        self.removed.iter().copied().chain(self.upserted.iter().map(|segment| segment.id))
    }

    /// Returns the segments of `from` that are removed or replaced, ordered by key and without duplicates.
    fn replaced<'a>(&self, from: &'a VerifiedMap) -> Vec<&'a Segment> {
        let mut old: Vec<_> = self.touched_ids().filter_map(|id| from.segment(id)).collect();
        old.sort_by_key(|segment| segment.keys.from);
        old.dedup_by_key(|segment| segment.keys.from);
        old
    }
}

/// Verifies the map that results from applying `delta` to `from`, and the transition to it. The result is the same as
/// that of [`crate::verify`] and [`verify_transition`] on the full maps, against the nodes and constraints that `from`
/// was verified against. Verification is cheap only if there is no fault: otherwise the full map is built and verified,
/// so that each fault names the neighbours that the faulty segment has in the full map.
pub fn verify_delta(from: &VerifiedMap, delta: &MapDelta) -> Result<MapTransition, Vec<MapFault>> {
    let unknown = delta.removed.iter().filter(|id| from.segment(**id).is_none());
    let mut faults: Vec<_> = unknown.map(|id| MapFault::UnknownSegment { id: *id }).collect();
    if delta.base_digest != from.digest {
        let (base, in_force) = (delta.base_digest.clone(), from.digest.clone());
        faults.push(MapFault::WrongBase { base, in_force });
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    if let Some(AppliedDelta { map, diff }) = apply(from, delta) {
        return verify_diff(from, map, &diff);
    }
    let touched: HashSet<u64> = delta.touched_ids().collect();
    let kept = from.segments().filter(|segment| !touched.contains(&segment.id)).cloned();
    let segments = kept.chain(delta.upserted.iter().cloned()).collect();
    let (hash, digest) = (KEY_HASH.to_string(), delta.digest.clone());
    let map = ShardMap { epoch: delta.epoch, hash, segments, digest };
    verify_transition(from, &verify_by(map, from.rules.clone())?)
}

/// Applies the delta to `from`; `None` if the resulting map has a fault.
fn apply(from: &VerifiedMap, delta: &MapDelta) -> Option<AppliedDelta> {
    let old = delta.replaced(from);
    let mut upserted: Vec<_> = delta.upserted.iter().collect();
    upserted.sort_by_key(|segment| segment.keys.from);
    if !has_valid_keys_and_ids(&old, &upserted) || !has_valid_replicas(from, &upserted) {
        return None;
    }
    let (mut to, mut buffer) = (from.with_epoch(delta.epoch), Vec::new());
    for segment in &old {
        to.sum.subtract(segment, &mut buffer);
        to.by_key.remove(&segment.keys.from);
        to.by_id.remove(&segment.id);
        to.unfilled.remove(&segment.keys.from);
    }
    let mut diff = SegmentDiff { differing: Vec::new(), unchanged: from.len() - old.len() };
    for segment in upserted {
        to.sum.add(segment, &mut buffer);
        to.by_id.insert(segment.id, segment.keys.from);
        to.by_key.insert(segment.keys.from, Arc::new(segment.clone()));
        if from.segment(segment.id) == Some(segment) {
            diff.unchanged += 1;
        } else {
            diff.differing.push(segment.keys.from);
        }
        if has_unfilled_replica(segment) {
            to.unfilled.insert(segment.keys.from);
        }
    }
    drop_outdated_fills(&mut to, &old);
    to.digest = to.sum.digest(to.epoch, KEY_HASH, to.by_key.len());
    (to.digest == delta.digest).then_some(AppliedDelta { map: to, diff })
}

/// Whether the upserted segments cover exactly the keys of the old ones without overlaps, and have distinct ids. Since the old
/// map covers every key exactly once, the new map then does so too.
fn has_valid_keys_and_ids(old: &[&Segment], upserted: &[&Segment]) -> bool {
    let old_runs = runs(old.iter().map(|segment| segment.keys));
    if old_runs.is_none() || old_runs != runs(upserted.iter().map(|segment| segment.keys)) {
        return false;
    }
    let mut ids: Vec<_> = upserted.iter().map(|segment| segment.id).collect();
    ids.sort_unstable();
    ids.windows(2).all(|pair| pair[0] != pair[1])
}

/// Whether the upserted segments satisfy the constraints of `from`.
fn has_valid_replicas(from: &VerifiedMap, upserted: &[&Segment]) -> bool {
    let mut faults = Vec::new();
    for segment in upserted {
        // Neighbours are left out, since the faults found here are discarded. The verification of the full map reports
        // them again.
        let alone =
            || Box::new(SegmentContext { segment: SegmentRef::from(*segment), before: None, after: None });
        from.rules.check(segment, alone, &mut faults);
    }
    faults.is_empty()
}

/// Removes from `filled_since` the replicas of the `old` segments that changed or were removed, since a recorded fill
/// counts only while its segment is unchanged.
fn drop_outdated_fills(to: &mut VerifiedMap, old: &[&Segment]) {
    if to.filled_since.is_empty() {
        return;
    }
    for old in old {
        if to.segment(old.id) != Some(old) {
            for replica in &old.replicas {
                to.filled_since.remove(&(old.id, replica.node.clone()));
            }
        }
    }
}

/// Merges ranges that touch. The ranges must be ordered by their first keys. Returns `None` if a range is empty or two overlap.
fn runs(ranges: impl Iterator<Item = KeyRange>) -> Option<Vec<Run>> {
    let mut runs: Vec<Run> = Vec::new();
    for range in ranges {
        if range.is_empty() {
            return None;
        }
        let from = u128::from(range.from);
        match runs.last_mut() {
            Some(last) if last.end > from => return None,
            Some(last) if last.end == from => last.end = range.end(),
            _ => runs.push(Run { from: range.from, end: range.end() }),
        }
    }
    Some(runs)
}
