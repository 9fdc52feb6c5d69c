//! Reads the `phases` node: the configuration of the prefilter, which determines before a query is run which segments
//! can match it.

use dunepond_prefilter::PrefilterConfig;
use kdl::KdlNode;

use super::reader::Reader;

impl Reader<'_> {
    /// Reads the `phases` node.
    pub(super) fn prefilter(&mut self, node: &KdlNode) -> PrefilterConfig {
        let known = ["least-segments", "share", "fresh", "known", "audits"];
        let [least_segments, share, fresh, known, audits] = self.properties(node, known);
        PrefilterConfig {
            min_segments: self.count_or(least_segments, 2.0..=1e6, 8),
            time_ratio: self.number_or(share, 0.01..=0.9, 0.25),
            max_age_seconds: self.number_or(fresh, 0.0..=60.0, 0.0),
            max_entries: self.count_or(known, 1.0..=1e7, 20_000),
            audit_ratio: self.number_or(audits, 0.0..=1.0, 0.01),
        }
    }
}
