//! Golden files of the stored and exchanged formats, compared byte by byte. The files under `data/golden` are what released
//! brokers store: JSON documents, `postcard` entries and digests.

mod common;

use std::collections::HashSet;
use std::fmt::Debug;
use std::mem::discriminant;

use common::*;
use dunepond_shard_map::*;
use serde::{Serialize, de::DeserializeOwned};
use strum::EnumCount;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

fn golden_lines(file: &str) -> Vec<String> {
    let path = format!("{}/tests/data/golden/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    text.lines().map(String::from).collect()
}

/// Asserts that the lines of the golden file are `actual`. Compares line by line, so that the first difference is shown.
fn assert_lines(file: &str, actual: &[String]) {
    let golden = golden_lines(file);
    for (golden, actual) in golden.iter().zip(actual) {
        assert_eq!(golden, actual, "{file}");
    }
    assert_eq!(golden.len(), actual.len(), "{file}");
}

/// Asserts that the values encode to the lines of the golden files `NAME.json` and `NAME.postcard`, and that these lines decode
/// to the values. Each line holds one value.
fn assert_encodings<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, values: &[T]) {
    let (json, postcard) = (format!("{name}.json"), format!("{name}.postcard"));
    let texts: Vec<String> = values.iter().map(|value| serde_json::to_string(value).unwrap()).collect();
    assert_lines(&json, &texts);
    let bytes: Vec<String> =
        values.iter().map(|value| to_hex(&postcard::to_stdvec(value).unwrap())).collect();
    assert_lines(&postcard, &bytes);
    for ((json, postcard), value) in golden_lines(&json).iter().zip(golden_lines(&postcard)).zip(values) {
        assert_eq!(&serde_json::from_str::<T>(json).unwrap(), value);
        assert_eq!(&postcard::from_bytes::<T>(&from_hex(&postcard)).unwrap(), value);
    }
}

/// A map with unfilled replicas, uneven shares, unordered segments, a name that is not ASCII, and the largest id and epoch.
fn mixed_map() -> ShardMap {
    let mut segments =
        vec![segment(u64::MAX, 16, 32, &[3, 4]), segment(7, 0, 8, &[0, 1, 2]), segment(300, 8, 16, &[2])];
    segments[0].replicas[1].filled = false;
    segments[1].replicas[0].share = 0.25;
    segments[1].replicas[1].share = -0.0;
    segments[1].replicas[2].share = 0.75;
    segments[2].owner = "n\u{e9}".to_string();
    map(u64::MAX, segments)
}

fn maps() -> Vec<ShardMap> {
    let unknown_hash = ShardMap { hash: "other".into(), digest: "said".into(), ..four_segments() };
    vec![four_segments(), mixed_map(), map(0, vec![]), unknown_hash]
}

#[test]
fn maps_keep_their_encoding_and_digest() {
    assert_encodings("maps", &maps());
    let digests: Vec<String> = maps().iter().map(ShardMap::compute_digest).collect();
    assert_lines("digests.txt", &digests);
    // A decoded map has the same digest, whatever the order of its segments and replicas.
    for (text, digest) in golden_lines("maps.json").iter().zip(digests) {
        let mut map: ShardMap = serde_json::from_str(text).unwrap();
        map.segments.reverse();
        map.segments.iter_mut().for_each(|segment| segment.replicas.reverse());
        assert_eq!(map.compute_digest(), digest);
    }
}

#[test]
fn keys_keep_their_positions() {
    assert_eq!(KEY_HASH, "xxh3-64");
    let keys: [&[u8]; 4] = [b"", b"a", b"customer/17", &[0, 255, 128]];
    assert_lines("places.txt", &keys.map(|key| format!("{} {:016x}", to_hex(key), key_position(key))));
}

