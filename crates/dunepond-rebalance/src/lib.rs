//! Rebalancing plans: splits, merges and migrations of many segments, ordered into steps so that no node, replica group
//! or partner exceeds its capacity. Each step is carried out by one configuration version with a new shard map. The
//! crate is deterministic: it uses no clock, no randomness and no I/O.
//!
//! [`order_steps`] computes the steps of a [`Plan`], or returns why it found none, such as the step that would exceed a
//! capacity and by how much. [`verify_steps`] lets each voter check steps that another broker ordered. [`PlanProgress`]
//! is the replicated state of the plan: it applies committed log entries ([`CommittedEntry`]) and the outcomes of
//! configuration versions, and returns the leader's next action. [`OverloadMonitor`] decides when plans pause because
//! brokers report overload.
#![warn(missing_docs)]

mod action;
mod capacity;
mod error;
mod layout;
mod load;
mod ordering;
mod overload;
mod plan;
mod progress;
mod transition;

pub use action::{Action, ActionBatch, ChangedSegments, PlannedAction, Step, StepKind};
pub use capacity::{CapacityScope, CapacityShortage, CapacityUnit};
pub use error::RebalanceError;
pub use ordering::{StepLimits, order_steps, verify_steps};
pub use overload::OverloadMonitor;
pub use plan::{Capacity, DesiredState, NodeSpec, Operation, Plan, SegmentSizes};
pub use progress::{
    CommittedEntry, EndedPlan, LeaderAction, PauseReason, PlanOutcome, PlanProgress, PlanWait,
    RebalanceContext, ResumeTrigger, RunningPlan, StartedStep, VersionEnd, Withdrawal,
};

/// Maximum number of operations in one plan; the operator has to split a larger plan.
pub const MAX_OPERATION_COUNT: usize = 256;
/// Maximum number of layouts (states of the changed segments after some of the plan's actions) that one search for an
/// order of the actions visits. With ample capacity, a search visits about one layout for each action.
pub const MAX_SEARCH_LAYOUTS: usize = 20_000;
/// Number of failed attempts at one step after which the plan pauses and waits for an operator. An attempt fails if the
/// step's configuration version is withdrawn, unless the plan is paused or the version is withdrawn because the plan
/// is.
pub const MAX_STEP_ATTEMPTS: u32 = 3;
/// Maximum number of ended plans of which the replicated state keeps a record; the oldest record is dropped first. A
/// new plan whose id is that of a recorded plan is rejected.
pub const MAX_ENDED_PLANS: usize = 64;
