//! Queries, their parts, and the ends of attempts.

use crate::NodeId;

/// A query, by a number that the host never uses twice for one router.
pub type QueryId = u64;

/// A part of a query: what is sent to one replica.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// The segment that it reads or writes. Its replicas are in the replica group of this number and the
    /// following ones.
    pub segment: usize,
    /// Its share of the query's result.
    pub weight: f64,
    /// The only node that may have this part: a non-idempotent part of a segment whose owner is agreed.
    pub required_node: Option<NodeId>,
}

/// A query as it comes in, with the parts of its first step.
#[derive(Clone, Debug)]
pub struct Query {
    /// Its number.
    pub id: QueryId,
    /// Index into [`Deployment::query_classes`](crate::Deployment::query_classes).
    pub class: usize,
    /// Index into [`Deployment::quotas`](crate::Deployment::quotas); a tenant that is not there has no quota.
    pub tenant: usize,
    /// Seconds until its client gives up.
    pub expires_in: f64,
    /// Its client marked it as a retry.
    pub is_retry: bool,
    /// Its body is kept for retries; if not, its parts are sent on arrival or never.
    pub body_retained: bool,
    /// Its frames may take long to send; [`Router::on_frame_written`](crate::Router::on_frame_written)
    /// reports the end of each.
    pub streamed: bool,
    /// Nothing is sent before [`Router::on_prefilter_result`](crate::Router::on_prefilter_result) has told
    /// which parts are pruned.
    pub awaits_prefilter: bool,
    /// No client waits for it: it is sent once, only without overload, and earns no retry budget.
    pub audit: bool,
    /// The parts of its first step.
    pub parts: Vec<Part>,
}

/// An attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The query.
    pub query: QueryId,
    /// The part, by its place among the query's parts.
    pub part: usize,
    /// The attempt, counted from 0 for each part.
    pub index: usize,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// Answered.
    Served,
    /// The node failed it.
    Error,
    /// The node rejected it unseen.
    Rejected,
    /// No answer came by the client's time.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke while it was out.
    ConnectionLost,
    /// Ended by [`Transport::cancel_attempt`](crate::Transport::cancel_attempt).
    Cancelled,
    /// Never left the host.
    NotSent,
}

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The query.
    pub query: QueryId,
    /// The part, by its place among the query's parts.
    pub part: usize,
    /// The attempt, counted from 0 for each part.
    pub attempt: usize,
    /// The node that it went to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Seconds since it was sent.
    pub elapsed: f64,
}

impl AttemptEnded {
    /// The attempt that has ended.
    pub fn id(&self) -> AttemptId {
        AttemptId { query: self.query, part: self.part, index: self.attempt }
    }
}
