//! Golden files of the stored formats: files that earlier builds wrote decode to the expected values, and these values
//! encode to the same bytes.

use std::path::Path;

use dunepond_recovery::{BudgetRecord, FORMAT_VERSION, LearnedSnapshot, NodeIdentity, Timestamp};
use dunepond_routing::{
    ArrivalRecord, IdleUseRecord, LatencyRecord, LearnedNode, LearnedSample, LearnedState, SlowStartRecord,
    SpentBudgets,
};

fn golden(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name);
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn timestamp() -> Timestamp {
    Timestamp { unix: 1_790_000_000.25, boot: "6f1c2a".to_string(), uptime: 86_400.5 }
}

fn identities() -> Vec<NodeIdentity> {
    let identity = |node, name: &str, address: &str, started_at| NodeIdentity {
        node,
        name: name.to_string(),
        address: address.to_string(),
        started_at,
    };
    vec![identity(0, "s-1", "10.1.0.1:9000", 0.0), identity(3, "s-2", "10.1.0.2:9000", 1_789_999_000.0)]
}

fn sample(class: usize, ago: f64, served: bool, fault: bool) -> LearnedSample {
    LearnedSample { class, sent_ago: ago + 0.25, latency: 0.25, ended_ago: ago, served, fault }
}

fn query_classes() -> Vec<String> {
    vec!["find".to_string(), "fix".to_string()]
}

fn learned_snapshot() -> LearnedSnapshot {
    let nodes = vec![
        LearnedNode {
            node: 0,
            ejected: true,
            samples: vec![sample(0, 3.0, true, false), sample(1, 2.0, false, true)],
        },
        LearnedNode { node: 3, ejected: false, samples: vec![sample(1, 1.0, false, false)] },
        // `identities()`, the endpoint list, does not name node 9, so the snapshot leaves this node out.
        LearnedNode { node: 9, ejected: false, samples: vec![sample(0, 1.0, true, false)] },
    ];
    let learned = LearnedState {
        nodes,
        latency_samples: vec![
            LatencyRecord { latency: 0.25, ago: 1.5, node_share: 0.125 },
            LatencyRecord { latency: 0.5, ago: 0.75, node_share: 1.0 },
        ],
        idle_uses: vec![
            IdleUseRecord { ago: 4.0, idle_seconds: 30.0, broke: true },
            IdleUseRecord { ago: 2.0, idle_seconds: 15.0, broke: false },
        ],
        baseline_latency: Some(0.0625),
    };
    LearnedSnapshot::capture(timestamp(), &query_classes(), &identities(), &learned)
}

#[test]
fn learned_snapshot_matches_golden_bytes() {
    assert_eq!(FORMAT_VERSION, 1);
    let snapshot = learned_snapshot();
    assert_eq!(snapshot.encode(), golden("beliefs.bin"));
    let read = LearnedSnapshot::decode(&golden("beliefs.bin")).unwrap();
    assert_eq!(read, snapshot);
    assert_eq!(read.encode(), golden("beliefs.bin"));
    assert_eq!((read.at(), read.query_classes(), read.node_count()), (&timestamp(), &query_classes()[..], 2));
}

#[test]
fn empty_learned_snapshot_matches_golden_bytes() {
    let snapshot = LearnedSnapshot::capture(Timestamp::default(), &[], &[], &LearnedState::default());
    assert_eq!(snapshot.encode(), golden("beliefs-none.bin"));
    assert_eq!(LearnedSnapshot::decode(&golden("beliefs-none.bin")).unwrap(), snapshot);
}

#[test]
fn budget_records_match_golden_bytes() {
    let spent = SpentBudgets {
        retries: vec![0.5, 2.25],
        arrivals: vec![ArrivalRecord { ago: 0.5, count: 1.0 }, ArrivalRecord { ago: 1.5, count: 40.0 }],
        // `identities()`, the endpoint list, does not name node 9, so the record leaves its requests out.
        slow_start_sends: vec![
            SlowStartRecord { node: 3, sent_ago: vec![0.25, 0.75] },
            SlowStartRecord { node: 9, sent_ago: vec![1.0] },
        ],
    };
    let records = [
        ("begun.bin", BudgetRecord::BrokerStarted { at: timestamp() }),
        ("ended.bin", BudgetRecord::stopped(timestamp(), &identities(), &spent)),
        ("ended-none.bin", BudgetRecord::stopped(Timestamp::default(), &[], &SpentBudgets::default())),
    ];
    for (name, record) in records {
        assert_eq!(record.encode(), golden(name), "{name}");
        let read = BudgetRecord::decode(&golden(name)).unwrap();
        assert_eq!(read, record, "{name}");
        assert_eq!(read.encode(), golden(name), "{name}");
    }
}
