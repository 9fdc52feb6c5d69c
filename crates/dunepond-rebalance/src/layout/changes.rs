//! Computes the segments that each action produces, and checks that the action is possible.

use std::collections::BTreeSet;
use std::sync::Arc;

use dunepond_shard_map::{KeyRange, Replica, Segment};

use super::{Change, Layout};
use crate::{Action, RebalanceError};

impl Layout {
    /// Segments that the action produces, or why it is not possible in this layout. `is_taken`: whether a segment
    /// outside this layout has the id.
    pub(super) fn compute_change(
        &self,
        operation: usize,
        action: &Action,
        is_taken: impl Fn(u64) -> bool,
    ) -> Result<Change, RebalanceError> {
        let check_id_unused = |id: u64| {
            let exists = self.segments.contains_key(&id) || is_taken(id);
            if exists && !action.segments().contains(&id) {
                return Err(RebalanceError::DuplicateSegmentId { operation, id });
            }
            Ok(())
        };
        Ok(match action {
            Action::Split { segment, split_keys, into } => {
                self.segment(operation, *segment)?;
                into.iter().try_for_each(|id| check_id_unused(*id))?;
                Change::new(self.split(operation, *segment, split_keys, into)?)
            }
            Action::Merge { segments, into } => {
                check_id_unused(*into)?;
                Change::new(vec![self.merge(operation, segments, *into)?])
            }
            Action::Fill { segment, to, partner } => {
                Change::with_pending(self.fill(operation, *segment, to, partner)?, true)
            }
            Action::Switch { segment, from, to } => {
                Change::with_pending(self.switch(operation, *segment, from, to)?, false)
            }
            Action::ChangeOwner { segment, to } => {
                Change::new(vec![self.change_owner(operation, *segment, to)?])
            }
            Action::RemoveReplica { segment, to } => {
                Change::with_pending(self.remove_replica(operation, *segment, to)?, false)
            }
        })
    }

    fn split(
        &self,
        operation: usize,
        segment: u64,
        split_keys: &[u64],
        into: &[u64],
    ) -> Result<Vec<Segment>, RebalanceError> {
        let old = self.segment(operation, segment)?;
        let is_valid_key = |key: u64| old.keys.contains(key) && key != old.keys.from;
        if let Some(key) = split_keys.iter().find(|key| !is_valid_key(**key)) {
            return Err(RebalanceError::SplitKeyOutside { operation, segment, key: *key });
        }
        check_filled(operation, old)?;
        let starts = [old.keys.from].into_iter().chain(split_keys.iter().copied());
        let ends = split_keys.iter().map(|key| Some(*key)).chain([old.keys.to]);
        let parts = starts.zip(ends).zip(into).map(|((from, to), id)| Segment {
            id: *id,
            keys: KeyRange { from, to },
            ..Segment::clone(old)
        });
        Ok(parts.collect())
    }

    fn merge(&self, operation: usize, segments: &[u64], into: u64) -> Result<Segment, RebalanceError> {
        let old = segments.iter().map(|id| self.segment(operation, *id).cloned());
        let old: Vec<Arc<Segment>> = old.collect::<Result<_, _>>()?;
        for pair in old.windows(2) {
            check_mergeable(operation, &pair[0], &pair[1])?;
        }
        old.iter().try_for_each(|segment| check_filled(operation, segment))?;
        let mut merged = Segment::clone(&old[0]);
        merged.id = into;
        merged.keys.to = old[old.len() - 1].keys.to;
        // A replica's share of the reads is the mean of its shares in the merged segments.
        for replica in &mut merged.replicas {
            let shares = old.iter().map(|segment| read_share(segment, &replica.node));
            replica.share = shares.sum::<f64>() / old.len() as f64;
        }
        Ok(merged)
    }

