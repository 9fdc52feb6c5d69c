//! Random maps and plans: ordered steps are valid one by one and keep the capacities, their rollback restores the map,
//! and where the search finds no order, trying every order by the plainest means finds none either.

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
/// Keys of one of four segments; each holds 8 bytes, so that quarters are whole numbers.
const SEGMENT_WIDTH: u64 = 1 << 62;

fn replica_nodes() -> impl Strategy<Value = Vec<Vec<&'static str>>> {
    let one = (prop::sample::select(&NODES[..]), prop::option::of(prop::sample::select(&NODES[..])));
    let one = one.prop_map(|(owner, other)| {
        [Some(owner), other.filter(|other| *other != owner)].into_iter().flatten().collect()
    });
    prop::collection::vec(one, 4)
}

/// An operation that mostly names existing segments and replicas; `n` keeps new ids distinct.
fn operation(nodes: &[Vec<&'static str>], n: u64, drawn: (u8, u64, usize)) -> Operation {
    let (kind, segment, other) = drawn;
    let replicas = &nodes[segment as usize];
    let from = replicas[other % replicas.len()];
    let others: Vec<_> = NODES.iter().filter(|node| !replicas.contains(*node)).collect();
    match kind {
        0..7 => moves(segment, from, others[other % others.len()]),
        7 | 8 => split(
            segment,
            segment * SEGMENT_WIDTH + (1 + other as u64 % 3) * (SEGMENT_WIDTH / 4),
            [10 + 2 * n, 11 + 2 * n],
        ),
        9 => merge([segment.min(2), segment.min(2) + 1], 20 + n),
        10 => merge([10, 11], 30 + n),
        11 => change_owner(segment, from),
        // A segment that another operation may make.
        12 => moves(10 + segment, from, others[0]),
        _ => moves(20 + segment, NODES[other % 4], NODES[(other + 1) % 4]),
    }
}

fn plans() -> impl Strategy<Value = (Vec<Vec<&'static str>>, Plan)> {
    let kind = prop_oneof![20 => 0..12_u8, 1 => 12..14_u8];
    let drawn = prop::collection::vec((kind, 0..4_u64, 0..12_usize), 2..=4);
    let bytes = || prop::option::weighted(0.6, 8..40_u64);
    let capacities = prop::collection::vec((bytes(), prop::option::weighted(0.2, 1..5_u64)), 4);
    (replica_nodes(), drawn, capacities, bytes(), bytes(), any::<bool>()).prop_map(
        |(nodes, drawn, capacities, group, partner, ordered)| {
            let drawn = drawn.into_iter().enumerate();
            let mut plan = plan(drawn.map(|(n, drawn)| operation(&nodes, n as u64, drawn)).collect());
            (plan.sizes.default_bytes, plan.ordered) = (8, ordered);
            for (name, (bytes, segments)) in NODES.iter().zip(capacities) {
                plan.nodes.insert(name.to_string(), node(name, bytes, segments));
            }
            plan.replica_groups.insert("left".to_string(), Capacity { bytes: group, segments: None });
            plan.partners.insert("south".to_string(), Capacity { bytes: partner, segments: None });
            (nodes, plan)
        },
    )
}

/// Bytes and segments by scope, counted independently of the code under test.
type Loads = BTreeMap<String, (u64, u64)>;

/// By node, replica group and partner: bytes and segments of either map, keys that are in both counted once.
fn loads(plan: &Plan, maps: &[&ShardMap]) -> Loads {
    let mut loads = Loads::new();
    for name in NODES {
        let quarters =
            maps.iter().flat_map(|map| &map.segments).filter(|s| s.replicas.iter().any(|h| h.node == name));
        let quarters: BTreeSet<u64> =
            quarters.flat_map(|s| (0..16_u64).filter(|q| s.keys.contains(q * (SEGMENT_WIDTH / 4)))).collect();
        let segments = |map: &&ShardMap| {
            map.segments.iter().filter(|s| s.replicas.iter().any(|h| h.node == name)).count() as u64
        };
        let load = (2 * quarters.len() as u64, maps.iter().map(segments).max().unwrap());
        let group = plan.nodes[name].replica_group.clone().unwrap();
        for whose in [format!("node {name}"), format!("cell {group}"), format!("partner {}", partner(name))] {
            let sum = loads.entry(whose).or_default();
            (sum.0, sum.1) = (sum.0 + load.0, sum.1 + load.1);
        }
    }
    loads
}

/// Whoever holds more than in `before` is within its capacity.
fn fits(plan: &Plan, before: &Loads, during: &Loads) -> bool {
    let capacity = |whose: &str| {
        let (kind, name) = whose.split_once(' ').unwrap();
        match kind {
            "node" => plan.nodes.get(name).map(|node| node.capacity),
            "cell" => plan.replica_groups.get(name).copied(),
            _ => plan.partners.get(name).copied(),
        }
        .unwrap_or_default()
    };
    during.iter().all(|(whose, (bytes, segments))| {
        let (was, capacity) = (before[whose], capacity(whose));
        (*bytes <= was.0 || capacity.bytes.is_none_or(|most| *bytes <= most))
            && (*segments <= was.1 || capacity.segments.is_none_or(|most| *segments <= most))
    })
}

fn applied(map: &VerifiedMap, batch: &ActionBatch) -> Result<VerifiedMap, RebalanceError> {
    let transition = batch.transition(map, 0)?;
    // The full map says the same as the delta did.
    let terms = MapConstraints { min_replicas: 1, min_zones: 1 };
    let full = verify_transition(map, &verify(transition.to().map(), &[], &terms).unwrap()).unwrap();
    assert_eq!(
        (full.required_fills(), full.changed_segments()),
        (transition.required_fills(), transition.changed_segments())
    );
    let needs: Vec<_> =
        transition.required_fills().iter().map(|need| (need.segment, need.replica.clone())).collect();
    // Where owners change nothing is filled.
    assert!(needs.is_empty() || batch.kind == dunepond_rebalance::StepKind::Fill);
    Ok(transition.to().with_filled(needs.iter().map(|(id, node)| (*id, &**node))))
}

/// Tries every order of the operations' actions, one action a version, by nothing but the maps.
fn any_order(plan: &Plan, map: &VerifiedMap, done: &mut Vec<usize>, pending: &mut BTreeSet<u64>) -> bool {
    let acts = |operation: &Operation| if matches!(operation, Operation::Move { .. }) { 2 } else { 1 };
    if plan.operations.iter().zip(&*done).all(|(operation, done)| *done == acts(operation)) {
        return true;
    }
    for (at, operation) in plan.operations.iter().enumerate() {
        if done[at] == acts(operation) {
            continue;
        }
        if let Some(next) = one_action(plan, map, at, done[at], pending) {
            let (was, segment) = (pending.clone(), operation.clone());
            if let Operation::Move { segment, .. } = segment {
                if done[at] == 0 {
                    pending.insert(segment)
                } else {
                    pending.remove(&segment)
                };
            }
            done[at] += 1;
            if any_order(plan, &next, done, pending) {
                return true;
            }
            done[at] -= 1;
            *pending = was;
        }
        if plan.ordered {
            return false;
        }
    }
    false
}

fn one_action(
    plan: &Plan,
    map: &VerifiedMap,
    at: usize,
    done: usize,
    pending: &BTreeSet<u64>,
) -> Option<VerifiedMap> {
    use dunepond_rebalance::{Action, StepKind};
    let (kind, action) = match plan.operations[at].clone() {
        Operation::Split { segment, split_keys, into } => {
            (StepKind::MetadataOnly, Action::Split { segment, split_keys, into })
        }
        Operation::Merge { segments, into } => (StepKind::MetadataOnly, Action::Merge { segments, into }),
        Operation::ChangeOwner { segment, to } => (StepKind::Fence, Action::ChangeOwner { segment, to }),
        Operation::Move { segment, to, .. } if done == 0 => {
            let partner = partner(&to);
            (StepKind::Fill, Action::Fill { segment, to, partner })
        }
        Operation::Move { segment, from, to } => (StepKind::Fence, Action::Switch { segment, from, to }),
    };
    let takes = |id: &u64| {
        plan.operations[at..=at].iter().any(|o| match o {
            Operation::Merge { segments, .. } => segments.contains(id),
            Operation::Split { segment, .. }
            | Operation::ChangeOwner { segment, .. }
            | Operation::Move { segment, .. } => segment == id,
        })
    };
    if done == 0 && pending.iter().any(takes) {
        return None;
    }
    let actions = vec![PlannedAction { operation: at, action }];
    let next = applied(map, &ActionBatch { kind, actions }).ok()?;
    let before = loads(plan, &[map.map()]);
    fits(plan, &before, &loads(plan, &[map.map(), next.map()])).then_some(next)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn orders_are_valid_and_complete((nodes, plan) in plans(), max_actions in 1..4_usize) {
        let nodes: Vec<&[&str]> = nodes.iter().map(|nodes| &nodes[..]).collect();
        let from = map_of(&nodes);
        let limits = StepLimits { max_actions, ..LIMITS };
        let ordered = order_steps(&plan, &from, limits, |_| false);
        let found = plan.validate().is_ok()
            && any_order(&plan, &from, &mut vec![0; plan.operations.len()], &mut BTreeSet::new());
        prop_assert_eq!(ordered.is_ok(), found, "{:?}", ordered);
        let Ok(steps) = ordered else { return Ok(()) };
        prop_assert!(verify_steps(&plan, &steps, &from, limits, |_| false).is_ok());
        let mut at = from.clone();
        for step in &steps {
            prop_assert!(step.forward.actions.len() <= max_actions);
            let next = applied(&at, &step.forward).unwrap();
            let before = loads(&plan, &[at.map()]);
            prop_assert!(fits(&plan, &before, &loads(&plan, &[at.map(), next.map()])), "{:?}", step);
            at = next;
        }
        rollback_from_each_step(&plan, &from, &steps, limits)?;
    }
}

fn context(highest_version: u64, map: &VerifiedMap) -> RebalanceContext<'_> {
    RebalanceContext { open_version: None, highest_version, active_map: Some(map), max_changed_ratio: 1.0 }
}

