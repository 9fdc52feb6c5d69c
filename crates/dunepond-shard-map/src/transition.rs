//! The transition from the map in force to the next one: the owner of each key in each phase, and the replicas that have to be
//! filled before the next map alone is in force.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fault::{MapFault, SegmentRef};
use crate::{KeyRange, RequiredFill, Segment, VerifiedMap};

/// Which of the two maps of a transition a broker follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransitionPhase {
    /// The broker follows the old map.
    Old,
    /// The broker does only what both maps allow.
    Joint,
    /// The broker follows the new map.
    New,
}

/// A transition between two verified maps in which [`verify_transition`] or [`crate::verify_delta`] found no fault. Cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct MapTransition {
    from: VerifiedMap,
    to: VerifiedMap,
    required_fills: Vec<RequiredFill>,
    changed_segments: usize,
}

/// How the segments of a new map differ from those of the old one.
pub(crate) struct SegmentDiff {
    /// First keys of the new map's segments that are not identical in the old map.
    pub differing: Vec<u64>,
    /// Number of the new map's segments that are identical in the old map.
    pub unchanged: usize,
}

/// Verifies the transition between two maps, or returns all its faults. Each segment of the new map is compared with the
/// old segments that contain its keys, not with the old segment of the same id: if that id has other keys in the new map,
/// the data of these keys comes from old segments with other ids.
pub fn verify_transition(from: &VerifiedMap, to: &VerifiedMap) -> Result<MapTransition, Vec<MapFault>> {
    // One pass along both maps, which are ordered by first key; identical segments have the same first key.
    let mut old_segments = from.by_key.values().peekable();
    let mut diff = SegmentDiff { differing: Vec::new(), unchanged: 0 };
    for (key, segment) in &to.by_key {
        while old_segments.peek().is_some_and(|old| old.keys.from < *key) {
            old_segments.next();
        }
        match old_segments.peek() {
            Some(old) if *old == segment => diff.unchanged += 1,
            _ => diff.differing.push(*key),
        }
    }
    // A fill (copy of a segment's data to a new replica) that is recorded in the old map counts in the new map too if the
    // segment is identical in both.
    let filled = from.filled_since.iter().map(|(id, node)| (*id, node.as_str()));
    let still_filled = filled.filter(|(id, _)| from.segment(*id) == to.segment(*id));
    let to = to.with_filled(still_filled);
    verify_diff(from, to, &diff)
}

/// Verifies the transition between two maps that differ by `diff`, or returns all its faults.
pub(crate) fn verify_diff(
    from: &VerifiedMap,
    to: VerifiedMap,
    diff: &SegmentDiff,
) -> Result<MapTransition, Vec<MapFault>> {
    let mut faults = Vec::new();
    if to.epoch <= from.epoch {
        faults.push(MapFault::EpochNotAbove { from: from.epoch, to: to.epoch });
    }
    // The segments to check, by first key, and whether each is unchanged. An unchanged segment needs a check only if it has
    // an unfilled replica, so these are entered first, with `true`; the differing segments then get `false`.
    let mut unchanged_by_key: BTreeMap<u64, bool> = to.unfilled.iter().map(|key| (*key, true)).collect();
    unchanged_by_key.extend(diff.differing.iter().map(|key| (*key, false)));
    let mut required_fills = Vec::new();
    for (key, unchanged) in unchanged_by_key {
        let new = to.segment_for_key(key);
        let old: Vec<&Segment> = from.overlapping(new.keys).collect();
        if !unchanged {
            check_replicas_kept(from, &old, new, &mut faults);
        }
        collect_required_fills(from, &old, new, unchanged, &mut required_fills, &mut faults);
    }
    // A merge removes more segments than it adds, and a split adds more than it removes. The larger number counts.
    let changed_segments = (from.len() - diff.unchanged).max(to.len() - diff.unchanged);
    if faults.is_empty() {
        Ok(MapTransition { from: from.clone(), to, required_fills, changed_segments })
    } else {
        Err(faults)
    }
}

/// Checks that each old segment has a filled replica that is also a filled replica of `new`: otherwise no node would
/// have the data of the old segment's keys after the transition.
fn check_replicas_kept(
    from: &VerifiedMap,
    old_segments: &[&Segment],
    new: &Segment,
    faults: &mut Vec<MapFault>,
) {
    for old in old_segments {
        if !new.replicas.iter().any(|replica| replica.filled && from.is_filled(old, &replica.node)) {
            let keys = old.keys.intersection(&new.keys).unwrap_or(new.keys);
            faults.push(MapFault::LastReplicaLost { keys, old: (*old).into(), new: new.into() });
        }
    }
}

