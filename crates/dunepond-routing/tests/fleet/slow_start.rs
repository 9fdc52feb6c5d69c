//! Slow start over the sum of all brokers, when half of the nodes start at the same time.

use rstest::rstest;

use crate::harness::Fleet;
use crate::nodes::{Second, Sent, overload_limit};

/// Adjacent nodes start, so that some segments have cold replicas only. The brokers know their nodes for six seconds or for less
/// than a query each.
#[rstest]
#[case::few_brokers_and_six_tenths_of_the_capacity(6, 90.0, 6.0)]
#[case::many_brokers_and_four_tenths(150, 60.0, 6.0)]
#[case::many_brokers_and_six_tenths(150, 90.0, 6.0)]
#[case::brokers_just_started(150, 90.0, 0.8)]
#[case::very_many_just_started(300, 90.0, 0.8)]
fn slow_start_sum_stays_under_the_multiple(
    #[case] brokers: usize,
    #[case] queries: f64,
    #[case] known_seconds: f64,
) {
    let mut fleet = Fleet::new(brokers, 12, None);
    fleet.run(known_seconds, queries, 8);
    let now = fleet.now;
    fleet.start_nodes(&(0..6).map(|node| (node, now)).collect::<Vec<_>>());
    fleet.run(4.0, queries, 8);
    for node in 0..6 {
        let Second { received, allowed, .. } = fleet.fullest_second(node, now, f64::MAX);
        assert!(
            received > 0.0 && received <= overload_limit(allowed),
            "node {node} is overloaded: {received}, {allowed} allowed"
        );
        // A third of the slack is for brokers that have met their nodes, all of it for those that are as new as the nodes.
        assert!(
            known_seconds < 1.0 || received <= allowed + allowed.sqrt(),
            "node {node}: {received}, {allowed} allowed"
        );
    }
    fleet.run(2.5, 0.0, 8);
    fleet.assert_each_query_answered_once();
}

/// Fourteen of 24 nodes start, spread out, so that most segments have warm and cold replicas; the slow-start tokens alone limit
/// the cold ones. Guards against full warm nodes next to cold ones with unspent tokens.
#[rstest]
#[case::many_brokers_beyond_the_capacity(150, 180.0, 1.12)]
#[case::very_many_brokers(300, 120.0, 0.84)]
fn warm_nodes_are_spared_by_slow_start_tokens(
    #[case] brokers: usize,
    #[case] queries: f64,
    #[case] max_warm_load: f64,
) {
    let mut fleet = Fleet::new(brokers, 24, None);
    fleet.run(4.0, queries, 8);
    let now = fleet.now;
    let cold: Vec<_> = (0..24).filter(|node| node * 14 % 24 < 14).collect();
    fleet.start_nodes(&cold.iter().map(|node| (*node, now)).collect::<Vec<_>>());
    fleet.run(4.0, queries, 8);
    let to_warm = |s: &&Sent| s.at >= now && !cold.contains(&s.node);
    let load = fleet.nodes.borrow().sent.iter().filter(to_warm).count() as f64 / 10.0 / 100.0 / 4.0;
    assert!(load < max_warm_load, "{load:.2} of what warm nodes can do was sent to them");
    for node in &cold {
        let Second { received, allowed, .. } = fleet.fullest_second(*node, now, f64::MAX);
        assert!(received > 0.0 && received <= allowed, "node {node}: {received}, {allowed} allowed");
    }
    fleet.run(2.5, 0.0, 8);
    fleet.assert_each_query_answered_once();
}
