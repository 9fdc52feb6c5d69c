//! Queries, their parts, and the outcomes of attempts.

use crate::NodeId;

/// A query, by a number that the host never uses twice for one router.
pub type QueryId = u64;

/// A part of a query, which is sent to one replica.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// The segment that it reads or writes. Its replicas are in the replica group of this number and the
    /// following ones.
    pub segment: usize,
    /// Weight of the part in the query's result.
    pub weight: f64,
    /// The only node that may be sent this part, if it is a non-idempotent part of a segment with an
    /// agreed owner.
    pub required_node: Option<NodeId>,
}

/// A query on arrival, with the parts of its first step.
#[derive(Clone, Debug)]
pub struct Query {
    /// Number of the query.
    pub id: QueryId,
    /// Index into [`Deployment::query_classes`](crate::Deployment::query_classes).
    pub class: usize,
    /// Index into [`Deployment::quotas`](crate::Deployment::quotas); a tenant that is not there has no quota.
    pub tenant: usize,
    /// Seconds until the client stops waiting.
    pub expires_in: f64,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// Whether the query's body is kept for retries; if not, its parts are sent on arrival or never.
    pub body_retained: bool,
    /// Whether the query's frames may take long to send;
    /// [`Router::on_frame_written`](crate::Router::on_frame_written) reports the end of each.
    pub streamed: bool,
    /// Whether nothing is sent before [`Router::on_prefilter_result`](crate::Router::on_prefilter_result)
    /// has reported which parts are pruned.
    pub awaits_prefilter: bool,
    /// Whether no client waits for the query: it is sent once, only without overload, and earns no retry
    /// budget.
    pub audit: bool,
    /// The parts of the query's first step.
    pub parts: Vec<Part>,
}

/// An attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The query.
    pub query: QueryId,
    /// The part, by its position among the query's parts.
    pub part: usize,
    /// The attempt, counted from 0 for each part.
    pub index: usize,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The node answered.
    Served,
    /// The node failed the attempt.
    Error,
    /// The node rejected the attempt without starting it.
    Rejected,
    /// No answer arrived before the client's deadline.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke while the attempt was outstanding.
    ConnectionLost,
    /// The attempt was ended by [`Transport::cancel_attempt`](crate::Transport::cancel_attempt).
    Cancelled,
    /// The attempt never left the host.
    NotSent,
}

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The query.
    pub query: QueryId,
    /// The part, by its position among the query's parts.
    pub part: usize,
    /// The attempt, counted from 0 for each part.
    pub attempt: usize,
    /// The node to which it was sent.
    pub node: NodeId,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Seconds since it was sent.
    pub elapsed: f64,
}

impl AttemptEnded {
    /// Identifies the attempt that has ended.
    pub fn id(&self) -> AttemptId {
        AttemptId { query: self.query, part: self.part, index: self.attempt }
    }
}
