//! The control plane's data directory: the voter's journal, and snapshots of the agreed configuration, the traffic counts,
//! the commitments and the number of starts.
//!
//! All calls block on the disk, so only the control loop's thread makes them.

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

/// Format of all files; files of a later format are ignored.
const FORMAT_VERSION: u32 = 1;
/// A journal longer than this is rewritten as one record.
const MAX_JOURNAL_BYTES: u64 = 1 << 20;

// File names, which earlier builds use as well: snapshots end in `-N.snapshot`, the journal in `.journal`.
const STARTS: &str = "starts";
const CONFIG: &str = "kept";
const COUNTS: &str = "counts";
const COMMITMENTS: &str = "promises";
const VOTER: &str = "voter";

/// The open directory.
pub struct DataDirectory {
    /// `None` at a broker that is no voter.
    journal: Option<Journal>,
    config: SnapshotStore,
    counts: SnapshotStore,
    commitments: SnapshotStore,
    last_config: Vec<u8>,
    last_counts: Vec<u8>,
}

/// Content of the directory when it was opened.
pub struct StoredState {
    /// Number of this start: greater than that of any earlier one.
    pub incarnation: u64,
    /// What the voter's journal held; empty at a broker that is no voter.
    pub voter_records: StoredVoter,
    /// `None` if it was never stored or is damaged, as are the next two.
    pub config: Option<PersistedState>,
    pub counts: Option<settlement::LocalCounts>,
    pub commitments: Option<Commitments>,
}

/// Opens the files of one directory, with its path for errors.
struct Opener<'a> {
    path: &'a Path,
    files: Arc<dyn FileStore>,
    /// Not a test double: the directory can be checked for being a copy.
    is_real: bool,
}

impl Opener<'_> {
    fn error(&self, why: impl std::fmt::Display) -> ControlPlaneError {
        ControlPlaneError::DataDirectory { path: self.path.to_path_buf(), why: why.to_string() }
    }

    fn snapshots(&self, name: &str) -> SnapshotStore {
        SnapshotStore::new(self.files.clone(), name, FORMAT_VERSION)
    }

    /// Payload of the newest valid snapshot; files that cannot be used are logged.
    fn load(&self, name: &str) -> Result<Option<Vec<u8>>, ControlPlaneError> {
        let loaded = self.snapshots(name).load().map_err(|e| self.error(e))?;
        for (file, fault) in &loaded.faults {
            warn!("fleet: {file}: {fault}; it is not believed");
        }
        if loaded.newest.is_none() {
            info!("fleet: {name}: nothing is kept");
        }
        Ok(loaded.newest.map(|snapshot| snapshot.bytes))
    }

    /// The same, decoded; `lost` says what a payload that cannot be decoded means.
    fn load_as<T: DeserializeOwned>(&self, name: &str, lost: &str) -> Result<Option<T>, ControlPlaneError> {
        let Some(bytes) = self.load(name)? else { return Ok(None) };
        match postcard::from_bytes(&bytes) {
            Ok(value) => Ok(Some(value)),
            Err(e) => {
                warn!("fleet: the {name} are not believed: {e}; {lost}");
                Ok(None)
            }
        }
    }

    /// Stores and returns the number of this start. `now` (Unix milliseconds) takes the place of a count that was lost.
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
                warn!("fleet: what is kept of the versions is not believed: {e} ({})", e.help());
                Ok(None)
            }
        }
    }

    /// Opens the voter's journal. One that is damaged, or is in a copied directory, is emptied: promises may be missing from
    /// it, and the other voters allow for an empty voter.
    fn open_journal(&self) -> Result<(Journal, StoredVoter), ControlPlaneError> {
        let opened = Journal::open(self.files.clone(), VOTER, FORMAT_VERSION);
        let (mut journal, recovered) = opened.map_err(|e| self.error(e))?;
        let stored = stored_voter(&recovered);
        let is_copy = self.is_copy(recovered.records.is_empty())?;
        if is_copy {
            error!(
                "fleet: the folder is a copy, and what was promised since it was made is not in it; \
                 this voter begins anew, as after the loss of its folder"
            );
        }
        if let Some(stored) = stored.filter(|_| !is_copy) {
            return Ok((journal, stored));
        }
        journal.rewrite(&[]).map_err(|e| self.error(e))?;
        self.is_copy(true)?;
        Ok((journal, StoredVoter::new()))
    }

    /// `is_new`: the directory is empty, and is marked as the original now.
    fn is_copy(&self, is_new: bool) -> Result<bool, ControlPlaneError> {
        let checked = if self.is_real { origin::is_copy(self.path, is_new) } else { Ok(false) };
        checked.map_err(|e| self.error(format!("origin: {e}")))
    }
}

