//! The storage from which the raft library reads the log. The log is kept in memory, and each change is also added to a
//! batch that the host stores in the voter's data folder.

use protobuf::Message;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError, util::limit_size};

use crate::persistence::StoredEntry;
use crate::{ConsensusError, StoredVoter, WriteBatch};

/// Number of entries before a snapshot that are retained in memory, so that followers that lag a little need no
/// snapshot.
const RETAINED_ENTRY_COUNT: u64 = 64;
/// Once this many entries have been applied since the last snapshot, the next one is taken.
const SNAPSHOT_ENTRY_COUNT: u64 = 512;

#[derive(Clone, Copy, Default)]
struct LogPosition {
    index: u64,
    term: u64,
}

#[derive(Default)]
pub(crate) struct LogStorage {
    hard_state: HardState,
    conf_state: ConfState,
    /// The last snapshot; if there is none, an empty one with index 0.
    snapshot: Snapshot,
    /// Consecutive entries; the first one directly follows `compacted`.
    entries: Vec<Entry>,
    /// Position directly before the first retained entry. It is the position of the snapshot or an earlier one.
    compacted: LogPosition,
    /// Changes since the last [`LogStorage::take_batch`].
    batch: WriteBatch,
}

/// When [`LogStorage::compact`] takes a snapshot.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum SnapshotPolicy {
    /// A snapshot is taken only if at least [`SNAPSHOT_ENTRY_COUNT`] entries were applied since the last one.
    WhenLong,
    /// A snapshot is taken regardless of the length of the log.
    Now,
}

fn encode(message: &impl Message) -> Vec<u8> {
    message.write_to_bytes().expect("all required fields are set")
}

fn decode<M: Message>(bytes: &[u8], what: &'static str) -> Result<M, ConsensusError> {
    M::parse_from_bytes(bytes).map_err(|_| ConsensusError::CorruptRecord(what))
}

fn to_stored(entry: &Entry) -> StoredEntry {
    StoredEntry { index: entry.index, term: entry.term, bytes: encode(entry) }
}

impl LogStorage {
    pub fn open(stored: &StoredVoter) -> Result<Self, ConsensusError> {
        let mut log = Self::default();
        if let Some(snapshot) = &stored.snapshot {
            log.snapshot = decode(snapshot, "a snapshot")?;
            let meta = log.snapshot.get_metadata();
            log.conf_state = meta.get_conf_state().clone();
            log.compacted = LogPosition { index: meta.index, term: meta.term };
        }
        if let Some(hard_state) = &stored.hard_state {
            log.hard_state = decode(hard_state, "a hard state")?;
        }
        for (index, (_, bytes)) in stored.entries.range(log.compacted.index + 1..) {
            let entry: Entry = decode(bytes, "an entry")?;
            if entry.index != *index || *index != log.end_index() + 1 {
                return Err(ConsensusError::CorruptLog("a gap"));
            }
            log.entries.push(entry);
        }
        // The log ends before the commit index, so it lacks entries that this voter acknowledged. If the voter voted
        // without them, committed entries could be lost.
        if log.hard_state.commit > log.end_index() {
            return Err(ConsensusError::CorruptLog("lost entries that were committed"));
        }
        // The hard state may be older than a snapshot from the leader.
        log.hard_state.commit = log.hard_state.commit.max(log.compacted.index);
        log.hard_state.term = log.hard_state.term.max(log.compacted.term);
        Ok(log)
    }

