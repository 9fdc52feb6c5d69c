//! Property tests with random maps and plans. Guards against invalid steps, exceeded capacities, rollbacks that do not
//! restore the map, and a search that misses an order which an exhaustive search finds.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use dunepond_rebalance::{
    ActionBatch, Capacity, CommittedEntry, LeaderAction, MAX_ENDED_PLANS, Operation, Plan, PlanProgress,
    PlannedAction, RebalanceContext, RebalanceError, Step, StepLimits, VersionEnd, order_steps, verify_steps,
};
use dunepond_shard_map::{MapConstraints, ShardMap, VerifiedMap, verify, verify_transition};
use proptest::prelude::*;

const NODES: [&str; 4] = ["a", "b", "c", "d"];
/// Width of the key range of each of the four segments. The size of a segment is set to 8 bytes, so that a quarter of a
/// segment has a whole number of bytes.
const SEGMENT_WIDTH: u64 = 1 << 62;

/// For each of four segments, the owner and possibly a second node with a replica.
fn replica_nodes() -> impl Strategy<Value = Vec<Vec<&'static str>>> {
    let nodes = (prop::sample::select(&NODES[..]), prop::option::of(prop::sample::select(&NODES[..])));
    let nodes = nodes.prop_map(|(owner, other)| {
        [Some(owner), other.filter(|other| *other != owner)].into_iter().flatten().collect()
    });
    prop::collection::vec(nodes, 4)
}