/// Collects the replicas of `new` that have to be filled, in the order of their nodes' names. A replica that no single node can
/// fill is a fault.
fn collect_required_fills(
    from: &VerifiedMap,
    old_segments: &[&Segment],
    new: &Segment,
    unchanged: bool,
    required_fills: &mut Vec<RequiredFill>,
    faults: &mut Vec<MapFault>,
) {
    let mut replicas: Vec<_> = new.replicas.iter().collect();
    replicas.sort_by_key(|replica| &replica.node);
    for replica in replicas {
        // A replica that is marked unfilled in a changed segment is filled again, even if its node has some of the data.
        let refill = !replica.filled && !unchanged;
        let is_missing = |old: &&Segment| refill || !from.is_filled(old, &replica.node);
        let missing: Vec<&Segment> = old_segments.iter().copied().filter(is_missing).collect();
        let (Some(first), Some(last)) = (missing.first(), missing.last()) else { continue };
        let sources = fill_sources(from, &missing, &replica.node);
        let replica = replica.node.clone();
        if sources.is_empty() {
            let (first, last) = (SegmentRef::from(*first), SegmentRef::from(*last));
            faults.push(MapFault::NoSource { replica, new: new.into(), first, last });
        } else {
            required_fills.push(RequiredFill { segment: new.id, replica, sources });
        }
    }
}

/// Returns the nodes other than `replica` that have complete data for each of the segments, sorted by name. A fill
/// copies all keys from one source, so a node that lacks one of the segments cannot be the source.
fn fill_sources(from: &VerifiedMap, segments: &[&Segment], replica: &str) -> Vec<String> {
    let Some((first, rest)) = segments.split_first() else { return Vec::new() };
    let has_all =
        |node: &str| from.is_filled(first, node) && rest.iter().all(|old| from.is_filled(old, node));
    let candidates = first.replicas.iter().map(|replica| &replica.node);
    let mut sources: Vec<_> = candidates.filter(|node| *node != replica && has_all(node)).cloned().collect();
    sources.sort_unstable();
    sources
}

impl MapTransition {
    /// Returns the old map.
    pub fn from(&self) -> &VerifiedMap {
        &self.from
    }

    /// Returns the new map. A replica that is recorded as filled in the old map counts as filled in the new map too, if
    /// its segment is identical in both maps.
    pub fn to(&self) -> &VerifiedMap {
        &self.to
    }

    /// Returns the replicas that have to be filled before the new map alone may be in force, ordered by the segment's keys, then
    /// by the replica's node.
    pub fn required_fills(&self) -> &[RequiredFill] {
        &self.required_fills
    }

    /// Returns the number of changed segments: either the old segments that are removed or replaced are counted, or the
    /// new segments that are added or replaced, whichever are more.
    pub fn changed_segments(&self) -> usize {
        self.changed_segments
    }

    /// Returns the only node that may be sent non-idempotent work for `key`; `None` in the joint phase if the maps name different
    /// owners.
    pub fn owner_of_key(&self, key: u64, phase: TransitionPhase) -> Option<&str> {
        let old = &self.from.segment_for_key(key).owner;
        let new = &self.to.segment_for_key(key).owner;
        match phase {
            TransitionPhase::Old => Some(old),
            TransitionPhase::New => Some(new),
            TransitionPhase::Joint => (old == new).then_some(new),
        }
    }

    /// Returns the only node that may be sent non-idempotent work for a segment; `None` if there is none. In the joint
    /// phase, the segment's id may have different keys in the two maps; a node is then returned only if both maps name
    /// it as the owner of all keys that the id has in either map.
    pub fn owner_of_segment(&self, segment: u64, phase: TransitionPhase) -> Option<&str> {
        let (old, new) = (self.from.segment(segment), self.to.segment(segment));
        match phase {
            TransitionPhase::Old => old.map(|old| old.owner.as_str()),
            TransitionPhase::New => new.map(|new| new.owner.as_str()),
            TransitionPhase::Joint => {
                let owner = old.or(new)?.owner.as_str();
                if let (Some(old), Some(new)) = (old, new)
                    && old.keys == new.keys
                {
                    return (old.owner == new.owner).then_some(owner);
                }
                let mut keys = old.into_iter().chain(new).map(|segment| segment.keys);
                keys.all(|keys| self.same_owner(keys, owner)).then_some(owner)
            }
        }
    }

    /// Whether both maps name `owner` as the owner of all `keys`.
    pub fn same_owner(&self, keys: KeyRange, owner: &str) -> bool {
        self.from.overlapping(keys).chain(self.to.overlapping(keys)).all(|segment| segment.owner == owner)
    }
}
