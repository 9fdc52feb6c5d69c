//! The operator's document: what is to be split, merged and moved, by whom, why, and what capacity there is. Its JSON keeps
//! the operators' words.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{MAX_OPERATION_COUNT, RebalanceError};

/// Size of a segment where the plan names none; the same as for fills in the operator's file.
const DEFAULT_SEGMENT_BYTES: u64 = 64 << 20;

/// One operation. Ids of new segments must never have been used before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Operation {
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
    /// Merges neighbours with the same owner and replicas.
    Merge {
        /// Ids of the segments that end, in the order of their keys.
        segments: Vec<u64>,
        /// Id of the new segment.
        into: u64,
    },
    /// Moves a replica, and the ownership if it has it, to another node.
    Move {
        /// Id of the segment.
        segment: u64,
        /// Name of the node that has the replica.
        from: String,
        /// Name of the node that gets it.
        to: String,
    },
    /// Another replica becomes the owner.
    #[serde(rename = "own")]
    ChangeOwner {
        /// Id of the segment.
        segment: u64,
        /// Name of the new owner.
        to: String,
    },
}

/// What the operator wants of the plan: read with the file, so that SIGHUP brings a changed one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// It runs.
    #[default]
    #[serde(rename = "go")]
    Run,
    /// No further step starts.
    Pause,
    /// What is done is undone, in reverse order.
    Withdraw,
}

/// How much a node, replica group or partner may hold at most; what is left out is not bounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Bytes of data.
    #[serde(default)]
    pub bytes: Option<u64>,
    /// Replicas of segments.
    #[serde(default)]
    pub segments: Option<u64>,
}

/// What the plan says of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSpec {
    /// Required for a node that has no replica by the active map.
    #[serde(default)]
    pub partner: Option<String>,
    /// Name of its replica group, if that has a capacity.
    #[serde(default, rename = "cell")]
    pub replica_group: Option<String>,
    /// Capacity of this node, beside its replica group's and its partner's.
    #[serde(default, rename = "room")]
    pub capacity: Capacity,
}

/// Sizes of segments. A split divides them by the width of the keys: hashed keys are spread evenly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SegmentSizes {
    /// Bytes of a segment that is not named.
    #[serde(default = "default_segment_bytes", rename = "unless")]
    pub default_bytes: u64,
    /// Bytes, by id of the segment.
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

/// The operator's plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Never used again, whatever became of the plan.
    pub id: String,
    /// Name of the operator.
    #[serde(rename = "who")]
    pub proposed_by: String,
    /// Reason, for people.
    #[serde(rename = "why")]
    pub reason: String,
    /// What the operator wants of it now.
    #[serde(default, rename = "word")]
    pub desired_state: DesiredState,
    /// Whether operations are carried out in the order of the file; otherwise in any order that keeps the capacities.
    #[serde(default)]
    pub ordered: bool,
    /// What is to be done; at least one operation.
    pub operations: Vec<Operation>,
    /// Partner, replica group and capacity of nodes, by name of the node.
    #[serde(default)]
    pub nodes: BTreeMap<String, NodeSpec>,
    /// Capacities by name of the replica group.
    #[serde(default, rename = "cells")]
    pub replica_groups: BTreeMap<String, Capacity>,
    /// Capacities by name of the partner.
    #[serde(default)]
    pub partners: BTreeMap<String, Capacity>,
    /// Sizes of the segments.
    #[serde(default)]
    pub sizes: SegmentSizes,
}

impl Plan {
    /// Reads the operator's JSON.
    ///
    /// # Errors
    /// [`RebalanceError::InvalidJson`] with the place in the text, or what [`Plan::validate`] says.
    pub fn parse(text: &str) -> Result<Self, RebalanceError> {
        let plan: Self = serde_json::from_str(text).map_err(|e| RebalanceError::InvalidJson {
            line: e.line(),
            column: e.column(),
            reason: e.to_string(),
        })?;
        plan.validate()?;
        Ok(plan)
    }

    /// Checks what can be checked without a map.
    ///
    /// # Errors
    /// The first fault of the document.
    pub fn validate(&self) -> Result<(), RebalanceError> {
        if self.id.is_empty() {
            return Err(RebalanceError::MissingId);
        }
        let count = self.operations.len();
        if count == 0 || count > MAX_OPERATION_COUNT {
            return Err(RebalanceError::OperationCount { count, max: MAX_OPERATION_COUNT });
        }
        let mut new_ids = BTreeSet::new();
        for (place, operation) in self.operations.iter().enumerate() {
            operation.validate(place)?;
            if let Some(id) = operation.new_segments().iter().find(|id| !new_ids.insert(**id)) {
                return Err(RebalanceError::DuplicateSegmentId { operation: place, id: *id });
            }
        }
        self.validate_replica_groups()
    }

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
    /// `place`: of the operation in the plan, from 0.
    fn validate(&self, place: usize) -> Result<(), RebalanceError> {
        match self {
            Self::Split { segment, split_keys, into } => {
                let are_rising = split_keys.windows(2).all(|pair| pair[0] < pair[1]);
                if split_keys.is_empty() || !are_rising || into.len() != split_keys.len() + 1 {
                    return Err(RebalanceError::InvalidSplit { operation: place, segment: *segment });
                }
            }
            Self::Merge { segments, .. } if segments.len() < 2 => {
                return Err(RebalanceError::MergeTooSmall { operation: place });
            }
            Self::Move { segment, from, to } if from == to => {
                let (segment, node) = (*segment, to.clone());
                return Err(RebalanceError::SameNode { operation: place, segment, node });
            }
            Self::Merge { .. } | Self::Move { .. } | Self::ChangeOwner { .. } => {}
        }
        Ok(())
    }

    fn new_segments(&self) -> &[u64] {
        match self {
            Self::Split { into, .. } => into,
            Self::Merge { into, .. } => std::slice::from_ref(into),
            Self::Move { .. } | Self::ChangeOwner { .. } => &[],
        }
    }
}
