//! What the broker keeps of the fleet: the voter's journal, what is agreed as it last heard it, the counts, and how often
//! it has started. All calls block; the fleet's thread makes them.

use std::io::Write;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use dunepond_consensus::{PersistedState, StoredVoter};
use dunepond_settlement as debts;
use dunepond_storage::{DiskStore as Directory, FileFault, FileStore, Journal, SnapshotStore};
use tracing::{error, info, warn};

use crate::control_loop::Commitments;
use crate::error::ControlPlaneError;

/// Of all files here; one of a later version is left alone.
const FORMAT_VERSION: u32 = 1;
/// A journal longer than this begins anew with one record of all.
const MAX_JOURNAL_BYTES: u64 = 1 << 20;

pub struct DataDirectory {
    /// Nothing at a broker that is no voter.
    journal: Option<Journal>,
    config: SnapshotStore,
    counts: SnapshotStore,
    commitments: SnapshotStore,
    last_config: Vec<u8>,
    last_counts: Vec<u8>,
}

/// What the folder held when it was opened.
pub struct StoredState {
    /// This start's number: greater than that of any earlier one.
    pub incarnation: u64,
    pub voter_records: StoredVoter,
    pub config: Option<PersistedState>,
    pub counts: Option<debts::Tally>,
    pub commitments: Option<Commitments>,
}

/// Whether the folder is a copy of the one that was written here, as a backup brings it back. What a voter has promised
/// since the copy was made is not in it, and the number of starts does not tell where it was made in this very life. So a
/// file in it holds its own place on the disk and the time of its making, which no copy of files has in common with it; an
/// image of the whole disk has. `fresh`: nothing stands in the folder, and it gets its mark now.
fn is_copy(folder: &Path, fresh: bool) -> std::io::Result<bool> {
    let path = folder.join("origin");
    let place = |path: &Path| {
        let told = std::fs::metadata(path)?;
        let made = told.created().ok().and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        Ok::<_, std::io::Error>(format!("{} {}", told.ino(), made.map_or(0, |made| made.as_nanos())))
    };
    if fresh {
        let _ = std::fs::remove_file(&path);
        let mut file = std::fs::File::create_new(&path)?;
        file.write_all(place(&path)?.as_bytes())?;
        file.sync_all()?;
        return Ok(false);
    }
    match std::fs::read_to_string(&path) {
        Ok(marked) => Ok(marked != place(&path)?),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(true),
        Err(e) => Err(e),
    }
}

/// The newest that is whole and can be read; all else is named and left aside.
fn load_newest(snapshots: &SnapshotStore, name: &str) -> std::io::Result<Option<Vec<u8>>> {
    let found = snapshots.load()?;
    for (file, fault) in &found.faults {
        warn!("fleet: {file}: {fault}; it is not believed");
    }
    let newest = found.newest.map(|snapshot| snapshot.bytes);
    if newest.is_none() {
        info!("fleet: {name}: nothing is kept");
    }
    Ok(newest)
}

