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
fn non_idempotent_retriable_only_if_never_ran(
    #[values(0, 1, 2, 3, 4, 5, 6)] stage: usize,
    #[values(OwnerSide::Old, OwnerSide::New)] side: OwnerSide,
) {
    let stage = STAGES[stage];
    let fence_action = fence_action(stage, Idempotency::NonIdempotent, side);
    assert_eq!(fence_action.never_ran(), !may_have_run(stage), "{stage:?}");
    assert_ne!(fence_action, FenceAction::Allowed, "{stage:?}: nobody owns it while the fence is down");
    assert_eq!(fence_action.outcome().is_some(), fence_action.never_ran());
}

#[test]
fn idempotent_attempts_are_never_fenced() {
    for (stage, side) in STAGES.iter().flat_map(|stage| SIDES.map(|side| (*stage, side))) {
        for effect in [Idempotency::Idempotent, Idempotency::Keyed { window_seconds: 1.0 }] {
            let fence_action = fence_action(stage, effect, side);
            assert!(
                matches!(fence_action, FenceAction::Allowed | FenceAction::Accepted),
                "{stage:?} {side:?}"
            );
        }
    }
}
