//! Detects whether the data directory is a copy, such as a restored backup.
//!
//! A restored backup lacks what the voter promised after the backup was made. The stored incarnation does not reveal
//! that if the backup was made after the broker's last start, as the incarnation changes only at a start. So a file in
//! the directory contains its own inode and creation time, which differ in a copy. A restored disk image is not
//! detected.

use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::UNIX_EPOCH;

/// Name of the file that contains its own inode and creation time.
const FILE_NAME: &str = "origin";

/// Inode and creation time of a file, separated by a space. The time is in nanoseconds since the Unix epoch, or 0 if
/// the file system does not record it.
fn inode_and_creation(path: &Path) -> io::Result<String> {
    let metadata = std::fs::metadata(path)?;
    let created = metadata.created().ok().and_then(|at| at.duration_since(UNIX_EPOCH).ok());
    Ok(format!("{} {}", metadata.ino(), created.map_or(0, |created| created.as_nanos())))
}

/// Whether the directory is a copy. If `is_new`, marks the directory as the original and returns false.
pub fn is_copy(directory: &Path, is_new: bool) -> io::Result<bool> {
    let path = directory.join(FILE_NAME);
    if is_new {
        let _ = std::fs::remove_file(&path);
        let mut file = File::create_new(&path)?;
        file.write_all(inode_and_creation(&path)?.as_bytes())?;
        file.sync_all()?;
        return Ok(false);
    }
    match std::fs::read_to_string(&path) {
        Ok(recorded) => Ok(recorded != inode_and_creation(&path)?),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(true),
        Err(e) => Err(e),
    }
}

#[cfg(test)]
mod tests;
