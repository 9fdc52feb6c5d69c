//! Deadline: when a query must be answered at the latest, completely or partially.
//!
//! Inputs: the client's deadline and, for a class whose late answers have no value, the latency objective
//! (both instants), and the weight of the parts received. If the query class accepts partial answers, a
//! partial answer is given rather than none.

use super::StageResult;
use crate::Transport;
use crate::state::{InFlightQuery, Router};

/// Time in ticks before the client's deadline (or before the latency objective, if late answers have no
/// value) at which an unanswered query is ended. The margin is needed because the next call of
/// [`Router::on_wake`] might come after that deadline.
const DECISION_MARGIN_TICKS: f64 = 7.0;

impl Router {
    /// Returns the decision deadline of a query, at which it is answered or ended at the latest: shortly before
    /// the client's deadline, or before the latency objective if late answers have no value.
    pub(super) fn decision_deadline(&self, query: &InFlightQuery) -> f64 {
        let has_no_late_value = self.class(query).late_value_ratio <= 0.0;
        let end =
            if has_no_late_value { query.deadline_at.min(query.objective_at) } else { query.deadline_at };
        end - DECISION_MARGIN_TICKS * self.deployment.tick
    }

    /// Ends a query that has reached its decision deadline, which is shortly before the client's deadline (see
    /// [`Router::decision_deadline`]), with a partial answer if possible.
    pub(super) fn enforce_deadline(
        &mut self,
        transport: &mut dyn Transport,
        query: &mut InFlightQuery,
    ) -> StageResult {
        if self.now < self.decision_deadline(query) {
            return StageResult::Continue;
        }
        if self.may_answer_partially(query) {
            transport.answer(query.id, false);
            return StageResult::Done;
        }
        self.end_unserved(transport, query)
    }

    /// Returns whether the query class accepts partial answers and enough parts have been served. Pruned parts
    /// do not count, because they contain no result.
    pub(super) fn may_answer_partially(&self, query: &InFlightQuery) -> bool {
        let share = query.weight_where(|part| part.is_done() && !part.is_pruned());
        let is_last_step = query.is_second_step || !self.class(query).second_step;
        let minimum = self.minimum_share(query);
        is_last_step && minimum < self.complete_share(query) && share > 0.0 && share >= minimum
    }
}
