//! Durable files: snapshots, of which the newest valid one is read, and an append-only journal that is recovered up to its
//! last valid record.
//!
//! A crash at any point leaves the old data or the new data, but never a mixture; if there was no old data, it may leave
//! none. Files carry a format version and checksums; a file that is truncated, corrupted, of unknown format or written by a
//! newer build is reported as a [`FileFault`] and not used. Files of unknown or newer format are left unchanged. Snapshots
//! and journals use the trait [`FileStore`], so that tests can make any call fail and drop what was not synced.
//!
//! Calls block on disk input and output; callers that must not block run them on a separate thread.
#![warn(missing_docs)]

mod files;
mod format;
mod journal;
mod snapshots;

pub use files::{DiskStore, FileStore, WritableFile};
pub use format::{FileFault, MAX_FILE_BYTES};
pub use journal::{Journal, JournalRecord, RecoveredJournal};
pub use snapshots::{LoadedSnapshots, Snapshot, SnapshotStore};
