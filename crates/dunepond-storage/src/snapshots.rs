//! Snapshots: each is written aside, synced, and takes its name whole; the last two stay.

use std::io;
use std::sync::Arc;

use crate::files::Files;
use crate::format::{self, Fault, HEAD, Head, LONGEST};

const KIND: [u8; 4] = *b"SNAP";
const ENDING: &str = ".snapshot";
const ASIDE: &str = ".aside";
/// Whole ones that stay; the one before the last is there for when the last turns out to be damaged.
const KEPT: usize = 2;

/// What a snapshot holds, and of which version its writer was.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    pub number: u64,
    pub version: u32,
    pub bytes: Vec<u8>,
}

/// The newest that is whole, and every file that is not believed, with why.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    pub newest: Option<Snapshot>,
    pub faults: Vec<(String, Fault)>,
}

pub struct Snapshots {
    files: Arc<dyn Files>,
    name: String,
    version: u32,
    /// Above every number that stands in the folder; known once it has been looked at.
    next: Option<u64>,
}

impl Snapshots {
    /// Snapshots of this name in a folder, written in this version.
    pub fn new(files: Arc<dyn Files>, name: &str, version: u32) -> Self {
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

    fn read_one(&self, name: &str) -> Result<Snapshot, Fault> {
        let bytes = self.files.read(name, LONGEST).map_err(|e| Fault::Unreadable(e.kind()))?;
        let head = format::read_head(KIND, self.version, &bytes)?;
        // Its length is believed only as far as there are bytes for it.
        let rest = &bytes[HEAD.min(bytes.len())..];
        let length = usize::try_from(head.length).map_err(|_| Fault::Damaged)?;
        let (body, sum) =
            (rest.get(..length).ok_or(Fault::Cut)?, format::number(rest, length).ok_or(Fault::Cut)?);
        if crc32fast::hash(body) != u32::from_le_bytes(sum) {
            return Err(Fault::Damaged);
        }
        Ok(Snapshot { number: head.number, version: head.version, bytes: body.to_vec() })
    }

    /// The newest whole one, by its number. A folder that cannot be listed is an error; a file that cannot be read, none.
    pub fn read(&self) -> io::Result<Found> {
        let mut found = Found::default();
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
        self.files.sync()?;
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
                Err(Fault::Future(_) | Fault::Foreign | Fault::Unreadable(_)) => {}
                Ok(_) => drop(self.files.remove(&name)),
                Err(Fault::Cut | Fault::Damaged) if whole >= KEPT => drop(self.files.remove(&name)),
                Err(_) => {}
            }
        }
    }
}
