//! Margins against stalls of the broker: 0.15 s may pass between a decision and the last byte of the frame that is sent. In the
//! last 0.15 s of its idempotency window, a part that is idempotent by key is therefore not retried. Before the client's
//! deadline there is only the usual margin of seven ticks.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

/// Repeats are dropped within the idempotency window, which ends one second after the first attempt. Guards against a retry
/// that reaches the node after the end of the window.
#[rstest]
#[case::in_time(0.8, 2)]
#[case::too_late_in_the_window(0.9, 1)]
fn retry_leaves_a_margin_in_its_window(#[case] fails_after: f64, #[case] attempts: usize) {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, fails_after)); 6];
    let query = cluster.query(KEYED, &[0]);
    cluster.run(1.2);
    assert_eq!(cluster.sent(query).len(), attempts);
}

#[rstest]
#[case::in_time(1.9, 2)]
#[case::too_close_to_the_deadline(1.97, 1)]
fn retry_precedes_the_decision_deadline(#[case] fails_after: f64, #[case] attempts: usize) {
    let mut cluster = Cluster::new(Deployment { hedging_enabled: false, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, fails_after)); 6];
    let query = cluster.query_with(FULL, &[0], 0, 2.0, false);
    cluster.run(2.5);
    assert_eq!(cluster.sent(query).len(), attempts);
    assert_eq!(cluster.answers(query).len(), 1);
}

/// Nodes answer in 20 ms. A query that expires after 100 ms is admitted, and one that expires after 20 ms is rejected.
#[rstest]
#[case::enough_time(0.1, true)]
#[case::less_than_the_nodes_need(0.02, false)]
fn short_timeout_is_admitted_with_fast_nodes(#[case] expires_in: f64, #[case] sent: bool) {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.02)); 6];
    cluster.run_traffic(FULL, 2.0, 0.02);
    let query = cluster.query_with(FULL, &[0], 0, expires_in, false);
    assert_eq!(!cluster.sent(query).is_empty(), sent);
    assert_eq!(cluster.answers(query).is_empty(), sent);
    cluster.run(0.2);
    assert_eq!(cluster.answers(query).len(), 1);
}
