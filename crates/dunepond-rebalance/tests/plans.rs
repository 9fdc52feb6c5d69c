//! Example plans: the steps they are ordered into, and the errors of plans that are not possible.

mod common;

use common::*;
use dunepond_rebalance::{
    Capacity, CapacityScope, CapacityUnit, RebalanceError, Step, StepKind, StepLimits, order_steps,
    verify_steps,
};
use dunepond_shard_map::{TransitionPhase, VerifiedMap};
use rstest::rstest;
use strum::EnumCount;

/// Applies the batches to the map one by one, each by the verified map transition that its configuration version would
/// use. Returns the last map and, for each batch, the numbers of required fills and of changed segments.
fn apply_batches<'a>(
    from: &VerifiedMap,
    batches: impl Iterator<Item = &'a dunepond_rebalance::ActionBatch>,
) -> (VerifiedMap, Vec<(usize, usize)>) {
    let (mut map, mut counts) = (from.clone(), Vec::new());
    for (step, batch) in batches.enumerate() {
        let transition = batch.transition(&map, step).unwrap();
        let filled: Vec<_> =
            transition.required_fills().iter().map(|fill| (fill.segment, fill.replica.clone())).collect();
        counts.push((transition.required_fills().len(), transition.changed_segments()));
        map = transition.to().with_filled(filled.iter().map(|(id, node)| (*id, &**node)));
    }
    (map, counts)
}

/// Forward batches of the steps.
fn forward(steps: &[Step]) -> impl Iterator<Item = &dunepond_rebalance::ActionBatch> {
    steps.iter().map(|step| &step.forward)
}

// Guards against steps that mix kinds, wait for needless fills, or take ownership from segments that do not move.
#[test]
fn split_move_and_merge_give_one_step_of_each_kind() {
    let from = map_of(&[&["a", "b"], &["a", "b"], &["a", "b"], &["c"]]);
    let plan = plan(vec![split(0, 99, [10, 11]), move_segment(11, "a", "c"), merge([1, 2], 12)]);
    let steps = order_steps(&plan, &from, LIMITS, |_| false).unwrap();
    let kinds: Vec<StepKind> = forward(&steps).map(|batch| batch.kind).collect();
    assert_eq!(kinds, [StepKind::MetadataOnly, StepKind::Fill, StepKind::Fence], "{steps:?}");
    verify_steps(&plan, &steps, &from, LIMITS, |_| false).unwrap();
    let (to, counts) = apply_batches(&from, forward(&steps));
    // Only the second step waits for a fill.
    assert_eq!(counts.iter().map(|(fills, _)| *fills).collect::<Vec<_>>(), [0, 1, 0]);
    let owners: Vec<_> =
        to.segments().map(|segment| (segment.id, segment.owner.as_str(), segment.keys.from)).collect();
    let width = 1 << 62;
    assert_eq!(owners, [(10, "a", 0), (11, "c", 99), (12, "a", width), (3, "c", 3 * width)]);
    // In the joint phase of the last step the moved segment has no owner, and the others keep theirs.
    let (before, _) = apply_batches(&from, forward(&steps[..2]));
    let transition = steps[2].forward.transition(&before, 2).unwrap();
    assert_eq!(
        [10, 11, 12].map(|id| transition.owner_of_segment(id, TransitionPhase::Joint)),
        [Some("a"), None, Some("a")]
    );
}

// Guards against moves to a full node that run before the moves that free capacity there.
#[test]
fn moves_to_a_full_node_wait_for_moves_away() {
    // `a` is full: a segment can move there only after another one has left.
    let from = map_of(&[&["a"], &["a"], &["b"], &["b"]]);
    let mut plan = plan(vec![
        move_segment(2, "b", "a"),
        move_segment(3, "b", "a"),
        move_segment(0, "a", "c"),
        move_segment(1, "a", "c"),
    ]);
    plan.nodes.insert("a".to_string(), node("a", Some(20), None));
    let steps = order_steps(&plan, &from, LIMITS, |_| false).unwrap();
    let batches: Vec<String> = steps.iter().map(|step| step.forward.to_string()).collect();
    assert_eq!(batches[0], "Fill: fill 0 at c, fill 1 at c");
    assert_eq!(batches[2], "Fill: fill 2 at a, fill 3 at a", "{batches:?}");
    assert_eq!(steps.len(), 4);
    // With the lowest limits each step has one action.
    let single_action_steps =
        order_steps(&plan, &from, StepLimits { max_actions: 1, max_changed_ratio: 0.25 }, |_| false).unwrap();
    assert_eq!(single_action_steps.len(), 8);
    // The order of the file is not possible, and the error names the shortage.
    plan.ordered = true;
    let error = order_steps(&plan, &from, LIMITS, |_| false).unwrap_err();
    let RebalanceError::CapacityExceeded { step: 0, operation: 0, shortage } = error else {
        panic!("{error}")
    };
    assert_eq!(
        (shortage.scope.clone(), shortage.missing(), &shortage.freed_by[..]),
        (CapacityScope::Node("a".into()), 10, &[2, 3][..])
    );
}

