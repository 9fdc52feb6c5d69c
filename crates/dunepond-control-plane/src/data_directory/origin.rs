//! Tells a copied data directory from the one that was written in its place.
//!
//! A restored backup lacks what the voter has promised since, and the number of starts does not show it if the backup was made
//! during the last run. So a file in the directory holds its own inode and creation time, which differ in a copy. An image
//! of the whole disk is not detected.

use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::UNIX_EPOCH;

const FILE_NAME: &str = "origin";

/// Inode and creation time in nanoseconds since 1970, 0 where the file system does not record it.
fn inode_and_creation(path: &Path) -> io::Result<String> {
    let metadata = std::fs::metadata(path)?;
    let created = metadata.created().ok().and_then(|at| at.duration_since(UNIX_EPOCH).ok());
    Ok(format!("{} {}", metadata.ino(), created.map_or(0, |created| created.as_nanos())))
}

/// Whether the directory is a copy. `is_new`: it is empty, and is marked as the original now.
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
        Ok(marked) => Ok(marked != inode_and_creation(&path)?),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(true),
        Err(e) => Err(e),
    }
}

#[cfg(test)]
mod tests;
