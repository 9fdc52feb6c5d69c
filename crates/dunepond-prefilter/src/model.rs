//! Types that the host and the prefilter exchange.

use crate::evidence::PruningBasis;

/// Index of a node, assigned by the host.
pub type NodeId = usize;
/// Index of a segment, assigned by the host.
pub type SegmentIndex = usize;
/// Version of a segment's content, as numbered by its replicas.
pub type Version = u64;
/// Hash of a query's text and class. It stands for the text in requests and in evidence.
pub type QueryKey = u64;
/// Number of a query, assigned by the host.
pub type QueryId = u64;

/// A node's answer to whether a segment can match a query text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CanMatch {
    /// The segment may have matches.
    MayMatch,
    /// The segment has no match in the stated version.
    CannotMatch,
    /// The node cannot tell.
    Unknown,
}

/// A node's answer about one segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentAnswer {
    /// Segment that the answer is about.
    pub segment: SegmentIndex,
    /// Whether the segment can match.
    pub answer: CanMatch,
    /// Version of the segment that the answer is about.
    pub version: Version,
}

/// The operator's configuration of the prefilter.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefilterConfig {
    /// Minimum number of segments; queries of fewer segments are searched directly.
    pub min_segments: usize,
    /// Maximum ratio of the query's remaining time that may be spent waiting for answers.
    pub time_ratio: f64,
    /// Maximum age of a node's answer when a query that uses it arrives, counted from when the node was asked. At 0,
    /// each query needs answers to requests that were sent after the query arrived, so its result, if complete, is
    /// current as of its arrival. Otherwise a complete result may be out of date by up to this time.
    pub max_age_seconds: f64,
    /// Maximum number of pairs of a text and a segment for which evidence is kept.
    pub max_entries: usize,
    /// Ratio of the pruned segments that are searched all the same, to check the denials.
    pub audit_ratio: f64,
}

/// A query that may be prefiltered.
#[derive(Clone, Debug)]
pub struct PrefilterQuery {
    /// Number of the query.
    pub id: QueryId,
    /// Index of the query class, assigned by the host.
    pub query_class: usize,
    /// Identifies the query's text.
    pub key: QueryKey,
    /// Whether the query may be run twice. A query that may not is searched directly.
    pub idempotent: bool,
    /// Ratio of the query's segments that must be searched for a complete result. If it is below 1, the query is
    /// searched directly, because pruned segments do not count towards this ratio.
    pub complete_at: f64,
    /// Time left until the query's deadline.
    pub time_left_seconds: f64,
    /// Segments that the query concerns.
    pub segments: Vec<SegmentIndex>,
}

/// What the host, the program that calls the prefilter, currently knows about the nodes.
pub trait NodeView {
    /// Nodes that have a replica of the segment and may receive new work.
    fn replicas(&self, segment: SegmentIndex) -> Vec<NodeId>;
    /// Number of requests that the host has sent to a node and that are not answered yet.
    fn outstanding(&self, node: NodeId) -> usize;
    /// Whether the nodes are near their limits. If so, only necessary requests may be sent to them.
    fn is_congested(&self) -> bool;
}

/// A request to one node, which asks in which of several segments a query text can match.
#[derive(Clone, Debug, PartialEq)]
pub struct CanMatchRequest {
    /// Number of the request.
    pub id: u64,
    /// Node to ask.
    pub node: NodeId,
    /// Identifies the query text.
    pub key: QueryKey,
    /// Segments to ask about.
    pub segments: Vec<SegmentIndex>,
}

/// A segment that need not be searched, with the reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrunedSegment {
    /// Segment that is not searched.
    pub segment: SegmentIndex,
    /// Evidence that the segment has no match.
    pub basis: PruningBasis,
}

/// Tells which segments of a query to search. Each query gets one plan, when it is opened or later, unless it ends
/// before.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchPlan {
    /// Number of the query.
    pub query: QueryId,
    /// Segments to search.
    pub search: Vec<SegmentIndex>,
    /// Segments not to search, with the reason for each.
    pub pruned: Vec<PrunedSegment>,
}

/// An action that the host must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a node.
    Send(CanMatchRequest),
    /// Search the segments of a query by its plan.
    Search(SearchPlan),
}

/// A pruned segment that the host must search all the same, to check the denials on which it was pruned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Audit {
    /// Identifies the query text.
    pub key: QueryKey,
    /// Segment to search.
    pub segment: SegmentIndex,
}

/// Counters for the operator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Queries that were prefiltered.
    pub prefiltered: u64,
    /// Queries that could have been prefiltered but were searched directly.
    pub searched_directly: u64,
    /// Can-match requests sent.
    pub requests: u64,
    /// Can-match requests without a usable answer.
    pub failed_requests: u64,
    /// Total number of segments of prefiltered queries.
    pub segments: u64,
    /// Segments that were pruned.
    pub pruned: u64,
    /// Audits handed to the host.
    pub audits: u64,
    /// Denials that a search refuted by finding a match.
    pub false_denials: u64,
    /// Pruned segments that had to be searched after all, because their evidence no longer counted.
    pub revoked: u64,
}

/// Numbers of queries and requests that wait for answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Queries that wait for answers.
    pub queries: usize,
    /// Requests that were sent and not answered yet.
    pub requests: usize,
}
