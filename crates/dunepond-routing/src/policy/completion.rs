//! Completion: whether the parts received make an answer, whether they still can, and how a query ends
//! without one.
//!
//! Inputs: the parts' weights (shares of the step), the shares that the query class needs (k of the (n, k)
//! fork-join), and the attempts of each part. As soon as enough parts are in, the remaining attempts are
//! cancelled.

use std::ops::Range;

use rand::RngExt;

use super::StageResult;
use super::clock::MAX_STALL_SECONDS;
use crate::state::{Attempt, InFlightQuery, PartState, PartStatus, Router};
use crate::{AttemptEnded, AttemptOutcome, Deployment, Idempotency, QueryId, Transport};

/// Tolerance for weights that were rounded.
const WEIGHT_ROUNDING: f64 = 1e-6;
/// A Retry-After is drawn from this range of the longest one, so that rejected clients do not return at the
/// same time.
const RETRY_AFTER_SPREAD: Range<f64> = 0.5..1.0;

impl Router {
    /// Answers a query that has enough parts, and rejects one that can no longer get them.
    pub(super) fn answer_or_end(
        &mut self,
        transport: &mut dyn Transport,
        query: &mut InFlightQuery,
    ) -> StageResult {
        if query.step().is_empty() {
            return StageResult::Wait;
        }
        if query.weight_where(PartState::is_done) >= self.complete_weight(query) {
            transport.answer(query.id, true);
            if query.is_second_step || !self.class(query).second_step {
                return StageResult::Done;
            }
            query.step_start = query.parts.len();
            return StageResult::Wait;
        }
        if query.weight_where(|part| self.can_still_come(query, part)) < self.minimum_weight(query) {
            return self.end_unserved(transport, query);
        }
        StageResult::Continue
    }

    fn can_still_come(&self, query: &InFlightQuery, part: &PartState) -> bool {
        part.is_done() || part.has_outstanding() || self.may_send(query, part)
    }

    /// Weight that makes the present step complete.
    pub(super) fn complete_weight(&self, query: &InFlightQuery) -> f64 {
        let share = if query.is_second_step { 1.0 } else { self.complete_share(query) };
        share - WEIGHT_ROUNDING
    }

    /// Weight below which no answer can be given, not even a partial one.
    pub(super) fn minimum_weight(&self, query: &InFlightQuery) -> f64 {
        self.complete_weight(query).min(self.minimum_share(query) - WEIGHT_ROUNDING)
    }

    /// Whether the rules of its query class allow another attempt of a part.
    pub(super) fn may_send(&self, query: &InFlightQuery, part: &PartState) -> bool {
        !part.is_done()
            && !query.body_consumed
            && part.attempts.len() < self.attempt_cap(query)
            && self.required_node_is_listed(part)
            && self.may_run_again(query, part)
    }

    fn required_node_is_listed(&self, part: &PartState) -> bool {
        part.required_node.is_none() || self.replicas(part.segment, part.required_node).next().is_some()
    }

    /// Whether a repeat is harmless: no attempt may have run yet, or running twice is safe.
    fn may_run_again(&self, query: &InFlightQuery, part: &PartState) -> bool {
        let first_that_may_have_run = part.attempts.iter().find(|attempt| !attempt.never_ran());
        match self.class(query).idempotency {
            Idempotency::Idempotent => true,
            // Guards against a second run after the window, if the attempt is delayed by a stall.
            Idempotency::Keyed { window_seconds } => first_that_may_have_run
                .is_none_or(|first| self.now - first.sent_at < window_seconds - MAX_STALL_SECONDS),
            Idempotency::NonIdempotent => first_that_may_have_run.is_none(),
        }
    }

    /// Whether the body of a query may still be needed by an attempt. An outstanding attempt counts as one
    /// that may never have run.
    pub fn needs_body(&self, id: QueryId) -> bool {
        let Some(query) = self.queries.get(&id) else { return false };
        if query.body_consumed {
            return false;
        }
        let cap = self.attempt_cap(query);
        query.step().iter().any(|part| {
            let may_turn_out_unrun = part.attempts.iter().all(|a| a.is_outstanding() || a.never_ran());
            !part.is_done() && part.attempts.len() < cap && (self.may_send(query, part) || may_turn_out_unrun)
        })
    }

    /// Records the outcome of an attempt in its query, which then runs its stages.
    pub(super) fn record_attempt_end(&mut self, transport: &mut dyn Transport, ended: &AttemptEnded) {
        let Some(query) = self.queries.get_mut(&ended.query) else { return };
        let part = &mut query.parts[ended.part];
        part.attempts[ended.attempt].outcome = Some(ended.outcome);
        if ended.outcome == AttemptOutcome::Served && !part.is_done() {
            part.status = PartStatus::Done;
            part.cancel_outstanding(transport, &self.deployment, ended.query, ended.part);
        }
        self.run_request_stages(transport, ended.query);
    }

    /// Gives the final answer to a query that will not be served, at once, since waiting would cost the
    /// client its time and have no value. It is rejected as retriable only if its class is idempotent or no
    /// attempt may have run; otherwise, and so for keyed classes too, it fails with an unknown outcome.
    pub(super) fn end_unserved(
        &mut self,
        transport: &mut dyn Transport,
        query: &InFlightQuery,
    ) -> StageResult {
        let class = self.class(query);
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        if is_idempotent || query.attempts().all(Attempt::never_ran) {
            let spread = self.rng.random_range(RETRY_AFTER_SPREAD);
            transport.reject_retriable(query.id, spread * self.max_retry_after(query));
        } else {
            transport.fail_unknown_outcome(query.id);
        }
        StageResult::Done
    }

    /// Ends a query that has its final answer or whose client has disconnected.
    pub(super) fn finish(&mut self, transport: &mut dyn Transport, query: &InFlightQuery) {
        if query.attempts().next().is_some() {
            self.record_objective(query);
        }
        for (index, part) in query.parts.iter().enumerate() {
            part.cancel_outstanding(transport, &self.deployment, query.id, index);
        }
        transport.finish(query.id);
    }
}

impl Attempt {
    /// Whether the attempt is known not to have run at the node.
    pub fn never_ran(&self) -> bool {
        matches!(
            self.outcome,
            Some(AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
        )
    }
}

impl PartState {
    fn cancel_outstanding(
        &self,
        transport: &mut dyn Transport,
        deployment: &Deployment,
        query: QueryId,
        part: usize,
    ) {
        if !deployment.may_cancel {
            return;
        }
        for (index, attempt) in self.attempts.iter().enumerate() {
            if attempt.is_outstanding() {
                transport.cancel_attempt(query, part, index);
            }
        }
    }
}
