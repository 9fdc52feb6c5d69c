//! Tests of a restart: how far a snapshot is trusted, what is restored from it, and which spent budgets are still charged
//! to the restarted broker.

use dunepond_recovery::spent_budgets::outstanding_charges;
use dunepond_recovery::*;
use dunepond_routing::{
    ArrivalRecord, IdleUseRecord, LatencyRecord, LearnedNode, LearnedSample, LearnedState, SlowStartRecord,
    SpentBudgets,
};
use proptest::prelude::*;
use rstest::rstest;

/// Unix time in seconds at which the broker stopped.
const STOPPED_AT: f64 = 1_000_000.0;

/// A timestamp of an unknown boot, for which only Unix time is used.
fn at(unix: f64) -> Timestamp {
    Timestamp { unix, ..Timestamp::default() }
}

fn query_classes() -> Vec<String> {
    vec!["find".to_string(), "fix".to_string()]
}

fn node(node: usize) -> NodeIdentity {
    NodeIdentity {
        node,
        name: format!("s-{node}"),
        address: format!("127.0.0.1:{}", 9000 + node),
        started_at: 500.0,
    }
}

fn list(count: usize) -> Vec<NodeIdentity> {
    (0..count).map(node).collect()
}

fn sample(ago: f64) -> LearnedSample {
    LearnedSample { class: 0, sent_ago: ago + 0.2, latency: 0.2, ended_ago: ago, served: true, fault: false }
}

fn learned(count: usize) -> LearnedState {
    let samples = |_| (0..8).map(|i| sample(8.0 - i as f64)).collect();
    let nodes = (0..count).map(|node| LearnedNode { node, ejected: node == 0, samples: samples(node) });
    LearnedState {
        nodes: nodes.collect(),
        latency_samples: vec![LatencyRecord { latency: 0.2, ago: 1.0, node_share: 0.1 }; 64],
        idle_uses: vec![IdleUseRecord { ago: 1.0, idle_seconds: 30.0, broke: true }],
        baseline_latency: Some(0.1),
    }
}

/// A snapshot of eight nodes, captured at [`STOPPED_AT`], encoded and decoded again.
fn snapshot() -> LearnedSnapshot {
    LearnedSnapshot::decode(
        &LearnedSnapshot::capture(at(STOPPED_AT), &query_classes(), &list(8), &learned(8)).encode(),
    )
    .unwrap()
}

#[rstest]
#[case::at_once(0.0, 8)]
#[case::half_a_minute(30.0, 4)]
#[case::a_minute(60.0, 2)]
#[case::over_three_half_lives(100.0, 0)]
#[case::hours(7200.0, 0)]
#[case::clock_set_back_half_a_second(-0.5, 8)]
#[case::clock_set_back_an_hour(-3600.0, 0)]
fn trust_decreases_with_age_and_expires(#[case] elapsed: f64, #[case] sample_count: usize) {
    let restored = snapshot().restore(&at(STOPPED_AT + elapsed), &query_classes(), &list(8));
    let (_, decision) = &restored.nodes[0];
    if sample_count == 0 {
        assert_eq!((decision, &restored.learned), (&TrustDecision::Expired, &LearnedState::default()));
    } else {
        assert_eq!(*decision, TrustDecision::Trusted { sample_count, ejected: true });
        // The newest samples are restored, with their ages increased by the time since the snapshot was captured.
        let first = &restored.learned.nodes[0].samples[0];
        assert!((first.ended_ago - (sample_count as f64 + elapsed.max(0.0))).abs() < 1e-9, "{first:?}");
    }
}

/// Guards against restoring an ejection from hours ago, since the node may have recovered in the meantime.
#[test]
fn old_ejection_is_not_restored() {
    let restored = snapshot().restore(&at(STOPPED_AT + 3.0 * 3600.0), &query_classes(), &list(8));
    assert!(restored.learned.nodes.iter().all(|node| !node.ejected));
}

