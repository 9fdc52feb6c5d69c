//! Tests of the lock of a directory on disk.

mod support;

use std::sync::Arc;

use dunepond_storage::*;
use support::*;

#[test]
fn directory_lock_admits_one_writer_and_readers() {
    let path = std::env::temp_dir().join(format!("dunepond-store-{}", std::process::id()));
    std::fs::create_dir(&path).unwrap();
    let store = DiskStore::open(&path).unwrap();
    let second = DiskStore::open(&path).map(drop).unwrap_err();
    assert_eq!(second.kind(), std::io::ErrorKind::WouldBlock);
    let mut writer = SnapshotStore::new(Arc::new(store), "beliefs", VERSION);
    writer.write(&payload(4)).unwrap();
    let reader = SnapshotStore::new(Arc::new(DiskStore::open_read_only(&path).unwrap()), "beliefs", VERSION);
    assert_eq!(reader.load().unwrap().newest.unwrap().bytes, payload(4));
    drop((writer, reader));
    assert!(DiskStore::open(&path).is_ok());
    std::fs::remove_dir_all(&path).unwrap();
}
