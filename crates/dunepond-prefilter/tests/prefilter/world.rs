//! A model of the nodes and their content, and queries on it.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_prefilter::*;

pub const SEGS: usize = 24;
pub const NODES: usize = 12;

/// A ring: a segment is replicated on the node of its half number and the next two. Its content in a version matches a
/// text or does not, for good.
#[derive(Clone, Default)]
pub struct World {
    pub versions: BTreeMap<SegmentIndex, Version>,
    pub drained: BTreeSet<NodeId>,
    pub pressed: bool,
}

impl World {
    pub fn version(&self, segment: SegmentIndex) -> Version {
        self.versions.get(&segment).copied().unwrap_or(1)
    }

    pub fn matches(&self, key: QueryKey, segment: SegmentIndex, version: Version) -> bool {
        let mut hash = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (segment as u64) << 32 ^ version;
        hash = (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (hash ^ hash >> 32).is_multiple_of(4)
    }
}

impl NodeView for World {
    fn replicas(&self, segment: SegmentIndex) -> Vec<NodeId> {
        let all = (0..3).map(|j| (segment / 2 + j) % NODES);
        all.filter(|node| !self.drained.contains(node)).collect()
    }

    fn outstanding(&self, node: NodeId) -> usize {
        node % 2
    }

    fn is_congested(&self) -> bool {
        self.pressed
    }
}

pub fn config() -> PrefilterConfig {
    PrefilterConfig {
        min_segments: 4,
        time_ratio: 0.3,
        max_age_seconds: 0.0,
        max_entries: 500,
        audit_ratio: 0.02,
    }
}

pub fn query(id: QueryId, segments: std::ops::Range<usize>) -> PrefilterQuery {
    PrefilterQuery {
        id,
        query_class: 0,
        key: id % 7,
        idempotent: true,
        complete_at: 1.0,
        time_left_seconds: 4.0,
        segments: segments.collect(),
    }
}
