//! Killed at every call, in the process and with the machine: what is read is the old state or the new one, and what
//! was synced is there. Every byte flipped and every length cut: ignored or read right.

use std::sync::Arc;

use dunepond_storage::*;
use dunepond_testkit::memory_store::{FaultPlan, MemoryStore};
use proptest::prelude::*;
use rstest::rstest;

const VERSION: u32 = 3;

fn snapshots(mem: &MemoryStore) -> SnapshotStore {
    SnapshotStore::new(Arc::new(mem.clone()), "beliefs", VERSION)
}

fn newest(mem: &MemoryStore) -> Option<Vec<u8>> {
    snapshots(mem).load().unwrap().newest.map(|snapshot| snapshot.bytes)
}

fn body(n: u8) -> Vec<u8> {
    (0..100).map(|i| i ^ n).collect()
}

/// How many calls a fresh run of `work` makes.
fn calls(work: impl Fn(&MemoryStore)) -> usize {
    let mem = MemoryStore::default();
    mem.set_plan(FaultPlan::Serve);
    work(&mem);
    mem.calls()
}

#[rstest]
#[case::the_process(false)]
#[case::the_machine(true)]
fn a_snapshot_is_the_old_one_or_the_new_one_wherever_its_writer_was_killed(#[case] machine: bool) {
    let four = |mem: &MemoryStore| {
        let mut snapshots = snapshots(mem);
        let wrote = (1..5u8).take_while(|n| snapshots.write(&body(*n)).is_ok()).last();
        wrote.unwrap_or(0)
    };
    let all = calls(|mem| {
        four(mem);
    });
    assert!(all > 20);
    for (at, seed) in (1..=all).flat_map(|at| (0..40).map(move |seed| (at, seed))) {
        let mem = MemoryStore::default();
        mem.set_plan(FaultPlan::StopAt(at));
        let wrote = four(&mem);
        mem.crash(machine, seed);
        let found = newest(&mem);
        let expected = [(wrote > 0).then(|| body(wrote)), Some(body(wrote + 1))];
        assert!(expected.contains(&found), "killed at {at}, seed {seed}: wrote {wrote}, found {found:?}");
        // And it goes on from there.
        let before = snapshots(&mem).load().unwrap().newest.map_or(0, |snapshot| snapshot.number);
        assert!(snapshots(&mem).write(&body(77)).unwrap() > before);
        assert_eq!(newest(&mem), Some(body(77)));
    }
}

/// Records are appended, some synced, and the journal is written anew in between.
fn journal(mem: &MemoryStore) -> (Vec<Vec<u8>>, usize) {
    let (mut done, mut synced) = (Vec::new(), 0);
    let mut run = || -> std::io::Result<()> {
        let (mut journal, _) = Journal::open(Arc::new(mem.clone()), "ledger", VERSION)?;
        for n in 1..9u8 {
            if n == 5 {
                journal.rewrite(&done)?;
                synced = done.len();
            }
            journal.append(&body(n))?;
            done.push(body(n));
            if n.is_multiple_of(2) {
                journal.sync()?;
                synced = done.len();
            }
        }
        Ok(())
    };
    let _ = run();
    (done, synced)
}

#[rstest]
#[case::the_process(false)]
#[case::the_machine(true)]
fn a_journal_recovers_to_its_last_whole_record_wherever_its_writer_was_killed(#[case] machine: bool) {
    let all = calls(|mem| drop(journal(mem)));
    for (at, seed) in (1..=all).flat_map(|at| (0..40).map(move |seed| (at, seed))) {
        let mem = MemoryStore::default();
        mem.set_plan(FaultPlan::StopAt(at));
        let (done, synced) = journal(&mem);
        mem.crash(machine, seed);
        let (mut journal, recovered) = Journal::open(Arc::new(mem.clone()), "ledger", VERSION).unwrap();
        let found: Vec<_> = recovered.records.into_iter().map(|record| record.bytes).collect();
        let least = if machine { synced } else { done.len() };
        assert!(found.len() >= least, "killed at {at}, seed {seed}: {} of {least}", found.len());
        let mut next = done.clone();
        next.push(body(done.len() as u8 + 1));
        assert!(next.starts_with(&found), "killed at {at}, seed {seed}");
        // What is cut off does not come back, and what is put behind it stands there.
        journal.append(&body(99)).unwrap();
        let found_then = Journal::read(&mem, "ledger", VERSION);
        assert_eq!((found_then.fault, found_then.records.len()), (None, found.len() + 1));
        assert_eq!(found_then.records.last().unwrap().bytes, body(99));
    }
}

