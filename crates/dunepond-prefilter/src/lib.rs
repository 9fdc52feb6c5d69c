//! The prefilter for queries over many segments: it first asks nodes which segments can match, and then has only those
//! searched.
//!
//! Most segments of such a query cannot match. Asking first saves the nodes most of the work, provided that asking is
//! cheap. No segment may be pruned that might match.
//!
//! The crate performs no I/O. The host, which is the program that calls the prefilter, calls [`Prefilter::open`] for a
//! query, sends the requests that [`Prefilter::flush`] returns, reports their results, and receives a [`SearchPlan`].
//! Times are in seconds on a monotonic clock; nodes, segments and query classes are small indices; a query's text is
//! identified by a hash.
//!
//! A segment is pruned on evidence (`evidence`): two replicas deny a match in the same version, or one replica does and
//! the last search by this process found nothing in that version. If a search refutes a node's denial, the node's
//! denials are not used until enough of them have been confirmed (`trust`). A node that does not answer is not asked
//! for a while (`backoff`). Whether asking first is beneficial is learned for each query class (`benefit`). Some pruned
//! segments are searched all the same, to check the denials (`audit_budget`).
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
