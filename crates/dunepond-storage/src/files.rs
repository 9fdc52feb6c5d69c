//! The file operations that snapshots and journals need, and their implementation on a real directory.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// File that the process using the directory holds locked.
const LOCK_FILE: &str = "dunepond.lock";
/// Only the owner may read and write what is stored.
const FILE_MODE: u32 = 0o600;

/// A flat directory of files, addressed by name. A change may be lost in a crash until it is synced.
pub trait FileStore: Send + Sync {
    /// Creates a file, or empties an existing one.
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>>;
    /// Opens an existing file to write behind its last byte.
    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>>;
    /// Reads a whole file; an error where it is longer than `max_bytes`.
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>>;
    /// Renames a file atomically, replacing an existing one.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    fn sync_names(&self) -> io::Result<()>;
    /// Lists all names.
    fn list(&self) -> io::Result<Vec<String>>;
}

/// A file open for writing.
pub trait WritableFile: Send {
    /// Writes all bytes at the end of the file.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to `length` bytes; the next write goes there.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Makes what was written durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A real directory.
pub struct DiskStore {
    path: PathBuf,
    /// Held for as long as the process lives; the kernel releases it however the process ends.
    _lock: Option<File>,
}

impl DiskStore {
    /// Opens a directory for exclusive use. Fails with `WouldBlock` where another process holds its lock.
    pub fn open(path: &Path) -> io::Result<Self> {
        let lock = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .mode(FILE_MODE)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock().map_err(|e| match e {
            TryLockError::WouldBlock => io::Error::new(io::ErrorKind::WouldBlock, "another broker uses it"),
            TryLockError::Error(e) => e,
        })?;
        Ok(Self { path: path.to_path_buf(), _lock: Some(lock) })
    }

    /// Opens a directory without its lock, to read beside a running broker.
    pub fn open_read_only(path: &Path) -> io::Result<Self> {
        std::fs::read_dir(path)?;
        Ok(Self { path: path.to_path_buf(), _lock: None })
    }
}

impl FileStore for DiskStore {
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let path = self.path.join(name);
        let file = OpenOptions::new().write(true).create(true).truncate(true).mode(FILE_MODE).open(path)?;
        Ok(Box::new(file))
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        // Append mode, so that after a truncation the next write goes to the new end.
        Ok(Box::new(OpenOptions::new().append(true).open(self.path.join(name))?))
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        let file = File::open(self.path.join(name))?;
        let mut bytes = Vec::new();
        // One byte more than allowed is read, so that a file that is too long is not taken for a whole one.
        file.take(max_bytes + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > max_bytes {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "longer than any of ours"));
        }
        Ok(bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name()));
        let names: Vec<_> = entries.collect::<io::Result<_>>()?;
        Ok(names.into_iter().filter_map(|name| name.into_string().ok()).collect())
    }
}

impl WritableFile for File {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        Write::write_all(self, bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }
}
