//! Sound maps, drawn at random.

use dunepond_shard_map::{KEY_HASH, KeyRange, MapConstraints, Node, Replica, Segment, ShardMap};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

pub(super) const CONSTRAINTS: MapConstraints = MapConstraints { min_replicas: 2, min_zones: 2 };
/// Nodes that hold segments; one more drains.
pub(super) const NODE_COUNT: u64 = 60;
/// Segments of the maps in which faults are planted.
pub(super) const SEGMENT_COUNT: usize = 500;

pub(super) fn node(i: u64) -> Node {
    let (zone, partner) = (format!("z{}", i % 3), format!("p{}", i % 4));
    Node { name: format!("n{i}"), zone, partner, draining: i == NODE_COUNT }
}

/// All nodes, and one that drains.
pub(super) fn nodes() -> Vec<Node> {
    (0..=NODE_COUNT).map(node).collect()
}

pub(super) fn replica(i: u64, share: f64) -> Replica {
    let node = node(i);
    Replica { node: node.name, partner: node.partner, filled: true, share }
}

/// Three neighbours by number, so in three zones; the first owns.
pub(super) fn segment(id: u64, keys: KeyRange, first: u64) -> Segment {
    let holders = (0..3).map(|i| replica((first + i) % NODE_COUNT, [0.5, 0.25, 0.25][i as usize]));
    Segment { id, keys, owner: node(first % NODE_COUNT).name, replicas: holders.collect() }
}

pub(super) fn random_map(rng: &mut Pcg64Mcg, count: usize) -> ShardMap {
    let mut cuts: Vec<u64> = (1..count).map(|_| rng.random_range(1..u64::MAX)).collect();
    cuts.sort_unstable();
    cuts.dedup();
    let from = std::iter::once(0).chain(cuts.iter().copied());
    let to = cuts.iter().copied().map(Some).chain([None]);
    let segments = from.zip(to).zip(0..);
    let segments =
        segments.map(|((from, to), id)| segment(id, KeyRange { from, to }, rng.random_range(0..NODE_COUNT)));
    let segments = segments.collect();
    ShardMap { epoch: 1, hash: KEY_HASH.to_string(), segments, digest: String::new() }.with_digest()
}
