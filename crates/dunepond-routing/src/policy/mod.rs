//! The routing decisions: one file for each kind of decision, with its constants.
//!
//! A query passes through [`REQUEST_STAGES`] (admission, deadline, completion, dispatch, retry and hedging)
//! when it arrives, whenever one of its attempts ends, and when the instant in `InFlightQuery::due_at` is
//! reached. The end of an attempt passes through [`RESPONSE_STAGES`]: first the health of its node is
//! updated, then the query. The entry points are in `router`. docs/design.md describes the design and how it
//! departs from a plain (n, k) fork-join, in which n parts are sent and any k of them are enough for an
//! answer.
//!
//! Instants are in seconds on the transport's clock. Durations are in seconds, unless their name contains
//! ticks (the clock's unit, which is the shortest time between two calls of the router) or objectives
//! (multiples of the longest latency objective).

mod abandoned_ids;
mod admission;
mod clock;
mod completion;
mod deadline;
mod dispatch;
mod endpoint_list;
mod hedging;
mod idle_reset;
mod latency;
mod memory;
mod multi_search;
mod outlier_detection;
mod placement;
mod probing;
mod retry;
mod retry_budget;
mod router;
mod rules;
mod shutdown;
mod slow_start;
mod warm_restart;

pub use self::abandoned_ids::AbandonedIds;
pub use self::clock::MAX_STALL_SECONDS;
pub use self::memory::{MemoryLimits, MemoryUses, QueryMemory, query_record_bytes};
pub use self::multi_search::admits_further_search;
pub use self::shutdown::{
    MAX_SHUTDOWN_SECONDS, SIGNAL_POLL_INTERVAL, STALL_THRESHOLD_SECONDS, ShutdownStage,
};
use crate::state::{InFlightQuery, Router};
use crate::{AttemptEnded, QueryId, Transport};

/// What happens after a request stage.
enum StageResult {
    /// The next stage runs at once.
    Continue,
    /// The query waits for an event; no further stage runs now.
    Wait,
    /// The query has its final answer and is finished.
    Done,
}

type RequestStage = fn(&mut Router, &mut dyn Transport, &mut InFlightQuery) -> StageResult;
type ResponseStage = fn(&mut Router, &mut dyn Transport, &AttemptEnded);

const REQUEST_STAGES: [RequestStage; 5] = [
    Router::admit,
    Router::enforce_deadline,
    Router::answer_or_end,
    Router::dispatch_unsent,
    Router::retry_or_hedge,
];
const RESPONSE_STAGES: [ResponseStage; 2] = [Router::update_node_health, Router::record_attempt_end];

impl Router {
    /// Runs the request stages of a query, and finishes it if one of them gave the final answer.
    fn run_request_stages(&mut self, transport: &mut dyn Transport, id: QueryId) {
        let Some(mut query) = self.queries.remove(&id) else { return };
        query.due_at = self.decision_deadline(&query);
        for stage in REQUEST_STAGES {
            match stage(self, transport, &mut query) {
                StageResult::Continue => {}
                StageResult::Wait => break,
                StageResult::Done => return self.finish(transport, &query),
            }
        }
        self.queries.insert(id, query);
    }

    fn run_response_stages(&mut self, transport: &mut dyn Transport, ended: &AttemptEnded) {
        for stage in RESPONSE_STAGES {
            stage(self, transport, ended);
        }
    }
}
