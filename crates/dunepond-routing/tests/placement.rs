//! Placement: which replica gets a part.

mod support;

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

/// Six nodes stand in three zones. With three replicas each segment has a near one; with two a third of them
/// have none, and all that a preference does there is to take the choice from ties.
#[rstest]
#[case::each_segment_has_one_near(3, 45..75)]
#[case::some_have_none(2, 30..60)]
fn nearer_of_equal_replicas_is_chosen(#[case] replicas: usize, #[case] expected: std::ops::Range<usize>) {
    let mut cluster = Cluster::new(Deployment { replicas, ..deployment() });
    let one = |cluster: &mut Cluster| {
        let query = cluster.query(FULL, &[0]);
        cluster.run(1.0);
        cluster.sent(query)[0].node
    };
    let near = (0..90).filter(|_| one(&mut cluster) == 0).count();
    assert!(expected.contains(&near), "{near}");
}

/// In sets a segment is held by all nodes of one cell: how many there are is a matter of the list.
#[test]
fn near_node_of_a_group_is_chosen() {
    let mut cluster = Cluster::new(Deployment { replicas: 1, replica_groups: 2, ..deployment() });
    let one = |cluster: &mut Cluster| {
        let query = cluster.query(FULL, &[0]);
        cluster.run(1.0);
        cluster.sent(query)[0].node
    };
    let near = (0..90).filter(|_| one(&mut cluster) == 0).count();
    assert!((45..75).contains(&near), "{near}");
}

/// The near node has just taken a quarter longer than the others: dear crossings outweigh that, cheap ones do not.
#[rstest]
#[case::cheap(0.01, 0..30)]
#[case::dear(0.06, 45..75)]
fn cross_zone_cost_weighs_against_latency(#[case] price: f64, #[case] expected: std::ops::Range<usize>) {
    let mut cluster = Cluster::new(Deployment { cross_zone_cost: Some(price), ..deployment() });
    [0, 3].iter().for_each(|near| cluster.transport.nodes[*near] = Some((AttemptOutcome::Served, 0.25)));
    let one = |cluster: &mut Cluster| {
        let query = cluster.query(FULL, &[0]);
        cluster.run(1.0);
        cluster.sent(query)[0].node
    };
    (0..30).for_each(|_| {
        one(&mut cluster);
    });
    let near = (0..90).filter(|_| one(&mut cluster) == 0).count();
    assert!(expected.contains(&near), "{near}");
}

/// Brokers that meet a node once in a second come back long after the usual time for which it is left alone.
/// It has answered at once and holds nothing of ours: without a memory of it, it is the lightest of all.
#[test]
fn full_node_is_chosen_less_by_rare_callers() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes[0] = Some((AttemptOutcome::Rejected, 0.001));
    cluster.transport.nodes[5] = Some((AttemptOutcome::Served, 0.9));
    for _ in 0..60 {
        cluster.query(FULL, &[0]);
        cluster.run(0.5);
        cluster.query(FULL, &[3]);
        cluster.run(0.5);
    }
    let tried = cluster.sent_count(0, 0.0);
    assert!((1..10).contains(&tried), "{tried}");
}

#[test]
fn slow_node_is_sent_less_at_low_counts() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes[2] = Some((AttemptOutcome::Served, 0.26));
    cluster.traffic(FULL, 9.0, 0.3);
    let start = cluster.transport.now;
    cluster.traffic(FULL, 18.0, 0.3);
    assert!(cluster.sent_count(2, start) * 3 < cluster.sent_count(4, start));
}

#[rstest]
#[case::answered(0.7, 0.8, 12, 9, 0)]
#[case::withdrawn_late(1.9, 1.1, 3, 6, 1)]
fn one_slow_attempt_moves_the_choice(
    #[case] delay: f64,
    #[case] gap: f64,
    #[case] learns: usize,
    #[case] asks: usize,
    #[case] most: usize,
) {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.1);
    cluster.transport.nodes[2] = Some((AttemptOutcome::Served, delay));
    let ask = |cluster: &mut Cluster, times: usize| {
        (0..times).for_each(|_| {
            cluster.query(FULL, &[2]);
            cluster.run(gap);
        });
    };
    ask(&mut cluster, learns);
    let start = cluster.transport.now;
    ask(&mut cluster, asks);
    assert!(cluster.sent_count(2, start) <= most);
}

#[test]
fn bad_zone_link_shows_at_few_nodes() {
    let mut cluster = sixty(deployment());
    let ask = |cluster: &mut Cluster, far: f64, segments: std::ops::Range<usize>| {
        cluster.transport.nodes = every_third(far);
        segments.for_each(|segment| {
            cluster.query(FULL, &[segment]);
            cluster.run(0.2);
        });
        cluster.run(1.0);
    };
    ask(&mut cluster, 0.2, 0..16);
    ask(&mut cluster, 1.9, 0..28);
    let start = cluster.transport.now;
    ask(&mut cluster, 1.9, 30..57);
    let far = cluster.transport.sent.iter().filter(|s| s.at >= start && s.node % 3 == 0).count();
    assert_eq!(far, 0);
}

#[test]
fn non_idempotent_part_needs_a_healthy_node() {
    let mut cluster = Cluster::new(Deployment { replicas: 2, ..deployment() });
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[1] = None;
    (0..4).for_each(|_| _ = cluster.query(FULL, &[0]));
    cluster.run(0.3);
    let start = cluster.transport.now;
    (0..6).for_each(|_| _ = cluster.query(NON_IDEMPOTENT, &[0]));
    assert_eq!(cluster.sent_count(1, start), 0);
}

#[test]
fn non_idempotent_part_is_no_probation_attempt() {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[1] = None;
    cluster.traffic(FULL, 1.0, 0.05);
    assert!(cluster.is_ejected(1));
    let start = cluster.transport.now;
    cluster.traffic(NON_IDEMPOTENT, 4.0, 0.05);
    assert_eq!(cluster.sent_count(1, start), 0);
}

/// Guards against a part whose two attempts are both probation attempts at silent replicas while a healthy third gets none.
#[rstest]
fn hedge_is_no_probation_attempt(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut cluster = Cluster::new(Deployment { seed, ..deployment() });
    cluster.traffic(FULL, 3.0, 0.05);
    (cluster.transport.nodes[2], cluster.transport.nodes[3]) = (None, None);
    cluster.traffic(FULL, 2.0, 0.05);
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
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[2] = Some((AttemptOutcome::Rejected, 0.001));
    let start = cluster.transport.now;
    cluster.traffic(FULL, 1.0, 0.02);
    assert!(cluster.sent_count(2, start) <= 6);
}
