//! Help texts: what an operator can do about each error.

use super::RebalanceError;

impl RebalanceError {
    /// What an operator can do about the error.
    pub fn help(&self) -> &'static str {
        self.help_for_plan().or(self.help_for_map()).unwrap_or_else(|| self.help_for_progress())
    }

    fn help_for_plan(&self) -> Option<&'static str> {
        Some(match self {
            Self::InvalidJson { .. } => {
                "correct the plan file (format: docs/operators/fleet.md) and send SIGHUP"
            }
            Self::MissingId => "give the plan an `id` that no earlier plan had",
            Self::OperationCount { .. } => "split the plan into several and run them one after the other",
            Self::InvalidSplit { .. } => {
                "list the keys under `at` in ascending order, and one id under `into` for each new segment"
            }
            Self::MergeTooSmall { .. } => {
                "list all segments to merge under `segments`, in the order of their keys"
            }
            Self::SameNode { .. } => "name another node as `to`, or remove the operation",
            Self::UnknownReplicaGroup { .. } => {
                "add the replica group under `cells`, with its capacity or with `{}` for none"
            }
            _ => return None,
        })
    }

    fn help_for_map(&self) -> Option<&'static str> {
        Some(match self {
            Self::NoMap => "activate a version with a shard map first",
            Self::DuplicateSegmentId { .. } => "choose an id that no segment has or had",
            Self::UnknownSegment { .. } => {
                "check the id against the active map and the operations that create segments"
            }
            Self::SplitKeyOutside { .. } => "choose a key inside the segment that is not its first key",
            Self::NotAdjacent { .. } => "name adjacent segments, in the order of their keys",
            Self::DifferentReplicas { .. } => {
                "give the segments the same replicas and owner first; the same plan can do this"
            }
            Self::NotAReplica { .. } => "name a node that has a replica of the segment",
            Self::AlreadyReplica { .. } => {
                "name another node, or use `own` to change the owner among existing replicas"
            }
            Self::ReplicaNotFilled { .. } => {
                "wait until the replica is filled, or remove it by a version first"
            }
            Self::UnknownPartner { .. } => "set the node's `partner` under `nodes`",
            Self::NodeLeaving { .. } => {
                "name a node that is not leaving, or cancel its drain or removal by a version first"
            }
            Self::TooManyChanges { .. } => {
                "raise `map most-changed` at the voters, or make the operation smaller"
            }
            Self::CapacityExceeded { .. } | Self::SearchExhausted { .. } => {
                "raise the capacity that is short, move other segments away first, or remove the operation; if \
                 operations wait for each other, a further node with free capacity helps"
            }
            Self::InvalidMap { .. } => "correct the fault; the plan may have been written for another map",
            Self::InvalidStep { .. } => {
                "the proposer orders steps differently; run the same build on all brokers"
            }
            _ => return None,
        })
    }

    fn help_for_progress(&self) -> &'static str {
        match self {
            Self::OtherPlanRunning { .. } => {
                "wait until it has ended, or withdraw it by `word` in its plan file"
            }
            Self::PlanEnded { .. } => "give a new plan a new `id`; nothing to do for the ended plan",
            Self::NotRunning { .. } => "nothing to do: the plan has ended, or was never accepted",
            Self::VersionOpen { .. } => {
                "nothing to do: the plan continues once that version is active or withdrawn"
            }
            Self::StaleTurn { .. } => "nothing to do: the entry was late or repeated",
            Self::Paused { .. } => {
                "nothing to do if the reason is overload; otherwise fix the cause and set `word` to `go` again"
            }
            Self::AlreadyWithdrawn { .. } => "wait until the plan is undone",
            Self::WrongNumber { .. } => "nothing to do: the step is started again with the next number",
            Self::StepPending { .. } => "wait: the version is proposed again once the step has ended",
            Self::MapLocked { .. } => {
                "wait until the plan has ended, or withdraw it; versions that leave the map unchanged are allowed meanwhile"
            }
            Self::VersionAbandoned { .. } => "nothing to do: an earlier leader proposed the version late",
            _ => "nothing to do",
        }
    }
}
