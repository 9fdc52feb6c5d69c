//! Buffers the bodies of requests for the attempts that may still need them.
//!
//! [`BufferManager`] decides, without input or output, whether a body is buffered in memory, spilled to a file or passed
//! through. [`Spool`] is the disk: a fixed number of threads that read and write files in a [`SpillFolder`]. The host
//! owns the bytes, asks the manager and carries out what it says.
//!
//! Times are seconds on the host's clock; sizes are bytes.

#![warn(missing_docs)]

mod folder;
mod limits;
mod manager;
mod placement;
mod spill_state;
mod spool;
mod usage;

pub use folder::{DiskFolder, SpillFile, SpillFolder};
pub use limits::{BufferLimits, MAX_BUFFERED_RATIO, SpillLimits};
pub use manager::BufferManager;
pub use placement::{BodyId, FallbackCount, FallbackReason, IncomingBody, Placement, Tier};
pub use spool::{DiskEvent, DiskFault, DiskJob, FileId, Spool};
pub use usage::{BufferUsage, OtherUsage};
