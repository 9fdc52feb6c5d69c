//! Hedging: when an outstanding part is late enough for a second attempt at another replica.
//!
//! Inputs: median and 95th percentile latency (seconds), the latency objective of the class, and whether the
//! rules allow hedged requests. A hedge only has to come in time; sooner is wasted work. If all attempts take
//! long, hedges would multiply the load that makes parts late.

use crate::Idempotency;
use crate::state::{Attempt, InFlightQuery, PartState, Router};

/// An attempt is overdue after this multiple of the 95th percentile (capped at a multiple of the median, as
/// overloaded replicas would inflate it), but not before this share of the latency objective.
const OVERDUE_P95_RATIO: f64 = 1.25;
const MAX_P95_MEDIAN_RATIO: f64 = 3.0;
const MIN_OVERDUE_OBJECTIVE_RATIO: f64 = 0.4;
/// The fleet is congested if the median exceeds this multiple of the baseline latency, or of this small share
/// of the latency objective if that is more.
const CONGESTED_BASELINE_RATIO: f64 = 1.5;
const TRIFLING_OBJECTIVE_RATIO: f64 = 0.05;

/// How the parts of a query are hedged at present.
pub(super) struct HedgeTerms {
    /// Seconds after which an attempt at a node in service is overdue; `f64::MAX` in a congested fleet.
    overdue_after: f64,
    /// Whether hedged requests are allowed, and the query will likely not be complete in time without
    /// them.
    pub(super) is_wanted: bool,
}

impl Router {
    pub(super) fn hedge_terms(&self, query: &InFlightQuery) -> HedgeTerms {
        let class = self.class(query);
        let terms =
            HedgeTerms { overdue_after: self.overdue_after(class.latency_objective), is_wanted: false };
        let is_allowed = class.idempotency == Idempotency::Idempotent
            && query.rules.hedging_enabled
            && self.rules.hedging_enabled;
        let on_time_weight = || query.weight_where(|part| self.is_on_time(part, &terms));
        let is_wanted = is_allowed && on_time_weight() < self.complete_weight(query);
        HedgeTerms { is_wanted, ..terms }
    }

    fn overdue_after(&self, objective: f64) -> f64 {
        let (median, p95) = (self.latency.median, self.latency.p95);
        let trifling = TRIFLING_OBJECTIVE_RATIO * objective;
        let is_congested = median > CONGESTED_BASELINE_RATIO * self.latency.baseline.max(trifling);
        if is_congested {
            return f64::MAX;
        }
        let p95 = p95.min(MAX_P95_MEDIAN_RATIO * median);
        (OVERDUE_P95_RATIO * p95).max(MIN_OVERDUE_OBJECTIVE_RATIO * objective)
    }

    /// When an attempt is overdue. Most nodes that seem silent have a long queue, so an attempt at an ejected
    /// node is hedged only after the 95th percentile.
    pub(super) fn overdue_at(&self, attempt: &Attempt, terms: &HedgeTerms) -> f64 {
        let after = if self.is_ejected(attempt.node) { self.latency.p95 } else { terms.overdue_after };
        attempt.sent_at + after
    }

    /// Whether a part is done or has an outstanding attempt that is not overdue.
    pub(super) fn is_on_time(&self, part: &PartState, terms: &HedgeTerms) -> bool {
        part.is_done() || part.outstanding().any(|attempt| self.now < self.overdue_at(attempt, terms))
    }
}
