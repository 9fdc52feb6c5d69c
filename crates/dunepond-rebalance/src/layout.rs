//! The touched segments as they stand after some acts, and what an act does to them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use dunepond_shard_map::{KeyRange, MapDelta, MapTransition, Replica, Segment, VerifiedMap, verify_delta};
use serde::{Deserialize, Serialize};

use crate::{MoveError, Operation};

/// The least that one version can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Act {
    Split {
        segment: u64,
        at: Vec<u64>,
        into: Vec<u64>,
    },
    Merge {
        segments: Vec<u64>,
        into: u64,
    },
    /// One more holder, which is to be filled; nobody reads from it yet.
    Fill {
        segment: u64,
        to: String,
        partner: String,
    },
    /// The filled one takes the place of another: its reads, and the segment if the other owns it.
    Switch {
        segment: u64,
        from: String,
        to: String,
    },
    Own {
        segment: u64,
        to: String,
    },
    /// The holder that was filled goes again.
    Drop {
        segment: u64,
        to: String,
    },
}

/// What a step does to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Holders are filled; no owner changes, so that the joint step may last.
    Fill,
    /// No owner of any key changes, nothing is filled.
    Quiet,
    /// Owners change: what must not run twice is throttled for these segments while the step is joint. Nothing is filled
    /// in it, so that it is as short as the wait.
    Fence,
}

/// Acts of one version, each with its operation's place in the plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    pub kind: Kind,
    pub acts: Vec<(usize, Act)>,
}

/// A step of the plan, and what undoes it: the versions, in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub wave: Wave,
    pub back: Vec<Wave>,
}

impl fmt::Display for Act {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Split { segment, into, .. } => write!(f, "split {segment} into {into:?}"),
            Self::Merge { segments, into } => write!(f, "merge {segments:?} into {into}"),
            Self::Fill { segment, to, .. } => write!(f, "fill {segment} at {to}"),
            Self::Switch { segment, from, to } => write!(f, "switch {segment} from {from} to {to}"),
            Self::Own { segment, to } => write!(f, "own {segment} by {to}"),
            Self::Drop { segment, to } => write!(f, "drop {segment} at {to}"),
        }
    }
}

impl fmt::Display for Wave {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: ", self.kind)?;
        for (n, (_, act)) in self.acts.iter().enumerate() {
            write!(f, "{}{act}", if n > 0 { ", " } else { "" })?;
        }
        Ok(())
    }
}

impl Act {
    /// Ids that have to be there.
    pub fn takes(&self) -> &[u64] {
        match self {
            Self::Merge { segments, .. } => segments,
            Self::Split { segment, .. }
            | Self::Fill { segment, .. }
            | Self::Switch { segment, .. }
            | Self::Own { segment, .. }
            | Self::Drop { segment, .. } => std::slice::from_ref(segment),
        }
    }

    /// Segments that end and begin by it.
    pub fn turnover(&self) -> (usize, usize) {
        match self {
            Self::Split { into, .. } => (1, into.len()),
            Self::Merge { segments, .. } => (segments.len(), 1),
            _ => (1, 1),
        }
    }
}

impl Operation {
    /// Ids that have to be there.
    pub fn takes(&self) -> &[u64] {
        match self {
            Self::Merge { segments, .. } => segments,
            Self::Split { segment, .. } | Self::Move { segment, .. } | Self::Own { segment, .. } => {
                std::slice::from_ref(segment)
            }
        }
    }
}

/// What an act took away and brought.
pub(crate) struct Applied {
    gone: Vec<Arc<Segment>>,
    put: Vec<u64>,
    pending: Option<(u64, bool)>,
}

impl Applied {
    pub fn gone(&self) -> &[Arc<Segment>] {
        &self.gone
    }

    pub fn put(&self) -> &[u64] {
        &self.put
    }
}

/// Segments that a plan touches.
#[derive(Clone, Debug, Default)]
pub(crate) struct Layout {
    segments: BTreeMap<u64, Arc<Segment>>,
    /// Those with a holder of the plan's that was filled and has not taken over yet.
    pending: BTreeSet<u64>,
}

