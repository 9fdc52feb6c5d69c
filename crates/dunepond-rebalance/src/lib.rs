//! Rebalancing plans: many splits, merges and migrations of segments, ordered into steps in which no node, replica group or
//! partner exceeds its capacity, and carried out step by step, each as a version's map. Pure: no clock, no randomness, no
//! input.
//!
//! [`order`] makes steps of a [`Plan`], or says at which step it fails and which capacity is short. [`prove`] is how each
//! voter checks steps that another broker ordered. [`PlanProgress`] is the replicated state of the plan: it takes
//! [`Agreed`] entries and the ends of versions, and says what the leader does next.

mod error;
mod layout;
mod order;
mod plan;
mod plan_progress;
mod pressure;
mod room;

pub use error::{MoveError, Short, Where};
pub use layout::{Act, Kind, Step, Wave};
pub use order::{Pace, order, prove};
pub use plan::{Node, Operation, Plan, Room, Sizes, Word};
pub use plan_progress::{Agreed, Begun, By, Ended, Finish, Held, Next, Pause, PlanProgress, Running, Seen};
pub use pressure::Pressure;

/// Operations of one plan, at most; the operator splits larger ones.
pub const MAX_OPERATION_COUNT: usize = 256;
/// Layouts that the search for an order visits, at most. With ample capacity a plan needs about one for each act.
pub const MAX_SEARCH_LAYOUTS: usize = 20_000;
/// Withdrawals of a step's version after which the plan pauses and waits for an operator.
pub const MAX_STEP_ATTEMPTS: u32 = 3;
/// Ended plans that are remembered by id.
pub const MAX_ENDED_PLANS: usize = 64;
