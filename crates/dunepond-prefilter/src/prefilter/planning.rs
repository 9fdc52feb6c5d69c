//! Search plans: which segments are pruned, and which pruned ones must be searched after all.

use rand::RngExt;

use super::{OpenQuery, Prefilter, SearchingQuery};
use crate::model::{Action, Audit, PrunedSegment, QueryId, QueryKey, SearchPlan, SegmentIndex};

impl Prefilter {
    /// Returns the search plan of a query unless it still waits for answers.
    pub(super) fn plan_if_answered(&mut self, now: f64, id: QueryId) -> Option<Action> {
        let is_answered = self.open.get(&id).is_some_and(|open| open.waiting.is_empty());
        if is_answered { self.plan(now, id) } else { None }
    }

    /// Makes the search plan of a query from the evidence so far, and returns it. The query no longer waits for answers
    /// then. `None` if the query is not waiting for answers.
    pub(super) fn plan(&mut self, now: f64, id: QueryId) -> Option<Action> {
        let OpenQuery { query, opened_at, counts_since, .. } = self.open.remove(&id)?;
        let (mut search, mut pruned) = (Vec::new(), Vec::new());
        for &segment in &query.segments {
            let is_trusted = |node| self.trust.is_trusted(node);
            match self.evidence.basis(query.key, segment, counts_since, is_trusted) {
                Some(basis) => pruned.push(PrunedSegment { segment, basis }),
                None => search.push(segment),
            }
        }
        self.counters.pruned += pruned.len() as u64;
        self.audit_budget.deposit(pruned.len());
        self.schedule_audit(query.key, &pruned);
        let searching = SearchingQuery {
            query_class: query.query_class,
            key: query.key,
            opened_at,
            counts_since,
            planned_at: Some(now),
            segment_count: query.segments.len(),
            pruned: pruned.clone(),
        };
        self.searching.insert(id, searching);
        Some(Action::Search(SearchPlan { query: id, search, pruned }))
    }

    /// Schedules an audit of one random pruned segment, if the audit budget permits.
    fn schedule_audit(&mut self, key: QueryKey, pruned: &[PrunedSegment]) {
        if !pruned.is_empty() && self.audit_budget.try_take() {
            let chosen = pruned[self.rng.random_range(0..pruned.len())];
            self.audits.push_back(Audit { key, segment: chosen.segment });
        }
    }

    /// Returns the pruned segments of a query whose evidence is no longer valid, for example because their content
    /// changed or a denial was refuted. They must be searched before the query's answer can be complete. Each segment
    /// is returned only once.
    pub fn take_revoked(&mut self, id: QueryId) -> Vec<SegmentIndex> {
        let Some(searching) = self.searching.get_mut(&id) else { return Vec::new() };
        let (evidence, trust) = (&self.evidence, &self.trust);
        let (key, since) = (searching.key, searching.counts_since);
        let mut revoked = Vec::new();
        searching.pruned.retain(|pruned| {
            let counts = evidence.basis(key, pruned.segment, since, |node| trust.is_trusted(node)).is_some();
            if !counts {
                revoked.push(pruned.segment);
            }
            counts
        });
        self.counters.revoked += revoked.len() as u64;
        revoked
    }
}
