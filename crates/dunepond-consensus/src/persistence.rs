//! Stored documents: journal records of a voter, and the state that each broker persists.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, ConsensusError, VoterInfo, codec};

/// Changes that a voter has to store as one record of a journal; [`StoredVoter::apply_record`] reads it back.
// The encoding is postcard, so the order of fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// The identity of the voter's folder, if the process has just started or the voter continues with a new folder.
    pub(crate) folder: Option<FolderIdentity>,
    /// The raft library's hard state, if it changed.
    pub(crate) hard_state: Option<Vec<u8>>,
    /// Consecutive entries to store. They replace all stored entries from the first one's index on.
    pub(crate) entries: Vec<StoredEntry>,
    /// The encoded snapshot, if a new one was taken or received.
    pub(crate) snapshot: Option<Vec<u8>>,
    /// Whether all entries stored so far are dropped, because a snapshot from the leader or a checkpoint replaces them.
    pub(crate) replaces_entries: bool,
}

/// An entry of the log, as the raft library encodes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredEntry {
    pub index: u64,
    pub term: u64,
    pub bytes: Vec<u8>,
}

/// Identity of the data folder that a voter runs on, and the present process start on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FolderIdentity {
    /// Name of the broker.
    pub name: String,
    /// Random id drawn when the folder was empty. It is the voter's id in the raft library, so for the library a broker
    /// with a new folder is a new voter, which has not voted or acknowledged anything yet.
    pub id: u64,
    /// Number of process starts on this folder, including the present one.
    pub start_count: u64,
    /// Random number drawn at the present process start.
    pub run_id: u64,
}

/// The content of a voter's folder, assembled from its records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredVoter {
    pub(crate) folder: Option<FolderIdentity>,
    pub(crate) hard_state: Option<Vec<u8>>,
    /// Term and bytes of each entry, by index.
    pub(crate) entries: BTreeMap<u64, (u64, Vec<u8>)>,
    pub(crate) snapshot: Option<Vec<u8>>,
}

/// The state that every broker persists, so that after a restart it can apply the strictest known rules even while it
/// reaches no voter.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The active and the proposed version, as far as the broker knows them.
    pub(crate) versions: Vec<Arc<ConfigVersion>>,
    #[serde(rename = "in_force")]
    pub(crate) active_number: u64,
    /// Replicas whose fills are complete, as segment id and node name.
    #[serde(rename = "done")]
    pub(crate) completed_fills: Vec<(u64, String)>,
    pub(crate) voters: Vec<VoterInfo>,
    #[serde(rename = "voting")]
    pub(crate) voters_number: u64,
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub(crate) fleet_id: u64,
    #[serde(default)]
    pub(crate) epoch: u64,
}

impl WriteBatch {
    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Encodes the batch as a journal record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a write batch can always be serialized")
    }

    /// Whether the batch contains a snapshot, so that the host may rewrite the journal with
    /// [`crate::Voter::checkpoint`] as its only record.
    pub fn is_checkpoint(&self) -> bool {
        self.snapshot.is_some()
    }
}

impl StoredVoter {
    /// The content of an empty folder.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the next record of the journal.
    ///
    /// # Errors
    /// The record is malformed.
    pub fn apply_record(&mut self, bytes: &[u8]) -> Result<(), ConsensusError> {
        let batch =
            postcard::from_bytes(bytes).map_err(|_| ConsensusError::CorruptRecord("a write batch"))?;
        self.apply(batch);
        Ok(())
    }

    fn apply(&mut self, batch: WriteBatch) {
        if let Some(folder) = batch.folder {
            // A new folder id means that the broker continues as a new voter, so the records of its previous folder no
            // longer apply.
            if self.folder.as_ref().is_some_and(|previous| previous.id != folder.id) {
                *self = Self::default();
            }
            self.folder = Some(folder);
        }
        if let Some(snapshot) = batch.snapshot {
            self.snapshot = Some(snapshot);
        }
        if batch.replaces_entries {
            self.entries.clear();
        }
        if let Some(first) = batch.entries.first() {
            self.entries.split_off(&first.index);
        }
        self.entries.extend(batch.entries.into_iter().map(|entry| (entry.index, (entry.term, entry.bytes))));
        if batch.hard_state.is_some() {
            self.hard_state = batch.hard_state;
        }
    }
}

impl PersistedState {
    /// Encodes the state as a document for the folder.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }
}
