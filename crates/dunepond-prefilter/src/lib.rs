//! The prefilter of wide queries: ask nodes first which segments can match, then search only those.
//!
//! Most segments of a wide query cannot match. Asking first saves the nodes most of the work, provided that it costs little and that no
//! segment is pruned that might match.
//!
//! Without input and output. The host calls [`Prefilter::open`] for a query, sends the requests it is ordered to, reports what came back, and
//! learns which segments to search. Times are seconds on a steady clock; nodes, segments and query classes are small indices; a query's text
//! is identified by a hash.
//!
//! A segment is pruned on evidence (`evidence`): two replicas that deny a match in the same version, or one and the last search of our own
//! in that version. A node whose denial was refuted does not count until it has been right again for long enough (`trust`). A node that
//! does not answer is in backoff (`backoff`). Whether asking first is beneficial at all is learned for each query class (`benefit`).
#![warn(missing_docs)]

mod audit_budget;
mod backoff;
mod benefit;
mod evidence;
mod model;
mod prefilter;
mod trust;

pub use backoff::RequestFailure;
pub use evidence::PruningBasis;
pub use model::{
    Action, Audit, CanMatch, CanMatchRequest, Counters, InFlight, NodeId, NodeView, PrefilterConfig,
    PrefilterQuery, PrunedSegment, QueryId, QueryKey, SearchPlan, SegmentAnswer, SegmentIndex, Version,
};
pub use prefilter::Prefilter;
