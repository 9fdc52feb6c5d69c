//! Plans and what becomes of them, one story each.

mod common;

use common::*;
use dunepond_rebalance::{Kind, MoveError, Pace, Room, Step, Where, order, prove};
use dunepond_shard_map::{TransitionPhase as At, VerifiedMap};
use rstest::rstest;
use strum::EnumCount;

/// Carries the steps out on maps, each by what a version's change is judged by.
fn carried_out<'a>(
    from: &VerifiedMap,
    waves: impl Iterator<Item = &'a dunepond_rebalance::Wave>,
) -> (VerifiedMap, Vec<(usize, usize)>) {
    let (mut proof, mut told) = (from.clone(), Vec::new());
    for (step, wave) in waves.enumerate() {
        let moving = wave.moving(&proof, step).unwrap();
        let filled: Vec<_> =
            moving.required_fills().iter().map(|need| (need.segment, need.replica.clone())).collect();
        told.push((moving.required_fills().len(), moving.changed_segments()));
        proof = moving.to().with_filled(filled.iter().map(|(id, node)| (*id, &**node)));
    }
    (proof, told)
}

fn forward(steps: &[Step]) -> impl Iterator<Item = &dunepond_rebalance::Wave> {
    steps.iter().map(|step| &step.wave)
}

#[test]
fn a_split_a_move_and_a_merge_go_step_by_step_and_owners_change_in_a_step_without_fills() {
    let from = proof(&[&["a", "b"], &["a", "b"], &["a", "b"], &["c"]]);
    let plan = plan(vec![split(0, 99, [10, 11]), moves(11, "a", "c"), merge([1, 2], 12)]);
    let steps = order(&plan, &from, PACE, |_| false).unwrap();
    let kinds: Vec<Kind> = forward(&steps).map(|wave| wave.kind).collect();
    assert_eq!(kinds, [Kind::Quiet, Kind::Fill, Kind::Fence], "{steps:?}");
    prove(&plan, &steps, &from, PACE, |_| false).unwrap();
    let (to, told) = carried_out(&from, forward(&steps));
    // Only the second waits for a fill.
    assert_eq!(told.iter().map(|(needs, _)| *needs).collect::<Vec<_>>(), [0, 1, 0]);
    let owners: Vec<_> = to.segments().map(|s| (s.id, s.owner.as_str(), s.keys.from)).collect();
    let width = 1 << 62;
    assert_eq!(owners, [(10, "a", 0), (11, "c", 99), (12, "a", width), (3, "c", 3 * width)]);
    // In the joint step of the fence nobody owns what moves, everybody else goes on.
    let (before, _) = carried_out(&from, forward(&steps[..2]));
    let moving = steps[2].wave.moving(&before, 2).unwrap();
    assert_eq!([10, 11, 12].map(|id| moving.owner_of_segment(id, At::Joint)), [Some("a"), None, Some("a")]);
}

#[test]
fn a_plan_is_put_into_an_order_that_keeps_the_room_and_at_once_as_far_as_it_goes() {
    // a is full; what moves to it waits until something has left.
    let from = proof(&[&["a"], &["a"], &["b"], &["b"]]);
    let mut plan = plan(vec![moves(2, "b", "a"), moves(3, "b", "a"), moves(0, "a", "c"), moves(1, "a", "c")]);
    plan.nodes.insert("a".to_string(), node("a", Some(20), None));
    let steps = order(&plan, &from, PACE, |_| false).unwrap();
    let shown: Vec<String> = steps.iter().map(|step| step.wave.to_string()).collect();
    assert_eq!(shown[0], "Fill: fill 0 at c, fill 1 at c");
    assert_eq!(shown[2], "Fill: fill 2 at a, fill 3 at a", "{shown:?}");
    assert_eq!(steps.len(), 4);
    // One at a time where so few may be under way.
    let one = order(&plan, &from, Pace { at_once: 1, most_changed: 0.25 }, |_| false).unwrap();
    assert_eq!(one.len(), 8);
    // In the order of the file it is not possible, and what is short is named.
    plan.ordered = true;
    let error = order(&plan, &from, PACE, |_| false).unwrap_err();
    let MoveError::OutOfRoom { step: 0, operation: 0, short } = error else { panic!("{error}") };
    assert_eq!(
        (short.whose.clone(), short.by(), &short.frees[..]),
        (Where::Node("a".into()), 10, &[2, 3][..])
    );
}

