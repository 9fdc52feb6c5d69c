//! The journal: records appended to one file, each with length, number and checksum. Opening a journal removes what a crash
//! left after the last valid record.

use std::io;
use std::sync::Arc;

use crate::files::{FileStore, WritableFile};
use crate::format::{self, FileFault, FileKind, HEADER_BYTES, Header, MAX_FILE_BYTES};

const KIND: FileKind = *b"JRNL";
const SUFFIX: &str = ".journal";
/// Suffix of the temporary file to which a journal is rewritten, and which is then renamed over the old journal file.
const UNFINISHED_SUFFIX: &str = ".journal-aside";

// Layout of a record's header: payload length (u32) at offset 0, record number (u64) at `NUMBER_AT`, checksum (u32) at
// `CHECKSUM_AT`. Offsets and lengths are in bytes.
const NUMBER_AT: usize = 4;
const CHECKSUM_AT: usize = 12;
const RECORD_HEADER_BYTES: usize = 16;

/// One valid record of a journal.
#[derive(Clone, Debug, PartialEq)]
pub struct JournalRecord {
    /// Number of the record, one more than that of the previous record. Rewrites of the journal continue the numbering.
    pub number: u64,
    /// Payload of the record.
    pub bytes: Vec<u8>,
}

/// The content that a journal had when it was opened or read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredJournal {
    /// All records before the first invalid one.
    pub records: Vec<JournalRecord>,
    /// Why the file, or everything after the valid records, cannot be used; `None` if there is no fault.
    pub fault: Option<FileFault>,
}

/// A journal open for appending.
pub struct Journal {
    files: Arc<dyn FileStore>,
    name: String,
    version: u32,
    /// The open journal file. A failed write or sync sets it to `None`, since it is then unknown where the valid content
    /// of the file ends. It stays `None` until [`Journal::rewrite`] has written a new file.
    file: Option<Box<dyn WritableFile>>,
    next_number: u64,
    length_bytes: u64,
}

/// The valid content at the beginning of a journal file.
struct Scan {
    recovered: RecoveredJournal,
    /// Length of the valid content in bytes, including the header.
    valid_bytes: usize,
    /// Header of the file; `None` if the file does not exist or its header is invalid.
    header: Option<Header>,
}

impl Scan {
    fn invalid(fault: Option<FileFault>) -> Self {
        Self { recovered: RecoveredJournal { records: Vec::new(), fault }, valid_bytes: 0, header: None }
    }
}

fn encode_record(number: u64, payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(RECORD_HEADER_BYTES + payload.len());
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    out.extend_from_slice(&checksum(number, payload).to_le_bytes());
    out.extend_from_slice(payload);
    out
}

/// Computes a record's checksum. The checksum covers the length and the number too, so that a run of zero bytes is not
/// a valid record.
fn checksum(number: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Returns number, checksum and payload of the record at an offset; `None` if `bytes` ends within the record.
fn record_at(bytes: &[u8], offset: usize) -> Option<(u64, u32, &[u8])> {
    let length = u32::from_le_bytes(format::bytes_at(bytes, offset)?) as usize;
    let number = u64::from_le_bytes(format::bytes_at(bytes, offset + NUMBER_AT)?);
    let checksum = u32::from_le_bytes(format::bytes_at(bytes, offset + CHECKSUM_AT)?);
    let start = offset + RECORD_HEADER_BYTES;
    let payload = bytes.get(start..start.checked_add(length)?)?;
    Some((number, checksum, payload))
}

/// Returns the valid records at the beginning of `bytes`, their length in bytes, and the fault that follows them, if any.
fn decode_records(bytes: &[u8], first_number: u64) -> (Vec<JournalRecord>, usize, Option<FileFault>) {
    let (mut records, mut offset, mut expected) = (Vec::new(), 0, first_number);
    while offset < bytes.len() {
        let Some((number, stored_checksum, payload)) = record_at(bytes, offset) else {
            return (records, offset, Some(FileFault::Truncated));
        };
        if stored_checksum != checksum(number, payload) || number != expected {
            return (records, offset, Some(FileFault::Corrupted));
        }
        records.push(JournalRecord { number, bytes: payload.to_vec() });
        offset += RECORD_HEADER_BYTES + payload.len();
        expected += 1;
    }
    (records, offset, None)
}

fn file_name(name: &str) -> String {
    format!("{name}{SUFFIX}")
}

/// Reads the valid content of the journal `name`.
fn scan(files: &dyn FileStore, name: &str, version: u32) -> Scan {
    let bytes = match files.read(&file_name(name), MAX_FILE_BYTES) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Scan::invalid(None),
        Err(e) => return Scan::invalid(Some(FileFault::Unreadable(e.kind()))),
    };
    match format::decode_header(KIND, version, &bytes) {
        Ok(header) => {
            let (records, valid, fault) = decode_records(&bytes[HEADER_BYTES..], header.number);
            let recovered = RecoveredJournal { records, fault };
            Scan { recovered, valid_bytes: HEADER_BYTES + valid, header: Some(header) }
        }
        Err(fault) => Scan::invalid(Some(fault)),
    }
}

