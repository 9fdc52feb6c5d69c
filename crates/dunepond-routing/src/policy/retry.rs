//! Retry: sends a part again if all its attempts have failed, and sends a hedged attempt of a part that is late.
//!
//! Inputs: the attempts of each part, the rules of its query class, the retry budget, and the expected wait
//! at its replicas (seconds). A part that cannot be sent now is checked again later, less often the longer
//! its query has waited.

use super::StageResult;
use super::admission::SHED_START_RATIO;
use super::hedging::HedgeConditions;
use crate::Transport;
use crate::state::{InFlightQuery, PartState, Router};

/// Shortest interval in ticks after which a part that cannot be sent is checked again.
const RECHECK_TICKS: f64 = 5.0;
/// A part that cannot be sent is checked again after its query's age divided by this, but after
/// [`RECHECK_TICKS`] at the earliest.
const RECHECK_AGE_DIVISOR: f64 = 32.0;
/// Largest number of outstanding attempts of one part.
const MAX_OUTSTANDING_ATTEMPTS: usize = 2;

impl Router {
    /// Sends another attempt of each part that has failed or is late, as far as the rules allow.
    pub(super) fn retry_or_hedge(
        &mut self,
        transport: &mut dyn Transport,
        query: &mut InFlightQuery,
    ) -> StageResult {
        let hedging = self.hedge_conditions(query);
        for part in query.step_start..query.parts.len() {
            query.due_at = query.due_at.min(self.recheck_at(query, &query.parts[part], &hedging));
            if !self.may_attempt_again(query, &query.parts[part], &hedging) {
                continue;
            }
            if let Some(node) = self.choose_replica(query, part, f64::MIN) {
                self.retries.retries_sent.push_back(self.now);
                self.send_attempt(transport, query, part, node);
            }
        }
        StageResult::Wait
    }

    /// Returns the instant at which a part must be checked again even if no event occurs.
    fn recheck_at(&self, query: &InFlightQuery, part: &PartState, hedging: &HedgeConditions) -> f64 {
        if part.is_done() || part.outstanding().count() >= MAX_OUTSTANDING_ATTEMPTS {
            return f64::MAX;
        }
        let overdue_at = part.outstanding().map(|attempt| self.overdue_at(attempt, hedging));
        overdue_at.into_iter().find(|at| *at > self.now).unwrap_or_else(|| {
            let age = self.now - query.arrived_at;
            self.now + (RECHECK_TICKS * self.deployment.tick).max(age / RECHECK_AGE_DIVISOR)
        })
    }

    /// Returns whether a retry or a hedge of a part is needed and allowed.
    fn may_attempt_again(&self, query: &InFlightQuery, part: &PartState, hedging: &HedgeConditions) -> bool {
        let outstanding = part.outstanding().count();
        let needs_retry = outstanding == 0 && !part.attempts.is_empty();
        let needs_hedge = outstanding == 1 && hedging.is_needed && !self.is_on_time(part, hedging);
        (needs_retry || needs_hedge)
            && self.may_send(query, part)
            && self.record_denial(self.is_within_budget(query))
            && (needs_retry || !self.replicas_are_overloaded(query, part))
    }

    /// Returns whether even the best replica has a long wait, so that a hedge would only add load. This does not
    /// apply if the outstanding attempt is at an ejected node.
    fn replicas_are_overloaded(&self, query: &InFlightQuery, part: &PartState) -> bool {
        let objective = self.class(query).latency_objective;
        self.part_wait(part) > SHED_START_RATIO * objective
            && !part.outstanding().any(|attempt| self.is_ejected(attempt.node))
    }
}