#[test]
fn two_that_are_full_cannot_change_places_and_the_step_is_named_with_what_is_short() {
    let from = proof(&[&["a"], &["b"], &["c"]]);
    let mut swap = plan(vec![moves(2, "c", "d"), moves(0, "a", "b"), moves(1, "b", "a")]);
    for name in ["a", "b"] {
        swap.nodes.insert(name.to_string(), node(name, Some(10), None));
    }
    let error = order(&swap, &from, PACE, |_| false).unwrap_err();
    let MoveError::OutOfRoom { step: 2, operation: 1, short } = &error else { panic!("{error}") };
    assert_eq!((short.by(), &short.frees[..]), (10, &[2][..]), "{error}");
    // Half of each at a time needs half the room, and that is still not there; with it, it goes.
    swap.nodes.insert("b".to_string(), node("b", Some(20), None));
    assert!(order(&swap, &from, PACE, |_| false).is_ok());
}

#[rstest]
#[case::of_a_cell(|plan: &mut dunepond_rebalance::Plan| { plan.cells.insert("left".into(), Room { bytes: Some(15), segments: None }); }, Where::Cell("left".into()))]
#[case::of_a_partner(|plan: &mut dunepond_rebalance::Plan| { plan.partners.insert("south".into(), Room { bytes: None, segments: Some(1) }); }, Where::Partner("south".into()))]
fn room_of_cells_and_partners_counts_too(
    #[case] bound: fn(&mut dunepond_rebalance::Plan),
    #[case] whose: Where,
) {
    let from = proof(&[&["a"], &["c"], &["b"]]);
    // `a` and `c` are the left cell, `c` and `d` the south.
    let mut plan = plan(vec![moves(2, "b", "c")]);
    assert!(order(&plan, &from, PACE, |_| false).is_ok());
    bound(&mut plan);
    let error = order(&plan, &from, PACE, |_| false).unwrap_err();
    assert!(matches!(&error, MoveError::OutOfRoom { short, .. } if short.whose == whose), "{error}");
}

#[test]
fn one_impossible_operation_among_many_is_named_itself() {
    let held: Vec<&[&str]> = (0..64).map(|_| &["a"][..]).collect();
    let from = proof(&held);
    let mut many = plan((0..40).map(|n| moves(n, "a", "c")).collect());
    many.operations.push(moves(999, "a", "c"));
    many.nodes.insert("c".to_string(), node("c", Some(10_000), None));
    let error = order(&many, &from, PACE, |_| false).unwrap_err();
    assert_eq!(error, MoveError::NoSegment { operation: 40, segment: 999 });
}

#[test]
fn steps_that_somebody_else_ordered_are_proved_anew() {
    let from = proof(&[&["a"], &["a"], &["b"]]);
    let mut plan = plan(vec![moves(0, "a", "c"), moves(1, "a", "c"), moves(2, "b", "a")]);
    plan.nodes.insert("a".to_string(), node("a", Some(20), None));
    let steps = order(&plan, &from, PACE, |_| false).unwrap();
    let proves = |steps: &[Step], pace| prove(&plan, steps, &from, pace, |_| false);
    assert!(proves(&steps, PACE).is_ok());
    let refused = |steps: &[Step]| assert!(proves(steps, PACE).is_err(), "{steps:?}");
    // A step too few, two exchanged, one twice, one in another kind's name, one without its way back.
    refused(&steps[..steps.len() - 1]);
    let mut other = steps.clone();
    other.swap(0, 1);
    refused(&other);
    let mut other = steps.clone();
    other.insert(1, steps[0].clone());
    refused(&other);
    let mut other = steps.clone();
    other[0].wave.kind = Kind::Quiet;
    refused(&other);
    let mut other = steps.clone();
    other[0].back.clear();
    refused(&other);
    // The move to `a` at once with those away from it: nothing is free before the step is over.
    let mut other = steps.clone();
    let late = other.iter().position(|step| step.wave.acts.iter().any(|(o, _)| *o == 2)).unwrap();
    let fill = other[late].wave.acts.remove(0);
    other[0].wave.acts.push(fill);
    refused(&other);
    assert!(proves(&steps, Pace { at_once: 1, ..PACE }).is_err());
}

