//! Buffers request bodies so that retries and hedged attempts can send them again.
//!
//! [`BufferManager`] performs no I/O: it decides whether a body is buffered in memory, spilled to a file or passed
//! through. [`Spool`] performs the disk I/O on a fixed number of threads that read and write files in a
//! [`SpillFolder`]. The host, which is the program that uses this crate, owns the bytes, asks the manager and carries
//! out its decisions.
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
