//! Tests of the message and the help text of every fault.

mod common;

use std::collections::HashSet;
use std::mem::discriminant;

use common::*;
use dunepond_shard_map::*;
use strum::EnumCount;

/// One fault of each variant; `every_fault_names_its_location_and_has_help` checks that no variant is missing.
fn one_of_each() -> Vec<MapFault> {
    let (keys, name) = (keys(1, 2), || "x7".to_string());
    let (one, two) = (SegmentRef { id: 41, keys }, SegmentRef { id: 42, keys });
    let context = || Box::new(SegmentContext { segment: one, before: Some(two), after: None });
    vec![
        MapFault::NoSegments,
        MapFault::UnknownHash { hash: name(), expected: name() },
        MapFault::DigestMismatch { stated: name(), actual: name() },
        MapFault::DuplicateNode { node: name() },
        MapFault::Gap { keys, before: one, after: two },
        MapFault::GapAtStart { keys, after: one },
        MapFault::GapAtEnd { keys, before: one },
        MapFault::Overlap { keys, first: one, second: two },
        MapFault::EmptyRange { context: context() },
        MapFault::InvertedRange { context: context() },
        MapFault::DuplicateId { first: one, second: two },
        MapFault::UnknownReplica { node: name(), context: context() },
        MapFault::DuplicateReplica { node: name(), context: context() },
        MapFault::DrainingReplica { node: name(), context: context() },
        MapFault::WrongPartner { node: name(), stated: name(), actual: name(), context: context() },
        MapFault::TooFewReplicas { filled: 1, min: 2, context: context() },
        MapFault::TooFewZones { zones: 1, min: 2, context: context() },
        MapFault::OwnerNotReplica { owner: name(), context: context() },
        MapFault::OwnerNotFilled { owner: name(), context: context() },
        MapFault::ShareOutOfRange { node: name(), share: 2.0, context: context() },
        MapFault::ShareSumNotOne { sum: 2.0, context: context() },
        MapFault::EpochNotAbove { from: 41, to: 41 },
        MapFault::UnknownSegment { id: 41 },
        MapFault::WrongBase { base: name(), in_force: name() },
        MapFault::LastReplicaLost { keys, old: one, new: two },
        MapFault::NoSource { replica: name(), new: one, first: one, last: two },
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
fn every_fault_names_its_location_and_has_help() {
    let faults = one_of_each();
    let variants: HashSet<_> = faults.iter().map(discriminant).collect();
    assert_eq!(variants.len(), MapFault::COUNT);
    let texts: HashSet<_> = faults.iter().map(MapFault::to_string).collect();
    assert_eq!(texts.len(), MapFault::COUNT);
    for fault in &faults {
        let text = fault.to_string();
        let names_location = ["41", "x7", "0x0800000000000000"].iter().any(|name| text.contains(name));
        assert!(names_location || *fault == MapFault::NoSegments, "{text}");
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
