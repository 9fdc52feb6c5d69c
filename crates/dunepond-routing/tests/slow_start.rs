//! Slow start: how many attempts a node gets that has just started.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

fn most_in_any_span(cluster: &Cluster, node: NodeId, span: f64) -> usize {
    let times: Vec<f64> = cluster.transport.sent.iter().filter(|s| s.node == node).map(|s| s.at).collect();
    times.iter().map(|t| times.iter().filter(|u| **u >= *t && **u < t + span).count()).max().unwrap_or(0)
}

#[rstest]
#[case::one_is_cold(1)]
#[case::all_are_cold_and_the_broker_is_new(6)]
fn slow_start_budget_bounds_the_node(#[case] cold: usize) {
    let mut cluster = Cluster::new(deployment());
    let rows: Vec<_> = (0..cold).map(|n| row(n, EndpointState::Active, 99.9)).collect();
    cluster.list(false, &rows);
    cluster.traffic(FULL, 3.0, 0.06);
    for node in 0..cold {
        // At most 2.5 x 0.36 of the two cores' ten parts a second, split among three brokers.
        assert!(most_in_any_span(&cluster, node, 1.0) <= 3);
    }
}

#[test]
fn many_brokers_stagger_first_attempts() {
    let mut times: Vec<f64> = Vec::new();
    for seed in 0..40 {
        let mut cluster = Cluster::new(Deployment { seed, broker_count: 40.0, replicas: 1, ..deployment() });
        cluster.traffic(FULL, 6.0, 0.5);
        cluster.list(false, &[row(0, EndpointState::Active, 104.0)]);
        cluster.query(FULL, &[0]);
        cluster.run(3.5);
        times.extend(cluster.transport.sent.iter().filter(|s| s.node == 0 && s.at > 105.9).map(|s| s.at));
    }
    let most = times.iter().map(|t| times.iter().filter(|u| **u >= *t && **u < t + 1.0).count()).max();
    // 2.5 x 0.49 of the two cores' ten parts a second.
    assert!((1..=12).contains(&most.unwrap_or(0)), "{most:?}");
}

/// Of six brokers one sees a warm node complete some sixteen parts a second, so that eight are its part of what a cold
/// one bears in that time. A query of many parts asks for several of them at once, and the next comes much later.
#[test]
fn simultaneous_parts_use_unspent_tokens() {
    let mut cluster = Cluster::new(Deployment { broker_count: 6.0, ..deployment() });
    cluster.traffic(FULL, 10.0, 0.01);
    let now = cluster.transport.now;
    cluster.list(false, &[row(0, EndpointState::Active, now)]);
    for turn in 0..150 {
        cluster.with_required_node(FULL, 1 + turn % 5, 1 + turn % 5);
        cluster.run(0.01);
    }
    assert_eq!(cluster.sent_count(0, now), 0);
    for _ in 0..8 {
        cluster.with_required_node(FULL, 0, 0);
    }
    let got = cluster.sent_count(0, now);
    assert!((4..=8).contains(&got), "{got}");
}

/// Six parts come back before a broker's first wake, and no wake comes for a while: neither makes them hundreds a
/// second for one node.
#[test]
fn first_completions_do_not_widen_the_budget() {
    let mut cluster = Cluster::new(Deployment { broker_count: 40.0, replicas: 1, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.002)); 6];
    cluster.query(FULL, &[0, 1, 2, 3, 4, 5]);
    cluster.run(1.0);
    let start = cluster.transport.now;
    cluster.list(false, &[row(0, EndpointState::Active, start)]);
    (0..20).for_each(|_| assert!(cluster.query(FULL, &[0]) > 0));
    assert!(cluster.sent_count(0, start) <= 1, "{}", cluster.sent_count(0, start));
}

#[test]
fn warm_queues_do_not_starve_a_cold_node() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.9)); 6];
    cluster.traffic(FULL, 4.0, 0.02);
    let restart = cluster.transport.now;
    cluster.list(false, &[row(0, EndpointState::Active, restart - 5.0)]);
    cluster.transport.nodes[0] = Some((AttemptOutcome::Served, 0.1));
    cluster.traffic(FULL, 2.0, 0.02);
    assert!(cluster.sent_count(0, restart) >= 6);
}

#[test]
fn fast_failures_do_not_widen_the_budget() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    (1..6).for_each(|node| cluster.transport.nodes[node] = Some((AttemptOutcome::ConnectFailed, 0.002)));
    cluster.list(false, &[row(0, EndpointState::Active, cluster.transport.now)]);
    let restart = cluster.transport.now;
    cluster.traffic(FULL, 2.0, 0.01);
    assert!(cluster.sent_count(0, restart) <= 4);
}

#[test]
fn truncated_list_does_not_inflate_the_budget() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 4.0, 0.05);
    let restart = cluster.transport.now;
    let gone: Vec<_> = (1..5).map(|n| row(n, EndpointState::Removed, 0.0)).collect();
    cluster.list(false, &[vec![row(0, EndpointState::Active, restart)], gone].concat());
    cluster.transport.nodes[5] = None;
    (0..40).for_each(|_| {
        cluster.query(FULL, &[0]);
        cluster.run(0.025);
    });
    assert!((1..=3).contains(&cluster.sent_count(0, restart)));
}

/// A cold node may be sent two parts at any time, by all brokers together: who is alone need not wait for the first.
#[rstest]
fn lone_broker_sends_the_first_part_at_once(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut cluster = Cluster::new(Deployment { broker_count: 1.0, replicas: 1, seed, ..deployment() });
    let now = cluster.transport.now;
    cluster.list(true, &[row(0, EndpointState::Active, now)]);
    let query = cluster.query(FULL, &[0]);
    assert_eq!(cluster.sent(query).len(), 1);
}
