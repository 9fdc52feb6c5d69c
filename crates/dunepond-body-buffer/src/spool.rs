//! The disk: a few threads that write and read files, so that the caller never waits for it.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;

use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender, unbounded};

use crate::{SpillFile, SpillFolder};

/// A file's number, which the caller gives; none is used twice.
pub type FileId = u64;

/// What the disk is asked to do with a file. Offsets and lengths are bytes.
#[derive(Debug)]
pub enum DiskJob {
    /// Writes bytes at an offset; the first write makes the file.
    Write {
        /// Which file.
        file: FileId,
        /// Where in the file.
        offset: u64,
        /// What is written.
        bytes: Bytes,
    },
    /// Reads bytes that have been written.
    Read {
        /// Which file.
        file: FileId,
        /// Where in the file.
        offset: u64,
        /// How many bytes.
        length: usize,
    },
    /// Removes the file; nothing is reported.
    Close {
        /// Which file.
        file: FileId,
    },
}

impl DiskJob {
    fn file(&self) -> FileId {
        match self {
            Self::Write { file, .. } | Self::Read { file, .. } | Self::Close { file } => *file,
        }
    }
}

/// The end of a write or a read.
#[derive(Debug)]
pub enum DiskEvent {
    /// All bytes were written.
    Written {
        /// Which file.
        file: FileId,
        /// Where in the file.
        offset: u64,
        /// How many bytes.
        length: usize,
    },
    /// All bytes were read.
    Read {
        /// Which file.
        file: FileId,
        /// Where in the file.
        offset: u64,
        /// What was read.
        bytes: Bytes,
    },
    /// The job failed; some of it may have been done.
    Failed {
        /// Which file.
        file: FileId,
        /// Where in the file.
        offset: u64,
        /// Why it failed.
        fault: DiskFault,
    },
}

/// Every way in which the disk can fail a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DiskFault {
    /// No space is left.
    #[error("the disk is full")]
    Full,
    /// The user's quota is reached.
    #[error("the quota on the disk is used up")]
    Quota,
    /// The folder or its file system may not be written.
    #[error("the folder cannot be written")]
    ReadOnly,
    /// The device reports an error.
    #[error("the disk fails in input or output")]
    InputOutput,
    /// A write ended without an error before all bytes were written.
    #[error("the disk takes only a part")]
    Short,
    /// The folder was removed.
    #[error("the folder has gone")]
    Gone,
    /// A job took longer than the timeout.
    #[error("the disk is too slow")]
    Slow,
    /// The queue of jobs is full.
    #[error("too much waits for the disk")]
    Busy,
    /// What was written could not be read.
    #[error("the file cannot be read back")]
    Unreadable,
    /// Any other error.
    #[error("the disk fails")]
    Other,
}

impl DiskFault {
    /// The fault that an error of a write stands for.
    pub fn from_io(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::ENOSPC | libc::EFBIG) => Self::Full,
            Some(libc::EDQUOT) => Self::Quota,
            Some(libc::EROFS | libc::EACCES | libc::EPERM) => Self::ReadOnly,
            Some(libc::EIO) => Self::InputOutput,
            Some(libc::ENOENT | libc::ENOTDIR | libc::ESTALE) => Self::Gone,
            _ if error.kind() == io::ErrorKind::WriteZero => Self::Short,
            _ if error.kind() == io::ErrorKind::UnexpectedEof => Self::Unreadable,
            _ => Self::Other,
        }
    }
}

/// A fixed number of threads, each with a queue of jobs. Each file belongs to one thread, which keeps its jobs in order.
pub struct Spool {
    queues: Vec<Sender<DiskJob>>,
    load: Arc<SpoolLoad>,
    max_queued_jobs: usize,
}

/// What is queued or under way, over all threads.
#[derive(Default)]
struct SpoolLoad {
    jobs: AtomicUsize,
    /// Bytes of queued writes: releasing a body does not free them.
    write_bytes: AtomicU64,
}

