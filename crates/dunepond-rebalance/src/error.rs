//! Why a plan is not taken, or does not go on, where it breaks, and what would help.

use std::fmt;

use dunepond_shard_map::MapFault;
use serde::{Deserialize, Serialize};
use strum::EnumCount;

/// Whose room it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Where {
    Node(String),
    Cell(String),
    Partner(String),
}

impl fmt::Display for Where {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(name) => write!(f, "node `{name}`"),
            Self::Cell(name) => write!(f, "cell `{name}`"),
            Self::Partner(name) => write!(f, "partner `{name}`"),
        }
    }
}

/// Who would run out of room, and by how much; bytes or segments.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Short {
    pub whose: Where,
    pub unit: String,
    pub room: u64,
    pub holds: u64,
    pub adds: u64,
    /// Operations of the plan (from 0) that would free some there and are not possible before.
    pub frees: Vec<usize>,
}

impl Short {
    pub fn by(&self) -> u64 {
        (self.holds + self.adds).saturating_sub(self.room)
    }
}

impl fmt::Display for Short {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { whose, unit, room, holds, adds, frees } = self;
        write!(
            f,
            "{whose} has room for {room} {unit}, holds {holds} and would get {adds}: {} short",
            self.by()
        )?;
        match &frees[..] {
            [] => write!(f, "; nothing in the plan frees any there"),
            frees => write!(f, "; operations {frees:?} would free some, and wait themselves"),
        }
    }
}

/// Operations are counted from 0, as they stand in the file.
#[derive(Clone, Debug, PartialEq, thiserror::Error, EnumCount, Serialize, Deserialize)]
pub enum MoveError {
    // Of the document.
    #[error("{line}:{column}: {why}")]
    NotAPlan { line: usize, column: usize, why: String },
    #[error("the plan has no id")]
    NoId,
    #[error("the plan has {count} operations, expected 1 to {most}")]
    Count { count: usize, most: usize },
    #[error(
        "operation {operation}: split of segment {segment}: expected rising keys and one id more than keys"
    )]
    SplitShape { operation: usize, segment: u64 },
    #[error("operation {operation}: a merge takes two segments or more")]
    MergeOfOne { operation: usize },
    #[error("operation {operation}: segment {segment} would move from `{node}` to itself")]
    Nowhere { operation: usize, segment: u64, node: String },
    #[error("node `{node}` is in cell `{cell}`, which the plan does not name")]
    NoCell { node: String, cell: String },

    // Against the map in force.
    #[error("no map is in force that could be changed")]
    NoMap,
    #[error("operation {operation}: id {id} is some segment's already, or comes twice")]
    IdTaken { operation: usize, id: u64 },
    #[error(
        "operation {operation}: there is no segment {segment}, and no operation that could come before makes it"
    )]
    NoSegment { operation: usize, segment: u64 },
    #[error("operation {operation}: key {at} is not inside segment {segment}, after its first key")]
    SplitOutside { operation: usize, segment: u64, at: u64 },
    #[error("operation {operation}: segments {first} and {second} are no neighbours in that order")]
    Apart { operation: usize, first: u64, second: u64 },
    #[error("operation {operation}: segments {first} and {second} have not the same owner and holders")]
    HeldOtherwise { operation: usize, first: u64, second: u64 },
    #[error("operation {operation}: `{node}` is no holder of segment {segment}")]
    NoHolder { operation: usize, segment: u64, node: String },
    #[error("operation {operation}: `{node}` holds segment {segment} already")]
    HoldsAlready { operation: usize, segment: u64, node: String },
    #[error("operation {operation}: holder `{node}` of segment {segment} is not filled")]
    Unfilled { operation: usize, segment: u64, node: String },
    #[error("operation {operation}: nobody says whose node `{node}` is")]
    NoPartner { operation: usize, node: String },
    #[error("operation {operation}: `{node}` is draining or gone by the version in force")]
    Leaves { operation: usize, node: String },
    #[error(
        "step {step}, operation {operation}: {changed} of {of} segments would change, at most a share of {most} may"
    )]
    TooMany { step: usize, operation: usize, changed: usize, of: usize, most: f64 },
    #[error("step {step}, operation {operation}: {short}")]
    OutOfRoom { step: usize, operation: usize, short: Box<Short> },
    #[error(
        "no order was found in {looks} looks; the furthest broke at step {step}, operation {operation}: {short}"
    )]
    TooHard { looks: usize, step: usize, operation: usize, short: Box<Short> },
    #[error("step {step}: the map does not prove: {}", first(.faults))]
    Map { step: usize, faults: Vec<MapFault> },

    // Of steps that somebody else ordered.
    #[error("step {step}: {what}")]
    NotInOrder { step: usize, what: String },

    // Of how far it has come.
    #[error("plan `{running}` is under way")]
    Runs { running: String },
    #[error("plan `{id}` was there before, and ended: {how}")]
    Known { id: String, how: String },
    #[error("no plan `{id}` is under way")]
    NotRunning { id: String },
    #[error("version {open} is proposed and not yet in force or withdrawn")]
    Open { open: u64 },
    #[error("plan `{id}` is at turn {is}, not at {said}")]
    Turn { id: String, said: u64, is: u64 },
    #[error("plan `{id}` is paused: {why}")]
    Paused { id: String, why: String },
    #[error("plan `{id}` is not paused by that")]
    NotPaused { id: String },
    #[error("plan `{id}` is being undone already")]
    Undoing { id: String },
    #[error("the step was to be version {said}, the next number is {expected}")]
    Number { said: u64, expected: u64 },
    #[error("plan `{id}`, turn {turn} is version {number}: this one is not it, and waits")]
    First { id: String, turn: u64, number: u64 },
    #[error("plan `{id}` is under way: a version that changes the map waits until it has ended")]
    MapBusy { id: String },
    #[error("version {number} was a step that was given up before it was proposed")]
    GivenUp { number: u64 },
}