/// An operation that mostly names existing segments and replicas. `index`: index of the operation in the plan; ids of
/// new segments are derived from it, so that they are distinct.
fn operation(nodes: &[Vec<&'static str>], index: u64, drawn: (u8, u64, usize)) -> Operation {
    let (kind, segment, other) = drawn;
    let replicas = &nodes[segment as usize];
    let from = replicas[other % replicas.len()];
    let others: Vec<_> = NODES.iter().filter(|node| !replicas.contains(*node)).collect();
    match kind {
        0..7 => move_segment(segment, from, others[other % others.len()]),
        7 | 8 => split(
            segment,
            segment * SEGMENT_WIDTH + (1 + other as u64 % 3) * (SEGMENT_WIDTH / 4),
            [10 + 2 * index, 11 + 2 * index],
        ),
        9 => merge([segment.min(2), segment.min(2) + 1], 20 + index),
        10 => merge([10, 11], 30 + index),
        11 => change_owner(segment, from),
        // The remaining kinds name a segment that another operation may create.
        12 => move_segment(10 + segment, from, others[0]),
        _ => move_segment(20 + segment, NODES[other % 4], NODES[(other + 1) % 4]),
    }
}

/// Replica nodes of a map, and a plan of two to four operations with random capacities.
fn plans() -> impl Strategy<Value = (Vec<Vec<&'static str>>, Plan)> {
    let kind = prop_oneof![20 => 0..12_u8, 1 => 12..14_u8];
    let drawn = prop::collection::vec((kind, 0..4_u64, 0..12_usize), 2..=4);
    let bytes = || prop::option::weighted(0.6, 8..40_u64);
    let capacities = prop::collection::vec((bytes(), prop::option::weighted(0.2, 1..5_u64)), 4);
    (replica_nodes(), drawn, capacities, bytes(), bytes(), any::<bool>()).prop_map(
        |(nodes, drawn, capacities, group_bytes, partner_bytes, ordered)| {
            let drawn = drawn.into_iter().enumerate();
            let mut plan = plan(drawn.map(|(index, drawn)| operation(&nodes, index as u64, drawn)).collect());
            (plan.sizes.default_bytes, plan.ordered) = (8, ordered);
            for (name, (bytes, segments)) in NODES.iter().zip(capacities) {
                plan.nodes.insert(name.to_string(), node(name, bytes, segments));
            }
            plan.replica_groups.insert("left".to_string(), Capacity { bytes: group_bytes, segments: None });
            plan.partners.insert("south".to_string(), Capacity { bytes: partner_bytes, segments: None });
            (nodes, plan)
        },
    )
}

/// Bytes and segments of each node, replica group and partner, counted independently of the code under test.
type Loads = BTreeMap<String, (u64, u64)>;

/// Loads while all of these maps are in use. If a node has the same keys in several maps, their bytes count once. The
/// number of segments of a node is the largest that it has in one of the maps.
fn loads(plan: &Plan, maps: &[&ShardMap]) -> Loads {
    let mut loads = Loads::new();
    for name in NODES {
        let segments_of_node = maps
            .iter()
            .flat_map(|map| &map.segments)
            .filter(|segment| segment.replicas.iter().any(|replica| replica.node == name));
        let quarters: BTreeSet<u64> = segments_of_node
            .flat_map(|segment| {
                (0..16_u64).filter(|quarter| segment.keys.contains(quarter * (SEGMENT_WIDTH / 4)))
            })
            .collect();
        let count_segments = |map: &&ShardMap| {
            map.segments
                .iter()
                .filter(|segment| segment.replicas.iter().any(|replica| replica.node == name))
                .count() as u64
        };
        let load = (2 * quarters.len() as u64, maps.iter().map(count_segments).max().unwrap());
        let group = plan.nodes[name].replica_group.clone().unwrap();
        for scope in
            [format!("node {name}"), format!("cell {group}"), format!("partner {}", partner_of(name))]
        {
            let sum = loads.entry(scope).or_default();
            (sum.0, sum.1) = (sum.0 + load.0, sum.1 + load.1);
        }
    }
    loads
}

/// Whether each node, replica group and partner whose load is above that in `before` is within its capacity.
fn fits(plan: &Plan, before: &Loads, during: &Loads) -> bool {
    let capacity_of = |scope: &str| {
        let (kind, name) = scope.split_once(' ').unwrap();
        match kind {
            "node" => plan.nodes.get(name).map(|node| node.capacity),
            "cell" => plan.replica_groups.get(name).copied(),
            _ => plan.partners.get(name).copied(),
        }
        .unwrap_or_default()
    };
    during.iter().all(|(scope, (bytes, segments))| {
        let (previous, capacity) = (before[scope], capacity_of(scope));
        (*bytes <= previous.0 || capacity.bytes.is_none_or(|max| *bytes <= max))
            && (*segments <= previous.1 || capacity.segments.is_none_or(|max| *segments <= max))
    })
}

/// The map after the batch, with all required fills completed.
fn apply_batch(map: &VerifiedMap, batch: &ActionBatch) -> Result<VerifiedMap, RebalanceError> {
    let transition = batch.transition(map, 0)?;
    // The full map and the delta give the same transition.
    let constraints = MapConstraints { min_replicas: 1, min_zones: 1 };
    let full = verify_transition(map, &verify(transition.to().map(), &[], &constraints).unwrap()).unwrap();
    assert_eq!(
        (full.required_fills(), full.changed_segments()),
        (transition.required_fills(), transition.changed_segments())
    );
    let fills: Vec<_> =
        transition.required_fills().iter().map(|fill| (fill.segment, fill.replica.clone())).collect();
    // Only fill steps may require fills.
    assert!(fills.is_empty() || batch.kind == dunepond_rebalance::StepKind::Fill);
    Ok(transition.to().with_filled(fills.iter().map(|(id, node)| (*id, &**node))))
}

/// Whether there is an order in which the remaining actions can be carried out, found by trying all orders. Each action
/// is one version, and capacities are computed from the maps alone, independently of the search under test. `done`:
/// number of done actions of each operation; `pending`: segments that wait for a switch to a filled replica.
fn order_exists(plan: &Plan, map: &VerifiedMap, done: &mut Vec<usize>, pending: &mut BTreeSet<u64>) -> bool {
    let action_count =
        |operation: &Operation| if matches!(operation, Operation::Move { .. }) { 2 } else { 1 };
    if plan.operations.iter().zip(&*done).all(|(operation, done)| *done == action_count(operation)) {
        return true;
    }
    for (index, operation) in plan.operations.iter().enumerate() {
        if done[index] == action_count(operation) {
            continue;
        }
        if let Some(next) = apply_next_action(plan, map, index, done[index], pending) {
            let (previous_pending, operation) = (pending.clone(), operation.clone());
            if let Operation::Move { segment, .. } = operation {
                if done[index] == 0 {
                    pending.insert(segment)
                } else {
                    pending.remove(&segment)
                };
            }
            done[index] += 1;
            if order_exists(plan, &next, done, pending) {
                return true;
            }
            done[index] -= 1;
            *pending = previous_pending;
        }
        if plan.ordered {
            return false;
        }
    }
    false
}

/// The map after the next action of an operation, or `None` if the action is not possible or exceeds a capacity.
fn apply_next_action(
    plan: &Plan,
    map: &VerifiedMap,
    index: usize,
    done: usize,
    pending: &BTreeSet<u64>,
) -> Option<VerifiedMap> {
    use dunepond_rebalance::{Action, StepKind};
    let (kind, action) = match plan.operations[index].clone() {
        Operation::Split { segment, split_keys, into } => {
            (StepKind::MetadataOnly, Action::Split { segment, split_keys, into })
        }
        Operation::Merge { segments, into } => (StepKind::MetadataOnly, Action::Merge { segments, into }),
        Operation::ChangeOwner { segment, to } => (StepKind::Fence, Action::ChangeOwner { segment, to }),
        Operation::Move { segment, to, .. } if done == 0 => {
            let partner = partner_of(&to);
            (StepKind::Fill, Action::Fill { segment, to, partner })
        }
        Operation::Move { segment, from, to } => (StepKind::Fence, Action::Switch { segment, from, to }),
    };
    let is_named = |id: &u64| {
        plan.operations[index..=index].iter().any(|operation| match operation {
            Operation::Merge { segments, .. } => segments.contains(id),
            Operation::Split { segment, .. }
            | Operation::ChangeOwner { segment, .. }
            | Operation::Move { segment, .. } => segment == id,
        })
    };
    if done == 0 && pending.iter().any(is_named) {
        return None;
    }
    let actions = vec![PlannedAction { operation: index, action }];
    let next = apply_batch(map, &ActionBatch { kind, actions }).ok()?;
    let before = loads(plan, &[map.map()]);
    fits(plan, &before, &loads(plan, &[map.map(), next.map()])).then_some(next)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against steps that are invalid or exceed a capacity, and against a search that misses a possible order or
    // returns an impossible one.
    #[test]
    fn orders_are_valid_and_complete((nodes, plan) in plans(), max_actions in 1..4_usize) {
        let nodes: Vec<&[&str]> = nodes.iter().map(|nodes| &nodes[..]).collect();
        let initial_map = map_of(&nodes);
        let limits = StepLimits { max_actions, ..LIMITS };
        let ordered = order_steps(&plan, &initial_map, limits, |_| false);
        let is_possible = plan.validate().is_ok()
            && order_exists(&plan, &initial_map, &mut vec![0; plan.operations.len()], &mut BTreeSet::new());
        prop_assert_eq!(ordered.is_ok(), is_possible, "{:?}", ordered);
        let Ok(steps) = ordered else { return Ok(()) };
        prop_assert!(verify_steps(&plan, &steps, &initial_map, limits, |_| false).is_ok());
        let mut map = initial_map.clone();
        for step in &steps {
            prop_assert!(step.forward.actions.len() <= max_actions);
            let next = apply_batch(&map, &step.forward).unwrap();
            let before = loads(&plan, &[map.map()]);
            prop_assert!(fits(&plan, &before, &loads(&plan, &[map.map(), next.map()])), "{:?}", step);
            map = next;
        }
        check_rollback_after_each_step(&plan, &initial_map, &steps, limits)?;
    }
}

fn context(highest_version: u64, map: &VerifiedMap) -> RebalanceContext<'_> {
    RebalanceContext { open_version: None, highest_version, active_map: Some(map), max_changed_ratio: 1.0 }
}

