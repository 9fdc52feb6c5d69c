//! The folder that bodies are spilled to: one file for each body, gone with the process however it ends.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Makes files. A test double can fail any call.
pub trait SpillFolder: Send + Sync + 'static {
    /// Makes a file for one body.
    fn create(&self) -> io::Result<Box<dyn SpillFile>>;

    /// The folder is used no more, though a thread may still be in a call to it.
    fn close(&self) {}
}

/// One file; removed when dropped.
pub trait SpillFile: Send {
    /// Writes some of the bytes at an offset; how many.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;
    /// Reads some bytes from an offset; how many, 0 at the end.
    fn read_at(&mut self, offset: u64, bytes: &mut [u8]) -> io::Result<usize>;
}

/// File names are the prefix, the owner's mark, a body's number, and one of these suffixes.
const FILE_PREFIX: &str = "dunepond-";
const OWNER_SUFFIX: &str = ".owner";
const BODY_SUFFIX: &str = ".body";
/// Only the broker's user may read bodies.
const FILE_MODE: u32 = 0o600;

/// A real folder. Each process holds a lock on a file with its mark, which tells others that it is alive: brokers may
/// share a folder, and none removes the files of another.
pub struct DiskFolder {
    folder: PathBuf,
    mark: String,
    next_number: AtomicU64,
    /// Locked until the process has ended, however it ends.
    _owner: File,
    owner_path: PathBuf,
}

impl DiskFolder {
    /// Opens an existing folder, and removes files of processes that have ended. `mark` is plain text, new with each
    /// start of a process.
    ///
    /// # Errors
    /// The folder cannot be read or written, or the mark is in use.
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

    /// Removes files of processes whose lock nobody holds any more; never one with a name of another form.
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

/// What stands between the prefix and a suffix of a file's name.
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
        // Where an open file cannot be unlinked, it is removed when dropped, or by the next process.
        let linked_path = std::fs::remove_file(&path).is_err().then_some(path);
        Ok(Box::new(UnlinkedFile { file, linked_path }))
    }

    fn close(&self) {
        let _ = std::fs::remove_file(&self.owner_path);
    }
}

/// An open file without a name.
struct UnlinkedFile {
    file: File,
    /// Its name, where it could not be unlinked.
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
