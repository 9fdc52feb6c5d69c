//! Outlier detection: which nodes are ejected, and how they return to service.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

#[test]
fn silent_node_is_ejected_and_hedged() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[2] = None;
    let hang = cluster.transport.now;
    cluster.traffic(FULL, 2.0, 0.05);
    assert!(cluster.is_ejected(2));
    // It may be only the connection that is silent.
    assert!(cluster.transport.closed.contains(&2));
    let known = cluster.transport.now;
    cluster.traffic(FULL, 3.0, 0.05);
    assert!(cluster.sent_count(2, known) <= 10);
    cluster.run(3.0);
    let late = cluster.transport.answers.iter().filter(|f| f.0 > hang && f.2 != COMPLETE).count();
    assert_eq!(late, 0);
}

#[rstest]
#[case::errors(AttemptOutcome::Error)]
#[case::connections(AttemptOutcome::ConnectFailed)]
fn fast_failing_node_attracts_no_attempts(#[case] end: AttemptOutcome) {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[2] = Some((end, 0.002));
    let start = cluster.transport.now;
    cluster.traffic(FULL, 4.0, 0.05);
    assert!(cluster.is_ejected(2));
    assert!(cluster.sent_count(2, start) <= 10);
}

/// However many parts were out on it; spoilt answers come from any node, and each costs its connection.
#[test]
fn connection_loss_is_one_fault() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.run(1.0);
    cluster.transport.nodes = vec![Some((AttemptOutcome::ConnectionLost, 0.1)); 6];
    for i in 0..24 {
        cluster.query(FULL, &[i % 6]);
    }
    cluster.run(0.1);
    assert!((0..6).all(|n| !cluster.is_ejected(n)));
}

#[test]
fn partially_silent_node_is_ejected() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    (0..300).for_each(|turn| {
        let query = cluster.query(FULL, &[2]);
        if turn % 3 == 0 {
            cluster.hold(query, 2);
        }
        cluster.run(0.01);
    });
    assert!(cluster.transport.log.iter().any(|l| l == "node 2 is ejected: it fails its attempts"));
}

#[test]
fn ejection_is_per_query_class() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    let start = cluster.transport.now;
    let fails = |cluster: &mut Cluster| {
        let query = cluster.query(QUICK, &[2]);
        cluster.query(FULL, &[2]);
        let met = cluster.sent(query)[0].node == 2;
        if met {
            cluster.end_attempt(query, 0, AttemptOutcome::Error);
        }
        cluster.run(0.05);
        usize::from(met)
    };
    let failed: usize = (0..200).map(|_| fails(&mut cluster)).sum();
    assert!(!cluster.is_ejected(2));
    assert!(failed < 30 && cluster.sent_count(2, start) > 2 * failed, "{failed}");
}

#[test]
fn single_error_ejects_no_node() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    let query = cluster.query(FULL, &[0]);
    cluster.end_attempt(query, 0, AttemptOutcome::Error);
    cluster.traffic(FULL, 3.0, 0.05);
    assert!(!cluster.transport.log.iter().any(|l| l.contains("is ejected")));
}

#[test]
fn probation_attempts_double_until_return() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[2] = Some((AttemptOutcome::Error, 0.002));
    cluster.traffic(FULL, 1.0, 0.05);
    cluster.transport.nodes[2] = Some((AttemptOutcome::Served, 0.2));
    let mended = cluster.transport.now;
    cluster.traffic(FULL, 0.9, 0.02);
    assert!(cluster.sent_count(2, mended) <= 8);
    cluster.traffic(FULL, 4.0, 0.02);
    assert!(cluster.transport.log.iter().any(|l| l == "node 2 is back in service"));
}

#[test]
fn broker_stall_is_not_node_silence() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    (0..6).for_each(|segment| _ = cluster.query(FULL, &[segment, (segment + 1) % 6]));
    cluster.transport.now += 1.7;
    let first = cluster.query(FULL, &[0]);
    assert_eq!(cluster.answers(first), []);
    cluster.traffic(FULL, 1.0, 0.05);
    assert!(!cluster.transport.log.iter().any(|l| l.contains("is ejected")));
}

#[test]
fn fully_failed_fleet_recovers() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes = vec![None; 6];
    cluster.traffic(FULL, 4.0, 0.05);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.2)); 6];
    cluster.traffic(FULL, 8.0, 0.05);
    let query = cluster.query(FULL, &[0, 3]);
    cluster.run(1.0);
    assert_eq!(cluster.answers(query), [COMPLETE]);
}

#[test]
fn restarted_node_starts_without_faults() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[2] = Some((AttemptOutcome::ConnectFailed, 0.002));
    cluster.traffic(FULL, 1.0, 0.02);
    cluster.transport.nodes[2] = Some((AttemptOutcome::Served, 0.2));
    let restart = cluster.transport.now;
    cluster.list(false, &[row(2, EndpointState::Active, restart - 14.9)]);
    cluster.traffic(NON_IDEMPOTENT, 0.5, 0.02);
    assert!(cluster.sent_count(2, restart) >= 2);
}

/// Guards against memory that grows with every node that was ever listed.
#[test]
fn node_id_is_reused_by_another_group() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes[2] = Some((AttemptOutcome::Error, 0.002));
    cluster.traffic(FULL, 2.0, 0.05);
    assert!(cluster.is_ejected(2));
    cluster.list(false, &[row(2, EndpointState::Removed, 0.0)]);
    cluster.run(1.0);
    cluster.router.remove_node(2);
    cluster.transport.nodes[2] = Some((AttemptOutcome::Served, 0.2));
    cluster.list(false, &[Endpoint { replica_group: 5, ..row(2, EndpointState::Active, 0.0) }]);
    let mut polled = |segment: usize| {
        let queries: Vec<_> = (0..20).map(|_| cluster.query(NON_IDEMPOTENT, &[segment])).collect();
        cluster.run(5.0);
        queries.into_iter().filter(|query| cluster.sent(*query)[0].node == 2).count()
    };
    assert_eq!(polled(2), 0);
    assert!(polled(5) > 0);
}

/// A client that sends slowly would eject every node that its body goes to.
#[rstest]
#[case::on_its_way(false)]
#[case::gone_out(true)]
fn silence_counts_from_the_sent_frame(#[case] framed: bool) {
    let mut cluster = Cluster::new(Deployment { replicas: 1, ..deployment() });
    cluster.traffic(FULL, 10.0, 0.1);
    cluster.transport.nodes[0] = None;
    let query = cluster.streamed(FULL, &[0]);
    cluster.run(0.5);
    if framed {
        cluster.router.on_frame_written(&mut cluster.transport, 0, AttemptId { query, part: 0, index: 0 });
    }
    cluster.run(2.5);
    assert_eq!(cluster.is_ejected(0), framed);
}