    fn fill(
        &self,
        operation: usize,
        segment: u64,
        to: &str,
        partner: &str,
    ) -> Result<Segment, RebalanceError> {
        let mut new = Segment::clone(self.segment(operation, segment)?);
        if new.replicas.iter().any(|replica| replica.node == to) {
            return Err(RebalanceError::AlreadyReplica { operation, segment, node: to.to_string() });
        }
        check_filled(operation, &new)?;
        let (node, partner) = (to.to_string(), partner.to_string());
        new.replicas.push(Replica { node, partner, filled: false, share: 0.0 });
        Ok(new)
    }

    fn switch(
        &self,
        operation: usize,
        segment: u64,
        from: &str,
        to: &str,
    ) -> Result<Segment, RebalanceError> {
        if from == to {
            return Err(RebalanceError::SameNode { operation, segment, node: to.to_string() });
        }
        let mut new = Segment::clone(self.segment(operation, segment)?);
        let (to_position, from_position) = (position(operation, &new, to)?, position(operation, &new, from)?);
        let mut replica = new.replicas.remove(to_position);
        // Removing the new replica reduces the index of each replica after it by one.
        let from_position = from_position - usize::from(to_position < from_position);
        replica.filled = true;
        replica.share += new.replicas[from_position].share;
        new.replicas[from_position] = replica;
        if new.owner == from {
            new.owner = to.to_string();
        }
        Ok(new)
    }

    fn change_owner(&self, operation: usize, segment: u64, to: &str) -> Result<Segment, RebalanceError> {
        let mut new = Segment::clone(self.segment(operation, segment)?);
        if new.owner == to {
            return Err(RebalanceError::SameNode { operation, segment, node: to.to_string() });
        }
        position(operation, &new, to)?;
        check_filled(operation, &new)?;
        new.owner = to.to_string();
        Ok(new)
    }

    fn remove_replica(&self, operation: usize, segment: u64, to: &str) -> Result<Segment, RebalanceError> {
        let mut new = Segment::clone(self.segment(operation, segment)?);
        let position = position(operation, &new, to)?;
        new.replicas.remove(position);
        Ok(new)
    }
}

/// Share of the segment's reads that the node's replica gets, from 0 to 1; 0 if the node has no replica.
fn read_share(segment: &Segment, node: &str) -> f64 {
    let replica = segment.replicas.iter().find(|replica| replica.node == node);
    replica.map_or(0.0, |replica| replica.share)
}

/// Index of the node's replica among the segment's replicas.
fn position(operation: usize, segment: &Segment, node: &str) -> Result<usize, RebalanceError> {
    let position = segment.replicas.iter().position(|replica| replica.node == node);
    position.ok_or_else(|| RebalanceError::NotAReplica {
        operation,
        segment: segment.id,
        node: node.to_string(),
    })
}

/// Checks that the segments are adjacent and have the same owner and replicas.
fn check_mergeable(operation: usize, first: &Segment, second: &Segment) -> Result<(), RebalanceError> {
    if first.keys.to != Some(second.keys.from) {
        return Err(RebalanceError::NotAdjacent { operation, first: first.id, second: second.id });
    }
    if first.owner != second.owner || replica_nodes(first) != replica_nodes(second) {
        return Err(RebalanceError::DifferentReplicas { operation, first: first.id, second: second.id });
    }
    Ok(())
}

/// Names of the nodes that have a replica of the segment.
fn replica_nodes(segment: &Segment) -> BTreeSet<&str> {
    segment.replicas.iter().map(|replica| replica.node.as_str()).collect()
}

/// Checks that all replicas of the segment are filled.
fn check_filled(operation: usize, segment: &Segment) -> Result<(), RebalanceError> {
    match segment.replicas.iter().find(|replica| !replica.filled) {
        Some(replica) => {
            let (segment, node) = (segment.id, replica.node.clone());
            Err(RebalanceError::ReplicaNotFilled { operation, segment, node })
        }
        None => Ok(()),
    }
}
