//! Layout: the segments that a plan changes, with the owners and replicas that they have after some of the plan's
//! actions.

mod changes;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dunepond_shard_map::{Segment, VerifiedMap};

use crate::{Action, RebalanceError, StepKind};

/// Record of an applied action, with which [`Layout::revert`] undoes it.
pub(crate) struct AppliedChange {
    removed: Vec<Arc<Segment>>,
    /// Ids of the segments that the action added.
    added: Vec<u64>,
    /// Pending flag that the segment had before the action; `None` if the action sets no flag.
    previous_pending: Option<PendingFlag>,
}

impl AppliedChange {
    /// Segments that the action removed, as they were before it.
    pub fn removed(&self) -> &[Arc<Segment>] {
        &self.removed
    }

    /// Ids of the segments that the action added.
    pub fn added(&self) -> &[u64] {
        &self.added
    }
}

/// Whether a segment has a replica that [`Action::Fill`] has added and that [`Action::Switch`] has not put into use yet.
#[derive(Clone, Copy)]
struct PendingFlag {
    segment: u64,
    is_pending: bool,
}

/// Effect of an action on the layout, computed but not yet applied.
struct Change {
    /// Segments that replace those that the action names.
    added: Vec<Segment>,
    /// Whether, after the action, the segment waits for the [`Action::Switch`] to a filled replica; `None` if the action
    /// does not change this.
    pending: Option<PendingFlag>,
}

impl Change {
    fn new(added: Vec<Segment>) -> Self {
        Self { added, pending: None }
    }

    /// A change of one segment. `is_pending` is true for a fill, after which the segment waits for the switch to the
    /// filled replica, and false for an action that ends this wait: the switch or the replica's removal.
    fn with_pending(segment: Segment, is_pending: bool) -> Self {
        let pending = Some(PendingFlag { segment: segment.id, is_pending });
        Self { added: vec![segment], pending }
    }
}

/// Segments that a plan changes, by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Layout {
    segments: BTreeMap<u64, Arc<Segment>>,
    /// Ids of the segments with a replica that [`Action::Fill`] has added and that was neither put into use by
    /// [`Action::Switch`] nor removed yet.
    pending: BTreeSet<u64>,
}

impl Layout {
    /// The segments of the map with these ids; ids that the map does not have are ignored. A replica counts as filled
    /// if its fill has completed, even if the map document does not list it as filled.
    pub fn from_map(map: &VerifiedMap, ids: impl Iterator<Item = u64>) -> Self {
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

    /// The segment with this id, if the layout has it.
    pub fn get(&self, id: u64) -> Option<&Arc<Segment>> {
        self.segments.get(&id)
    }

    /// All segments, by ascending id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Segment>> {
        self.segments.values()
    }

    /// Kind of step that carries out the action in this layout.
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

    /// The action that undoes `action`. Has to be called before `action` is applied. A switch can be undone only after
    /// its old replica was filled again; that fill is not included. `None` for [`Action::RemoveReplica`], or if a
    /// segment that the inverse needs is missing.
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

    /// Name of the partner (organisation) that runs the node, according to the segment's replica on the node; `None` if the
    /// node has no replica of the segment.
    pub fn partner(&self, segment: u64, node: &str) -> Option<String> {
        let replicas = &self.get(segment)?.replicas;
        replicas.iter().find(|replica| replica.node == node).map(|replica| replica.partner.clone())
    }

    /// Applies the action, or returns why it is not possible in this layout. `is_taken`: whether a segment outside this
    /// layout has the id.
    pub fn apply(
        &mut self,
        operation: usize,
        action: &Action,
        is_taken: impl Fn(u64) -> bool,
    ) -> Result<AppliedChange, RebalanceError> {
        self.check_not_pending(operation, action)?;
        let change = self.compute_change(operation, action, is_taken)?;
        Ok(self.replace(action, change))
    }

    /// Checks that no segment of the action waits for the switch to a filled replica. While a segment waits, only that
    /// switch and the removal of the replica are possible.
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

    /// The segment with this id, or an error if the layout does not have it.
    fn segment(&self, operation: usize, segment: u64) -> Result<&Arc<Segment>, RebalanceError> {
        self.get(segment).ok_or(RebalanceError::UnknownSegment { operation, segment })
    }

    /// Replaces the segments that the action names by those that the change adds.
    fn replace(&mut self, action: &Action, change: Change) -> AppliedChange {
        let removed = action.segments().iter().filter_map(|id| self.segments.remove(id)).collect();
        let previous_pending = change.pending.map(|flag| self.set_pending(flag));
        let added = change.added.iter().map(|segment| segment.id).collect();
        self.segments.extend(change.added.into_iter().map(|segment| (segment.id, Arc::new(segment))));
        AppliedChange { removed, added, previous_pending }
    }

    /// Sets whether the segment waits for the switch to a filled replica, and returns the previous value.
    fn set_pending(&mut self, flag: PendingFlag) -> PendingFlag {
        let was_pending = if flag.is_pending {
            !self.pending.insert(flag.segment)
        } else {
            self.pending.remove(&flag.segment)
        };
        PendingFlag { is_pending: was_pending, ..flag }
    }

    /// Undoes the action that was applied last.
    pub fn revert(&mut self, applied: AppliedChange) {
        for id in &applied.added {
            self.segments.remove(id);
        }
        self.segments.extend(applied.removed.into_iter().map(|segment| (segment.id, segment)));
        if let Some(flag) = applied.previous_pending {
            self.set_pending(flag);
        }
    }
}
