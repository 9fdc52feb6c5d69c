//! Plans of many splits, merges and moves of segments: put in an order of steps in which no node, cell or partner runs
//! out of room in between, and carried out step by step, each a version's map. Pure: no clock, no chance, no input.
//!
//! [`order`] makes steps of a [`Plan`], or says at which step it breaks and what is short; [`prove`] is what each voter
//! does with steps that somebody else ordered. A [`Book`] is how far the plan has come, as it is agreed on: it takes
//! [`Agreed`] entries and the ends of versions, and says what the leader does next.

mod book;
mod error;
mod layout;
mod order;
mod plan;
mod pressure;
mod room;

pub use book::{Agreed, Begun, Book, By, Ended, Finish, Held, Next, Pause, Running, Seen};
pub use error::{MoveError, Short, Where};
pub use layout::{Act, Kind, Step, Wave};
pub use order::{Pace, order, prove};
pub use plan::{Node, Operation, Plan, Room, Sizes, Word};
pub use pressure::Pressure;

/// Operations of one plan, at most; the operator splits larger ones.
pub const MAX_OPERATION_COUNT: usize = 256;
/// Layouts that the search for an order visits, at most. With ample capacity a plan needs about one for each act.
pub const MAX_SEARCH_LAYOUTS: usize = 20_000;
/// Withdrawals of a step's version after which the plan pauses and waits for an operator.
pub const MAX_STEP_ATTEMPTS: u32 = 3;
/// Ended plans that are remembered by id.
pub const MAX_ENDED_PLANS: usize = 64;
