//! The nodes and partners of a scenario, and the shard maps of its versions.

use dunepond_consensus::{ConfigVersion, ReplicatedState};
use dunepond_shard_map::{KEY_SPACE_END, KeyRange, Replica, Segment, ShardMap};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::fixtures;

/// Maximum number of segments that one new configuration version changes in the shard map.
const MAX_CHANGED_SEGMENTS: usize = 4;
/// Maximum number of watched segments: those that are checked for conflicting owners at each step.
const WATCHED_SEGMENT_COUNT: u64 = 6;
/// Versions change only the first segments: this many times the number of watched ones. These few include the watched
/// segments, so those change often.
const CHANGED_PER_WATCHED: u64 = 2;

/// The nodes, the partners that own them, and the segments of a scenario. Nodes and partners are identified by number.
pub struct Topology {
    node_count: usize,
    partner_count: usize,
    segment_count: u64,
}

/// A shard map in which no node of one partner owns a segment.
pub(super) struct MapWithoutPartner {
    pub map: ShardMap,
    /// Names of the partner's nodes that had replicas in the active map.
    pub removed_nodes: Vec<String>,
}

impl Topology {
    /// Creates a topology. The nodes are assigned to the partners in turn, by number.
    pub fn new(node_count: usize, partner_count: usize, segment_count: u64) -> Self {
        Self { node_count, partner_count, segment_count }
    }

    /// Number of partners that own the nodes.
    pub fn partner_count(&self) -> usize {
        self.partner_count
    }

    /// The first segments, which are watched for conflicting owners at each step. Versions change these segments often.
    pub fn watched_segments(&self) -> Vec<u64> {
        (0..self.segment_count.min(WATCHED_SEGMENT_COUNT)).collect()
    }

    /// Name of the node of this number. A number that is too high wraps around to the first nodes.
    pub fn node(&self, number: usize) -> String {
        format!("s{}", number % self.node_count)
    }

    /// Name of the partner (an organisation that owns nodes) that owns the node of this number.
    pub fn partner(&self, number: usize) -> String {
        format!("p{}", number % self.node_count % self.partner_count)
    }

    /// Name of the partner (an organisation that owns nodes) that owns the node of this name.
    pub fn partner_of(&self, node: &str) -> String {
        self.partner(node[1..].parse().expect("a node of this topology"))
    }

    /// A replica, on the node of this number, that serves `share` of the reads of its segment.
    fn replica(&self, number: usize, filled: bool, share: f64) -> Replica {
        Replica { node: self.node(number), partner: self.partner(number), filled, share }
    }

    /// A map of all segments, each with two filled replicas on nodes of different partners.
    pub fn map(&self, epoch: u64) -> ShardMap {
        let segments = (0..self.segment_count).map(|id| self.segment(id)).collect();
        ShardMap { epoch, hash: String::from("xxh3-64"), segments, digest: String::new() }.with_digest()
    }

    /// The segment of this id in [`Self::map`].
    fn segment(&self, id: u64) -> Segment {
        let width = (1u128 << 64) / u128::from(self.segment_count);
        let first = 2 * id as usize;
        let replicas = vec![self.replica(first, true, 0.5), self.replica(first + 1, true, 0.5)];
        let is_last = id + 1 == self.segment_count;
        let end = if is_last { KEY_SPACE_END } else { u128::from(id + 1) * width };
        let keys = KeyRange::between(u128::from(id) * width, end);
        Segment { id, keys, owner: self.node(first), replicas }
    }

    /// A copy of the active map in which some random segments have another owner, and up to `fill_count` of these have
    /// a new replica that has to be filled. Without an active map, this is [`Self::map`].
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

    /// Makes another filled replica the owner of a segment, drops unfilled replicas, and adds an unfilled one on the
    /// node `new_replica`.
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

    /// A copy of the active map in which each segment that has replicas on nodes of `partner` is owned by a node of
    /// another partner, with the names of the partner's nodes. Unfilled replicas of these segments are dropped; the
    /// partner's filled replicas stay in the map. `None` if such a segment has no filled replica of another partner.
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

    /// Whether the version's map has replicas that are not filled.
    pub fn requires_fills(&self, version: &ConfigVersion) -> bool {
        let segments = version.map.iter().flat_map(|map| &map.segments);
        segments.flat_map(|segment| &segment.replicas).any(|replica| !replica.filled)
    }
}

/// A configuration version of a scenario's run, with this map.
pub fn config_version(number: u64, map: ShardMap) -> ConfigVersion {
    ConfigVersion { reason: String::from("a play"), ..fixtures::config_version(number, Some(map)) }
}
