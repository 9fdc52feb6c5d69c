//! The control plane's data directory: the voter's journal, and snapshots of the configuration, the traffic counts, the
//! commitments and the incarnation.
//!
//! All calls block on the disk, so only the control loop's thread makes them after startup.

mod origin;

use std::path::Path;
use std::sync::Arc;

use dunepond_consensus::{PersistedState, StoredVoter};
use dunepond_settlement as settlement;
use dunepond_storage::{DiskStore, FileFault, FileStore, Journal, RecoveredJournal, SnapshotStore};
use serde::de::DeserializeOwned;
use tracing::{error, info, warn};

use crate::commitments::Commitments;
use crate::error::ControlPlaneError;

/// Format version of all files. Files with a later format version are ignored.
const FORMAT_VERSION: u32 = 1;
/// Length above which the journal is rewritten as one record.
const MAX_JOURNAL_BYTES: u64 = 1 << 20;

// Names of the stored files, which must not change, as earlier builds use them too. Snapshots get the suffix
// `-N.snapshot`, the journal gets `.journal`.
const STARTS: &str = "starts";
const CONFIG: &str = "kept";
const COUNTS: &str = "counts";
const COMMITMENTS: &str = "promises";
const VOTER: &str = "voter";

/// The open data directory.
pub struct DataDirectory {
    /// The voter's journal; `None` if this broker is not a voter.
    journal: Option<Journal>,
    config: SnapshotStore,
    counts: SnapshotStore,
    commitments: SnapshotStore,
    /// The configuration as last written by this process, encoded. An unchanged configuration is not written again.
    saved_config: Vec<u8>,
    /// The traffic counts as last written by this process, encoded. Unchanged counts are not written again.
    saved_counts: Vec<u8>,
}

/// Content of the data directory when it was opened.
pub struct StoredState {
    /// Incarnation of this start, greater than that of any earlier start.
    pub incarnation: u64,
    /// The voter's state as recorded in its journal; empty if this broker is not a voter.
    pub voter_records: StoredVoter,
    /// The stored configuration; `None` if it was never stored or is damaged.
    pub config: Option<PersistedState>,
    /// The stored traffic counts; `None` if they were never stored or are damaged.
    pub counts: Option<settlement::LocalCounts>,
    /// The stored commitments; `None` if they were never stored or are damaged.
    pub commitments: Option<Commitments>,
}

/// Opens the files of the data directory.
struct Opener<'a> {
    /// Path of the directory, for error messages.
    path: &'a Path,
    files: Arc<dyn FileStore>,
    /// Whether the files are read from disk, not from a test double. Without files on disk it cannot be checked whether
    /// the directory is a copy.
    is_real: bool,
}

impl Opener<'_> {
    fn error(&self, why: impl std::fmt::Display) -> ControlPlaneError {
        ControlPlaneError::DataDirectory { path: self.path.to_path_buf(), why: why.to_string() }
    }

    fn snapshots(&self, name: &str) -> SnapshotStore {
        SnapshotStore::new(self.files.clone(), name, FORMAT_VERSION)
    }

    /// Returns the payload of the newest valid snapshot, and logs files that cannot be used.
    fn load(&self, name: &str) -> Result<Option<Vec<u8>>, ControlPlaneError> {
        let loaded = self.snapshots(name).load().map_err(|e| self.error(e))?;
        for (file, fault) in &loaded.faults {
            warn!("fleet: {file}: {fault}; the file is ignored");
        }
        if loaded.newest.is_none() {
            info!("fleet: {name}: no snapshot is stored");
        }
        Ok(loaded.newest.map(|snapshot| snapshot.bytes))
    }

    /// Returns the decoded payload of the newest valid snapshot. If the payload cannot be decoded, logs the error and
    /// returns `None`. The log line ends with `consequence`, which explains to operators what the loss means.
    fn load_as<T: DeserializeOwned>(
        &self,
        name: &str,
        consequence: &str,
    ) -> Result<Option<T>, ControlPlaneError> {
        let Some(bytes) = self.load(name)? else { return Ok(None) };
        match postcard::from_bytes(&bytes) {
            Ok(value) => Ok(Some(value)),
            Err(e) => {
                warn!("fleet: the stored {name} cannot be decoded: {e}; {consequence}");
                Ok(None)
            }
        }
    }

    /// Stores and returns the incarnation of this start: `now` (Unix milliseconds), or the last incarnation plus one if
    /// that is greater.
    fn next_incarnation(&self, now: u64) -> Result<u64, ControlPlaneError> {
        let last = self.load(STARTS)?.and_then(|bytes| postcard::from_bytes::<u64>(&bytes).ok());
        let incarnation = last.map_or(now, |last| now.max(last + 1));
        let bytes = postcard::to_stdvec(&incarnation).map_err(|e| self.error(e))?;
        self.snapshots(STARTS).write(&bytes).map_err(|e| self.error(e))?;
        Ok(incarnation)
    }

    fn load_config(&self) -> Result<Option<PersistedState>, ControlPlaneError> {
        let Some(bytes) = self.load(CONFIG)? else { return Ok(None) };
        match PersistedState::decode(&bytes) {
            Ok(config) => Ok(Some(config)),
            Err(e) => {
                warn!("fleet: the stored configuration cannot be decoded: {e} ({})", e.help());
                Ok(None)
            }
        }
    }

    /// Opens the voter's journal. A journal that is damaged or in a copied directory is emptied: promises that this
    /// voter made to the other voters may be missing from it, whereas the other voters can handle a voter with an empty
    /// journal.
    fn open_journal(&self) -> Result<(Journal, StoredVoter), ControlPlaneError> {
        let opened = Journal::open(self.files.clone(), VOTER, FORMAT_VERSION);
        let (mut journal, recovered) = opened.map_err(|e| self.error(e))?;
        let stored = stored_voter(&recovered);
        let is_copy = self.is_copy(recovered.records.is_empty())?;
        if is_copy {
            error!(
                "fleet: the data directory is a copy and lacks what this voter promised after the copy was made; \
                 this voter starts with an empty journal, as after the loss of its data directory"
            );
        }
        if let Some(stored) = stored.filter(|_| !is_copy) {
            return Ok((journal, stored));
        }
        journal.rewrite(&[]).map_err(|e| self.error(e))?;
        self.is_copy(true)?;
        Ok((journal, StoredVoter::new()))
    }

    /// Whether the directory is a copy. `is_new` must be true if the journal is empty: then the directory is marked as
    /// the original, and the result is false.
    fn is_copy(&self, is_new: bool) -> Result<bool, ControlPlaneError> {
        let checked = if self.is_real { origin::is_copy(self.path, is_new) } else { Ok(false) };
        checked.map_err(|e| self.error(format!("origin: {e}")))
    }
}

