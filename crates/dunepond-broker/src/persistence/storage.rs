//! The files of the state folder: snapshots of learned state and the journal of spent budgets.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dunepond_recovery::{BudgetRecord, FORMAT_VERSION, LearnedSnapshot, Timestamp};
use dunepond_storage::{FileStore, Journal, SnapshotStore};
use tracing::warn;

/// Base name of the snapshot files.
pub(super) const LEARNED_STATE_FILE: &str = "beliefs";
/// Base name of the journal file.
pub(super) const BUDGET_JOURNAL: &str = "debts";
/// A journal longer than this is rewritten with only its last record.
const MAX_JOURNAL_BYTES: u64 = 64 * 1024;

/// An open state folder.
pub(super) struct StateStorage {
    pub(super) snapshots: SnapshotStore,
    pub(super) journal: Journal,
}

/// The contents of the state folder when it was opened.
#[derive(Default)]
pub(super) struct Recovered {
    pub(super) learned_state: Option<LearnedSnapshot>,
    pub(super) budget_records: Vec<BudgetRecord>,
    /// Whether every record of the journal could be read.
    pub(super) is_journal_complete: bool,
}

/// The open folder, shared with the thread pool. It holds `None` while the folder cannot be used.
#[derive(Clone, Default)]
pub(super) struct SharedStorage(Arc<Mutex<Option<StateStorage>>>);

impl SharedStorage {
    /// Locks the folder for the caller.
    pub(super) fn lock(&self) -> MutexGuard<'_, Option<StateStorage>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a Unix time together with the machine's current boot id and uptime.
pub fn timestamp(unix: f64) -> Timestamp {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let uptime = read("/proc/uptime").split(' ').next().and_then(|seconds| seconds.parse().ok());
    let boot = read("/proc/sys/kernel/random/boot_id").trim().to_string();
    Timestamp {
        unix,
        boot: if uptime.is_some() { boot } else { String::new() },
        uptime: uptime.unwrap_or(0.0),
    }
}

/// Opens a folder, reads its contents and appends a record of this start to the journal.
pub(super) fn open_storage(
    files: Arc<dyn FileStore>,
    at: Timestamp,
) -> io::Result<(StateStorage, Recovered)> {
    let snapshots = SnapshotStore::new(files.clone(), LEARNED_STATE_FILE, FORMAT_VERSION);
    let learned_state = load_learned_state(&snapshots)?;
    let (mut journal, recovered) = Journal::open(files, BUDGET_JOURNAL, FORMAT_VERSION)?;
    if let Some(fault) = &recovered.fault {
        warn!("state: {BUDGET_JOURNAL}: {fault}; the complete records before it are used");
    }
    let budget_records: Vec<_> =
        recovered.records.iter().map(|record| BudgetRecord::decode(&record.bytes)).collect();
    // A truncated record also makes the journal incomplete: the process ended while it was writing the record, so its
    // shutdown was not completed.
    let is_journal_complete = recovered.fault.is_none() && budget_records.iter().all(Result::is_ok);
    if journal.length() > MAX_JOURNAL_BYTES {
        let last = recovered.records.last().map(|record| record.bytes.clone());
        journal.rewrite(&last.into_iter().collect::<Vec<_>>())?;
    }
    journal.append(&BudgetRecord::BrokerStarted { at }.encode())?;
    let budget_records = budget_records.into_iter().flatten().collect();
    Ok((
        StateStorage { snapshots, journal },
        Recovered { learned_state, budget_records, is_journal_complete },
    ))
}

/// Returns the newest snapshot that can be read. Files that cannot be read are logged.
fn load_learned_state(snapshots: &SnapshotStore) -> io::Result<Option<LearnedSnapshot>> {
    let found = snapshots.load()?;
    for (name, fault) in &found.faults {
        warn!("state: {name}: {fault}; file ignored");
    }
    let Some(snapshot) = found.newest else { return Ok(None) };
    match LearnedSnapshot::decode(&snapshot.bytes) {
        Ok(learned_state) => Ok(Some(learned_state)),
        Err(e) => {
            warn!("state: snapshot {}: {e}", snapshot.number);
            Ok(None)
        }
    }
}
