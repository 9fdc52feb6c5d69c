//! Retry budget: how many retries and hedged requests may be sent in any window of time.
//!
//! Inputs: the window (seconds), the number of retries that are always allowed, the ratio of retries to
//! arrived queries and parts, and the instants of sent retries and of arrivals. The window is one tick longer
//! for retries and one tick shorter for arrivals, so that the budget also holds when measured by another
//! clock.

use std::sync::Arc;

use crate::state::{InFlightQuery, Router};
use crate::{QuotaDemand, RetryBudget, Rules};

impl Router {
    /// Counts queries and parts on their arrival, and drops the records that are older than the longest window
    /// that a retry budget has had so far. Called before [`Router::admit`], so a query that is rejected on
    /// arrival counts as well.
    pub(super) fn record_arrival(&mut self, queries_and_parts: f64) {
        let since = self.now - self.retries.window_seconds - self.deployment.tick;
        let sent = &mut self.retries.retries_sent;
        sent.drain(..sent.partition_point(|at| *at < since));
        self.retries.add_arrived(self.now, queries_and_parts);
        let arrived = &mut self.retries.arrived;
        arrived.drain(..arrived.partition_point(|work| work.at < since));
    }

    /// Returns whether another attempt is permitted both by the retry budget that was in force at the query's
    /// arrival and by the one in force now.
    pub(super) fn is_within_budget(&self, query: &InFlightQuery) -> bool {
        let is_same = Arc::ptr_eq(&query.rules, &self.rules);
        self.permits(&self.rules) && (is_same || self.permits(&query.rules))
    }

    /// Returns whether the retry budget of these rules permits another attempt.
    fn permits(&self, rules: &Rules) -> bool {
        let Some(budget) = &rules.retry_budget else { return true };
        let long_window_start = self.now - budget.window - self.deployment.tick;
        let sent = &self.retries.retries_sent;
        let sent_count = sent.len() - sent.partition_point(|at| *at < long_window_start);
        let allowed = self.min_retries(budget) + budget.ratio * self.arrived_count(budget);
        self.retries.assumed_spent_until < long_window_start && sent_count as f64 + 1.0 <= allowed
    }

    /// Returns the number of retries that this broker is allowed in a window regardless of the load.
    fn min_retries(&self, budget: &RetryBudget) -> f64 {
        match self.quota_shares.retries {
            Some(share) => share * budget.min_retries * self.deployment.broker_count,
            None => budget.min_retries,
        }
    }

    /// Returns the number of queries and parts that arrived within a retry budget's window.
    fn arrived_count(&self, budget: &RetryBudget) -> f64 {
        let short_window_start = self.now - budget.window + self.deployment.tick;
        let arrived = &self.retries.arrived;
        let first = arrived.partition_point(|work| work.at < short_window_start);
        match (arrived.get(first), arrived.back()) {
            (Some(first), Some(last)) => last.count + last.count_before - first.count_before,
            _ => 0.0,
        }
    }

    /// Counts a denial by the retry budget if the attempt is not permitted, and returns `is_permitted`.
    pub(super) fn record_denial(&self, is_permitted: bool) -> bool {
        let denials = &self.retries.denials;
        denials.set(denials.get() + f64::from(!is_permitted));
        is_permitted
    }

    /// Returns this broker's use of the quotas that apply to all brokers together: the retries sent in the
    /// last `seconds`, the parts per second that a warm node completes for this broker, and the retries that
    /// the retry budget has denied since the last call.
    pub fn quota_demand(&self, seconds: f64) -> QuotaDemand {
        let since = self.now - seconds;
        let sent = self.retries.retries_sent.iter().filter(|at| **at > since).count();
        QuotaDemand {
            slow_start: self.completion_rate(),
            retries: sent as f64,
            retries_denied: self.retries.denials.take(),
        }
    }
}
