//! Tests of the verification of maps and of query coverage: each fault is reported with its location and neighbours.

mod common;

use common::*;
use dunepond_shard_map::*;
use rstest::rstest;

/// A reference to segment `id` with the keys from slot `from` to just before slot `to`; the slots are 32 equal parts of
/// the key space.
fn at(id: u64, from: u32, to: u32) -> SegmentRef {
    SegmentRef { id, keys: keys(from, to) }
}

/// References to segment `i` of `four_segments()` and to its neighbours.
fn context(i: u32) -> Box<SegmentContext> {
    let segment_ref = |i: u32| at(i.into(), i * 8, i * 8 + 8);
    Box::new(SegmentContext {
        segment: segment_ref(i),
        before: i.checked_sub(1).map(segment_ref),
        after: (i < 3).then(|| segment_ref(i + 1)),
    })
}

fn node_name(node: u32) -> String {
    format!("n{node}")
}

#[test]
fn valid_map_is_verified_in_any_order() {
    let mut reordered = four_segments();
    reordered.segments.reverse();
    reordered.segments.iter_mut().for_each(|segment| segment.replicas.reverse());
    let verified_map = verified(&reordered);
    assert_eq!(verified_map.digest(), four_segments().digest);
    assert_eq!(verified_map.segment_for_key(key(8) - 1).id, 0);
    assert_eq!(verified_map.segment_for_key(key(8)).id, 1);
    assert_eq!(verified_map.segment_for_key(u64::MAX).id, 3);
    assert_eq!(verified_map.segment(2).unwrap().keys, keys(16, 24));
    assert_eq!(
        verified_map.map().segments.iter().map(|segment| segment.id).collect::<Vec<_>>(),
        [0, 1, 2, 3]
    );
}

type Mutation = fn(&mut Segments);

#[rstest]
#[case::gap(|s: &mut Segments| s[1].keys = keys(10, 16), vec![
    MapFault::Gap { keys: keys(8, 10), before: at(0, 0, 8), after: at(1, 10, 16) },
])]
#[case::gap_at_start(|s: &mut Segments| s[0].keys = keys(1, 8), vec![MapFault::GapAtStart { keys: keys(0, 1), after: at(0, 1, 8) }])]
#[case::gap_at_end(|s: &mut Segments| s[3].keys = keys(24, 31), vec![MapFault::GapAtEnd { keys: keys(31, 32), before: at(3, 24, 31) }])]
#[case::gap_of_last_key(|s: &mut Segments| s[3].keys.to = Some(u64::MAX), vec![MapFault::GapAtEnd {
    keys: KeyRange { from: u64::MAX, to: None },
    before: SegmentRef { id: 3, keys: KeyRange { from: key(24), to: Some(u64::MAX) } },
}])]
#[case::gap_of_first_key(|s: &mut Segments| s[0].keys.from = 1, vec![MapFault::GapAtStart {
    keys: KeyRange { from: 0, to: Some(1) },
    after: SegmentRef { id: 0, keys: KeyRange { from: 1, to: Some(key(8)) } },
}])]
#[case::overlap(|s: &mut Segments| s[1].keys = keys(8, 18), vec![
    MapFault::Overlap { keys: keys(16, 18), first: at(1, 8, 18), second: at(2, 16, 24) },
])]
#[case::overlap_with_two_segments(|s: &mut Segments| s[0].keys = keys(0, 20), vec![
    MapFault::Overlap { keys: keys(8, 16), first: at(0, 0, 20), second: at(1, 8, 16) },
    MapFault::Overlap { keys: keys(16, 20), first: at(0, 0, 20), second: at(2, 16, 24) },
])]
#[case::overlap_to_the_end(|s: &mut Segments| s[2].keys = keys(16, 32), vec![
    MapFault::Overlap { keys: keys(24, 32), first: at(2, 16, 32), second: at(3, 24, 32) },
])]
#[case::empty_range(|s: &mut Segments| s.push(segment(9, 12, 12, &[0, 1])), vec![MapFault::EmptyRange {
    context: Box::new(SegmentContext { segment: at(9, 12, 12), before: Some(at(1, 8, 16)), after: Some(at(2, 16, 24)) }),
}])]
#[case::inverted_range(|s: &mut Segments| s.push(segment(9, 12, 10, &[0, 1])), vec![MapFault::InvertedRange {
    context: Box::new(SegmentContext { segment: at(9, 12, 10), before: Some(at(1, 8, 16)), after: Some(at(2, 16, 24)) }),
}])]
#[case::duplicate_id(|s: &mut Segments| s[2].id = 0, vec![MapFault::DuplicateId { first: at(0, 0, 8), second: at(0, 16, 24) }])]
#[case::only_an_empty_range(|s: &mut Segments| *s = vec![segment(7, 3, 3, &[0, 1])], vec![
    MapFault::EmptyRange { context: Box::new(SegmentContext { segment: at(7, 3, 3), before: None, after: None }) },
    MapFault::NoSegments,
])]
#[case::no_segments(|s: &mut Segments| s.clear(), vec![MapFault::NoSegments])]
fn coverage_faults_are_reported(#[case] mutate: Mutation, #[case] expected: Vec<MapFault>) {
    let mut map = four_segments();
    mutate(&mut map.segments);
    assert_eq!(verify(&map.with_digest(), &nodes(), &CONSTRAINTS).unwrap_err(), expected);
}

