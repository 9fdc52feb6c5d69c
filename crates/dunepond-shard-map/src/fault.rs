//! Faults of a map, of a transition between two maps, and of the answered parts of a query. The serialized names are those of
//! the first release, hence the `rename` attributes.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::EnumCount;
use thiserror::Error;

use crate::{KeyRange, Segment};

/// Id and keys of a segment, or of a part of one, as named in a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Id of the segment.
    pub id: u64,
    /// Keys of the segment, or of a part of it.
    pub keys: KeyRange,
}

impl From<&Segment> for SegmentRef {
    fn from(segment: &Segment) -> Self {
        Self { id: segment.id, keys: segment.keys }
    }
}

impl fmt::Display for SegmentRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "segment {} {}", self.id, self.keys)
    }
}

/// A segment with its neighbours in the order of the keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SegmentContext {
    /// The segment that has the fault.
    #[serde(rename = "at")]
    pub segment: SegmentRef,
    /// The segment before `segment`; `None` at the start of the key space.
    pub before: Option<SegmentRef>,
    /// The segment after `segment`; `None` at the end of the key space.
    pub after: Option<SegmentRef>,
}

impl fmt::Display for SegmentContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, between ", self.segment)?;
        match &self.before {
            Some(before) => write!(f, "{before}")?,
            None => write!(f, "the start of the key space")?,
        }
        match &self.after {
            Some(after) => write!(f, " and {after}"),
            None => write!(f, " and the end of the key space"),
        }
    }
}

/// Displays the value, or `absent` if there is none.
fn display_or(value: &Option<impl fmt::Display>, absent: &str) -> String {
    value.as_ref().map_or(absent.to_string(), |value| value.to_string())
}

/// A fault of a map, a transition or a query's coverage. The stored form depends on the order of variants and fields,
/// so this order must not change.
#[derive(Clone, Debug, PartialEq, Error, EnumCount, Serialize, Deserialize)]
#[allow(missing_docs, reason = "the message of each variant says what its fields are")]
pub enum MapFault {
    // Faults of the map as a whole.
    /// No segment of the map has any keys.
    #[error("no segment has any keys: the whole key space, from key 0 to the end, is not covered")]
    NoSegments,
    /// The map names an unknown hash function.
    #[error("the map's hash function `{hash}` is unknown; expected `{expected}`")]
    UnknownHash { hash: String, expected: String },
    /// The digest stored in the map is not the digest of the map's content.
    #[error("the map states the digest `{stated}`, but the digest of its content is `{actual}`")]
    #[serde(rename = "Digest")]
    DigestMismatch {
        #[serde(rename = "said")]
        stated: String,
        #[serde(rename = "is")]
        actual: String,
    },
    /// The list of nodes that the map is verified against names a node twice.
    #[error("node `{node}` is listed twice among the nodes that the map is verified against")]
    #[serde(rename = "DoubledNode")]
    DuplicateNode { node: String },