    pub fn entries_after(&self, index: u64) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |entry| entry.index > index)
    }

    fn end_index(&self) -> u64 {
        self.entries.last().map_or(self.compacted.index, |entry| entry.index)
    }

    /// Index and data of the last snapshot; the index is 0 if there is none.
    pub fn last_snapshot(&self) -> (u64, &[u8]) {
        (self.snapshot.get_metadata().index, self.snapshot.get_data())
    }

    pub fn set_hard_state(&mut self, hard_state: &HardState) {
        self.hard_state = hard_state.clone();
        self.batch.hard_state = Some(encode(hard_state));
    }

    pub fn set_commit(&mut self, index: u64) {
        self.hard_state.commit = index;
        self.batch.hard_state = Some(encode(&self.hard_state));
    }

    pub fn set_conf_state(&mut self, conf_state: ConfState) {
        self.conf_state = conf_state;
    }

    /// Appends `entries`, and first drops all entries from the index of the first one on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.entries.truncate(self.offset(first.index));
        self.entries.extend_from_slice(entries);
        let kept = self.batch.entries.partition_point(|entry| entry.index < first.index);
        self.batch.entries.truncate(kept);
        self.batch.entries.extend(entries.iter().map(to_stored));
    }

    fn offset(&self, index: u64) -> usize {
        (index - self.compacted.index - 1) as usize
    }

    /// Drops all entries of the log and replaces them with `snapshot`.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.compacted = LogPosition { index: meta.index, term: meta.term };
        self.conf_state = meta.get_conf_state().clone();
        self.entries.clear();
        self.hard_state.term = self.hard_state.term.max(meta.term);
        self.hard_state.commit = meta.index;
        self.batch.entries.clear();
        self.batch.snapshot = Some(encode(&snapshot));
        self.batch.replaces_entries = true;
        self.batch.hard_state = Some(encode(&self.hard_state));
        self.snapshot = snapshot;
    }

    /// Takes a snapshot of the applied state according to `policy`, and drops the entries before it except for the last
    /// [`RETAINED_ENTRY_COUNT`]. After a change of voters a snapshot is taken at once, since a new voter accepts no
    /// snapshot in which it is not listed.
    pub fn compact(&mut self, applied: u64, policy: SnapshotPolicy, state: impl FnOnce() -> Vec<u8>) {
        let is_long = applied >= self.snapshot.get_metadata().index + SNAPSHOT_ENTRY_COUNT;
        if policy == SnapshotPolicy::WhenLong && !is_long {
            return;
        }
        let term = self.term(applied).expect("applied entries are in the log or at its start");
        self.snapshot = snapshot(applied, term, self.conf_state.clone(), state());
        let index = applied.saturating_sub(RETAINED_ENTRY_COUNT).max(self.compacted.index);
        let term = self.term(index).expect("the index is within the log");
        self.entries.drain(..(index - self.compacted.index) as usize);
        self.compacted = LogPosition { index, term };
        self.batch.snapshot = Some(encode(&self.snapshot));
        self.batch.hard_state = Some(encode(&self.hard_state));
    }

    /// The complete content of the storage as one batch, which the host may write to the journal in place of all
    /// earlier records.
    pub fn checkpoint(&self) -> WriteBatch {
        let after = self.snapshot.get_metadata().index;
        WriteBatch {
            folder: None,
            hard_state: Some(encode(&self.hard_state)),
            entries: self.entries_after(after).map(to_stored).collect(),
            snapshot: (after > 0).then(|| encode(&self.snapshot)),
            replaces_entries: true,
        }
    }

    pub fn take_batch(&mut self) -> WriteBatch {
        std::mem::take(&mut self.batch)
    }
}

pub(crate) fn snapshot(index: u64, term: u64, conf_state: ConfState, data: Vec<u8>) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = index;
    snapshot.mut_metadata().term = term;
    snapshot.mut_metadata().set_conf_state(conf_state);
    snapshot.set_data(data.into());
    snapshot
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.conf_state.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.compacted.index {
            return Err(StorageError::Compacted.into());
        }
        let mut entries = self.entries[self.offset(low)..self.offset(high)].to_vec();
        limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted.index {
            return Ok(self.compacted.term);
        }
        if index < self.compacted.index {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get(self.offset(index));
        entry.map(|entry| entry.term).ok_or(StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.end_index())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