fn first(faults: &[MapFault]) -> String {
    faults.first().map_or(String::new(), |fault| format!("{fault} ({})", fault.help()))
}

impl MoveError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NotAPlan { .. } => "write the plan as docs/operators/fleet.md shows it, and send SIGHUP",
            Self::NoId => "give the plan an id that no plan had before",
            Self::Count { .. } => "cut the plan into several, one after the other",
            Self::SplitShape { .. } => "write the keys in their order, and an id for each part",
            Self::MergeOfOne { .. } => "name the segments that are to become one, in the order of their keys",
            Self::Nowhere { .. } => "name another node as `to`, or leave the operation out",
            Self::NoCell { .. } => "name the cell under `cells`, with its room or with none (`{}`)",
            Self::NoMap => "propose a version with a map first",
            Self::IdTaken { .. } => "give it an id that no segment has or had",
            Self::NoSegment { .. } => {
                "look at the map in force, and at which operation was to make this segment"
            }
            Self::SplitOutside { .. } => "split at a key of the segment that is not its first",
            Self::Apart { .. } => "name neighbours, in the order of their keys",
            Self::HeldOtherwise { .. } => {
                "move them to the same holders and the same owner first; the same plan may do it"
            }
            Self::NoHolder { .. } => "name a node that holds the segment",
            Self::HoldsAlready { .. } => "to change the owner among holders use `own`",
            Self::Unfilled { .. } => "wait until the holder is filled, or take it out by a version first",
            Self::NoPartner { .. } => "name its partner under `nodes`",
            Self::Leaves { .. } => "name a node that stays, or end its drain by a version first",
            Self::TooMany { .. } => "raise `map most-changed` at the voters, or make the operation smaller",
            Self::OutOfRoom { .. } | Self::TooHard { .. } => {
                "give it the room that is short, move something else away first, or leave the operation out; \
                 where operations wait for each other one more node with room helps"
            }
            Self::Map { .. } => "mend what the fault names; the plan was made for another map, perhaps",
            Self::NotInOrder { .. } => {
                "the proposer's build orders otherwise than this one: bring all to one build"
            }
            Self::Runs { .. } => "wait until it has ended, or withdraw it by its file's `word`",
            Self::Known { .. } => "give a new plan a new id; an ended one needs nothing more",
            Self::NotRunning { .. } => "nothing to do: it has ended, or was never taken",
            Self::Open { .. } => "nothing to do: it goes on when that version is in force or withdrawn",
            Self::Turn { .. } => "nothing to do: an entry came late or twice",
            Self::Paused { .. } => "nothing to do if it is pressure; otherwise mend it, and say `go` again",
            Self::NotPaused { .. } => "nothing to do",
            Self::Undoing { .. } => "wait until it is undone",
            Self::Number { .. } => "nothing to do: the step is begun anew with the next number",
            Self::First { .. } => "wait: it is proposed again when the step is over",
            Self::MapBusy { .. } => {
                "wait for the plan's end, or withdraw it; a version that leaves the map as it is may come in between"
            }
            Self::GivenUp { .. } => "nothing to do: a late entry of an earlier leader",
        }
    }

    /// Time alone mends it.
    pub fn passes(&self) -> bool {
        matches!(
            self,
            Self::Runs { .. } | Self::Open { .. } | Self::First { .. } | Self::MapBusy { .. } | Self::NoMap
        )
    }
}
