//! What can be wrong with a map, a move between two, or the parts of a scan.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::EnumCount;
use thiserror::Error;

use crate::{Range, Segment};

/// A segment as far as a fault names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    pub id: u64,
    pub keys: Range,
}

impl From<&Segment> for Place {
    fn from(segment: &Segment) -> Self {
        Self { id: segment.id, keys: segment.keys }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "segment {} {}", self.id, self.keys)
    }
}

/// A segment with its neighbours in the order of the keys; none at an end of the space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Spot {
    pub at: Place,
    pub before: Option<Place>,
    pub after: Option<Place>,
}

impl fmt::Display for Spot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, between ", self.at)?;
        match &self.before {
            Some(place) => write!(f, "{place}")?,
            None => write!(f, "the start of the space")?,
        }
        match &self.after {
            Some(place) => write!(f, " and {place}"),
            None => write!(f, " and the end of the space"),
        }
    }
}

fn or(what: &Option<impl fmt::Display>, none: &str) -> String {
    what.as_ref().map_or(none.to_string(), |what| what.to_string())
}

#[derive(Clone, Debug, PartialEq, Error, EnumCount, Serialize, Deserialize)]
pub enum Fault {
    // Of the whole map.
    #[error("no segment has any keys: the whole space, from key 0 to the end, is left to nobody")]
    NoSegments,
    #[error("keys are hashed by `{hash}`, which is unknown; expected `{expected}`")]
    UnknownHash { hash: String, expected: String },
    #[error("the map says digest `{said}`, its content has `{is}`")]
    Digest { said: String, is: String },
    #[error("node `{node}` stands twice in the list that the map is judged by")]
    DoubledNode { node: String },

    // Of the cover of the key space.
    #[error("no segment has the keys {keys}, between {before} and {after}")]
    Gap { keys: Range, before: Place, after: Place },
    #[error("no segment has the first keys {keys}, before {after}")]
    GapAtStart { keys: Range, after: Place },
    #[error("no segment has the last keys {keys}, after {before}")]
    GapAtEnd { keys: Range, before: Place },
    #[error("the keys {keys} are in both {first} and {second}")]
    Overlap { keys: Range, first: Place, second: Place },
    #[error("no keys: {spot}")]
    EmptyRange { spot: Box<Spot> },
    #[error("its keys end before they begin: {spot}")]
    InvertedRange { spot: Box<Spot> },
    #[error("one id at two places: {first}; and {second}")]
    DoubledId { first: Place, second: Place },

    // Of one segment.
    #[error("holder `{node}` is in no list of nodes: {spot}")]
    UnknownHolder { node: String, spot: Box<Spot> },
    #[error("holder `{node}` stands twice: {spot}")]
    DoubledHolder { node: String, spot: Box<Spot> },
    #[error("holder `{node}` is draining: {spot}")]
    DrainingHolder { node: String, spot: Box<Spot> },
    #[error("holder `{node}` is said to be of partner `{said}`, and is of `{is}`: {spot}")]
    WrongPartner { node: String, said: String, is: String, spot: Box<Spot> },
    #[error("{filled} filled holders, at least {least} are needed: {spot}")]
    TooFewHolders { filled: usize, least: usize, spot: Box<Spot> },
    #[error("filled holders in {zones} zones, at least {least} are needed: {spot}")]
    TooFewZones { zones: usize, least: usize, spot: Box<Spot> },
    #[error("owner `{owner}` is none of the holders: {spot}")]
    OwnerNoHolder { owner: String, spot: Box<Spot> },
    #[error("owner `{owner}` is not filled: {spot}")]
    OwnerNotFilled { owner: String, spot: Box<Spot> },
    #[error("holder `{node}` has the share {share}, which is not between 0 and 1: {spot}")]
    ShareOutOfRange { node: String, share: f64, spot: Box<Spot> },
    #[error("the shares of the holders add up to {sum}, not to 1: {spot}")]
    SharesDoNotAddUp { sum: f64, spot: Box<Spot> },

