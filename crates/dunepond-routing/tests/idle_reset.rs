//! Idle resets: connections that break while idle are no fault of their nodes.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

#[rstest]
#[case::dropped_unseen_while_idle(3.0, 0.002, true)]
#[case::in_steady_use(0.05, 0.002, false)]
#[case::broken_by_a_crash(3.0, 0.1, false)]
fn idle_resets_are_no_node_fault(#[case] idle: f64, #[case] delay: f64, #[case] reconnects: bool) {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.run(idle);
    cluster.transport.nodes = vec![Some((AttemptOutcome::ConnectionLost, delay)); 6];
    cluster.query(FULL, &[0, 3]);
    cluster.run(0.5);
    cluster.run(4.0);
    cluster.transport.closed.clear();
    let query = cluster.query(NON_IDEMPOTENT, &[0]);
    assert_eq!(cluster.sent(query).first().is_some_and(|s| cluster.transport.closed == [s.node]), reconnects);
    // Other broken connections are faults, and a replica that got two attempts has two.
    assert!(!reconnects || (0..6).all(|n| !cluster.is_ejected(n)));
}

/// Some connections break at any time, whatever they did before: most dispatches after as long an idle time go well.
#[test]
fn rare_resets_cause_no_reconnect() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    for turn in 0..40 {
        let end = if turn % 13 == 0 {
            (AttemptOutcome::ConnectionLost, 0.002)
        } else {
            (AttemptOutcome::Served, 0.2)
        };
        cluster.transport.nodes = vec![Some(end); 6];
        cluster.query(NON_IDEMPOTENT, &[turn % 6]);
        cluster.run(1.0);
    }
    assert!(cluster.transport.closed.is_empty(), "{:?}", cluster.transport.closed);
}
