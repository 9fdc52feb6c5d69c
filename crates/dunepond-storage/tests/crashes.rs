//! Crashes of the process or the machine at every call, and calls that fail: the old state or the new one is read, and synced data
//! is kept.

mod support;

use std::sync::Arc;

use dunepond_storage::*;
use dunepond_testkit::memory_store::{FaultPlan, MemoryStore};
use rstest::rstest;
use support::*;

/// How many calls a fresh run of `work` makes.
fn count_calls(work: impl Fn(&MemoryStore)) -> usize {
    let store = MemoryStore::default();
    store.set_plan(FaultPlan::Serve);
    work(&store);
    store.calls()
}

#[rstest]
#[case::the_process(false)]
#[case::the_machine(true)]
fn snapshot_is_atomic_under_crashes(#[case] machine: bool) {
    let write_four = |store: &MemoryStore| {
        let mut snapshots = snapshots(store);
        let written = (1..5u8).take_while(|n| snapshots.write(&payload(*n)).is_ok()).last();
        written.unwrap_or(0)
    };
    let all = count_calls(|store| {
        write_four(store);
    });
    assert!(all > 20);
    for (at, seed) in (1..=all).flat_map(|at| (0..40).map(move |seed| (at, seed))) {
        let store = MemoryStore::default();
        store.set_plan(FaultPlan::StopAt(at));
        let written = write_four(&store);
        store.crash(machine, seed);
        let found = newest_snapshot(&store);
        let expected = [(written > 0).then(|| payload(written)), Some(payload(written + 1))];
        assert!(expected.contains(&found), "killed at {at}, seed {seed}: written {written}, found {found:?}");
        // The next write succeeds.
        let before = snapshots(&store).load().unwrap().newest.map_or(0, |snapshot| snapshot.number);
        assert!(snapshots(&store).write(&payload(77)).unwrap() > before);
        assert_eq!(newest_snapshot(&store), Some(payload(77)));
    }
}

#[rstest]
#[case::the_process(false)]
#[case::the_machine(true)]
fn journal_recovers_whole_records_after_crashes(#[case] machine: bool) {
    let all = count_calls(|store| drop(write_journal(store)));
    for (at, seed) in (1..=all).flat_map(|at| (0..40).map(move |seed| (at, seed))) {
        let store = MemoryStore::default();
        store.set_plan(FaultPlan::StopAt(at));
        let (appended, synced) = write_journal(&store);
        store.crash(machine, seed);
        let (mut journal, recovered) = Journal::open(Arc::new(store.clone()), "ledger", VERSION).unwrap();
        let found: Vec<_> = recovered.records.into_iter().map(|record| record.bytes).collect();
        let min_records = if machine { synced } else { appended.len() };
        assert!(found.len() >= min_records, "killed at {at}, seed {seed}: {} of {min_records}", found.len());
        let mut next = appended.clone();
        next.push(payload(appended.len() as u8 + 1));
        assert!(next.starts_with(&found), "killed at {at}, seed {seed}");
        // What was cut off stays lost, and what is appended after it is read.
        journal.append(&payload(99)).unwrap();
        let found_then = Journal::read(&store, "ledger", VERSION);
        assert_eq!((found_then.fault, found_then.records.len()), (None, found.len() + 1));
        assert_eq!(found_then.records.last().unwrap().bytes, payload(99));
    }
}

/// Any one call fails: nothing that was written before is lost, and the next write succeeds.
#[test]
fn failed_call_leaves_old_or_new_snapshot() {
    let write_three = |store: &MemoryStore| {
        let mut snapshots = snapshots(store);
        (1..4u8).map(|n| snapshots.write(&payload(n)).is_ok()).collect::<Vec<_>>()
    };
    for at in 1..=count_calls(|store| drop(write_three(store))) {
        let store = MemoryStore::default();
        store.set_plan(FaultPlan::FailAt(at));
        let written = write_three(&store);
        assert!(written.iter().filter(|ok| !**ok).count() <= 1);
        store.set_plan(FaultPlan::Serve);
        // A write that failed after its rename is there all the same.
        let last = 1 + written.iter().rposition(|ok| *ok).unwrap() as u8;
        let expected = [Some(payload(last)), Some(payload(3))];
        assert!(expected.contains(&newest_snapshot(&store)), "failed at {at}");
        snapshots(&store).write(&payload(9)).unwrap();
        assert_eq!(newest_snapshot(&store), Some(payload(9)), "failed at {at}");
    }
}

#[test]
fn full_disk_keeps_stored_data() {
    let store = MemoryStore::default();
    let mut snapshots = snapshots(&store);
    snapshots.write(&payload(1)).unwrap();
    let (mut journal, _) = Journal::open(Arc::new(store.clone()), "ledger", VERSION).unwrap();
    journal.append(&payload(1)).unwrap();
    store.set_plan(FaultPlan::Full);
    assert!(snapshots.write(&payload(2)).is_err() && journal.append(&payload(2)).is_err());
    assert_eq!(newest_snapshot(&store), Some(payload(1)));
    store.set_plan(FaultPlan::Serve);
    snapshots.write(&payload(3)).unwrap();
    // After a failed record nothing is appended until the journal has been rewritten.
    assert!(journal.append(&payload(3)).is_err());
    journal.rewrite(&[payload(1)]).unwrap();
    journal.append(&payload(3)).unwrap();
    let found: Vec<_> =
        Journal::read(&store, "ledger", VERSION).records.into_iter().map(|r| r.bytes).collect();
    assert_eq!((newest_snapshot(&store), found), (Some(payload(3)), vec![payload(1), payload(3)]));
}