    // Faults of the coverage of the key space.
    /// Keys between two segments are in no segment.
    #[error("no segment has the keys {keys}, between {before} and {after}")]
    Gap { keys: KeyRange, before: SegmentRef, after: SegmentRef },
    /// The first keys of the key space are in no segment.
    #[error("no segment has the first keys {keys}, before {after}")]
    GapAtStart { keys: KeyRange, after: SegmentRef },
    /// The last keys of the key space are in no segment.
    #[error("no segment has the last keys {keys}, after {before}")]
    GapAtEnd { keys: KeyRange, before: SegmentRef },
    /// Two segments have keys in common.
    #[error("the keys {keys} are in both {first} and {second}")]
    Overlap { keys: KeyRange, first: SegmentRef, second: SegmentRef },
    /// A segment has no keys.
    #[error("the segment has no keys: {context}")]
    EmptyRange {
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A segment's range ends before it begins.
    #[error("the segment's keys end before they begin: {context}")]
    InvertedRange {
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// Two segments have the same id.
    #[error("two segments have the same id: {first} and {second}")]
    #[serde(rename = "DoubledId")]
    DuplicateId { first: SegmentRef, second: SegmentRef },

    // Faults of one segment.
    /// A replica's node is not in the list of nodes.
    #[error("replica `{node}` is not in the list of nodes: {context}")]
    #[serde(rename = "UnknownHolder")]
    UnknownReplica {
        node: String,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A segment has two replicas on one node.
    #[error("replica `{node}` is listed twice: {context}")]
    #[serde(rename = "DoubledHolder")]
    DuplicateReplica {
        node: String,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A replica's node is shutting down.
    #[error("replica `{node}` is draining: {context}")]
    #[serde(rename = "DrainingHolder")]
    DrainingReplica {
        node: String,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// The map names a replica's partner (the organisation that owns its node) differently from the list of nodes.
    #[error("replica `{node}` states partner `{stated}`, but its node has partner `{actual}`: {context}")]
    WrongPartner {
        node: String,
        #[serde(rename = "said")]
        stated: String,
        #[serde(rename = "is")]
        actual: String,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A segment has too few filled replicas.
    #[error("the segment has {filled} filled replicas, but needs at least {min}: {context}")]
    #[serde(rename = "TooFewHolders")]
    TooFewReplicas {
        filled: usize,
        #[serde(rename = "least")]
        min: usize,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A segment's filled replicas are in too few zones.
    #[error("the segment has filled replicas in {zones} zones, but needs them in at least {min}: {context}")]
    TooFewZones {
        zones: usize,
        #[serde(rename = "least")]
        min: usize,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A segment's owner has no replica of it.
    #[error("owner `{owner}` is not one of the segment's replicas: {context}")]
    #[serde(rename = "OwnerNoHolder")]
    OwnerNotReplica {
        owner: String,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// The replica of a segment's owner is not filled.
    #[error("the replica of owner `{owner}` is not filled: {context}")]
    OwnerNotFilled {
        owner: String,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A replica's share of reads is not between 0 and 1.
    #[error("replica `{node}` has the share {share}, which is not between 0 and 1: {context}")]
    ShareOutOfRange {
        node: String,
        share: f64,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// The shares of a segment's replicas (the fractions of its reads that they serve) do not add up to 1.
    #[error("the shares of the segment's replicas add up to {sum} instead of 1: {context}")]
    #[serde(rename = "SharesDoNotAddUp")]
    ShareSumNotOne {
        sum: f64,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },

    // Faults of a transition or a delta.
    /// The new map's epoch is not above that of the map in force.
    #[error("the new map's epoch {to} is not above the epoch {from} of the map in force")]
    EpochNotAbove { from: u64, to: u64 },
    /// The delta removes a segment that the map in force does not have.
    #[error("the delta removes segment {id}, but the map in force has no segment with that id")]
    #[serde(rename = "NotThere")]
    UnknownSegment { id: u64 },
    /// The delta is relative to a map that is not in force.
    #[error(
        "the delta is relative to the map with digest `{base}`, but the map in force has digest `{in_force}`"
    )]
    #[serde(rename = "FollowsOther")]
    WrongBase {
        #[serde(rename = "follows")]
        base: String,
        #[serde(rename = "from")]
        in_force: String,
    },
    /// Keys would lose all complete copies of their data: of the nodes that have the data under the old map, which is
    /// in force, none is a filled replica of these keys in the new map.
    #[error(
        "the keys {keys} lose their last filled replica: no filled replica of the old {old} is a filled replica of the new {new}"
    )]
    #[serde(rename = "LastHolderLost")]
    LastReplicaLost { keys: KeyRange, old: SegmentRef, new: SegmentRef },
    /// A replica of the new map cannot be filled, because no single node has all keys that the replica needs.
    #[error(
        "no single filled replica of the map in force has all keys that `{replica}` needs for {new}, from {first} to {last}"
    )]
    NoSource {
        #[serde(rename = "holder")]
        replica: String,
        new: SegmentRef,
        first: SegmentRef,
        last: SegmentRef,
    },

    // Faults of the answered parts of a query.
    /// A part was answered under a map of another epoch than that of the query's map.
    #[error("the part of {part} was answered under epoch {epoch}, but the query uses epoch {expected}")]
    OtherEpoch {
        #[serde(rename = "at")]
        part: SegmentRef,
        epoch: u64,
        expected: u64,
    },
    /// A part (the share of a query for one segment) names a segment that the map does not have, or keys that the segment
    /// does not have.
    #[error("the part states {part}, but the map has {} for this id", display_or(keys, "no segment"))]
    PartOutside {
        #[serde(rename = "at")]
        part: SegmentRef,
        keys: Option<KeyRange>,
    },
    /// A part has no keys.
    #[error("the part of {part} has no keys")]
    PartEmpty {
        #[serde(rename = "at")]
        part: SegmentRef,
    },
    /// A queried range is empty or ends before it begins.
    #[error("the queried range {keys} is empty or ends before it begins")]
    #[serde(rename = "WantedEmpty")]
    QueryEmpty { keys: KeyRange },
    /// Queried keys are in no part.
    #[error(
        "no part has the queried keys {keys}, between {} and {}",
        display_or(before, "no part"),
        display_or(after, "no part")
    )]
    NotCovered { keys: KeyRange, before: Option<SegmentRef>, after: Option<SegmentRef> },
    /// Two parts have keys in common.
    #[error("the keys {keys} are in two parts: {first} and {second}")]
    CoveredTwice { keys: KeyRange, first: SegmentRef, second: SegmentRef },
    /// A part has keys that were not queried.
    #[error("the part of {part} has the keys {keys}, which were not queried")]
    #[serde(rename = "NotWanted")]
    NotQueried {
        keys: KeyRange,
        #[serde(rename = "at")]
        part: SegmentRef,
    },
}

impl MapFault {
    /// Returns advice for the operator on how to resolve the fault.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoSegments => "add segments that cover all keys, from key 0 to the end",
            Self::UnknownHash { .. } => {
                "set the expected hash function; brokers and nodes must hash keys in the same way"
            }
            Self::DigestMismatch { .. } => {
                "the map was changed after its digest was set, or truncated in transfer: get it again from where it was made"
            }
            Self::DuplicateNode { .. } => "give each node in discovery's endpoint list a unique name",
            Self::Gap { .. } => {
                "extend one of the two neighbours to these keys, or add a segment between them"
            }
            Self::GapAtStart { .. } => "start the first segment at key 0",
            Self::GapAtEnd { .. } => {
                "omit `to` in the last segment, so that it extends to the end of the key space"
            }
            Self::Overlap { .. } => "end one of the two segments where the other begins",
            Self::EmptyRange { .. } => "remove the segment, or move keys of a neighbour to it",
            Self::InvertedRange { .. } => "swap `from` and `to`, or correct them",
            Self::DuplicateId { .. } => "give one of the two segments an id that no segment has had before",
            Self::UnknownReplica { .. } => {
                "correct the name, or wait until the node is in discovery's endpoint list"
            }
            Self::DuplicateReplica { .. } => "remove one of the two replicas and add its share to the other",
            Self::DrainingReplica { .. } => "use a node that is not draining, or end the drain first",
            Self::WrongPartner { .. } => "set the partner that the operator's file has for the node's zone",
            Self::TooFewReplicas { .. } => "add filled replicas, or wait until more of them are filled",
            Self::TooFewZones { .. } => "add a filled replica in another zone",
            Self::OwnerNotReplica { .. } => "make a filled replica the owner",
            Self::OwnerNotFilled { .. } => {
                "make a filled replica the owner; this one can become the owner once it is filled"
            }
            Self::ShareOutOfRange { .. } => "set a share between 0 and 1",
            Self::ShareSumNotOne { .. } => "set shares of the segment's replicas that add up to 1",
            Self::EpochNotAbove { .. } => "make the map again from the map in force, with the next epoch",
            Self::WrongBase { .. } | Self::UnknownSegment { .. } => {
                "make the delta again from the map in force"
            }
            Self::LastReplicaLost { .. } => {
                "keep one of the old filled replicas in this map, and remove it in the next map"
            }
            Self::NoSource { .. } => {
                "migrate in two steps: first fill all these keys on one node, then merge them for this replica"
            }
            Self::OtherEpoch { .. } => {
                "query this part again under the query's map; until then the answer is incomplete"
            }
            Self::PartOutside { .. } => "the node and the broker use different maps: compare their epochs",
            Self::PartEmpty { .. } => {
                "omit parts without keys; check the node or the planner that sent this part"
            }
            Self::QueryEmpty { .. } => "correct the query's range; an empty range has no complete answer",
            Self::NotCovered { .. } => "query the missing keys, or return the answer as partial",
            Self::CoveredTwice { .. } => {
                "leave one of the two parts out of the answer, so that these keys count once"
            }
            Self::NotQueried { .. } => "leave the part out of the answer, or restrict it to the queried keys",
        }
    }
}
