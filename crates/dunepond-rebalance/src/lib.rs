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

/// Operations of one plan, at most: the order of more is the operator's to cut into plans.
pub const MOST_OPERATIONS: usize = 256;
/// Layouts that the search looks at, at most. Plans in which room is ample need about one for each act.
pub const MOST_LOOKS: usize = 20_000;
/// Times that a step's version may be withdrawn before the plan pauses and asks for a person.
pub const TRIES: u32 = 3;
/// Plans that are over and remembered by id.
pub const PASTS: usize = 64;
/// Share of the brokers that have to be pressed for a pause, and of those up to which it ends; seconds for each.
pub const PRESSED: (f64, f64) = (0.3, 1.0);
pub const AT_EASE: (f64, f64) = (0.1, 5.0);
