//! Tests that crash the process or the machine at each call to the store, or make a call fail. Afterwards, either the
//! old or the new state must be read, and no synced data may be lost.

mod support;

use std::sync::Arc;

use dunepond_storage::*;
use dunepond_testkit::memory_store::{FaultPlan, MemoryStore};
use rstest::rstest;
use support::*;

/// Returns how many calls `work` makes to a new store.
fn count_calls(work: impl Fn(&MemoryStore)) -> usize {
    let store = MemoryStore::default();
    store.set_plan(FaultPlan::NoFault);
    work(&store);
    store.call_count()
}

#[rstest]
#[case::process_crash(false)]
#[case::machine_crash(true)]
fn snapshot_is_atomic_under_crashes(#[case] machine: bool) {
    let write_four = |store: &MemoryStore| {
        let mut snapshots = snapshots(store);
        let written = (1..5u8).take_while(|n| snapshots.write(&payload(*n)).is_ok()).last();
        written.unwrap_or(0)
    };
    let call_count = count_calls(|store| {
        write_four(store);
    });
    assert!(call_count > 20);
    for (at, seed) in (1..=call_count).flat_map(|at| (0..40).map(move |seed| (at, seed))) {
        let store = MemoryStore::default();
        store.set_plan(FaultPlan::StopAtCall(at));
        let written = write_four(&store);
        store.restart_after_crash(machine, seed);
        let found = newest_snapshot(&store);
        let expected = [(written > 0).then(|| payload(written)), Some(payload(written + 1))];
        assert!(
            expected.contains(&found),
            "crash at call {at}, seed {seed}: written {written}, found {found:?}"
        );
        // The next write succeeds.
        let before = snapshots(&store).load().unwrap().newest.map_or(0, |snapshot| snapshot.number);
        assert!(snapshots(&store).write(&payload(77)).unwrap() > before);
        assert_eq!(newest_snapshot(&store), Some(payload(77)));
    }
}

#[rstest]
#[case::process_crash(false)]
#[case::machine_crash(true)]
fn journal_recovers_complete_records_after_crashes(#[case] machine: bool) {
    let call_count = count_calls(|store| drop(write_journal(store)));
    for (at, seed) in (1..=call_count).flat_map(|at| (0..40).map(move |seed| (at, seed))) {
        let store = MemoryStore::default();
        store.set_plan(FaultPlan::StopAtCall(at));
        let (appended, synced) = write_journal(&store);
        store.restart_after_crash(machine, seed);
        let (mut journal, recovered) = Journal::open(Arc::new(store.clone()), "ledger", VERSION).unwrap();
        let found: Vec<_> = recovered.records.into_iter().map(|record| record.bytes).collect();
        let min_records = if machine { synced } else { appended.len() };
        assert!(
            found.len() >= min_records,
            "crash at call {at}, seed {seed}: {} of {min_records}",
            found.len()
        );
        // The record whose append was interrupted may be found too.
        let mut attempted = appended.clone();
        attempted.push(payload(appended.len() as u8 + 1));
        assert!(attempted.starts_with(&found), "crash at call {at}, seed {seed}");
        // Records that the recovery removed do not reappear, and records appended after the recovery are read.
        journal.append(&payload(99)).unwrap();
        let continued = Journal::read(&store, "ledger", VERSION);
        assert_eq!((continued.fault, continued.records.len()), (None, found.len() + 1));
        assert_eq!(continued.records.last().unwrap().bytes, payload(99));
    }
}

/// Guards against a single failed call losing an earlier snapshot or blocking later writes.
#[test]
fn failed_call_leaves_old_or_new_snapshot() {
    let write_three = |store: &MemoryStore| {
        let mut snapshots = snapshots(store);
        (1..4u8).map(|n| snapshots.write(&payload(n)).is_ok()).collect::<Vec<_>>()
    };
    for at in 1..=count_calls(|store| drop(write_three(store))) {
        let store = MemoryStore::default();
        store.set_plan(FaultPlan::FailCall(at));
        let written = write_three(&store);
        assert!(written.iter().filter(|ok| !**ok).count() <= 1);
        store.set_plan(FaultPlan::NoFault);
        // The third snapshot may be found even if its write failed, since the write may have failed after the rename.
        let last = 1 + written.iter().rposition(|ok| *ok).unwrap() as u8;
        let expected = [Some(payload(last)), Some(payload(3))];
        assert!(expected.contains(&newest_snapshot(&store)), "failure at call {at}");
        snapshots(&store).write(&payload(9)).unwrap();
        assert_eq!(newest_snapshot(&store), Some(payload(9)), "failure at call {at}");
    }
}

#[test]
fn full_disk_keeps_stored_data() {
    let store = MemoryStore::default();
    let mut snapshots = snapshots(&store);
    snapshots.write(&payload(1)).unwrap();
    let (mut journal, _) = Journal::open(Arc::new(store.clone()), "ledger", VERSION).unwrap();
    journal.append(&payload(1)).unwrap();
    store.set_plan(FaultPlan::DiskFull);
    assert!(snapshots.write(&payload(2)).is_err() && journal.append(&payload(2)).is_err());
    assert_eq!(newest_snapshot(&store), Some(payload(1)));
    store.set_plan(FaultPlan::NoFault);
    snapshots.write(&payload(3)).unwrap();
    // After a failed append, no record can be appended until the journal is rewritten.
    assert!(journal.append(&payload(3)).is_err());
    journal.rewrite(&[payload(1)]).unwrap();
    journal.append(&payload(3)).unwrap();
    let found: Vec<_> =
        Journal::read(&store, "ledger", VERSION).records.into_iter().map(|r| r.bytes).collect();
    assert_eq!((newest_snapshot(&store), found), (Some(payload(3)), vec![payload(1), payload(3)]));
}