impl Spool {
    /// Starts the threads. They call `report` with the end of each write and read, in the order of each file's jobs.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(
        folder: Arc<dyn SpillFolder>,
        threads: usize,
        max_queued_jobs: usize,
        report: impl Fn(DiskEvent) + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let load = Arc::new(SpoolLoad::default());
        let mut queues = Vec::new();
        for number in 0..threads.max(1) {
            let (queue, jobs) = unbounded();
            let worker = Worker {
                folder: folder.clone(),
                files: HashMap::new(),
                load: load.clone(),
                report: report.clone(),
            };
            let run = move || worker.run(&jobs);
            thread::Builder::new().name(format!("bodies-{number}")).spawn(run)?;
            queues.push(queue);
        }
        Ok(Self { queues, load, max_queued_jobs })
    }

    /// Whether one more job may wait.
    pub fn has_room(&self) -> bool {
        self.load.jobs.load(Ordering::Relaxed) < self.max_queued_jobs
    }

    /// Bytes that wait to be written.
    pub fn pending_write_bytes(&self) -> u64 {
        self.load.write_bytes.load(Ordering::Relaxed)
    }

    /// Hands a job over, or gives it back where too many wait.
    pub fn submit(&self, job: DiskJob) -> Result<(), DiskJob> {
        if !self.has_room() {
            return Err(job);
        }
        self.submit_unbounded(job);
        Ok(())
    }

    /// Hands a job over, however many wait: a file can always be closed, and a few reads that belong together are handed
    /// over together.
    pub fn submit_unbounded(&self, job: DiskJob) {
        self.load.jobs.fetch_add(1, Ordering::Relaxed);
        if let DiskJob::Write { bytes, .. } = &job {
            self.load.write_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
        // The threads live as long as the queues do.
        let _ = self.queues[job.file() as usize % self.queues.len()].send(job);
    }
}

/// What one thread owns.
struct Worker<R> {
    folder: Arc<dyn SpillFolder>,
    files: HashMap<FileId, Box<dyn SpillFile>>,
    load: Arc<SpoolLoad>,
    report: R,
}

impl<R: Fn(DiskEvent)> Worker<R> {
    fn run(mut self, jobs: &Receiver<DiskJob>) {
        for job in jobs {
            match job {
                DiskJob::Write { file, offset, bytes } => self.write(file, offset, bytes),
                DiskJob::Read { file, offset, length } => self.read(file, offset, length),
                DiskJob::Close { file } => drop(self.files.remove(&file)),
            }
            self.load.jobs.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn write(&mut self, file: FileId, offset: u64, bytes: Bytes) {
        let length = bytes.len();
        let outcome = self.open(file).and_then(|open| write_all(open, offset, &bytes));
        // Freed before the event, so that the load never counts what is known to be written.
        drop(bytes);
        self.load.write_bytes.fetch_sub(length as u64, Ordering::Relaxed);
        (self.report)(match outcome {
            Ok(()) => DiskEvent::Written { file, offset, length },
            Err(error) => DiskEvent::Failed { file, offset, fault: DiskFault::from_io(&error) },
        });
    }

    fn read(&mut self, file: FileId, offset: u64, length: usize) {
        let outcome = match self.files.get_mut(&file) {
            Some(open) => read_all(&mut **open, offset, length),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        };
        (self.report)(match outcome {
            Ok(bytes) => DiskEvent::Read { file, offset, bytes },
            Err(_) => DiskEvent::Failed { file, offset, fault: DiskFault::Unreadable },
        });
    }

    /// The file, which is made where there is none.
    fn open(&mut self, file: FileId) -> io::Result<&mut dyn SpillFile> {
        let open = match self.files.entry(file) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => new.insert(self.folder.create()?),
        };
        Ok(&mut **open)
    }
}

fn write_all(file: &mut dyn SpillFile, mut offset: u64, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write_at(offset, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                offset += count as u64;
                bytes = &bytes[count..];
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn read_all(file: &mut dyn SpillFile, offset: u64, length: usize) -> io::Result<Bytes> {
    let mut bytes = vec![0; length];
    let mut done = 0;
    while done < length {
        match file.read_at(offset + done as u64, &mut bytes[done..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => done += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(bytes.into())
}