/// Any one call fails: nothing that was written before is lost, and the next write is whole again.
#[test]
fn any_call_that_fails_leaves_the_old_or_the_new_and_the_next_write_succeeds() {
    let three = |mem: &MemoryStore| {
        let mut snapshots = snapshots(mem);
        (1..4u8).map(|n| snapshots.write(&body(n)).is_ok()).collect::<Vec<_>>()
    };
    for at in 1..=calls(|mem| drop(three(mem))) {
        let mem = MemoryStore::default();
        mem.set_plan(FaultPlan::FailAt(at));
        let wrote = three(&mem);
        assert!(wrote.iter().filter(|ok| !**ok).count() <= 1);
        mem.set_plan(FaultPlan::Serve);
        // One that failed after it had taken its name is there all the same.
        let last = 1 + wrote.iter().rposition(|ok| *ok).unwrap() as u8;
        let expected = [Some(body(last)), Some(body(3))];
        assert!(expected.contains(&newest(&mem)), "failed at {at}");
        snapshots(&mem).write(&body(9)).unwrap();
        assert_eq!(newest(&mem), Some(body(9)), "failed at {at}");
    }
}

#[test]
fn a_full_disk_leaves_what_was_there_and_is_written_again_once_there_is_room() {
    let mem = MemoryStore::default();
    let mut snapshots = snapshots(&mem);
    snapshots.write(&body(1)).unwrap();
    let (mut journal, _) = Journal::open(Arc::new(mem.clone()), "ledger", VERSION).unwrap();
    journal.append(&body(1)).unwrap();
    mem.set_plan(FaultPlan::Full);
    assert!(snapshots.write(&body(2)).is_err() && journal.append(&body(2)).is_err());
    assert_eq!(newest(&mem), Some(body(1)));
    mem.set_plan(FaultPlan::Serve);
    snapshots.write(&body(3)).unwrap();
    // After a failed record nothing is put behind it, until the journal has been written anew.
    assert!(journal.append(&body(3)).is_err());
    journal.rewrite(&[body(1)]).unwrap();
    journal.append(&body(3)).unwrap();
    let found: Vec<_> = Journal::read(&mem, "ledger", VERSION).records.into_iter().map(|r| r.bytes).collect();
    assert_eq!((newest(&mem), found), (Some(body(3)), vec![body(1), body(3)]));
}

#[test]
fn every_byte_flipped_and_every_length_cut_is_ignored_or_read_right() {
    let mem = MemoryStore::default();
    snapshots(&mem).write(&body(1)).unwrap();
    snapshots(&mem).write(&body(2)).unwrap();
    journal(&mem);
    for name in mem.names() {
        let whole = mem.contents(&name).unwrap();
        let flipped = (0..whole.len()).flat_map(|at| {
            let whole = &whole;
            [1u8, 0x80, 0xff].into_iter().map(move |bits| {
                let mut bytes = whole.clone();
                bytes[at] ^= bits;
                bytes
            })
        });
        let cut = (0..whole.len()).map(|length| whole[..length].to_vec());
        for bytes in flipped.chain(cut) {
            mem.overwrite(&name, bytes);
            let found = newest(&mem);
            assert!(found.is_none() || [body(1), body(2)].contains(found.as_ref().unwrap()), "{name}");
            let records = Journal::read(&mem, "ledger", VERSION).records;
            assert!(records.iter().zip(1..).all(|(record, n)| record.bytes == body(n)), "{name}");
        }
        mem.overwrite(&name, whole);
    }
}

/// A length that a damaged head makes up must not be asked of the memory.
#[test]
fn a_length_beyond_the_file_is_a_fault_and_takes_no_memory() {
    let mem = MemoryStore::default();
    let mut bytes = b"dunepondSNAP".to_vec();
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&7u64.to_le_bytes());
    bytes.extend_from_slice(&u64::MAX.to_le_bytes());
    let sum = crc32fast_of(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    mem.overwrite("beliefs-7.snapshot", bytes);
    let found = snapshots(&mem).load().unwrap();
    assert_eq!((found.newest, found.faults[0].1.clone()), (None, FileFault::Truncated));
}

/// The checksum as the format has it, worked out here by hand.
fn crc32fast_of(bytes: &[u8]) -> u32 {
    let step = |crc: u32| if crc & 1 == 1 { (crc >> 1) ^ 0xedb8_8320 } else { crc >> 1 };
    !bytes.iter().fold(!0u32, |crc, byte| (0..8).fold(crc ^ u32::from(*byte), |crc, _| step(crc)))
}

