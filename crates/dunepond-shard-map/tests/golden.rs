//! Stored and exchanged forms, byte by byte. The files under `data/golden` are what folders in use hold: documents in JSON, entries in
//! `postcard`, and digests.

mod common;

use std::collections::HashSet;
use std::fmt::Debug;
use std::mem::discriminant;

use common::*;
use dunepond_shard_map::*;
use serde::{Serialize, de::DeserializeOwned};
use strum::EnumCount;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

fn lines(file: &str) -> Vec<String> {
    let path = format!("{}/tests/data/golden/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|fault| panic!("{path}: {fault}"));
    text.lines().map(String::from).collect()
}

/// Compares with the file, line by line, so that the first difference is named.
fn same(file: &str, now: &[String]) {
    let golden = lines(file);
    for (golden, now) in golden.iter().zip(now) {
        assert_eq!(golden, now, "{file}");
    }
    assert_eq!(golden.len(), now.len(), "{file}");
}

/// `NAME.json` and `NAME.postcard`, a value a line: written as in the files, and read from them.
fn forms<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, values: &[T]) {
    let (json, postcard) = (format!("{name}.json"), format!("{name}.postcard"));
    let texts: Vec<String> = values.iter().map(|value| serde_json::to_string(value).unwrap()).collect();
    same(&json, &texts);
    let bytes: Vec<String> = values.iter().map(|value| hex(&postcard::to_stdvec(value).unwrap())).collect();
    same(&postcard, &bytes);
    for ((json, postcard), value) in lines(&json).iter().zip(lines(&postcard)).zip(values) {
        assert_eq!(&serde_json::from_str::<T>(json).unwrap(), value);
        assert_eq!(&postcard::from_bytes::<T>(&unhex(&postcard)).unwrap(), value);
    }
}

/// Unfilled holders, uneven shares, segments out of order, ids and epochs that fill their width.
fn mixed() -> Map {
    let mut segments =
        vec![segment(u64::MAX, 16, 32, &[3, 4]), segment(7, 0, 8, &[0, 1, 2]), segment(300, 8, 16, &[2])];
    segments[0].holders[1].filled = false;
    segments[1].holders[0].share = 0.25;
    segments[1].holders[1].share = -0.0;
    segments[1].holders[2].share = 0.75;
    segments[2].owner = "n\u{e9}".to_string();
    map(u64::MAX, segments)
}

fn maps() -> Vec<Map> {
    let unknown = Map { hash: "other".into(), digest: "said".into(), ..four() };
    vec![four(), mixed(), map(0, vec![]), unknown]
}

#[test]
fn maps_keep_their_form_and_their_digest() {
    forms("maps", &maps());
    let digests: Vec<String> = maps().iter().map(Map::digest_of).collect();
    same("digests.txt", &digests);
    // What is read has the same digest, in whatever order segments and holders stand.
    for (text, digest) in lines("maps.json").iter().zip(digests) {
        let mut map: Map = serde_json::from_str(text).unwrap();
        map.segments.reverse();
        map.segments.iter_mut().for_each(|segment| segment.holders.reverse());
        assert_eq!(map.digest_of(), digest);
    }
}

#[test]
fn places_of_keys_are_as_ever() {
    assert_eq!(HASH, "xxh3-64");
    let keys: [&[u8]; 4] = [b"", b"a", b"customer/17", &[0, 255, 128]];
    same("places.txt", &keys.map(|key| format!("{} {:016x}", hex(key), place(key))));
}

#[test]
fn changes_keep_their_form_and_lead_to_the_same_map() {
    let from = prove(&four());
    let mut to = four();
    to.epoch = 2;
    to.segments[0] = segment(0, 0, 8, &[0, 1, 2]);
    to.segments[0].holders[2].filled = false;
    to.segments.remove(1);
    to.segments.push(segment(9, 8, 16, &[1, 2]));
    let between = Change::between(&from, &to.clone().sealed());
    let unsealed = Change { digest: String::new(), follows: String::new(), ..between.clone() };
    assert_eq!(unsealed.clone().sealed(&from), between);
    forms("changes", &[between.clone(), unsealed]);
    let moved = check_change(&from, &between).unwrap();
    forms("moved", std::slice::from_ref(moved.to().map()));
    forms("needs", moved.needs());
}

#[test]
fn small_forms_are_kept() {
    forms("ranges", &[Range::ALL, keys(1, 2), Range { from: u64::MAX, to: None }]);
    forms("nodes", &[nodes(), vec![Node { draining: true, ..nodes()[1].clone() }], vec![]]);
    forms("terms", &[TERMS, Terms { least_holders: 0, least_zones: 300 }]);
    forms("steps", &[Step::Old, Step::Joint, Step::New]);
    forms("pieces", &[Piece { segment: 300, keys: keys(3, 32), epoch: 9 }]);
}

/// One of each.
fn faults() -> Vec<Fault> {
    let (keys, text) = (keys(1, 2), |text: &str| text.to_string());
    let (one, two) = (Place { id: 41, keys }, Place { id: 300, keys: Range::ALL });
    let spot = || Box::new(Spot { at: one, before: Some(two), after: None });
    vec![
        Fault::NoSegments,
        Fault::UnknownHash { hash: text("a"), expected: text("b") },
        Fault::Digest { said: text("a"), is: text("b") },
        Fault::DoubledNode { node: text("a") },
        Fault::Gap { keys, before: one, after: two },
        Fault::GapAtStart { keys, after: one },
        Fault::GapAtEnd { keys, before: one },
        Fault::Overlap { keys, first: one, second: two },
        Fault::EmptyRange { spot: spot() },
        Fault::InvertedRange { spot: spot() },
        Fault::DoubledId { first: one, second: two },
        Fault::UnknownHolder { node: text("a"), spot: spot() },
        Fault::DoubledHolder { node: text("a"), spot: spot() },
        Fault::DrainingHolder { node: text("a"), spot: spot() },
        Fault::WrongPartner { node: text("a"), said: text("b"), is: text("c"), spot: spot() },
        Fault::TooFewHolders { filled: 1, least: 2, spot: spot() },
        Fault::TooFewZones { zones: 1, least: 2, spot: spot() },
        Fault::OwnerNoHolder { owner: text("a"), spot: spot() },
        Fault::OwnerNotFilled { owner: text("a"), spot: spot() },
        Fault::ShareOutOfRange { node: text("a"), share: 2.5, spot: spot() },
        Fault::SharesDoNotAddUp { sum: 2.5, spot: spot() },
        Fault::EpochNotAbove { from: 41, to: 42 },
        Fault::NotThere { id: 41 },
        Fault::FollowsOther { follows: text("a"), from: text("b") },
        Fault::LastHolderLost { keys, old: one, new: two },
        Fault::NoSource { holder: text("a"), new: one, first: one, last: two },
        Fault::OtherEpoch { at: one, epoch: 1, expected: 2 },
        Fault::PartOutside { at: one, keys: Some(keys) },
        Fault::PartEmpty { at: one },
        Fault::WantedEmpty { keys },
        Fault::NotCovered { keys, before: None, after: Some(one) },
        Fault::CoveredTwice { keys, first: one, second: two },
        Fault::NotWanted { keys, at: one },
    ]
}

#[test]
fn faults_keep_their_form() {
    let kinds: HashSet<_> = faults().iter().map(discriminant).collect();
    assert_eq!(kinds.len(), Fault::COUNT);
    forms("faults", &faults());
}
