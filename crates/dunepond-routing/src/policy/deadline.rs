//! Deadline: the last moment at which a query is answered, completely or partially.
//!
//! Inputs: the client's deadline and, for a class whose late answers have no value, the latency objective
//! (both instants), and the weight of the parts received. A partial answer is better than none where the
//! query class accepts one.

use super::StageResult;
use crate::Transport;
use crate::state::{InFlightQuery, Router};

/// How long before the end the last wake is that is certain to come in time.
const DECISION_MARGIN_TICKS: f64 = 7.0;

impl Router {
    /// The last moment to decide: before the client's deadline, or before the answer loses all value.
    pub(super) fn decision_deadline(&self, query: &InFlightQuery) -> f64 {
        let worthless_when_late = self.class(query).late_value_ratio <= 0.0;
        let end =
            if worthless_when_late { query.deadline_at.min(query.objective_at) } else { query.deadline_at };
        end - DECISION_MARGIN_TICKS * self.deployment.tick
    }

    /// Ends a query whose time is up.
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

    /// Whether the query class accepts partial answers and enough parts are in. Pruned parts do not count:
    /// they hold no result.
    fn may_answer_partially(&self, query: &InFlightQuery) -> bool {
        let share = query.weight_where(|part| part.is_done() && !part.is_pruned());
        let is_last_step = query.is_second_step || !self.class(query).second_step;
        let minimum = self.minimum_share(query);
        is_last_step && minimum < self.complete_share(query) && share > 0.0 && share >= minimum
    }
}
