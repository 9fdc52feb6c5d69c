//! The touched segments as they stand after some actions.

mod changes;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dunepond_shard_map::{Segment, VerifiedMap};

use crate::{Action, RebalanceError, StepKind};

/// What an action changed, for [`Layout::revert`].
pub(crate) struct AppliedChange {
    removed: Vec<Arc<Segment>>,
    added: Vec<u64>,
    pending: Option<PendingMark>,
}

impl AppliedChange {
    pub fn removed(&self) -> &[Arc<Segment>] {
        &self.removed
    }

    pub fn added(&self) -> &[u64] {
        &self.added
    }
}

/// Whether a segment waits for the switch to a filled replica.
#[derive(Clone, Copy)]
struct PendingMark {
    segment: u64,
    is_pending: bool,
}

/// What an action puts in the place of the segments that it takes.
struct Change {
    added: Vec<Segment>,
    pending: Option<PendingMark>,
}

impl Change {
    fn new(added: Vec<Segment>) -> Self {
        Self { added, pending: None }
    }

    /// Of one segment whose fill starts or is over.
    fn of_replica(segment: Segment, is_pending: bool) -> Self {
        let pending = Some(PendingMark { segment: segment.id, is_pending });
        Self { added: vec![segment], pending }
    }
}

/// Segments that a plan touches.
#[derive(Clone, Debug, Default)]
pub(crate) struct Layout {
    segments: BTreeMap<u64, Arc<Segment>>,
    /// Those with a replica that the plan had filled and that has not taken over yet.
    pending: BTreeSet<u64>,
}

impl Layout {
    /// Segments of a map; replicas that were filled since it was made are filled.
    pub fn of(map: &VerifiedMap, ids: impl Iterator<Item = u64>) -> Self {
        let mut segments = BTreeMap::new();
        for id in ids {
            let Some(segment) = map.segment(id) else { continue };
            let mut current = segment.clone();
            for replica in &mut current.replicas {
                replica.filled = map.is_filled(segment, &replica.node);
            }
            segments.insert(id, Arc::new(current));
        }
        Self { segments, pending: BTreeSet::new() }
    }

    pub fn get(&self, id: u64) -> Option<&Arc<Segment>> {
        self.segments.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<Segment>> {
        self.segments.values()
    }

    /// What the action does to requests, as things stand.
    pub fn kind(&self, action: &Action) -> StepKind {
        match action {
            Action::Fill { .. } => StepKind::Fill,
            Action::ChangeOwner { .. } => StepKind::Fence,
            Action::Switch { segment, from, .. } if self.is_owner(*segment, from) => StepKind::Fence,
            _ => StepKind::MetadataOnly,
        }
    }

    fn is_owner(&self, segment: u64, node: &str) -> bool {
        self.get(segment).is_some_and(|segment| segment.owner == node)
    }

    /// What undoes the action, before it is applied; the fill before a switch back is not among these.
    pub fn inverse(&self, action: &Action) -> Option<Action> {
        Some(match action {
            Action::Split { segment, into, .. } => Action::Merge { segments: into.clone(), into: *segment },
            Action::Merge { segments, into } => {
                let split_keys = segments[1..].iter().filter_map(|id| Some(self.get(*id)?.keys.from));
                Action::Split { segment: *into, split_keys: split_keys.collect(), into: segments.clone() }
            }
            Action::Fill { segment, to, .. } => Action::RemoveReplica { segment: *segment, to: to.clone() },
            Action::Switch { segment, from, to } => {
                Action::Switch { segment: *segment, from: to.clone(), to: from.clone() }
            }
            Action::ChangeOwner { segment, .. } => {
                Action::ChangeOwner { segment: *segment, to: self.get(*segment)?.owner.clone() }
            }
            Action::RemoveReplica { .. } => return None,
        })
    }

    /// Partner of a segment's replica.
    pub fn partner(&self, segment: u64, node: &str) -> Option<String> {
        let replicas = &self.get(segment)?.replicas;
        replicas.iter().find(|replica| replica.node == node).map(|replica| replica.partner.clone())
    }

    /// Applies the action, or says why it is not possible as things stand. `is_taken`: ids of segments outside this layout.
    pub fn apply(
        &mut self,
        operation: usize,
        action: &Action,
        is_taken: impl Fn(u64) -> bool,
    ) -> Result<AppliedChange, RebalanceError> {
        self.check_not_pending(operation, action)?;
        let change = self.change(operation, action, is_taken)?;
        Ok(self.replace(action, change))
    }

    /// A segment that is being filled waits for its own switch.
    fn check_not_pending(&self, operation: usize, action: &Action) -> Result<(), RebalanceError> {
        if matches!(action, Action::Switch { .. } | Action::RemoveReplica { .. }) {
            return Ok(());
        }
        let Some(segment) = action.segments().iter().find(|id| self.pending.contains(id)) else {
            return Ok(());
        };
        let filling = self.segment(operation, *segment)?.replicas.last();
        let node = filling.map_or(String::new(), |replica| replica.node.clone());
        Err(RebalanceError::ReplicaNotFilled { operation, segment: *segment, node })
    }

    fn segment(&self, operation: usize, segment: u64) -> Result<&Arc<Segment>, RebalanceError> {
        self.get(segment).ok_or(RebalanceError::UnknownSegment { operation, segment })
    }

    /// Puts new segments in the place of those that the action takes.
    fn replace(&mut self, action: &Action, change: Change) -> AppliedChange {
        let removed = action.segments().iter().filter_map(|id| self.segments.remove(id)).collect();
        let pending = change.pending.map(|mark| self.set_pending(mark));
        let added = change.added.iter().map(|segment| segment.id).collect();
        self.segments.extend(change.added.into_iter().map(|segment| (segment.id, Arc::new(segment))));
        AppliedChange { removed, added, pending }
    }

    /// Returns the mark as it was before.
    fn set_pending(&mut self, mark: PendingMark) -> PendingMark {
        let was_pending = if mark.is_pending {
            !self.pending.insert(mark.segment)
        } else {
            self.pending.remove(&mark.segment)
        };
        PendingMark { is_pending: was_pending, ..mark }
    }

    pub fn revert(&mut self, applied: AppliedChange) {
        for id in &applied.added {
            self.segments.remove(id);
        }
        self.segments.extend(applied.removed.into_iter().map(|segment| (segment.id, segment)));
        if let Some(mark) = applied.pending {
            self.set_pending(mark);
        }
    }
}
