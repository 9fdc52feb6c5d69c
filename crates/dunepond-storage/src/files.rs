//! The calls on a folder that the rest stands on, and a real folder.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A folder of plain files, by their names. What a call has done may be lost in a crash until it is synced.
pub trait FileStore: Send + Sync {
    /// A new file, or an old one emptied.
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>>;
    /// An old file, to be written on behind its last byte.
    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>>;
    /// All of a file, or an error where it holds more than `most` bytes.
    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>>;
    /// One takes another's name, whole or not at all.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Names that were made, changed or removed are there for good.
    fn sync_names(&self) -> io::Result<()>;
    /// All names.
    fn list(&self) -> io::Result<Vec<String>>;
}

/// A file that is written.
pub trait WritableFile: Send {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts it, so that the next write goes behind so many bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// What was written is there for good.
    fn sync(&mut self) -> io::Result<()>;
}

/// A real folder. Who opens it holds a lock in it, until the process has gone however it goes.
pub struct DiskStore {
    path: PathBuf,
    _lock: Option<File>,
}

const LOCK: &str = "dunepond.lock";

impl DiskStore {
    /// Takes a folder for oneself; `WouldBlock` where another process has it.
    pub fn open(path: &Path) -> io::Result<Self> {
        let lock =
            OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(path.join(LOCK))?;
        lock.try_lock().map_err(|e| match e {
            TryLockError::WouldBlock => io::Error::new(io::ErrorKind::WouldBlock, "another broker uses it"),
            TryLockError::Error(e) => e,
        })?;
        Ok(Self { path: path.to_path_buf(), _lock: Some(lock) })
    }

    /// To look at what is there, beside whoever has it.
    pub fn open_read_only(path: &Path) -> io::Result<Self> {
        std::fs::read_dir(path)?;
        Ok(Self { path: path.to_path_buf(), _lock: None })
    }
}

impl FileStore for DiskStore {
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let path = self.path.join(name);
        let file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(path)?;
        Ok(Box::new(file))
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        // Not in append mode only: a cut must move the place of the next write, which this mode does by itself.
        Ok(Box::new(OpenOptions::new().append(true).open(self.path.join(name))?))
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        let file = File::open(self.path.join(name))?;
        let mut bytes = Vec::new();
        file.take(most + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > most {
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
