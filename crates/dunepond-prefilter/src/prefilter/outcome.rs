//! Learns from the results of searches whether denials were correct and whether prefiltering is beneficial.

use super::Prefilter;
use crate::benefit::PrefilterSample;
use crate::evidence::SentAt;
use crate::model::{QueryId, QueryKey, SegmentIndex, Version};

impl Prefilter {
    /// Records the result of searching a segment, for a query or as an audit. `started` is the time at which the search
    /// was sent, `version` the version that the segment's replica stated, and `found` tells whether the search found a
    /// match. Compares all denials in that version with the result. Returns whether the result refuted the denial of a
    /// trusted node.
    pub fn record_search(
        &mut self,
        started: f64,
        key: QueryKey,
        segment: SegmentIndex,
        version: Version,
        found: bool,
    ) -> bool {
        let denied_by: Vec<_> = self.evidence.denied_in_version(key, segment, version).collect();
        let mut refuted_trusted = false;
        for node in denied_by {
            if found {
                refuted_trusted |= self.trust.record_false_denial(node);
                self.counters.false_denials += 1;
                self.evidence.remove_node(node);
            } else {
                self.trust.record_confirmation(node);
            }
        }
        self.evidence.record_search(SentAt { sequence: 0, time: started }, key, segment, version, found);
        refuted_trusted
    }

    /// Records that a query ended. `answered` tells whether it ended with an answer: only answered queries count as
    /// samples of whether prefiltering is beneficial.
    pub fn on_query_end(&mut self, now: f64, id: QueryId, answered: bool) {
        if let Some(open) = self.open.remove(&id) {
            self.benefit(open.query.query_class).on_end();
        }
        let Some(searching) = self.searching.remove(&id) else { return };
        if searching.planned_at.is_some() {
            self.benefit(searching.query_class).on_end();
        }
        if !answered || searching.segment_count < self.config.min_segments {
            return;
        }
        let total_seconds = now - searching.opened_at;
        let benefit = self.benefit(searching.query_class);
        match searching.planned_at {
            None => benefit.record_direct(total_seconds),
            Some(planned_at) => benefit.record_prefiltered(PrefilterSample {
                pruned_ratio: searching.pruned.len() as f64 / searching.segment_count as f64,
                request_seconds: planned_at - searching.opened_at,
                total_seconds,
            }),
        }
    }
}
