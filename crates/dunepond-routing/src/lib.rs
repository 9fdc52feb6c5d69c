//! The routing decisions of a dunepond broker: admission, placement, retries and hedging, outlier detection,
//! slow start and shutdown. The crate opens no socket, reads no clock and starts no thread, so that the same
//! decisions run on real sockets and in the simulator.
//!
//! A host creates one [`Router`] for each broker and calls its methods as events occur; within each call the
//! router gives its orders through [`Transport`]. The host first calls [`Router::update_endpoints`] with the
//! endpoint list, then [`Router::on_query`] for each query with its parts, [`Router::on_second_step`] for the
//! parts of a query's second step, [`Router::on_attempt_ended`] once for each attempt,
//! [`Router::on_probe_result`] for each probe, [`Router::on_wake`] at each instant requested by
//! [`Transport::schedule_wake`], and [`Router::on_client_disconnect`] when a client disconnects.
//!
//! Instants are seconds on the host's own clock, durations are seconds; node ids are small indices that the
//! host assigns. All decisions are in `policy`, one file for each kind of decision; `state` holds the data that
//! they depend on. A router is deterministic: the same calls lead to the same orders.

#![warn(missing_docs)]

mod deployment;
mod endpoint;
mod learned;
mod policy;
mod query;
mod state;
mod transport;

pub use deployment::{
    Deployment, Idempotency, QueryClass, QuotaDemand, QuotaShares, RetryBudget, Rules, SlowStart,
};
pub use endpoint::{Endpoint, EndpointState, NodeId};
pub use learned::{
    ArrivalRecord, IdleUseRecord, LatencyRecord, LearnedNode, LearnedSample, LearnedState, SlowStartRecord,
    SpentBudgets,
};
pub use policy::{
    AbandonedIds, MAX_SHUTDOWN_SECONDS, MAX_STALL_SECONDS, MemoryLimits, MemoryUses, QueryMemory,
    SIGNAL_POLL_INTERVAL, STALL_THRESHOLD_SECONDS, ShutdownStage, admits_further_search, query_record_bytes,
};
pub use query::{AttemptEnded, AttemptId, AttemptOutcome, Part, Query, QueryId};
pub use state::{Router, Shutdown};
pub use transport::Transport;
