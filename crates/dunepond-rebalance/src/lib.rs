//! Rebalancing plans: splits, merges and migrations of many segments, ordered into steps so that no node, replica group
//! or partner exceeds its capacity. Each step is carried out by one configuration version with a new shard map. The
//! crate is deterministic: it uses no clock, no randomness and no I/O.
//!
//! [`order_steps`] computes the steps of a [`Plan`], or returns the step that fails and the capacity that is short.
//! [`verify_steps`] lets each voter check steps that another broker ordered. [`PlanProgress`] is the replicated state
//! of the plan: it applies [`CommittedEntry`]s and the outcomes of versions, and returns the leader's next action.
//! [`OverloadMonitor`] decides when plans pause because brokers report overload.
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
/// Maximum number of layouts that one search for an order visits. With ample capacity a plan needs about one layout for
/// each action.
pub const MAX_SEARCH_LAYOUTS: usize = 20_000;
/// Number of successive withdrawn versions of one step after which the plan pauses and waits for an operator.
pub const MAX_STEP_ATTEMPTS: u32 = 3;
/// Number of ended plans that the replicated state keeps; the oldest is dropped first. The id of a kept plan is
/// refused.
pub const MAX_ENDED_PLANS: usize = 64;
