//! Completion: whether the parts received are enough for an answer, whether enough of them can still arrive,
//! and how a query ends without an answer.
//!
//! Inputs: the parts' weights (shares of the step), the shares that the query class needs (the k of an (n, k)
//! fork-join, in which k of n parts are enough for an answer), and the attempts of each part. As soon as
//! enough parts have been served, the remaining attempts are cancelled. A query that can get no more parts is
//! answered partially if its class accepts that.

use std::ops::Range;

use rand::RngExt;

use super::StageResult;
use super::clock::MAX_STALL_SECONDS;
use crate::state::{Attempt, InFlightQuery, PartState, PartStatus, Router};
use crate::{AttemptEnded, AttemptOutcome, Deployment, Idempotency, QueryId, Transport};

/// Tolerance when a sum of part weights, which are rounded, is compared with a required share.
const WEIGHT_ROUNDING: f64 = 1e-6;
/// Range from which the Retry-After of a rejection is drawn, as ratios of the longest one, so that rejected
/// clients do not return at the same time.
const RETRY_AFTER_SPREAD: Range<f64> = 0.5..1.0;

impl Router {
    /// Answers a query that has enough parts, and ends a query that can no longer get enough.
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
        if query.weight_where(|part| self.can_still_be_done(query, part)) < self.minimum_weight(query) {
            return self.end_unserved(transport, query);
        }
        if self.may_answer_partially(query) && !self.can_get_more_parts(query) {
            transport.answer(query.id, false);
            return StageResult::Done;
        }
        StageResult::Continue
    }

    /// Returns whether a part that is not done can still be served.
    fn can_get_more_parts(&self, query: &InFlightQuery) -> bool {
        query.step().iter().any(|part| !part.is_done() && self.can_still_be_done(query, part))
    }

    /// Returns whether a part has been served or can still be served.
    fn can_still_be_done(&self, query: &InFlightQuery, part: &PartState) -> bool {
        part.is_done() || part.has_outstanding() || self.may_send(query, part)
    }

    /// Returns the total weight of done parts at which the present step of a query is complete.
    pub(super) fn complete_weight(&self, query: &InFlightQuery) -> f64 {
        let share = if query.is_second_step { 1.0 } else { self.complete_share(query) };
        share - WEIGHT_ROUNDING
    }

    /// Returns the total weight of done parts below which a query gets no answer, not even a partial one.
    pub(super) fn minimum_weight(&self, query: &InFlightQuery) -> f64 {
        self.complete_weight(query).min(self.minimum_share(query) - WEIGHT_ROUNDING)
    }

    /// Returns whether another attempt of a part may be sent: the part is not done, its body is available, its
    /// attempt cap is not reached, its required node is active, and another attempt is safe.
    pub(super) fn may_send(&self, query: &InFlightQuery, part: &PartState) -> bool {
        !part.is_done()
            && !query.body_unavailable
            && part.attempts.len() < self.attempt_cap(query)
            && self.required_node_is_available(part)
            && self.may_run_again(query, part)
    }

    /// Returns whether the part's required node, if it has one, is an active replica of its segment.
    fn required_node_is_available(&self, part: &PartState) -> bool {
        part.required_node.is_none() || self.replicas(part.segment, part.required_node).next().is_some()
    }

    /// Returns whether another attempt is safe: either no attempt can have run yet, or the part may run twice.
    /// A keyed part ([`Idempotency::Keyed`]) may run twice within its idempotency window only.
    fn may_run_again(&self, query: &InFlightQuery, part: &PartState) -> bool {
        let first_possible_run = part.attempts.iter().find(|attempt| !attempt.never_ran());
        match self.class(query).idempotency {
            Idempotency::Idempotent => true,
            // The margin keeps an attempt that is delayed by a stall of this process from running after the
            // idempotency window.
            Idempotency::Keyed { window_seconds } => first_possible_run
                .is_none_or(|first| self.now - first.sent_at < window_seconds - MAX_STALL_SECONDS),
            Idempotency::NonIdempotent => first_possible_run.is_none(),
        }
    }

    /// Returns whether another attempt may still need the query's body. An outstanding attempt may turn out
    /// not to have run, and its part can then be sent again even if it must not run twice.
    pub fn needs_body(&self, id: QueryId) -> bool {
        let Some(query) = self.queries.get(&id) else { return false };
        if query.body_unavailable {
            return false;
        }
        let cap = self.attempt_cap(query);
        query.step().iter().any(|part| {
            let may_not_have_run = part.attempts.iter().all(|a| a.is_outstanding() || a.never_ran());
            !part.is_done() && part.attempts.len() < cap && (self.may_send(query, part) || may_not_have_run)
        })
    }

    /// Records the outcome of an attempt in its query and then runs the query's request stages.
    pub(super) fn record_attempt_end(&mut self, transport: &mut dyn Transport, ended: &AttemptEnded) {
        let Some(query) = self.queries.get_mut(&ended.query) else { return };
        let part = &mut query.parts[ended.part];
        part.attempts[ended.attempt].outcome = Some(ended.outcome);
        if ended.outcome == AttemptOutcome::Served && !part.is_done() {
            part.status = PartStatus::Served;
            part.cancel_outstanding(transport, &self.deployment, ended.query, ended.part);
        }
        self.run_request_stages(transport, ended.query);
    }

    /// Ends a query that will not be served. This happens at once, because waiting would only cost the client
    /// time. The query is rejected as retriable if its class is idempotent or no attempt can have run;
    /// otherwise it fails with an unknown outcome. A keyed class ([`Idempotency::Keyed`]) counts as
    /// non-idempotent here, because a repeat is safe only within its idempotency window.
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

    /// Finishes a query that has its final answer or whose client has disconnected: cancels its outstanding
    /// attempts.
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
    /// Returns whether the attempt is known not to have run at the node.
    pub fn never_ran(&self) -> bool {
        matches!(
            self.outcome,
            Some(AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
        )
    }
}

impl PartState {
    /// Cancels the part's outstanding attempts if the deployment allows it.
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
