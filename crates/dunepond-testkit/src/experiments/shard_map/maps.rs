//! Valid random maps.

use dunepond_shard_map::{KEY_HASH, KeyRange, MapConstraints, Node, Replica, Segment, ShardMap};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Constraints that the maps must meet.
pub(super) const CONSTRAINTS: MapConstraints = MapConstraints { min_replicas: 2, min_zones: 2 };
/// Number of nodes that hold replicas; the node with this number is draining.
pub(super) const NODE_COUNT: u64 = 60;
/// Number of segments in the maps into which faults are injected.
pub(super) const SEGMENT_COUNT: usize = 500;

/// Returns the node with this number.
pub(super) fn node(i: u64) -> Node {
    let (zone, partner) = (format!("z{}", i % 3), format!("p{}", i % 4));
    Node { name: format!("n{i}"), zone, partner, draining: i == NODE_COUNT }
}

/// Returns all nodes, including the draining one.
pub(super) fn nodes() -> Vec<Node> {
    (0..=NODE_COUNT).map(node).collect()
}

/// Returns a filled replica on the node with this number.
pub(super) fn replica(i: u64, share: f64) -> Replica {
    let node = node(i);
    Replica { node: node.name, partner: node.partner, filled: true, share }
}

/// Returns a segment with replicas on three nodes with consecutive numbers, and thus in three zones. The first node is the
/// owner.
pub(super) fn segment(id: u64, keys: KeyRange, first: u64) -> Segment {
    let replicas = (0..3).map(|i| replica((first + i) % NODE_COUNT, [0.5, 0.25, 0.25][i as usize]));
    Segment { id, keys, owner: node(first % NODE_COUNT).name, replicas: replicas.collect() }
}

/// Returns a valid map with about `count` segments of random size; equal random boundaries are merged.
pub(super) fn random_map(rng: &mut Pcg64Mcg, count: usize) -> ShardMap {
    let mut boundaries: Vec<u64> = (1..count).map(|_| rng.random_range(1..u64::MAX)).collect();
    boundaries.sort_unstable();
    boundaries.dedup();
    let from = std::iter::once(0).chain(boundaries.iter().copied());
    let to = boundaries.iter().copied().map(Some).chain([None]);
    let segments = from.zip(to).zip(0..);
    let segments =
        segments.map(|((from, to), id)| segment(id, KeyRange { from, to }, rng.random_range(0..NODE_COUNT)));
    let segments = segments.collect();
    ShardMap { epoch: 1, hash: KEY_HASH.to_string(), segments, digest: String::new() }.with_digest()
}
