//! A change of few segments, proved against the proof of the rest: O(k log n) for k segments of n.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::check::judged;
use crate::digest::HASH;
use crate::fault::{Fault, Place, Spot};
use crate::proof::wants;
use crate::step::weighed;
use crate::{Map, Move, Proof, Range, Segment, check_move};

/// What a new map has otherwise than the one it follows. Its whole is told by the digest, as of a [`Map`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Of the new map.
    pub epoch: u64,
    /// Digest of the map that it follows.
    pub follows: String,
    /// Ids that the new map has not.
    pub gone: Vec<u64>,
    /// Segments that are new, or that take the place of the one with their id.
    pub put: Vec<Segment>,
    /// Digest of the new map.
    pub digest: String,
}

impl Change {
    /// What leads from a proved map to `to`, which need not be sound: its faults show when the change is checked. Goes
    /// through both maps; who makes a change by hand need not.
    pub fn between(from: &Proof, to: &Map) -> Self {
        let mut there = HashMap::with_capacity(to.segments.len());
        to.segments.iter().for_each(|segment| *there.entry(segment.id).or_insert(0) += 1);
        let gone = from.segments().map(|segment| segment.id).filter(|id| !there.contains_key(id)).collect();
        // An id that stands twice is put twice, so that it is found.
        let put = to.segments.iter().filter(|s| there[&s.id] > 1 || from.segment(s.id) != Some(s));
        let (put, follows) = (put.cloned().collect(), from.digest.clone());
        Self { epoch: to.epoch, follows, gone, put, digest: to.digest.clone() }
    }

    /// With the digest that the new map has, for who makes the change. Ids that are not there are left out of account.
    pub fn sealed(mut self, from: &Proof) -> Self {
        let (mut sum, mut room, mut count) = (from.sum, Vec::new(), from.len());
        for old in self.replaced(from) {
            sum.take(old, &mut room);
            count -= 1;
        }
        for segment in &self.put {
            sum.add(segment, &mut room);
            count += 1;
        }
        self.digest = sum.digest(self.epoch, HASH, count);
        self.follows = from.digest.clone();
        self
    }

    /// Segments of `from` that go or are replaced, by key, each once.
    fn replaced<'a>(&self, from: &'a Proof) -> Vec<&'a Segment> {
        let ids = self.gone.iter().copied().chain(self.put.iter().map(|segment| segment.id));
        let mut old: Vec<_> = ids.filter_map(|id| from.segment(id)).collect();
        old.sort_by_key(|segment| segment.keys.from);
        old.dedup_by_key(|segment| segment.keys.from);
        old
    }
}

/// Proves the map that `change` makes of the one in `from`, and the move to it: the same verdict as [`crate::check`] and
/// [`check_move`] on the whole, by the nodes and terms that `from` was judged by. Only what is sound is cheap: where a
/// fault is found, the whole map is written out and checked, so that each fault is named with its true neighbours.
pub fn check_change(from: &Proof, change: &Change) -> Result<Move, Vec<Fault>> {
    let mut faults: Vec<_> = change
        .gone
        .iter()
        .filter(|id| from.segment(**id).is_none())
        .map(|id| Fault::NotThere { id: *id })
        .collect();
    if change.follows != from.digest {
        faults.push(Fault::FollowsOther { follows: change.follows.clone(), from: from.digest.clone() });
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    if let Some((to, differing, same)) = sound(from, change) {
        return weighed(from, to, &differing, same);
    }
    let gone: HashSet<u64> =
        change.gone.iter().copied().chain(change.put.iter().map(|segment| segment.id)).collect();
    let kept = from.segments().filter(|segment| !gone.contains(&segment.id)).cloned();
    let segments = kept.chain(change.put.iter().cloned()).collect();
    let map = Map { epoch: change.epoch, hash: HASH.to_string(), segments, digest: change.digest.clone() };
    check_move(from, &judged(map, from.judge.clone())?)
}

/// The new proof, the first keys of the segments that differ and how many do not; nothing where anything is at fault.
fn sound(from: &Proof, change: &Change) -> Option<(Proof, Vec<u64>, usize)> {
    let old = change.replaced(from);
    let mut put: Vec<_> = change.put.iter().collect();
    put.sort_by_key(|segment| segment.keys.from);
    // Keys that come are those that went, each once. The rest is a partition already, and stays one.
    if runs(old.iter().map(|segment| segment.keys))? != runs(put.iter().map(|segment| segment.keys))? {
        return None;
    }
    let mut ids: Vec<_> = change.put.iter().map(|segment| segment.id).collect();
    ids.sort_unstable();
    if ids.windows(2).any(|pair| pair[0] == pair[1]) {
        return None;
    }
    let mut faults = Vec::new();
    for segment in &put {
        // Where it stands is told by the whole check, if at all.
        let alone = || Box::new(Spot { at: Place::from(*segment), before: None, after: None });
        from.judge.segment(segment, alone, &mut faults);
    }
    if !faults.is_empty() {
        return None;
    }
    let (mut to, mut room) = (from.changing(change.epoch), Vec::new());
    let mut same = from.len() - old.len();
    for segment in &old {
        to.sum.take(segment, &mut room);
        to.by_key.remove(&segment.keys.from);
        to.by_id.remove(&segment.id);
        to.unfilled.remove(&segment.keys.from);
    }
    let mut differing = Vec::new();
    for segment in put {
        to.sum.add(segment, &mut room);
        to.by_id.insert(segment.id, segment.keys.from);
        to.by_key.insert(segment.keys.from, Arc::new(segment.clone()));
        if from.segment(segment.id) == Some(segment) {
            same += 1;
        } else {
            differing.push(segment.keys.from);
        }
        if wants(segment) {
            to.unfilled.insert(segment.keys.from);
        }
    }
    // Fills of before hold where nothing changed.
    let changed = old.iter().filter(|old| !to.done.is_empty() && to.segment(old.id) != Some(old));
    let done = changed.flat_map(|old| old.holders.iter().map(|holder| (old.id, holder.node.clone())));
    for done in done.collect::<Vec<_>>() {
        to.done.remove(&done);
    }
    to.digest = to.sum.digest(to.epoch, HASH, to.by_key.len());
    (to.digest == change.digest).then_some((to, differing, same))
}

/// Ranges in the order of their first keys, grown together where they meet; nothing where one is empty or two overlap.
fn runs(ranges: impl Iterator<Item = Range>) -> Option<Vec<(u64, u128)>> {
    let mut runs: Vec<(u64, u128)> = Vec::new();
    for range in ranges {
        let from = u128::from(range.from);
        match runs.last_mut() {
            _ if range.is_empty() => return None,
            Some(last) if last.1 > from => return None,
            Some(last) if last.1 == from => last.1 = range.end(),
            _ => runs.push((range.from, range.end())),
        }
    }
    Some(runs)
}
