//! The move from the map in force to the next one: who owns what at each moment, and what has to be filled before.

use std::collections::BTreeMap;

use crate::fault::{Fault, Place};
use crate::{Need, Proof, Range, Segment, Step};

/// A move of which [`check_move`] or [`crate::check_change`] found no fault. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Move {
    from: Proof,
    to: Proof,
    needs: Vec<Need>,
    changed: usize,
}

/// Proves the move between two maps, or names everything that is wrong with it. What it compares is keys: an id that
/// stands for other keys than before is keys that moved.
pub fn check_move(from: &Proof, to: &Proof) -> Result<Move, Vec<Fault>> {
    // Both lists in one walk; what stands in both is the same segment.
    let mut olds = from.by_key.values().peekable();
    let (mut differing, mut same) = (Vec::new(), 0);
    for (key, segment) in &to.by_key {
        while olds.peek().is_some_and(|old| old.keys.from < *key) {
            olds.next();
        }
        match olds.peek() {
            Some(old) if *old == segment => same += 1,
            _ => differing.push(*key),
        }
    }
    // Fills of before still hold where nothing changed.
    let done = from.done.iter().map(|(id, node)| (*id, node.as_str()));
    let kept = done.filter(|(id, _)| from.segment(*id) == to.segment(*id));
    let to = to.with_filled(kept);
    weighed(from, to, &differing, same)
}

/// `differing`: first keys of the segments of `to` that are not in `from` as they are; `same`: how many others.
pub(crate) fn weighed(from: &Proof, to: Proof, differing: &[u64], same: usize) -> Result<Move, Vec<Fault>> {
    let mut faults = Vec::new();
    if to.epoch <= from.epoch {
        faults.push(Fault::EpochNotAbove { from: from.epoch, to: to.epoch });
    }
    let mut looked_at: BTreeMap<u64, bool> = to.unfilled.iter().map(|key| (*key, true)).collect();
    looked_at.extend(differing.iter().map(|key| (*key, false)));
    let mut needs = Vec::new();
    for (key, unchanged) in looked_at {
        look(from, to.at(key), unchanged, &mut needs, &mut faults);
    }
    // A merge ends more segments than it begins, a split begins more.
    let changed = (from.len() - same).max(to.len() - same);
    if faults.is_empty() { Ok(Move { from: from.clone(), to, needs, changed }) } else { Err(faults) }
}

/// One segment of the new map against those of the old that have its keys.
fn look(from: &Proof, new: &Segment, unchanged: bool, needs: &mut Vec<Need>, faults: &mut Vec<Fault>) {
    let olds: Vec<&Segment> = from.over(new.keys).collect();
    for old in olds.iter().filter(|_| !unchanged) {
        if !new.holders.iter().any(|holder| holder.filled && from.filled(old, &holder.node)) {
            let keys = old.keys.shared(&new.keys).unwrap_or(new.keys);
            faults.push(Fault::LastHolderLost { keys, old: (*old).into(), new: new.into() });
        }
    }
    let mut holders: Vec<_> = new.holders.iter().collect();
    holders.sort_by_key(|holder| &holder.node);
    for holder in holders {
        // What a changed segment says is to be filled is filled anew, whatever was there.
        let anew = !holder.filled && !unchanged;
        let lacking: Vec<&Segment> =
            olds.iter().copied().filter(|old| anew || !from.filled(old, &holder.node)).collect();
        let (Some(first), Some(last)) = (lacking.first(), lacking.last()) else { continue };
        let sources = sources(from, &lacking, &holder.node);
        let holder = holder.node.clone();
        if sources.is_empty() {
            let (first, last) = (Place::from(*first), Place::from(*last));
            faults.push(Fault::NoSource { holder, new: new.into(), first, last });
        } else {
            needs.push(Need { segment: new.id, holder, sources });
        }
    }
}

/// Nodes other than `holder` that are filled in each of `olds`, by name: a fill has one source for all its keys.
fn sources(from: &Proof, olds: &[&Segment], holder: &str) -> Vec<String> {
    let Some((first, rest)) = olds.split_first() else { return Vec::new() };
    let names = first.holders.iter().map(|holder| &holder.node);
    let all = |node: &str| from.filled(first, node) && rest.iter().all(|old| from.filled(old, node));
    let mut names: Vec<_> = names.filter(|node| *node != holder && all(node)).cloned().collect();
    names.sort_unstable();
    names
}

impl Move {
    pub fn from(&self) -> &Proof {
        &self.from
    }

    /// The new map; fills of before still count in it where nothing changed.
    pub fn to(&self) -> &Proof {
        &self.to
    }

    /// What has to be filled before the new map may be in force alone; by key, then by holder.
    pub fn needs(&self) -> &[Need] {
        &self.needs
    }

    /// Segments that end or begin, whichever are more; one that stays as it is does neither.
    pub fn changed(&self) -> usize {
        self.changed
    }

    /// The only node that may be sent non-replayable work for `key`; in the joint step none unless both maps name it.
    pub fn owner_at(&self, key: u64, step: Step) -> Option<&str> {
        let (old, new) = (&self.from.at(key).owner, &self.to.at(key).owner);
        match step {
            Step::Old => Some(old),
            Step::New => Some(new),
            Step::Joint => (old == new).then_some(new),
        }
    }

    /// The only node that may be sent non-replayable work for a segment. In the joint step an id may stand for other
    /// keys in each map: then a node only if both maps name it for all keys of either.
    pub fn owner(&self, segment: u64, step: Step) -> Option<&str> {
        let (old, new) = (self.from.segment(segment), self.to.segment(segment));
        match step {
            Step::Old => old.map(|old| old.owner.as_str()),
            Step::New => new.map(|new| new.owner.as_str()),
            Step::Joint => {
                let owner = old.or(new)?.owner.as_str();
                if let (Some(old), Some(new)) = (old, new)
                    && old.keys == new.keys
                {
                    return (old.owner == new.owner).then_some(owner);
                }
                let mut keys = old.into_iter().chain(new).map(|segment| segment.keys);
                keys.all(|keys| self.agreed(keys, owner)).then_some(owner)
            }
        }
    }

    /// Whether both maps name `owner` for all of `keys`.
    pub fn agreed(&self, keys: Range, owner: &str) -> bool {
        self.from.over(keys).chain(self.to.over(keys)).all(|segment| segment.owner == owner)
    }
}