#[rstest]
#[case::unknown_node(|s: &mut Segments| s[1].replicas[1] = Replica { node: "x".into(), ..replica(2, 0.5) }, vec![
    MapFault::UnknownReplica { node: "x".into(), context: context(1) },
    MapFault::TooFewZones { zones: 1, min: 2, context: context(1) },
])]
#[case::duplicate_replica(|s: &mut Segments| s[3] = segment(3, 24, 32, &[3, 4, 3]), vec![
    MapFault::DuplicateReplica { node: node_name(3), context: context(3) },
])]
#[case::draining_node(|s: &mut Segments| s[0] = segment(0, 0, 8, &[0, 1, 5]), vec![
    MapFault::DrainingReplica { node: node_name(5), context: context(0) },
])]
#[case::wrong_partner(|s: &mut Segments| s[0].replicas[0].partner = "p9".into(), vec![
    MapFault::WrongPartner { node: node_name(0), stated: "p9".into(), actual: "p0".into(), context: context(0) },
])]
#[case::too_few_replicas(|s: &mut Segments| s[2] = segment(2, 16, 24, &[2]), vec![
    MapFault::TooFewReplicas { filled: 1, min: 2, context: context(2) },
    MapFault::TooFewZones { zones: 1, min: 2, context: context(2) },
])]
#[case::too_few_filled_replicas(|s: &mut Segments| s[2].replicas[1].filled = false, vec![
    MapFault::TooFewReplicas { filled: 1, min: 2, context: context(2) },
    MapFault::TooFewZones { zones: 1, min: 2, context: context(2) },
])]
#[case::duplicate_replica_counts_once(|s: &mut Segments| s[2] = segment(2, 16, 24, &[2, 2]), vec![
    MapFault::DuplicateReplica { node: node_name(2), context: context(2) },
    MapFault::TooFewReplicas { filled: 1, min: 2, context: context(2) },
    MapFault::TooFewZones { zones: 1, min: 2, context: context(2) },
])]
#[case::one_zone(|s: &mut Segments| s[0] = segment(0, 0, 8, &[0, 3]), vec![
    MapFault::TooFewZones { zones: 1, min: 2, context: context(0) },
])]
#[case::owner_not_replica(|s: &mut Segments| s[1].owner = node_name(0), vec![MapFault::OwnerNotReplica { owner: node_name(0), context: context(1) }])]
#[case::owner_not_filled(|s: &mut Segments| { s[1] = segment(1, 8, 16, &[0, 1, 2]); s[1].replicas[0].filled = false }, vec![
    MapFault::OwnerNotFilled { owner: node_name(0), context: context(1) },
])]
#[case::shares_above_one(|s: &mut Segments| s[0].replicas[0].share = 0.75, vec![MapFault::ShareSumNotOne { sum: 1.25, context: context(0) }])]
#[case::shares_all_zero(|s: &mut Segments| s[0].replicas.iter_mut().for_each(|replica| replica.share = 0.0), vec![
    MapFault::ShareSumNotOne { sum: 0.0, context: context(0) },
])]
#[case::infinite_share(|s: &mut Segments| s[0].replicas[0].share = f64::INFINITY, vec![
    MapFault::ShareOutOfRange { node: node_name(0), share: f64::INFINITY, context: context(0) },
])]
#[case::negative_share(|s: &mut Segments| { s[0].replicas[0].share = -0.5; s[0].replicas[1].share = 1.5 }, vec![
    MapFault::ShareOutOfRange { node: node_name(0), share: -0.5, context: context(0) },
    MapFault::ShareOutOfRange { node: node_name(1), share: 1.5, context: context(0) },
])]
fn replica_faults_are_reported(#[case] mutate: Mutation, #[case] expected: Vec<MapFault>) {
    let (mut map, mut nodes) = (four_segments(), nodes());
    mutate(&mut map.segments);
    nodes[5].draining = true;
    assert_eq!(verify(&map.with_digest(), &nodes, &CONSTRAINTS).unwrap_err(), expected);
}

