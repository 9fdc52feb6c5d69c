//! The bytes of a file: a head with kind, version, number and length, then what it is about, each with its checksum.

use std::io;

/// Files of ours are never longer.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

const MAGIC: [u8; 8] = *b"dunepond";
/// Magic, kind, version, number, length, checksum.
pub const HEAD: usize = 8 + 4 + 4 + 8 + 8 + 4;

/// Why a file, or the rest of one, is not believed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileFault {
    #[error("not a file of ours")]
    UnknownFormat,
    #[error("of version {0}, which is later than ours")]
    NewerVersion(u32),
    #[error("cut off")]
    Truncated,
    #[error("damaged")]
    Corrupted,
    #[error("cannot be read: {0}")]
    Unreadable(io::ErrorKind),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Head {
    pub version: u32,
    pub number: u64,
    pub length: u64,
}

pub fn head(kind: [u8; 4], head: Head) -> [u8; HEAD] {
    let mut bytes = [0; HEAD];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..12].copy_from_slice(&kind);
    bytes[12..16].copy_from_slice(&head.version.to_le_bytes());
    bytes[16..24].copy_from_slice(&head.number.to_le_bytes());
    bytes[24..32].copy_from_slice(&head.length.to_le_bytes());
    let sum = crc32fast::hash(&bytes[..32]);
    bytes[32..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

pub fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at.checked_add(N)?)?.try_into().ok()
}

/// The head of a file of this kind and of no later version than this.
pub fn read_head(kind: [u8; 4], version: u32, bytes: &[u8]) -> Result<Head, FileFault> {
    if bytes.len() < 12 {
        // Not even its name: an empty file is what a crash leaves of one just made.
        let ours = MAGIC.iter().chain(&kind).zip(bytes).all(|(a, b)| a == b);
        return Err(if ours { FileFault::Truncated } else { FileFault::UnknownFormat });
    }
    if bytes[..8] != MAGIC || bytes[8..12] != kind {
        return Err(FileFault::UnknownFormat);
    }
    let sum = number(bytes, 32).map(u32::from_le_bytes).ok_or(FileFault::Truncated)?;
    if crc32fast::hash(&bytes[..32]) != sum {
        return Err(FileFault::Corrupted);
    }
    let of = |at| number(bytes, at).map(u64::from_le_bytes).ok_or(FileFault::Truncated);
    let found = number(bytes, 12).map(u32::from_le_bytes).ok_or(FileFault::Truncated)?;
    if found > version {
        return Err(FileFault::NewerVersion(found));
    }
    Ok(Head { version: found, number: of(16)?, length: of(24)? })
}