#[rstest]
#[case::restarted(NodeIdentity { started_at: 600.0, ..node(0) }, TrustDecision::Restarted)]
#[case::address_changed(NodeIdentity { address: "127.0.0.1:1".to_string(), ..node(0) }, TrustDecision::AddressChanged)]
#[case::renamed(NodeIdentity { name: "other".to_string(), ..node(0) }, TrustDecision::Unlisted)]
fn changed_node_is_not_restored(#[case] changed: NodeIdentity, #[case] decision: TrustDecision) {
    let mut listed = list(8);
    listed[0] = changed;
    let restored = snapshot().restore(&at(STOPPED_AT), &query_classes(), &listed);
    assert_eq!(restored.nodes[0], ("s-0".to_string(), decision));
    assert!(!restored.learned.nodes.iter().any(|learned| learned.node == 0));
    // Fewer samples of the other nodes are restored, since the confidence falls as more of the listed nodes change.
    assert_eq!(restored.confidence.unchanged_ratio, 7.0 / 8.0);
    assert_eq!(restored.nodes[1].1, TrustDecision::Trusted { sample_count: 7, ejected: false });
}

#[test]
fn list_without_known_nodes_restores_nothing() {
    let listed: Vec<_> = (0..8).map(|i| NodeIdentity { name: format!("new-{i}"), ..node(i) }).collect();
    let restored = snapshot().restore(&at(STOPPED_AT), &query_classes(), &listed);
    assert_eq!(restored.learned, LearnedState::default());
    assert!(restored.nodes.iter().all(|(_, decision)| *decision == TrustDecision::Unlisted));
}

/// Guards against matching by index: indices of nodes and query classes may differ between two processes.
#[test]
fn nodes_and_query_classes_match_by_name() {
    let mut listed = list(8);
    listed.iter_mut().for_each(|identity| identity.node = 7 - identity.node);
    let query_classes = vec!["fix".to_string(), "find".to_string()];
    let restored = snapshot().restore(&at(STOPPED_AT), &query_classes, &listed);
    let first = &restored.learned.nodes[0];
    assert_eq!((first.node, first.ejected, first.samples[0].class), (7, true, 1));
    let without = snapshot().restore(&at(STOPPED_AT), &query_classes[..1], &listed);
    assert!(without.learned.nodes.iter().all(|node| node.samples.is_empty()));
}

fn spent() -> SpentBudgets {
    SpentBudgets {
        retries: vec![0.5, 0.1],
        arrivals: vec![ArrivalRecord { ago: 0.4, count: 3.0 }],
        slow_start_sends: vec![SlowStartRecord { node: 2, sent_ago: vec![0.3] }],
    }
}

#[test]
fn graceful_stop_charges_exactly_what_was_spent() {
    let stopped =
        BudgetRecord::decode(&BudgetRecord::stopped(at(STOPPED_AT), &list(8), &spent()).encode()).unwrap();
    let records = [BudgetRecord::BrokerStarted { at: at(STOPPED_AT - 9.0) }, stopped];
    let expected = SpentBudgets {
        retries: vec![1.5, 1.1],
        arrivals: vec![ArrivalRecord { ago: 1.4, count: 3.0 }],
        slow_start_sends: vec![SlowStartRecord { node: 2, sent_ago: vec![1.3] }],
    };
    assert_eq!(
        outstanding_charges(&records, true, &at(STOPPED_AT + 1.0), &list(8)),
        OutstandingCharges::Known(expected)
    );
    // A node that was restarted after the broker stopped has its full slow-start capacity again.
    let mut listed = list(8);
    listed[2].started_at = 700.0;
    let OutstandingCharges::Known(charges) =
        outstanding_charges(&records, true, &at(STOPPED_AT + 1.0), &listed)
    else {
        panic!("the spending is unknown")
    };
    assert_eq!(charges.slow_start_sends, []);
}

