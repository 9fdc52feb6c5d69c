//! Plans and what becomes of them, by example.

mod common;

use common::*;
use dunepond_rebalance::{
    Capacity, CapacityScope, CapacityUnit, RebalanceError, Step, StepKind, StepLimits, order_steps,
    verify_steps,
};
use dunepond_shard_map::{TransitionPhase as At, VerifiedMap};
use rstest::rstest;
use strum::EnumCount;

/// Carries out the steps on maps, each by the transition that a version is checked with. Counts fills and changed
/// segments.
fn carried_out<'a>(
    from: &VerifiedMap,
    batches: impl Iterator<Item = &'a dunepond_rebalance::ActionBatch>,
) -> (VerifiedMap, Vec<(usize, usize)>) {
    let (mut map, mut counts) = (from.clone(), Vec::new());
    for (step, batch) in batches.enumerate() {
        let transition = batch.transition(&map, step).unwrap();
        let filled: Vec<_> =
            transition.required_fills().iter().map(|need| (need.segment, need.replica.clone())).collect();
        counts.push((transition.required_fills().len(), transition.changed_segments()));
        map = transition.to().with_filled(filled.iter().map(|(id, node)| (*id, &**node)));
    }
    (map, counts)
}

fn forward(steps: &[Step]) -> impl Iterator<Item = &dunepond_rebalance::ActionBatch> {
    steps.iter().map(|step| &step.forward)
}

#[test]
fn steps_of_split_move_and_merge() {
    let from = map_of(&[&["a", "b"], &["a", "b"], &["a", "b"], &["c"]]);
    let plan = plan(vec![split(0, 99, [10, 11]), moves(11, "a", "c"), merge([1, 2], 12)]);
    let steps = order_steps(&plan, &from, LIMITS, |_| false).unwrap();
    let kinds: Vec<StepKind> = forward(&steps).map(|batch| batch.kind).collect();
    assert_eq!(kinds, [StepKind::MetadataOnly, StepKind::Fill, StepKind::Fence], "{steps:?}");
    verify_steps(&plan, &steps, &from, LIMITS, |_| false).unwrap();
    let (to, counts) = carried_out(&from, forward(&steps));
    // Only the second waits for a fill.
    assert_eq!(counts.iter().map(|(fills, _)| *fills).collect::<Vec<_>>(), [0, 1, 0]);
    let owners: Vec<_> = to.segments().map(|s| (s.id, s.owner.as_str(), s.keys.from)).collect();
    let width = 1 << 62;
    assert_eq!(owners, [(10, "a", 0), (11, "c", 99), (12, "a", width), (3, "c", 3 * width)]);
    // In the joint phase of the fence the moved segment has no owner, the others keep theirs.
    let (before, _) = carried_out(&from, forward(&steps[..2]));
    let transition = steps[2].forward.transition(&before, 2).unwrap();
    assert_eq!(
        [10, 11, 12].map(|id| transition.owner_of_segment(id, At::Joint)),
        [Some("a"), None, Some("a")]
    );
}

