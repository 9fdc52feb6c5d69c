//! Small maps over a key space of 32 slots, each 2^59 keys wide.
#![allow(dead_code, reason = "each test file uses its own part")]

use dunepond_shard_map::*;

pub const SLOTS: u32 = 32;
pub const CONSTRAINTS: MapConstraints = MapConstraints { min_replicas: 2, min_zones: 2 };

pub fn key(slot: u32) -> u64 {
    u64::from(slot) << 59
}

/// From one slot up to another; `SLOTS` is the end of the space.
pub fn keys(from: u32, to: u32) -> KeyRange {
    KeyRange { from: key(from), to: (to < SLOTS).then(|| key(to)) }
}

/// `n0` to `n5`, in zones `z0` to `z2`, of partners `p0` and `p1`.
pub fn nodes() -> Vec<Node> {
    let node = |i| Node {
        name: format!("n{i}"),
        zone: format!("z{}", i % 3),
        partner: format!("p{}", i % 2),
        draining: false,
    };
    (0..6).map(node).collect()
}

pub fn replica(node: u32, share: f64) -> Replica {
    Replica { node: format!("n{node}"), partner: format!("p{}", node % 2), filled: true, share }
}

/// A segment with a replica at each node, in equal shares, owned by the first.
pub fn segment(id: u64, from: u32, to: u32, nodes: &[u32]) -> Segment {
    let share = 1.0 / nodes.len() as f64;
    Segment {
        id,
        keys: keys(from, to),
        owner: format!("n{}", nodes[0]),
        replicas: nodes.iter().map(|node| replica(*node, share)).collect(),
    }
}

pub fn map(epoch: u64, segments: Vec<Segment>) -> ShardMap {
    ShardMap { epoch, hash: "xxh3-64".to_string(), segments, digest: String::new() }.with_digest()
}

/// Four segments: 0 to 8, 8 to 16, 16 to 24, 24 to the end.
pub fn four_segments() -> ShardMap {
    let nodes = [[0, 1], [1, 2], [2, 3], [3, 4]];
    map(1, (0..4).map(|i| segment(i.into(), i * 8, i * 8 + 8, &nodes[i as usize])).collect())
}

pub fn verified(map: &ShardMap) -> VerifiedMap {
    verify(map, &nodes(), &CONSTRAINTS).unwrap_or_else(|faults| panic!("{faults:?}"))
}

/// The segments of a map, for cases that change them.
pub type Segments = Vec<Segment>;
