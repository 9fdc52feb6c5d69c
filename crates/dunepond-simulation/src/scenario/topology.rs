//! Nodes, partners and the maps that versions bring.

use dunepond_consensus::{ConfigVersion, ReplicatedState};
use dunepond_shard_map::{KEY_SPACE_END, KeyRange, Replica, Segment, ShardMap};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::fixtures;

/// Segments that one version changes, at most.
const MAX_CHANGED_SEGMENTS: usize = 4;
/// Segments that are watched at each step.
const WATCHED_SEGMENT_COUNT: u64 = 6;
/// Versions change only the first segments: this many times the number of watched ones, so that watched ones change often.
const CHANGED_PER_WATCHED: u64 = 2;

/// Nodes, their partners and segments.
pub struct Topology {
    node_count: usize,
    partner_count: usize,
    segment_count: u64,
}

/// A map without one partner's nodes.
pub(super) struct MapWithoutPartner {
    pub map: ShardMap,
    /// Names of the nodes that are left out.
    pub removed_nodes: Vec<String>,
}

impl Topology {
    /// Each node belongs to one of the partners in turn.
    pub fn new(node_count: usize, partner_count: usize, segment_count: u64) -> Self {
        Self { node_count, partner_count, segment_count }
    }

    /// Partners that own the nodes.
    pub fn partner_count(&self) -> usize {
        self.partner_count
    }

    /// Those that versions change are among the first ones.
    pub fn watched_segments(&self) -> Vec<u64> {
        (0..self.segment_count.min(WATCHED_SEGMENT_COUNT)).collect()
    }

    /// Name of a node.
    pub fn node(&self, number: usize) -> String {
        format!("s{}", number % self.node_count)
    }

    /// Name of the partner that owns the node of this number.
    pub fn partner(&self, number: usize) -> String {
        format!("p{}", number % self.node_count % self.partner_count)
    }

    /// Name of the partner that owns the node of this name.
    pub fn partner_of(&self, node: &str) -> String {
        self.partner(node[1..].parse().expect("a node of this topology"))
    }

    fn replica(&self, number: usize, filled: bool, share: f64) -> Replica {
        Replica { node: self.node(number), partner: self.partner(number), filled, share }
    }

    /// Each segment has two filled replicas, of different partners.
    pub fn map(&self, epoch: u64) -> ShardMap {
        let segments = (0..self.segment_count).map(|id| self.segment(id)).collect();
        ShardMap { epoch, hash: String::from("xxh3-64"), segments, digest: String::new() }.with_digest()
    }

    fn segment(&self, id: u64) -> Segment {
        let width = (1u128 << 64) / u128::from(self.segment_count);
        let first = 2 * id as usize;
        let replicas = vec![self.replica(first, true, 0.5), self.replica(first + 1, true, 0.5)];
        let is_last = id + 1 == self.segment_count;
        let end = if is_last { KEY_SPACE_END } else { u128::from(id + 1) * width };
        let keys = KeyRange::between(u128::from(id) * width, end);
        Segment { id, keys, owner: self.node(first), replicas }
    }

    /// The active map with other owners of some segments, `fill_count` of them with a replica that is to be filled.
    pub fn changed_map(
        &self,
        state: &ReplicatedState,
        epoch: u64,
        fill_count: usize,
        rng: &mut Pcg64Mcg,
    ) -> ShardMap {
        let Some(map) = state.active.as_ref().and_then(|(version, _)| version.map.as_ref()) else {
            return self.map(epoch);
        };
        let mut map = ShardMap { epoch, digest: String::new(), ..map.clone() };
        let change_count = rng.random_range(1..=MAX_CHANGED_SEGMENTS).max(fill_count);
        for change in 0..change_count {
            let candidates = self.segment_count.min(CHANGED_PER_WATCHED * WATCHED_SEGMENT_COUNT) as usize;
            let segment = &mut map.segments[rng.random_range(0..candidates)];
            let new_replica = (change < fill_count).then(|| rng.random_range(0..self.node_count));
            self.change_owner(segment, new_replica);
        }
        map.with_digest()
    }

    fn change_owner(&self, segment: &mut Segment, new_replica: Option<usize>) {
        segment.replicas.retain(|replica| replica.filled);
        let other = segment.replicas.iter().find(|replica| replica.node != segment.owner);
        segment.owner = other.expect("two filled replicas").node.clone();
        let Some(number) = new_replica else { return };
        let node = self.node(number);
        if segment.replicas.iter().all(|replica| replica.node != node) {
            segment.replicas.push(self.replica(number, false, 0.0));
        }
    }

    /// The active map without the nodes of `partner`; none if a segment would be without a replica.
    pub(super) fn map_without(
        &self,
        state: &ReplicatedState,
        epoch: u64,
        partner: &str,
    ) -> Option<MapWithoutPartner> {
        let active = state.active.as_ref()?.0.map.as_ref()?;
        let mut map = ShardMap { epoch, digest: String::new(), ..active.clone() };
        let mut removed_nodes = Vec::new();
        let is_removed = |replica: &Replica| replica.partner == partner;
        for segment in &mut map.segments {
            if !segment.replicas.iter().any(is_removed) {
                continue;
            }
            let removed = segment.replicas.iter().filter(|replica| is_removed(replica));
            removed_nodes.extend(removed.map(|replica| replica.node.clone()));
            segment.replicas.retain(|replica| replica.filled);
            let remaining = segment.replicas.iter().find(|replica| !is_removed(replica))?;
            segment.owner = remaining.node.clone();
        }
        removed_nodes.sort();
        removed_nodes.dedup();
        Some(MapWithoutPartner { map: map.with_digest(), removed_nodes })
    }

    /// Whether the version has replicas that are not filled, as far as its map says.
    pub fn requires_fills(&self, version: &ConfigVersion) -> bool {
        let segments = version.map.iter().flat_map(|map| &map.segments);
        segments.flat_map(|segment| &segment.replicas).any(|replica| !replica.filled)
    }
}

/// A version of a run.
pub fn config_version(number: u64, map: ShardMap) -> ConfigVersion {
    ConfigVersion { reason: String::from("a play"), ..fixtures::config_version(number, Some(map)) }
}
