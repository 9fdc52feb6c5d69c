//! Slow start summed over all brokers, when about half of the nodes start at the same time.

use rstest::rstest;

use crate::harness::Fleet;
use crate::nodes::{SecondOfLoad, Sent, overload_limit};

/// Nodes with successive ids start, so that some segments have only cold replicas. Before this, the brokers have known their
/// nodes for six seconds. New brokers have known them for 0.8 s only, during which each broker received less than one query on
/// average.
#[rstest]
#[case::few_brokers_at_60_percent_load(6, 90.0, 6.0)]
#[case::many_brokers_at_40_percent_load(150, 60.0, 6.0)]
#[case::many_brokers_at_60_percent_load(150, 90.0, 6.0)]
#[case::many_new_brokers(150, 90.0, 0.8)]
#[case::very_many_new_brokers(300, 90.0, 0.8)]
fn all_brokers_together_respect_the_slow_start_limit(
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
        let SecondOfLoad { received, allowed, .. } = fleet.busiest_second(node, now, f64::MAX);
        assert!(
            received > 0.0 && received <= overload_limit(allowed),
            "node {node} is overloaded: {received}, {allowed} allowed"
        );
        // New brokers may use all of the tolerance above the allowed work (see [`overload_limit`]); brokers that have known
        // their nodes for a while may use less than half of it.
        assert!(
            known_seconds < 1.0 || received <= allowed + allowed.sqrt(),
            "node {node}: {received}, {allowed} allowed"
        );
    }
    fleet.run(2.5, 0.0, 8);
    fleet.assert_each_query_answered_once();
}

/// Fourteen of 24 nodes start, spread evenly over the ids. The replicas of a segment are three nodes with successive ids, so
/// each segment has warm and cold ones, and only the slow start tokens limit the cold ones. Guards against overloaded warm
/// nodes while tokens of cold nodes are unspent.
#[rstest]
#[case::many_brokers_above_capacity(150, 180.0, 1.12)]
#[case::very_many_brokers(300, 120.0, 0.84)]
fn warm_nodes_are_not_overloaded_during_slow_start(
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
    assert!(load < max_warm_load, "warm nodes were sent {load:.2} of their capacity");
    for node in &cold {
        let SecondOfLoad { received, allowed, .. } = fleet.busiest_second(*node, now, f64::MAX);
        assert!(received > 0.0 && received <= allowed, "node {node}: {received}, {allowed} allowed");
    }
    fleet.run(2.5, 0.0, 8);
    fleet.assert_each_query_answered_once();
}
