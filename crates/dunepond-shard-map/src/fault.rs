//! What can be wrong with a map, a transition between two, or the answered parts of a query. Names in the stored form are those of the first
//! release, hence the `rename`s.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::EnumCount;
use thiserror::Error;

use crate::{KeyRange, Segment};

/// A segment, as far as a fault names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Its id.
    pub id: u64,
    /// Its keys.
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

/// A segment with its neighbours in the order of the keys; None at an end of the space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SegmentContext {
    /// The segment.
    #[serde(rename = "at")]
    pub segment: SegmentRef,
    /// The one before it.
    pub before: Option<SegmentRef>,
    /// The one after it.
    pub after: Option<SegmentRef>,
}

impl fmt::Display for SegmentContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, between ", self.segment)?;
        match &self.before {
            Some(before) => write!(f, "{before}")?,
            None => write!(f, "the start of the space")?,
        }
        match &self.after {
            Some(after) => write!(f, " and {after}"),
            None => write!(f, " and the end of the space"),
        }
    }
}

fn display_or(value: &Option<impl fmt::Display>, absent: &str) -> String {
    value.as_ref().map_or(absent.to_string(), |value| value.to_string())
}

/// A fault. The order of variants and fields is the stored form.
#[derive(Clone, Debug, PartialEq, Error, EnumCount, Serialize, Deserialize)]
#[allow(missing_docs, reason = "the message of each variant says what its fields are")]
pub enum MapFault {
    // Of the whole map.
    /// The map has no segment with keys.
    #[error("no segment has any keys: the whole space, from key 0 to the end, is left to nobody")]
    NoSegments,
    /// Keys are hashed in an unknown way.
    #[error("keys are hashed by `{hash}`, which is unknown; expected `{expected}`")]
    UnknownHash { hash: String, expected: String },
    /// The digest is not that of the content.
    #[error("the map states digest `{stated}`, its content has `{actual}`")]
    #[serde(rename = "Digest")]
    DigestMismatch {
        #[serde(rename = "said")]
        stated: String,
        #[serde(rename = "is")]
        actual: String,
    },
    /// The list of nodes names one twice.
    #[error("node `{node}` is listed twice among the nodes that the map is verified against")]
    #[serde(rename = "DoubledNode")]
    DuplicateNode { node: String },

