//! The operator's plan document: operations, author, reason and capacities. The names in its JSON are part of the
//! operators' interface and must not change.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{MAX_OPERATION_COUNT, RebalanceError};

/// Size of a segment in bytes if the plan gives none. Fills have the same default in the operator's file.
const DEFAULT_SEGMENT_BYTES: u64 = 64 << 20;

/// A change of the shard map that the operator asks for. Ids of new segments must never have been used before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Operation {
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
    /// Replaces adjacent segments with the same owner and replicas by one segment.
    Merge {
        /// Ids of the segments that are replaced, in the order of their keys.
        segments: Vec<u64>,
        /// Id of the new segment.
        into: u64,
    },
    /// Moves a replica to another node. If the old node owns the segment, the new node becomes the owner.
    Move {
        /// Id of the segment.
        segment: u64,
        /// Name of the node that loses the replica.
        from: String,
        /// Name of the node that gets the replica.
        to: String,
    },
    /// Makes another replica the owner of the segment.
    #[serde(rename = "own")]
    ChangeOwner {
        /// Id of the segment.
        segment: u64,
        /// Name of the node that becomes the owner.
        to: String,
    },
}

/// State that the operator wants the plan to be in. It is read again with the plan file on SIGHUP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// The plan runs.
    #[default]
    #[serde(rename = "go")]
    Run,
    /// The plan is paused: no further step starts.
    Pause,
    /// The plan is withdrawn: the steps that are done are undone, in reverse order.
    Withdraw,
}

/// Maximum amount of data that a node, replica group or partner may store. An amount that is missing is unbounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Maximum number of bytes.
    #[serde(default)]
    pub bytes: Option<u64>,
    /// Maximum number of replicas of segments.
    #[serde(default)]
    pub segments: Option<u64>,
}

/// Partner, replica group and capacity of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSpec {
    /// Name of the partner that runs the node. Required for a node without a replica in the active map.
    #[serde(default)]
    pub partner: Option<String>,
    /// Name of the node's replica group. Needed only if the group has a capacity; the plan then has to list the group
    /// in [`Plan::replica_groups`].
    #[serde(default, rename = "cell")]
    pub replica_group: Option<String>,
    /// Capacity of the node alone; those of its replica group and its partner apply as well.
    #[serde(default, rename = "room")]
    pub capacity: Capacity,
}

/// Sizes of segments. A split divides the size in proportion to the widths of the new key ranges, because hashed keys
/// are spread evenly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SegmentSizes {
    /// Bytes of a segment that `segment_bytes` does not list.
    #[serde(default = "default_segment_bytes", rename = "unless")]
    pub default_bytes: u64,
    /// Bytes of individual segments, by the segment's id.
    #[serde(default, rename = "segments")]
    pub segment_bytes: BTreeMap<u64, u64>,
}

fn default_segment_bytes() -> u64 {
    DEFAULT_SEGMENT_BYTES
}

impl Default for SegmentSizes {
    fn default() -> Self {
        Self { default_bytes: DEFAULT_SEGMENT_BYTES, segment_bytes: BTreeMap::new() }
    }
}

/// A rebalancing plan as the operator writes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Id of the plan. Another plan must not use it again, however this plan ends.
    pub id: String,
    /// Name of the operator who proposes the plan.
    #[serde(rename = "who")]
    pub proposed_by: String,
    /// Why the operator proposes the plan, as free text.
    #[serde(rename = "why")]
    pub reason: String,
    /// State that the operator wants the plan to be in.
    #[serde(default, rename = "word")]
    pub desired_state: DesiredState,
    /// Whether operations are carried out in the order of the file. If not, any order that stays within the capacities
    /// may be used.
    #[serde(default)]
    pub ordered: bool,
    /// Operations to carry out, from 1 to [`MAX_OPERATION_COUNT`].
    pub operations: Vec<Operation>,
    /// Partners, replica groups and capacities of nodes, by the node's name.
    #[serde(default)]
    pub nodes: BTreeMap<String, NodeSpec>,
    /// Capacities of replica groups, by the group's name.
    #[serde(default, rename = "cells")]
    pub replica_groups: BTreeMap<String, Capacity>,
    /// Capacities of partners, by the partner's name.
    #[serde(default)]
    pub partners: BTreeMap<String, Capacity>,
    /// Sizes of the segments.
    #[serde(default)]
    pub sizes: SegmentSizes,
}

impl Plan {
    /// Parses and validates the operator's JSON.
    ///
    /// # Errors
    /// [`RebalanceError::InvalidJson`] with line and column, or an error of [`Plan::validate`].
    pub fn parse(text: &str) -> Result<Self, RebalanceError> {
        let plan: Self = serde_json::from_str(text).map_err(|e| RebalanceError::InvalidJson {
            line: e.line(),
            column: e.column(),
            reason: e.to_string(),
        })?;
        plan.validate()?;
        Ok(plan)
    }

    /// Checks the plan as far as this is possible without a shard map.
    ///
    /// # Errors
    /// The first fault found in the plan.
    pub fn validate(&self) -> Result<(), RebalanceError> {
        if self.id.is_empty() {
            return Err(RebalanceError::MissingId);
        }
        let count = self.operations.len();
        if count == 0 || count > MAX_OPERATION_COUNT {
            return Err(RebalanceError::OperationCount { count, max: MAX_OPERATION_COUNT });
        }
        let mut new_ids = BTreeSet::new();
        for (index, operation) in self.operations.iter().enumerate() {
            operation.validate(index)?;
            if let Some(id) = operation.new_segments().iter().find(|id| !new_ids.insert(**id)) {
                return Err(RebalanceError::DuplicateSegmentId { operation: index, id: *id });
            }
        }
        self.validate_replica_groups()
    }

    /// Checks that the plan lists the replica group of each node.
    fn validate_replica_groups(&self) -> Result<(), RebalanceError> {
        for (name, node) in &self.nodes {
            let Some(group) = &node.replica_group else { continue };
            if !self.replica_groups.contains_key(group) {
                return Err(RebalanceError::UnknownReplicaGroup { node: name.clone(), group: group.clone() });
            }
        }
        Ok(())
    }
}

impl Operation {
    /// Checks the operation without regard to other operations. `index`: index of the operation in the plan, from 0,
    /// for use in errors.
    fn validate(&self, index: usize) -> Result<(), RebalanceError> {
        match self {
            Self::Split { segment, split_keys, into } => {
                let are_ascending = split_keys.windows(2).all(|pair| pair[0] < pair[1]);
                if split_keys.is_empty() || !are_ascending || into.len() != split_keys.len() + 1 {
                    return Err(RebalanceError::InvalidSplit { operation: index, segment: *segment });
                }
            }
            Self::Merge { segments, .. } if segments.len() < 2 => {
                return Err(RebalanceError::MergeTooSmall { operation: index });
            }
            Self::Move { segment, from, to } if from == to => {
                let (segment, node) = (*segment, to.clone());
                return Err(RebalanceError::SameNode { operation: index, segment, node });
            }
            Self::Merge { .. } | Self::Move { .. } | Self::ChangeOwner { .. } => {}
        }
        Ok(())
    }

    /// Ids of the segments that the operation creates.
    fn new_segments(&self) -> &[u64] {
        match self {
            Self::Split { into, .. } => into,
            Self::Merge { into, .. } => std::slice::from_ref(into),
            Self::Move { .. } | Self::ChangeOwner { .. } => &[],
        }
    }
}
