//! What an operator can do about each error.

use super::RebalanceError;

impl RebalanceError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        self.help_for_plan().or(self.help_for_map()).unwrap_or_else(|| self.help_for_progress())
    }

    fn help_for_plan(&self) -> Option<&'static str> {
        Some(match self {
            Self::InvalidJson { .. } => "write the plan as docs/operators/fleet.md shows it, and send SIGHUP",
            Self::MissingId => "give the plan an id that no plan had before",
            Self::OperationCount { .. } => "cut the plan into several, one after the other",
            Self::InvalidSplit { .. } => "write the keys in their order, and an id for each part",
            Self::MergeTooSmall { .. } => {
                "name the segments that are to become one, in the order of their keys"
            }
            Self::SameNode { .. } => "name another node as `to`, or leave the operation out",
            Self::UnknownReplicaGroup { .. } => {
                "name the cell under `cells`, with its room or with none (`{}`)"
            }
            _ => return None,
        })
    }

    fn help_for_map(&self) -> Option<&'static str> {
        Some(match self {
            Self::NoMap => "propose a version with a map first",
            Self::DuplicateSegmentId { .. } => "give it an id that no segment has or had",
            Self::UnknownSegment { .. } => {
                "look at the map in force, and at which operation was to make this segment"
            }
            Self::SplitKeyOutside { .. } => "split at a key of the segment that is not its first",
            Self::NotAdjacent { .. } => "name neighbours, in the order of their keys",
            Self::DifferentReplicas { .. } => {
                "move them to the same holders and the same owner first; the same plan may do it"
            }
            Self::NotAReplica { .. } => "name a node that holds the segment",
            Self::AlreadyReplica { .. } => "to change the owner among holders use `own`",
            Self::ReplicaNotFilled { .. } => {
                "wait until the holder is filled, or take it out by a version first"
            }
            Self::UnknownPartner { .. } => "name its partner under `nodes`",
            Self::NodeLeaving { .. } => "name a node that stays, or end its drain by a version first",
            Self::TooManyChanges { .. } => {
                "raise `map most-changed` at the voters, or make the operation smaller"
            }
            Self::CapacityExceeded { .. } | Self::SearchExhausted { .. } => {
                "give it the room that is short, move something else away first, or leave the operation out; \
                 where operations wait for each other one more node with room helps"
            }
            Self::InvalidMap { .. } => {
                "mend what the fault names; the plan was made for another map, perhaps"
            }
            Self::InvalidStep { .. } => {
                "the proposer's build orders otherwise than this one: bring all to one build"
            }
            _ => return None,
        })
    }

    fn help_for_progress(&self) -> &'static str {
        match self {
            Self::OtherPlanRunning { .. } => "wait until it has ended, or withdraw it by its file's `word`",
            Self::PlanEnded { .. } => "give a new plan a new id; an ended one needs nothing more",
            Self::NotRunning { .. } => "nothing to do: it has ended, or was never taken",
            Self::VersionOpen { .. } => {
                "nothing to do: it goes on when that version is in force or withdrawn"
            }
            Self::StaleTurn { .. } => "nothing to do: an entry came late or twice",
            Self::Paused { .. } => "nothing to do if it is pressure; otherwise mend it, and say `go` again",
            Self::AlreadyWithdrawn { .. } => "wait until it is undone",
            Self::WrongNumber { .. } => "nothing to do: the step is begun anew with the next number",
            Self::StepPending { .. } => "wait: it is proposed again when the step is over",
            Self::MapLocked { .. } => {
                "wait for the plan's end, or withdraw it; a version that leaves the map as it is may come in between"
            }
            Self::VersionAbandoned { .. } => "nothing to do: a late entry of an earlier leader",
            _ => "nothing to do",
        }
    }
}
