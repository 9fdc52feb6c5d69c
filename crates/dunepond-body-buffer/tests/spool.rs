//! The files tier on a real folder, and on one that fails.

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dunepond_body_buffer::*;
use rstest::rstest;

fn folder() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("dunepond-spool-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir(&path).unwrap();
    path
}

fn spool(folder: Arc<dyn Folder>, most: usize) -> (Spool, Receiver<Done>) {
    let (tell, told) = channel();
    (Spool::start(folder, 2, most, move |done| drop(tell.send(done))).unwrap(), told)
}

fn next(told: &Receiver<Done>) -> Done {
    told.recv_timeout(Duration::from_secs(10)).unwrap()
}

fn write(file: FileId, at: u64, bytes: &'static [u8]) -> Job {
    Job::Write { file, at, bytes: Bytes::from_static(bytes) }
}

#[test]
fn what_is_written_is_read_back_and_no_name_stands_in_the_folder() {
    let path = folder();
    let (spool, told) = spool(Arc::new(Disk::open(&path, "one").unwrap()), 8);
    spool.submit(write(7, 0, b"hello ")).unwrap();
    spool.submit(write(7, 6, b"world")).unwrap();
    spool.submit(Job::Read { file: 7, at: 3, length: 5 }).unwrap();
    assert!(matches!(next(&told), Done::Wrote { file: 7, at: 0, length: 6 }));
    assert!(matches!(next(&told), Done::Wrote { file: 7, at: 6, length: 5 }));
    assert!(matches!(next(&told), Done::Read { bytes, .. } if &bytes[..] == b"lo wo"));
    let names: Vec<_> = std::fs::read_dir(&path).unwrap().flatten().map(|e| e.file_name()).collect();
    assert_eq!(names, ["dunepond-one.owner"]);
    std::fs::remove_dir_all(path).unwrap();
}

#[rstest]
#[case::beyond_its_end(Job::Read { file: 7, at: 4, length: 9 })]
#[case::closed(Job::Read { file: 8, at: 0, length: 1 })]
fn what_is_not_there_cannot_be_read(#[case] job: Job) {
    let path = folder();
    let (spool, told) = spool(Arc::new(Disk::open(&path, "one").unwrap()), 8);
    spool.submit(write(7, 0, b"hello ")).unwrap();
    spool.submit(write(8, 0, b"gone")).unwrap();
    spool.submit_over(Job::Close { file: 8 });
    next(&told);
    next(&told);
    spool.submit(job).unwrap();
    assert!(matches!(next(&told), Done::Failed { fault: Fault::Unreadable, .. }));
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_folder_that_vanishes_is_named() {
    let path = folder();
    let disk = Disk::open(&path, "one").unwrap();
    std::fs::remove_dir_all(&path).unwrap();
    let (spool, told) = spool(Arc::new(disk), 8);
    spool.submit(write(7, 0, b"x")).unwrap();
    assert!(matches!(next(&told), Done::Failed { fault: Fault::Gone, .. }));
}

#[rstest]
#[case(libc::ENOSPC, Fault::Full)]
#[case(libc::EDQUOT, Fault::Quota)]
#[case(libc::EROFS, Fault::ReadOnly)]
#[case(libc::EACCES, Fault::ReadOnly)]
#[case(libc::EIO, Fault::InputOutput)]
#[case(libc::ENOENT, Fault::Gone)]
#[case(libc::EMFILE, Fault::Other)]
fn every_error_of_a_disk_is_one_of_its_faults(#[case] code: i32, #[case] fault: Fault) {
    assert_eq!(Fault::of(&io::Error::from_raw_os_error(code)), fault);
}

/// Opens its doors only when it is told to.
struct Stalled(Arc<(Mutex<bool>, Condvar)>);

impl Folder for Stalled {
    fn create(&self) -> io::Result<Box<dyn Volume>> {
        let (open, changed) = &*self.0;
        drop(changed.wait_while(open.lock().unwrap(), |open| !*open).unwrap());
        Err(io::Error::from_raw_os_error(libc::ENOSPC))
    }
}

/// Whoever asks is told at once that too much waits; a file can be closed all the same.
#[test]
fn a_disk_that_stalls_holds_up_nobody() {
    let door = Arc::new((Mutex::new(false), Condvar::new()));
    let (spool, told) = spool(Arc::new(Stalled(door.clone())), 3);
    (0..3).for_each(|file| spool.submit(write(file, 0, b"x")).unwrap());
    assert!(!spool.has_room() && spool.submit(write(3, 0, b"x")).is_err());
    spool.submit_over(Job::Close { file: 0 });
    *door.0.lock().unwrap() = true;
    door.1.notify_all();
    (0..3).for_each(|_| assert!(matches!(next(&told), Done::Failed { fault: Fault::Full, .. })));
}

/// Two makers in one folder: each sweeps what nobody owns any more, and nothing of the other.
#[test]
fn what_a_maker_left_is_swept_and_a_living_ones_files_are_not() {
    let path = folder();
    let living = Disk::open(&path, "living").unwrap();
    for name in ["dunepond-living-0.body", "dunepond-dead-0.body", "dunepond-dead.owner", "mine.body"] {
        std::fs::write(path.join(name), "x").unwrap();
    }
    let second = Disk::open(&path, "second").unwrap();
    let there = |name: &str| path.join(name).exists();
    assert!(there("dunepond-living-0.body") && there("mine.body") && there("dunepond-living.owner"));
    assert!(!there("dunepond-dead-0.body") && !there("dunepond-dead.owner"));
    drop((living, second));
    assert!(!there("dunepond-living.owner") && !there("dunepond-second.owner"));
    std::fs::remove_dir_all(path).unwrap();
}
