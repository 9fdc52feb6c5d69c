//! Formats of the data directory, of the operator's files, and of the messages that only this crate uses: files of
//! earlier builds can be read, and equal values are written as the same bytes.

use std::collections::{BTreeMap, BTreeSet};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use dunepond_consensus::{
    ConfigVersion, ExcludedNodes, Extension, PersistedState, RECOVERY_CONFIRMATION, RecoveryOrder,
    RoutingRules, StoredVoter, Voter, VoterChange, VoterInfo,
};
use dunepond_settlement::{
    Allotment, BrokerPartners, CarriedCounts, Fill, LocalCounts, Settlement, SettlementEntry,
    SettlementLedger, SharePromises, StartedFill,
};
use dunepond_shard_map::{KeyRange, MapConstraints, Replica, Segment, ShardMap};
use dunepond_simulation::fixtures::consensus_config;
use dunepond_storage::{DiskStore, Journal, SnapshotStore};

use crate::commitments::{Commitments, CommittedFill, FinishedFill};
use crate::data_directory::{DataDirectory, StoredState};
use crate::documents::{self, Document};
use crate::lost_majority;

/// When the golden data directory (`folder`) was opened first, in Unix milliseconds.
const OPENED_UNIX_MILLIS: u64 = 1_790_000_000_000;
/// Names of the snapshots in the data directory.
const SNAPSHOTS: [&str; 4] = ["counts", "kept", "promises", "starts"];
const JOURNAL: &str = "voter.journal";

/// Path of a golden file.
pub(crate) fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name)
}

