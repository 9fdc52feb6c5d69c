//! Golden files of the stored formats: files that earlier builds wrote are read correctly, and this build writes the
//! same bytes for the same values.

use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use dunepond_storage::{
    DiskStore, FileFault, FileStore, Journal, JournalRecord, LoadedSnapshots, RecoveredJournal, Snapshot,
    SnapshotStore, WritableFile,
};
use dunepond_testkit::memory_store::MemoryStore;

const FORMAT: u32 = 7;
const FIRST: &[u8] = b"the first one";
const SECOND: &[u8] = &[0, 1, 2, 3, 254, 255];

const SNAPSHOTS: [&str; 2] =
    ["beliefs-00000000000000000001.snapshot", "beliefs-00000000000000000002.snapshot"];
const JOURNAL: &str = "voter.journal";
const JOURNAL_REWRITTEN: &str = "rewritten.journal";

fn golden(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name);
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Asserts that the bytes of `name` in `files` are those of the golden file `golden_name`.
fn assert_matches_golden(files: &MemoryStore, name: &str, golden_name: &str) {
    let written =
        files.contents(name).unwrap_or_else(|| panic!("{name} is missing: {:?}", files.file_names()));
    assert_eq!(written, golden(golden_name), "{name}");
}

fn record(number: u64, bytes: &[u8]) -> JournalRecord {
    JournalRecord { number, bytes: bytes.to_vec() }
}

#[test]
fn snapshots_match_golden_bytes() {
    let files = MemoryStore::default();
    let mut snapshots = SnapshotStore::new(Arc::new(files.clone()), "beliefs", FORMAT);
    assert_eq!(snapshots.write(FIRST).unwrap(), 1);
    assert_eq!(snapshots.write(SECOND).unwrap(), 2);
    assert_eq!(files.file_names(), SNAPSHOTS);
    for name in SNAPSHOTS {
        assert_matches_golden(&files, name, name);
    }
}

#[test]
fn stored_snapshots_are_read() {
    let files = MemoryStore::default();
    SNAPSHOTS.iter().for_each(|name| files.overwrite(name, golden(name)));
    let snapshots = SnapshotStore::new(Arc::new(files.clone()), "beliefs", FORMAT);
    let newest = Snapshot { number: 2, format_version: FORMAT, bytes: SECOND.to_vec() };
    assert_eq!(snapshots.load().unwrap(), LoadedSnapshots { newest: Some(newest), faults: Vec::new() });

    // The first snapshot is loaded if the second is damaged.
    let mut damaged = golden(SNAPSHOTS[1]);
    *damaged.last_mut().unwrap() ^= 1;
    files.overwrite(SNAPSHOTS[1], damaged);
    let first = Snapshot { number: 1, format_version: FORMAT, bytes: FIRST.to_vec() };
    let faults = vec![(SNAPSHOTS[1].to_string(), FileFault::Corrupted)];
    assert_eq!(snapshots.load().unwrap(), LoadedSnapshots { newest: Some(first), faults });

    // A build with an earlier format version reports the files as faults.
    let earlier = SnapshotStore::new(Arc::new(files), "beliefs", FORMAT - 1).load().unwrap();
    assert_eq!(earlier.newest, None);
    assert_eq!(earlier.faults[1], (SNAPSHOTS[0].to_string(), FileFault::NewerVersion(FORMAT)));
}

#[test]
fn journal_matches_golden_bytes() {
    let files = MemoryStore::default();
    let (mut journal, recovered) = Journal::open(Arc::new(files.clone()), "voter", FORMAT).unwrap();
    assert_eq!(recovered, RecoveredJournal::default());
    assert_eq!(journal.append(FIRST).unwrap(), 1);
    assert_eq!(journal.append(SECOND).unwrap(), 2);
    journal.sync().unwrap();
    assert_eq!(files.file_names(), [JOURNAL]);
    assert_matches_golden(&files, JOURNAL, JOURNAL);

    journal.rewrite(&[SECOND.to_vec()]).unwrap();
    assert_eq!(journal.append(FIRST).unwrap(), 4);
    assert_eq!(files.file_names(), [JOURNAL]);
    assert_matches_golden(&files, JOURNAL, JOURNAL_REWRITTEN);
}

#[test]
fn stored_journal_is_read_and_continued() {
    let files = MemoryStore::default();
    files.overwrite(JOURNAL, golden(JOURNAL));
    let records = vec![record(1, FIRST), record(2, SECOND)];
    assert_eq!(
        Journal::read(&files, "voter", FORMAT),
        RecoveredJournal { records: records.clone(), fault: None }
    );
    let (mut journal, recovered) = Journal::open(Arc::new(files.clone()), "voter", FORMAT).unwrap();
    assert_eq!(recovered, RecoveredJournal { records, fault: None });
    journal.rewrite(&[SECOND.to_vec()]).unwrap();
    journal.append(FIRST).unwrap();
    assert_matches_golden(&files, JOURNAL, JOURNAL_REWRITTEN);

    let records = vec![record(3, SECOND), record(4, FIRST)];
    assert_eq!(Journal::read(&files, "voter", FORMAT), RecoveredJournal { records, fault: None });
    assert_eq!(Journal::read(&files, "voter", FORMAT - 1).fault, Some(FileFault::NewerVersion(FORMAT)));
}

/// A store in memory that records the names under which files are created.
#[derive(Default)]
struct CreationRecorder {
    files: MemoryStore,
    created_names: Mutex<Vec<String>>,
}

impl FileStore for CreationRecorder {
    fn create(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        self.created_names.lock().unwrap().push(name.to_string());
        self.files.create(name)
    }

    fn open_append(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        self.files.open_append(name)
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        self.files.read(name, max_bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.files.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files.remove(name)
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.files.sync_directory()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.files.list()
    }
}

/// Guards against changed names of temporary files: a temporary file that an earlier build left behind in a crash is
/// overwritten only if this build uses the same name.
#[test]
fn temporary_files_keep_their_names() {
    let files = Arc::new(CreationRecorder::default());
    SnapshotStore::new(files.clone(), "beliefs", FORMAT).write(FIRST).unwrap();
    Journal::open(files.clone(), "voter", FORMAT).unwrap();
    assert_eq!(*files.created_names.lock().unwrap(), ["beliefs.aside", "voter.journal-aside"]);
}

fn new_directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

#[test]
fn disk_store_has_same_lock_file_and_bytes() {
    let path = new_directory("golden-folder");
    let store = Arc::new(DiskStore::open(&path).unwrap());
    let lock = std::fs::metadata(path.join("dunepond.lock")).unwrap();
    assert_eq!((lock.len(), lock.permissions().mode() & 0o777), (0, 0o600));
    let second = DiskStore::open(&path).map(drop).unwrap_err();
    assert_eq!(second.kind(), io::ErrorKind::WouldBlock);

    SnapshotStore::new(store.clone(), "beliefs", FORMAT).write(FIRST).unwrap();
    let snapshot = path.join(SNAPSHOTS[0]);
    assert_eq!(std::fs::read(&snapshot).unwrap(), golden(SNAPSHOTS[0]));
    assert_eq!(std::fs::metadata(&snapshot).unwrap().permissions().mode() & 0o777, 0o600);
    let (mut journal, _) = Journal::open(store, "voter", FORMAT).unwrap();
    journal.append(FIRST).unwrap();
    journal.append(SECOND).unwrap();
    journal.sync().unwrap();
    assert_eq!(std::fs::read(path.join(JOURNAL)).unwrap(), golden(JOURNAL));
}