    // Of the cover of the key space.
    /// Keys between two segments are in none.
    #[error("no segment has the keys {keys}, between {before} and {after}")]
    Gap { keys: KeyRange, before: SegmentRef, after: SegmentRef },
    /// The first keys are in no segment.
    #[error("no segment has the first keys {keys}, before {after}")]
    GapAtStart { keys: KeyRange, after: SegmentRef },
    /// The last keys are in no segment.
    #[error("no segment has the last keys {keys}, after {before}")]
    GapAtEnd { keys: KeyRange, before: SegmentRef },
    /// Keys are in two segments.
    #[error("the keys {keys} are in both {first} and {second}")]
    Overlap { keys: KeyRange, first: SegmentRef, second: SegmentRef },
    /// A segment has no keys.
    #[error("no keys: {context}")]
    EmptyRange {
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A segment's range ends before it begins.
    #[error("its keys end before they begin: {context}")]
    InvertedRange {
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// Two segments have one id.
    #[error("two segments have one id: {first}; and {second}")]
    #[serde(rename = "DoubledId")]
    DuplicateId { first: SegmentRef, second: SegmentRef },

    // Of one segment.
    /// A replica's node is not among the nodes.
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
    /// A replica states another partner than its node has.
    #[error("replica `{node}` is stated to be of partner `{stated}`, and is of `{actual}`: {context}")]
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
    #[error("{filled} filled replicas, at least {min} are needed: {context}")]
    #[serde(rename = "TooFewHolders")]
    TooFewReplicas {
        filled: usize,
        #[serde(rename = "least")]
        min: usize,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A segment's filled replicas are in too few zones.
    #[error("filled replicas in {zones} zones, at least {min} are needed: {context}")]
    TooFewZones {
        zones: usize,
        #[serde(rename = "least")]
        min: usize,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// The owner has no replica.
    #[error("owner `{owner}` is none of the replicas: {context}")]
    #[serde(rename = "OwnerNoHolder")]
    OwnerNotReplica {
        owner: String,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// The owner's replica is not filled.
    #[error("owner `{owner}` is not filled: {context}")]
    OwnerNotFilled {
        owner: String,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// A share of reads is not between 0 and 1.
    #[error("replica `{node}` has the share {share}, which is not between 0 and 1: {context}")]
    ShareOutOfRange {
        node: String,
        share: f64,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },
    /// The shares of a segment do not add up to 1.
    #[error("the shares of the replicas add up to {sum}, not to 1: {context}")]
    #[serde(rename = "SharesDoNotAddUp")]
    ShareSumNotOne {
        sum: f64,
        #[serde(rename = "spot")]
        context: Box<SegmentContext>,
    },

    // Of a transition.
    /// The new map's epoch is not above the old one's.
    #[error("the map's epoch is {to}, and {from} is in force: a new map's epoch is above")]
    EpochNotAbove { from: u64, to: u64 },
    /// The delta removes a segment that the map does not have.
    #[error("the delta removes segment {id}, and the map in force has none with that id")]
    #[serde(rename = "NotThere")]
    UnknownSegment { id: u64 },
    /// The delta is relative to another map.
    #[error("the delta is relative to the map with digest `{base}`, and `{in_force}` is in force")]
    #[serde(rename = "FollowsOther")]
    WrongBase {
        #[serde(rename = "follows")]
        base: String,
        #[serde(rename = "from")]
        in_force: String,
    },
    /// No node that has the keys now has them afterwards.
    #[error(
        "the keys {keys} lose their last filled replica: none that is filled in {old} is a filled one in {new}"
    )]
    #[serde(rename = "LastHolderLost")]
    LastReplicaLost { keys: KeyRange, old: SegmentRef, new: SegmentRef },
    /// No node could be the source of a fill.
    #[error(
        "no single filled replica of the map in force has all keys that `{replica}` needs in {new}, from {first} to {last}"
    )]
    NoSource {
        #[serde(rename = "holder")]
        replica: String,
        new: SegmentRef,
        first: SegmentRef,
        last: SegmentRef,
    },

    // Of the answered parts of a query.
    /// A part was answered under another map.
    #[error("the part of {part} was answered under epoch {epoch}, the query is under {expected}")]
    OtherEpoch {
        #[serde(rename = "at")]
        part: SegmentRef,
        epoch: u64,
        expected: u64,
    },
    /// A part states keys that its segment does not have.
    #[error("the part states {part}, and the map's segment has {}", display_or(keys, "no such id"))]
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
    /// A queried range has no keys.
    #[error("the queried keys {keys} are none, or end before they begin")]
    #[serde(rename = "WantedEmpty")]
    QueryEmpty { keys: KeyRange },
    /// Queried keys are in no part.
    #[error(
        "no part has the queried keys {keys}, between {} and {}",
        display_or(before, "no part"),
        display_or(after, "no part")
    )]
    NotCovered { keys: KeyRange, before: Option<SegmentRef>, after: Option<SegmentRef> },
    /// Keys are in two parts.
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
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoSegments => "write at least one segment, from key 0 to the end",
            Self::UnknownHash { .. } => "write the expected hash; brokers and nodes must hash keys alike",
            Self::DigestMismatch { .. } => {
                "the map was altered after its digest was set, or cut short on its way: take it from its author again"
            }
            Self::DuplicateNode { .. } => "give each node of discovery's list a name of its own",
            Self::Gap { .. } => {
                "let one of the two neighbours have these keys, or add a segment between them"
            }
            Self::GapAtStart { .. } => "let the first segment begin at key 0",
            Self::GapAtEnd { .. } => "let the last segment have no `to`: it goes to the end of the space",
            Self::Overlap { .. } => "let one of the two end where the other begins",
            Self::EmptyRange { .. } => "remove the segment, or give it keys of a neighbour",
            Self::InvertedRange { .. } => "exchange `from` and `to`, if both are meant",
            Self::DuplicateId { .. } => "give one of the two an id that no segment has had before",
            Self::UnknownReplica { .. } => "correct the name, or wait until the node is in discovery's list",
            Self::DuplicateReplica { .. } => "remove one of the two and give its share to the other",
            Self::DrainingReplica { .. } => "name a node that stays, or end the drain first",
            Self::WrongPartner { .. } => "write the partner that the operator's file has for the node's zone",
            Self::TooFewReplicas { .. } => "add filled replicas, or wait until more of them are filled",
            Self::TooFewZones { .. } => "put a filled replica into one more zone",
            Self::OwnerNotReplica { .. } => "name a filled replica as owner",
            Self::OwnerNotFilled { .. } => "name a filled replica as owner, and this one once it is filled",
            Self::ShareOutOfRange { .. } => "write a share between 0 and 1",
            Self::ShareSumNotOne { .. } => "let the shares of the segment's replicas add up to 1",
            Self::EpochNotAbove { .. } => {
                "make the map again from the one in force, and give it the next epoch"
            }
            Self::WrongBase { .. } | Self::UnknownSegment { .. } => {
                "make the delta again from the map in force"
            }
            Self::LastReplicaLost { .. } => {
                "keep one of the old filled replicas in this map, and remove it with the next one"
            }
            Self::NoSource { .. } => {
                "migrate in two steps: first let one node have all these keys, then merge them for this replica"
            }
            Self::OtherEpoch { .. } => {
                "query this part again under the query's map; the answer is incomplete"
            }
            Self::PartOutside { .. } => "the node has another map than the broker: compare their epochs",
            Self::PartEmpty { .. } => "omit parts without keys; the node or the planner is at fault",
            Self::QueryEmpty { .. } => "correct the query's range; an empty one has no complete answer",
            Self::NotCovered { .. } => "query the missing keys, or give the answer as partial",
            Self::CoveredTwice { .. } => {
                "count these keys once: leave one of the two parts out of the answer"
            }
            Self::NotQueried { .. } => "leave the part out, or narrow it to the queried keys",
        }
    }
}
