use dunepond_shard_map::{MapConstraints, Replica, Segment, ShardMap, verify};
use rstest::rstest;

use super::*;

fn verified_map() -> VerifiedMap {
    let replica = |node: &str| Replica {
        node: node.to_string(),
        partner: "north".to_string(),
        filled: true,
        share: 1.0,
    };
    let segment =
        |id, keys, node: &str| Segment { id, keys, owner: node.to_string(), replicas: vec![replica(node)] };
    let half = 1 << 63;
    let segments = vec![
        segment(0, KeyRange { from: 0, to: Some(half) }, "a"),
        segment(1, KeyRange { from: half, to: None }, "b"),
    ];
    let map = ShardMap { epoch: 4, hash: "xxh3-64".to_string(), segments, digest: String::new() };
    verify(&map.with_digest(), &[], &MapConstraints { min_replicas: 1, min_zones: 1 }).unwrap()
}

#[rstest]
#[case::all(&[0, 1], &[true, true], &[], Some(4))]
#[case::one_of_one(&[1], &[true], &[], Some(4))]
#[case::one_is_missing(&[0, 1], &[true, false], &[], None)]
#[case::not_in_the_map(&[0, 7], &[true, true], &[], None)]
#[case::asked_for_twice(&[0, 0], &[true, true], &[], None)]
#[case::in_another_order(&[1, 0], &[true, true], &[], Some(4))]
#[case::the_later_is_missing(&[1, 0], &[true, false], &[], None)]
#[case::under_another_map(&[0, 1], &[true, true], &[(1, 5)], None)]
fn complete_only_if_covered_under_one_map(
    #[case] segs: &[usize],
    #[case] is_answered: &[bool],
    #[case] moved: &[(usize, u64)],
    #[case] epoch: Option<u64>,
) {
    assert_eq!(verify_answer(&verified_map(), segs, |at| is_answered[at], moved).ok(), epoch);
    // The fast path agrees with the full one.
    assert_eq!(verify_by_keys(&verified_map(), segs, is_answered, moved).ok(), epoch);
}