impl Layout {
    /// Segments of a map; holders that were filled since it was made are filled.
    pub fn of(proof: &VerifiedMap, ids: impl Iterator<Item = u64>) -> Self {
        let mut segments = BTreeMap::new();
        for id in ids {
            if let Some(segment) = proof.segment(id) {
                let mut segment = segment.clone();
                let done: Vec<bool> =
                    segment.replicas.iter().map(|h| proof.is_filled(&segment, &h.node)).collect();
                segment.replicas.iter_mut().zip(done).for_each(|(holder, done)| holder.filled = done);
                segments.insert(id, Arc::new(segment));
            }
        }
        Self { segments, pending: BTreeSet::new() }
    }

    pub fn get(&self, id: u64) -> Option<&Arc<Segment>> {
        self.segments.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<Segment>> {
        self.segments.values()
    }

    pub fn is_pending(&self, id: u64) -> bool {
        self.pending.contains(&id)
    }

    /// What the act does to requests, as things stand.
    pub fn kind(&self, act: &Act) -> Kind {
        let owns = |segment: &u64, node: &String| self.get(*segment).is_some_and(|s| s.owner == *node);
        match act {
            Act::Fill { .. } => Kind::Fill,
            Act::Own { .. } => Kind::Fence,
            Act::Switch { segment, from, .. } if owns(segment, from) => Kind::Fence,
            _ => Kind::Quiet,
        }
    }

    fn segment(&self, operation: usize, segment: u64) -> Result<&Arc<Segment>, MoveError> {
        self.get(segment).ok_or(MoveError::NoSegment { operation, segment })
    }

    /// What undoes the act, before it is done; a fill goes before a switch back, and is not among these.
    pub fn back(&self, act: &Act) -> Option<Act> {
        Some(match act {
            Act::Split { segment, into, .. } => Act::Merge { segments: into.clone(), into: *segment },
            Act::Merge { segments, into } => {
                let keys = segments[1..].iter().filter_map(|id| Some(self.get(*id)?.keys.from));
                Act::Split { segment: *into, at: keys.collect(), into: segments.clone() }
            }
            Act::Fill { segment, to, .. } => Act::Drop { segment: *segment, to: to.clone() },
            Act::Switch { segment, from, to } => {
                Act::Switch { segment: *segment, from: to.clone(), to: from.clone() }
            }
            Act::Own { segment, .. } => Act::Own { segment: *segment, to: self.get(*segment)?.owner.clone() },
            Act::Drop { .. } => return None,
        })
    }

    pub fn partner(&self, segment: u64, node: &str) -> Option<String> {
        let holders = &self.get(segment)?.replicas;
        holders.iter().find(|holder| holder.node == node).map(|holder| holder.partner.clone())
    }

    /// Applies the act, or says why it is not possible as things stand. `taken`: ids of segments outside this layout.
    pub fn apply(
        &mut self,
        operation: usize,
        act: &Act,
        taken: impl Fn(u64) -> bool,
    ) -> Result<Applied, MoveError> {
        self.check_not_pending(operation, act)?;
        let check_free = |layout: &Self, id: u64| {
            let exists = layout.segments.contains_key(&id) || taken(id);
            if exists && !act.takes().contains(&id) {
                return Err(MoveError::IdTaken { operation, id });
            }
            Ok(())
        };
        // Segments that the act puts, and the one whose fill becomes pending or is over.
        let (put, pending) = match act {
            Act::Split { segment, at, into } => {
                self.segment(operation, *segment)?;
                into.iter().try_for_each(|id| check_free(self, *id))?;
                (self.split(operation, *segment, at, into)?, None)
            }
            Act::Merge { segments, into } => {
                check_free(self, *into)?;
                (vec![self.merge(operation, segments, *into)?], None)
            }
            Act::Fill { segment, to, partner } => {
                (vec![self.fill(operation, *segment, to, partner)?], Some((*segment, true)))
            }
            Act::Switch { segment, from, to } => {
                (vec![self.switch(operation, *segment, from, to)?], Some((*segment, false)))
            }
            Act::Own { segment, to } => (vec![self.own(operation, *segment, to)?], None),
            Act::Drop { segment, to } => {
                (vec![self.drop_replica(operation, *segment, to)?], Some((*segment, false)))
            }
        };
        Ok(self.replace(act, put, pending))
    }

    /// A segment that is being filled waits for its own switch.
    fn check_not_pending(&self, operation: usize, act: &Act) -> Result<(), MoveError> {
        if matches!(act, Act::Switch { .. } | Act::Drop { .. }) {
            return Ok(());
        }
        let Some(segment) = act.takes().iter().find(|id| self.is_pending(**id)) else { return Ok(()) };
        let to = self.segment(operation, *segment)?.replicas.last();
        let node = to.map_or(String::new(), |holder| holder.node.clone());
        Err(MoveError::Unfilled { operation, segment: *segment, node })
    }

    fn split(
        &self,
        operation: usize,
        segment: u64,
        at: &[u64],
        into: &[u64],
    ) -> Result<Vec<Segment>, MoveError> {
        let old = self.segment(operation, segment)?;
        let is_inside = |key: u64| old.keys.contains(key) && key != old.keys.from;
        if let Some(at) = at.iter().find(|at| !is_inside(**at)) {
            return Err(MoveError::SplitOutside { operation, segment, at: *at });
        }
        filled(operation, old)?;
        let froms = [old.keys.from].into_iter().chain(at.iter().copied());
        let ends = at.iter().map(|at| Some(*at)).chain([old.keys.to]);
        let parts = froms.zip(ends).zip(into).map(|((from, to), id)| Segment {
            id: *id,
            keys: KeyRange { from, to },
            ..Segment::clone(old)
        });
        Ok(parts.collect())
    }

    fn merge(&self, operation: usize, segments: &[u64], into: u64) -> Result<Segment, MoveError> {
        let olds = segments.iter().map(|id| self.segment(operation, *id).cloned());
        let olds: Vec<Arc<Segment>> = olds.collect::<Result<_, _>>()?;
        for two in olds.windows(2) {
            check_mergeable(operation, &two[0], &two[1])?;
        }
        olds.iter().try_for_each(|old| filled(operation, old))?;
        let mut new = Segment::clone(&olds[0]);
        (new.id, new.keys.to) = (into, olds[olds.len() - 1].keys.to);
        // A replica's share of the reads: the mean of its shares so far.
        for holder in &mut new.replicas {
            let share_of = |old: &Arc<Segment>| {
                old.replicas.iter().find(|h| h.node == holder.node).map_or(0.0, |h| h.share)
            };
            holder.share = olds.iter().map(share_of).sum::<f64>() / olds.len() as f64;
        }
        Ok(new)
    }

    fn fill(&self, operation: usize, segment: u64, to: &str, partner: &str) -> Result<Segment, MoveError> {
        let mut new = Segment::clone(self.segment(operation, segment)?);
        if new.replicas.iter().any(|holder| holder.node == to) {
            return Err(MoveError::HoldsAlready { operation, segment, node: to.to_string() });
        }
        filled(operation, &new)?;
        let (node, partner) = (to.to_string(), partner.to_string());
        new.replicas.push(Replica { node, partner, filled: false, share: 0.0 });
        Ok(new)
    }

    fn switch(&self, operation: usize, segment: u64, from: &str, to: &str) -> Result<Segment, MoveError> {
        if from == to {
            return Err(MoveError::Nowhere { operation, segment, node: to.to_string() });
        }
        let mut new = Segment::clone(self.segment(operation, segment)?);
        let (to_at, from_at) = (position(operation, &new, to)?, position(operation, &new, from)?);
        let mut holder = new.replicas.remove(to_at);
        let from_at = from_at - usize::from(to_at < from_at);
        (holder.filled, holder.share) = (true, holder.share + new.replicas[from_at].share);
        new.replicas[from_at] = holder;
        if new.owner == from {
            new.owner = to.to_string();
        }
        Ok(new)
    }

    fn own(&self, operation: usize, segment: u64, to: &str) -> Result<Segment, MoveError> {
        let mut new = Segment::clone(self.segment(operation, segment)?);
        if new.owner == to {
            return Err(MoveError::Nowhere { operation, segment, node: to.to_string() });
        }
        position(operation, &new, to)?;
        filled(operation, &new)?;
        new.owner = to.to_string();
        Ok(new)
    }

    fn drop_replica(&self, operation: usize, segment: u64, to: &str) -> Result<Segment, MoveError> {
        let mut new = Segment::clone(self.segment(operation, segment)?);
        let at = position(operation, &new, to)?;
        new.replicas.remove(at);
        Ok(new)
    }

    /// Puts segments in the place of those that the act takes.
    fn replace(&mut self, act: &Act, put: Vec<Segment>, pending: Option<(u64, bool)>) -> Applied {
        let gone = act.takes().iter().filter_map(|id| self.segments.remove(id)).collect();
        let pending_before = pending.map(|(id, is_pending)| {
            let was_pending = self.set_pending(id, is_pending);
            (id, was_pending)
        });
        let ids = put.iter().map(|segment| segment.id).collect();
        self.segments.extend(put.into_iter().map(|segment| (segment.id, Arc::new(segment))));
        Applied { gone, put: ids, pending: pending_before }
    }

    /// Whether it was pending before.
    fn set_pending(&mut self, id: u64, is_pending: bool) -> bool {
        if is_pending { !self.pending.insert(id) } else { self.pending.remove(&id) }
    }

    pub fn revert(&mut self, applied: Applied) {
        applied.put.iter().for_each(|id| drop(self.segments.remove(id)));
        self.segments.extend(applied.gone.into_iter().map(|segment| (segment.id, segment)));
        if let Some((id, was_pending)) = applied.pending {
            self.set_pending(id, was_pending);
        }
    }
}

/// Place of the node among the segment's replicas.
fn position(operation: usize, segment: &Segment, node: &str) -> Result<usize, MoveError> {
    let at = segment.replicas.iter().position(|holder| holder.node == node);
    at.ok_or_else(|| MoveError::NoHolder { operation, segment: segment.id, node: node.to_string() })
}

/// Neighbours with the same owner and replicas.
fn check_mergeable(operation: usize, first: &Segment, second: &Segment) -> Result<(), MoveError> {
    if first.keys.to != Some(second.keys.from) {
        return Err(MoveError::Apart { operation, first: first.id, second: second.id });
    }
    let names = |segment: &Segment| {
        segment.replicas.iter().map(|holder| holder.node.clone()).collect::<BTreeSet<_>>()
    };
    if first.owner != second.owner || names(first) != names(second) {
        return Err(MoveError::HeldOtherwise { operation, first: first.id, second: second.id });
    }
    Ok(())
}

fn filled(operation: usize, segment: &Segment) -> Result<(), MoveError> {
    match segment.replicas.iter().find(|holder| !holder.filled) {
        Some(holder) => {
            let (segment, node) = (segment.id, holder.node.clone());
            Err(MoveError::Unfilled { operation, segment, node })
        }
        None => Ok(()),
    }
}

impl Wave {
    /// The move from the map in force to this step's, proved. `step` is for the error alone.
    pub fn moving(&self, proof: &VerifiedMap, step: usize) -> Result<MapTransition, MoveError> {
        let ids = self.acts.iter().flat_map(|(_, act)| act.takes().iter().copied());
        let mut layout = Layout::of(proof, ids);
        // By the documents: what the plan's own fills brought takes over by this step.
        for (operation, act) in &self.acts {
            layout.apply(*operation, act, |id| proof.contains_segment(id))?;
        }
        let before = self.acts.iter().flat_map(|(_, act)| act.takes().iter().copied());
        let put: Vec<Segment> = layout.iter().map(|segment| Segment::clone(segment)).collect();
        let mut gone: Vec<u64> =
            before.filter(|id| layout.get(*id).is_none() && proof.contains_segment(*id)).collect();
        gone.sort_unstable();
        gone.dedup();
        let change = MapDelta {
            epoch: proof.epoch() + 1,
            base_digest: String::new(),
            removed: gone,
            upserted: put,
            digest: String::new(),
        };
        verify_delta(proof, &change.with_digests(proof)).map_err(|faults| MoveError::Map { step, faults })
    }

    /// Segments that end or begin, whichever are more; and of how many.
    pub fn changed(&self, segments: usize) -> (usize, usize) {
        let (ends, begins) = self.acts.iter().fold((0, 0), |(ends, begins), (_, act)| {
            let (more_ends, more_begins) = act.turnover();
            (ends + more_ends, begins + more_begins)
        });
        (ends.max(begins), segments.max(segments + begins - ends.min(segments + begins)))
    }
}
