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

/// Returns whether a node may have run an attempt that was at this stage when the joint phase began.
fn may_have_run(stage: AttemptStage) -> bool {
    matches!(stage, AttemptStage::AwaitingAnswer | AttemptStage::Answered | AttemptStage::AnsweredLate)
}

#[rstest]
fn non_idempotent_retriable_only_if_never_ran(
    #[values(0, 1, 2, 3, 4, 5, 6)] stage: usize,
    #[values(OwnerSide::Old, OwnerSide::New)] side: OwnerSide,
) {
    let stage = STAGES[stage];
    let action = fence_action(stage, Idempotency::NonIdempotent, side);
    assert_eq!(action.never_ran(), !may_have_run(stage), "{stage:?}");
    assert_ne!(
        action,
        FenceAction::Allowed,
        "{stage:?}: no node may run the segment's non-idempotent attempts in the joint phase"
    );
    assert_eq!(action.outcome().is_some(), action.never_ran());
}

#[test]
fn idempotent_attempts_are_never_fenced() {
    for (stage, side) in STAGES.iter().flat_map(|stage| SIDES.map(|side| (*stage, side))) {
        for idempotency in [Idempotency::Idempotent, Idempotency::Keyed { window_seconds: 1.0 }] {
            let action = fence_action(stage, idempotency, side);
            assert!(matches!(action, FenceAction::Allowed | FenceAction::Accepted), "{stage:?} {side:?}");
        }
    }
}
