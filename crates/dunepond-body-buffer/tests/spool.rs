//! Tests of the spool on a real folder and on folders that fail.

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dunepond_body_buffer::*;
use rstest::rstest;

/// Creates an empty folder for one test.
fn folder() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("dunepond-spool-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir(&path).unwrap();
    path
}

/// Starts a spool of two threads and returns it with the receiver of its events.
fn spool(folder: Arc<dyn SpillFolder>, max_queued_jobs: usize) -> (Spool, Receiver<DiskEvent>) {
    let (sender, events) = channel();
    (Spool::start(folder, 2, max_queued_jobs, move |event| drop(sender.send(event))).unwrap(), events)
}

fn next(events: &Receiver<DiskEvent>) -> DiskEvent {
    events.recv_timeout(Duration::from_secs(10)).unwrap()
}

fn write(file: FileId, offset: u64, bytes: &'static [u8]) -> DiskJob {
    DiskJob::Write { file, offset, bytes: Bytes::from_static(bytes) }
}

#[test]
fn reads_back_from_unlinked_files() {
    let path = folder();
    let (spool, events) = spool(Arc::new(DiskFolder::open(&path, "one").unwrap()), 8);
    spool.submit(write(7, 0, b"hello ")).unwrap();
    spool.submit(write(7, 6, b"world")).unwrap();
    spool.submit(DiskJob::Read { file: 7, offset: 3, length: 5 }).unwrap();
    assert!(matches!(next(&events), DiskEvent::Written { file: 7, offset: 0, length: 6 }));
    assert!(matches!(next(&events), DiskEvent::Written { file: 7, offset: 6, length: 5 }));
    assert!(matches!(next(&events), DiskEvent::Read { bytes, .. } if &bytes[..] == b"lo wo"));
    let names: Vec<_> = std::fs::read_dir(&path).unwrap().flatten().map(|e| e.file_name()).collect();
    assert_eq!(names, ["dunepond-one.owner"]);
    std::fs::remove_dir_all(path).unwrap();
}

#[rstest]
#[case::beyond_its_end(DiskJob::Read { file: 7, offset: 4, length: 9 })]
#[case::closed(DiskJob::Read { file: 8, offset: 0, length: 1 })]
fn missing_bytes_are_unreadable(#[case] job: DiskJob) {
    let path = folder();
    let (spool, events) = spool(Arc::new(DiskFolder::open(&path, "one").unwrap()), 8);
    spool.submit(write(7, 0, b"hello ")).unwrap();
    spool.submit(write(8, 0, b"gone")).unwrap();
    spool.submit_unbounded(DiskJob::Close { file: 8 });
    next(&events);
    next(&events);
    spool.submit(job).unwrap();
    assert!(matches!(next(&events), DiskEvent::Failed { fault: DiskFault::Unreadable, .. }));
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn reports_removed_folder() {
    let path = folder();
    let disk = DiskFolder::open(&path, "one").unwrap();
    std::fs::remove_dir_all(&path).unwrap();
    let (spool, events) = spool(Arc::new(disk), 8);
    spool.submit(write(7, 0, b"x")).unwrap();
    assert!(matches!(next(&events), DiskEvent::Failed { fault: DiskFault::Gone, .. }));
}

#[rstest]
#[case(libc::ENOSPC, DiskFault::Full)]
#[case(libc::EDQUOT, DiskFault::Quota)]
#[case(libc::EROFS, DiskFault::ReadOnly)]
#[case(libc::EACCES, DiskFault::ReadOnly)]
#[case(libc::EIO, DiskFault::InputOutput)]
#[case(libc::ENOENT, DiskFault::Gone)]
#[case(libc::EMFILE, DiskFault::Other)]
fn maps_errors_to_faults(#[case] code: i32, #[case] fault: DiskFault) {
    assert_eq!(DiskFault::from_io(&io::Error::from_raw_os_error(code)), fault);
}

/// A folder in which the creation of a file blocks until the flag is set, and then fails because the disk is full.
struct Stalled(Arc<(Mutex<bool>, Condvar)>);

impl SpillFolder for Stalled {
    fn create(&self) -> io::Result<Box<dyn SpillFile>> {
        let (released, changed) = &*self.0;
        drop(changed.wait_while(released.lock().unwrap(), |released| !*released).unwrap());
        Err(io::Error::from_raw_os_error(libc::ENOSPC))
    }
}

/// A full queue rejects jobs without blocking the caller, but files can still be closed.
#[test]
fn stalled_disk_does_not_block() {
    let release = Arc::new((Mutex::new(false), Condvar::new()));
    let (spool, events) = spool(Arc::new(Stalled(release.clone())), 3);
    (0..3).for_each(|file| spool.submit(write(file, 0, b"x")).unwrap());
    assert!(!spool.has_room() && spool.submit(write(3, 0, b"x")).is_err());
    spool.submit_unbounded(DiskJob::Close { file: 0 });
    *release.0.lock().unwrap() = true;
    release.1.notify_all();
    (0..3).for_each(|_| assert!(matches!(next(&events), DiskEvent::Failed { fault: DiskFault::Full, .. })));
}

/// Opening a shared folder removes the files of ended processes, but not those of a process that still runs.
#[test]
fn removes_files_of_ended_processes() {
    let path = folder();
    let live = DiskFolder::open(&path, "living").unwrap();
    for name in ["dunepond-living-0.body", "dunepond-dead-0.body", "dunepond-dead.owner", "mine.body"] {
        std::fs::write(path.join(name), "x").unwrap();
    }
    let second = DiskFolder::open(&path, "second").unwrap();
    let exists = |name: &str| path.join(name).exists();
    assert!(exists("dunepond-living-0.body") && exists("mine.body") && exists("dunepond-living.owner"));
    assert!(!exists("dunepond-dead-0.body") && !exists("dunepond-dead.owner"));
    drop((live, second));
    assert!(!exists("dunepond-living.owner") && !exists("dunepond-second.owner"));
    std::fs::remove_dir_all(path).unwrap();
}
