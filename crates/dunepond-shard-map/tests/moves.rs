//! Moves between two maps: owners at each step, fills needed, and what no move may do.

mod common;

use common::*;
use dunepond_shard_map::*;
use rstest::rstest;

fn need(segment: u64, holder: u32, sources: &[u32]) -> Need {
    Need {
        segment,
        holder: format!("n{holder}"),
        sources: sources.iter().map(|node| format!("n{node}")).collect(),
    }
}

fn moved(plant: fn(&mut Segs)) -> Result<Move, Vec<Fault>> {
    let mut to = four();
    to.epoch = 2;
    plant(&mut to.segments);
    let (from, to) = (prove(&four()), prove(&to.sealed()));
    let whole = check_move(&from, &to);
    // The other way to the same verdict.
    let change = Change::between(&from, to.map());
    let few = check_change(&from, &change);
    match (&whole, &few) {
        (Ok(whole), Ok(few)) => {
            assert_eq!(whole.needs(), few.needs());
            assert_eq!((whole.changed(), whole.to().map()), (few.changed(), few.to().map()));
        }
        (whole, few) => assert_eq!(whole.as_ref().err(), few.as_ref().err()),
    }
    whole
}

#[rstest]
#[case::nothing(|_: &mut Segs| {}, 0, vec![], vec![])]
#[case::a_holder_comes(|s: &mut Segs| s[0] = segment(0, 0, 8, &[0, 1, 2]), 1, vec![need(0, 2, &[0, 1])], vec![])]
#[case::unfilled_one(|s: &mut Segs| { s[0] = segment(0, 0, 8, &[0, 1, 2]); s[0].holders[2].filled = false }, 1,
    vec![need(0, 2, &[0, 1])], vec![])]
#[case::filled_anew(|s: &mut Segs| { s[0] = segment(0, 0, 8, &[0, 1, 2]); s[0].holders[1].filled = false }, 1,
    vec![need(0, 1, &[0]), need(0, 2, &[0, 1])], vec![])]
#[case::the_owner_changes(|s: &mut Segs| s[0].owner = "n1".into(), 1, vec![], vec![(0, 8)])]
#[case::owner_and_holder(|s: &mut Segs| s[0] = segment(0, 0, 8, &[2, 1]), 1, vec![need(0, 2, &[0, 1])], vec![(0, 8)])]
#[case::split(|s: &mut Segs| { s[0].keys = keys(0, 4); s.push(segment(9, 4, 8, &[0, 1])) }, 2, vec![], vec![])]
#[case::split_to_another(|s: &mut Segs| { s[0].keys = keys(0, 4); s.push(segment(9, 4, 8, &[1, 2])) }, 2,
    vec![need(9, 2, &[0, 1])], vec![(4, 8)])]
#[case::merged(|s: &mut Segs| { s[1] = segment(1, 0, 16, &[1, 2]); s.remove(0); }, 2, vec![need(1, 2, &[0, 1])], vec![(0, 8)])]
#[case::boundary(|s: &mut Segs| { s[0].keys = keys(0, 9); s[1].keys = keys(9, 16) }, 2, vec![need(0, 0, &[1, 2])], vec![(8, 9)])]
#[case::ids_exchanged(|s: &mut Segs| { s[0].id = 1; s[1].id = 0 }, 2, vec![], vec![])]
fn a_move_names_its_fills_and_has_no_owner_where_maps_differ(
    #[case] plant: fn(&mut Segs),
    #[case] changed: usize,
    #[case] needs: Vec<Need>,
    #[case] without: Vec<(u32, u32)>,
) {
    let moved = moved(plant).unwrap();
    assert_eq!((moved.changed(), moved.needs()), (changed, &needs[..]));
    for slot in 0..SLOTS {
        let refused = without.iter().any(|(from, to)| (*from..*to).contains(&slot));
        let [old, joint, new] =
            [Step::Old, Step::Joint, Step::New].map(|step| moved.owner_at(key(slot), step));
        assert_eq!(joint.is_none(), refused, "slot {slot}");
        assert!(joint.is_none_or(|joint| old == Some(joint) && new == Some(joint)), "slot {slot}");
    }
}

