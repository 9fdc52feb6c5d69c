//! A model of a cluster's nodes and the content of its segments, with a configuration and queries for tests.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_prefilter::*;

/// Number of segments in the model.
pub const SEGMENT_COUNT: usize = 24;
/// Number of nodes in the model.
pub const NODE_COUNT: usize = 12;

/// Nodes in a ring: segment `s` is replicated on node `s / 2` and the next two. Whether a segment matches a text
/// depends only on the text, the segment and its version.
#[derive(Clone, Default)]
pub struct ClusterModel {
    /// Version of each segment; 1 if absent.
    pub versions: BTreeMap<SegmentIndex, Version>,
    /// Nodes that receive no new work.
    pub drained: BTreeSet<NodeId>,
    /// Whether the nodes are near their limits.
    pub congested: bool,
}

impl ClusterModel {
    pub fn version(&self, segment: SegmentIndex) -> Version {
        self.versions.get(&segment).copied().unwrap_or(1)
    }

    /// Whether the text matches in this version of the segment; a hash decides it.
    pub fn matches(&self, key: QueryKey, segment: SegmentIndex, version: Version) -> bool {
        let mut hash = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (segment as u64) << 32 ^ version;
        hash = (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (hash ^ hash >> 32).is_multiple_of(4)
    }
}

impl NodeView for ClusterModel {
    fn replicas(&self, segment: SegmentIndex) -> Vec<NodeId> {
        let all = (0..3).map(|offset| (segment / 2 + offset) % NODE_COUNT);
        all.filter(|node| !self.drained.contains(node)).collect()
    }

    fn outstanding(&self, node: NodeId) -> usize {
        node % 2
    }

    fn is_congested(&self) -> bool {
        self.congested
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

/// A query on these segments that may be prefiltered, with 4 s left until its deadline.
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
