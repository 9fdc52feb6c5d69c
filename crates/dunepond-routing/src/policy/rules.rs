//! Rules that change while queries are in flight: each query is subject to the stricter of the rules that were
//! in force on its arrival and the rules in force now.
//!
//! Inputs: shares of a query's weight, the retry budget, the attempt cap, and the longest Retry-After
//! (seconds), as stated by the deployment or its operators. A query stays within the limits of both versions
//! of the rules.

use std::sync::Arc;

use crate::state::{InFlightQuery, Router};
use crate::{QuotaShares, Rules};

impl Router {
    /// Replaces the rules in force. If the window of the new retry budget is longer than any earlier one, the
    /// records of sent retries do not reach back far enough, and the retry and slow start budgets count as
    /// fully spent until now.
    pub fn set_rules(&mut self, rules: &Rules) {
        self.rules = Arc::new(rules.clone());
        let window = rules.retry_budget.as_ref().map_or(0.0, |budget| budget.window);
        if window > self.retries.window_seconds {
            self.retries.window_seconds = window;
            self.retries.assumed_spent_until = self.now;
        }
    }

    /// Sets this broker's shares of the quotas of all brokers.
    pub fn set_quota_shares(&mut self, quota_shares: QuotaShares) {
        self.quota_shares = quota_shares;
    }

    /// Returns the share of the first step's weight that the served parts must reach for a complete answer to
    /// this query.
    pub(super) fn complete_share(&self, query: &InFlightQuery) -> f64 {
        let share = |rules: &Rules| share_of(&rules.complete_at, query.class);
        share(&query.rules).max(share(&self.rules))
    }

    /// Returns the share of a step's weight that the served parts must reach for a partial answer to this
    /// query.
    pub(super) fn minimum_share(&self, query: &InFlightQuery) -> f64 {
        let share = |rules: &Rules| share_of(&rules.minimum_share, query.class);
        share(&query.rules).max(share(&self.rules))
    }

    /// Returns the largest number of attempts of each part of this query. It is 1 for an audit
    /// ([`Query::audit`](crate::Query::audit)), because no client waits for it.
    pub(super) fn attempt_cap(&self, query: &InFlightQuery) -> usize {
        if query.audit {
            return 1;
        }
        query.rules.max_attempts.min(self.rules.max_attempts)
    }

    /// Returns the longest Retry-After of a rejection of this query, in seconds.
    pub(super) fn max_retry_after(&self, query: &InFlightQuery) -> f64 {
        query.rules.max_retry_after.min(self.rules.max_retry_after)
    }

    /// Returns the rate at which parts of this query may be sent to a node in slow start, as a multiple of the
    /// node's present capacity.
    pub(super) fn slow_start_multiple(&self, query: &InFlightQuery) -> f64 {
        query.rules.slow_start_multiple.min(self.rules.slow_start_multiple)
    }
}

/// Returns the entry of a query class in a list of shares by class. A missing entry counts as 1, the
/// strictest value.
fn share_of(shares: &[f64], class: usize) -> f64 {
    shares.get(class).copied().unwrap_or(1.0)
}
