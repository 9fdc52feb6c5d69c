//! Tells a copied data directory from the one that was written in its place.
//!
//! A backup that is put back lacks what the voter has promised since, and neither the number of starts nor the fleet's
//! incarnation tells where it was made during the same run. So a file in the directory holds its own inode and creation
//! time, which no copy has in common with it. An image of the whole disk has.

use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::UNIX_EPOCH;

const FILE_NAME: &str = "origin";

/// Inode and creation time in nanoseconds since 1970, 0 where the file system does not tell.
fn place_of(path: &Path) -> io::Result<String> {
    let metadata = std::fs::metadata(path)?;
    let created = metadata.created().ok().and_then(|at| at.duration_since(UNIX_EPOCH).ok());
    Ok(format!("{} {}", metadata.ino(), created.map_or(0, |created| created.as_nanos())))
}

/// Whether the directory is a copy. `is_new`: nothing stands in it, and it is marked as the original now.
pub fn is_copy(directory: &Path, is_new: bool) -> io::Result<bool> {
    let path = directory.join(FILE_NAME);
    if is_new {
        let _ = std::fs::remove_file(&path);
        let mut file = File::create_new(&path)?;
        file.write_all(place_of(&path)?.as_bytes())?;
        file.sync_all()?;
        return Ok(false);
    }
    match std::fs::read_to_string(&path) {
        Ok(marked) => Ok(marked != place_of(&path)?),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(true),
        Err(e) => Err(e),
    }
}

#[cfg(test)]
mod tests;
