//! Every state in which an attempt can be when a segment's owner changes, and the one action that follows.
//!
//! The fence is the joint phase of a configuration version that changes the owner: meanwhile nobody may get a non-idempotent attempt, and
//! what went out before must be known to be over before the new owner gets any.

use dunepond_routing::{AttemptOutcome, Idempotency};

/// How far the part had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// Its query has begun, and it is not sent.
    NotSent,
    /// It waits for a connection, or in the line of one.
    Queued,
    /// Its frame is put on its connection, and not all of it written.
    PartlyWritten,
    /// All written, and no answer.
    AwaitingAnswer,
    /// Its answer was in before the fence fell.
    Answered,
    /// Its answer came while the fence was down, or after.
    AnsweredLate,
    /// The node turned it away unseen.
    Rejected,
}

/// Whose node it was sent, or would be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerSide {
    Old,
    New,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceAction {
    /// As if there were no fence: it may be sent, and what is out may be sent once more as its effect allows.
    Allowed,
    /// Given back unsent: its query is rejected, with when to return, if nothing of it has run.
    Returned,
    /// Its connection ends before the frame does, so that the node cannot have read it; then as held.
    Aborted,
    /// Its own answer alone ends it, until its query timeout; it is sent nowhere else.
    AwaitOwnAnswer,
    /// Its answer counts, once, under the map that its query began on.
    Accepted,
}

impl FenceAction {
    /// Known not to have run and not to run any more: it may be asked for again, at whoever owns it then.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Returned | Self::Aborted)
    }

    /// How the router hears of it; nothing where it goes on.
    pub fn end(self) -> Option<AttemptOutcome> {
        match self {
            Self::Returned => Some(AttemptOutcome::NotSent),
            Self::Aborted => Some(AttemptOutcome::ConnectFailed),
            Self::Allowed | Self::AwaitOwnAnswer | Self::Accepted => None,
        }
    }
}

/// The table. Both sides stand in it, as the new owner is no better while some broker may still act on the old map.
pub fn fence_action(stage: AttemptStage, effect: Idempotency, side: OwnerSide) -> FenceAction {
    use AttemptStage::{Answered, AnsweredLate, AwaitingAnswer, NotSent, PartlyWritten, Queued, Rejected};
    use FenceAction::{Aborted, Accepted, Allowed, AwaitOwnAnswer, Returned};
    use Idempotency::{Idempotent, Keyed, NonIdempotent};
    match (stage, effect, side) {
        (Answered | AnsweredLate, _, _) => Accepted,
        // Whoever holds the keys may run it, as often as it takes; of keyed ones the node drops what it has run.
        (NotSent | Queued | PartlyWritten | AwaitingAnswer | Rejected, Idempotent | Keyed(_), _) => Allowed,
        (NotSent | Queued | Rejected, NonIdempotent, OwnerSide::Old | OwnerSide::New) => Returned,
        (PartlyWritten, NonIdempotent, OwnerSide::Old | OwnerSide::New) => Aborted,
        // It may be running: neither the other side nor this one may get it again.
        (AwaitingAnswer, NonIdempotent, OwnerSide::Old | OwnerSide::New) => AwaitOwnAnswer,
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    const STAGES: [AttemptStage; 7] = [
        AttemptStage::NotSent,
        AttemptStage::Queued,
        AttemptStage::PartlyWritten,
        AttemptStage::AwaitingAnswer,
        AttemptStage::Answered,
        AttemptStage::AnsweredLate,
        AttemptStage::Rejected,
    ];
    const SIDES: [OwnerSide; 2] = [OwnerSide::Old, OwnerSide::New];

    /// Whether a node may have run a part that was so far when the fence fell.
    fn may_have_run(stage: AttemptStage) -> bool {
        matches!(stage, AttemptStage::AwaitingAnswer | AttemptStage::Answered | AttemptStage::AnsweredLate)
    }

    #[rstest]
    fn what_must_not_run_twice_is_asked_for_again_only_where_it_surely_never_ran(
        #[values(0, 1, 2, 3, 4, 5, 6)] stage: usize,
        #[values(OwnerSide::Old, OwnerSide::New)] side: OwnerSide,
    ) {
        let stage = STAGES[stage];
        let fence_action = fence_action(stage, Idempotency::NonIdempotent, side);
        assert_eq!(fence_action.never_ran(), !may_have_run(stage), "{stage:?}");
        assert_ne!(fence_action, FenceAction::Allowed, "{stage:?}: nobody owns it while the fence is down");
        assert_eq!(fence_action.end().is_some(), fence_action.never_ran());
    }

    #[test]
    fn what_may_run_twice_is_never_held_up() {
        for (stage, side) in STAGES.iter().flat_map(|stage| SIDES.map(|side| (*stage, side))) {
            for effect in [Idempotency::Idempotent, Idempotency::Keyed(1.0)] {
                let fence_action = fence_action(stage, effect, side);
                assert!(
                    matches!(fence_action, FenceAction::Allowed | FenceAction::Accepted),
                    "{stage:?} {side:?}"
                );
            }
        }
    }
}