impl DataDirectory {
    /// `files` stands in for the directory in the laboratory. `now`: Unix milliseconds, for a start number that a lost
    /// folder does not bring back.
    pub fn open(
        path: &Path,
        files: Option<Arc<dyn FileStore>>,
        voter: bool,
        now: u64,
    ) -> Result<(Self, StoredState), ControlPlaneError> {
        let failed = |why: String| ControlPlaneError::DataDirectory { path: path.to_path_buf(), why };
        let real = files.is_none();
        let files: Arc<dyn FileStore> = match files {
            Some(files) => files,
            None => Arc::new(Directory::open(path).map_err(|e| failed(e.to_string()))?),
        };
        let snapshots = |name: &str| SnapshotStore::new(files.clone(), name, FORMAT_VERSION);
        let read = |name: &str| load_newest(&snapshots(name), name).map_err(|e| failed(e.to_string()));
        let last = read("starts")?.and_then(|bytes| postcard::from_bytes::<u64>(&bytes).ok());
        let incarnation = last.map_or(now, |last| now.max(last + 1));
        let starts = postcard::to_stdvec(&incarnation).map_err(|e| failed(e.to_string()))?;
        snapshots("starts").write(&starts).map_err(|e| failed(e.to_string()))?;
        let kept = read("kept")?.and_then(|bytes| match PersistedState::decode(&bytes) {
            Ok(kept) => Some(kept),
            Err(e) => {
                warn!("fleet: what is kept of the versions is not believed: {e} ({})", e.help());
                None
            }
        });
        let counts = read("counts")?.and_then(|bytes| match postcard::from_bytes(&bytes) {
            Ok(counts) => Some(counts),
            Err(e) => {
                warn!("fleet: the counts are not believed: {e}; they come back from the others");
                None
            }
        });
        let promises = read("promises")?.and_then(|bytes| match postcard::from_bytes(&bytes) {
            Ok(promises) => Some(promises),
            Err(e) => {
                warn!("fleet: the promises are not believed: {e}; the log bounds what was promised");
                None
            }
        });
        let (mut saved, mut lost) = (StoredVoter::new(), false);
        let journal = if voter {
            let (mut journal, recovered) =
                Journal::open(files.clone(), "voter", FORMAT_VERSION).map_err(|e| failed(e.to_string()))?;
            match &recovered.fault {
                // Its writer went while it wrote; nobody has been told of it.
                Some(FileFault::Truncated) => {
                    info!("fleet: the journal's last record is torn; it was never promised")
                }
                // Promises may have stood there: as good as a folder that was lost, which the others allow for.
                Some(fault) => {
                    error!(
                        "fleet: voter.journal: {fault}; this voter begins anew, as after the loss of its folder"
                    );
                    lost = true;
                }
                None => {}
            }
            for record in &recovered.records {
                if let Err(e) = saved.apply_record(&record.bytes) {
                    error!("fleet: voter.journal: {e} ({}); this voter begins anew", e.help());
                    lost = true;
                }
            }
            let fresh = recovered.records.is_empty();
            if real && is_copy(path, fresh).map_err(|e| failed(format!("origin: {e}")))? {
                error!(
                    "fleet: the folder is a copy, and what was promised since it was made is not in it; \
                     this voter begins anew, as after the loss of its folder"
                );
                lost = true;
            }
            if lost {
                saved = StoredVoter::new();
                journal.rewrite(&[]).map_err(|e| failed(e.to_string()))?;
                if real {
                    is_copy(path, true).map_err(|e| failed(format!("origin: {e}")))?;
                }
            }
            Some(journal)
        } else {
            None
        };
        let folder = Self {
            journal,
            config: snapshots("kept"),
            counts: snapshots("counts"),
            commitments: snapshots("promises"),
            last_config: Vec::new(),
            last_counts: Vec::new(),
        };
        Ok((
            folder,
            StoredState { incarnation, voter_records: saved, config: kept, counts, commitments: promises },
        ))
    }

    /// Appends what a voter has to keep and waits until it is on the disk.
    pub fn append_to_journal(&mut self, record: &[u8]) -> std::io::Result<()> {
        let Some(journal) = &mut self.journal else { return Ok(()) };
        journal.append(record)?;
        journal.sync()
    }

    /// The journal has grown long.
    pub fn journal_is_long(&self) -> bool {
        self.journal.as_ref().is_some_and(|journal| journal.length() > MAX_JOURNAL_BYTES)
    }

    /// Begins the journal anew with one record of all that the voter has to keep.
    pub fn rewrite_journal(&mut self, whole: Vec<u8>) -> std::io::Result<()> {
        self.journal.as_mut().map_or(Ok(()), |journal| journal.rewrite(&[whole]))
    }

    pub fn save_config(&mut self, kept: &PersistedState) -> std::io::Result<()> {
        let bytes = kept.encode();
        if bytes != self.last_config {
            self.config.write(&bytes)?;
            self.last_config = bytes;
        }
        Ok(())
    }

    /// Written before anything rests on them.
    pub fn save_commitments(&mut self, promises: &Commitments) -> std::io::Result<()> {
        let bytes = postcard::to_stdvec(promises).map_err(std::io::Error::other)?;
        self.commitments.write(&bytes).map(drop)
    }

    /// Written before any peer is told of them.
    pub fn save_counts(&mut self, counts: &debts::Tally) -> std::io::Result<()> {
        let bytes = postcard::to_stdvec(counts).map_err(std::io::Error::other)?;
        if bytes != self.last_counts {
            self.counts.write(&bytes)?;
            self.last_counts = bytes;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_folder_is_itself_over_restarts_and_a_copy_of_it_is_not() {
        let folder = tempfile::tempdir().unwrap();
        let (own, copy) = (folder.path().join("own"), folder.path().join("copy"));
        std::fs::create_dir(&own).unwrap();
        std::fs::create_dir(&copy).unwrap();
        assert!(!is_copy(&own, true).unwrap());
        assert!(!is_copy(&own, false).unwrap());
        std::fs::copy(own.join("origin"), copy.join("origin")).unwrap();
        assert!(is_copy(&copy, false).unwrap());
        // Back in its place, and the folder itself under another name.
        std::fs::remove_file(own.join("origin")).unwrap();
        std::fs::copy(copy.join("origin"), own.join("origin")).unwrap();
        assert!(is_copy(&own, false).unwrap());
        assert!(!is_copy(&copy, true).unwrap());
        std::fs::rename(&copy, folder.path().join("moved")).unwrap();
        assert!(!is_copy(&folder.path().join("moved"), false).unwrap());
    }
}