fn earlier_call_failed() -> io::Error {
    io::Error::other("an earlier write or sync failed; the journal must be rewritten first")
}

impl Journal {
    /// Reads a journal without changing it or opening it for writing.
    pub fn read(files: &dyn FileStore, name: &str, version: u32) -> RecoveredJournal {
        scan(files, name, version).recovered
    }

    /// Opens the journal `name`, or creates it, and returns it with the records that were found in it. A file of an
    /// earlier format version is rewritten in format `version`. Fails if the file has a newer format version, is not a
    /// journal or cannot be read; the file is then left unchanged.
    pub fn open(files: Arc<dyn FileStore>, name: &str, version: u32) -> io::Result<(Self, RecoveredJournal)> {
        let Scan { recovered, valid_bytes, header } = scan(&*files, name, version);
        if let Some(
            fault @ (FileFault::NewerVersion(_) | FileFault::UnknownFormat | FileFault::Unreadable(_)),
        ) = &recovered.fault
            && header.is_none()
        {
            return Err(io::Error::new(io::ErrorKind::InvalidData, fault.clone()));
        }
        let after_last = recovered.records.last().map(|last| last.number + 1);
        let next_number = after_last.or(header.map(|header| header.number)).unwrap_or(1);
        let length_bytes = valid_bytes as u64;
        let mut journal =
            Self { files, name: name.to_string(), version, file: None, next_number, length_bytes };
        if header.is_some_and(|header| header.version == version) {
            let mut file = journal.files.open_append(&file_name(name))?;
            if recovered.fault.is_some() {
                file.truncate(length_bytes)?;
            }
            journal.file = Some(file);
        } else {
            // The file does not exist, has no valid header, or has an earlier format version. Records of an earlier
            // version are kept.
            let payloads: Vec<_> = recovered.records.iter().map(|record| record.bytes.clone()).collect();
            journal.rewrite(&payloads)?;
        }
        Ok((journal, recovered))
    }

    /// Returns the length of the file in bytes.
    pub fn length(&self) -> u64 {
        self.length_bytes
    }

    /// Appends a record and returns its number. An appended record survives a crash of the process, but survives a
    /// power loss only once [`Journal::sync`] has succeeded. After an error, all further calls fail until
    /// [`Journal::rewrite`] succeeds.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<u64> {
        let mut file = self.file.take().ok_or_else(earlier_call_failed)?;
        let record = encode_record(self.next_number, bytes);
        file.write_all(&record)?;
        self.file = Some(file);
        self.length_bytes += record.len() as u64;
        self.next_number += 1;
        Ok(self.next_number - 1)
    }

    /// Makes all appended records durable. After an error, all further calls fail until [`Journal::rewrite`] succeeds.
    pub fn sync(&mut self) -> io::Result<()> {
        // `self.file` is set again only after success: after a failed sync, the kernel may have dropped written pages.
        let mut file = self.file.take().ok_or_else(earlier_call_failed)?;
        file.sync()?;
        self.file = Some(file);
        Ok(())
    }

    /// Atomically replaces all records of the journal by records with the given payloads. Numbers continue after the last
    /// appended record. After success, the journal can be appended to again even if an earlier call failed.
    pub fn rewrite(&mut self, payloads: &[Vec<u8>]) -> io::Result<()> {
        let unfinished = format!("{}{UNFINISHED_SUFFIX}", self.name);
        let mut file = self.files.create(&unfinished)?;
        let first = self.next_number;
        let header = Header { version: self.version, number: first, length: 0 };
        let mut bytes = format::encode_header(KIND, header).to_vec();
        for (number, payload) in (first..).zip(payloads) {
            bytes.extend_from_slice(&encode_record(number, payload));
        }
        file.write_all(&bytes)?;
        file.sync()?;
        self.files.rename(&unfinished, &file_name(&self.name))?;
        self.files.sync_directory()?;
        (self.file, self.length_bytes) = (Some(file), bytes.len() as u64);
        self.next_number = first + payloads.len() as u64;
        Ok(())
    }
}