/// Content of a golden file.
pub(crate) fn golden(name: &str) -> Vec<u8> {
    let path = golden_path(name);
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Asserts that `written` equals the golden file `name`.
pub(crate) fn assert_same(name: &str, written: &[u8]) {
    assert_eq!(written, golden(name), "{name}");
}

/// File name of a snapshot.
fn snapshot(name: &str, number: u64) -> String {
    format!("{name}-{number:020}.snapshot")
}

fn text(text: &str) -> String {
    text.to_string()
}

/// A settlement of the fill from the share of `share_holder`.
fn settlement(fill_id: &str, share_holder: &str, bytes: u64) -> Settlement {
    Settlement {
        id: format!("{fill_id}@{share_holder}"),
        debtor: text("north"),
        creditor: text("south"),
        bytes,
        segment: 1,
        holder: text("s-3"),
        source: text("s-1"),
    }
}

fn fill(id: &str, settles: Option<Settlement>) -> Fill {
    Fill {
        id: text(id),
        segment: 1,
        node: text("s-3"),
        source: text("s-1"),
        from: text("north"),
        to: text("south"),
        bytes: 1 << 20,
        rate: 65_536.0,
        settles,
    }
}

/// Traffic counts of two starts of n1, merged with those of n2.
fn local_counts() -> LocalCounts {
    let mut counts = LocalCounts::open(None, "n1", 5).unwrap();
    counts.record("north", "south", 700);
    counts.record("south", "north", 300);
    // Counts of earlier starts are combined into one sum.
    let mut counts = LocalCounts::open(Some(counts), "n1", 6).unwrap();
    counts.record("north", "south", 50);
    let mut peer_counts = CarriedCounts::new();
    peer_counts.record("n2", 1_790_000_000_000, "south", "north", 1 << 40);
    counts.merge_from_peer("n2", &peer_counts, &BrokerPartners::default()).unwrap();
    counts
}

/// A ledger with one entry of each kind that the golden files need.
fn ledger() -> SettlementLedger {
    let mut ledger = SettlementLedger::default();
    let parts = vec![(text("n1"), 5000).into(), (text("fleet"), 5000).into()];
    let allotment =
        Allotment { number: 0, debtor: text("north"), creditor: text("south"), debt: 10_000, parts };
    let started =
        StartedFill::new(&fill("7/1/s-3", Some(settlement("7/1/s-3", "fleet", 900))), 1_790_000_000);
    let settled = settlement("6/1/s-3", "fleet", 1000);
    for entry in [
        SettlementEntry::Allot(allotment),
        SettlementEntry::Settle(settled),
        SettlementEntry::StartFill(started),
    ] {
        ledger.apply(&entry).unwrap();
    }
    ledger
}

/// Commitments to two fills: one is running and has a promised settlement, the other is done and has none.
fn commitments() -> Commitments {
    let ledger = ledger();
    let mut shares = SharePromises::new("n1").unwrap();
    let promised = settlement("7/1/s-3+1790", "n1", 400);
    shares.promise(&ledger, promised.clone()).unwrap();
    let committed = |fill, done| CommittedFill { fill, done };
    let fills = BTreeMap::from([
        (text("7/1/s-3+1790"), committed(fill("7/1/s-3+1790", Some(promised)), false)),
        (text("7/2/s-3+1790"), committed(fill("7/2/s-3+1790", None), true)),
    ]);
    let finished = |segment, node, incarnation| FinishedFill { segment, node: text(node), incarnation };
    let finished = BTreeSet::from([finished(2, "s-3", 1790), finished(4, "s-2", 12)]);
    Commitments { shares, ledger, applied_entries: 3, fills, finished }
}

/// Records of the golden journal, which is that of one of three voters. Configuration version 1 is active in it.
fn journal_records() -> Vec<Vec<u8>> {
    let files = DiskStore::open_read_only(&golden_path("folder")).unwrap();
    let recovered = Journal::read(&files, "voter", 1);
    assert_eq!(recovered.fault, None);
    recovered.records.into_iter().map(|record| record.bytes).collect()
}

/// The stored configuration of a broker in the same fleet.
fn stored_config() -> PersistedState {
    let files = DiskStore::open_read_only(&golden_path("folder")).unwrap();
    let newest = SnapshotStore::new(Arc::new(files), "kept", 1).load().unwrap().newest.unwrap();
    PersistedState::decode(&newest.bytes).unwrap()
}

/// A copy of the stored directory. Its files are passed to the data directory like a test double. Otherwise the
/// directory would be detected as a copy and its journal would be emptied.
fn copy_of_stored_directory() -> (tempfile::TempDir, Arc<DiskStore>) {
    let directory = tempfile::tempdir().unwrap();
    for name in SNAPSHOTS.map(|name| snapshot(name, 1)).iter().map(String::as_str).chain([JOURNAL]) {
        std::fs::copy(golden_path("folder").join(name), directory.path().join(name)).unwrap();
    }
    let files = Arc::new(DiskStore::open(directory.path()).unwrap());
    (directory, files)
}

/// Sorted names of the files in the directory.
fn file_names(directory: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().file_name());
    let mut names: Vec<_> = entries.map(|name| name.into_string().unwrap()).collect();
    names.sort();
    names
}

#[test]
fn written_directory_format() {
    let directory = tempfile::tempdir().unwrap();
    let files = Arc::new(DiskStore::open(directory.path()).unwrap());
    let (mut data, stored) =
        DataDirectory::open(directory.path(), Some(files), true, OPENED_UNIX_MILLIS).unwrap();
    assert_eq!(stored.incarnation, OPENED_UNIX_MILLIS);
    assert!(stored.config.is_none() && stored.counts.is_none() && stored.commitments.is_none());
    journal_records().iter().for_each(|record| data.append_to_journal(record).unwrap());
    data.save_config(&stored_config()).unwrap();
    data.save_counts(&local_counts()).unwrap();
    data.save_commitments(&commitments()).unwrap();

    let mut expected: Vec<_> = SNAPSHOTS.map(|name| snapshot(name, 1)).into();
    expected.extend([text("dunepond.lock"), text(JOURNAL)]);
    expected.sort();
    assert_eq!(file_names(directory.path()), expected);
    for name in expected.iter().filter(|name| *name != "dunepond.lock") {
        assert_same(&format!("folder/{name}"), &std::fs::read(directory.path().join(name)).unwrap());
    }
}