/// From each step a withdrawal leads back to the first map, within capacities on the way.
fn rollback_from_each_step(
    plan: &Plan,
    from: &VerifiedMap,
    steps: &[Step],
    limits: StepLimits,
) -> Result<(), TestCaseError> {
    for stop in 0..=steps.len() {
        let (mut progress, mut map, mut highest) = (PlanProgress::default(), from.clone(), 1);
        let accepted = CommittedEntry::Accepted {
            plan: Box::new(plan.clone()),
            steps: steps.to_vec(),
            max_actions: limits.max_actions,
        };
        let enter = |progress: &mut PlanProgress, entry, highest, map: &VerifiedMap| {
            progress.apply(entry, &context(highest, map)).unwrap();
        };
        enter(&mut progress, accepted, highest, &map);
        let withdrawn = || CommittedEntry::Withdrawn {
            plan: plan.id.clone(),
            withdrawn_by: "a test".into(),
            reason: "to see".into(),
        };
        loop {
            if progress.running.as_ref().is_some_and(|r| r.steps_done == stop && r.withdrawal.is_none()) {
                enter(&mut progress, withdrawn(), highest, &map);
            }
            match progress.next_action(&context(highest, &map), true) {
                LeaderAction::Append(entry) => enter(&mut progress, entry, highest, &map),
                LeaderAction::Propose { number, .. } => {
                    let batch = progress.running.as_ref().and_then(|r| r.current_batch()).unwrap().clone();
                    let next = applied(&map, &batch).unwrap();
                    let before = loads(plan, &[map.map()]);
                    // What exceeded its capacity from the start may do so again.
                    let first = loads(plan, &[from.map()]);
                    let before: Loads = before
                        .into_iter()
                        .map(|(whose, load)| {
                            let more = (load.0.max(first[&whose].0), load.1.max(first[&whose].1));
                            (whose, more)
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
        let replicas = |map: &VerifiedMap| -> Vec<_> {
            let one = |s: &dunepond_shard_map::Segment| {
                let nodes: BTreeSet<_> = s.replicas.iter().map(|h| h.node.clone()).collect();
                (s.id, s.keys, s.owner.clone(), nodes)
            };
            map.segments().map(one).collect()
        };
        prop_assert!(progress.ended.len() == 1 && progress.ended.len() <= MAX_ENDED_PLANS);
        if stop < steps.len() {
            prop_assert_eq!(replicas(&map), replicas(from), "after {} of {:?}", stop, steps);
        }
    }
    Ok(())
}