#[test]
fn the_documented_plan_is_read() {
    let page = include_str!("../../../docs/operators/fleet.md");
    let section = page.split("## Moves").nth(1).unwrap();
    let lines = section.lines().skip_while(|line| !line.starts_with("    {"));
    let text: String = lines.take_while(|line| line.starts_with("    ")).collect();
    let plan = dunepond_rebalance::Plan::read(&text).unwrap();
    assert_eq!((plan.operations.len(), plan.nodes["s-3"].room.segments), (4, Some(40)));
    let error = dunepond_rebalance::Plan::read(&text.replace("unless", "unles")).unwrap_err();
    assert!(matches!(error, MoveError::NotAPlan { .. }), "{error}");
}

#[test]
fn each_error_says_what_can_be_done() {
    let short = dunepond_rebalance::Short {
        whose: Where::Node("a".to_string()),
        unit: "bytes".to_string(),
        room: 10,
        holds: 8,
        adds: 5,
        frees: vec![1],
    };
    assert!(short.to_string().contains("3 short"), "{short}");
    let (operation, segment, step, node, id) = (0, 1, 2, "a".to_string(), "p".to_string());
    let (first, second) = (1, 2);
    let all = [
        MoveError::NotAPlan { line: 1, column: 2, why: String::new() },
        MoveError::NoId,
        MoveError::Count { count: 0, most: 1 },
        MoveError::SplitShape { operation, segment },
        MoveError::MergeOfOne { operation },
        MoveError::Nowhere { operation, segment, node: node.clone() },
        MoveError::NoCell { node: node.clone(), cell: id.clone() },
        MoveError::NoMap,
        MoveError::IdTaken { operation, id: 1 },
        MoveError::NoSegment { operation, segment },
        MoveError::SplitOutside { operation, segment, at: 1 },
        MoveError::Apart { operation, first, second },
        MoveError::HeldOtherwise { operation, first, second },
        MoveError::NoHolder { operation, segment, node: node.clone() },
        MoveError::HoldsAlready { operation, segment, node: node.clone() },
        MoveError::Unfilled { operation, segment, node: node.clone() },
        MoveError::NoPartner { operation, node: node.clone() },
        MoveError::Leaves { operation, node },
        MoveError::TooMany { step, operation, changed: 1, of: 2, most: 0.2 },
        MoveError::OutOfRoom { step, operation, short: short.clone().into() },
        MoveError::TooHard { looks: 1, step, operation, short: short.into() },
        MoveError::Map { step, faults: vec![dunepond_shard_map::MapFault::NoSegments] },
        MoveError::NotInOrder { step, what: String::new() },
        MoveError::Runs { running: id.clone() },
        MoveError::Known { id: id.clone(), how: String::new() },
        MoveError::NotRunning { id: id.clone() },
        MoveError::Open { open: 1 },
        MoveError::Turn { id: id.clone(), said: 1, is: 2 },
        MoveError::Paused { id: id.clone(), why: String::new() },
        MoveError::NotPaused { id: id.clone() },
        MoveError::Undoing { id: id.clone() },
        MoveError::Number { said: 1, expected: 2 },
        MoveError::First { id: id.clone(), turn: 1, number: 2 },
        MoveError::MapBusy { id },
        MoveError::GivenUp { number: 1 },
    ];
    assert_eq!(all.len(), MoveError::COUNT);
    assert!(all.iter().all(|e| !e.help().is_empty() && !e.to_string().is_empty()));
    let mut texts: Vec<_> = all.iter().map(std::mem::discriminant).collect();
    texts.dedup();
    assert_eq!(texts.len(), MoveError::COUNT, "each once");
}
