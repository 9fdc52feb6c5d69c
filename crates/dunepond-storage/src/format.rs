//! The byte format of stored files: a header with magic, kind, version, number and length, followed by the payload of a
//! snapshot or by the records of a journal. The header, the payload and each record have their own CRC-32 checksum.
//! Integers are little-endian.

use std::io;

/// Length of the longest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

const MAGIC: [u8; 8] = *b"dunepond";

// Offsets of the header's fields in bytes. The checksum covers all header bytes before the checksum itself.
const KIND_AT: usize = 8;
const VERSION_AT: usize = 12;
const NUMBER_AT: usize = 16;
const LENGTH_AT: usize = 24;
const CHECKSUM_AT: usize = 32;
/// Length of the header in bytes.
pub const HEADER_BYTES: usize = 36;

/// Four bytes in the header that tell snapshots from journals.
pub type FileKind = [u8; 4];

/// Why a file, or its content from some position on, cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileFault {
    /// The magic or the kind in the header is not the expected one.
    #[error("not a dunepond file of the expected kind")]
    UnknownFormat,
    /// The file has this format version, which is newer than the one that this build reads.
    #[error("format version {0} is newer than this build can read")]
    NewerVersion(u32),
    /// The file ends too early, for example because of a crash during a write.
    #[error("truncated")]
    Truncated,
    /// A checksum or a record number does not match.
    #[error("damaged")]
    Corrupted,
    /// Reading the file failed.
    #[error("cannot be read: {0}")]
    Unreadable(io::ErrorKind),
}

/// The fields of a file's header, apart from the magic, the kind and the checksum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// Format version in which the file was written.
    pub version: u32,
    /// Number of the snapshot, or of the first record of a journal.
    pub number: u64,
    /// Payload length of a snapshot in bytes; 0 in a journal.
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

/// Returns the `N` bytes at an offset; `None` if `bytes` ends before the last of them.
pub fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> Option<[u8; N]> {
    bytes.get(offset..offset.checked_add(N)?)?.try_into().ok()
}

/// Decodes the header of a file of the given kind, whose format version must not be above `max_version`.
pub fn decode_header(kind: FileKind, max_version: u32, bytes: &[u8]) -> Result<Header, FileFault> {
    if bytes.len() < VERSION_AT {
        // A crash right after the file's creation leaves a prefix of the header, or an empty file.
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
