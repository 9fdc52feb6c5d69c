//! Slow start: how many attempts a node is sent after its start.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

/// Returns the largest number of attempts sent to a node in any period of `window` seconds.
fn max_sent_in_window(cluster: &Cluster, node: NodeId, window: f64) -> usize {
    let times: Vec<f64> = cluster.transport.sent.iter().filter(|s| s.node == node).map(|s| s.at).collect();
    times.iter().map(|t| times.iter().filter(|u| **u >= *t && **u < t + window).count()).max().unwrap_or(0)
}

#[rstest]
#[case::one_cold_node(1)]
#[case::all_nodes_cold_and_new_broker(6)]
fn slow_start_budget_limits_the_attempts(#[case] cold: usize) {
    let mut cluster = Cluster::new(deployment());
    let rows: Vec<_> = (0..cold).map(|n| row(n, EndpointState::Active, 99.9)).collect();
    cluster.update_list(false, &rows);
    cluster.run_traffic(FULL, 3.0, 0.06);
    for node in 0..cold {
        // A warm node completes ten parts a second. All three brokers together may send 2.5 (`rate_multiple`) x 0.36 (the
        // ratio of the node's present capacity to its full capacity) of that.
        assert!(max_sent_in_window(&cluster, node, 1.0) <= 3);
    }
}

#[test]
fn many_brokers_stagger_first_attempts() {
    let mut times: Vec<f64> = Vec::new();
    for seed in 0..40 {
        let mut cluster = Cluster::new(Deployment { seed, broker_count: 40.0, replicas: 1, ..deployment() });
        cluster.run_traffic(FULL, 6.0, 0.5);
        cluster.update_list(false, &[row(0, EndpointState::Active, 104.0)]);
        cluster.query(FULL, &[0]);
        cluster.run(3.5);
        times.extend(cluster.transport.sent.iter().filter(|s| s.node == 0 && s.at > 105.9).map(|s| s.at));
    }
    let max_sent = times.iter().map(|t| times.iter().filter(|u| **u >= *t && **u < t + 1.0).count()).max();
    // A warm node completes ten parts a second. All brokers together may send 2.5 (`rate_multiple`) x 0.49 (the ratio of
    // the node's present capacity to its full capacity) of that.
    assert!((1..=12).contains(&max_sent.unwrap_or(0)), "{max_sent:?}");
}

/// This broker is one of six. A warm node completes some sixteen parts a second for it, so it may send 2.5 (`rate_multiple`) x
/// 0.2 (the capacity of a cold node relative to a warm one) of that, which is eight parts a second, to a cold node. Guards
/// against a cap on unspent tokens that is too small for several parts at once.
#[test]
fn simultaneous_parts_use_unspent_tokens() {
    let mut cluster = Cluster::new(Deployment { broker_count: 6.0, ..deployment() });
    cluster.run_traffic(FULL, 10.0, 0.01);
    let now = cluster.transport.now;
    cluster.update_list(false, &[row(0, EndpointState::Active, now)]);
    for turn in 0..150 {
        cluster.query_with_required_node(FULL, 1 + turn % 5, 1 + turn % 5);
        cluster.run(0.01);
    }
    assert_eq!(cluster.sent_count(0, now), 0);
    for _ in 0..8 {
        cluster.query_with_required_node(FULL, 0, 0);
    }
    let sent = cluster.sent_count(0, now);
    assert!((4..=8).contains(&sent), "{sent}");
}

/// Six nodes answer one part each before the first call of `on_wake`, and no such call follows for a while. Guards against
/// counting the six parts as completions of a single node, at a rate of hundreds of parts a second.
#[test]
fn first_completions_do_not_raise_the_budget() {
    let mut cluster = Cluster::new(Deployment { broker_count: 40.0, replicas: 1, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.002)); 6];
    cluster.query(FULL, &[0, 1, 2, 3, 4, 5]);
    cluster.run(1.0);
    let start = cluster.transport.now;
    cluster.update_list(false, &[row(0, EndpointState::Active, start)]);
    (0..20).for_each(|_| assert!(cluster.query(FULL, &[0]) > 0));
    assert!(cluster.sent_count(0, start) <= 1, "{}", cluster.sent_count(0, start));
}

#[test]
fn warm_queues_do_not_starve_a_cold_node() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.9)); 6];
    cluster.run_traffic(FULL, 4.0, 0.02);
    let restart = cluster.transport.now;
    cluster.update_list(false, &[row(0, EndpointState::Active, restart - 5.0)]);
    cluster.transport.nodes[0] = Some((AttemptOutcome::Served, 0.1));
    cluster.run_traffic(FULL, 2.0, 0.02);
    assert!(cluster.sent_count(0, restart) >= 6);
}

#[test]
fn fast_failures_do_not_raise_the_budget() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
    (1..6).for_each(|node| cluster.transport.nodes[node] = Some((AttemptOutcome::ConnectFailed, 0.002)));
    cluster.update_list(false, &[row(0, EndpointState::Active, cluster.transport.now)]);
    let restart = cluster.transport.now;
    cluster.run_traffic(FULL, 2.0, 0.01);
    assert!(cluster.sent_count(0, restart) <= 4);
}

#[test]
fn removed_nodes_do_not_raise_the_budget() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 4.0, 0.05);
    let restart = cluster.transport.now;
    let removed: Vec<_> = (1..5).map(|n| row(n, EndpointState::Removed, 0.0)).collect();
    cluster.update_list(false, &[vec![row(0, EndpointState::Active, restart)], removed].concat());
    cluster.transport.nodes[5] = None;
    (0..40).for_each(|_| {
        cluster.query(FULL, &[0]);
        cluster.run(0.025);
    });
    assert!((1..=3).contains(&cluster.sent_count(0, restart)));
}

/// All brokers together may send one part more than the tokens allow, so a broker that is alone sends the first part at once.
#[rstest]
fn lone_broker_sends_the_first_part_at_once(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut cluster = Cluster::new(Deployment { broker_count: 1.0, replicas: 1, seed, ..deployment() });
    let now = cluster.transport.now;
    cluster.update_list(true, &[row(0, EndpointState::Active, now)]);
    let query = cluster.query(FULL, &[0]);
    assert_eq!(cluster.sent(query).len(), 1);
}
