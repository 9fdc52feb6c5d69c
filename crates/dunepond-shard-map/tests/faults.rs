//! The text of every fault: its place and what can be done.

mod common;

use std::collections::HashSet;
use std::mem::discriminant;

use common::*;
use dunepond_shard_map::*;
use strum::EnumCount;

/// One of each variant, which the count below checks.
fn one_of_each() -> Vec<MapFault> {
    let (keys, text) = (keys(1, 2), || "x7".to_string());
    let (one, two) = (SegmentRef { id: 41, keys }, SegmentRef { id: 42, keys });
    let context = || Box::new(SegmentContext { segment: one, before: Some(two), after: None });
    vec![
        MapFault::NoSegments,
        MapFault::UnknownHash { hash: text(), expected: text() },
        MapFault::DigestMismatch { stated: text(), actual: text() },
        MapFault::DuplicateNode { node: text() },
        MapFault::Gap { keys, before: one, after: two },
        MapFault::GapAtStart { keys, after: one },
        MapFault::GapAtEnd { keys, before: one },
        MapFault::Overlap { keys, first: one, second: two },
        MapFault::EmptyRange { context: context() },
        MapFault::InvertedRange { context: context() },
        MapFault::DuplicateId { first: one, second: two },
        MapFault::UnknownReplica { node: text(), context: context() },
        MapFault::DuplicateReplica { node: text(), context: context() },
        MapFault::DrainingReplica { node: text(), context: context() },
        MapFault::WrongPartner { node: text(), stated: text(), actual: text(), context: context() },
        MapFault::TooFewReplicas { filled: 1, min: 2, context: context() },
        MapFault::TooFewZones { zones: 1, min: 2, context: context() },
        MapFault::OwnerNotReplica { owner: text(), context: context() },
        MapFault::OwnerNotFilled { owner: text(), context: context() },
        MapFault::ShareOutOfRange { node: text(), share: 2.0, context: context() },
        MapFault::ShareSumNotOne { sum: 2.0, context: context() },
        MapFault::EpochNotAbove { from: 41, to: 41 },
        MapFault::UnknownSegment { id: 41 },
        MapFault::WrongBase { base: text(), in_force: text() },
        MapFault::LastReplicaLost { keys, old: one, new: two },
        MapFault::NoSource { replica: text(), new: one, first: one, last: two },
        MapFault::OtherEpoch { part: one, epoch: 1, expected: 2 },
        MapFault::PartOutside { part: one, keys: None },
        MapFault::PartEmpty { part: one },
        MapFault::QueryEmpty { keys },
        MapFault::NotCovered { keys, before: None, after: Some(one) },
        MapFault::CoveredTwice { keys, first: one, second: two },
        MapFault::NotQueried { keys, part: one },
    ]
}

#[test]
fn all_variants_name_their_place_and_have_help() {
    let faults = one_of_each();
    let kinds: HashSet<_> = faults.iter().map(discriminant).collect();
    assert_eq!(kinds.len(), MapFault::COUNT);
    let texts: HashSet<_> = faults.iter().map(MapFault::to_string).collect();
    assert_eq!(texts.len(), MapFault::COUNT);
    for fault in &faults {
        let text = fault.to_string();
        let named = ["41", "x7", "0x0800000000000000"].iter().any(|name| text.contains(name));
        assert!(named || *fault == MapFault::NoSegments, "{text}");
        assert!(fault.help().len() > 20, "{text}");
    }
}

#[test]
fn fault_names_range_and_neighbours() {
    let mut map = four_segments();
    map.segments[1].keys = keys(10, 16);
    let faults = verify(&map.with_digest(), &nodes(), &CONSTRAINTS).unwrap_err();
    assert_eq!(
        faults[0].to_string(),
        "no segment has the keys [0x4000000000000000, 0x5000000000000000), between segment 0 \
         [0x0000000000000000, 0x4000000000000000) and segment 1 [0x5000000000000000, 0x8000000000000000)"
    );
}
