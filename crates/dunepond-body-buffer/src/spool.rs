//! Disk I/O on a few threads, so that the caller never blocks on the disk.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;

use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender, unbounded};

use crate::{SpillFile, SpillFolder};

/// Number of a file, chosen by the caller; each number is used for one file only.
pub type FileId = u64;

/// A disk job for one file. Offsets and lengths are in bytes.
#[derive(Debug)]
pub enum DiskJob {
    /// Writes bytes at an offset; the first write creates the file.
    Write {
        /// Number of the file.
        file: FileId,
        /// Offset in the file.
        offset: u64,
        /// Bytes to write.
        bytes: Bytes,
    },
    /// Reads bytes that were written before.
    Read {
        /// Number of the file.
        file: FileId,
        /// Offset in the file.
        offset: u64,
        /// Number of bytes to read.
        length: usize,
    },
    /// Removes the file; no event is reported.
    Close {
        /// Number of the file.
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

/// Result of a write or a read.
#[derive(Debug)]
pub enum DiskEvent {
    /// All bytes of a write were written.
    Written {
        /// Number of the file.
        file: FileId,
        /// Offset in the file.
        offset: u64,
        /// Number of bytes written.
        length: usize,
    },
    /// All bytes of a read were read.
    Read {
        /// Number of the file.
        file: FileId,
        /// Offset in the file.
        offset: u64,
        /// Bytes that were read.
        bytes: Bytes,
    },
    /// A write or a read failed. Part of the bytes of a failed write may have been written.
    Failed {
        /// Number of the file.
        file: FileId,
        /// Offset in the file.
        offset: u64,
        /// Why the job failed.
        fault: DiskFault,
    },
}

/// Why a disk job failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DiskFault {
    /// No space is left on the device, or the file would become too long for the file system.
    #[error("the disk is full")]
    Full,
    /// The user's disk quota is used up.
    #[error("the quota on the disk is used up")]
    Quota,
    /// The folder or its file system is not writable for the process.
    #[error("the folder cannot be written")]
    ReadOnly,
    /// The device reported an I/O error.
    #[error("the disk fails in input or output")]
    InputOutput,
    /// A write ended without an error before all bytes were written.
    #[error("the disk takes only a part")]
    Short,
    /// The folder does not exist any more.
    #[error("the folder has gone")]
    Gone,
    /// The job took longer than the timeout; reported by the host.
    #[error("the disk is too slow")]
    Slow,
    /// The queue of jobs is full; reported by the host.
    #[error("too much waits for the disk")]
    Busy,
    /// Bytes that were written could not be read back.
    #[error("the file cannot be read back")]
    Unreadable,
    /// Any other I/O error.
    #[error("the disk fails")]
    Other,
}

impl DiskFault {
    /// Classifies an I/O error of a write.
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

/// A fixed number of disk threads, each with a queue of jobs. All jobs of a file go to the same thread, which keeps
/// them in order.
pub struct Spool {
    queues: Vec<Sender<DiskJob>>,
    load: Arc<SpoolLoad>,
    /// Maximum number of jobs that are queued or running, over all threads.
    max_queued_jobs: usize,
}

/// Jobs that are queued or running, over all threads.
#[derive(Default)]
struct SpoolLoad {
    jobs: AtomicUsize,
    /// Bytes of the writes that are queued or running. They stay in memory until they are written, even if their body
    /// is released before.
    write_bytes: AtomicU64,
}

impl Spool {
    /// Starts the threads. They call `report` with the result of each write and read. The results for one file are
    /// reported in the order in which its jobs were queued.
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

    /// Whether one more job may be queued.
    pub fn has_room(&self) -> bool {
        self.load.jobs.load(Ordering::Relaxed) < self.max_queued_jobs
    }

    /// Bytes of the writes that are queued or running.
    pub fn pending_write_bytes(&self) -> u64 {
        self.load.write_bytes.load(Ordering::Relaxed)
    }

    /// Queues a job.
    ///
    /// # Errors
    /// Returns the job if the queue is full.
    pub fn submit(&self, job: DiskJob) -> Result<(), DiskJob> {
        if !self.has_room() {
            return Err(job);
        }
        self.submit_unbounded(job);
        Ok(())
    }

    /// Queues a job even if the queue is full. Used to close files, which must always be possible, and to queue a few
    /// related reads together.
    pub fn submit_unbounded(&self, job: DiskJob) {
        self.load.jobs.fetch_add(1, Ordering::Relaxed);
        if let DiskJob::Write { bytes, .. } = &job {
            self.load.write_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
        // Sending cannot fail: each thread keeps the receiving end of its queue open until the spool is dropped.
        let _ = self.queues[job.file() as usize % self.queues.len()].send(job);
    }
}

/// State of one disk thread.
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
        // The bytes are subtracted before the event is reported, so that the load never includes a write that was
        // already reported.
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

    /// Returns the open file with this number, and creates the file if there is none.
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
