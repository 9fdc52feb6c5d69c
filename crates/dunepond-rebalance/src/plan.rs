//! The operator's document: what is to be split, merged and moved, by whom, why, and how much room there is.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{MAX_OPERATION_COUNT, MoveError};

/// One operation. Ids that come are never to have been any segment's before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Operation {
    /// At these keys, in their order, into one more id than there are keys.
    Split { segment: u64, at: Vec<u64>, into: Vec<u64> },
    /// Neighbours in the order of their keys, with the same owner and holders, into one.
    Merge { segments: Vec<u64>, into: u64 },
    /// What `from` holds and owns of the segment goes to `to`.
    Move { segment: u64, from: String, to: String },
    /// Another of its holders becomes the owner.
    Own { segment: u64, to: String },
}

/// What the operator wants of the plan: read with the file, so that SIGHUP brings a new word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    #[default]
    Go,
    /// No further step is begun.
    Pause,
    /// What is done is undone, in reverse order.
    Withdraw,
}

/// How much somebody may hold at most; what is left out is not bounded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Room {
    #[serde(default)]
    pub bytes: Option<u64>,
    #[serde(default)]
    pub segments: Option<u64>,
}

/// What the plan says of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Needed for a node that is no holder in the map in force.
    #[serde(default)]
    pub partner: Option<String>,
    #[serde(default)]
    pub cell: Option<String>,
    #[serde(default)]
    pub room: Room,
}

/// Bytes of segments. A split divides them by the width of the keys: hashed keys are spread evenly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    #[serde(default = "unless")]
    pub unless: u64,
    #[serde(default)]
    pub segments: BTreeMap<u64, u64>,
}

/// As the operator's file has it for fills.
fn unless() -> u64 {
    64 << 20
}

impl Default for Sizes {
    fn default() -> Self {
        Self { unless: unless(), segments: BTreeMap::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Never used again, whatever became of the plan.
    pub id: String,
    pub who: String,
    pub why: String,
    #[serde(default)]
    pub word: Word,
    /// One after the other as they stand there; otherwise in whatever order keeps the room.
    #[serde(default)]
    pub ordered: bool,
    pub operations: Vec<Operation>,
    #[serde(default)]
    pub nodes: BTreeMap<String, Node>,
    #[serde(default)]
    pub cells: BTreeMap<String, Room>,
    #[serde(default)]
    pub partners: BTreeMap<String, Room>,
    #[serde(default)]
    pub sizes: Sizes,
}

impl Plan {
    /// Of the operator's JSON.
    pub fn read(text: &str) -> Result<Self, MoveError> {
        let plan: Self = serde_json::from_str(text).map_err(|e| MoveError::NotAPlan {
            line: e.line(),
            column: e.column(),
            why: e.to_string(),
        })?;
        plan.check()?;
        Ok(plan)
    }

    /// What can be said of it without a map.
    pub fn check(&self) -> Result<(), MoveError> {
        if self.id.is_empty() {
            return Err(MoveError::NoId);
        }
        let count = self.operations.len();
        if count == 0 || count > MAX_OPERATION_COUNT {
            return Err(MoveError::Count { count, most: MAX_OPERATION_COUNT });
        }
        let mut coming = BTreeSet::new();
        for (at, operation) in self.operations.iter().enumerate() {
            let ids = match operation {
                Operation::Split { segment, at: keys, into } => {
                    let rising = keys.windows(2).all(|two| two[0] < two[1]);
                    if keys.is_empty() || !rising || into.len() != keys.len() + 1 {
                        return Err(MoveError::SplitShape { operation: at, segment: *segment });
                    }
                    &into[..]
                }
                Operation::Merge { segments, into } => {
                    if segments.len() < 2 {
                        return Err(MoveError::MergeOfOne { operation: at });
                    }
                    std::slice::from_ref(into)
                }
                Operation::Move { segment, from, to } if from == to => {
                    return Err(MoveError::Nowhere { operation: at, segment: *segment, node: to.clone() });
                }
                Operation::Move { .. } | Operation::Own { .. } => &[],
            };
            if let Some(id) = ids.iter().find(|id| !coming.insert(**id)) {
                return Err(MoveError::IdTaken { operation: at, id: *id });
            }
        }
        for (name, node) in &self.nodes {
            if let Some(cell) = node.cell.as_ref().filter(|cell| !self.cells.contains_key(*cell)) {
                return Err(MoveError::NoCell { node: name.clone(), cell: cell.clone() });
            }
        }
        Ok(())
    }
}