/// The voter's state as recorded in a journal; `None` if the journal is damaged, so that promises of the voter may be
/// missing.
fn stored_voter(recovered: &RecoveredJournal) -> Option<StoredVoter> {
    let (mut stored, mut damaged) = (StoredVoter::new(), false);
    match &recovered.fault {
        // The process ended while it wrote the record, so no message that depends on the record was sent.
        Some(FileFault::Truncated) => {
            info!("fleet: the journal's last record is incomplete and ignored; no message depended on it");
        }
        Some(fault) => {
            error!(
                "fleet: voter.journal: {fault}; \
                 this voter starts with an empty journal, as after the loss of its data directory"
            );
            damaged = true;
        }
        None => {}
    }
    for record in &recovered.records {
        if let Err(e) = stored.apply_record(&record.bytes) {
            error!("fleet: voter.journal: {e} ({}); this voter starts with an empty journal", e.help());
            damaged = true;
        }
    }
    (!damaged).then_some(stored)
}

impl DataDirectory {
    /// Opens the data directory and returns its content. `files` replaces the files on disk in tests. The incarnation
    /// of this start is `now`, in Unix milliseconds, or the stored incarnation plus one if that is greater.
    ///
    /// # Errors
    /// If the directory does not exist, is in use or cannot be written. Damaged files are not an error: they are
    /// ignored.
    pub fn open(
        path: &Path,
        files: Option<Arc<dyn FileStore>>,
        is_voter: bool,
        now: u64,
    ) -> Result<(Self, StoredState), ControlPlaneError> {
        let is_real = files.is_none();
        let files = match files {
            Some(files) => files,
            None => Arc::new(DiskStore::open(path).map_err(|e| ControlPlaneError::DataDirectory {
                path: path.to_path_buf(),
                why: e.to_string(),
            })?),
        };
        let opener = Opener { path, files, is_real };
        let incarnation = opener.next_incarnation(now)?;
        let config = opener.load_config()?;
        let counts = opener.load_as(COUNTS, "they are restored from the other brokers")?;
        let commitments = opener
            .load_as(COMMITMENTS, "what was promised is bounded by the shares in the replicated log")?;
        let (journal, voter_records) = match is_voter {
            true => opener.open_journal().map(|(journal, stored)| (Some(journal), stored))?,
            false => (None, StoredVoter::new()),
        };
        let directory = Self {
            journal,
            config: opener.snapshots(CONFIG),
            counts: opener.snapshots(COUNTS),
            commitments: opener.snapshots(COMMITMENTS),
            saved_config: Vec::new(),
            saved_counts: Vec::new(),
        };
        Ok((directory, StoredState { incarnation, voter_records, config, counts, commitments }))
    }

    /// Appends a record to the voter's journal and waits until it is durable.
    pub fn append_to_journal(&mut self, record: &[u8]) -> std::io::Result<()> {
        let Some(journal) = &mut self.journal else { return Ok(()) };
        journal.append(record)?;
        journal.sync()
    }

    /// Whether the journal has become so long that it should be rewritten as one record.
    pub fn journal_is_long(&self) -> bool {
        self.journal.as_ref().is_some_and(|journal| journal.length() > MAX_JOURNAL_BYTES)
    }

    /// Replaces the content of the journal by one record of the voter's complete state.
    pub fn rewrite_journal(&mut self, record: Vec<u8>) -> std::io::Result<()> {
        match &mut self.journal {
            Some(journal) => journal.rewrite(&[record]),
            None => Ok(()),
        }
    }

    /// Stores the configuration, unless it is unchanged since the last call.
    pub fn save_config(&mut self, config: &PersistedState) -> std::io::Result<()> {
        let bytes = config.encode();
        if bytes != self.saved_config {
            self.config.write(&bytes)?;
            self.saved_config = bytes;
        }
        Ok(())
    }

    /// Stores the commitments. To be called before any action that depends on them.
    pub fn save_commitments(&mut self, commitments: &Commitments) -> std::io::Result<()> {
        let bytes = postcard::to_stdvec(commitments).map_err(std::io::Error::other)?;
        self.commitments.write(&bytes).map(drop)
    }

    /// Stores the traffic counts, unless they are unchanged since the last call. To be called before they are sent to a
    /// peer.
    pub fn save_counts(&mut self, counts: &settlement::LocalCounts) -> std::io::Result<()> {
        let bytes = postcard::to_stdvec(counts).map_err(std::io::Error::other)?;
        if bytes != self.saved_counts {
            self.counts.write(&bytes)?;
            self.saved_counts = bytes;
        }
        Ok(())
    }
}
