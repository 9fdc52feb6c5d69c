//! Placement: the replica to which a part is sent.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dunepond_routing::*;
use rstest::rstest;
use support::*;

#[test]
fn least_outstanding_replica_is_chosen() {
    let mut cluster = Cluster::new(Deployment { replicas: 2, ..deployment() });
    cluster.transport.nodes = vec![None; 6];
    let first = cluster.query(FULL, &[0]);
    let second = cluster.query(FULL, &[0]);
    assert_ne!(cluster.sent(first)[0].node, cluster.sent(second)[0].node);
}

/// Six nodes are in three zones. With three replicas, each segment has one in the broker's zone, which is preferred. With two
/// replicas, a third of the segments have none there; a preference would then only bias the choice between equal replicas.
#[rstest]
#[case::each_segment_has_a_near_replica(3, 45..75)]
#[case::some_segments_have_none(2, 30..60)]
fn nearer_of_equal_replicas_is_chosen(#[case] replicas: usize, #[case] expected: std::ops::Range<usize>) {
    let mut cluster = Cluster::new(Deployment { replicas, ..deployment() });
    let chosen_node = |cluster: &mut Cluster| {
        let query = cluster.query(FULL, &[0]);
        cluster.run(1.0);
        cluster.sent(query)[0].node
    };
    let near = (0..90).filter(|_| chosen_node(&mut cluster) == 0).count();
    assert!(expected.contains(&near), "{near}");
}

/// With two replica groups, a group contains several nodes, and each of them is a replica of the group's segments.
#[test]
fn near_node_of_a_group_is_chosen() {
    let mut cluster = Cluster::new(Deployment { replicas: 1, replica_groups: 2, ..deployment() });
    let chosen_node = |cluster: &mut Cluster| {
        let query = cluster.query(FULL, &[0]);
        cluster.run(1.0);
        cluster.sent(query)[0].node
    };
    let near = (0..90).filter(|_| chosen_node(&mut cluster) == 0).count();
    assert!((45..75).contains(&near), "{near}");
}

/// Guards against reads from a node that no longer holds a segment: discovery still lists it in the replica group, but a plan has
/// moved the segment to a node of another group.
#[test]
fn moved_segment_is_read_only_from_its_new_replicas() {
    let mut cluster = Cluster::new(deployment());
    let chosen_nodes = |cluster: &mut Cluster, segment| {
        let queries: Vec<_> = (0..60)
            .map(|_| {
                let query = cluster.query(FULL, &[segment]);
                cluster.run(1.0);
                query
            })
            .collect();
        queries.iter().flat_map(|query| cluster.sent(*query)).map(|sent| sent.node).collect::<BTreeSet<_>>()
    };
    let grouped = chosen_nodes(&mut cluster, 0);
    let (dropped, added) = (grouped.iter().next().copied().unwrap(), 4);
    assert!(!grouped.contains(&added));
    let moved: BTreeSet<_> = grouped.iter().copied().filter(|node| *node != dropped).chain([added]).collect();
    cluster.router.set_segment_replicas(BTreeMap::from([(0, moved.iter().copied().collect())]));
    // Nearer replicas are preferred, so that not each of them need be chosen.
    let chosen = chosen_nodes(&mut cluster, 0);
    assert!(chosen.is_subset(&moved) && chosen.contains(&added), "{chosen:?}");
    cluster.router.set_segment_replicas(BTreeMap::new());
    assert!(chosen_nodes(&mut cluster, 0).is_subset(&grouped));
}

/// The node in the broker's zone is a quarter slower than the other replicas. It is still preferred if the cross-zone cost is
/// high, but not if the cost is low.
#[rstest]
#[case::cheap(0.01, 0..30)]
#[case::expensive(0.06, 45..75)]
fn cross_zone_cost_weighs_against_latency(#[case] cost: f64, #[case] expected: std::ops::Range<usize>) {
    let mut cluster = Cluster::new(Deployment { cross_zone_cost: Some(cost), ..deployment() });
    [0, 3].iter().for_each(|near| cluster.transport.nodes[*near] = Some((AttemptOutcome::Served, 0.25)));
    let chosen_node = |cluster: &mut Cluster| {
        let query = cluster.query(FULL, &[0]);
        cluster.run(1.0);
        cluster.sent(query)[0].node
    };
    (0..30).for_each(|_| {
        chosen_node(&mut cluster);
    });
    let near = (0..90).filter(|_| chosen_node(&mut cluster) == 0).count();
    assert!(expected.contains(&near), "{near}");
}