#[rstest]
#[case::crashed(vec![BudgetRecord::BrokerStarted { at: at(STOPPED_AT) }], true)]
#[case::crashed_after_earlier_graceful_stop(vec![BudgetRecord::stopped(at(STOPPED_AT), &[], &SpentBudgets::default()), BudgetRecord::BrokerStarted { at: at(STOPPED_AT) }], true)]
#[case::last_record_may_be_missing(vec![BudgetRecord::stopped(at(STOPPED_AT), &[], &SpentBudgets::default())], false)]
#[case::no_record_readable(vec![], false)]
#[case::clock_set_back(vec![BudgetRecord::stopped(at(STOPPED_AT + 60.0), &[], &SpentBudgets::default())], true)]
fn unknown_spending_is_charged_in_full(#[case] records: Vec<BudgetRecord>, #[case] complete: bool) {
    assert_eq!(
        outstanding_charges(&records, complete, &at(STOPPED_AT + 1.0), &list(8)),
        OutstandingCharges::Unknown
    );
}

/// The Unix clock is set hours ahead or back between the broker's stop and its restart, while the uptime shows that one
/// second has passed.
#[rstest]
#[case::ahead(7200.0)]
#[case::back(-7200.0)]
fn clock_change_within_one_boot_is_ignored(#[case] clock_step: f64) {
    let same_boot = |unix: f64, uptime: f64| Timestamp { unix, boot: "b".to_string(), uptime };
    let records = [BudgetRecord::stopped(same_boot(STOPPED_AT, 100.0), &list(8), &spent())];
    let OutstandingCharges::Known(charges) =
        outstanding_charges(&records, true, &same_boot(STOPPED_AT + clock_step, 101.0), &list(8))
    else {
        panic!("the spending is unknown")
    };
    assert_eq!(charges.retries, [1.5, 1.1]);
    let snapshot =
        LearnedSnapshot::capture(same_boot(STOPPED_AT, 100.0), &query_classes(), &list(8), &learned(8));
    assert_eq!(snapshot.confidence(&same_boot(STOPPED_AT + clock_step, 100.0), &list(8)).weight, 1.0);
    // After a reboot, only Unix time can be used.
    let after = Timestamp { boot: "c".to_string(), ..same_boot(STOPPED_AT + clock_step, 1.0) };
    assert_eq!(snapshot.confidence(&after, &list(8)).weight, 0.0);
}

#[test]
fn new_directory_has_no_charges() {
    assert_eq!(
        outstanding_charges(&[], true, &at(STOPPED_AT), &list(8)),
        OutstandingCharges::Known(SpentBudgets::default())
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(21),
        ..ProptestConfig::default()
    })]

    /// Guards against payloads that have a valid checksum but invalid content: decoding them must not panic, and must
    /// not yield an invalid time.
    #[test]
    fn arbitrary_bytes_are_rejected_or_decoded(bytes in prop::collection::vec(any::<u8>(), 0..200), position in 0..100usize, bits: u8) {
        let mut corrupted = snapshot().encode();
        let offset = position * corrupted.len() / 100;
        corrupted[offset] ^= bits;
        for bytes in [&bytes, &corrupted] {
            if let Ok(snapshot) = LearnedSnapshot::decode(bytes) {
                let restored = snapshot.restore(&at(STOPPED_AT + 1.0), &query_classes(), &list(8));
                let samples = restored.learned.nodes.iter().flat_map(|node| &node.samples);
                prop_assert!(samples.into_iter().all(|s| s.ended_ago.is_finite() && s.ended_ago >= 0.0));
            }
            let _ = BudgetRecord::decode(bytes);
        }
    }

    /// The weight of a snapshot never rises with its age, nor with the number of its nodes that are no longer listed.
    #[test]
    fn confidence_only_decreases(elapsed in 0.0..300.0f64, further in 0.0..60.0f64, removed in 0..8usize) {
        let listed = list(8 - removed);
        let (then, later) = (snapshot().confidence(&at(STOPPED_AT + elapsed), &listed), snapshot().confidence(&at(STOPPED_AT + elapsed + further), &listed));
        prop_assert!(later.weight <= then.weight && then.weight <= 1.0);
        prop_assert!(snapshot().confidence(&at(STOPPED_AT + elapsed), &list(8)).weight >= then.weight);
    }
}
