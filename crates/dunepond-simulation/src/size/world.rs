//! Nodes, partners and the maps that versions bring.

use dunepond_consensus::{ConfigVersion, ExcludedNodes, ReplicatedState};
use dunepond_shard_map::{KeyRange, Replica, Segment, ShardMap};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::fleet::rules;

/// Segments that one version changes, at most, and those that are watched at each step.
const CHANGED: usize = 4;
const WATCHED: u64 = 6;

pub struct World {
    pub nodes: usize,
    pub partners: usize,
    pub segments: u64,
}

impl World {
    pub fn new(nodes: usize, partners: usize, segments: u64) -> Self {
        Self { nodes, partners, segments }
    }

    /// Those that versions change are among the first ones.
    pub fn watched(&self) -> Vec<u64> {
        (0..self.segments.min(WATCHED)).collect()
    }

    pub fn node(&self, number: usize) -> String {
        format!("s{}", number % self.nodes)
    }

    pub fn partner(&self, number: usize) -> String {
        format!("p{}", number % self.nodes % self.partners)
    }

    pub fn partner_of(&self, node: &str) -> String {
        self.partner(node[1..].parse().expect("a node of this world"))
    }

    fn holder(&self, number: usize, filled: bool, share: f64) -> Replica {
        Replica { node: self.node(number), partner: self.partner(number), filled, share }
    }

    /// Each segment has two filled holders, of different partners.
    pub fn map(&self, epoch: u64) -> ShardMap {
        let width = (1u128 << 64) / u128::from(self.segments);
        let segment = |id: u64| {
            let first = 2 * id as usize;
            let holders = vec![self.holder(first, true, 0.5), self.holder(first + 1, true, 0.5)];
            let end = if id + 1 == self.segments {
                dunepond_shard_map::KEY_SPACE_END
            } else {
                u128::from(id + 1) * width
            };
            let keys = KeyRange::between(u128::from(id) * width, end);
            Segment { id, keys, owner: self.node(first), replicas: holders }
        };
        let segments = (0..self.segments).map(segment).collect();
        ShardMap { epoch, hash: String::from("xxh3-64"), segments, digest: String::new() }.with_digest()
    }

    /// The map in force with some segments' owners changed, and `fills` of them with a holder that is to be filled.
    pub fn changed(
        &self,
        state: &ReplicatedState,
        epoch: u64,
        fills: usize,
        chance: &mut Pcg64Mcg,
    ) -> ShardMap {
        let Some(map) = state.active.as_ref().and_then(|(version, _)| version.map.as_ref()) else {
            return self.map(epoch);
        };
        let mut map = ShardMap { epoch, digest: String::new(), ..map.clone() };
        for change in 0..chance.random_range(1..=CHANGED).max(fills) {
            let most = self.segments.min(2 * WATCHED) as usize;
            let segment = &mut map.segments[chance.random_range(0..most)];
            self.change(segment, (change < fills).then(|| chance.random_range(0..self.nodes)));
        }
        map.with_digest()
    }

    fn change(&self, segment: &mut Segment, cold: Option<usize>) {
        segment.replicas.retain(|holder| holder.filled);
        let other = segment.replicas.iter().find(|holder| holder.node != segment.owner);
        segment.owner = other.expect("two filled holders").node.clone();
        if let Some(cold) = cold.filter(|cold| segment.replicas.iter().all(|h| h.node != self.node(*cold))) {
            segment.replicas.push(self.holder(cold, false, 0.0));
        }
    }

    /// The map in force without the nodes of `partner`, and their names.
    pub fn without(
        &self,
        state: &ReplicatedState,
        epoch: u64,
        partner: &str,
    ) -> Option<(ShardMap, Vec<String>)> {
        let map = state.active.as_ref()?.0.map.as_ref()?;
        let mut map = ShardMap { epoch, digest: String::new(), ..map.clone() };
        let mut gone = Vec::new();
        for segment in &mut map.segments {
            let of = |holder: &Replica| holder.partner == partner;
            if !segment.replicas.iter().any(of) {
                continue;
            }
            gone.extend(segment.replicas.iter().filter(|h| of(h)).map(|h| h.node.clone()));
            segment.replicas.retain(|holder| holder.filled);
            let stays = segment.replicas.iter().find(|holder| !of(holder))?;
            segment.owner = stays.node.clone();
        }
        gone.sort();
        gone.dedup();
        Some((map.with_digest(), gone))
    }

    /// It needs a fill, as far as the map says.
    pub fn wants(&self, version: &ConfigVersion) -> bool {
        let segments = version.map.iter().flat_map(|map| &map.segments);
        segments.flat_map(|segment| &segment.replicas).any(|holder| !holder.filled)
    }
}

pub fn version(number: u64, map: ShardMap) -> ConfigVersion {
    ConfigVersion {
        number,
        based_on: None,
        first_stage_ratio: None,
        rules: rules(1 + number as usize % 8),
        excluded_nodes: ExcludedNodes::default(),
        map: Some(map),
        proposed_by: String::from("ann"),
        reason: String::from("a play"),
        proposed_at_unix_seconds: 0.0,
        extensions: Vec::new(),
    }
}