#[test]
fn files_of_a_later_version_are_left_alone() {
    let mem = MemoryStore::default();
    let files = Arc::new(mem.clone());
    SnapshotStore::new(files.clone(), "beliefs", VERSION + 1).write(&body(9)).unwrap();
    Journal::open(files.clone(), "ledger", VERSION + 1).unwrap().0.append(&body(9)).unwrap();
    let before: Vec<_> = mem.names().into_iter().map(|name| (mem.contents(&name), name)).collect();
    assert!(Journal::open(files.clone(), "ledger", VERSION).is_err());
    let mut ours = snapshots(&mem);
    for n in 1..6 {
        ours.write(&body(n)).unwrap();
    }
    let found = ours.load().unwrap();
    assert_eq!(found.newest.unwrap().bytes, body(5));
    assert!(found.faults.iter().any(|(_, fault)| *fault == FileFault::NewerVersion(VERSION + 1)));
    assert!(before.iter().all(|(bytes, name)| mem.contents(name) == *bytes));
    // Ours before the last two have gone.
    assert_eq!(mem.names().iter().filter(|name| name.ends_with(".snapshot")).count(), 3);
}

#[test]
fn an_earlier_versions_journal_is_read_and_goes_on_in_ours() {
    let mem = MemoryStore::default();
    let files = Arc::new(mem.clone());
    Journal::open(files.clone(), "ledger", VERSION - 1).unwrap().0.append(&body(1)).unwrap();
    let (mut journal, recovered) = Journal::open(files.clone(), "ledger", VERSION).unwrap();
    assert_eq!(recovered.records[0].bytes, body(1));
    journal.append(&body(2)).unwrap();
    assert_eq!(Journal::read(&mem, "ledger", VERSION).records.len(), 2);
    assert!(matches!(Journal::read(&mem, "ledger", VERSION - 1).fault, Some(FileFault::NewerVersion(_))));
}

#[rstest]
#[case::empty(b"".to_vec(), FileFault::Truncated)]
#[case::half_a_name(b"dunep".to_vec(), FileFault::Truncated)]
#[case::anothers(b"#!/bin/sh\necho hello\n".to_vec(), FileFault::UnknownFormat)]
#[case::another_kind(b"dunepondJRNL000000000000000000000000".to_vec(), FileFault::UnknownFormat)]
fn what_is_not_ours_is_named_so(#[case] bytes: Vec<u8>, #[case] fault: FileFault) {
    let mem = MemoryStore::default();
    mem.overwrite("beliefs-1.snapshot", bytes);
    assert_eq!(snapshots(&mem).load().unwrap().faults, [("beliefs-1.snapshot".to_string(), fault)]);
}

#[test]
fn a_real_folder_belongs_to_one_process_at_a_time_and_may_be_looked_at_beside_it() {
    let path = std::env::temp_dir().join(format!("dunepond-store-{}", std::process::id()));
    std::fs::create_dir(&path).unwrap();
    let folder = DiskStore::open(&path).unwrap();
    let second = DiskStore::open(&path).map(drop).unwrap_err();
    assert_eq!(second.kind(), std::io::ErrorKind::WouldBlock);
    let mut ours = SnapshotStore::new(Arc::new(folder), "beliefs", VERSION);
    ours.write(&body(4)).unwrap();
    let looking = SnapshotStore::new(Arc::new(DiskStore::open_read_only(&path).unwrap()), "beliefs", VERSION);
    assert_eq!(looking.load().unwrap().newest.unwrap().bytes, body(4));
    drop((ours, looking));
    assert!(DiskStore::open(&path).is_ok());
    std::fs::remove_dir_all(&path).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        ..ProptestConfig::default()
    })]

    /// Whatever bytes stand in whatever file: no panic, no more memory than the file has, and nothing made up.
    #[test]
    fn any_bytes_are_a_fault_or_a_file(bytes in prop::collection::vec(any::<u8>(), 0..400), keep in 0..60usize) {
        let mem = MemoryStore::default();
        snapshots(&mem).write(&body(1)).unwrap();
        Journal::open(Arc::new(mem.clone()), "ledger", VERSION).unwrap().0.append(&body(1)).unwrap();
        for name in mem.names() {
            let whole = mem.contents(&name).unwrap();
            mem.overwrite(&name, [&whole[..keep.min(whole.len())], &bytes].concat());
        }
        let read = snapshots(&mem).load().unwrap();
        prop_assert!(read.newest.is_none() || read.newest.unwrap().bytes == body(1));
        let journal = Journal::open(Arc::new(mem.clone()), "ledger", VERSION);
        if let Ok((mut journal, _)) = journal {
            journal.append(&body(2)).unwrap();
            let records = Journal::read(&mem, "ledger", VERSION).records;
            prop_assert_eq!(&records.last().unwrap().bytes, &body(2));
        }
    }
}
