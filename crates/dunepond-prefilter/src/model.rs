//! What the host exchanges with the prefilter.

use crate::evidence::PruningBasis;

/// A node, by the host's own index.
pub type NodeId = usize;
/// A segment, by the host's own index.
pub type SegmentIndex = usize;
/// The version of a segment's content, as its replicas number it.
pub type Version = u64;
/// A hash of a query's text and class.
pub type QueryKey = u64;
/// A query, by the host's own number.
pub type QueryId = u64;

/// What a node answers about one segment.
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
    /// The segment.
    pub segment: SegmentIndex,
    /// Whether it can match.
    pub answer: CanMatch,
    /// The version that the answer is about.
    pub version: Version,
}

/// What the operator configures.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefilterConfig {
    /// Queries of fewer segments are searched directly.
    pub min_segments: usize,
    /// The part of the client's time that asking may take at most.
    pub time_ratio: f64,
    /// Answers count for queries that come up to this long after the request. At 0 each query needs answers to requests sent after it came,
    /// and a complete answer is as of then; above, it may be as old as this.
    pub max_age_seconds: f64,
    /// Pairs of a text and a segment that are remembered.
    pub max_entries: usize,
    /// Pruned segments that are searched all the same, as a part of all pruned ones.
    pub audit_ratio: f64,
}

/// A query that may be prefiltered.
#[derive(Clone, Debug)]
pub struct PrefilterQuery {
    /// Its number.
    pub id: QueryId,
    /// Its class, by the host's own index.
    pub query_class: usize,
    /// Identifies its text.
    pub key: QueryKey,
    /// It may run twice; others are searched directly.
    pub idempotent: bool,
    /// The part of its segments that makes its answer complete. Below 1 it is searched directly: of what such an answer counts, each segment
    /// must have been searched.
    pub complete_at: f64,
    /// How long its client still waits.
    pub time_left_seconds: f64,
    /// The segments it concerns.
    pub segments: Vec<SegmentIndex>,
}

/// What the host knows of the nodes at this moment.
pub trait NodeView {
    /// Replicas of a segment that new work may go to.
    fn replicas(&self, segment: SegmentIndex) -> Vec<NodeId>;
    /// The host's work in flight at a node.
    fn outstanding(&self, node: NodeId) -> usize;
    /// The nodes are near their limits: nothing may be sent that is not needed.
    fn is_congested(&self) -> bool;
}

/// A request to one node about all segments of a text that it is asked about at once.
#[derive(Clone, Debug, PartialEq)]
pub struct CanMatchRequest {
    /// Its number.
    pub id: u64,
    /// The node to ask.
    pub node: NodeId,
    /// Identifies the text.
    pub key: QueryKey,
    /// The segments to ask about.
    pub segments: Vec<SegmentIndex>,
}

/// A segment that need not be searched, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrunedSegment {
    /// The segment.
    pub segment: SegmentIndex,
    /// The evidence.
    pub basis: PruningBasis,
}

/// Which segments of a query to search. Each opened query gets one, at its opening or later.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchPlan {
    /// The query.
    pub query: QueryId,
    /// Segments to search.
    pub search: Vec<SegmentIndex>,
    /// Segments not to search, and why.
    pub pruned: Vec<PrunedSegment>,
}

/// What the host must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request.
    Send(CanMatchRequest),
    /// Search the segments.
    Search(SearchPlan),
}

/// A pruned segment that is to be searched all the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Audit {
    /// Identifies the text.
    pub key: QueryKey,
    /// The segment to search.
    pub segment: SegmentIndex,
}

/// Counters for the operator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Queries that were prefiltered.
    pub prefiltered: u64,
    /// Eligible queries that were searched directly.
    pub searched_directly: u64,
    /// Requests sent.
    pub requests: u64,
    /// Requests without a usable answer.
    pub failed_requests: u64,
    /// Segments of prefiltered queries.
    pub segments: u64,
    /// Segments pruned.
    pub pruned: u64,
    /// Audits started.
    pub audits: u64,
    /// Denials that a search refuted.
    pub false_denials: u64,
    /// Pruned segments that had to be searched after all.
    pub revoked: u64,
}

/// What waits for answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Queries being prefiltered.
    pub queries: usize,
    /// Requests without an answer.
    pub requests: usize,
}
