//! The folder that bodies are spilled to. Each body has a file of its own, which is unlinked as soon as it is open, so
//! that no file outlives the process, even after a crash.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Creates spill files. Tests substitute implementations that fail.
pub trait SpillFolder: Send + Sync + 'static {
    /// Creates an empty file for one body.
    fn create(&self) -> io::Result<Box<dyn SpillFile>>;

    /// Releases the folder at shutdown. A thread may still be inside a call to [`Self::create`] at that time.
    fn close(&self) {}
}

/// An open spill file of one body; dropping it removes the file.
pub trait SpillFile: Send {
    /// Writes at least some of `bytes` at byte `offset` and returns how many were written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;
    /// Reads into `bytes` from byte `offset` and returns how many were read; 0 at the end of the file.
    fn read_at(&mut self, offset: u64, bytes: &mut [u8]) -> io::Result<usize>;
}

/// Prefix of all file names. A spill file is named `dunepond-MARK-NUMBER.body`, and the lock file of the process that
/// created it `dunepond-MARK.owner`.
const FILE_PREFIX: &str = "dunepond-";
/// Suffix of the lock file. A process holds a lock on its lock file while it runs.
const OWNER_SUFFIX: &str = ".owner";
/// Suffix of a spill file.
const BODY_SUFFIX: &str = ".body";
/// Permissions of all files: only the broker's user may read bodies.
const FILE_MODE: u32 = 0o600;

/// A spill folder on a file system. Several brokers may share it: each process holds a lock on its `.owner` file while
/// it runs, so that no other process removes its files.
pub struct DiskFolder {
    folder: PathBuf,
    /// Unique name of this process within the folder; part of its file names.
    mark: String,
    /// Number in the name of the next spill file.
    next_number: AtomicU64,
    /// Lock file of this process. The operating system releases the lock when the process ends, even after a crash.
    _owner: File,
    owner_path: PathBuf,
}

impl DiskFolder {
    /// Opens an existing folder, and removes the files of processes that have ended. `mark` identifies this process in
    /// the names of its files; it must be different at each start of a process.
    ///
    /// # Errors
    /// The folder cannot be read or written, or another process uses the same `mark`.
    pub fn open(folder: &Path, mark: &str) -> io::Result<Self> {
        let owner_path = folder.join(format!("{FILE_PREFIX}{mark}{OWNER_SUFFIX}"));
        let owner = OpenOptions::new().write(true).create_new(true).mode(FILE_MODE).open(&owner_path)?;
        owner.try_lock().map_err(io::Error::from)?;
        let disk = Self {
            folder: folder.to_path_buf(),
            mark: mark.to_string(),
            next_number: AtomicU64::new(0),
            _owner: owner,
            owner_path,
        };
        disk.remove_abandoned()?;
        Ok(disk)
    }

    /// Removes the files of each process that no longer holds its lock. Files whose names have another form are left
    /// alone.
    fn remove_abandoned(&self) -> io::Result<()> {
        for entry in std::fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let Some(mark) = name_between(&path, OWNER_SUFFIX).filter(|mark| *mark != self.mark) else {
                continue;
            };
            let Ok(owner) = OpenOptions::new().write(true).open(&path) else { continue };
            if owner.try_lock().is_err() {
                continue;
            }
            self.remove_bodies_of(mark)?;
            let _ = std::fs::remove_file(&path);
        }
        Ok(())
    }

    /// Removes the spill files of the process named `mark`.
    fn remove_bodies_of(&self, mark: &str) -> io::Result<()> {
        for entry in std::fs::read_dir(&self.folder)?.flatten() {
            let path = entry.path();
            let name = name_between(&path, BODY_SUFFIX);
            let owner = name.and_then(|name| name.rsplit_once('-')).map(|(owner, _)| owner);
            if owner == Some(mark) {
                let _ = std::fs::remove_file(&path);
            }
        }
        Ok(())
    }
}

/// The part of a file's name between [`FILE_PREFIX`] and `suffix`; `None` where the name has another form.
fn name_between<'a>(path: &'a Path, suffix: &str) -> Option<&'a str> {
    path.file_name()?.to_str()?.strip_prefix(FILE_PREFIX)?.strip_suffix(suffix)
}

impl Drop for DiskFolder {
    fn drop(&mut self) {
        self.close();
    }
}

impl SpillFolder for DiskFolder {
    fn create(&self) -> io::Result<Box<dyn SpillFile>> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let path = self.folder.join(format!("{FILE_PREFIX}{}-{number}{BODY_SUFFIX}", self.mark));
        let mut options = OpenOptions::new();
        let file = options.read(true).write(true).create_new(true).mode(FILE_MODE).open(&path)?;
        // If the file system cannot unlink an open file, the file is removed on drop, or by the next process that opens
        // the folder.
        let linked_path = std::fs::remove_file(&path).is_err().then_some(path);
        Ok(Box::new(UnlinkedFile { file, linked_path }))
    }

    fn close(&self) {
        let _ = std::fs::remove_file(&self.owner_path);
    }
}

/// An open spill file. Normally its name was already removed from the folder when the file was created.
struct UnlinkedFile {
    file: File,
    /// Path of the file if it could not be unlinked while open; removed on drop.
    linked_path: Option<PathBuf>,
}

impl SpillFile for UnlinkedFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        FileExt::write_at(&self.file, bytes, offset)
    }

    fn read_at(&mut self, offset: u64, bytes: &mut [u8]) -> io::Result<usize> {
        FileExt::read_at(&self.file, bytes, offset)
    }
}

impl Drop for UnlinkedFile {
    fn drop(&mut self) {
        if let Some(path) = self.linked_path.take() {
            let _ = std::fs::remove_file(path);
        }
    }
}
