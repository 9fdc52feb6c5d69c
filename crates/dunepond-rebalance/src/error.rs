//! Why a plan is not accepted, or does not continue, where it fails, and what would help.

mod help;

use dunepond_shard_map::MapFault;
use strum::EnumCount;

use crate::CapacityShortage;

/// Why a plan or an entry is rejected. Operations are counted from 0, as they stand in the file, steps from 0 in their
/// order; segments are named by id, nodes by name.
#[derive(Clone, Debug, PartialEq, thiserror::Error, EnumCount)]
pub enum RebalanceError {
    // Of the document.
    /// The file is not valid JSON, or has another form.
    #[error("{line}:{column}: {reason}")]
    InvalidJson {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// Reason, for people.
        reason: String,
    },
    /// The id is empty.
    #[error("the plan has no id")]
    MissingId,
    /// No operations, or too many.
    #[error("the plan has {count} operations, expected 1 to {max}")]
    OperationCount {
        /// Operations of the plan.
        count: usize,
        /// Most operations of one plan.
        max: usize,
    },
    /// Keys of a split are not in order, or the number of ids does not fit.
    #[error(
        "operation {operation}: split of segment {segment}: expected rising keys and one id more than keys"
    )]
    InvalidSplit {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
    },
    /// A merge of less than two segments.
    #[error("operation {operation}: a merge takes two segments or more")]
    MergeTooSmall {
        /// Place in the plan, from 0.
        operation: usize,
    },
    /// The segment is there already.
    #[error("operation {operation}: segment {segment} would move from `{node}` to itself")]
    SameNode {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        node: String,
    },
    /// A node's replica group has no entry.
    #[error("node `{node}` is in cell `{group}`, which the plan does not name")]
    UnknownReplicaGroup {
        /// Name of the node.
        node: String,
        /// Name of the replica group.
        group: String,
    },

    // Against the active map.
    /// The fleet has no map yet.
    #[error("no map is in force that could be changed")]
    NoMap,
    /// Ids of new segments are never reused.
    #[error("operation {operation}: id {id} is some segment's already, or comes twice")]
    DuplicateSegmentId {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        id: u64,
    },
    /// The segment does not exist.
    #[error(
        "operation {operation}: there is no segment {segment}, and no operation that could come before makes it"
    )]
    UnknownSegment {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
    },
    /// The key of a split is outside of the segment, or its first one.
    #[error("operation {operation}: key {key} is not inside segment {segment}, after its first key")]
    SplitKeyOutside {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// Key of the split, as the plan has it.
        key: u64,
    },
    /// A merge of segments that are no neighbours.
    #[error("operation {operation}: segments {first} and {second} are no neighbours in that order")]
    NotAdjacent {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the first segment.
        first: u64,
        /// Id of the second segment.
        second: u64,
    },
    /// A merge of segments with different replicas or owners.
    #[error("operation {operation}: segments {first} and {second} have not the same owner and holders")]
    DifferentReplicas {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the first segment.
        first: u64,
        /// Id of the second segment.
        second: u64,
    },
    /// The node has no replica of the segment.
    #[error("operation {operation}: `{node}` is no holder of segment {segment}")]
    NotAReplica {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        node: String,
    },
    /// The node that is to be filled has a replica.
    #[error("operation {operation}: `{node}` holds segment {segment} already")]
    AlreadyReplica {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        node: String,
    },
    /// The replica has not been filled yet.
    #[error("operation {operation}: holder `{node}` of segment {segment} is not filled")]
    ReplicaNotFilled {
        /// Place in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        node: String,
    },
    /// Neither the map nor the plan names the node's partner.
    #[error("operation {operation}: nobody says whose node `{node}` is")]
    UnknownPartner {
        /// Place in the plan, from 0.
        operation: usize,
        /// Name of the node.
        node: String,
    },
    /// The active version excludes the node.
    #[error("operation {operation}: `{node}` is draining or gone by the version in force")]
    NodeLeaving {
        /// Place in the plan, from 0.
        operation: usize,
        /// Name of the node.
        node: String,
    },
    /// One version would change too many segments.
    #[error(
        "step {step}, operation {operation}: {changed} of {of} segments would change, at most a share of {max_ratio} may"
    )]
    TooManyChanges {
        /// Place of the step, from 0.
        step: usize,
        /// Place in the plan, from 0.
        operation: usize,
        /// Segments that end or begin.
        changed: usize,
        /// Segments of the map.
        of: usize,
        /// Ratio that is allowed.
        max_ratio: f64,
    },
    /// A capacity would be exceeded, in whatever order.
    #[error("step {step}, operation {operation}: {shortage}")]
    CapacityExceeded {
        /// Place of the step, from 0.
        step: usize,
        /// Place in the plan, from 0.
        operation: usize,
        /// Whose capacity is short, and by how much.
        shortage: Box<CapacityShortage>,
    },
    /// The search ended before it found an order; there may be one.
    #[error(
        "no order was found in {visited} looks; the furthest broke at step {step}, operation {operation}: {shortage}"
    )]
    SearchExhausted {
        /// Layouts that the search visited.
        visited: usize,
        /// Place of the step, from 0.
        step: usize,
        /// Place in the plan, from 0.
        operation: usize,
        /// Whose capacity is short, and by how much.
        shortage: Box<CapacityShortage>,
    },
    /// The map of a step is invalid, or there is no safe transition to it.
    #[error("step {step}: the map does not prove: {}", first(.faults))]
    InvalidMap {
        /// Place of the step, from 0.
        step: usize,
        /// Faults of the map, at least one.
        faults: Vec<MapFault>,
    },

    // Of steps that another broker ordered.
    /// A step is not what this broker makes of the plan.
    #[error("step {step}: {reason}")]
    InvalidStep {
        /// Place of the step, from 0.
        step: usize,
        /// Reason, for people.
        reason: String,
    },

    // Of the plan's progress.
    /// One plan at a time.
    #[error("plan `{running}` is under way")]
    OtherPlanRunning {
        /// Id of the plan.
        running: String,
    },
    /// Ids of plans are never reused.
    #[error("plan `{id}` was there before, and ended: {outcome}")]
    PlanEnded {
        /// Id of the plan.
        id: String,
        /// As [`PlanOutcome`](crate::PlanOutcome) shows it.
        outcome: String,
    },
    /// The entry is about a plan that does not run.
    #[error("no plan `{id}` is under way")]
    NotRunning {
        /// Id of the plan.
        id: String,
    },
    /// Some version is proposed now.
    #[error("version {open} is proposed and not yet in force or withdrawn")]
    VersionOpen {
        /// Number of the version.
        open: u64,
    },
    /// A late or repeated entry.
    #[error("plan `{id}` is at turn {current}, not at {given}")]
    StaleTurn {
        /// Id of the plan.
        id: String,
        /// What was proposed.
        given: u64,
        /// The current one.
        current: u64,
    },
    /// No step starts during a pause.
    #[error("plan `{id}` is paused: {reason}")]
    Paused {
        /// Id of the plan.
        id: String,
        /// Reason, for people.
        reason: String,
    },
    /// The plan is not paused, or for another reason.
    #[error("plan `{id}` is not paused by that")]
    NotPaused {
        /// Id of the plan.
        id: String,
    },
    /// The plan was withdrawn before.
    #[error("plan `{id}` is being undone already")]
    AlreadyWithdrawn {
        /// Id of the plan.
        id: String,
    },
    /// Numbers of versions are consecutive.
    #[error("the step was to be version {given}, the next number is {expected}")]
    WrongNumber {
        /// What was proposed.
        given: u64,
        /// The next number.
        expected: u64,
    },
    /// The version of a started step comes before any other.
    #[error("plan `{id}`, turn {turn} is version {number}: this one is not it, and waits")]
    StepPending {
        /// Id of the plan.
        id: String,
        /// Current turn of the plan.
        turn: u64,
        /// Number of the version.
        number: u64,
    },
    /// While a plan runs only its steps change the map.
    #[error("plan `{id}` is under way: a version that changes the map waits until it has ended")]
    MapLocked {
        /// Id of the plan.
        id: String,
    },
    /// The version of a step that was abandoned.
    #[error("version {number} was a step that was given up before it was proposed")]
    VersionAbandoned {
        /// Number of the version.
        number: u64,
    },
}

fn first(faults: &[MapFault]) -> String {
    faults.first().map_or(String::new(), |fault| format!("{fault} ({})", fault.help()))
}

impl RebalanceError {
    /// Whether it passes with time alone.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::OtherPlanRunning { .. }
                | Self::VersionOpen { .. }
                | Self::StepPending { .. }
                | Self::MapLocked { .. }
                | Self::NoMap
        )
    }
}
