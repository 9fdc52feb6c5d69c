//! What is believed after a restart, and what is owed.

use dunepond_recovery::spent_budgets::outstanding_charges;
use dunepond_recovery::*;
use dunepond_routing::{
    AdmissionRecord, IdleResetRecord, LatencyRecord, LearnedNode, LearnedSample, LearnedState,
    SlowStartRecord, SpentBudgets,
};
use proptest::prelude::*;
use rstest::rstest;

const AT: f64 = 1_000_000.0;

fn at(unix: f64) -> Timestamp {
    Timestamp { unix, ..Timestamp::default() }
}

fn types() -> Vec<String> {
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
        idle_resets: vec![IdleResetRecord { ago: 1.0, idle_seconds: 30.0, broke: true }],
        baseline_latency: Some(0.1),
    }
}

fn saved() -> LearnedSnapshot {
    LearnedSnapshot::decode(&LearnedSnapshot::capture(at(AT), &types(), &list(8), &learned(8)).encode())
        .unwrap()
}

#[rstest]
#[case::at_once(0.0, 8)]
#[case::half_a_minute(30.0, 4)]
#[case::a_minute(60.0, 2)]
#[case::long_ago(100.0, 0)]
#[case::hours(7200.0, 0)]
#[case::a_clock_set_a_little(-0.5, 8)]
#[case::a_clock_set_back(-3600.0, 0)]
fn the_older_it_is_the_less_is_believed_and_nothing_in_the_end(#[case] elapsed: f64, #[case] samples: usize) {
    let believed = saved().restore(&at(AT + elapsed), &types(), &list(8));
    let (_, verdict) = &believed.nodes[0];
    if samples == 0 {
        assert_eq!((verdict, &believed.learned), (&TrustDecision::Expired, &LearnedState::default()));
    } else {
        assert_eq!(*verdict, TrustDecision::Trusted { sample_count: samples, ejected: true });
        // The newest are kept, older by the time that has passed.
        let first = &believed.learned.nodes[0].samples[0];
        assert!((first.ended_ago - (samples as f64 + elapsed.max(0.0))).abs() < 1e-9, "{first:?}");
    }
}

/// A file from hours ago names a node that has recovered: nothing is held against it.
#[test]
fn a_node_set_aside_hours_ago_is_not_shunned() {
    let believed = saved().restore(&at(AT + 3.0 * 3600.0), &types(), &list(8));
    assert!(believed.learned.nodes.iter().all(|node| !node.ejected));
}

#[rstest]
#[case::started(NodeIdentity { started_at: 600.0, ..node(0) }, TrustDecision::Restarted)]
#[case::moved(NodeIdentity { address: "127.0.0.1:1".to_string(), ..node(0) }, TrustDecision::AddressChanged)]
#[case::renamed(NodeIdentity { name: "other".to_string(), ..node(0) }, TrustDecision::Unlisted)]
fn of_a_node_that_is_another_now_nothing_is_believed(
    #[case] changed: NodeIdentity,
    #[case] verdict: TrustDecision,
) {
    let mut present = list(8);
    present[0] = changed;
    let believed = saved().restore(&at(AT), &types(), &present);
    assert_eq!(believed.nodes[0], ("s-0".to_string(), verdict));
    assert!(!believed.learned.nodes.iter().any(|belief| belief.node == 0));
    // And of the others a little less, as the list has changed.
    assert_eq!(believed.confidence.unchanged_ratio, 7.0 / 8.0);
    assert_eq!(believed.nodes[1].1, TrustDecision::Trusted { sample_count: 7, ejected: false });
}

#[test]
fn before_a_list_with_none_of_the_old_nodes_nothing_is_believed() {
    let present: Vec<_> = (0..8).map(|i| NodeIdentity { name: format!("new-{i}"), ..node(i) }).collect();
    let believed = saved().restore(&at(AT), &types(), &present);
    assert_eq!(believed.learned, LearnedState::default());
    assert!(believed.nodes.iter().all(|(_, verdict)| *verdict == TrustDecision::Unlisted));
}

/// The indices of nodes and table types are the process's own.
#[test]
fn nodes_and_table_types_are_known_by_their_names() {
    let mut present = list(8);
    present.iter_mut().for_each(|identity| identity.node = 7 - identity.node);
    let types = vec!["fix".to_string(), "find".to_string()];
    let believed = saved().restore(&at(AT), &types, &present);
    let first = &believed.learned.nodes[0];
    assert_eq!((first.node, first.ejected, first.samples[0].class), (7, true, 1));
    let without = saved().restore(&at(AT), &types[..1], &present);
    assert!(without.learned.nodes.iter().all(|node| node.samples.is_empty()));
}

fn spent() -> SpentBudgets {
    SpentBudgets {
        retries: vec![0.5, 0.1],
        admissions: vec![AdmissionRecord { ago: 0.4, count: 3.0 }],
        slow_start_sends: vec![SlowStartRecord { node: 2, sent_ago: vec![0.3] }],
    }
}