/// Withdraws the plan after each possible number of steps, and checks that the rollback leads back to the initial map
/// and exceeds no capacity.
fn check_rollback_after_each_step(
    plan: &Plan,
    initial_map: &VerifiedMap,
    steps: &[Step],
    limits: StepLimits,
) -> Result<(), TestCaseError> {
    for stop_after in 0..=steps.len() {
        let (mut progress, mut map, mut highest) = (PlanProgress::default(), initial_map.clone(), 1);
        let accepted = CommittedEntry::Accepted {
            plan: Box::new(plan.clone()),
            steps: steps.to_vec(),
            max_actions: limits.max_actions,
        };
        let commit = |progress: &mut PlanProgress, entry, highest, map: &VerifiedMap| {
            progress.apply(entry, &context(highest, map)).unwrap();
        };
        commit(&mut progress, accepted, highest, &map);
        let withdrawn = || CommittedEntry::Withdrawn {
            plan: plan.id.clone(),
            withdrawn_by: "a test".into(),
            reason: "to see".into(),
        };
        loop {
            if progress
                .running
                .as_ref()
                .is_some_and(|running| running.steps_done == stop_after && running.withdrawal.is_none())
            {
                commit(&mut progress, withdrawn(), highest, &map);
            }
            match progress.next_action(&context(highest, &map), true) {
                LeaderAction::Append(entry) => commit(&mut progress, entry, highest, &map),
                LeaderAction::Propose { number, .. } => {
                    let batch = progress
                        .running
                        .as_ref()
                        .and_then(|running| running.current_batch())
                        .unwrap()
                        .clone();
                    let next = apply_batch(&map, &batch).unwrap();
                    let before = loads(plan, &[map.map()]);
                    // A load that exceeded its capacity in the initial map may exceed it again after the rollback.
                    let initial = loads(plan, &[initial_map.map()]);
                    let before: Loads = before
                        .into_iter()
                        .map(|(scope, load)| {
                            let larger = (load.0.max(initial[&scope].0), load.1.max(initial[&scope].1));
                            (scope, larger)
                        })
                        .collect();
                    prop_assert!(fits(plan, &before, &loads(plan, &[map.map(), next.map()])), "{}", batch);
                    (map, highest) = (next, number);
                    progress.on_version_ended(number, VersionEnd::Activated);
                }
                LeaderAction::Wait(_) if progress.running.is_none() => break,
                other => prop_assert!(false, "{:?}", other),
            }
        }
        let owners_and_replicas = |map: &VerifiedMap| -> Vec<_> {
            let describe = |segment: &dunepond_shard_map::Segment| {
                let nodes: BTreeSet<_> =
                    segment.replicas.iter().map(|replica| replica.node.clone()).collect();
                (segment.id, segment.keys, segment.owner.clone(), nodes)
            };
            map.segments().map(describe).collect()
        };
        prop_assert!(progress.ended.len() == 1 && progress.ended.len() <= MAX_ENDED_PLANS);
        if stop_after < steps.len() {
            prop_assert_eq!(
                owners_and_replicas(&map),
                owners_and_replicas(initial_map),
                "after {} of {:?}",
                stop_after,
                steps
            );
        }
    }
    Ok(())
}
