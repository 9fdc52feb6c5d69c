//! Decides what is done with an attempt while the owner of its segment changes.
//!
//! A configuration version that changes the owner of a segment has a joint phase, in which the segment is fenced: no
//! node may get a non-idempotent attempt of the segment. The new owner gets such attempts only after those sent
//! earlier are known to have ended.

use dunepond_routing::{AttemptOutcome, Idempotency};

/// The progress of an attempt, in relation to the beginning of the joint phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// The query has started, and the attempt has not been sent.
    NotSent,
    /// The attempt waits for a connection, or is assigned to one but not in a frame yet.
    Queued,
    /// The attempt is in a frame that is not completely written.
    PartlyWritten,
    /// The frame is completely written, and the node has not answered.
    AwaitingAnswer,
    /// The node's answer arrived before the joint phase began.
    Answered,
    /// The node's answer arrived in the joint phase or after it.
    AnsweredLate,
    /// The node rejected the attempt without running it.
    Rejected,
}

/// Whether an attempt's node owns the segment under the old shard map or under the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerSide {
    /// The node is the owner under the old map.
    Old,
    /// The node is the owner under the new map.
    New,
}

/// What is done with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceAction {
    /// The change of owner does not affect the attempt: it may be sent, and retried as its idempotency allows.
    Allowed,
    /// The attempt is withdrawn unsent. Its query is rejected as retriable if none of the query's parts has run.
    Withdrawn,
    /// The connection is closed before the frame is complete, so that the node cannot have run the attempt. The query
    /// is then treated as with `Withdrawn`.
    Aborted,
    /// The attempt ends only with its own answer or with the query's timeout, and is not sent again.
    AwaitOwnAnswer,
    /// The answer is used once, and counts under the shard map that was active at the query's start.
    Accepted,
}

impl FenceAction {
    /// Returns whether the attempt certainly has not run and will not. Its query may then be sent again, to whichever
    /// node is the owner by then.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Withdrawn | Self::Aborted)
    }

    /// Returns the outcome that is reported to the router; `None` if the attempt continues.
    pub fn outcome(self) -> Option<AttemptOutcome> {
        match self {
            Self::Withdrawn => Some(AttemptOutcome::NotSent),
            Self::Aborted => Some(AttemptOutcome::ConnectFailed),
            Self::Allowed | Self::AwaitOwnAnswer | Self::Accepted => None,
        }
    }
}

/// Returns the action for an attempt in the joint phase. Attempts at the new owner are treated like those at the old
/// one, because some broker may still act on the old map.
pub fn fence_action(stage: AttemptStage, idempotency: Idempotency, side: OwnerSide) -> FenceAction {
    use AttemptStage::{Answered, AnsweredLate, AwaitingAnswer, NotSent, PartlyWritten, Queued, Rejected};
    use FenceAction::{Aborted, Accepted, Allowed, AwaitOwnAnswer, Withdrawn};
    use Idempotency::{Idempotent, Keyed, NonIdempotent};
    match (stage, idempotency, side) {
        (Answered | AnsweredLate, _, _) => Accepted,
        // Any replica may run idempotent parts repeatedly, and a node drops keyed parts that it has already run.
        (NotSent | Queued | PartlyWritten | AwaitingAnswer | Rejected, Idempotent | Keyed { .. }, _) => {
            Allowed
        }
        (NotSent | Queued | Rejected, NonIdempotent, OwnerSide::Old | OwnerSide::New) => Withdrawn,
        (PartlyWritten, NonIdempotent, OwnerSide::Old | OwnerSide::New) => Aborted,
        // The part may be running, so neither owner may get it again.
        (AwaitingAnswer, NonIdempotent, OwnerSide::Old | OwnerSide::New) => AwaitOwnAnswer,
    }
}

#[cfg(test)]
mod tests;
