//! Tests of transitions and deltas between two maps: owners in each phase, required fills, and faults.

mod common;

use common::*;
use dunepond_shard_map::*;
use rstest::rstest;

fn required_fill(segment: u64, node: u32, sources: &[u32]) -> RequiredFill {
    RequiredFill {
        segment,
        replica: format!("n{node}"),
        sources: sources.iter().map(|node| format!("n{node}")).collect(),
    }
}

/// Verifies the transition from `four_segments()` to the map that `mutate` makes of it, and asserts that verifying the
/// delta between the two maps gives the same result.
fn transition(mutate: fn(&mut Segments)) -> Result<MapTransition, Vec<MapFault>> {
    let mut to = four_segments();
    to.epoch = 2;
    mutate(&mut to.segments);
    let (from, to) = (verified(&four_segments()), verified(&to.with_digest()));
    let full = verify_transition(&from, &to);
    let delta = verify_delta(&from, &MapDelta::between(&from, to.map()));
    match (&full, &delta) {
        (Ok(full), Ok(delta)) => {
            assert_eq!(full.required_fills(), delta.required_fills());
            assert_eq!(
                (full.changed_segments(), full.to().map()),
                (delta.changed_segments(), delta.to().map())
            );
        }
        (full, delta) => assert_eq!(full.as_ref().err(), delta.as_ref().err()),
    }
    full
}

#[rstest]
#[case::no_change(|_: &mut Segments| {}, 0, vec![], vec![])]
#[case::replica_added(|s: &mut Segments| s[0] = segment(0, 0, 8, &[0, 1, 2]), 1, vec![required_fill(0, 2, &[0, 1])], vec![])]
#[case::unfilled_replica(|s: &mut Segments| { s[0] = segment(0, 0, 8, &[0, 1, 2]); s[0].replicas[2].filled = false }, 1,
    vec![required_fill(0, 2, &[0, 1])], vec![])]
#[case::replica_to_refill(|s: &mut Segments| { s[0] = segment(0, 0, 8, &[0, 1, 2]); s[0].replicas[1].filled = false }, 1,
    vec![required_fill(0, 1, &[0]), required_fill(0, 2, &[0, 1])], vec![])]
#[case::owner_changed(|s: &mut Segments| s[0].owner = "n1".into(), 1, vec![], vec![(0, 8)])]
#[case::owner_and_replica_changed(|s: &mut Segments| s[0] = segment(0, 0, 8, &[2, 1]), 1, vec![required_fill(0, 2, &[0, 1])], vec![(0, 8)])]
#[case::split(|s: &mut Segments| { s[0].keys = keys(0, 4); s.push(segment(9, 4, 8, &[0, 1])) }, 2, vec![], vec![])]
#[case::split_to_another_owner(|s: &mut Segments| { s[0].keys = keys(0, 4); s.push(segment(9, 4, 8, &[1, 2])) }, 2,
    vec![required_fill(9, 2, &[0, 1])], vec![(4, 8)])]
#[case::merged(|s: &mut Segments| { s[1] = segment(1, 0, 16, &[1, 2]); s.remove(0); }, 2, vec![required_fill(1, 2, &[0, 1])], vec![(0, 8)])]
#[case::boundary_moved(|s: &mut Segments| { s[0].keys = keys(0, 9); s[1].keys = keys(9, 16) }, 2, vec![required_fill(0, 0, &[1, 2])], vec![(8, 9)])]
#[case::ids_swapped(|s: &mut Segments| { s[0].id = 1; s[1].id = 0 }, 2, vec![], vec![])]
fn transition_has_required_fills_and_no_owner_where_owners_differ(
    #[case] mutate: fn(&mut Segments),
    #[case] changed: usize,
    #[case] fills: Vec<RequiredFill>,
    #[case] ownerless: Vec<(u32, u32)>,
) {
    let transition = transition(mutate).unwrap();
    assert_eq!((transition.changed_segments(), transition.required_fills()), (changed, &fills[..]));
    for slot in 0..SLOTS {
        let is_ownerless = ownerless.iter().any(|(from, to)| (*from..*to).contains(&slot));
        let [old, joint, new] = [TransitionPhase::Old, TransitionPhase::Joint, TransitionPhase::New]
            .map(|phase| transition.owner_of_key(key(slot), phase));
        assert_eq!(joint.is_none(), is_ownerless, "slot {slot}");
        assert!(joint.is_none_or(|joint| old == Some(joint) && new == Some(joint)), "slot {slot}");
    }
}

