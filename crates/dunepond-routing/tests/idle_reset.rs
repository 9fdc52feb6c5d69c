//! Idle resets: connections that break while idle do not count as faults of their nodes.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

#[rstest]
#[case::reset_while_idle(3.0, 0.002, true)]
#[case::broken_while_in_use(0.05, 0.002, false)]
#[case::broken_by_a_crash(3.0, 0.1, false)]
fn idle_resets_do_not_count_as_faults(#[case] idle: f64, #[case] delay: f64, #[case] reconnects: bool) {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
    cluster.run(idle);
    cluster.transport.nodes = vec![Some((AttemptOutcome::ConnectionLost, delay)); 6];
    cluster.query(FULL, &[0, 3]);
    cluster.run(0.5);
    cluster.run(4.0);
    cluster.transport.closed.clear();
    let query = cluster.query(NON_IDEMPOTENT, &[0]);
    assert_eq!(cluster.sent(query).first().is_some_and(|s| cluster.transport.closed == [s.node]), reconnects);
    // If the lost connections were idle resets (`reconnects`), no node may be ejected. In the other two cases they count as
    // faults of their nodes, so a replica that lost two attempts may be ejected.
    assert!(!reconnects || (0..6).all(|n| !cluster.is_ejected(n)));
}

/// After the same idle time, few attempts break and most are served. The breaks have another cause than the idle time, so no
/// connection is closed before it is used.
#[test]
fn rare_resets_cause_no_reconnect() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
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