#[test]
fn nan_share_is_reported() {
    let mut map = four_segments();
    map.segments[0].replicas[1].share = f64::NAN;
    let faults = verify(&map.with_digest(), &nodes(), &CONSTRAINTS).unwrap_err();
    assert!(
        matches!(&faults[..], [MapFault::ShareOutOfRange { node, share, .. }] if node == "n1" && share.is_nan())
    );
}

#[test]
fn hash_digest_and_node_list_are_checked() {
    let mut map = four_segments();
    map.hash = "murmur3".to_string();
    let (stated, actual) = (map.digest.clone(), map.compute_digest());
    let list: Vec<_> = nodes().into_iter().chain(nodes().into_iter().take(1)).collect();
    let expected = vec![
        MapFault::UnknownHash { hash: "murmur3".to_string(), expected: KEY_HASH.to_string() },
        MapFault::DigestMismatch { stated, actual },
        MapFault::DuplicateNode { node: node_name(0) },
    ];
    assert_eq!(verify(&map, &list, &CONSTRAINTS).unwrap_err(), expected);
}

#[test]
fn missing_node_list_skips_node_checks() {
    let mut map = four_segments();
    map.segments[0].replicas[0] = Replica { node: "x".into(), partner: "y".into(), ..replica(0, 0.5) };
    map.segments[0].owner = "x".into();
    assert!(verify(&map.clone().with_digest(), &[], &CONSTRAINTS).is_ok());
    map.segments[0].replicas[1].filled = false;
    let faults = verify(&map.with_digest(), &[], &CONSTRAINTS).unwrap_err();
    assert_eq!(faults, [MapFault::TooFewReplicas { filled: 1, min: 2, context: context(0) }]);
}

#[test]
fn map_is_reverified_against_another_node_list() {
    let verified_map = verified(&four_segments());
    let mut list = nodes();
    assert!(verified_map.reverified(&list, &CONSTRAINTS).is_ok());
    list[0].draining = true;
    list[2].zone = "z1".into();
    let expected = [
        MapFault::DrainingReplica { node: node_name(0), context: context(0) },
        MapFault::TooFewZones { zones: 1, min: 2, context: context(1) },
    ];
    assert_eq!(verified_map.reverified(&list, &CONSTRAINTS).unwrap_err(), expected);
    // A delta is verified against the node list that its base map was verified against.
    list[2].zone = "z2".into();
    let map = four_segments();
    let later = map.segments[1..].iter().cloned().chain([segment(0, 0, 8, &[1, 2])]).collect();
    let other = verified(&common::map(1, later)).reverified(&list, &CONSTRAINTS).unwrap();
    let back = MapDelta {
        epoch: 2,
        base_digest: String::new(),
        removed: vec![],
        upserted: vec![map.segments[0].clone()],
        digest: String::new(),
    };
    let faults = verify_delta(&other, &back.with_digests(&other)).unwrap_err();
    assert_eq!(faults, [MapFault::DrainingReplica { node: node_name(0), context: context(0) }]);
}