#[test]
fn stored_directory_is_read_and_rewritten_equally() {
    let (directory, files) = copy_of_stored_directory();
    let (mut data, stored) = DataDirectory::open(directory.path(), Some(files), true, 0).unwrap();
    let StoredState { incarnation, voter_records, config, counts, commitments: stored_commitments } = stored;
    // The incarnation increases although the clock was set back.
    assert_eq!(incarnation, OPENED_UNIX_MILLIS + 1);
    let (config, counts, stored_commitments) =
        (config.unwrap(), counts.unwrap(), stored_commitments.unwrap());
    assert_eq!((&counts, &stored_commitments), (&local_counts(), &commitments()));
    let voter = Voter::open(consensus_config("n1", 3), voter_records, 0.0, 1).unwrap();
    let order: RecoveryOrder = serde_json::from_slice(&golden("majority-lost.json")).unwrap();
    assert_eq!(voter.recovery_position(), (order.folder_id, order.last_index));

    data.save_config(&config).unwrap();
    data.save_counts(&counts).unwrap();
    data.save_commitments(&stored_commitments).unwrap();
    let files: Arc<DiskStore> = Arc::new(DiskStore::open_read_only(directory.path()).unwrap());
    for name in ["counts", "kept", "promises"] {
        let newest = SnapshotStore::new(files.clone(), name, 1).load().unwrap().newest.unwrap();
        assert_eq!((newest.number, newest.format_version), (2, 1), "{name}");
        let stored =
            SnapshotStore::new(Arc::new(DiskStore::open_read_only(&golden_path("folder")).unwrap()), name, 1);
        assert_eq!(newest.bytes, stored.load().unwrap().newest.unwrap().bytes, "{name}");
    }
}

/// The origin file contains its own inode and creation time as decimal numbers, which later builds must be able to
/// read.
#[test]
fn origin_file_format() {
    let directory = tempfile::tempdir().unwrap();
    let (mut data, _) = DataDirectory::open(directory.path(), None, true, OPENED_UNIX_MILLIS).unwrap();
    data.append_to_journal(&journal_records()[0]).unwrap();
    drop(data);
    let origin = directory.path().join("origin");
    let metadata = std::fs::metadata(&origin).unwrap();
    let created = metadata.created().unwrap().duration_since(UNIX_EPOCH).unwrap().as_nanos();
    assert_eq!(std::fs::read_to_string(&origin).unwrap(), format!("{} {created}", metadata.ino()));
    let (_, stored) = DataDirectory::open(directory.path(), None, true, OPENED_UNIX_MILLIS).unwrap();
    let mut expected = StoredVoter::new();
    expected.apply_record(&journal_records()[0]).unwrap();
    assert_eq!(
        format!("{:?}", stored.voter_records),
        format!("{expected:?}"),
        "the records must be read from the same directory"
    );
}

#[test]
fn stored_recovery_order_is_carried_out_once() {
    let (directory, files) = copy_of_stored_directory();
    let (mut data, stored) =
        DataDirectory::open(directory.path(), Some(files), true, OPENED_UNIX_MILLIS).unwrap();
    let order = golden("majority-lost.json");
    let (order_file, done_file) =
        (directory.path().join("majority-lost.json"), directory.path().join("majority-lost.done"));
    std::fs::write(&order_file, &order).unwrap();
    let voter = lost_majority::recover(
        directory.path(),
        &mut data,
        &consensus_config("n1", 3),
        &stored.voter_records,
        0.0,
        1,
    );
    let voter = voter.unwrap().expect("the voter is recovered by the order");
    assert_eq!(voter.state().active_number(), 1);
    assert!(!order_file.exists());
    assert_eq!(std::fs::read(&done_file).unwrap(), order);

    let read: RecoveryOrder = serde_json::from_slice(&order).unwrap();
    assert_eq!(
        (read.lost_voters.len(), read.highest_number, read.confirmation.as_str()),
        (2, 1, RECOVERY_CONFIRMATION)
    );
    assert_same("majority-lost.json", serde_json::to_string(&read).unwrap().as_bytes());
}

fn replica(node: &str, partner: &str, filled: bool, share: f64) -> Replica {
    Replica { node: text(node), partner: text(partner), filled, share }
}

