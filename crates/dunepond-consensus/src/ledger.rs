//! The log as the consensus library reads it: in memory, each change also written down for the folder.

use protobuf::Message;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError, util::limit_size};

use crate::{ConsensusError, StoredVoter, WriteBatch};

/// Entries behind the last applied one that a snapshot leaves in the log, for voters that are a little behind.
const TAIL: u64 = 64;
/// Entries after which a snapshot is taken.
const MANY: u64 = 512;

#[derive(Default)]
pub(crate) struct Ledger {
    hard: HardState,
    conf: ConfState,
    /// What stands before the first entry; empty at index 0.
    snapshot: Snapshot,
    /// Without a gap, from one after the snapshot's index or before.
    entries: Vec<Entry>,
    /// Index and term of what is before the first entry.
    before: (u64, u64),
    /// Changes since [`Ledger::save`].
    save: WriteBatch,
}

fn bytes(message: &impl Message) -> Vec<u8> {
    message.write_to_bytes().expect("all fields are set")
}

fn parsed<M: Message>(bytes: &[u8], what: &'static str) -> Result<M, ConsensusError> {
    M::parse_from_bytes(bytes).map_err(|_| ConsensusError::CorruptRecord(what))
}

impl Ledger {
    pub fn open(saved: &StoredVoter) -> Result<Self, ConsensusError> {
        let mut ledger = Self::default();
        if let Some(snapshot) = &saved.snapshot {
            ledger.snapshot = parsed(snapshot, "a snapshot")?;
            let meta = ledger.snapshot.get_metadata();
            ledger.conf = meta.get_conf_state().clone();
            ledger.before = (meta.index, meta.term);
        }
        if let Some(hard) = &saved.hard {
            ledger.hard = parsed(hard, "a hard state")?;
        }
        for (index, (_, data)) in saved.entries.range(ledger.before.0 + 1..) {
            let entry: Entry = parsed(data, "an entry")?;
            if entry.index != *index || *index != ledger.last() + 1 {
                return Err(ConsensusError::CorruptLog("a gap"));
            }
            ledger.entries.push(entry);
        }
        if ledger.hard.commit > ledger.last() {
            return Err(ConsensusError::CorruptLog("lost entries that were agreed on"));
        }
        // A snapshot that came whole while the hard state of before was the last one written.
        ledger.hard.commit = ledger.hard.commit.max(ledger.before.0);
        ledger.hard.term = ledger.hard.term.max(ledger.before.1);
        Ok(ledger)
    }

    /// Entries behind a place of the log.
    pub fn after(&self, index: u64) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |entry| entry.index > index)
    }

    fn last(&self) -> u64 {
        self.entries.last().map_or(self.before.0, |entry| entry.index)
    }

    /// Index and state of the last snapshot; index 0 if there is none.
    pub fn start(&self) -> (u64, &[u8]) {
        (self.snapshot.get_metadata().index, self.snapshot.get_data())
    }

    pub fn set_hard(&mut self, hard: &HardState) {
        self.hard = hard.clone();
        self.save.hard = Some(bytes(hard));
    }

    pub fn set_commit(&mut self, index: u64) {
        self.hard.commit = index;
        self.save.hard = Some(bytes(&self.hard));
    }

    pub fn set_conf(&mut self, conf: ConfState) {
        self.conf = conf;
    }

    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = (first.index - self.before.0 - 1) as usize;
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
        let cut = self.save.entries.partition_point(|(index, ..)| *index < first.index);
        self.save.entries.truncate(cut);
        self.save.entries.extend(entries.iter().map(|entry| (entry.index, entry.term, bytes(entry))));
    }

    /// A snapshot from the leader takes the place of all.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.before = (meta.index, meta.term);
        self.conf = meta.get_conf_state().clone();
        self.entries.clear();
        self.hard.term = self.hard.term.max(meta.term);
        self.hard.commit = meta.index;
        self.save.entries.clear();
        self.save.snapshot = Some(bytes(&snapshot));
        self.save.replaces = true;
        self.save.hard = Some(bytes(&self.hard));
        self.snapshot = snapshot;
    }

    /// Takes a snapshot of what is applied, once the log has grown enough; or `now`, as when the voters have changed:
    /// a new one takes no snapshot in which it does not stand.
    pub fn compact(&mut self, applied: u64, now: bool, state: impl FnOnce() -> Vec<u8>) {
        if !now && applied < self.snapshot.get_metadata().index + MANY {
            return;
        }
        let term = self.term(applied).expect("what is applied is in the log");
        self.snapshot = snapshot(applied, term, self.conf.clone(), state());
        // The folder needs only what is after the snapshot; the tail stays in memory for the others.
        let first = applied.saturating_sub(TAIL).max(self.before.0);
        let term = self.term(first).expect("within the log");
        self.entries.drain(..(first - self.before.0) as usize);
        self.before = (first, term);
        self.save.snapshot = Some(bytes(&self.snapshot));
        self.save.hard = Some(bytes(&self.hard));
    }

    /// All of it, for a journal that starts anew.
    pub fn whole(&self) -> WriteBatch {
        let after = self.snapshot.get_metadata().index;
        let entries = self.entries.iter().filter(|entry| entry.index > after);
        WriteBatch {
            folder: None,
            hard: Some(bytes(&self.hard)),
            entries: entries.map(|entry| (entry.index, entry.term, bytes(entry))).collect(),
            snapshot: (after > 0).then(|| bytes(&self.snapshot)),
            replaces: true,
        }
    }

    pub fn save(&mut self) -> WriteBatch {
        std::mem::take(&mut self.save)
    }
}

pub(crate) fn snapshot(index: u64, term: u64, conf: ConfState, data: Vec<u8>) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = index;
    snapshot.mut_metadata().term = term;
    snapshot.mut_metadata().set_conf_state(conf);
    snapshot.set_data(data.into());
    snapshot
}

impl Storage for Ledger {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.before.0 {
            return Err(StorageError::Compacted.into());
        }
        let at = |index: u64| (index - self.before.0 - 1) as usize;
        let mut entries = self.entries[at(low)..at(high)].to_vec();
        limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.0 {
            return Ok(self.before.1);
        }
        if index < self.before.0 {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get((index - self.before.0 - 1) as usize);
        entry.map(|entry| entry.term).ok_or(StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
