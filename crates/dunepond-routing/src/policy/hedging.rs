//! Hedging: when an outstanding part is late enough for a hedged attempt at another replica.
//!
//! Inputs: median and 95th percentile latency (seconds), the latency objective of the class, and whether the
//! rules allow hedged requests. A hedge only has to be answered within the latency objective. It is not sent
//! sooner than that requires, because a hedge of a part that would soon have been answered is wasted work. If
//! all attempts are slow, no hedges are sent, because they would add to the load that makes the attempts
//! slow.

use crate::Idempotency;
use crate::state::{Attempt, InFlightQuery, PartState, Router};

/// An attempt becomes overdue, so that its part may be hedged, after this multiple of the 95th percentile
/// latency.
const OVERDUE_P95_RATIO: f64 = 1.25;
/// Cap on the 95th percentile latency from which the overdue time is computed, as a multiple of the median:
/// overloaded replicas would inflate the percentile.
const MAX_P95_MEDIAN_RATIO: f64 = 3.0;
/// An attempt becomes overdue after this ratio of the latency objective at the earliest.
const MIN_OVERDUE_OBJECTIVE_RATIO: f64 = 0.4;
/// The fleet is congested if the median latency exceeds this multiple of the baseline latency.
const CONGESTED_BASELINE_RATIO: f64 = 1.5;
/// Smallest baseline latency in the test for congestion, as a ratio of the latency objective.
const MIN_BASELINE_OBJECTIVE_RATIO: f64 = 0.05;

/// The conditions under which parts of a query are hedged now.
pub(super) struct HedgeConditions {
    /// Seconds after which an attempt at a node in service is overdue; `f64::MAX` in a congested fleet.
    overdue_after: f64,
    /// Whether hedged requests are allowed and the query would probably not be complete in time without them.
    pub(super) is_needed: bool,
}

impl Router {
    /// Returns the conditions under which parts of a query are hedged now.
    pub(super) fn hedge_conditions(&self, query: &InFlightQuery) -> HedgeConditions {
        let class = self.class(query);
        let conditions =
            HedgeConditions { overdue_after: self.overdue_after(class.latency_objective), is_needed: false };
        let is_allowed = class.idempotency == Idempotency::Idempotent
            && query.rules.hedging_enabled
            && self.rules.hedging_enabled;
        let on_time_weight = || query.weight_where(|part| self.is_on_time(part, &conditions));
        let is_needed = is_allowed && on_time_weight() < self.complete_weight(query);
        HedgeConditions { is_needed, ..conditions }
    }

    /// Returns the seconds after which an attempt at a node in service is overdue, for a latency objective in
    /// seconds; `f64::MAX` in a congested fleet.
    fn overdue_after(&self, objective: f64) -> f64 {
        let (median, p95) = (self.latency.median, self.latency.p95);
        let min_baseline = MIN_BASELINE_OBJECTIVE_RATIO * objective;
        let is_congested = median > CONGESTED_BASELINE_RATIO * self.latency.baseline.max(min_baseline);
        if is_congested {
            return f64::MAX;
        }
        let p95 = p95.min(MAX_P95_MEDIAN_RATIO * median);
        (OVERDUE_P95_RATIO * p95).max(MIN_OVERDUE_OBJECTIVE_RATIO * objective)
    }

    /// Returns the instant at which an attempt is overdue. An attempt at an ejected node is overdue after the
    /// 95th percentile latency and not at once, because most nodes that seem silent only have a long queue.
    pub(super) fn overdue_at(&self, attempt: &Attempt, conditions: &HedgeConditions) -> f64 {
        let after = if self.is_ejected(attempt.node) { self.latency.p95 } else { conditions.overdue_after };
        attempt.sent_at + after
    }

    /// Returns whether a part is done or has an outstanding attempt that is not overdue.
    pub(super) fn is_on_time(&self, part: &PartState, conditions: &HedgeConditions) -> bool {
        part.is_done() || part.outstanding().any(|attempt| self.now < self.overdue_at(attempt, conditions))
    }
}