/// The configuration version in `version.json`.
fn version_7() -> ConfigVersion {
    let middle_key = 1 << 63;
    let segments = vec![
        Segment {
            id: 0,
            keys: KeyRange { from: 0, to: Some(middle_key) },
            owner: text("s-1"),
            replicas: vec![replica("s-1", "north", true, 0.5), replica("s-2", "south", true, 0.5)],
        },
        Segment {
            id: 1,
            keys: KeyRange { from: middle_key, to: None },
            owner: text("s-2"),
            replicas: vec![
                replica("s-1", "north", true, 1.0),
                replica("s-2", "south", true, 0.0),
                replica("s-3", "south", false, 0.0),
            ],
        },
    ];
    ConfigVersion {
        number: 7,
        based_on: Some(6),
        first_stage_ratio: Some(0.25),
        rules: RoutingRules {
            minimum_shares: vec![0.5, 1.0],
            complete_at: vec![1.0, 1.0],
            retry_budget_ratio: 0.125,
            retry_budget_min: 20.0,
            drain_grace_seconds: 1.0,
            slow_start_multiple: 2.0,
            max_attempts: 4,
            hedging_enabled: true,
            keyed_retries_enabled: true,
            max_retry_after_seconds: 2.0,
        },
        excluded_nodes: ExcludedNodes { draining: vec![text("s-17")], removed: vec![text("s-18")] },
        map: Some(
            ShardMap { epoch: 12, hash: text("xxh3-64"), segments, digest: String::new() }.with_digest(),
        ),
        proposed_by: text("mara"),
        reason: text("s-3 takes over from s-2 next week"),
        proposed_at_unix_seconds: 1_790_000_000.0,
        extensions: vec![Extension { key: text("omens"), json: text("{\"a\":1}"), required: false }],
    }
}

/// The list of voters in `voters.json`.
fn voters() -> VoterChange {
    VoterChange {
        number: 1,
        voters: vec![
            VoterInfo { name: text("n1"), address: None },
            VoterInfo { name: text("n4"), address: Some(text("10.1.0.4:7400")) },
        ],
        proposed_by: text("mara"),
        reason: text("n3 is worn out"),
        proposed_at_unix_seconds: 1_790_000_000.0,
    }
}

/// Reads a golden file as an operator's document.
fn read_golden(name: &str) -> Document {
    documents::read_document(&golden_path(name), 2, &[], &MapConstraints { min_replicas: 2, min_zones: 1 })
        .unwrap()
}

/// The operator's documents can be read, and their encoding for the leader has the same bytes as in earlier builds.
#[test]
fn version_and_voter_file_formats() {
    let documents =
        [("version", Document::Version(Box::new(version_7()))), ("voters", Document::Voters(voters()))];
    for (name, document) in documents {
        assert_eq!(read_golden(&format!("{name}.json")), document, "{name}");
        let message = format!("propose-{name}.bin");
        assert_same(&message, &postcard::to_stdvec(&document).unwrap());
        assert_eq!(postcard::from_bytes::<Document>(&golden(&message)).unwrap(), document, "{name}");
    }
}

/// Covers the settlement entries that brokers send to the leader, and the traffic counts that brokers exchange.
#[test]
fn settlement_message_formats() {
    let mut shares = commitments().shares;
    shares.release(&ledger(), "north", "south", 250).unwrap();
    let due: Vec<SettlementEntry> = shares.pending_entries().collect();
    assert_eq!(due.len(), 2);
    assert_same("bring.bin", &postcard::to_stdvec(&due).unwrap());
    assert_eq!(postcard::from_bytes::<Vec<SettlementEntry>>(&golden("bring.bin")).unwrap(), due);

    let message = dunepond_settlement::CountsMessage::counts_only(local_counts().counts().clone());
    assert_same("counts-word.bin", &postcard::to_stdvec(&message).unwrap());
    assert_eq!(
        postcard::from_bytes::<dunepond_settlement::CountsMessage>(&golden("counts-word.bin")).unwrap(),
        message
    );
    // Older builds send the counts without the acknowledgements.
    assert_same("counts-alone.bin", &postcard::to_stdvec(local_counts().counts()).unwrap());
    assert_eq!(
        &postcard::from_bytes::<CarriedCounts>(&golden("counts-alone.bin")).unwrap(),
        local_counts().counts()
    );
}
