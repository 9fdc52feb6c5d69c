//! The files tier at work: a few threads that write and read, so that whoever asks never waits for a disk.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;

use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender, unbounded};

use crate::{Folder, Volume};

/// A file, by a number that whoever asks gives out and never uses twice.
pub type FileId = u64;

#[derive(Debug)]
pub enum Job {
    /// The first write makes the file.
    Write {
        file: FileId,
        at: u64,
        bytes: Bytes,
    },
    Read {
        file: FileId,
        at: u64,
        length: usize,
    },
    Close {
        file: FileId,
    },
}

#[derive(Debug)]
pub enum Done {
    Wrote { file: FileId, at: u64, length: usize },
    Read { file: FileId, at: u64, bytes: Bytes },
    Failed { file: FileId, at: u64, fault: Fault },
}

/// Every way in which the disk can fail a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Fault {
    #[error("the disk is full")]
    Full,
    #[error("the quota on the disk is used up")]
    Quota,
    #[error("the folder cannot be written")]
    ReadOnly,
    #[error("the disk fails in input or output")]
    InputOutput,
    #[error("the disk takes only a part")]
    Short,
    #[error("the folder has gone")]
    Gone,
    #[error("the disk is too slow")]
    Slow,
    #[error("too much waits for the disk")]
    Busy,
    #[error("the file cannot be read back")]
    Unreadable,
    #[error("the disk fails")]
    Other,
}

impl Fault {
    pub fn of(error: &io::Error) -> Self {
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

/// Each file belongs to one thread, so that what is asked of it is done in its order.
pub struct Spool {
    queues: Vec<Sender<Job>>,
    waiting: Arc<AtomicUsize>,
    /// Bytes of writes that are not done: a body that is let go of meanwhile does not free them.
    bytes: Arc<AtomicU64>,
    most: usize,
}

impl Spool {
    /// `most` jobs may wait, over all threads. `tell` is called by the threads, in the order of each file's jobs.
    pub fn start(
        folder: Arc<dyn Folder>,
        threads: usize,
        most: usize,
        tell: impl Fn(Done) + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let (waiting, bytes) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicU64::new(0)));
        let mut queues = Vec::new();
        for number in 0..threads.max(1) {
            let (queue, jobs) = unbounded();
            let (folder, waiting, bytes, tell) =
                (folder.clone(), waiting.clone(), bytes.clone(), tell.clone());
            let work = move || work(&*folder, &jobs, &waiting, &bytes, tell);
            thread::Builder::new().name(format!("bodies-{number}")).spawn(work)?;
            queues.push(queue);
        }
        Ok(Self { queues, waiting, bytes, most })
    }

    /// One more job may wait.
    pub fn has_room(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) < self.most
    }

    /// Bytes that wait to be written.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Hands a job over, or back where too many wait.
    pub fn submit(&self, job: Job) -> Result<(), Job> {
        if !self.has_room() {
            return Err(job);
        }
        self.submit_over(job);
        Ok(())
    }

    /// Hands a job over, however many wait: a file can always be closed, and a few reads that belong together go
    /// together.
    pub fn submit_over(&self, job: Job) {
        let (Job::Write { file, .. } | Job::Read { file, .. } | Job::Close { file }) = job;
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if let Job::Write { bytes, .. } = &job {
            self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
        // The threads live as long as the queues do.
        let _ = self.queues[file as usize % self.queues.len()].send(job);
    }
}

fn work(
    folder: &dyn Folder,
    jobs: &Receiver<Job>,
    waiting: &AtomicUsize,
    unwritten: &AtomicU64,
    tell: impl Fn(Done),
) {
    let mut files: HashMap<FileId, Box<dyn Volume>> = HashMap::new();
    for job in jobs {
        match job {
            Job::Write { file, at, bytes } => {
                let outcome = (|| {
                    let volume = match files.entry(file) {
                        std::collections::hash_map::Entry::Occupied(known) => known.into_mut(),
                        std::collections::hash_map::Entry::Vacant(new) => new.insert(folder.create()?),
                    };
                    write_all(&mut **volume, at, &bytes)
                })();
                let length = bytes.len();
                drop(bytes);
                unwritten.fetch_sub(length as u64, Ordering::Relaxed);
                tell(match outcome {
                    Ok(()) => Done::Wrote { file, at, length },
                    Err(e) => Done::Failed { file, at, fault: Fault::of(&e) },
                });
            }
            Job::Read { file, at, length } => {
                let volume = files.get_mut(&file).ok_or_else(|| io::ErrorKind::UnexpectedEof.into());
                tell(match volume.and_then(|volume| read_all(&mut **volume, at, length)) {
                    Ok(bytes) => Done::Read { file, at, bytes },
                    Err(_) => Done::Failed { file, at, fault: Fault::Unreadable },
                });
            }
            Job::Close { file } => drop(files.remove(&file)),
        }
        waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

fn write_all(volume: &mut dyn Volume, mut at: u64, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match volume.write_at(at, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => (at, bytes) = (at + count as u64, &bytes[count..]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

fn read_all(volume: &mut dyn Volume, at: u64, length: usize) -> io::Result<Bytes> {
    let mut bytes = vec![0; length];
    let mut done = 0;
    while done < length {
        match volume.read_at(at + done as u64, &mut bytes[done..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => done += count,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(bytes.into())
}
