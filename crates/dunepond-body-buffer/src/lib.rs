//! Bodies of requests, kept for the dispatches that may still need them.
//!
//! [`Keeper`] decides, free of input and output: in memory, in a file, or not kept. [`Spool`] is the files tier:
//! a fixed set of threads before a folder. The host owns the bytes, asks the keeper, and carries out what it says.
//! Times are seconds on the host's clock; sizes are bytes.

mod folder;
mod keeper;
mod spool;

pub use folder::{Disk, Folder, Volume};
pub use keeper::{
    Arrival, BodyId, FileTerms, Given, Holding, KEPT, Keeper, Kind, Move, Place, Reason, Terms,
};
pub use spool::{Done, Fault, FileId, Job, Spool};
