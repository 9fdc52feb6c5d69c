//! The shard map, and the proofs about it: a map covers every key exactly once, a transition between two maps leaves one owner at each
//! moment, and the answered parts of a query cover its keys exactly once under one map. Without input and output.
//!
//! Brokers act on a map only once each of them has verified it for itself: a gap, an overlap or two owners of a key would lose or repeat
//! work, and no later layer could tell.
//!
//! [`verify`] turns a [`ShardMap`] into a [`VerifiedMap`] or names every fault; [`verify_transition`] turns two verified maps into a
//! [`MapTransition`]; [`verify_delta`] does both for a few changed segments of many; [`verify_coverage`] checks the answered parts of one
//! query.
#![warn(missing_docs)]

mod coverage;
mod delta;
mod digest;
mod fault;
mod key_range;
mod model;
mod segment_rules;
mod transition;
mod verified;
mod verify;

pub use coverage::{AnsweredPart, verify_coverage};
pub use delta::{MapDelta, verify_delta};
pub use digest::{KEY_HASH, key_position};
pub use fault::{MapFault, SegmentContext, SegmentRef};
pub use key_range::{KEY_SPACE_END, KeyRange};
pub use model::{MapConstraints, Node, Replica, RequiredFill, Segment, ShardMap};
pub use transition::{MapTransition, TransitionPhase, verify_transition};
pub use verified::VerifiedMap;
pub use verify::{verify, verify_owned};
