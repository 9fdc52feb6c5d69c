//! Files that survive crashes: snapshots of which the last whole one is read, and a journal that recovers to its last
//! whole record. Both stand on a trait for files, so that a stand-in can fail any call and lose what was not synced.
//!
//! What is read is old, new or nothing: a file that is cut, damaged, foreign or of a later version is named and left
//! alone. Nothing here waits for anything but the calls it makes; whoever must not wait makes them elsewhere.

mod files;
mod format;
mod journal;
mod snapshots;

pub use files::{DiskStore, FileStore, WritableFile};
pub use format::{FileFault, MAX_FILE_BYTES};
pub use journal::{Journal, JournalRecord, RecoveredJournal};
pub use snapshots::{LoadedSnapshots, Snapshot, SnapshotStore};