/// A node that rejects an attempt as full counts as full for one median latency. A broker that sends to the node only once a
/// second sends the next attempt after that time. Because the node rejects at once and has no outstanding attempts, it would
/// seem the least loaded if the rejection were not kept as a sample.
#[test]
fn full_node_is_avoided_by_infrequent_brokers() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes[0] = Some((AttemptOutcome::Rejected, 0.001));
    cluster.transport.nodes[5] = Some((AttemptOutcome::Served, 0.9));
    for _ in 0..60 {
        cluster.query(FULL, &[0]);
        cluster.run(0.5);
        cluster.query(FULL, &[3]);
        cluster.run(0.5);
    }
    let sent_to_full = cluster.sent_count(0, 0.0);
    assert!((1..10).contains(&sent_to_full), "{sent_to_full}");
}

#[test]
fn slow_node_is_sent_less_at_low_load() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes[2] = Some((AttemptOutcome::Served, 0.26));
    cluster.run_traffic(FULL, 9.0, 0.3);
    let start = cluster.transport.now;
    cluster.run_traffic(FULL, 18.0, 0.3);
    assert!(cluster.sent_count(2, start) * 3 < cluster.sent_count(4, start));
}

#[rstest]
#[case::answered(0.7, 0.8, 12, 9, 0)]
#[case::cancelled_late(1.9, 1.1, 3, 6, 1)]
fn few_slow_attempts_change_the_choice(
    #[case] delay: f64,
    #[case] gap: f64,
    #[case] queries_before: usize,
    #[case] queries_after: usize,
    #[case] max_sent: usize,
) {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.1);
    cluster.transport.nodes[2] = Some((AttemptOutcome::Served, delay));
    let send = |cluster: &mut Cluster, times: usize| {
        (0..times).for_each(|_| {
            cluster.query(FULL, &[2]);
            cluster.run(gap);
        });
    };
    send(&mut cluster, queries_before);
    let start = cluster.transport.now;
    send(&mut cluster, queries_after);
    assert!(cluster.sent_count(2, start) <= max_sent);
}

#[test]
fn bad_zone_link_is_learned_from_few_nodes() {
    let mut cluster = sixty_node_cluster(deployment());
    let send = |cluster: &mut Cluster, far_delay: f64, segments: std::ops::Range<usize>| {
        cluster.transport.nodes = every_third_slow(far_delay);
        segments.for_each(|segment| {
            cluster.query(FULL, &[segment]);
            cluster.run(0.2);
        });
        cluster.run(1.0);
    };
    send(&mut cluster, 0.2, 0..16);
    send(&mut cluster, 1.9, 0..28);
    let start = cluster.transport.now;
    send(&mut cluster, 1.9, 30..57);
    let sent_far = cluster.transport.sent.iter().filter(|s| s.at >= start && s.node % 3 == 0).count();
    assert_eq!(sent_far, 0);
}

#[test]
fn non_idempotent_part_needs_a_healthy_node() {
    let mut cluster = Cluster::new(Deployment { replicas: 2, ..deployment() });
    cluster.run_traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[1] = None;
    (0..4).for_each(|_| _ = cluster.query(FULL, &[0]));
    cluster.run(0.3);
    let start = cluster.transport.now;
    (0..6).for_each(|_| _ = cluster.query(NON_IDEMPOTENT, &[0]));
    assert_eq!(cluster.sent_count(1, start), 0);
}

#[test]
fn non_idempotent_part_is_never_a_probation_attempt() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[1] = None;
    cluster.run_traffic(FULL, 1.0, 0.05);
    assert!(cluster.is_ejected(1));
    let start = cluster.transport.now;
    cluster.run_traffic(NON_IDEMPOTENT, 4.0, 0.05);
    assert_eq!(cluster.sent_count(1, start), 0);
}

/// Guards against a part whose two attempts are both probation attempts at silent replicas while a healthy third gets none.
#[rstest]
fn hedge_goes_to_a_healthy_replica(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut cluster = Cluster::new(Deployment { seed, ..deployment() });
    cluster.run_traffic(FULL, 3.0, 0.05);
    (cluster.transport.nodes[2], cluster.transport.nodes[3]) = (None, None);
    cluster.run_traffic(FULL, 2.0, 0.05);
    assert!(cluster.is_ejected(2) && cluster.is_ejected(3));
    for _ in 0..20 {
        cluster.run(4.0);
        for _ in 0..6 {
            cluster.query(FULL, &[4]);
        }
        let query = cluster.query(FULL, &[2]);
        cluster.run(0.3);
        assert!(cluster.sent(query).iter().any(|s| s.node == 4), "{:?}", cluster.sent(query));
    }
}

#[test]
fn full_node_is_backed_off() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[2] = Some((AttemptOutcome::Rejected, 0.001));
    let start = cluster.transport.now;
    cluster.run_traffic(FULL, 1.0, 0.02);
    assert!(cluster.sent_count(2, start) <= 6);
}
