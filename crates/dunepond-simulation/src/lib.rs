//! The agreeing fleet in simulated time: the pure cores on a network, clocks and folders that fail by seed.
//!
//! [`fleet::Fleet`] is the engine: voters and members on an event [`queue`] and a [`net`] that loses, doubles, delays,
//! reorders and is cut, with clocks at the edges of the drift, folders with torn records, stops and kills; the
//! [`judge`] looks at each moment. The same calls with the same seed give the same play, told by its trace.

pub mod debts;
pub mod fleet;
pub mod judge;
pub mod net;
pub mod queue;
pub mod size;
mod voters;
