//! Snapshots: each is written aside, synced, and takes its name whole; the last two stay.

use std::io;
use std::sync::Arc;

use crate::files::FileStore;
use crate::format::{self, FileFault, HEAD, Head, MAX_FILE_BYTES};

const KIND: [u8; 4] = *b"SNAP";
const ENDING: &str = ".snapshot";
const ASIDE: &str = ".aside";
/// Whole ones that stay; the one before the last is there for when the last turns out to be damaged.
const KEPT: usize = 2;

/// What a snapshot holds, and of which version its writer was.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    pub number: u64,
    pub format_version: u32,
    pub bytes: Vec<u8>,
}

/// The newest that is whole, and every file that is not believed, with why.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedSnapshots {
    pub newest: Option<Snapshot>,
    pub faults: Vec<(String, FileFault)>,
}

pub struct SnapshotStore {
    files: Arc<dyn FileStore>,
    name: String,
    version: u32,
    /// Above every number that stands in the folder; known once it has been looked at.
    next: Option<u64>,
}

impl SnapshotStore {
    /// Snapshots of this name in a folder, written in this version.
    pub fn new(files: Arc<dyn FileStore>, name: &str, version: u32) -> Self {
        Self { files, name: name.to_string(), version, next: None }
    }

    /// Files of this name by their numbers, the newest first.
    fn numbered(&self) -> io::Result<Vec<(u64, String)>> {
        let number = |file: &str| {
            let digits = file.strip_prefix(&self.name)?.strip_prefix('-')?.strip_suffix(ENDING)?;
            digits.parse::<u64>().ok()
        };
        let names = self.files.list()?;
        let mut found: Vec<_> =
            names.into_iter().filter_map(|name| number(&name).map(|number| (number, name))).collect();
        found.sort_unstable_by(|a, b| b.cmp(a));
        Ok(found)
    }

    fn read_one(&self, name: &str) -> Result<Snapshot, FileFault> {
        let bytes = self.files.read(name, MAX_FILE_BYTES).map_err(|e| FileFault::Unreadable(e.kind()))?;
        let head = format::read_head(KIND, self.version, &bytes)?;
        // Its length is believed only as far as there are bytes for it.
        let rest = &bytes[HEAD.min(bytes.len())..];
        let length = usize::try_from(head.length).map_err(|_| FileFault::Corrupted)?;
        let (body, sum) = (
            rest.get(..length).ok_or(FileFault::Truncated)?,
            format::number(rest, length).ok_or(FileFault::Truncated)?,
        );
        if crc32fast::hash(body) != u32::from_le_bytes(sum) {
            return Err(FileFault::Corrupted);
        }
        Ok(Snapshot { number: head.number, format_version: head.version, bytes: body.to_vec() })
    }

    /// The newest whole one, by its number. A folder that cannot be listed is an error; a file that cannot be read, none.
    pub fn load(&self) -> io::Result<LoadedSnapshots> {
        let mut found = LoadedSnapshots::default();
        for (_, name) in self.numbered()? {
            match self.read_one(&name) {
                Ok(snapshot) if found.newest.is_none() => found.newest = Some(snapshot),
                Ok(_) => {}
                Err(fault) => found.faults.push((name, fault)),
            }
        }
        Ok(found)
    }

    /// Writes the next one; on an error what was there before is there still.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<u64> {
        let number = match self.next {
            Some(next) => next,
            None => self.numbered()?.first().map_or(1, |(newest, _)| newest.saturating_add(1)),
        };
        let aside = format!("{}{ASIDE}", self.name);
        let head = Head { version: self.version, number, length: bytes.len() as u64 };
        let mut file = self.files.create(&aside)?;
        let whole = [&format::head(KIND, head)[..], bytes, &crc32fast::hash(bytes).to_le_bytes()].concat();
        file.write_all(&whole)?;
        file.sync()?;
        drop(file);
        self.files.rename(&aside, &format!("{}-{number:020}{ENDING}", self.name))?;
        // From here on a number may be taken even where the call failed.
        self.next = Some(number.saturating_add(1));
        self.files.sync_names()?;
        self.prune();
        Ok(number)
    }

    /// Whole ones before the last two go, and damaged ones that are older than those. One that cannot be removed stays,
    /// and one of a later version always.
    fn prune(&self) {
        let Ok(numbered) = self.numbered() else { return };
        let mut whole = 0;
        for (_, name) in numbered {
            match self.read_one(&name) {
                Ok(_) if whole < KEPT => whole += 1,
                Err(FileFault::NewerVersion(_) | FileFault::UnknownFormat | FileFault::Unreadable(_)) => {}
                Ok(_) => drop(self.files.remove(&name)),
                Err(FileFault::Truncated | FileFault::Corrupted) if whole >= KEPT => {
                    drop(self.files.remove(&name))
                }
                Err(_) => {}
            }
        }
    }
}
