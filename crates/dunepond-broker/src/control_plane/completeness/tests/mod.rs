use dunepond_shard_map::{MapConstraints, Replica, Segment, ShardMap, verify};
use rstest::rstest;

use super::*;

/// Returns a map of epoch 4 with segments 0 and 1, each of which has half of the keys.
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
#[case::all_answered(&[0, 1], &[true, true], &[], Some(4))]
#[case::single_segment(&[1], &[true], &[], Some(4))]
#[case::part_missing(&[0, 1], &[true, false], &[], None)]
#[case::segment_not_in_map(&[0, 7], &[true, true], &[], None)]
#[case::duplicate_segment(&[0, 0], &[true, true], &[], None)]
#[case::unsorted(&[1, 0], &[true, true], &[], Some(4))]
#[case::unsorted_part_missing(&[1, 0], &[true, false], &[], None)]
#[case::part_under_other_map(&[0, 1], &[true, true], &[(1, 5)], None)]
fn complete_only_if_covered_under_one_map(
    #[case] segments: &[usize],
    #[case] is_answered: &[bool],
    #[case] sent_under_other_map: &[(usize, u64)],
    #[case] epoch: Option<u64>,
) {
    assert_eq!(
        verify_answer(&verified_map(), segments, |part| is_answered[part], sent_under_other_map).ok(),
        epoch
    );
    // The fast path and the check of key ranges have the same result.
    assert_eq!(verify_by_keys(&verified_map(), segments, is_answered, sent_under_other_map).ok(), epoch);
}
