//! Kinds of faults that are injected into maps, with the faults that verification must detect for each.

use dunepond_shard_map::{KEY_HASH, KeyRange, MapFault, Segment, SegmentContext, SegmentRef, ShardMap};

use super::maps::{NODE_COUNT, node, replica, segment};

/// Returns the context of segment `i`: the segment and its neighbours.
fn context(segments: &[Segment], i: usize) -> Box<SegmentContext> {
    let reference = |i: usize| segments.get(i).map(SegmentRef::from);
    let before = i.checked_sub(1).and_then(reference);
    Box::new(SegmentContext { segment: SegmentRef::from(&segments[i]), before, after: reference(i + 1) })
}

/// Injects a fault at the segment with this index, which is neither the first nor the last, and returns the faults that must be
/// detected.
pub(super) type InjectSegmentFault = fn(&mut Vec<Segment>, usize) -> Vec<MapFault>;

/// Injects a fault into the map and returns the faults that must be detected.
pub(super) type InjectMapFault = fn(&mut ShardMap) -> Vec<MapFault>;

/// Kinds of faults at a single segment, by name.
pub(super) const SEGMENT_FAULTS: [(&str, InjectSegmentFault); 16] = [
    ("gap", |s, i| {
        let from = s[i].keys.from;
        s[i].keys.from += 1;
        let keys = KeyRange { from, to: Some(from + 1) };
        vec![MapFault::Gap { keys, before: (&s[i - 1]).into(), after: (&s[i]).into() }]
    }),
    ("overlap", |s, i| {
        let from = s[i].keys.from - 1;
        s[i].keys.from = from;
        let keys = KeyRange { from, to: Some(from + 1) };
        vec![MapFault::Overlap { keys, first: (&s[i - 1]).into(), second: (&s[i]).into() }]
    }),
    ("empty range", |s, i| {
        let from = s[i].keys.from;
        s.insert(i, segment(u64::MAX - i as u64, KeyRange { from, to: Some(from) }, 0));
        vec![MapFault::EmptyRange { context: context(s, i) }]
    }),
    ("inverted range", |s, i| {
        let from = s[i].keys.from;
        s.insert(i, segment(u64::MAX - i as u64, KeyRange { from, to: Some(from - 1) }, 0));
        vec![MapFault::InvertedRange { context: context(s, i) }]
    }),
    ("doubled id", |s, i| {
        s[i].id = s[i - 1].id;
        vec![MapFault::DuplicateId { first: (&s[i - 1]).into(), second: (&s[i]).into() }]
    }),
    ("unknown holder", |s, i| {
        s[i].replicas[1].node = "x".to_string();
        vec![MapFault::UnknownReplica { node: "x".to_string(), context: context(s, i) }]
    }),
    ("doubled holder", |s, i| {
        let mut duplicate = s[i].replicas[0].clone();
        duplicate.share = 0.0;
        s[i].replicas.push(duplicate.clone());
        vec![MapFault::DuplicateReplica { node: duplicate.node, context: context(s, i) }]
    }),
    ("draining holder", |s, i| {
        s[i].replicas.push(replica(NODE_COUNT, 0.0));
        vec![MapFault::DrainingReplica { node: node(NODE_COUNT).name, context: context(s, i) }]
    }),
    ("partner", |s, i| {
        let actual = std::mem::replace(&mut s[i].replicas[2].partner, "x".to_string());
        let (node, stated) = (s[i].replicas[2].node.clone(), "x".to_string());
        vec![MapFault::WrongPartner { node, stated, actual, context: context(s, i) }]
    }),
    ("too few holders", |s, i| {
        s[i].replicas[1..].iter_mut().for_each(|replica| replica.filled = false);
        let too_few_replicas = MapFault::TooFewReplicas { filled: 1, min: 2, context: context(s, i) };
        vec![too_few_replicas, MapFault::TooFewZones { zones: 1, min: 2, context: context(s, i) }]
    }),
    ("too few zones", |s, i| {
        s[i].replicas = vec![replica(3, 0.5), replica(6, 0.5)];
        s[i].owner = node(3).name;
        vec![MapFault::TooFewZones { zones: 1, min: 2, context: context(s, i) }]
    }),
    ("owner no holder", |s, i| {
        s[i].owner = "x".to_string();
        vec![MapFault::OwnerNotReplica { owner: "x".to_string(), context: context(s, i) }]
    }),
    ("owner not filled", |s, i| {
        s[i].replicas[0].filled = false;
        vec![MapFault::OwnerNotFilled { owner: s[i].owner.clone(), context: context(s, i) }]
    }),
    ("share", |s, i| {
        s[i].replicas[0].share = f64::INFINITY;
        let node = s[i].replicas[0].node.clone();
        vec![MapFault::ShareOutOfRange { node, share: f64::INFINITY, context: context(s, i) }]
    }),
    ("shares", |s, i| {
        s[i].replicas[0].share = 0.25;
        vec![MapFault::ShareSumNotOne { sum: 0.75, context: context(s, i) }]
    }),
    ("left out", |s, i| {
        let keys = s.remove(i).keys;
        vec![MapFault::Gap { keys, before: (&s[i - 1]).into(), after: (&s[i]).into() }]
    }),
];

/// Kinds of faults of the whole map and at both ends of the key space, by name.
pub(super) const MAP_FAULTS: [(&str, InjectMapFault); 4] = [
    ("start", |map| {
        map.segments[0].keys.from = 1;
        let keys = KeyRange { from: 0, to: Some(1) };
        map.digest = map.compute_digest();
        vec![MapFault::GapAtStart { keys, after: (&map.segments[0]).into() }]
    }),
    ("end", |map| {
        let last = map.segments.len() - 1;
        map.segments[last].keys.to = Some(u64::MAX);
        let keys = KeyRange { from: u64::MAX, to: None };
        map.digest = map.compute_digest();
        vec![MapFault::GapAtEnd { keys, before: (&map.segments[last]).into() }]
    }),
    ("digest", |map| {
        let actual = std::mem::replace(&mut map.digest, "x".to_string());
        vec![MapFault::DigestMismatch { stated: "x".to_string(), actual }]
    }),
    ("hash", |map| {
        map.hash = "x".to_string();
        map.digest = map.compute_digest();
        vec![MapFault::UnknownHash { hash: "x".to_string(), expected: KEY_HASH.to_string() }]
    }),
];
