//! Probing: replicas are probed for free capacity if no samples show which of them are overloaded.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

/// Returns a cluster of sixty nodes, a third of which have become slow. A query of one part is sent every `gap` seconds, so
/// each node is rarely sent a part.
fn unequally_loaded_cluster(gap: f64) -> Cluster {
    let plain = deployment();
    let query_classes = plain.query_classes[..PARTIAL].to_vec();
    let mut cluster = sixty_node_cluster(Deployment { query_classes, may_probe: true, ..plain });
    for (slow, seconds) in [(0.2, 5.0), (0.95, 2.5)] {
        cluster.transport.nodes = every_third_slow(slow);
        (0..(seconds / gap) as usize).for_each(|turn| {
            cluster.query(NON_IDEMPOTENT, &[turn * 7 % 60]);
            cluster.run(gap);
        });
    }
    cluster.transport.probed.clear();
    cluster
}

#[test]
fn part_is_sent_to_the_first_replica_that_answers() {
    let mut cluster = unequally_loaded_cluster(0.1);
    let query = cluster.query(FULL, &[10]);
    assert_eq!(cluster.transport.probed, [10, 11, 12]);
    assert!(cluster.sent(query).is_empty());
    cluster.router.on_probe_result(&mut cluster.transport, 12, Some(0.1));
    assert_eq!(cluster.sent(query)[0].node, 12);
}

#[test]
fn unanswered_probes_reject_the_query() {
    let mut cluster = unequally_loaded_cluster(0.1);
    let query = cluster.query(FULL, &[10, 11, 12, 13]);
    cluster.router.on_probe_result(&mut cluster.transport, 10, Some(0.1));
    cluster.run(1.3);
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}

/// Guards against losing the work of the first step because replicas answer the probes of the second step late.
#[test]
fn second_step_is_not_rejected_by_probes() {
    let mut cluster = unequally_loaded_cluster(0.1);
    let query = cluster.query(TWO_STEP, &[10, 13]);
    [10, 13].iter().for_each(|node| cluster.router.on_probe_result(&mut cluster.transport, *node, Some(0.1)));
    cluster.end_attempt(query, 0, AttemptOutcome::Served);
    cluster.router.on_second_step(&mut cluster.transport, query, parts(&[10, 13]));
    cluster.run(1.5);
    assert_eq!(cluster.answers(query), [COMPLETE, COMPLETE]);
    assert_eq!(cluster.sent(query).len(), 4);
}

#[rstest]
#[case::queueing_delay(0.1, true)]
#[case::network_round_trip(0.004, false)]
fn uninformative_probes_are_disabled(#[case] delay: f64, #[case] is_probed: bool) {
    let mut cluster = unequally_loaded_cluster(0.1);
    (0..10).for_each(|node| cluster.router.on_probe_result(&mut cluster.transport, node, Some(delay)));
    cluster.query(FULL, &[10]);
    assert_eq!(!cluster.transport.probed.is_empty(), is_probed);
}

#[test]
fn frequent_contact_needs_no_probes() {
    let mut cluster = unequally_loaded_cluster(0.02);
    cluster.query(FULL, &[10]);
    assert!(cluster.transport.probed.is_empty());
}

#[test]
fn idle_broker_sends_no_probes() {
    let mut cluster = Cluster::new(Deployment { may_probe: true, ..deployment() });
    cluster.run_traffic(FULL, 6.0, 0.05);
    assert!(cluster.transport.probed.is_empty());
}