#[test]
fn all_of_several_faults_are_reported() {
    let mut map = four_segments();
    map.segments.remove(1);
    map.segments[2].owner = "x".into();
    map.segments[1].keys = keys(16, 25);
    map.segments[1].id = 3;
    let faults = verify(&map, &nodes(), &CONSTRAINTS).unwrap_err();
    let has_fault = |is_expected: fn(&MapFault) -> bool| faults.iter().any(is_expected);
    assert!(has_fault(|fault| matches!(fault, MapFault::Gap { .. })));
    assert!(has_fault(|fault| matches!(fault, MapFault::Overlap { .. })));
    assert!(has_fault(|fault| matches!(fault, MapFault::DuplicateId { .. })));
    assert!(has_fault(|fault| matches!(fault, MapFault::OwnerNotReplica { .. })));
    assert!(has_fault(|fault| matches!(fault, MapFault::DigestMismatch { .. })));
    assert_eq!(faults.len(), 5);
}

#[rstest]
#[case::share(|m: &mut ShardMap| m.segments[0].replicas.iter_mut().for_each(|replica| replica.share = if replica.node == "n0" { 0.4 } else { 0.6 }))]
#[case::filled(|m: &mut ShardMap| m.segments[3].replicas[1].filled = false)]
#[case::boundary(|m: &mut ShardMap| { m.segments[0].keys.to = Some(key(8) + 1); m.segments[1].keys.from = key(8) + 1 })]
#[case::ids_swapped(|m: &mut ShardMap| { m.segments[0].id = 1; m.segments[1].id = 0 })]
#[case::epoch(|m: &mut ShardMap| m.epoch = 2)]
#[case::last_end(|m: &mut ShardMap| m.segments[3].keys.to = Some(0))]
#[case::owner(|m: &mut ShardMap| m.segments[0].owner = "n1".into())]
#[case::segment_removed(|m: &mut ShardMap| { m.segments.pop(); })]
#[case::boundary_between_names(|m: &mut ShardMap| { m.segments[0].replicas[0].node = "n".into(); m.segments[0].replicas[0].partner = "0p0".into() })]
fn every_difference_changes_the_digest(#[case] mutate: fn(&mut ShardMap)) {
    let mut map = four_segments();
    mutate(&mut map);
    assert_ne!(map.compute_digest(), four_segments().digest);
}

fn part(segment: u64, from: u32, to: u32, epoch: u64) -> AnsweredPart {
    AnsweredPart { segment, keys: keys(from, to), epoch }
}

