//! Tests of damaged files, files of other format versions and files of other programs: such files are ignored, reported
//! as faults or read correctly.

mod support;

use std::sync::Arc;

use dunepond_storage::*;
use dunepond_testkit::memory_store::MemoryStore;
use proptest::prelude::*;
use rstest::rstest;
use support::*;

#[test]
fn damaged_files_are_ignored_or_read_correctly() {
    let store = MemoryStore::default();
    snapshots(&store).write(&payload(1)).unwrap();
    snapshots(&store).write(&payload(2)).unwrap();
    write_journal(&store);
    for name in store.file_names() {
        let intact = store.contents(&name).unwrap();
        let flipped = (0..intact.len()).flat_map(|at| {
            let intact = &intact;
            [1u8, 0x80, 0xff].into_iter().map(move |bits| {
                let mut bytes = intact.clone();
                bytes[at] ^= bits;
                bytes
            })
        });
        let truncated = (0..intact.len()).map(|length| intact[..length].to_vec());
        for bytes in flipped.chain(truncated) {
            store.overwrite(&name, bytes);
            let found = newest_snapshot(&store);
            assert!(found.is_none() || [payload(1), payload(2)].contains(found.as_ref().unwrap()), "{name}");
            let records = Journal::read(&store, "ledger", VERSION).records;
            assert!(records.iter().zip(1..).all(|(record, n)| record.bytes == payload(n)), "{name}");
        }
        store.overwrite(&name, intact);
    }
}

/// Guards against allocating as much memory as a damaged header states for the payload.
#[test]
fn length_beyond_end_of_file_is_a_fault() {
    let store = MemoryStore::default();
    let mut bytes = b"dunepondSNAP".to_vec();
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&7u64.to_le_bytes());
    bytes.extend_from_slice(&u64::MAX.to_le_bytes());
    let checksum = crc32(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    store.overwrite("beliefs-7.snapshot", bytes);
    let found = snapshots(&store).load().unwrap();
    assert_eq!((found.newest, found.faults[0].1.clone()), (None, FileFault::Truncated));
}

/// The CRC-32 of the file format, computed independently of the crate.
fn crc32(bytes: &[u8]) -> u32 {
    let step = |crc: u32| if crc & 1 == 1 { (crc >> 1) ^ 0xedb8_8320 } else { crc >> 1 };
    !bytes.iter().fold(!0u32, |crc, byte| (0..8).fold(crc ^ u32::from(*byte), |crc, _| step(crc)))
}

#[test]
fn newer_version_files_are_kept() {
    let store = MemoryStore::default();
    let files = Arc::new(store.clone());
    SnapshotStore::new(files.clone(), "beliefs", VERSION + 1).write(&payload(9)).unwrap();
    Journal::open(files.clone(), "ledger", VERSION + 1).unwrap().0.append(&payload(9)).unwrap();
    let before: Vec<_> = store.file_names().into_iter().map(|name| (store.contents(&name), name)).collect();
    assert!(Journal::open(files.clone(), "ledger", VERSION).is_err());
    let mut snapshots = snapshots(&store);
    for n in 1..6 {
        snapshots.write(&payload(n)).unwrap();
    }
    let found = snapshots.load().unwrap();
    assert_eq!(found.newest.unwrap().bytes, payload(5));
    assert!(found.faults.iter().any(|(_, fault)| *fault == FileFault::NewerVersion(VERSION + 1)));
    assert!(before.iter().all(|(bytes, name)| store.contents(name) == *bytes));
    // Three snapshots are left: the one of the newer version, and the last two of this version.
    assert_eq!(store.file_names().iter().filter(|name| name.ends_with(".snapshot")).count(), 3);
}

#[test]
fn earlier_version_journal_is_read_and_continued() {
    let store = MemoryStore::default();
    let files = Arc::new(store.clone());
    Journal::open(files.clone(), "ledger", VERSION - 1).unwrap().0.append(&payload(1)).unwrap();
    let (mut journal, recovered) = Journal::open(files.clone(), "ledger", VERSION).unwrap();
    assert_eq!(recovered.records[0].bytes, payload(1));
    journal.append(&payload(2)).unwrap();
    assert_eq!(Journal::read(&store, "ledger", VERSION).records.len(), 2);
    assert!(matches!(Journal::read(&store, "ledger", VERSION - 1).fault, Some(FileFault::NewerVersion(_))));
}

#[rstest]
#[case::empty(b"".to_vec(), FileFault::Truncated)]
#[case::part_of_magic(b"dunep".to_vec(), FileFault::Truncated)]
#[case::shell_script(b"#!/bin/sh\necho hello\n".to_vec(), FileFault::UnknownFormat)]
#[case::journal(b"dunepondJRNL000000000000000000000000".to_vec(), FileFault::UnknownFormat)]
fn unknown_files_are_faults(#[case] bytes: Vec<u8>, #[case] fault: FileFault) {
    let store = MemoryStore::default();
    store.overwrite("beliefs-1.snapshot", bytes);
    assert_eq!(snapshots(&store).load().unwrap().faults, [("beliefs-1.snapshot".to_string(), fault)]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        ..ProptestConfig::default()
    })]

    /// Guards against invalid content of a file causing a panic, an allocation beyond the file's length or false records.
    #[test]
    fn arbitrary_bytes_are_a_fault_or_read_correctly(bytes in prop::collection::vec(any::<u8>(), 0..400), keep in 0..60usize) {
        let store = MemoryStore::default();
        snapshots(&store).write(&payload(1)).unwrap();
        Journal::open(Arc::new(store.clone()), "ledger", VERSION).unwrap().0.append(&payload(1)).unwrap();
        for name in store.file_names() {
            let intact = store.contents(&name).unwrap();
            store.overwrite(&name, [&intact[..keep.min(intact.len())], &bytes].concat());
        }
        let read = snapshots(&store).load().unwrap();
        prop_assert!(read.newest.is_none() || read.newest.unwrap().bytes == payload(1));
        let journal = Journal::open(Arc::new(store.clone()), "ledger", VERSION);
        if let Ok((mut journal, _)) = journal {
            journal.append(&payload(2)).unwrap();
            let records = Journal::read(&store, "ledger", VERSION).records;
            prop_assert_eq!(&records.last().unwrap().bytes, &payload(2));
        }
    }
}
