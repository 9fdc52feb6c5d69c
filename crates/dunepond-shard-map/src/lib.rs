//! The shard map and its verification: a map covers every key exactly once, during a transition between two maps every key
//! has at most one owner at any time, and the answered parts of a query cover its keys exactly once under one map. The crate
//! does no input or output.
//!
//! Each broker verifies a map itself before using it: a gap, an overlap or two owners of a key would lose or repeat
//! work, and no later layer could detect that.
//!
//! [`verify`] turns a [`ShardMap`] into a [`VerifiedMap`] or returns all faults; [`verify_transition`] turns two verified maps
//! into a [`MapTransition`]; [`verify_delta`] does both for a change of few segments; [`verify_coverage`] checks the answered
//! parts of one query.
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