#[test]
fn joint_owner_of_segment_must_own_all_its_keys() {
    let split = transition(|s| {
        s[0].keys = keys(0, 4);
        s.push(segment(9, 4, 8, &[1, 2]));
    });
    let split = split.unwrap();
    assert_eq!(split.owner_of_segment(0, TransitionPhase::Old), Some("n0"));
    assert_eq!(split.owner_of_segment(0, TransitionPhase::New), Some("n0"));
    // Some of the old keys of segment 0 get another owner, so the segment has no owner in the joint phase.
    assert_eq!(split.owner_of_segment(0, TransitionPhase::Joint), None);
    assert_eq!(split.owner_of_segment(9, TransitionPhase::Joint), None);
    assert_eq!(split.owner_of_segment(9, TransitionPhase::Old), None);
    assert_eq!(split.owner_of_segment(1, TransitionPhase::Joint), Some("n1"));
    assert_eq!(split.owner_of_segment(77, TransitionPhase::Joint), None);
    let same_owner = transition(|s| {
        s[0].keys = keys(0, 4);
        s.push(segment(9, 4, 8, &[0, 1]));
    });
    let same_owner = same_owner.unwrap();
    assert_eq!(
        (
            same_owner.owner_of_segment(0, TransitionPhase::Joint),
            same_owner.owner_of_segment(9, TransitionPhase::Joint)
        ),
        (Some("n0"), Some("n0"))
    );
    // The keys keep their owners, but the segment ids get other keys and so other owners.
    let swapped = transition(|s| (s[0].id, s[1].id) = (1, 0)).unwrap();
    assert_eq!(swapped.owner_of_key(0, TransitionPhase::Joint), Some("n0"));
    assert_eq!(
        (
            swapped.owner_of_segment(0, TransitionPhase::Joint),
            swapped.owner_of_segment(1, TransitionPhase::Joint)
        ),
        (None, None)
    );
}

#[test]
fn keys_keep_a_filled_replica() {
    let at = |id, from, to| SegmentRef { id, keys: keys(from, to) };
    // All replicas of segment 0 move to other nodes, so no filled replica keeps its keys.
    let faults = transition(|s| s[0] = segment(0, 0, 8, &[4, 5])).unwrap_err();
    assert_eq!(faults, [MapFault::LastReplicaLost { keys: keys(0, 8), old: at(0, 0, 8), new: at(0, 0, 8) }]);
    // Other segments change without a loss; only the segment that loses its replicas is reported.
    let faults = transition(|s| {
        s[0].keys = keys(0, 4);
        s[0].id = 9;
        s[1].keys = keys(4, 16);
        s[1].replicas = segment(1, 4, 16, &[2, 0]).replicas;
        s[1].owner = "n2".into();
        s[2] = segment(2, 16, 24, &[0, 1]);
    });
    assert_eq!(
        faults.unwrap_err(),
        [MapFault::LastReplicaLost { keys: keys(16, 24), old: at(2, 16, 24), new: at(2, 16, 24) }]
    );
    // A replica that is to be filled again counts as having no data.
    let faults = transition(|s| {
        s[0] = segment(0, 0, 8, &[4, 5, 0, 1]);
        s[0].replicas[2].filled = false;
        s[0].replicas[3].filled = false;
    });
    assert_eq!(
        faults.unwrap_err(),
        [MapFault::LastReplicaLost { keys: keys(0, 8), old: at(0, 0, 8), new: at(0, 0, 8) }]
    );
}

#[test]
fn replica_needs_one_source_for_all_missing_keys() {
    // n5 needs keys that only n0 and n1 have, and keys that only n2 and n3 have, so no single node can be its source.
    let mut from = four_segments();
    from.segments[1] = segment(1, 8, 16, &[2, 3]);
    let mut to = from.clone();
    to.epoch = 2;
    to.segments[0] = segment(0, 0, 16, &[0, 2, 5]);
    to.segments.remove(1);
    let (from, to) = (verified(&from.with_digest()), verified(&to.with_digest()));
    let faults = verify_transition(&from, &to).unwrap_err();
    let (first, last) = (from.segment(0).unwrap().into(), from.segment(1).unwrap().into());
    let new = to.segment(0).unwrap().into();
    assert_eq!(faults, [MapFault::NoSource { replica: "n5".into(), new, first, last }]);
}

#[rstest]
#[case(1)]
#[case(0)]
fn epoch_must_increase(#[case] epoch: u64) {
    let from = verified(&four_segments());
    let to = verified(&ShardMap { epoch, ..four_segments() }.with_digest());
    assert_eq!(verify_transition(&from, &to).unwrap_err(), [MapFault::EpochNotAbove { from: 1, to: epoch }]);
    let change = MapDelta {
        epoch,
        base_digest: String::new(),
        removed: vec![],
        upserted: vec![],
        digest: String::new(),
    };
    assert_eq!(
        verify_delta(&from, &change.with_digests(&from)).unwrap_err(),
        [MapFault::EpochNotAbove { from: 1, to: epoch }]
    );
}