#[rstest]
#[case::whole_key_space(vec![(0, 32)], vec![(0, 0, 8, 1), (1, 8, 16, 1), (2, 16, 24, 1), (3, 24, 32, 1)], None)]
#[case::several_parts_of_one_segment(vec![(2, 12)], vec![(1, 8, 12, 1), (0, 5, 8, 1), (0, 2, 5, 1)], None)]
#[case::two_ranges(vec![(20, 30), (2, 6)], vec![(0, 2, 6, 1), (2, 20, 24, 1), (3, 24, 30, 1)], None)]
#[case::overlapping_ranges(vec![(2, 6), (4, 8)], vec![(0, 2, 8, 1)], None)]
#[case::nothing_queried(vec![], vec![], None)]
#[case::middle_missing(vec![(0, 16)], vec![(0, 0, 8, 1), (1, 10, 16, 1)], Some(MapFault::NotCovered {
    keys: keys(8, 10), before: Some(at(0, 0, 8)), after: Some(at(1, 10, 16)),
}))]
#[case::last_missing(vec![(0, 32)], vec![(0, 0, 8, 1), (1, 8, 16, 1)], Some(MapFault::NotCovered {
    keys: keys(16, 32), before: Some(at(1, 8, 16)), after: None,
}))]
#[case::first_missing(vec![(0, 8)], vec![(0, 1, 8, 1)], Some(MapFault::NotCovered {
    keys: keys(0, 1), before: None, after: Some(at(0, 1, 8)),
}))]
#[case::all_missing(vec![(0, 8)], vec![], Some(MapFault::NotCovered { keys: keys(0, 8), before: None, after: None }))]
#[case::overlapping_parts(vec![(0, 8)], vec![(0, 0, 6, 1), (0, 5, 8, 1)], Some(MapFault::CoveredTwice {
    keys: keys(5, 6), first: at(0, 0, 6), second: at(0, 5, 8),
}))]
#[case::duplicate_part(vec![(0, 8)], vec![(0, 0, 8, 1), (0, 0, 8, 1)], Some(MapFault::CoveredTwice {
    keys: keys(0, 8), first: at(0, 0, 8), second: at(0, 0, 8),
}))]
#[case::other_epoch(vec![(0, 16)], vec![(0, 0, 8, 1), (1, 8, 16, 2)], Some(MapFault::OtherEpoch {
    part: at(1, 8, 16), epoch: 2, expected: 1,
}))]
#[case::outside_of_segment(vec![(0, 9)], vec![(0, 0, 9, 1)], Some(MapFault::PartOutside {
    part: at(0, 0, 9), keys: Some(keys(0, 8)),
}))]
#[case::unknown_segment(vec![(0, 8)], vec![(7, 0, 8, 1)], Some(MapFault::PartOutside { part: at(7, 0, 8), keys: None }))]
#[case::empty_part(vec![(0, 8)], vec![(0, 0, 8, 1), (1, 9, 9, 1)], Some(MapFault::PartEmpty { part: at(1, 9, 9) }))]
#[case::part_not_queried(vec![(0, 8)], vec![(0, 0, 8, 1), (1, 8, 16, 1)], Some(MapFault::NotQueried {
    keys: keys(8, 16), part: at(1, 8, 16),
}))]
#[case::part_spans_unqueried_keys(vec![(0, 4), (6, 8)], vec![(0, 0, 8, 1)], Some(MapFault::NotQueried { keys: keys(4, 6), part: at(0, 0, 8) }))]
#[case::part_begins_too_early(vec![(4, 8)], vec![(0, 2, 8, 1)], Some(MapFault::NotQueried { keys: keys(2, 4), part: at(0, 2, 8) }))]
#[case::part_before_query(vec![(4, 8)], vec![(0, 1, 2, 1), (0, 4, 8, 1)], Some(MapFault::NotQueried {
    keys: keys(1, 2), part: at(0, 1, 2),
}))]
#[case::empty_query(vec![(4, 4)], vec![], Some(MapFault::QueryEmpty { keys: keys(4, 4) }))]
#[case::inverted_query(vec![(4, 2)], vec![], Some(MapFault::QueryEmpty { keys: keys(4, 2) }))]
fn coverage_must_be_exact(
    #[case] queried: Vec<(u32, u32)>,
    #[case] parts: Vec<(u64, u32, u32, u64)>,
    #[case] expected: Option<MapFault>,
) {
    let queried: Vec<_> = queried.into_iter().map(|(from, to)| keys(from, to)).collect();
    let parts: Vec<_> = parts.into_iter().map(|(id, from, to, epoch)| part(id, from, to, epoch)).collect();
    assert_eq!(verify_coverage(&verified(&four_segments()), &queried, &parts).err(), expected);
}
