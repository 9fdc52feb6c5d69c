//! Helpers that build small maps, whose segments begin and end at the boundaries of 32 slots of 2^59 keys each.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use dunepond_shard_map::*;

pub const SLOTS: u32 = 32;
pub const CONSTRAINTS: MapConstraints = MapConstraints { min_replicas: 2, min_zones: 2 };

/// The first key of a slot.
pub fn key(slot: u32) -> u64 {
    u64::from(slot) << 59
}

/// The keys from slot `from` to just before slot `to`; `SLOTS` is the end of the key space.
pub fn keys(from: u32, to: u32) -> KeyRange {
    KeyRange { from: key(from), to: (to < SLOTS).then(|| key(to)) }
}

/// Six nodes, `n0` to `n5`, in the zones `z0` to `z2`, of the partners `p0` and `p1`.
pub fn nodes() -> Vec<Node> {
    let node = |i| Node {
        name: format!("n{i}"),
        zone: format!("z{}", i % 3),
        partner: format!("p{}", i % 2),
        draining: false,
    };
    (0..6).map(node).collect()
}

/// A filled replica on the node with the number `node`.
pub fn replica(node: u32, share: f64) -> Replica {
    Replica { node: format!("n{node}"), partner: format!("p{}", node % 2), filled: true, share }
}

/// A segment with a filled replica on each of `nodes`, with equal shares and the first node as owner.
pub fn segment(id: u64, from: u32, to: u32, nodes: &[u32]) -> Segment {
    let share = 1.0 / nodes.len() as f64;
    Segment {
        id,
        keys: keys(from, to),
        owner: format!("n{}", nodes[0]),
        replicas: nodes.iter().map(|node| replica(*node, share)).collect(),
    }
}

/// A map of these segments with a valid digest.
pub fn map(epoch: u64, segments: Vec<Segment>) -> ShardMap {
    ShardMap { epoch, hash: "xxh3-64".to_string(), segments, digest: String::new() }.with_digest()
}

/// A map of four segments with the ids 0 to 3, each eight slots wide and with two replicas.
pub fn four_segments() -> ShardMap {
    let nodes = [[0, 1], [1, 2], [2, 3], [3, 4]];
    map(1, (0..4).map(|i| segment(i.into(), i * 8, i * 8 + 8, &nodes[i as usize])).collect())
}

/// Verifies a map; panics if the map has a fault.
pub fn verified(map: &ShardMap) -> VerifiedMap {
    verify(map, &nodes(), &CONSTRAINTS).unwrap_or_else(|faults| panic!("{faults:?}"))
}

/// The segments of a map, which test cases mutate.
pub type Segments = Vec<Segment>;
