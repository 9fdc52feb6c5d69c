//! Rebalancing plans: many splits, merges and migrations of segments, ordered into steps in which no node, replica group or
//! partner exceeds its capacity, and carried out step by step, each as a version's map. Pure: no clock, no randomness, no
//! input.
//!
//! [`order_steps`] makes steps of a [`Plan`], or says at which step it fails and which capacity is short. [`verify_steps`]
//! is how each voter checks steps that another broker ordered. [`PlanProgress`] is the replicated state of the plan: it
//! takes [`CommittedEntry`]s and the ends of versions, and says what the leader does next. [`OverloadMonitor`] decides
//! when plans pause because brokers report overload.
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

/// Operations of one plan, at most; the operator splits larger ones.
pub const MAX_OPERATION_COUNT: usize = 256;
/// Layouts that the search for an order visits, at most. With ample capacity a plan needs about one for each action.
pub const MAX_SEARCH_LAYOUTS: usize = 20_000;
/// Withdrawals of a step's version after which the plan pauses and waits for an operator.
pub const MAX_STEP_ATTEMPTS: u32 = 3;
/// Ended plans that are remembered by id.
pub const MAX_ENDED_PLANS: usize = 64;
