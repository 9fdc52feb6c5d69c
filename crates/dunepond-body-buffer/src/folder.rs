//! The folder that files are made in: one file a body, gone with the process however it ends.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Files are made here. A stand-in for it can fail any call.
pub trait Folder: Send + Sync + 'static {
    fn create(&self) -> io::Result<Box<dyn Volume>>;

    /// It is used no more, though a thread may still stand in a call to it.
    fn leave(&self) {}
}

/// One file; gone when dropped.
pub trait Volume: Send {
    fn write_at(&mut self, at: u64, bytes: &[u8]) -> io::Result<usize>;
    fn read_at(&mut self, at: u64, bytes: &mut [u8]) -> io::Result<usize>;
}

/// What our names look like: prefix, the maker's mark, and for a body its number.
const PREFIX: &str = "dunepond-";
const OWNER: &str = ".owner";
const BODY: &str = ".body";

/// A real folder. Whoever makes files in it holds a lock on a file with its mark, by which others know that it is
/// still there: two brokers may share a folder, and neither takes the other's files for left ones.
pub struct Disk {
    folder: PathBuf,
    mark: String,
    count: AtomicU64,
    /// Locked until the process has gone, however it goes.
    _owner: File,
    owner_path: PathBuf,
}

impl Disk {
    /// Takes a folder into use, and removes what makers that have gone left in it. `mark` is the maker's own, plain
    /// and new with each start.
    pub fn open(folder: &Path, mark: &str) -> io::Result<Self> {
        let owner_path = folder.join(format!("{PREFIX}{mark}{OWNER}"));
        let owner = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&owner_path)?;
        owner.try_lock().map_err(io::Error::from)?;
        let disk = Self {
            folder: folder.to_path_buf(),
            mark: mark.to_string(),
            count: AtomicU64::new(0),
            _owner: owner,
            owner_path,
        };
        disk.sweep()?;
        Ok(disk)
    }

    /// Removes the files of makers whose lock nobody holds any more; never one whose name is not of our form.
    fn sweep(&self) -> io::Result<()> {
        for entry in std::fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let Some(mark) = marked(&path, OWNER).filter(|mark| *mark != self.mark) else { continue };
            let Ok(owner) = OpenOptions::new().write(true).open(&path) else { continue };
            match owner.try_lock() {
                Ok(()) => {}
                Err(TryLockError::WouldBlock | TryLockError::Error(_)) => continue,
            }
            for entry in std::fs::read_dir(&self.folder)?.flatten() {
                let left = entry.path();
                if marked(&left, BODY).and_then(|name| name.rsplit_once('-')?.0.into()) == Some(mark) {
                    let _ = std::fs::remove_file(&left);
                }
            }
            let _ = std::fs::remove_file(&path);
        }
        Ok(())
    }
}

/// What stands between our prefix and this ending.
fn marked<'a>(path: &'a Path, ending: &str) -> Option<&'a str> {
    path.file_name()?.to_str()?.strip_prefix(PREFIX)?.strip_suffix(ending)
}

impl Drop for Disk {
    fn drop(&mut self) {
        self.leave();
    }
}

impl Folder for Disk {
    fn create(&self) -> io::Result<Box<dyn Volume>> {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let path = self.folder.join(format!("{PREFIX}{}-{number}{BODY}", self.mark));
        let file = OpenOptions::new().read(true).write(true).create_new(true).mode(0o600).open(&path)?;
        // Where an open file cannot be unlinked it goes with us, or is swept by whoever starts next.
        let left = std::fs::remove_file(&path).is_err().then_some(path);
        Ok(Box::new(Made { file, left }))
    }

    fn leave(&self) {
        let _ = std::fs::remove_file(&self.owner_path);
    }
}

struct Made {
    file: File,
    left: Option<PathBuf>,
}

impl Volume for Made {
    fn write_at(&mut self, at: u64, bytes: &[u8]) -> io::Result<usize> {
        FileExt::write_at(&self.file, bytes, at)
    }

    fn read_at(&mut self, at: u64, bytes: &mut [u8]) -> io::Result<usize> {
        FileExt::read_at(&self.file, bytes, at)
    }
}

impl Drop for Made {
    fn drop(&mut self) {
        self.left.take().map(std::fs::remove_file);
    }
}
