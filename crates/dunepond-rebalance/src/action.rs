//! Actions, the smallest changes of a map, and the batches of them that make a step. All of this is stored in the consensus
//! log, so that the serialised names stay.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Operation;

/// The smallest change that one version can make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Splits a segment.
    Split {
        /// Id of the segment that ends.
        segment: u64,
        /// First keys of all parts but the first, rising.
        #[serde(rename = "at")]
        split_keys: Vec<u64>,
        /// Ids of the parts.
        into: Vec<u64>,
    },
    /// Merges neighbours.
    Merge {
        /// Ids of the segments that end, in the order of their keys.
        segments: Vec<u64>,
        /// Id of the new segment.
        into: u64,
    },
    /// Adds a replica, which is to be filled; nobody reads from it yet.
    Fill {
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        to: String,
        /// Partner whose node it is.
        partner: String,
    },
    /// The filled replica replaces another one: it takes over its reads, and the segment if the other owns it.
    Switch {
        /// Id of the segment.
        segment: u64,
        /// Name of the node that is replaced.
        from: String,
        /// Name of the node that was filled.
        to: String,
    },
    /// Another replica becomes the owner.
    #[serde(rename = "Own")]
    ChangeOwner {
        /// Id of the segment.
        segment: u64,
        /// Name of the new owner.
        to: String,
    },
    /// Removes the replica that was filled.
    #[serde(rename = "Drop")]
    RemoveReplica {
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        to: String,
    },
}

/// What a step does to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StepKind {
    /// Replicas are filled; no owner changes, so that the joint phase may last.
    Fill,
    /// No owner of any key changes, nothing is filled.
    #[serde(rename = "Quiet")]
    MetadataOnly,
    /// Owners change: during the joint phase non-idempotent parts of these segments are rejected. Nothing is filled in such a
    /// step: the phase would last as long as the fills.
    Fence,
}

/// An action, and the operation that it belongs to. Stored as a pair.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(usize, Action)", into = "(usize, Action)")]
pub struct PlannedAction {
    /// Place of the operation in the plan, from 0.
    pub operation: usize,
    /// What is done.
    pub action: Action,
}

/// Actions of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionBatch {
    /// Kind of all actions here.
    pub kind: StepKind,
    /// Each of a different segment.
    #[serde(rename = "acts")]
    pub actions: Vec<PlannedAction>,
}

/// A step of the plan, and what undoes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// What the step does, by one version.
    #[serde(rename = "wave")]
    pub forward: ActionBatch,
    /// Versions that undo it, in their order.
    #[serde(rename = "back")]
    pub rollback: Vec<ActionBatch>,
}

/// How many segments a version changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangedSegments {
    /// Segments that end or begin, whichever are more.
    pub changed: usize,
    /// Segments before or after, whichever are more.
    pub of: usize,
}

impl ChangedSegments {
    /// Whether more than this ratio of the segments changes.
    pub(crate) fn exceeds(self, max_ratio: f64) -> bool {
        self.changed as f64 > max_ratio * self.of as f64
    }
}

/// Numbers of segments that end and begin.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Turnover {
    pub ended: usize,
    pub begun: usize,
}

impl Turnover {
    pub fn plus(self, other: Self) -> Self {
        Self { ended: self.ended + other.ended, begun: self.begun + other.begun }
    }

    /// How many segments change, in a map of `segment_count`.
    pub fn changed_of(self, segment_count: usize) -> ChangedSegments {
        let after = (segment_count + self.begun).saturating_sub(self.ended);
        ChangedSegments { changed: self.ended.max(self.begun), of: segment_count.max(after) }
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
    /// As it stands in the reasons of stored versions.
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
        for (place, planned) in self.actions.iter().enumerate() {
            let separator = if place > 0 { ", " } else { "" };
            write!(f, "{separator}{}", planned.action)?;
        }
        Ok(())
    }
}

impl Action {
    /// Ids of the segments that have to exist.
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

    pub(crate) fn turnover(&self) -> Turnover {
        match self {
            Self::Split { into, .. } => Turnover { ended: 1, begun: into.len() },
            Self::Merge { segments, .. } => Turnover { ended: segments.len(), begun: 1 },
            _ => Turnover { ended: 1, begun: 1 },
        }
    }
}

impl Operation {
    /// Ids of the segments that have to exist.
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
    /// Ids of the segments that the actions take, in the actions' order.
    pub(crate) fn segments(&self) -> impl Iterator<Item = u64> {
        self.actions.iter().flat_map(|planned| planned.action.segments().iter().copied())
    }

    /// How many segments change, in a map of `segment_count`.
    pub fn changed_segments(&self, segment_count: usize) -> ChangedSegments {
        let turnovers = self.actions.iter().map(|planned| planned.action.turnover());
        turnovers.fold(Turnover::default(), Turnover::plus).changed_of(segment_count)
    }
}
