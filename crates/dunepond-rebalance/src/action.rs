//! Actions, which are the smallest changes of a shard map, and the batches of actions that form a step. These types are
//! stored in the consensus log, so their serialized names must not change.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Operation;

/// An elementary change of a shard map. One configuration version carries out one or several actions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Replaces a segment by several segments that cover its keys.
    Split {
        /// Id of the segment that is replaced.
        segment: u64,
        /// First key of each new segment except the first, in ascending order.
        #[serde(rename = "at")]
        split_keys: Vec<u64>,
        /// Ids of the new segments, in the order of their keys.
        into: Vec<u64>,
    },
    /// Replaces adjacent segments by one segment.
    Merge {
        /// Ids of the segments that are replaced, in the order of their keys.
        segments: Vec<u64>,
        /// Id of the new segment.
        into: u64,
    },
    /// Adds a replica and fills it; it gets no reads yet.
    Fill {
        /// Id of the segment.
        segment: u64,
        /// Name of the node that gets the replica.
        to: String,
        /// Name of the partner that runs the node.
        partner: String,
    },
    /// Replaces a replica by a filled replica on another node. The new replica takes over the old one's share of reads
    /// and, if the old replica is the owner, the ownership of the segment.
    Switch {
        /// Id of the segment.
        segment: u64,
        /// Name of the node whose replica is removed.
        from: String,
        /// Name of the node whose replica was filled.
        to: String,
    },
    /// Makes another replica the owner of the segment.
    #[serde(rename = "Own")]
    ChangeOwner {
        /// Id of the segment.
        segment: u64,
        /// Name of the node that becomes the owner.
        to: String,
    },
    /// Removes a replica that [`Self::Fill`] has added and that [`Self::Switch`] has not put into use.
    #[serde(rename = "Drop")]
    RemoveReplica {
        /// Id of the segment.
        segment: u64,
        /// Name of the node that loses the replica.
        to: String,
    },
}

/// How a step affects requests during the joint phase of its configuration version, in which brokers do only what both
/// the old and the new map allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StepKind {
    /// Replicas are filled. No owner changes, so a long joint phase is harmless.
    Fill,
    /// No owner of any key changes and no replica is filled.
    #[serde(rename = "Quiet")]
    MetadataOnly,
    /// Owners change. During the joint phase, non-idempotent parts for the affected segments are rejected. A step of
    /// this kind fills no replicas, because the joint phase, and with it the rejections, would last as long as the
    /// fills.
    Fence,
}

/// An action and the operation that it belongs to. Serialized as a pair of the operation's index and the action.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(usize, Action)", into = "(usize, Action)")]
pub struct PlannedAction {
    /// Index of the operation in the plan, from 0.
    pub operation: usize,
    /// Action that is carried out.
    pub action: Action,
}

/// Actions that one configuration version carries out together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionBatch {
    /// Kind of all actions in the batch.
    pub kind: StepKind,
    /// Actions in the order in which they are applied; no two of them change the same segment.
    #[serde(rename = "acts")]
    pub actions: Vec<PlannedAction>,
}

/// A step of a plan, and the batches that undo it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Actions of the step, carried out together by one configuration version.
    #[serde(rename = "wave")]
    pub forward: ActionBatch,
    /// Batches that undo the step, in the order in which they run. Each is carried out by its own configuration
    /// version.
    #[serde(rename = "back")]
    pub rollback: Vec<ActionBatch>,
}

/// How many segments of the shard map a configuration version changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangedSegments {
    /// Number of removed or of added segments, whichever is larger. A segment that keeps its id but changes its owner
    /// or replicas counts as removed and added.
    pub changed: usize,
    /// Number of segments in the map before or after the change, whichever is larger.
    pub total: usize,
}

impl ChangedSegments {
    /// Whether the ratio of changed segments to all segments is above `max_ratio`.
    pub(crate) fn exceeds(self, max_ratio: f64) -> bool {
        self.changed as f64 > max_ratio * self.total as f64
    }
}

