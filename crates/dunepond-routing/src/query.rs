//! Queries, their parts, and the outcomes of attempts.

use crate::NodeId;

/// Number of a query; the host never uses a number twice for the same router.
pub type QueryId = u64;

/// A part of a query: its work on one segment, which one replica of the segment serves.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// Number of the segment that the part reads or writes. The segment's replicas are the nodes of
    /// [`Deployment::replicas`](crate::Deployment::replicas) consecutive replica groups. The first of these has
    /// the segment's number, modulo the number of groups; after the last group, group 0 follows.
    pub segment: usize,
    /// Weight of the part relative to the other parts of its step (the first or second step of its query).
    pub weight: f64,
    /// The only node that the part may be sent to; `None` if any replica of the segment may serve it. Set for
    /// a non-idempotent part if the brokers have agreed on one node as the owner of the segment.
    pub required_node: Option<NodeId>,
}

/// A query on arrival, with the parts of its first step.
#[derive(Clone, Debug)]
pub struct Query {
    /// Number that identifies the query.
    pub id: QueryId,
    /// Query class, an index into [`Deployment::query_classes`](crate::Deployment::query_classes).
    pub class: usize,
    /// Tenant, an index into [`Deployment::quotas`](crate::Deployment::quotas); a tenant that is not in that
    /// list has no quota.
    pub tenant: usize,
    /// Seconds from the query's arrival until its client stops waiting.
    pub expires_in: f64,
    /// Whether the client marked the query as a retry of an earlier one.
    pub is_retry: bool,
    /// Whether the query's body is kept for retries. If not, the body is available on arrival only, and a
    /// part that is not sent then is never sent.
    pub body_retained: bool,
    /// Whether sending the query's frames may take long;
    /// [`Router::on_frame_written`](crate::Router::on_frame_written) then reports when each frame has been sent
    /// completely.
    pub streamed: bool,
    /// Whether no part is sent before [`Router::on_prefilter_result`](crate::Router::on_prefilter_result) has
    /// reported which parts are pruned.
    pub awaits_prefilter: bool,
    /// Whether the query is an audit, for which no client waits: each part has at most one attempt, and the
    /// query is rejected at any overload and adds nothing to the retry budget.
    pub audit: bool,
    /// The parts of the query's first step.
    pub parts: Vec<Part>,
}

/// Identifies an attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The query.
    pub query: QueryId,
    /// The part, by its position among the parts of all steps of the query.
    pub part: usize,
    /// Number of the attempt, counted from 0 for each part.
    pub index: usize,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The node served the attempt and answered.
    Served,
    /// The node answered with an error.
    Error,
    /// The node rejected the attempt as full, without starting it.
    Rejected,
    /// No answer arrived before the client's deadline.
    TimedOut,
    /// No connection to the node could be opened.
    ConnectFailed,
    /// The connection broke while the attempt was outstanding.
    ConnectionLost,
    /// The attempt was ended by [`Transport::cancel_attempt`](crate::Transport::cancel_attempt).
    Cancelled,
    /// The attempt was never sent by the host.
    NotSent,
}

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The query.
    pub query: QueryId,
    /// The part, by its position among the parts of all steps of the query.
    pub part: usize,
    /// Number of the attempt, counted from 0 for each part.
    pub attempt: usize,
    /// The node to which the attempt was sent.
    pub node: NodeId,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Seconds from sending the attempt to its end.
    pub elapsed: f64,
}

impl AttemptEnded {
    /// Returns the id of the attempt that has ended.
    pub fn id(&self) -> AttemptId {
        AttemptId { query: self.query, part: self.part, index: self.attempt }
    }
}