#[test]
fn deltas_keep_their_encoding_and_resulting_map() {
    let from = verified(&four_segments());
    let mut to = four_segments();
    to.epoch = 2;
    to.segments[0] = segment(0, 0, 8, &[0, 1, 2]);
    to.segments[0].replicas[2].filled = false;
    to.segments.remove(1);
    to.segments.push(segment(9, 8, 16, &[1, 2]));
    let between = MapDelta::between(&from, &to.clone().with_digest());
    let without_digests = MapDelta { digest: String::new(), base_digest: String::new(), ..between.clone() };
    assert_eq!(without_digests.clone().with_digests(&from), between);
    assert_encodings("changes", &[between.clone(), without_digests]);
    let transition = verify_delta(&from, &between).unwrap();
    assert_encodings("moved", std::slice::from_ref(transition.to().map()));
    assert_encodings("needs", transition.required_fills());
}

#[test]
fn small_types_keep_their_encoding() {
    assert_encodings("ranges", &[KeyRange::ALL, keys(1, 2), KeyRange { from: u64::MAX, to: None }]);
    assert_encodings("nodes", &[nodes(), vec![Node { draining: true, ..nodes()[1].clone() }], vec![]]);
    assert_encodings("terms", &[CONSTRAINTS, MapConstraints { min_replicas: 0, min_zones: 300 }]);
    assert_encodings("steps", &[TransitionPhase::Old, TransitionPhase::Joint, TransitionPhase::New]);
    assert_encodings("pieces", &[AnsweredPart { segment: 300, keys: keys(3, 32), epoch: 9 }]);
}

/// One fault of each variant; `faults_keep_their_encoding` checks that no variant is missing.
fn faults() -> Vec<MapFault> {
    let (keys, text) = (keys(1, 2), |text: &str| text.to_string());
    let (one, two) = (SegmentRef { id: 41, keys }, SegmentRef { id: 300, keys: KeyRange::ALL });
    let context = || Box::new(SegmentContext { segment: one, before: Some(two), after: None });
    vec![
        MapFault::NoSegments,
        MapFault::UnknownHash { hash: text("a"), expected: text("b") },
        MapFault::DigestMismatch { stated: text("a"), actual: text("b") },
        MapFault::DuplicateNode { node: text("a") },
        MapFault::Gap { keys, before: one, after: two },
        MapFault::GapAtStart { keys, after: one },
        MapFault::GapAtEnd { keys, before: one },
        MapFault::Overlap { keys, first: one, second: two },
        MapFault::EmptyRange { context: context() },
        MapFault::InvertedRange { context: context() },
        MapFault::DuplicateId { first: one, second: two },
        MapFault::UnknownReplica { node: text("a"), context: context() },
        MapFault::DuplicateReplica { node: text("a"), context: context() },
        MapFault::DrainingReplica { node: text("a"), context: context() },
        MapFault::WrongPartner { node: text("a"), stated: text("b"), actual: text("c"), context: context() },
        MapFault::TooFewReplicas { filled: 1, min: 2, context: context() },
        MapFault::TooFewZones { zones: 1, min: 2, context: context() },
        MapFault::OwnerNotReplica { owner: text("a"), context: context() },
        MapFault::OwnerNotFilled { owner: text("a"), context: context() },
        MapFault::ShareOutOfRange { node: text("a"), share: 2.5, context: context() },
        MapFault::ShareSumNotOne { sum: 2.5, context: context() },
        MapFault::EpochNotAbove { from: 41, to: 42 },
        MapFault::UnknownSegment { id: 41 },
        MapFault::WrongBase { base: text("a"), in_force: text("b") },
        MapFault::LastReplicaLost { keys, old: one, new: two },
        MapFault::NoSource { replica: text("a"), new: one, first: one, last: two },
        MapFault::OtherEpoch { part: one, epoch: 1, expected: 2 },
        MapFault::PartOutside { part: one, keys: Some(keys) },
        MapFault::PartEmpty { part: one },
        MapFault::QueryEmpty { keys },
        MapFault::NotCovered { keys, before: None, after: Some(one) },
        MapFault::CoveredTwice { keys, first: one, second: two },
        MapFault::NotQueried { keys, part: one },
    ]
}

#[test]
fn faults_keep_their_encoding() {
    let variants: HashSet<_> = faults().iter().map(discriminant).collect();
    assert_eq!(variants.len(), MapFault::COUNT);
    assert_encodings("faults", &faults());
}
