//! Rules that change while queries are in flight: each query is subject to the stricter of the rules on
//! its arrival and those in force.
//!
//! Inputs: shares of a query's weight, the retry budget, caps, and waits (seconds), as stated by the
//! deployment or its operators. No broker exceeds what the rules before and after a change allow.

use std::sync::Arc;

use crate::state::{InFlightQuery, Router};
use crate::{QuotaShares, Rules};

impl Router {
    /// Puts other rules in force. If the retry budget's window is longer than any earlier one, the
    /// records do not reach back that far, and everything counts as spent.
    pub fn set_rules(&mut self, rules: &Rules) {
        self.rules = Arc::new(rules.clone());
        let window = rules.retry_budget.as_ref().map_or(0.0, |budget| budget.window);
        if window > self.retries.window_seconds {
            self.retries.window_seconds = window;
            self.retries.charged_until = self.now;
        }
    }

    /// Sets this broker's shares of the quotas of all brokers.
    pub fn set_quota_shares(&mut self, quota_shares: QuotaShares) {
        self.quota_shares = quota_shares;
    }

    /// Share of a step's weight that makes an answer complete.
    pub(super) fn complete_share(&self, query: &InFlightQuery) -> f64 {
        let share = |rules: &Rules| share_of(&rules.complete_at, query.class);
        share(&query.rules).max(share(&self.rules))
    }

    /// Smallest share of the weight for which an answer may be given.
    pub(super) fn minimum_share(&self, query: &InFlightQuery) -> f64 {
        let share = |rules: &Rules| share_of(&rules.minimum_share, query.class);
        share(&query.rules).max(share(&self.rules))
    }

    /// Largest number of attempts of a part, which is 1 for an audit.
    pub(super) fn attempt_cap(&self, query: &InFlightQuery) -> usize {
        if query.audit {
            return 1;
        }
        query.rules.max_attempts.min(self.rules.max_attempts)
    }

    /// Longest Retry-After of a rejection, in seconds.
    pub(super) fn max_retry_after(&self, query: &InFlightQuery) -> f64 {
        query.rules.max_retry_after.min(self.rules.max_retry_after)
    }

    /// Multiple of its capacity that a node in slow start may be sent.
    pub(super) fn slow_start_multiple(&self, query: &InFlightQuery) -> f64 {
        query.rules.slow_start_multiple.min(self.rules.slow_start_multiple)
    }
}

/// A share that the rules do not state has the strictest value, 1.
fn share_of(shares: &[f64], class: usize) -> f64 {
    shares.get(class).copied().unwrap_or(1.0)
}