#[test]
fn order_keeps_capacities() {
    // a is full; what moves to it waits until a segment has left.
    let from = map_of(&[&["a"], &["a"], &["b"], &["b"]]);
    let mut plan = plan(vec![moves(2, "b", "a"), moves(3, "b", "a"), moves(0, "a", "c"), moves(1, "a", "c")]);
    plan.nodes.insert("a".to_string(), node("a", Some(20), None));
    let steps = order_steps(&plan, &from, LIMITS, |_| false).unwrap();
    let shown: Vec<String> = steps.iter().map(|step| step.forward.to_string()).collect();
    assert_eq!(shown[0], "Fill: fill 0 at c, fill 1 at c");
    assert_eq!(shown[2], "Fill: fill 2 at a, fill 3 at a", "{shown:?}");
    assert_eq!(steps.len(), 4);
    // One at a time with the lowest limits.
    let one =
        order_steps(&plan, &from, StepLimits { max_actions: 1, max_changed_ratio: 0.25 }, |_| false).unwrap();
    assert_eq!(one.len(), 8);
    // In the order of the file it is not possible, and the shortage is named.
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

#[test]
fn swap_of_full_nodes_is_rejected() {
    let from = map_of(&[&["a"], &["b"], &["c"]]);
    let mut swap = plan(vec![moves(2, "c", "d"), moves(0, "a", "b"), moves(1, "b", "a")]);
    for name in ["a", "b"] {
        swap.nodes.insert(name.to_string(), node(name, Some(10), None));
    }
    let error = order_steps(&swap, &from, LIMITS, |_| false).unwrap_err();
    let RebalanceError::CapacityExceeded { step: 2, operation: 1, shortage } = &error else {
        panic!("{error}")
    };
    assert_eq!((shortage.missing(), &shortage.freed_by[..]), (10, &[2][..]), "{error}");
    // With capacity for a second segment at one of them it is possible.
    swap.nodes.insert("b".to_string(), node("b", Some(20), None));
    assert!(order_steps(&swap, &from, LIMITS, |_| false).is_ok());
}

#[rstest]
#[case::of_a_group(|plan: &mut dunepond_rebalance::Plan| { plan.replica_groups.insert("left".into(), Capacity { bytes: Some(15), segments: None }); }, CapacityScope::ReplicaGroup("left".into()))]
#[case::of_a_partner(|plan: &mut dunepond_rebalance::Plan| { plan.partners.insert("south".into(), Capacity { bytes: None, segments: Some(1) }); }, CapacityScope::Partner("south".into()))]
fn capacity_of_groups_and_partners(
    #[case] bound: fn(&mut dunepond_rebalance::Plan),
    #[case] scope: CapacityScope,
) {
    let from = map_of(&[&["a"], &["c"], &["b"]]);
    // `a` and `c` are the left group, `c` and `d` the south.
    let mut plan = plan(vec![moves(2, "b", "c")]);
    assert!(order_steps(&plan, &from, LIMITS, |_| false).is_ok());
    bound(&mut plan);
    let error = order_steps(&plan, &from, LIMITS, |_| false).unwrap_err();
    assert!(
        matches!(&error, RebalanceError::CapacityExceeded { shortage, .. } if shortage.scope == scope),
        "{error}"
    );
}

#[test]
fn impossible_operation_is_named() {
    let nodes: Vec<&[&str]> = (0..64).map(|_| &["a"][..]).collect();
    let from = map_of(&nodes);
    let mut many = plan((0..40).map(|n| moves(n, "a", "c")).collect());
    many.operations.push(moves(999, "a", "c"));
    many.nodes.insert("c".to_string(), node("c", Some(10_000), None));
    let error = order_steps(&many, &from, LIMITS, |_| false).unwrap_err();
    assert_eq!(error, RebalanceError::UnknownSegment { operation: 40, segment: 999 });
}

#[test]
fn altered_steps_are_rejected() {
    let from = map_of(&[&["a"], &["a"], &["b"]]);
    let mut plan = plan(vec![moves(0, "a", "c"), moves(1, "a", "c"), moves(2, "b", "a")]);
    plan.nodes.insert("a".to_string(), node("a", Some(20), None));
    let steps = order_steps(&plan, &from, LIMITS, |_| false).unwrap();
    let verified = |steps: &[Step], limits| verify_steps(&plan, steps, &from, limits, |_| false);
    assert!(verified(&steps, LIMITS).is_ok());
    let assert_rejected = |steps: &[Step]| assert!(verified(steps, LIMITS).is_err(), "{steps:?}");
    // A step is missing, two are swapped, one comes twice, one has another kind, one has no rollback.
    assert_rejected(&steps[..steps.len() - 1]);
    let mut other = steps.clone();
    other.swap(0, 1);
    assert_rejected(&other);
    let mut other = steps.clone();
    other.insert(1, steps[0].clone());
    assert_rejected(&other);
    let mut other = steps.clone();
    other[0].forward.kind = StepKind::MetadataOnly;
    assert_rejected(&other);
    let mut other = steps.clone();
    other[0].rollback.clear();
    assert_rejected(&other);
    // The move to `a` in the same step as those away from it: nothing is freed before the step is over.
    let mut other = steps.clone();
    let late = other
        .iter()
        .position(|step| step.forward.actions.iter().any(|planned| planned.operation == 2))
        .unwrap();
    let fill = other[late].forward.actions.remove(0);
    other[0].forward.actions.push(fill);
    assert_rejected(&other);
    assert!(verified(&steps, StepLimits { max_actions: 1, ..LIMITS }).is_err());
}

#[test]
fn documented_plan() {
    let page = include_str!("../../../docs/operators/fleet.md");
    let section = page.split("## Moves").nth(1).unwrap();
    let lines = section.lines().skip_while(|line| !line.starts_with("    {"));
    let text: String = lines.take_while(|line| line.starts_with("    ")).collect();
    let plan = dunepond_rebalance::Plan::parse(&text).unwrap();
    assert_eq!((plan.operations.len(), plan.nodes["s-3"].capacity.segments), (4, Some(40)));
    let error = dunepond_rebalance::Plan::parse(&text.replace("unless", "unles")).unwrap_err();
    assert!(matches!(error, RebalanceError::InvalidJson { .. }), "{error}");
}

#[test]
fn errors_have_help() {
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
    assert!(all.iter().all(|e| !e.help().is_empty() && !e.to_string().is_empty()));
    let mut texts: Vec<_> = all.iter().map(std::mem::discriminant).collect();
    texts.dedup();
    assert_eq!(texts.len(), RebalanceError::COUNT, "each once");
}