#[test]
fn delta_must_be_relative_to_map_in_force() {
    let from = verified(&four_segments());
    let change = MapDelta {
        epoch: 2,
        base_digest: "x".into(),
        removed: vec![7],
        upserted: vec![],
        digest: "y".into(),
    };
    let faults = verify_delta(&from, &change).unwrap_err();
    assert_eq!(
        faults,
        [
            MapFault::UnknownSegment { id: 7 },
            MapFault::WrongBase { base: "x".into(), in_force: four_segments().digest },
        ]
    );
    let change = MapDelta { removed: vec![], ..change }.with_digests(&from);
    assert!(verify_delta(&from, &change).is_ok());
    let altered = MapDelta { digest: "y".into(), ..change };
    assert!(matches!(&verify_delta(&from, &altered).unwrap_err()[..], [MapFault::DigestMismatch { .. }]));
}

/// Guards against a check that compares only the first and the last key of all replaced segments with those of all new
/// segments. Such a check would accept each of these deltas.
#[rstest]
#[case::empty_range(vec![segment(9, 8, 8, &[0, 1])], |faults: &[MapFault]| matches!(faults, [MapFault::EmptyRange { .. }]))]
#[case::empty_range_beside_another(vec![segment(0, 0, 8, &[1, 0]), segment(9, 8, 8, &[0, 1])],
    |faults: &[MapFault]| matches!(faults, [MapFault::EmptyRange { .. }]))]
#[case::inverted_range(vec![segment(0, 0, 8, &[1, 0]), segment(9, 8, 4, &[0, 1])],
    |faults: &[MapFault]| matches!(faults, [MapFault::InvertedRange { .. }]))]
#[case::overlap(vec![segment(0, 0, 8, &[1, 0]), segment(9, 4, 8, &[0, 1])],
    |faults: &[MapFault]| matches!(faults, [MapFault::Overlap { .. }]))]
#[case::duplicate_id(vec![segment(0, 0, 4, &[1, 0]), segment(0, 4, 8, &[0, 1])],
    |faults: &[MapFault]| matches!(faults, [MapFault::DuplicateId { .. }]))]
fn delta_must_cover_replaced_keys_once(
    #[case] upserted: Vec<Segment>,
    #[case] is_expected: fn(&[MapFault]) -> bool,
) {
    let from = verified(&four_segments());
    let change =
        MapDelta { epoch: 2, base_digest: String::new(), removed: vec![], upserted, digest: String::new() };
    let faults = verify_delta(&from, &change.with_digests(&from)).unwrap_err();
    assert!(is_expected(&faults), "{faults:?}");
}

#[test]
fn map_and_transition_can_be_shared_between_threads() {
    fn assert_shareable<T: Send + Sync + Clone>(_: &T) {}
    let verified_map = verified(&four_segments());
    assert_shareable(&verified_map);
    let later = verified(&ShardMap { epoch: 2, ..four_segments() }.with_digest());
    assert_shareable(&verify_transition(&verified_map, &later).unwrap());
    assert_eq!(
        format!("{verified_map:?}"),
        format!("VerifiedMap {{ epoch: 1, digest: {}, segments: 4 }}", four_segments().digest)
    );
}

#[test]
fn recorded_fills_count_in_next_transitions() {
    let mut one = four_segments();
    one.segments[0] = segment(0, 0, 8, &[0, 1, 2]);
    one.segments[0].replicas[2].filled = false;
    let verified_map = verified(&one.clone().with_digest());
    // Only the epoch changes, so the replica still has to be filled.
    let mut two = one.clone();
    two.epoch = 2;
    let two = verified(&two.with_digest());
    assert_eq!(
        verify_transition(&verified_map, &two).unwrap().required_fills(),
        [required_fill(0, 2, &[0, 1])]
    );
    let filled = verified_map.with_filled([(0, "n2"), (0, "n4"), (77, "n2")]);
    let next = verify_transition(&filled, &two).unwrap();
    assert_eq!(next.required_fills(), []);
    // The recorded fill still counts in a further transition, to a map that states the replica as filled.
    let mut three = one.clone();
    three.epoch = 3;
    three.segments[0].replicas[2].filled = true;
    let three = verified(&three.with_digest());
    assert_eq!(verify_transition(next.to(), &three).unwrap().required_fills(), []);
    assert_eq!(verify_transition(&two, &three).unwrap().required_fills(), [required_fill(0, 2, &[0, 1])]);
}