/// The voter of a journal's records; `None` if one of them is damaged, and promises may be missing.
fn stored_voter(recovered: &RecoveredJournal) -> Option<StoredVoter> {
    let (mut stored, mut damaged) = (StoredVoter::new(), false);
    match &recovered.fault {
        // The process ended while it wrote; nobody was told of the record.
        Some(FileFault::Truncated) => {
            info!("fleet: the journal's last record is torn; it was never promised");
        }
        Some(fault) => {
            error!("fleet: voter.journal: {fault}; this voter begins anew, as after the loss of its folder");
            damaged = true;
        }
        None => {}
    }
    for record in &recovered.records {
        if let Err(e) = stored.apply_record(&record.bytes) {
            error!("fleet: voter.journal: {e} ({}); this voter begins anew", e.help());
            damaged = true;
        }
    }
    (!damaged).then_some(stored)
}

impl DataDirectory {
    /// Opens the directory. `files` replaces it in tests; `now`, in Unix milliseconds, is this start's number where none is
    /// stored.
    ///
    /// # Errors
    /// If the directory does not exist, is in use or cannot be written. Damaged files are no error: they are ignored.
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
        let counts = opener.load_as(COUNTS, "they come back from the others")?;
        let commitments = opener.load_as(COMMITMENTS, "the log bounds what was promised")?;
        let (journal, voter_records) = match is_voter {
            true => opener.open_journal().map(|(journal, stored)| (Some(journal), stored))?,
            false => (None, StoredVoter::new()),
        };
        let directory = Self {
            journal,
            config: opener.snapshots(CONFIG),
            counts: opener.snapshots(COUNTS),
            commitments: opener.snapshots(COMMITMENTS),
            last_config: Vec::new(),
            last_counts: Vec::new(),
        };
        Ok((directory, StoredState { incarnation, voter_records, config, counts, commitments }))
    }

    /// Appends a record of the voter and waits until it is durable.
    pub fn append_to_journal(&mut self, record: &[u8]) -> std::io::Result<()> {
        let Some(journal) = &mut self.journal else { return Ok(()) };
        journal.append(record)?;
        journal.sync()
    }

    /// Whether the journal should be rewritten as one record.
    pub fn journal_is_long(&self) -> bool {
        self.journal.as_ref().is_some_and(|journal| journal.length() > MAX_JOURNAL_BYTES)
    }

    /// Replaces the journal by one record of the voter's whole state.
    pub fn rewrite_journal(&mut self, record: Vec<u8>) -> std::io::Result<()> {
        match &mut self.journal {
            Some(journal) => journal.rewrite(&[record]),
            None => Ok(()),
        }
    }

    /// Stores the agreed configuration, unless it is stored already.
    pub fn save_config(&mut self, config: &PersistedState) -> std::io::Result<()> {
        let bytes = config.encode();
        if bytes != self.last_config {
            self.config.write(&bytes)?;
            self.last_config = bytes;
        }
        Ok(())
    }

    /// Stores commitments; to be called before anything rests on them.
    pub fn save_commitments(&mut self, commitments: &Commitments) -> std::io::Result<()> {
        let bytes = postcard::to_stdvec(commitments).map_err(std::io::Error::other)?;
        self.commitments.write(&bytes).map(drop)
    }

    /// Stores traffic counts, unless they are stored already; to be called before they are sent to any peer.
    pub fn save_counts(&mut self, counts: &settlement::LocalCounts) -> std::io::Result<()> {
        let bytes = postcard::to_stdvec(counts).map_err(std::io::Error::other)?;
        if bytes != self.last_counts {
            self.counts.write(&bytes)?;
            self.last_counts = bytes;
        }
        Ok(())
    }
}
