//! Every state in which an attempt can be when a segment's owner changes, and the one action that follows.
//!
//! The fence is the joint phase of a configuration version that changes the owner: meanwhile no node may get a non-idempotent attempt, and
//! what went out before must be known to be over before the new owner gets any.

use dunepond_routing::{AttemptOutcome, Idempotency};

/// How far an attempt had come when the joint phase began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// Its query has begun, and it is not sent.
    NotSent,
    /// It waits for a connection, or is on one without having been framed.
    Queued,
    /// Its frame is put on its connection, and not all of it written.
    PartlyWritten,
    /// All written, and no answer.
    AwaitingAnswer,
    /// Its answer was in before the joint phase began.
    Answered,
    /// Its answer came in the joint phase, or after it.
    AnsweredLate,
    /// The node rejected it without running it.
    Rejected,
}

/// Whether its node is the owner by the old map or by the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerSide {
    /// Owner by the old map.
    Old,
    /// Owner by the new map.
    New,
}

/// What is done with the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceAction {
    /// As without a change of owner: it may be sent, and sent again as its idempotency allows.
    Allowed,
    /// Returned unsent: its query is rejected as retriable if none of its parts has run.
    Returned,
    /// Its connection is closed before the frame is complete, so that the node cannot have read it; then as `Returned`.
    Aborted,
    /// Only its own answer or the query's timeout ends it; it is not sent again.
    AwaitOwnAnswer,
    /// Its answer counts, once, under the map that its query began on.
    Accepted,
}

impl FenceAction {
    /// Whether it is certain that it has not run and will not: its query may be sent again, to the owner of that time.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Returned | Self::Aborted)
    }

    /// The outcome reported to the router; `None` if the attempt continues.
    pub fn outcome(self) -> Option<AttemptOutcome> {
        match self {
            Self::Returned => Some(AttemptOutcome::NotSent),
            Self::Aborted => Some(AttemptOutcome::ConnectFailed),
            Self::Allowed | Self::AwaitOwnAnswer | Self::Accepted => None,
        }
    }
}

/// The action for each case. The new owner is treated like the old one: some broker may still act on the old map.
pub fn fence_action(stage: AttemptStage, idempotency: Idempotency, side: OwnerSide) -> FenceAction {
    use AttemptStage::{Answered, AnsweredLate, AwaitingAnswer, NotSent, PartlyWritten, Queued, Rejected};
    use FenceAction::{Aborted, Accepted, Allowed, AwaitOwnAnswer, Returned};
    use Idempotency::{Idempotent, Keyed, NonIdempotent};
    match (stage, idempotency, side) {
        (Answered | AnsweredLate, _, _) => Accepted,
        // Any replica may run it repeatedly; a node drops keyed parts that it has run.
        (NotSent | Queued | PartlyWritten | AwaitingAnswer | Rejected, Idempotent | Keyed { .. }, _) => {
            Allowed
        }
        (NotSent | Queued | Rejected, NonIdempotent, OwnerSide::Old | OwnerSide::New) => Returned,
        (PartlyWritten, NonIdempotent, OwnerSide::Old | OwnerSide::New) => Aborted,
        // It may be running: neither owner may get it again.
        (AwaitingAnswer, NonIdempotent, OwnerSide::Old | OwnerSide::New) => AwaitOwnAnswer,
    }
}

#[cfg(test)]
mod tests;