#[test]
fn an_id_has_an_owner_in_the_joint_step_only_if_all_its_keys_have_one() {
    let split = moved(|s| {
        s[0].keys = keys(0, 4);
        s.push(segment(9, 4, 8, &[1, 2]));
    });
    let split = split.unwrap();
    assert_eq!(split.owner(0, Step::Old), Some("n0"));
    assert_eq!(split.owner(0, Step::New), Some("n0"));
    // Of its old keys some go to another.
    assert_eq!(split.owner(0, Step::Joint), None);
    assert_eq!(split.owner(9, Step::Joint), None);
    assert_eq!(split.owner(9, Step::Old), None);
    assert_eq!(split.owner(1, Step::Joint), Some("n1"));
    assert_eq!(split.owner(77, Step::Joint), None);
    let alike = moved(|s| {
        s[0].keys = keys(0, 4);
        s.push(segment(9, 4, 8, &[0, 1]));
    });
    let alike = alike.unwrap();
    assert_eq!((alike.owner(0, Step::Joint), alike.owner(9, Step::Joint)), (Some("n0"), Some("n0")));
    // The keys keep their owners, the ids do not.
    let exchanged = moved(|s| (s[0].id, s[1].id) = (1, 0)).unwrap();
    assert_eq!(exchanged.owner_at(0, Step::Joint), Some("n0"));
    assert_eq!((exchanged.owner(0, Step::Joint), exchanged.owner(1, Step::Joint)), (None, None));
}

#[test]
fn keys_keep_a_filled_holder() {
    let at = |id, from, to| Place { id, keys: keys(from, to) };
    // All of one, and of a merge only the keys of the other.
    let faults = moved(|s| s[0] = segment(0, 0, 8, &[4, 5])).unwrap_err();
    assert_eq!(faults, [Fault::LastHolderLost { keys: keys(0, 8), old: at(0, 0, 8), new: at(0, 0, 8) }]);
    let faults = moved(|s| {
        s[0].keys = keys(0, 4);
        s[0].id = 9;
        s[1].keys = keys(4, 16);
        s[1].holders = segment(1, 4, 16, &[2, 0]).holders;
        s[1].owner = "n2".into();
        s[2] = segment(2, 16, 24, &[0, 1]);
    });
    assert_eq!(
        faults.unwrap_err(),
        [Fault::LastHolderLost { keys: keys(16, 24), old: at(2, 16, 24), new: at(2, 16, 24) }]
    );
    // One that stays and is to be filled anew has nothing.
    let faults = moved(|s| {
        s[0] = segment(0, 0, 8, &[4, 5, 0, 1]);
        s[0].holders[2].filled = false;
        s[0].holders[3].filled = false;
    });
    assert_eq!(
        faults.unwrap_err(),
        [Fault::LastHolderLost { keys: keys(0, 8), old: at(0, 0, 8), new: at(0, 0, 8) }]
    );
}

#[test]
fn a_holder_that_needs_keys_of_two_segments_needs_one_source_for_both() {
    // n5 comes to keys of n0, n1 and of n2, n3.
    let mut from = four();
    from.segments[1] = segment(1, 8, 16, &[2, 3]);
    let mut to = from.clone();
    to.epoch = 2;
    to.segments[0] = segment(0, 0, 16, &[0, 2, 5]);
    to.segments.remove(1);
    let (from, to) = (prove(&from.sealed()), prove(&to.sealed()));
    let faults = check_move(&from, &to).unwrap_err();
    let (first, last) = (from.segment(0).unwrap().into(), from.segment(1).unwrap().into());
    let new = to.segment(0).unwrap().into();
    assert_eq!(faults, [Fault::NoSource { holder: "n5".into(), new, first, last }]);
}

#[rstest]
#[case(1)]
#[case(0)]
fn an_epoch_that_is_not_above_is_refused(#[case] epoch: u64) {
    let from = prove(&four());
    let to = prove(&Map { epoch, ..four() }.sealed());
    assert_eq!(check_move(&from, &to).unwrap_err(), [Fault::EpochNotAbove { from: 1, to: epoch }]);
    let change = Change { epoch, follows: String::new(), gone: vec![], put: vec![], digest: String::new() };
    assert_eq!(
        check_change(&from, &change.sealed(&from)).unwrap_err(),
        [Fault::EpochNotAbove { from: 1, to: epoch }]
    );
}

