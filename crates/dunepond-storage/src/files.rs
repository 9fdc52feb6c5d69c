//! The file operations that snapshots and journals need, and their implementation on a directory of the file system.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Name of the file that a process locks while it uses the directory.
const LOCK_FILE: &str = "dunepond.lock";
/// Mode of created files: only the owner may read and write them.
const FILE_MODE: u32 = 0o600;

/// A flat directory of files that are addressed by name. A crash of the machine may lose changes that are not synced yet.
pub trait FileStore: Send + Sync {
    /// Creates a file, or empties an existing one.
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>>;
    /// Opens an existing file for writing at its end.
    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>>;
    /// Reads a whole file; fails if it is longer than `max_bytes`.
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>>;
    /// Renames a file atomically, replacing an existing one.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes all earlier creations, renames and removals of files durable.
    fn sync_directory(&self) -> io::Result<()>;
    /// Lists the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
}

/// A file open for writing.
pub trait WritableFile: Send {
    /// Writes all bytes at the end of the file.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to `length` bytes; the next write appends to them.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Makes everything written to the file durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A [`FileStore`] on a directory of the file system.
pub struct DiskStore {
    path: PathBuf,
    /// The open lock file, whose lock keeps other processes from opening the directory for exclusive use. The kernel
    /// releases the lock when the process ends, even if it crashes. `None` if the directory was opened read-only.
    _lock: Option<File>,
}

impl DiskStore {
    /// Opens a directory for exclusive use. Fails with `WouldBlock` if another process holds the directory's lock.
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

    /// Opens a directory without locking it, to read it while a broker may be using it.
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
        // In append mode, the next write after a truncation goes to the new end of the file.
        Ok(Box::new(OpenOptions::new().append(true).open(self.path.join(name))?))
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        let file = File::open(self.path.join(name))?;
        let mut bytes = Vec::new();
        // Reads one byte more than allowed, to detect a file that is too long.
        file.take(max_bytes + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > max_bytes {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                format!("longer than {max_bytes} bytes"),
            ));
        }
        Ok(bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&self) -> io::Result<()> {
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