    // Of a move.
    #[error("the map's epoch is {to}, and {from} is in force: a new map's epoch is above")]
    EpochNotAbove { from: u64, to: u64 },
    #[error("the change says that segment {id} goes, and the map in force has none with that id")]
    NotThere { id: u64 },
    #[error("the change follows the map with digest `{follows}`, and `{from}` is in force")]
    FollowsOther { follows: String, from: String },
    #[error(
        "the keys {keys} lose their last filled holder: none that is filled in {old} is a filled one in {new}"
    )]
    LastHolderLost { keys: Range, old: Place, new: Place },
    #[error(
        "no single filled holder of the map in force has all keys that `{holder}` needs in {new}, from {first} to {last}"
    )]
    NoSource { holder: String, new: Place, first: Place, last: Place },

    // Of the parts of a scan.
    #[error("the part of {at} was answered under epoch {epoch}, the scan is under {expected}")]
    OtherEpoch { at: Place, epoch: u64, expected: u64 },
    #[error("the part says {at}, and the map's segment has {}", or(keys, "no such id"))]
    PartOutside { at: Place, keys: Option<Range> },
    #[error("the part of {at} has no keys")]
    PartEmpty { at: Place },
    #[error("the wanted keys {keys} are none, or end before they begin")]
    WantedEmpty { keys: Range },
    #[error(
        "no part has the wanted keys {keys}, between {} and {}",
        or(before, "no part"),
        or(after, "no part")
    )]
    NotCovered { keys: Range, before: Option<Place>, after: Option<Place> },
    #[error("the keys {keys} are in two parts: {first} and {second}")]
    CoveredTwice { keys: Range, first: Place, second: Place },
    #[error("the part of {at} has the keys {keys}, which were not wanted")]
    NotWanted { keys: Range, at: Place },
}

impl Fault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoSegments => "write at least one segment, from key 0 to the end",
            Self::UnknownHash { .. } => "write the expected hash; brokers and nodes must place keys alike",
            Self::Digest { .. } => {
                "the map was altered after it was sealed, or cut short on its way: take it from its author again"
            }
            Self::DoubledNode { .. } => "give each node of discovery's list a name of its own",
            Self::Gap { .. } => {
                "let one of the two neighbours have these keys, or add a segment between them"
            }
            Self::GapAtStart { .. } => "let the first segment begin at key 0",
            Self::GapAtEnd { .. } => "let the last segment have no `to`: it goes to the end of the space",
            Self::Overlap { .. } => "let one of the two end where the other begins",
            Self::EmptyRange { .. } => "leave the segment out, or give it keys of a neighbour",
            Self::InvertedRange { .. } => "exchange `from` and `to`, if both are meant",
            Self::DoubledId { .. } => "give one of the two an id that no segment has had before",
            Self::UnknownHolder { .. } => "correct the name, or wait until the node is in discovery's list",
            Self::DoubledHolder { .. } => "leave one of the two out and give its share to the other",
            Self::DrainingHolder { .. } => "name a node that stays, or end the drain first",
            Self::WrongPartner { .. } => "write the partner that the operator's file has for the node's zone",
            Self::TooFewHolders { .. } => "add filled holders, or wait until more of them are filled",
            Self::TooFewZones { .. } => "put a filled holder into one more zone",
            Self::OwnerNoHolder { .. } => "name a filled holder as owner",
            Self::OwnerNotFilled { .. } => "name a filled holder as owner, and this one once it is filled",
            Self::ShareOutOfRange { .. } => "write a share between 0 and 1",
            Self::SharesDoNotAddUp { .. } => "let the shares of the segment's holders add up to 1",
            Self::EpochNotAbove { .. } => {
                "make the map anew from the one in force, and give it the next epoch"
            }
            Self::FollowsOther { .. } | Self::NotThere { .. } => "make the change anew from the map in force",
            Self::LastHolderLost { .. } => {
                "keep one of the old filled holders in this map, and let it go with the next one"
            }
            Self::NoSource { .. } => {
                "move in two steps: first let one node hold all these keys, then merge them for this holder"
            }
            Self::OtherEpoch { .. } => "ask this part again under the scan's map; the answer is not whole",
            Self::PartOutside { .. } => "the node has another map than the broker: compare their epochs",
            Self::PartEmpty { .. } => "leave out parts without keys; the node or the planner is at fault",
            Self::WantedEmpty { .. } => "correct the scan's range; an empty one has no answer to be whole",
            Self::NotCovered { .. } => "ask for the missing keys, or give the answer as partial",
            Self::CoveredTwice { .. } => {
                "count these keys once: leave one of the two parts out of the answer"
            }
            Self::NotWanted { .. } => "leave the part out, or narrow it to the wanted keys",
        }
    }
}
