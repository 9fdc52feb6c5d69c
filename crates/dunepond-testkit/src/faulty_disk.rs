//! Disk folders with injected faults. The fault is named in a file, the faults file, which is read at each call, so
//! that a test can change the fault while the broker runs.
//!
//! The faults file holds one of these words; with any other content, or without the file, the disk works:
//!
//! - `full`: writing calls, which are all but reading and listing, fail with `ENOSPC`.
//! - `brim`: as `full`, but half of the bytes of a write to a [`FaultyFileStore`] are written before it fails.
//! - `quota`, `read-only`, `gone`: writing calls fail with `EDQUOT`, `EROFS` or `ENOENT`.
//! - `broken`: all calls fail with `EIO`.
//! - `unreadable`: reading calls fail with `EIO`.
//! - `short`: writes to a [`FaultySpillFolder`] succeed, but write no bytes.
//! - `little`: reads and writes of a [`FaultySpillFolder`] transfer at most 1000 bytes per call.
//! - `stall SECONDS`: each call is delayed by this time, or by one second if it cannot be parsed.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use std::{fs, thread};

use dunepond_body_buffer::{DiskFolder, SpillFile, SpillFolder};
use dunepond_storage::{FileStore, WritableFile};

/// A folder for spilled bodies with the faults that its faults file names.
pub struct FaultySpillFolder {
    disk: DiskFolder,
    faults_file: PathBuf,
}

impl FaultySpillFolder {
    /// Opens a folder with a faults file.
    ///
    /// # Errors
    /// Returns the error of opening the folder.
    pub fn new(folder: &Path, faults_file: &Path) -> io::Result<Self> {
        Ok(Self {
            disk: DiskFolder::open(folder, &format!("lab{}", std::process::id()))?,
            faults_file: faults_file.to_path_buf(),
        })
    }
}

/// Fails or delays a call as the faults file says. Returns the largest number of bytes that the call may transfer;
/// `None` if there is no limit.
fn apply_fault(faults_file: &Path, reading: bool) -> io::Result<Option<usize>> {
    let text = fs::read_to_string(faults_file).unwrap_or_default();
    let (fault, argument) = text.trim().split_once(' ').unwrap_or((text.trim(), ""));
    let os_error = |code| Err(io::Error::from_raw_os_error(code));
    match fault {
        "full" | "brim" if !reading => os_error(libc::ENOSPC),
        "quota" if !reading => os_error(libc::EDQUOT),
        "read-only" if !reading => os_error(libc::EROFS),
        "gone" if !reading => os_error(libc::ENOENT),
        "broken" => os_error(libc::EIO),
        "unreadable" if reading => os_error(libc::EIO),
        "short" if !reading => Ok(Some(0)),
        // File systems may transfer fewer bytes than requested.
        "little" => Ok(Some(1000)),
        "stall" => {
            thread::sleep(Duration::from_secs_f64(argument.parse().unwrap_or(1.0)));
            Ok(None)
        }
        _ => Ok(None),
    }
}

struct FaultySpillFile {
    file: Box<dyn SpillFile>,
    faults_file: PathBuf,
}

impl SpillFolder for FaultySpillFolder {
    fn create(&self) -> io::Result<Box<dyn SpillFile>> {
        apply_fault(&self.faults_file, false)?;
        Ok(Box::new(FaultySpillFile { file: self.disk.create()?, faults_file: self.faults_file.clone() }))
    }

    fn close(&self) {
        self.disk.close();
    }
}

impl SpillFile for FaultySpillFile {
    fn write_at(&mut self, at: u64, bytes: &[u8]) -> io::Result<usize> {
        match apply_fault(&self.faults_file, false)? {
            Some(max_bytes) if max_bytes < bytes.len() => self.file.write_at(at, &bytes[..max_bytes]),
            _ => self.file.write_at(at, bytes),
        }
    }

    fn read_at(&mut self, at: u64, bytes: &mut [u8]) -> io::Result<usize> {
        match apply_fault(&self.faults_file, true)? {
            Some(max_bytes) if max_bytes < bytes.len() => self.file.read_at(at, &mut bytes[..max_bytes]),
            _ => self.file.read_at(at, bytes),
        }
    }
}

/// A file store on a disk folder with the faults that its faults file names.
pub struct FaultyFileStore {
    path: PathBuf,
    faults_file: PathBuf,
    /// The store on the disk; `None` until the first call.
    store: std::sync::Mutex<Option<Arc<dunepond_storage::DiskStore>>>,
}

impl FaultyFileStore {
    /// Creates a store on a folder with a faults file. The folder is opened at the first call.
    ///
    /// # Errors
    /// Never fails.
    pub fn new(path: &Path, faults_file: &Path) -> io::Result<Self> {
        Ok(Self {
            path: path.to_path_buf(),
            faults_file: faults_file.to_path_buf(),
            store: std::sync::Mutex::new(None),
        })
    }

    /// Applies the fault, then returns the store. The folder is opened here and not in [`FaultyFileStore::new`], so
    /// that the broker handles the error if another process has locked the folder.
    fn store(&self, reading: bool) -> io::Result<Arc<dunepond_storage::DiskStore>> {
        apply_fault(&self.faults_file, reading)?;
        let mut store = self.store.lock().unwrap();
        match &*store {
            Some(store) => Ok(store.clone()),
            None => Ok(store.insert(Arc::new(dunepond_storage::DiskStore::open(&self.path)?)).clone()),
        }
    }
}

impl FileStore for FaultyFileStore {
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let file = self.store(false)?.create(name)?;
        Ok(Box::new(FaultyWritableFile { file, faults_file: self.faults_file.clone() }))
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let file = self.store(false)?.open_append(name)?;
        Ok(Box::new(FaultyWritableFile { file, faults_file: self.faults_file.clone() }))
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        self.store(true)?.read(name, max_bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.store(false)?.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.store(false)?.remove(name)
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.store(false)?.sync_directory()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.store(true)?.list()
    }
}

struct FaultyWritableFile {
    file: Box<dyn WritableFile>,
    faults_file: PathBuf,
}

impl WritableFile for FaultyWritableFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let outcome = apply_fault(&self.faults_file, false);
        if outcome.is_err() && fs::read_to_string(&self.faults_file).is_ok_and(|fault| fault.trim() == "brim")
        {
            // Half of the bytes still fit on the disk.
            self.file.write_all(&bytes[..bytes.len() / 2])?;
        }
        outcome?;
        self.file.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        apply_fault(&self.faults_file, false)?;
        self.file.truncate(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        apply_fault(&self.faults_file, false)?;
        self.file.sync()
    }
}
