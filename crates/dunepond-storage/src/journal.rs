//! A journal: records behind each other in one file, each with its length, number and checksum. What a crash leaves of
//! the last ones is cut off at the next opening.

use std::io;
use std::sync::Arc;

use crate::files::{FileStore, WritableFile};
use crate::format::{self, FileFault, HEAD, Head, MAX_FILE_BYTES};

const KIND: [u8; 4] = *b"JRNL";
const ENDING: &str = ".journal";
const ASIDE: &str = ".journal-aside";
/// Length, number, checksum.
const RECORD: usize = 4 + 8 + 4;

#[derive(Clone, Debug, PartialEq)]
pub struct JournalRecord {
    pub number: u64,
    pub bytes: Vec<u8>,
}

/// What a journal held when it was opened, and why what stood behind that is not believed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredJournal {
    pub records: Vec<JournalRecord>,
    pub fault: Option<FileFault>,
}

pub struct Journal {
    files: Arc<dyn FileStore>,
    name: String,
    version: u32,
    /// Open for more; nothing after a call failed, until it has been written anew.
    file: Option<Box<dyn WritableFile>>,
    next: u64,
    length: u64,
}

/// One record's bytes, behind what came before.
fn record(number: u64, bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(RECORD + bytes.len());
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    out.extend_from_slice(&sum(number, bytes).to_le_bytes());
    out.extend_from_slice(bytes);
    out
}

/// Over its length and number too: a record of zeros is none.
fn sum(number: u64, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(bytes.len() as u32).to_le_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

/// The whole records at the beginning of `bytes`, and how far they go.
fn records(bytes: &[u8], first: u64) -> (Vec<JournalRecord>, usize, Option<FileFault>) {
    let (mut found, mut at, mut expected) = (Vec::new(), 0, first);
    while at < bytes.len() {
        let head = (|| {
            let length = u32::from_le_bytes(format::number(bytes, at)?) as usize;
            let number = u64::from_le_bytes(format::number(bytes, at + 4)?);
            let sum = u32::from_le_bytes(format::number(bytes, at + 12)?);
            let body = bytes.get(at + RECORD..(at + RECORD).checked_add(length)?)?;
            Some((number, sum, body))
        })();
        let Some((number, told, body)) = head else { return (found, at, Some(FileFault::Truncated)) };
        if told != sum(number, body) || number != expected {
            return (found, at, Some(FileFault::Corrupted));
        }
        found.push(JournalRecord { number, bytes: body.to_vec() });
        at += RECORD + body.len();
        expected += 1;
    }
    (found, at, None)
}

impl Journal {
    fn file_name(name: &str) -> String {
        format!("{name}{ENDING}")
    }

    /// What a journal holds, without opening it for more.
    pub fn read(files: &dyn FileStore, name: &str, version: u32) -> RecoveredJournal {
        Self::look(files, name, version).0
    }

    /// What it holds, how far that goes, and its head.
    fn look(files: &dyn FileStore, name: &str, version: u32) -> (RecoveredJournal, usize, Option<Head>) {
        let bytes = match files.read(&Self::file_name(name), MAX_FILE_BYTES) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return (RecoveredJournal::default(), 0, None),
            Err(e) => {
                let fault = Some(FileFault::Unreadable(e.kind()));
                return (RecoveredJournal { records: Vec::new(), fault }, 0, None);
            }
        };
        match format::read_head(KIND, version, &bytes) {
            Ok(head) => {
                let (records, used, fault) = records(&bytes[HEAD..], head.number);
                (RecoveredJournal { records, fault }, HEAD + used, Some(head))
            }
            Err(fault) => (RecoveredJournal { records: Vec::new(), fault: Some(fault) }, 0, None),
        }
    }

    /// Opens a journal, or begins one. One of a later version, or not ours, is left alone, and nothing is written.
    pub fn open(files: Arc<dyn FileStore>, name: &str, version: u32) -> io::Result<(Self, RecoveredJournal)> {
        let (recovered, used, head) = Self::look(&*files, name, version);
        if let Some(
            fault @ (FileFault::NewerVersion(_) | FileFault::UnknownFormat | FileFault::Unreadable(_)),
        ) = &recovered.fault
            && head.is_none()
        {
            return Err(io::Error::new(io::ErrorKind::InvalidData, fault.clone()));
        }
        let next = recovered.records.last().map(|last| last.number + 1);
        let next = next.or(head.map(|head| head.number)).unwrap_or(1);
        let mut journal =
            Self { files, name: name.to_string(), version, file: None, next, length: used as u64 };
        if head.is_some_and(|head| head.version == version) {
            let mut file = journal.files.open_append(&Self::file_name(name))?;
            if recovered.fault.is_some() {
                file.truncate(used as u64)?;
            }
            journal.file = Some(file);
        } else {
            // None, one of which nothing is whole, or one of an earlier version, whose records go into a new file.
            let kept: Vec<_> = recovered.records.iter().map(|record| record.bytes.clone()).collect();
            journal.rewrite(&kept)?;
        }
        Ok((journal, recovered))
    }

    /// Bytes of its file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Puts a record behind the others. It outlasts the process from then on, and the machine once synced. After an
    /// error nothing more is taken before [`Journal::rewrite`]: what the file ends with is not known.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<u64> {
        let mut file = self.file.take().ok_or_else(|| io::Error::other("an earlier record failed"))?;
        let record = record(self.next, bytes);
        file.write_all(&record)?;
        self.file = Some(file);
        self.length += record.len() as u64;
        self.next += 1;
        Ok(self.next - 1)
    }

    pub fn sync(&mut self) -> io::Result<()> {
        let mut file = self.file.take().ok_or_else(|| io::Error::other("an earlier record failed"))?;
        // What a failed sync has left is not known, so the file is not written on.
        file.sync()?;
        self.file = Some(file);
        Ok(())
    }

    /// Begins anew with these records, in a file that takes the old one's place whole.
    pub fn rewrite(&mut self, kept: &[Vec<u8>]) -> io::Result<()> {
        let aside = format!("{}{ASIDE}", self.name);
        let mut file = self.files.create(&aside)?;
        let first = self.next;
        let mut bytes = format::head(KIND, Head { version: self.version, number: first, length: 0 }).to_vec();
        for (number, body) in (first..).zip(kept) {
            bytes.extend_from_slice(&record(number, body));
        }
        file.write_all(&bytes)?;
        file.sync()?;
        self.files.rename(&aside, &Self::file_name(&self.name))?;
        self.files.sync_names()?;
        (self.file, self.length) = (Some(file), bytes.len() as u64);
        self.next = first + kept.len() as u64;
        Ok(())
    }
}
