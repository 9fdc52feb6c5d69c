//! Random maps and plans: what is ordered proves step by step and keeps the room, undone it is as before, and where the
//! core says that a plan is impossible, going through every order by the plainest means finds none either.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use dunepond_rebalance::{
    Agreed, MAX_ENDED_PLANS, MoveError, Next, Operation, Pace, Plan, PlanProgress, Room, Seen, Step, Wave,
    order, prove,
};
use dunepond_shard_map::{MapConstraints, ShardMap, VerifiedMap, verify, verify_transition};
use proptest::prelude::*;

const NODES: [&str; 4] = ["a", "b", "c", "d"];
/// Of four segments; each holds 8 bytes, so that quarters are whole.
const SEGMENT: u64 = 1 << 62;

fn held() -> impl Strategy<Value = Vec<Vec<&'static str>>> {
    let one = (prop::sample::select(&NODES[..]), prop::option::of(prop::sample::select(&NODES[..])));
    let one = one.prop_map(|(owner, other)| {
        [Some(owner), other.filter(|other| *other != owner)].into_iter().flatten().collect()
    });
    prop::collection::vec(one, 4)
}

/// Operations that mostly name what is there; `n` keeps the ids that come apart.
fn operation(held: &[Vec<&'static str>], n: u64, drawn: (u8, u64, usize)) -> Operation {
    let (kind, segment, other) = drawn;
    let there = &held[segment as usize];
    let (from, not) = (there[other % there.len()], |node: &&&str| !there.contains(*node));
    let apart: Vec<_> = NODES.iter().filter(not).collect();
    match kind {
        0..7 => moves(segment, from, apart[other % apart.len()]),
        7 | 8 => split(
            segment,
            segment * SEGMENT + (1 + other as u64 % 3) * (SEGMENT / 4),
            [10 + 2 * n, 11 + 2 * n],
        ),
        9 => merge([segment.min(2), segment.min(2) + 1], 20 + n),
        10 => merge([10, 11], 30 + n),
        11 => own(segment, from),
        // What another operation makes, perhaps.
        12 => moves(10 + segment, from, apart[0]),
        _ => moves(20 + segment, NODES[other % 4], NODES[(other + 1) % 4]),
    }
}

fn plans() -> impl Strategy<Value = (Vec<Vec<&'static str>>, Plan)> {
    let kind = prop_oneof![20 => 0..12_u8, 1 => 12..14_u8];
    let drawn = prop::collection::vec((kind, 0..4_u64, 0..12_usize), 2..=4);
    let bytes = || prop::option::weighted(0.6, 8..40_u64);
    let rooms = prop::collection::vec((bytes(), prop::option::weighted(0.2, 1..5_u64)), 4);
    (held(), drawn, rooms, bytes(), bytes(), any::<bool>()).prop_map(
        |(held, drawn, rooms, cell, partner, ordered)| {
            let drawn = drawn.into_iter().enumerate();
            let mut plan = plan(drawn.map(|(n, drawn)| operation(&held, n as u64, drawn)).collect());
            (plan.sizes.unless, plan.ordered) = (8, ordered);
            for (name, (bytes, segments)) in NODES.iter().zip(rooms) {
                plan.nodes.insert(name.to_string(), node(name, bytes, segments));
            }
            plan.cells.insert("left".to_string(), Room { bytes: cell, segments: None });
            plan.partners.insert("south".to_string(), Room { bytes: partner, segments: None });
            (held, plan)
        },
    )
}

// What everybody holds, counted plainly.

type Loads = BTreeMap<String, (u64, u64)>;

/// By node, cell and partner: bytes and segments of all that stands in either map, keys that are in both counted once.
fn loads(plan: &Plan, maps: &[&ShardMap]) -> Loads {
    let mut loads = Loads::new();
    for name in NODES {
        let quarters =
            maps.iter().flat_map(|map| &map.segments).filter(|s| s.replicas.iter().any(|h| h.node == name));
        let quarters: BTreeSet<u64> =
            quarters.flat_map(|s| (0..16_u64).filter(|q| s.keys.contains(q * (SEGMENT / 4)))).collect();
        let segments = |map: &&ShardMap| {
            map.segments.iter().filter(|s| s.replicas.iter().any(|h| h.node == name)).count() as u64
        };
        let load = (2 * quarters.len() as u64, maps.iter().map(segments).max().unwrap());
        let cell = plan.nodes[name].cell.clone().unwrap();
        for whose in [format!("node {name}"), format!("cell {cell}"), format!("partner {}", partner(name))] {
            let sum = loads.entry(whose).or_default();
            (sum.0, sum.1) = (sum.0 + load.0, sum.1 + load.1);
        }
    }
    loads
}

/// Nobody that has more than in `before` has more than his room.
fn fits(plan: &Plan, before: &Loads, during: &Loads) -> bool {
    let room = |whose: &str| {
        let (kind, name) = whose.split_once(' ').unwrap();
        match kind {
            "node" => plan.nodes.get(name).map(|node| node.room),
            "cell" => plan.cells.get(name).copied(),
            _ => plan.partners.get(name).copied(),
        }
        .unwrap_or_default()
    };
    during.iter().all(|(whose, (bytes, segments))| {
        let (was, room) = (before[whose], room(whose));
        (*bytes <= was.0 || room.bytes.is_none_or(|room| *bytes <= room))
            && (*segments <= was.1 || room.segments.is_none_or(|room| *segments <= room))
    })
}

fn stepped(proof: &VerifiedMap, wave: &Wave) -> Result<VerifiedMap, MoveError> {
    let moving = wave.moving(proof, 0)?;
    // The whole says the same as the change did.
    let terms = MapConstraints { min_replicas: 1, min_zones: 1 };
    let whole = verify_transition(proof, &verify(moving.to().map(), &[], &terms).unwrap()).unwrap();
    assert_eq!(
        (whole.required_fills(), whole.changed_segments()),
        (moving.required_fills(), moving.changed_segments())
    );
    let needs: Vec<_> =
        moving.required_fills().iter().map(|need| (need.segment, need.replica.clone())).collect();
    // Where owners change nothing is filled.
    assert!(needs.is_empty() || wave.kind == dunepond_rebalance::Kind::Fill);
    Ok(moving.to().with_filled(needs.iter().map(|(id, node)| (*id, &**node))))
}

/// Every order of the operations' acts, one act a version, by nothing but the maps.
fn any_order(plan: &Plan, proof: &VerifiedMap, done: &mut Vec<usize>, pending: &mut BTreeSet<u64>) -> bool {
    let acts = |operation: &Operation| if matches!(operation, Operation::Move { .. }) { 2 } else { 1 };
    if plan.operations.iter().zip(&*done).all(|(operation, done)| *done == acts(operation)) {
        return true;
    }
    for (at, operation) in plan.operations.iter().enumerate() {
        if done[at] == acts(operation) {
            continue;
        }
        if let Some(next) = one_act(plan, proof, at, done[at], pending) {
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

fn one_act(
    plan: &Plan,
    proof: &VerifiedMap,
    at: usize,
    done: usize,
    pending: &BTreeSet<u64>,
) -> Option<VerifiedMap> {
    use dunepond_rebalance::{Act, Kind};
    let (kind, act) = match plan.operations[at].clone() {
        Operation::Split { segment, at, into } => (Kind::Quiet, Act::Split { segment, at, into }),
        Operation::Merge { segments, into } => (Kind::Quiet, Act::Merge { segments, into }),
        Operation::Own { segment, to } => (Kind::Fence, Act::Own { segment, to }),
        Operation::Move { segment, to, .. } if done == 0 => {
            let partner = partner(&to);
            (Kind::Fill, Act::Fill { segment, to, partner })
        }
        Operation::Move { segment, from, to } => (Kind::Fence, Act::Switch { segment, from, to }),
    };
    let takes = |id: &u64| {
        plan.operations[at..=at].iter().any(|o| match o {
            Operation::Merge { segments, .. } => segments.contains(id),
            Operation::Split { segment, .. }
            | Operation::Own { segment, .. }
            | Operation::Move { segment, .. } => segment == id,
        })
    };
    if done == 0 && pending.iter().any(takes) {
        return None;
    }
    let next = stepped(proof, &Wave { kind, acts: vec![(at, act)] }).ok()?;
    let before = loads(plan, &[proof.map()]);
    fits(plan, &before, &loads(plan, &[proof.map(), next.map()])).then_some(next)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_ordered_holds_and_what_is_not_has_no_order((held, plan) in plans(), at_once in 1..4_usize) {
        let held: Vec<&[&str]> = held.iter().map(|nodes| &nodes[..]).collect();
        let from = proof(&held);
        let pace = Pace { at_once, ..PACE };
        let ordered = order(&plan, &from, pace, |_| false);
        let found = plan.check().is_ok()
            && any_order(&plan, &from, &mut vec![0; plan.operations.len()], &mut BTreeSet::new());
        prop_assert_eq!(ordered.is_ok(), found, "{:?}", ordered);
        let Ok(steps) = ordered else { return Ok(()) };
        prop_assert!(prove(&plan, &steps, &from, pace, |_| false).is_ok());
        let mut at = from.clone();
        for step in &steps {
            prop_assert!(step.wave.acts.len() <= at_once);
            let next = stepped(&at, &step.wave).unwrap();
            let before = loads(&plan, &[at.map()]);
            prop_assert!(fits(&plan, &before, &loads(&plan, &[at.map(), next.map()])), "{:?}", step);
            at = next;
        }
        undone_from_everywhere(&plan, &from, &steps, pace)?;
    }
}

/// From each step a withdrawal leads back to the map of the beginning, with room on the way.
fn undone_from_everywhere(
    plan: &Plan,
    from: &VerifiedMap,
    steps: &[Step],
    pace: Pace,
) -> Result<(), TestCaseError> {
    for stop in 0..=steps.len() {
        let (mut book, mut proof, mut highest) = (PlanProgress::default(), from.clone(), 1);
        let taken =
            Agreed::Taken { plan: Box::new(plan.clone()), steps: steps.to_vec(), at_once: pace.at_once };
        let enter = |book: &mut PlanProgress, entry, highest, proof: &VerifiedMap| {
            book.apply(entry, &Seen { open: None, highest, proof: Some(proof), most_changed: 1.0 }).unwrap();
        };
        enter(&mut book, taken, highest, &proof);
        let withdrawn =
            || Agreed::Withdrawn { plan: plan.id.clone(), who: "a test".into(), why: "to see".into() };
        loop {
            if book.running.as_ref().is_some_and(|r| r.done == stop && r.undoing.is_none()) {
                enter(&mut book, withdrawn(), highest, &proof);
            }
            let seen = Seen { open: None, highest, proof: Some(&proof), most_changed: 1.0 };
            match book.next(&seen, true) {
                Next::Enter(entry) => enter(&mut book, entry, highest, &proof),
                Next::Propose { number, .. } => {
                    let wave = book.running.as_ref().and_then(|r| r.wave()).unwrap().clone();
                    let next = stepped(&proof, &wave).unwrap();
                    let before = loads(plan, &[proof.map()]);
                    // What was over its room from the start may be so again.
                    let first = loads(plan, &[from.map()]);
                    let before: Loads = before
                        .into_iter()
                        .map(|(whose, load)| {
                            let more = (load.0.max(first[&whose].0), load.1.max(first[&whose].1));
                            (whose, more)
                        })
                        .collect();
                    prop_assert!(fits(plan, &before, &loads(plan, &[proof.map(), next.map()])), "{}", wave);
                    (proof, highest) = (next, number);
                    book.ended(number, None);
                }
                Next::Nothing(_) if book.running.is_none() => break,
                other => prop_assert!(false, "{:?}", other),
            }
        }
        let held = |proof: &VerifiedMap| -> Vec<_> {
            let one = |s: &dunepond_shard_map::Segment| {
                let nodes: BTreeSet<_> = s.replicas.iter().map(|h| h.node.clone()).collect();
                (s.id, s.keys, s.owner.clone(), nodes)
            };
            proof.segments().map(one).collect()
        };
        prop_assert!(book.ended.len() == 1 && book.ended.len() <= MAX_ENDED_PLANS);
        if stop < steps.len() {
            prop_assert_eq!(held(&proof), held(from), "after {} of {:?}", stop, steps);
        }
    }
    Ok(())
}
