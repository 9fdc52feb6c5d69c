//! The byte format of stored files: a header with magic, kind, version, number and length, then the payload, each with
//! its CRC-32. Integers are little-endian.

use std::io;

/// Longest file that is written or read, bytes.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

const MAGIC: [u8; 8] = *b"dunepond";

// Offsets in the header; the checksum covers everything before it.
const KIND_AT: usize = 8;
const VERSION_AT: usize = 12;
const NUMBER_AT: usize = 16;
const LENGTH_AT: usize = 24;
const CHECKSUM_AT: usize = 32;
/// Length of the header.
pub const HEADER_BYTES: usize = 36;

/// Distinguishes snapshots from journals.
pub type FileKind = [u8; 4];

/// Why a file, or the rest of one, is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileFault {
    /// Magic or kind is another one: not written by this program.
    #[error("not a file of ours")]
    UnknownFormat,
    /// Written by a newer build, in this format version.
    #[error("of version {0}, which is later than ours")]
    NewerVersion(u32),
    /// Ends too early, as a crash during a write leaves it.
    #[error("cut off")]
    Truncated,
    /// A checksum or a number does not match.
    #[error("damaged")]
    Corrupted,
    /// The read itself failed.
    #[error("cannot be read: {0}")]
    Unreadable(io::ErrorKind),
}

/// The variable fields of a file's header.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// Format version of the writer.
    pub version: u32,
    /// A snapshot's own number; of a journal, its first record's.
    pub number: u64,
    /// Payload length of a snapshot, bytes; 0 in a journal.
    pub length: u64,
}

/// Encodes the header of a file.
pub fn encode_header(kind: FileKind, header: Header) -> [u8; HEADER_BYTES] {
    let mut bytes = [0; HEADER_BYTES];
    bytes[..KIND_AT].copy_from_slice(&MAGIC);
    bytes[KIND_AT..VERSION_AT].copy_from_slice(&kind);
    bytes[VERSION_AT..NUMBER_AT].copy_from_slice(&header.version.to_le_bytes());
    bytes[NUMBER_AT..LENGTH_AT].copy_from_slice(&header.number.to_le_bytes());
    bytes[LENGTH_AT..CHECKSUM_AT].copy_from_slice(&header.length.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..CHECKSUM_AT]);
    bytes[CHECKSUM_AT..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// The `N` bytes at an offset, if they are there.
pub fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> Option<[u8; N]> {
    bytes.get(offset..offset.checked_add(N)?)?.try_into().ok()
}

/// Decodes the header of a file of this kind, written in `max_version` or an earlier one.
pub fn decode_header(kind: FileKind, max_version: u32, bytes: &[u8]) -> Result<Header, FileFault> {
    if bytes.len() < VERSION_AT {
        // A crash right after the creation leaves a prefix of our header, or nothing.
        let is_prefix = MAGIC.iter().chain(&kind).zip(bytes).all(|(a, b)| a == b);
        return Err(if is_prefix { FileFault::Truncated } else { FileFault::UnknownFormat });
    }
    if bytes[..KIND_AT] != MAGIC || bytes[KIND_AT..VERSION_AT] != kind {
        return Err(FileFault::UnknownFormat);
    }
    let checksum = bytes_at(bytes, CHECKSUM_AT).map(u32::from_le_bytes).ok_or(FileFault::Truncated)?;
    if crc32fast::hash(&bytes[..CHECKSUM_AT]) != checksum {
        return Err(FileFault::Corrupted);
    }
    let integer_at = |offset| bytes_at(bytes, offset).map(u64::from_le_bytes).ok_or(FileFault::Truncated);
    let version = bytes_at(bytes, VERSION_AT).map(u32::from_le_bytes).ok_or(FileFault::Truncated)?;
    if version > max_version {
        return Err(FileFault::NewerVersion(version));
    }
    Ok(Header { version, number: integer_at(NUMBER_AT)?, length: integer_at(LENGTH_AT)? })
}