// Guards against an order for an impossible plan, in which two full nodes swap segments, and against an error that does
// not name their shortage.
#[test]
fn swap_of_full_nodes_is_rejected() {
    let from = map_of(&[&["a"], &["b"], &["c"]]);
    let mut swap =
        plan(vec![move_segment(2, "c", "d"), move_segment(0, "a", "b"), move_segment(1, "b", "a")]);
    for name in ["a", "b"] {
        swap.nodes.insert(name.to_string(), node(name, Some(10), None));
    }
    let error = order_steps(&swap, &from, LIMITS, |_| false).unwrap_err();
    let RebalanceError::CapacityExceeded { step: 2, operation: 1, shortage } = &error else {
        panic!("{error}")
    };
    assert_eq!((shortage.missing(), &shortage.freed_by[..]), (10, &[2][..]), "{error}");
    // The swap is possible if one of the nodes has capacity for a second segment.
    swap.nodes.insert("b".to_string(), node("b", Some(20), None));
    assert!(order_steps(&swap, &from, LIMITS, |_| false).is_ok());
}

// Guards against a move that keeps its node's capacity but exceeds that of the node's replica group or partner.
#[rstest]
#[case::replica_group(|plan: &mut dunepond_rebalance::Plan| { plan.replica_groups.insert("left".into(), Capacity { bytes: Some(15), segments: None }); }, CapacityScope::ReplicaGroup("left".into()))]
#[case::partner(|plan: &mut dunepond_rebalance::Plan| { plan.partners.insert("south".into(), Capacity { bytes: None, segments: Some(1) }); }, CapacityScope::Partner("south".into()))]
fn move_beyond_a_shared_capacity_is_rejected(
    #[case] set_capacity: fn(&mut dunepond_rebalance::Plan),
    #[case] scope: CapacityScope,
) {
    let from = map_of(&[&["a"], &["c"], &["b"]]);
    // `a` and `c` are in replica group "left", `c` and `d` belong to partner "south".
    let mut plan = plan(vec![move_segment(2, "b", "c")]);
    assert!(order_steps(&plan, &from, LIMITS, |_| false).is_ok());
    set_capacity(&mut plan);
    let error = order_steps(&plan, &from, LIMITS, |_| false).unwrap_err();
    assert!(
        matches!(&error, RebalanceError::CapacityExceeded { shortage, .. } if shortage.scope == scope),
        "{error}"
    );
}

// Guards against an error about a capacity or another operation when one of many operations names an unknown segment.
#[test]
fn unknown_segment_among_many_moves_is_reported() {
    let nodes: Vec<&[&str]> = (0..64).map(|_| &["a"][..]).collect();
    let from = map_of(&nodes);
    let mut plan = plan((0..40).map(|segment| move_segment(segment, "a", "c")).collect());
    plan.operations.push(move_segment(999, "a", "c"));
    plan.nodes.insert("c".to_string(), node("c", Some(10_000), None));
    let error = order_steps(&plan, &from, LIMITS, |_| false).unwrap_err();
    assert_eq!(error, RebalanceError::UnknownSegment { operation: 40, segment: 999 });
}

// Guards against voters that accept steps which do not carry out the plan within its capacities and limits.
#[test]
fn altered_steps_are_rejected() {
    let from = map_of(&[&["a"], &["a"], &["b"]]);
    let mut plan =
        plan(vec![move_segment(0, "a", "c"), move_segment(1, "a", "c"), move_segment(2, "b", "a")]);
    plan.nodes.insert("a".to_string(), node("a", Some(20), None));
    let steps = order_steps(&plan, &from, LIMITS, |_| false).unwrap();
    let check = |steps: &[Step], limits| verify_steps(&plan, steps, &from, limits, |_| false);
    assert!(check(&steps, LIMITS).is_ok());
    let assert_rejected = |steps: &[Step]| assert!(check(steps, LIMITS).is_err(), "{steps:?}");
    // A step is missing.
    assert_rejected(&steps[..steps.len() - 1]);
    // Two steps are swapped.
    let mut other = steps.clone();
    other.swap(0, 1);
    assert_rejected(&other);
    // A step is repeated.
    let mut other = steps.clone();
    other.insert(1, steps[0].clone());
    assert_rejected(&other);
    // A step has another kind.
    let mut other = steps.clone();
    other[0].forward.kind = StepKind::MetadataOnly;
    assert_rejected(&other);
    // A step has no rollback.
    let mut other = steps.clone();
    other[0].rollback.clear();
    assert_rejected(&other);
    // The move to `a` is in the same step as those away from it, which free nothing before the step ends.
    let mut other = steps.clone();
    let later_step = other
        .iter()
        .position(|step| step.forward.actions.iter().any(|planned| planned.operation == 2))
        .unwrap();
    let fill = other[later_step].forward.actions.remove(0);
    other[0].forward.actions.push(fill);
    assert_rejected(&other);
    assert!(check(&steps, StepLimits { max_actions: 1, ..LIMITS }).is_err());
}

