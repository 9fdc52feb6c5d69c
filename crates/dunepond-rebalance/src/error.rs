//! Errors of plans and of log entries about them, with the place of the fault and help for the operator.

mod help;

use dunepond_shard_map::MapFault;
use strum::EnumCount;

use crate::CapacityShortage;

/// Why a plan or a log entry about a plan is rejected. Operations are numbered from 0 in the order of the plan file,
/// steps from 0 in the order in which they run; segments are given by id, nodes by name.
#[derive(Clone, Debug, PartialEq, thiserror::Error, EnumCount)]
pub enum RebalanceError {
    // Faults of the plan document.
    /// The plan is not valid JSON or does not have the expected fields.
    #[error("{line}:{column}: {reason}")]
    InvalidJson {
        /// Line of the fault, from 1.
        line: usize,
        /// Column of the fault, from 1.
        column: usize,
        /// Message of the JSON parser.
        reason: String,
    },
    /// The plan's id is empty.
    #[error("the plan has no id")]
    MissingId,
    /// The plan has no operations or too many.
    #[error("the plan has {count} operations, expected 1 to {max}")]
    OperationCount {
        /// Number of operations in the plan.
        count: usize,
        /// Maximum number of operations in a plan.
        max: usize,
    },
    /// A split has no keys, its keys are not in ascending order, or the number of new ids is not one more than that of
    /// keys.
    #[error(
        "operation {operation}: split of segment {segment}: expected one or more ascending keys, and one more new id than keys"
    )]
    InvalidSplit {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
    },
    /// A merge names fewer than two segments.
    #[error("operation {operation}: a merge needs at least two segments")]
    MergeTooSmall {
        /// Index of the operation in the plan, from 0.
        operation: usize,
    },
    /// A move has the same source and destination, or the new owner already owns the segment.
    #[error("operation {operation}: segment {segment} would move from node `{node}` to the same node")]
    SameNode {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// Name of the node that is both source and destination, or that already owns the segment.
        node: String,
    },
    /// A node's replica group is not listed in the plan.
    #[error("node `{node}` is in replica group `{group}`, which the plan does not list")]
    UnknownReplicaGroup {
        /// Name of the node.
        node: String,
        /// Name of the replica group.
        group: String,
    },

    // Conflicts with the active map.
    /// The active configuration version has no shard map.
    #[error("there is no active shard map to change")]
    NoMap,
    /// The id of a new segment is in use, or the plan gives it to two new segments.
    #[error("operation {operation}: segment id {id} is already in use, or the plan gives it twice")]
    DuplicateSegmentId {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the new segment.
        id: u64,
    },
    /// The segment does not exist when the operation is due.
    #[error(
        "operation {operation}: segment {segment} does not exist, and no operation that can run earlier creates it"
    )]
    UnknownSegment {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
    },
    /// A split key is outside of the segment, or is the segment's first key.
    #[error("operation {operation}: split key {key} is not inside segment {segment}, or is its first key")]
    SplitKeyOutside {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// The invalid split key.
        key: u64,
    },
    /// A merge names segments that are not adjacent, or not in the order of their keys.
    #[error("operation {operation}: segments {first} and {second} are not adjacent in this order")]
    NotAdjacent {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the first segment.
        first: u64,
        /// Id of the second segment.
        second: u64,
    },
    /// A merge names segments whose owners or replicas differ.
    #[error("operation {operation}: segments {first} and {second} do not have the same owner and replicas")]
    DifferentReplicas {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the first segment.
        first: u64,
        /// Id of the second segment.
        second: u64,
    },
    /// The node has no replica of the segment.
    #[error("operation {operation}: node `{node}` has no replica of segment {segment}")]
    NotAReplica {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// Name of the node without a replica.
        node: String,
    },
    /// The node that would get a new replica already has one of this segment.
    #[error("operation {operation}: node `{node}` already has a replica of segment {segment}")]
    AlreadyReplica {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// Name of the node that already has a replica.
        node: String,
    },
    /// The operation needs filled replicas, and one of the segment's replicas is not filled yet.
    #[error("operation {operation}: the replica of segment {segment} on node `{node}` is not filled")]
    ReplicaNotFilled {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Id of the segment.
        segment: u64,
        /// Name of the node whose replica is not filled.
        node: String,
    },
    /// Neither the map nor the plan names the node's partner.
    #[error("operation {operation}: neither the map nor the plan names the partner of node `{node}`")]
    UnknownPartner {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Name of the node whose partner is unknown.
        node: String,
    },
    /// The node that would get the replica or the ownership is draining or removed in the active configuration version.
    #[error("operation {operation}: node `{node}` is draining or removed in the active version")]
    NodeLeaving {
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Name of the draining or removed node.
        node: String,
    },
    /// One configuration version would change more of the map's segments than the maximum ratio allows.
    #[error(
        "step {step}, operation {operation}: {changed} of {total} segments would change, the maximum ratio is {max_ratio}"
    )]
    TooManyChanges {
        /// Index of the step, from 0.
        step: usize,
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// Number of segments that would change.
        changed: usize,
        /// Number of segments in the map before or after the change, whichever is larger.
        total: usize,
        /// Maximum ratio of changed segments to all segments.
        max_ratio: f64,
    },
    /// The step would exceed a capacity. When the steps of a plan are ordered, this means that no order is possible;
    /// the error is then that of the attempt that got furthest.
    #[error("step {step}, operation {operation}: {shortage}")]
    CapacityExceeded {
        /// Index of the step, from 0.
        step: usize,
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// The capacity that would be exceeded, and by how much.
        shortage: Box<CapacityShortage>,
    },
    /// The search for an order of the plan's actions stopped without a result, because it has visited the maximum
    /// number of layouts (states of the changed segments). A valid order may exist. The error names where the attempt
    /// that got furthest failed.
    #[error(
        "no order found after {visited} layouts; the attempt that got furthest failed at step {step}, operation {operation}: {shortage}"
    )]
    SearchExhausted {
        /// Number of layouts that the search visited.
        visited: usize,
        /// Index of the step, from 0.
        step: usize,
        /// Index of the operation in the plan, from 0.
        operation: usize,
        /// The capacity that would be exceeded, and by how much.
        shortage: Box<CapacityShortage>,
    },
    /// The map of a step is invalid, or there is no safe transition from the active map to it.
    #[error("step {step}: the map is invalid: {}", first_fault(.faults))]
    InvalidMap {
        /// Index of the step, from 0.
        step: usize,
        /// Faults of the map, at least one.
        faults: Vec<MapFault>,
    },

    // Faults of steps that another broker ordered.
    /// A step is not valid for the plan, or differs from what this broker computes.
    #[error("step {step}: {reason}")]
    InvalidStep {
        /// Index of the step, from 0.
        step: usize,
        /// What is wrong with the step.
        reason: String,
    },

    // Entries and versions that do not fit the plan's progress.
    /// Another plan is running; only one plan runs at a time.
    #[error("plan `{running}` is still running")]
    OtherPlanRunning {
        /// Id of the running plan.
        running: String,
    },
    /// A plan with this id has already ended; ids of plans are never reused.
    #[error("plan `{id}` has already ended: {outcome}")]
    PlanEnded {
        /// Id of the plan.
        id: String,
        /// Outcome of the plan, formatted by [`PlanOutcome`](crate::PlanOutcome).
        outcome: String,
    },
    /// The entry names a plan that is not running.
    #[error("plan `{id}` is not running")]
    NotRunning {
        /// Id of the plan.
        id: String,
    },
    /// A plan cannot be accepted or a step cannot start, because a configuration version is proposed and neither active
    /// nor withdrawn yet.
    #[error("version {open} is proposed and neither active nor withdrawn yet")]
    VersionOpen {
        /// Number of the proposed version.
        open: u64,
    },
    /// The entry that starts a step is late or repeated: it names another turn than the plan's current one, or the step
    /// of this turn has already started. A turn is one started attempt at a step; turns are numbered per plan.
    #[error("the entry is late or repeated: it is for turn {given}, plan `{id}` is at turn {current}")]
    StaleTurn {
        /// Id of the plan.
        id: String,
        /// Number of the turn (one started attempt at a step) that the entry names.
        given: u64,
        /// Number of the plan's current turn; a turn is one started attempt at a step.
        current: u64,
    },
    /// The plan is paused. No step can start, and a further pause is rejected unless an operator's pause replaces one
    /// for overload.
    #[error("plan `{id}` is paused: {reason}")]
    Paused {
        /// Id of the plan.
        id: String,
        /// Reason of the pause, formatted by [`PauseReason`](crate::PauseReason).
        reason: String,
    },
    /// The plan is not paused, or is paused for a reason that this entry cannot end.
    #[error("plan `{id}` is not paused, or not for a reason that this entry can end")]
    NotPaused {
        /// Id of the plan.
        id: String,
    },
    /// The plan is already withdrawn.
    #[error("plan `{id}` is already being undone")]
    AlreadyWithdrawn {
        /// Id of the plan.
        id: String,
    },
    /// The entry that starts a step names a version number that is not the next one; version numbers are consecutive.
    #[error("the step's version has number {given}, expected {expected}")]
    WrongNumber {
        /// Version number that the entry names.
        given: u64,
        /// The version number that has to be used next.
        expected: u64,
    },
    /// Another version was proposed although a step has started: the step's version has to be proposed before any other
    /// version.
    #[error(
        "turn {turn} of plan `{id}` has started as version {number}, which must be proposed before any other version"
    )]
    StepPending {
        /// Id of the plan.
        id: String,
        /// Number of the plan's current turn; a turn is one started attempt at a step.
        turn: u64,
        /// Number of the started step's version.
        number: u64,
    },
    /// The version changes the map, which only the running plan's steps may do.
    #[error("plan `{id}` is running: other versions must not change the map until it has ended")]
    MapLocked {
        /// Id of the running plan.
        id: String,
    },
    /// The version belongs to a step that was abandoned before the version was proposed.
    #[error("version {number} belongs to a step that was abandoned before the version was proposed")]
    VersionAbandoned {
        /// Number of the version.
        number: u64,
    },
}

fn first_fault(faults: &[MapFault]) -> String {
    faults.first().map_or(String::new(), |fault| format!("{fault} ({})", fault.help()))
}

impl RebalanceError {
    /// Whether the same request may succeed later without an operator's help.
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
