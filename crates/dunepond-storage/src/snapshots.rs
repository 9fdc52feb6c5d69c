//! Snapshots: each is written under a temporary name, synced and renamed. The last two valid snapshots are kept.

use std::io;
use std::sync::Arc;

use crate::files::FileStore;
use crate::format::{self, FileFault, FileKind, HEADER_BYTES, Header, MAX_FILE_BYTES};

const KIND: FileKind = *b"SNAP";
const SUFFIX: &str = ".snapshot";
/// Suffix of the temporary file to which a snapshot is written.
const UNFINISHED_SUFFIX: &str = ".aside";
/// Number of valid snapshots that are kept: the second to last is used if the last one is corrupted.
const RETAINED_COUNT: usize = 2;

/// A valid snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Number of the snapshot, which increases with each snapshot of the same name.
    pub number: u64,
    /// Format version in which the snapshot was written.
    pub format_version: u32,
    /// Payload of the snapshot.
    pub bytes: Vec<u8>,
}

/// The result of loading the snapshots that a directory has under one name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedSnapshots {
    /// The newest valid snapshot; `None` if there is none.
    pub newest: Option<Snapshot>,
    /// Names of snapshot files that cannot be used, with the reason, newest first.
    pub faults: Vec<(String, FileFault)>,
}

/// Reads and writes the snapshots of one name in a directory.
pub struct SnapshotStore {
    files: Arc<dyn FileStore>,
    name: String,
    version: u32,
    /// Number of the next snapshot, above the numbers of all stored snapshots of this name; `None` before the first
    /// write.
    next_number: Option<u64>,
}

impl SnapshotStore {
    /// Creates a store for the snapshots called `name`, which are written in format version `version`.
    pub fn new(files: Arc<dyn FileStore>, name: &str, version: u32) -> Self {
        Self { files, name: name.to_string(), version, next_number: None }
    }

    /// Lists numbers and file names of all snapshots, newest first.
    fn list(&self) -> io::Result<Vec<(u64, String)>> {
        let number = |file: &str| {
            let digits = file.strip_prefix(&self.name)?.strip_prefix('-')?.strip_suffix(SUFFIX)?;
            digits.parse::<u64>().ok()
        };
        let names = self.files.list()?;
        let mut found: Vec<_> =
            names.into_iter().filter_map(|name| number(&name).map(|number| (number, name))).collect();
        found.sort_unstable_by(|a, b| b.cmp(a));
        Ok(found)
    }

    fn read_file(&self, name: &str) -> Result<Snapshot, FileFault> {
        let bytes = self.files.read(name, MAX_FILE_BYTES).map_err(|e| FileFault::Unreadable(e.kind()))?;
        let header = format::decode_header(KIND, self.version, &bytes)?;
        let rest = &bytes[HEADER_BYTES.min(bytes.len())..];
        let length = usize::try_from(header.length).map_err(|_| FileFault::Corrupted)?;
        let payload = rest.get(..length).ok_or(FileFault::Truncated)?;
        let checksum = format::bytes_at(rest, length).ok_or(FileFault::Truncated)?;
        if crc32fast::hash(payload) != u32::from_le_bytes(checksum) {
            return Err(FileFault::Corrupted);
        }
        Ok(Snapshot { number: header.number, format_version: header.version, bytes: payload.to_vec() })
    }

    /// Loads the newest valid snapshot. Fails only if the directory cannot be listed; an unreadable file is reported in
    /// [`LoadedSnapshots::faults`].
    pub fn load(&self) -> io::Result<LoadedSnapshots> {
        let mut loaded = LoadedSnapshots::default();
        for (_, name) in self.list()? {
            match self.read_file(&name) {
                Ok(snapshot) if loaded.newest.is_none() => loaded.newest = Some(snapshot),
                Ok(_) => {}
                Err(fault) => loaded.faults.push((name, fault)),
            }
        }
        Ok(loaded)
    }

    /// Writes the next snapshot durably and returns its number. After an error, earlier snapshots are unchanged.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<u64> {
        let number = match self.next_number {
            Some(next) => next,
            None => self.list()?.first().map_or(1, |(newest, _)| newest.saturating_add(1)),
        };
        let unfinished = format!("{}{UNFINISHED_SUFFIX}", self.name);
        let header = Header { version: self.version, number, length: bytes.len() as u64 };
        let header = format::encode_header(KIND, header);
        let mut file = self.files.create(&unfinished)?;
        file.write_all(&[&header[..], bytes, &crc32fast::hash(bytes).to_le_bytes()].concat())?;
        file.sync()?;
        drop(file);
        self.files.rename(&unfinished, &format!("{}-{number:020}{SUFFIX}", self.name))?;
        // After the rename, a snapshot file with this number may exist even if the sync below fails.
        self.next_number = Some(number.saturating_add(1));
        self.files.sync_directory()?;
        self.prune();
        Ok(number)
    }

    /// Removes all valid snapshots except the last two, and truncated or corrupted ones that are older than those two.
    /// Files of a newer version, of unknown format or that cannot be read are kept. A file that cannot be removed is
    /// left as it is.
    fn prune(&self) {
        let Ok(found) = self.list() else { return };
        let mut valid_count = 0;
        for (_, name) in found {
            match self.read_file(&name) {
                Ok(_) if valid_count < RETAINED_COUNT => valid_count += 1,
                Ok(_) => drop(self.files.remove(&name)),
                Err(FileFault::Truncated | FileFault::Corrupted) if valid_count >= RETAINED_COUNT => {
                    drop(self.files.remove(&name));
                }
                Err(_) => {}
            }
        }
    }
}
