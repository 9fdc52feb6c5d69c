//! Stored forms: what earlier builds wrote is read as it was meant, and the same values give the same bytes.

use std::path::Path;

use dunepond_recovery::{BudgetRecord, FORMAT_VERSION, LearnedSnapshot, NodeIdentity, Timestamp};
use dunepond_routing::{
    AdmissionRecord, IdleResetRecord, LatencyRecord, LearnedNode, LearnedSample, LearnedState,
    SlowStartRecord, SpentBudgets,
};

fn golden(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name);
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn stamp() -> Timestamp {
    Timestamp { unix: 1_790_000_000.25, boot: "6f1c2a".to_string(), uptime: 86_400.5 }
}

fn identities() -> Vec<NodeIdentity> {
    let identity = |node, name: &str, dial: &str, started| NodeIdentity {
        node,
        name: name.to_string(),
        address: dial.to_string(),
        started_at: started,
    };
    vec![identity(0, "s-1", "10.1.0.1:9000", 0.0), identity(3, "s-2", "10.1.0.2:9000", 1_789_999_000.0)]
}

fn sample(table_type: usize, ago: f64, served: bool, fault: bool) -> LearnedSample {
    LearnedSample { class: table_type, sent_ago: ago + 0.25, latency: 0.25, ended_ago: ago, served, fault }
}

fn query_classes() -> Vec<String> {
    vec!["find".to_string(), "fix".to_string()]
}

fn saved_beliefs() -> LearnedSnapshot {
    let nodes = vec![
        LearnedNode {
            node: 0,
            ejected: true,
            samples: vec![sample(0, 3.0, true, false), sample(1, 2.0, false, true)],
        },
        LearnedNode { node: 3, ejected: false, samples: vec![sample(1, 1.0, false, false)] },
        // The list does not name it: it is not kept.
        LearnedNode { node: 9, ejected: false, samples: vec![sample(0, 1.0, true, false)] },
    ];
    let beliefs = LearnedState {
        nodes,
        latency_samples: vec![
            LatencyRecord { latency: 0.25, ago: 1.5, node_share: 0.125 },
            LatencyRecord { latency: 0.5, ago: 0.75, node_share: 1.0 },
        ],
        idle_resets: vec![
            IdleResetRecord { ago: 4.0, idle_seconds: 30.0, broke: true },
            IdleResetRecord { ago: 2.0, idle_seconds: 15.0, broke: false },
        ],
        baseline_latency: Some(0.0625),
    };
    LearnedSnapshot::capture(stamp(), &query_classes(), &identities(), &beliefs)
}

#[test]
fn learned_values_match_golden_bytes() {
    assert_eq!(FORMAT_VERSION, 1);
    let saved = saved_beliefs();
    assert_eq!(saved.encode(), golden("beliefs.bin"));
    let read = LearnedSnapshot::decode(&golden("beliefs.bin")).unwrap();
    assert_eq!(read, saved);
    assert_eq!(read.encode(), golden("beliefs.bin"));
    assert_eq!((read.at(), read.query_classes(), read.node_count()), (&stamp(), &query_classes()[..], 2));
}

#[test]
fn learned_values_without_baseline_match_golden_bytes() {
    let saved = LearnedSnapshot::capture(Timestamp::default(), &[], &[], &LearnedState::default());
    assert_eq!(saved.encode(), golden("beliefs-none.bin"));
    assert_eq!(LearnedSnapshot::decode(&golden("beliefs-none.bin")).unwrap(), saved);
}

#[test]
fn spent_budgets_match_golden_bytes() {
    let ledger = SpentBudgets {
        retries: vec![0.5, 2.25],
        admissions: vec![AdmissionRecord { ago: 0.5, count: 1.0 }, AdmissionRecord { ago: 1.5, count: 40.0 }],
        // The last is not on the list: it is not kept.
        slow_start_sends: vec![
            SlowStartRecord { node: 3, sent_ago: vec![0.25, 0.75] },
            SlowStartRecord { node: 9, sent_ago: vec![1.0] },
        ],
    };
    let entries = [
        ("begun.bin", BudgetRecord::BrokerStarted { at: stamp() }),
        ("ended.bin", BudgetRecord::stopped(stamp(), &identities(), &ledger)),
        ("ended-none.bin", BudgetRecord::stopped(Timestamp::default(), &[], &SpentBudgets::default())),
    ];
    for (name, entry) in entries {
        assert_eq!(entry.encode(), golden(name), "{name}");
        let read = BudgetRecord::decode(&golden(name)).unwrap();
        assert_eq!(read, entry, "{name}");
        assert_eq!(read.encode(), golden(name), "{name}");
    }
}
