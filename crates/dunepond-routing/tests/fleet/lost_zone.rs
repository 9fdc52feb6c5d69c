//! A zone with a third of the nodes becomes silent: the attempts that all brokers together send to that zone, before and after
//! it recovers.

use dunepond_routing::{NodeId, RetryBudget};
use rstest::rstest;

use crate::harness::Fleet;
use crate::nodes::{Behaviour, SecondOfLoad};

const NODES: usize = 12;

/// Returns the nodes of one zone.
fn zone() -> impl Iterator<Item = NodeId> {
    (0..NODES).step_by(3)
}

/// A zone recovers with cold nodes that all brokers have ejected, while queries are in flight that may be retried or hedged there.
/// Guards against probation attempts, and attempts after them, that exceed the slow start budget.
#[rstest]
#[case::few_brokers(20, 60.0)]
#[case::many_brokers(150, 80.0)]
fn recovered_cold_zone_is_not_flooded(#[case] brokers: usize, #[case] queries: f64) {
    let mut fleet = Fleet::new(brokers, NODES, None);
    fleet.run(4.0, queries, 8);
    fleet.set_behaviour(zone(), Behaviour::Silent);
    fleet.run(3.0, queries, 8);
    let now = fleet.now;
    fleet.set_behaviour(zone(), Behaviour::Healthy);
    fleet.start_nodes(&zone().map(|node| (node, now)).collect::<Vec<_>>());
    fleet.run(5.0, queries, 8);
    for node in zone() {
        let SecondOfLoad { received, allowed, .. } = fleet.busiest_second(node, now, f64::MAX);
        assert!(received > 0.0 && received <= allowed, "node {node}: {received}, {allowed} allowed");
    }
    fleet.run(2.5, 0.0, 8);
    fleet.assert_each_query_answered_once();
}

/// Each broker detects the silence by itself. After that all of them send only probation attempts to the zone, and every query
/// gets one answer.
#[test]
fn lost_zone_gets_few_probation_attempts() {
    let mut fleet = Fleet::new(100, NODES, Some(RetryBudget { window: 2.0, min_retries: 0.0, ratio: 0.05 }));
    fleet.run(4.0, 60.0, 4);
    fleet.set_behaviour(zone(), Behaviour::Silent);
    fleet.run(8.0, 60.0, 4);
    assert_probation_only(&fleet, fleet.now - 4.0);
    fleet.run(2.5, 0.0, 4);
    fleet.assert_each_query_answered_once();
    assert_retries_within_budget(&fleet);
}

/// Asserts that few attempts are sent to the zone from `since` on, and no more connections are closed there than attempts were
/// sent.
fn assert_probation_only(fleet: &Fleet, since: f64) {
    let nodes = fleet.nodes.borrow();
    let silent = nodes.sent.iter().filter(|s| s.at >= since && s.node % 3 == 0).count();
    let all = nodes.sent.iter().filter(|s| s.at >= since).count();
    // A connection is closed only after a probation attempt without an answer.
    let closed = nodes.closed.iter().filter(|c| c.0 >= since).count();
    let attempts = nodes.sent.iter().filter(|s| s.at >= since - 1.0 && s.node % 3 == 0).count();
    assert!(silent * 7 < all, "{silent} of {all}");
    assert!(closed <= attempts, "{closed} connections for {attempts} probation attempts");
}

/// Asserts that all brokers together stay within the sum of their retry budgets in each window.
fn assert_retries_within_budget(fleet: &Fleet) {
    let mut sent: Vec<(f64, bool)> = Vec::new();
    for (_, transport) in &fleet.brokers {
        for (i, attempt) in transport.attempts.iter().enumerate() {
            let is_retry =
                transport.attempts[..i].iter().any(|a| a.is_attempt_of(attempt.query, attempt.part));
            sent.push((attempt.sent_at, is_retry));
        }
    }
    let windows = (0..6).map(|window| 104.0 + 2.0 * f64::from(window));
    for from in windows {
        let within = sent.iter().filter(|(at, _)| (from..from + 2.0).contains(at));
        let (retries, first): (Vec<_>, Vec<_>) = within.copied().partition(|(_, is_retry)| *is_retry);
        let (retries, first) = (retries.len(), first.len());
        assert!(retries as f64 <= 0.05 * 2.0 * first as f64, "{retries} after {first}");
    }
}