#[test]
fn a_change_is_of_the_map_in_force() {
    let from = prove(&four());
    let change = Change { epoch: 2, follows: "x".into(), gone: vec![7], put: vec![], digest: "y".into() };
    let faults = check_change(&from, &change).unwrap_err();
    assert_eq!(
        faults,
        [Fault::NotThere { id: 7 }, Fault::FollowsOther { follows: "x".into(), from: four().digest },]
    );
    let change = Change { gone: vec![], ..change }.sealed(&from);
    assert!(check_change(&from, &change).is_ok());
    let altered = Change { digest: "y".into(), ..change };
    assert!(matches!(&check_change(&from, &altered).unwrap_err()[..], [Fault::Digest { .. }]));
}

/// Each would pass if only the ends of what goes and comes were compared.
#[rstest]
#[case::empty(vec![segment(9, 8, 8, &[0, 1])], |faults: &[Fault]| matches!(faults, [Fault::EmptyRange { .. }]))]
#[case::empty_beside(vec![segment(0, 0, 8, &[1, 0]), segment(9, 8, 8, &[0, 1])],
    |faults: &[Fault]| matches!(faults, [Fault::EmptyRange { .. }]))]
#[case::inverted(vec![segment(0, 0, 8, &[1, 0]), segment(9, 8, 4, &[0, 1])],
    |faults: &[Fault]| matches!(faults, [Fault::InvertedRange { .. }]))]
#[case::overlap(vec![segment(0, 0, 8, &[1, 0]), segment(9, 4, 8, &[0, 1])],
    |faults: &[Fault]| matches!(faults, [Fault::Overlap { .. }]))]
#[case::one_id_twice(vec![segment(0, 0, 4, &[1, 0]), segment(0, 4, 8, &[0, 1])],
    |faults: &[Fault]| matches!(faults, [Fault::DoubledId { .. }]))]
fn a_change_must_put_the_keys_that_go_and_each_once(
    #[case] put: Vec<Segment>,
    #[case] is: fn(&[Fault]) -> bool,
) {
    let from = prove(&four());
    let change = Change { epoch: 2, follows: String::new(), gone: vec![], put, digest: String::new() };
    let faults = check_change(&from, &change.sealed(&from)).unwrap_err();
    assert!(is(&faults), "{faults:?}");
}

#[test]
fn a_move_may_be_handed_from_thread_to_thread() {
    fn shared<T: Send + Sync + Clone>(_: &T) {}
    let proof = prove(&four());
    shared(&proof);
    let later = prove(&Map { epoch: 2, ..four() }.sealed());
    shared(&check_move(&proof, &later).unwrap());
    assert_eq!(format!("{proof:?}"), format!("Proof {{ epoch: 1, digest: {}, segments: 4 }}", four().digest));
}

#[test]
fn what_was_filled_since_counts_in_the_next_move() {
    let mut one = four();
    one.segments[0] = segment(0, 0, 8, &[0, 1, 2]);
    one.segments[0].holders[2].filled = false;
    let proof = prove(&one.clone().sealed());
    // Nothing changes but the epoch: the holder still has to be filled.
    let mut two = one.clone();
    two.epoch = 2;
    let two = prove(&two.sealed());
    assert_eq!(check_move(&proof, &two).unwrap().needs(), [need(0, 2, &[0, 1])]);
    let filled = proof.with_filled([(0, "n2"), (0, "n4"), (77, "n2")]);
    let carried = check_move(&filled, &two).unwrap();
    assert_eq!(carried.needs(), []);
    // Over a further move too, and for a map that now says so.
    let mut three = one.clone();
    three.epoch = 3;
    three.segments[0].holders[2].filled = true;
    let three = prove(&three.sealed());
    assert_eq!(check_move(carried.to(), &three).unwrap().needs(), []);
    assert_eq!(check_move(&two, &three).unwrap().needs(), [need(0, 2, &[0, 1])]);
}
