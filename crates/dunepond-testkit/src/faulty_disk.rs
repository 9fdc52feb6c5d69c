//! Folders whose disk fails as a file says, which is read at each call, so that a test can change it under a running broker.
//!
//! The file holds one word: `full` (no space), `brim` (no space, half of a write done), `quota`, `read-only`, `gone`, `broken`
//! (any call fails), `unreadable`, `short` (writes nothing), `little` (1000 bytes at a time) or `stall SECONDS`. Without one of these
//! the disk works.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use std::{fs, thread};

use dunepond_body_buffer::{DiskFolder, SpillFile, SpillFolder};
use dunepond_storage::{FileStore, WritableFile};

/// A folder for spilled bodies that fails as its file says.
pub struct FaultySpillFolder {
    disk: DiskFolder,
    faults_file: PathBuf,
}

impl FaultySpillFolder {
    /// On a folder, with the file that says how it fails.
    ///
    /// # Errors
    /// Where the folder cannot be opened.
    pub fn new(folder: &Path, faults_file: &Path) -> io::Result<Self> {
        Ok(Self {
            disk: DiskFolder::open(folder, &format!("lab{}", std::process::id()))?,
            faults_file: faults_file.to_path_buf(),
        })
    }
}

/// Fails or delays a call as the file says; the most bytes that it may transfer, if that is limited.
fn apply_fault(faults_file: &Path, reading: bool) -> io::Result<Option<usize>> {
    let text = fs::read_to_string(faults_file).unwrap_or_default();
    let (fault, argument) = text.trim().split_once(' ').unwrap_or((text.trim(), ""));
    let error = |code| Err(io::Error::from_raw_os_error(code));
    match fault {
        "full" | "brim" if !reading => error(libc::ENOSPC),
        "quota" if !reading => error(libc::EDQUOT),
        "read-only" if !reading => error(libc::EROFS),
        "gone" if !reading => error(libc::ENOENT),
        "broken" => error(libc::EIO),
        "unreadable" if reading => error(libc::EIO),
        "short" if !reading => Ok(Some(0)),
        // A few bytes at a time, as a file system may.
        "little" => Ok(Some(1000)),
        "stall" => {
            thread::sleep(Duration::from_secs_f64(argument.parse().unwrap_or(1.0)));
            Ok(None)
        }
        _ => Ok(None),
    }
}

struct FaultySpillFile {
    volume: Box<dyn SpillFile>,
    faults_file: PathBuf,
}

impl SpillFolder for FaultySpillFolder {
    fn create(&self) -> io::Result<Box<dyn SpillFile>> {
        apply_fault(&self.faults_file, false)?;
        Ok(Box::new(FaultySpillFile { volume: self.disk.create()?, faults_file: self.faults_file.clone() }))
    }

    fn close(&self) {
        self.disk.close();
    }
}

impl SpillFile for FaultySpillFile {
    fn write_at(&mut self, at: u64, bytes: &[u8]) -> io::Result<usize> {
        match apply_fault(&self.faults_file, false)? {
            Some(most) if most < bytes.len() => self.volume.write_at(at, &bytes[..most]),
            _ => self.volume.write_at(at, bytes),
        }
    }

    fn read_at(&mut self, at: u64, bytes: &mut [u8]) -> io::Result<usize> {
        match apply_fault(&self.faults_file, true)? {
            Some(most) if most < bytes.len() => self.volume.read_at(at, &mut bytes[..most]),
            _ => self.volume.read_at(at, bytes),
        }
    }
}

/// A folder of files that fails in the same ways.
pub struct FaultyFileStore {
    path: PathBuf,
    faults_file: PathBuf,
    folder: std::sync::Mutex<Option<Arc<dunepond_storage::DiskStore>>>,
}

impl FaultyFileStore {
    /// On a folder, with the file that says how it fails; the folder is opened at the first call.
    pub fn new(path: &Path, faults_file: &Path) -> io::Result<Self> {
        Ok(Self {
            path: path.to_path_buf(),
            faults_file: faults_file.to_path_buf(),
            folder: std::sync::Mutex::new(None),
        })
    }

    /// Opened at the first call, so that a folder which another has is found out as the broker finds it out.
    fn folder(&self, reading: bool) -> io::Result<Arc<dunepond_storage::DiskStore>> {
        apply_fault(&self.faults_file, reading)?;
        let mut folder = self.folder.lock().unwrap();
        match &*folder {
            Some(folder) => Ok(folder.clone()),
            None => Ok(folder.insert(Arc::new(dunepond_storage::DiskStore::open(&self.path)?)).clone()),
        }
    }
}

impl FileStore for FaultyFileStore {
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let file = self.folder(false)?.create(name)?;
        Ok(Box::new(FaultyWritableFile { file, faults_file: self.faults_file.clone() }))
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let file = self.folder(false)?.open_append(name)?;
        Ok(Box::new(FaultyWritableFile { file, faults_file: self.faults_file.clone() }))
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        self.folder(true)?.read(name, most)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.folder(false)?.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.folder(false)?.remove(name)
    }

    fn sync_names(&self) -> io::Result<()> {
        self.folder(false)?.sync_names()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.folder(true)?.list()
    }
}

struct FaultyWritableFile {
    file: Box<dyn WritableFile>,
    faults_file: PathBuf,
}

impl WritableFile for FaultyWritableFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let may = apply_fault(&self.faults_file, false);
        if may.is_err() && fs::read_to_string(&self.faults_file).is_ok_and(|fault| fault.trim() == "brim") {
            // As far as there was space.
            self.file.write_all(&bytes[..bytes.len() / 2])?;
        }
        may?;
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