/// Numbers of segments that a change of the shard map removes and adds. A segment that keeps its id but changes its
/// owner or replicas counts as removed and added.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SegmentDelta {
    pub removed: usize,
    pub added: usize,
}

impl SegmentDelta {
    pub fn plus(self, other: Self) -> Self {
        Self { removed: self.removed + other.removed, added: self.added + other.added }
    }

    /// How many segments of a map with `segment_count` segments the change affects.
    pub fn changed_segments(self, segment_count: usize) -> ChangedSegments {
        let after = (segment_count + self.added).saturating_sub(self.removed);
        ChangedSegments { changed: self.removed.max(self.added), total: segment_count.max(after) }
    }
}

impl From<(usize, Action)> for PlannedAction {
    fn from((operation, action): (usize, Action)) -> Self {
        Self { operation, action }
    }
}

impl From<PlannedAction> for (usize, Action) {
    fn from(planned: PlannedAction) -> Self {
        (planned.operation, planned.action)
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Split { segment, into, .. } => write!(f, "split {segment} into {into:?}"),
            Self::Merge { segments, into } => write!(f, "merge {segments:?} into {into}"),
            Self::Fill { segment, to, .. } => write!(f, "fill {segment} at {to}"),
            Self::Switch { segment, from, to } => write!(f, "switch {segment} from {from} to {to}"),
            Self::ChangeOwner { segment, to } => write!(f, "own {segment} by {to}"),
            Self::RemoveReplica { segment, to } => write!(f, "drop {segment} at {to}"),
        }
    }
}

impl fmt::Display for StepKind {
    /// Writes the serialized name, which is also part of the `reason` text in stored configuration versions.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fill => "Fill",
            Self::MetadataOnly => "Quiet",
            Self::Fence => "Fence",
        })
    }
}

impl fmt::Display for ActionBatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.kind)?;
        for (position, planned) in self.actions.iter().enumerate() {
            let separator = if position > 0 { ", " } else { "" };
            write!(f, "{separator}{}", planned.action)?;
        }
        Ok(())
    }
}

impl Action {
    /// Ids of the segments that the action replaces or changes, which have to exist.
    pub fn segments(&self) -> &[u64] {
        match self {
            Self::Merge { segments, .. } => segments,
            Self::Split { segment, .. }
            | Self::Fill { segment, .. }
            | Self::Switch { segment, .. }
            | Self::ChangeOwner { segment, .. }
            | Self::RemoveReplica { segment, .. } => std::slice::from_ref(segment),
        }
    }

    /// Numbers of segments that the action removes and adds.
    pub(crate) fn segment_delta(&self) -> SegmentDelta {
        match self {
            Self::Split { into, .. } => SegmentDelta { removed: 1, added: into.len() },
            Self::Merge { segments, .. } => SegmentDelta { removed: segments.len(), added: 1 },
            _ => SegmentDelta { removed: 1, added: 1 },
        }
    }
}

impl Operation {
    /// Ids of the segments that the operation replaces or changes, which have to exist.
    pub fn segments(&self) -> &[u64] {
        match self {
            Self::Merge { segments, .. } => segments,
            Self::Split { segment, .. } | Self::Move { segment, .. } | Self::ChangeOwner { segment, .. } => {
                std::slice::from_ref(segment)
            }
        }
    }
}

impl ActionBatch {
    /// Ids of the segments that the actions replace or change, in the order of the actions.
    pub(crate) fn segments(&self) -> impl Iterator<Item = u64> {
        self.actions.iter().flat_map(|planned| planned.action.segments().iter().copied())
    }

    /// How many segments of a map with `segment_count` segments the batch changes.
    pub fn changed_segments(&self, segment_count: usize) -> ChangedSegments {
        let deltas = self.actions.iter().map(|planned| planned.action.segment_delta());
        deltas.fold(SegmentDelta::default(), SegmentDelta::plus).changed_segments(segment_count)
    }
}
