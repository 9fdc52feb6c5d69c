//! The transition from the map in force to the next one: who owns what in each phase, and what has to be filled before.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fault::{MapFault, SegmentRef};
use crate::{KeyRange, RequiredFill, Segment, VerifiedMap};

/// Which map's rules a broker acts on between two maps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransitionPhase {
    /// The old map's.
    Old,
    /// Only what both maps allow.
    Joint,
    /// The new map's.
    New,
}

/// A transition in which [`verify_transition`] or [`crate::verify_delta`] found no fault. Cheap to clone.
#[derive(Clone, Debug)]
pub struct MapTransition {
    from: VerifiedMap,
    to: VerifiedMap,
    required_fills: Vec<RequiredFill>,
    changed_segments: usize,
}

/// How the segments of a new map compare with the old one.
pub(crate) struct SegmentDiff {
    /// First keys of the new map's segments that the old one does not have as they are.
    pub differing: Vec<u64>,
    /// How many others the new map has.
    pub unchanged: usize,
}

/// Verifies the transition between two maps, or names everything that is wrong with it. Keys are compared: an id with other keys than before
/// means keys that were migrated.
pub fn verify_transition(from: &VerifiedMap, to: &VerifiedMap) -> Result<MapTransition, Vec<MapFault>> {
    // One walk along both lists; what both have is the same segment.
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
    // Earlier fills still count where nothing changed.
    let filled = from.filled_since.iter().map(|(id, node)| (*id, node.as_str()));
    let still_filled = filled.filter(|(id, _)| from.segment(*id) == to.segment(*id));
    let to = to.with_filled(still_filled);
    verify_diff(from, to, &diff)
}

pub(crate) fn verify_diff(
    from: &VerifiedMap,
    to: VerifiedMap,
    diff: &SegmentDiff,
) -> Result<MapTransition, Vec<MapFault>> {
    let mut faults = Vec::new();
    if to.epoch <= from.epoch {
        faults.push(MapFault::EpochNotAbove { from: from.epoch, to: to.epoch });
    }
    // Unchanged segments matter only where they have unfilled replicas.
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
    // A merge removes more segments than it adds, a split adds more.
    let changed_segments = (from.len() - diff.unchanged).max(to.len() - diff.unchanged);
    if faults.is_empty() {
        Ok(MapTransition { from: from.clone(), to, required_fills, changed_segments })
    } else {
        Err(faults)
    }
}

/// Each old segment must have a filled replica that stays filled: else its keys would have no data.
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
        // A replica that a changed segment states as unfilled is filled again, whatever it had.
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

/// Nodes other than `replica` that are filled in each of the segments, by name: a fill has one source for all its keys.
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
    /// The old map.
    pub fn from(&self) -> &VerifiedMap {
        &self.from
    }

    /// The new map; earlier fills still count in it where nothing changed.
    pub fn to(&self) -> &VerifiedMap {
        &self.to
    }

    /// What has to be filled before the new map may be in force alone; by key, then by replica.
    pub fn required_fills(&self) -> &[RequiredFill] {
        &self.required_fills
    }

    /// Segments that are removed or added, whichever are more; an unchanged one is neither.
    pub fn changed_segments(&self) -> usize {
        self.changed_segments
    }

    /// The only node that may be sent non-idempotent work for `key`; in the joint phase None unless both maps name it.
    pub fn owner_of_key(&self, key: u64, phase: TransitionPhase) -> Option<&str> {
        let old = &self.from.segment_for_key(key).owner;
        let new = &self.to.segment_for_key(key).owner;
        match phase {
            TransitionPhase::Old => Some(old),
            TransitionPhase::New => Some(new),
            TransitionPhase::Joint => (old == new).then_some(new),
        }
    }

    /// The only node that may be sent non-idempotent work for a segment. In the joint phase an id may have other keys in each map: then a
    /// node only if both maps name it for all keys of either.
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

    /// Whether both maps name `owner` for all of `keys`.
    pub fn same_owner(&self, keys: KeyRange, owner: &str) -> bool {
        self.from.overlapping(keys).chain(self.to.overlapping(keys)).all(|segment| segment.owner == owner)
    }
}
