//! Helpers for tests of snapshots and journals in a [`MemoryStore`], whose calls can be made to fail.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::sync::Arc;

use dunepond_storage::*;
use dunepond_testkit::memory_store::MemoryStore;

pub const VERSION: u32 = 3;

pub fn snapshots(store: &MemoryStore) -> SnapshotStore {
    SnapshotStore::new(Arc::new(store.clone()), "beliefs", VERSION)
}

pub fn newest_snapshot(store: &MemoryStore) -> Option<Vec<u8>> {
    snapshots(store).load().unwrap().newest.map(|snapshot| snapshot.bytes)
}

pub fn payload(n: u8) -> Vec<u8> {
    (0..100).map(|i| i ^ n).collect()
}

/// Opens a journal and appends eight records. Syncs after every second record, rewrites the journal before the fifth,
/// and stops at the first call that fails. Returns the payloads that were appended, and how many of them were synced.
pub fn write_journal(store: &MemoryStore) -> (Vec<Vec<u8>>, usize) {
    let (mut appended, mut synced) = (Vec::new(), 0);
    let mut run = || -> std::io::Result<()> {
        let (mut journal, _) = Journal::open(Arc::new(store.clone()), "ledger", VERSION)?;
        for n in 1..9u8 {
            if n == 5 {
                journal.rewrite(&appended)?;
                synced = appended.len();
            }
            journal.append(&payload(n))?;
            appended.push(payload(n));
            if n.is_multiple_of(2) {
                journal.sync()?;
                synced = appended.len();
            }
        }
        Ok(())
    };
    let _ = run();
    (appended, synced)
}