#[test]
fn after_an_orderly_end_exactly_what_was_spent_is_owed() {
    let ended = BudgetRecord::decode(&BudgetRecord::stopped(at(AT), &list(8), &spent()).encode()).unwrap();
    let records = [BudgetRecord::BrokerStarted { at: at(AT - 9.0) }, ended];
    let expected = SpentBudgets {
        retries: vec![1.5, 1.1],
        admissions: vec![AdmissionRecord { ago: 1.4, count: 3.0 }],
        slow_start_sends: vec![SlowStartRecord { node: 2, sent_ago: vec![1.3] }],
    };
    assert_eq!(
        outstanding_charges(&records, true, &at(AT + 1.0), &list(8)),
        OutstandingCharges::Known(expected)
    );
    // A node that has started since has its room again.
    let mut present = list(8);
    present[2].started_at = 700.0;
    let OutstandingCharges::Known(ledger) = outstanding_charges(&records, true, &at(AT + 1.0), &present)
    else {
        panic!()
    };
    assert_eq!(ledger.slow_start_sends, []);
}

#[rstest]
#[case::crashed(vec![BudgetRecord::BrokerStarted { at: at(AT) }], true)]
#[case::crashed_after_an_orderly_end(vec![BudgetRecord::stopped(at(AT), &[], &SpentBudgets::default()), BudgetRecord::BrokerStarted { at: at(AT) }], true)]
#[case::the_last_may_be_missing(vec![BudgetRecord::stopped(at(AT), &[], &SpentBudgets::default())], false)]
#[case::nothing_can_be_read(vec![], false)]
#[case::a_clock_set_back(vec![BudgetRecord::stopped(at(AT + 60.0), &[], &SpentBudgets::default())], true)]
fn where_it_is_not_known_what_was_spent_all_of_it_was(
    #[case] records: Vec<BudgetRecord>,
    #[case] whole: bool,
) {
    assert_eq!(outstanding_charges(&records, whole, &at(AT + 1.0), &list(8)), OutstandingCharges::Unknown);
}

/// The clock is set hours ahead, or back, between the end and the start: the machine's own tells that a second passed.
#[rstest]
#[case::ahead(7200.0)]
#[case::back(-7200.0)]
fn within_one_start_of_the_machine_a_clock_that_is_set_changes_nothing(#[case] set: f64) {
    let boot = |unix: f64, uptime: f64| Timestamp { unix, boot: "b".to_string(), uptime };
    let records = [BudgetRecord::stopped(boot(AT, 100.0), &list(8), &spent())];
    let OutstandingCharges::Known(ledger) =
        outstanding_charges(&records, true, &boot(AT + set, 101.0), &list(8))
    else {
        panic!()
    };
    assert_eq!(ledger.retries, [1.5, 1.1]);
    let saved = LearnedSnapshot::capture(boot(AT, 100.0), &types(), &list(8), &learned(8));
    assert_eq!(saved.confidence(&boot(AT + set, 100.0), &list(8)).weight, 1.0);
    // Of another start only the clock tells.
    let after = Timestamp { boot: "c".to_string(), ..boot(AT + set, 1.0) };
    assert_eq!(saved.confidence(&after, &list(8)).weight, 0.0);
}

#[test]
fn a_new_folder_owes_nothing() {
    assert_eq!(
        outstanding_charges(&[], true, &at(AT), &list(8)),
        OutstandingCharges::Known(SpentBudgets::default())
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(21),
        ..ProptestConfig::default()
    })]

    /// Bytes that are whole as a file may still be anything: no panic, and nothing that is no time.
    #[test]
    fn any_bytes_are_refused_or_read(bytes in prop::collection::vec(any::<u8>(), 0..200), spot in 0..100usize, bits: u8) {
        let mut mangled = saved().encode();
        let place = spot * mangled.len() / 100;
        mangled[place] ^= bits;
        for bytes in [&bytes, &mangled] {
            if let Ok(saved) = LearnedSnapshot::decode(bytes) {
                let believed = saved.restore(&at(AT + 1.0), &types(), &list(8));
                let samples = believed.learned.nodes.iter().flat_map(|node| &node.samples);
                prop_assert!(samples.into_iter().all(|s| s.ended_ago.is_finite() && s.ended_ago >= 0.0));
            }
            let _ = BudgetRecord::decode(bytes);
        }
    }

    /// The longer ago and the more changed, the less: never more than there was, never more than a moment before.
    #[test]
    fn weight_only_falls(elapsed in 0.0..300.0f64, more in 0.0..60.0f64, gone in 0..8usize) {
        let present = list(8 - gone);
        let (then, later) = (saved().confidence(&at(AT + elapsed), &present), saved().confidence(&at(AT + elapsed + more), &present));
        prop_assert!(later.weight <= then.weight && then.weight <= 1.0);
        prop_assert!(saved().confidence(&at(AT + elapsed), &list(8)).weight >= then.weight);
    }
}
