//! Durable files: snapshots, of which the newest valid one is read, and an append-only journal that recovers up to its
//! last valid record.
//!
//! The layer exists so that a crash at any point leaves old data, new data or none, and never a mixture. Files carry a
//! format version and checksums; a file that is truncated, corrupted, unknown or written by a newer build is reported and
//! left alone. Both kinds stand on the trait [`FileStore`], so that tests can fail any call and drop what was not synced.
//!
//! Every call blocks on the disk; callers that must not wait run them on a thread of their own.
#![warn(missing_docs)]

mod files;
mod format;
mod journal;
mod snapshots;

pub use files::{DiskStore, FileStore, WritableFile};
pub use format::{FileFault, MAX_FILE_BYTES};
pub use journal::{Journal, JournalRecord, RecoveredJournal};
pub use snapshots::{LoadedSnapshots, Snapshot, SnapshotStore};