// Guards against documentation whose example plan does not parse.
#[test]
fn documented_plan_parses() {
    let page = include_str!("../../../docs/operators/fleet.md");
    let section = page.split("## Moves").nth(1).unwrap();
    let lines = section.lines().skip_while(|line| !line.starts_with("    {"));
    let text: String = lines.take_while(|line| line.starts_with("    ")).collect();
    let plan = dunepond_rebalance::Plan::parse(&text).unwrap();
    assert_eq!((plan.operations.len(), plan.nodes["s-3"].capacity.segments), (4, Some(40)));
    let error = dunepond_rebalance::Plan::parse(&text.replace("unless", "unles")).unwrap_err();
    assert!(matches!(error, RebalanceError::InvalidJson { .. }), "{error}");
}

// Guards against an error without a message or help.
#[test]
fn every_error_has_a_message_and_help() {
    let shortage = dunepond_rebalance::CapacityShortage {
        scope: CapacityScope::Node("a".to_string()),
        unit: CapacityUnit::Bytes,
        capacity: 10,
        used: 8,
        added: 5,
        freed_by: vec![1],
    };
    assert!(shortage.to_string().contains("3 short"), "{shortage}");
    let (operation, segment, step, node, id) = (0, 1, 2, "a".to_string(), "p".to_string());
    let (first, second) = (1, 2);
    let all = [
        RebalanceError::InvalidJson { line: 1, column: 2, reason: String::new() },
        RebalanceError::MissingId,
        RebalanceError::OperationCount { count: 0, max: 1 },
        RebalanceError::InvalidSplit { operation, segment },
        RebalanceError::MergeTooSmall { operation },
        RebalanceError::SameNode { operation, segment, node: node.clone() },
        RebalanceError::UnknownReplicaGroup { node: node.clone(), group: id.clone() },
        RebalanceError::NoMap,
        RebalanceError::DuplicateSegmentId { operation, id: 1 },
        RebalanceError::UnknownSegment { operation, segment },
        RebalanceError::SplitKeyOutside { operation, segment, key: 1 },
        RebalanceError::NotAdjacent { operation, first, second },
        RebalanceError::DifferentReplicas { operation, first, second },
        RebalanceError::NotAReplica { operation, segment, node: node.clone() },
        RebalanceError::AlreadyReplica { operation, segment, node: node.clone() },
        RebalanceError::ReplicaNotFilled { operation, segment, node: node.clone() },
        RebalanceError::UnknownPartner { operation, node: node.clone() },
        RebalanceError::NodeLeaving { operation, node },
        RebalanceError::TooManyChanges { step, operation, changed: 1, total: 2, max_ratio: 0.2 },
        RebalanceError::CapacityExceeded { step, operation, shortage: shortage.clone().into() },
        RebalanceError::SearchExhausted { visited: 1, step, operation, shortage: shortage.into() },
        RebalanceError::InvalidMap { step, faults: vec![dunepond_shard_map::MapFault::NoSegments] },
        RebalanceError::InvalidStep { step, reason: String::new() },
        RebalanceError::OtherPlanRunning { running: id.clone() },
        RebalanceError::PlanEnded { id: id.clone(), outcome: String::new() },
        RebalanceError::NotRunning { id: id.clone() },
        RebalanceError::VersionOpen { open: 1 },
        RebalanceError::StaleTurn { id: id.clone(), given: 1, current: 2 },
        RebalanceError::Paused { id: id.clone(), reason: String::new() },
        RebalanceError::NotPaused { id: id.clone() },
        RebalanceError::AlreadyWithdrawn { id: id.clone() },
        RebalanceError::WrongNumber { given: 1, expected: 2 },
        RebalanceError::StepPending { id: id.clone(), turn: 1, number: 2 },
        RebalanceError::MapLocked { id },
        RebalanceError::VersionAbandoned { number: 1 },
    ];
    assert_eq!(all.len(), RebalanceError::COUNT);
    assert!(all.iter().all(|error| !error.help().is_empty() && !error.to_string().is_empty()));
    let mut variants: Vec<_> = all.iter().map(std::mem::discriminant).collect();
    variants.dedup();
    assert_eq!(variants.len(), RebalanceError::COUNT, "each variant once");
}
