//! Admission: which queries are rejected on arrival.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

/// Returns a cluster in which the replicas of segment 0 answer after 1.2 s, which is more than half of the latency objective of
/// most classes, and those of segment 3 after 0.2 s.
fn overloaded_cluster() -> Cluster {
    let mut cluster = Cluster::new(deployment());
    for wait in [0.6, 1.2] {
        (0..3).for_each(|node| cluster.transport.nodes[node] = Some((AttemptOutcome::Served, wait)));
        (0..60).for_each(|_| {
            cluster.query_with(PATIENT, &[0], 0, 30.0, false);
            cluster.query_with(PATIENT, &[3], 0, 30.0, false);
            cluster.run(0.05);
        });
    }
    cluster
}

#[test]
fn faults_do_not_raise_the_expected_wait() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
    let query = cluster.query(FULL, &[0]);
    (0..3).for_each(|_| cluster.end_attempt(query, 0, AttemptOutcome::Error));
    let queries: Vec<_> = (0..12).map(|_| cluster.query(FULL, &[0])).collect();
    assert!(queries.iter().all(|s| cluster.answers(*s).is_empty()));
}

#[test]
fn only_queries_of_overloaded_replicas_are_rejected() {
    let mut cluster = overloaded_cluster();
    let queries: Vec<_> = (0..24).map(|_| cluster.query(FULL, &[0])).collect();
    let rejected: Vec<_> = queries.into_iter().filter(|s| !cluster.answers(*s).is_empty()).collect();
    assert!(rejected.len() >= 8);
    for query in rejected {
        assert!(cluster.sent(query).is_empty());
        assert!(
            matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { retry_after }] if retry_after > 0.0 && retry_after <= 2.0)
        );
    }
    let others: Vec<_> = (0..24).map(|_| cluster.query(FULL, &[3])).collect();
    assert!(others.iter().all(|s| cluster.answers(*s).is_empty()));
}

#[test]
fn slow_fleet_is_overloaded_until_it_recovers() {
    let mut cluster = Cluster::new(deployment());
    let pace = |cluster: &mut Cluster, delay: f64, seconds: f64| {
        cluster.transport.nodes = vec![Some((AttemptOutcome::Served, delay)); 6];
        cluster.run_traffic(PATIENT, seconds, 0.15);
        cluster.run(2.0);
    };
    [0.2, 0.5, 1.0, 1.8].into_iter().for_each(|delay| pace(&mut cluster, delay, 16.0));
    let rejected = |cluster: &mut Cluster| {
        let queries: Vec<_> = (0..12).map(|turn| cluster.query(FULL, &[turn % 6])).collect();
        queries.iter().filter(|s| !cluster.answers(**s).is_empty()).count()
    };
    assert!(rejected(&mut cluster) >= 10);
    cluster.run(200.0);
    assert_eq!(rejected(&mut cluster), 0);
}

/// All nodes were slow and have recovered. Guards against a broker that rejects all queries because of a high wait estimate,
/// and so never gets a sample that corrects the estimate. With no attempt in flight, it rejected all queries for twice the
/// longest latency objective (40 s here), and for four times as long where samples of a zone replace those of a node.
#[rstest]
#[case::zones(3, 30)]
#[case::one_zone(1, 3)]
fn outdated_wait_estimate_admits_a_query(#[case] zones: usize, #[case] min_served: usize) {
    let mut cluster = Cluster::new(deployment());
    let rows = |state| (0..6).map(|n| Endpoint { zone: n % zones, ..row(n, state, 0.0) }).collect::<Vec<_>>();
    cluster.update_list(true, &rows(EndpointState::Removed));
    (0..6).for_each(|node| cluster.router.remove_node(node));
    cluster.update_list(true, &rows(EndpointState::Active));
    cluster.run_traffic(PATIENT, 16.0, 0.15);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 3.0)); 6];
    cluster.run_traffic(PATIENT, 24.0, 0.15);
    cluster.run(3.0);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.2)); 6];
    let (mut last, mut longest, mut served) = (cluster.transport.now, 0.0, 0);
    for turn in 0..100 {
        let query = cluster.query(FULL, &[turn % 6]);
        if cluster.answers(query).is_empty() {
            longest = f64::max(longest, cluster.transport.now - last);
            last = cluster.transport.now;
            served += usize::from(turn >= 60);
        }
        cluster.run(0.25);
    }
    assert!(longest < 4.0, "{longest}");
    assert!(served >= min_served, "{served}");
}

/// All replicas of a segment are silent for a moment, as they may be if they collect garbage at the same time. The queries that
/// arrive then wait and are answered.
#[test]
fn briefly_paused_replicas_cause_no_rejection() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
    (0..3).for_each(|node| cluster.transport.nodes[node] = None);
    let mut all_ejected = || {
        cluster.run_traffic(FULL, 0.1, 0.02);
        (0..3).all(|n| cluster.is_ejected(n))
    };
    assert!((0..12).any(|_| all_ejected()));
    (0..3).for_each(|node| cluster.transport.nodes[node] = Some((AttemptOutcome::Served, 0.2)));
    let queries = [FULL, NON_IDEMPOTENT].map(|query_class| cluster.query(query_class, &[0]));
    cluster.run_traffic(FULL, 2.0, 0.02);
    assert!(queries.iter().all(|query| cluster.answers(*query) == [COMPLETE]));
}

#[test]
fn dead_replicas_reject_only_their_own_queries() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
    (0..3).for_each(|node| cluster.transport.nodes[node] = None);
    cluster.run_traffic(FULL, 3.0, 0.05);
    assert!((0..3).all(|n| cluster.is_ejected(n)));
    let rejected = |cluster: &mut Cluster, segment: usize| {
        let queries: Vec<_> = (0..12).map(|_| cluster.query(FULL, &[segment])).collect();
        queries.iter().filter(|s| !cluster.answers(**s).is_empty()).count()
    };
    assert_eq!(rejected(&mut cluster, 1), 0);
    assert!(rejected(&mut cluster, 0) >= 9);
}

#[test]
fn traffic_beyond_quota_is_shed_first() {
    let mut cluster = Cluster::new(Deployment { quotas: vec![0.3, 3000.0], ..deployment() });
    // The expected wait is just above that at which load shedding starts: most queries within the quota are still admitted.
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.75)); 6];
    (0..80).for_each(|_| {
        cluster.query_with(PATIENT, &[0], 1, 30.0, false);
        cluster.run(0.05);
    });
    let mut rejected = |tenant: usize| {
        let queries: Vec<_> = (0..20).map(|_| cluster.query_with(FULL, &[0], tenant, 3.9, false)).collect();
        queries.iter().filter(|s| !cluster.answers(**s).is_empty()).count()
    };
    assert!(rejected(1) <= 10);
    assert!(rejected(0) >= 16);
}

/// The expected wait is the same in both cases. In one of them most admitted queries end after their latency objective. This
/// shows that the estimate is too low, so more queries are rejected.
#[rstest]
#[case::most_on_time(false, 0..8)]
#[case::most_late(true, 8..21)]
fn missed_objectives_raise_the_overload_level(#[case] late: bool, #[case] rejected: std::ops::Range<usize>) {
    let mut cluster = Cluster::new(deployment());
    let query_class = if late { TWO_STEP } else { PATIENT };
    let first: Vec<_> =
        (0..12).map(|turn| cluster.query_with(query_class, &[turn % 6], 0, 30.0, false)).collect();
    cluster.run(0.5);
    // The expected wait is just above that at which load shedding starts.
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.75)); 6];
    (0..80).for_each(|turn| {
        cluster.query_with(PATIENT, &[0], 0, 30.0, false);
        if turn == 62 {
            first
                .iter()
                .for_each(|query| cluster.router.on_second_step(&mut cluster.transport, *query, parts(&[0])));
        }
        cluster.run(0.05);
    });
    let queries: Vec<_> = (0..20).map(|_| cluster.query_with(FULL, &[0], 0, 3.9, false)).collect();
    let count = queries.iter().filter(|s| !cluster.answers(**s).is_empty()).count();
    assert!(rejected.contains(&count), "{count}");
}

#[test]
fn query_that_cannot_meet_its_timeout_is_not_sent() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.6)); 6];
    cluster.run_traffic(FULL, 3.0, 0.1);
    let query = cluster.query_with(FULL, &[0, 1], 0, 0.4, false);
    assert!(cluster.sent(query).is_empty());
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}

#[test]
fn client_retry_without_value_is_rejected() {
    let mut cluster = Cluster::new(deployment());
    let first = cluster.query_with(QUICK, &[0], 0, 4.0, false);
    let again = cluster.query_with(QUICK, &[0], 0, 1.5, true);
    assert_eq!(cluster.answers(first), []);
    assert!(matches!(cluster.answers(again)[..], [FinalAnswer::Rejected { .. }]));
}

#[rstest]
#[case::one_step(FULL, false, 0)]
#[case::two_steps(TWO_STEP, false, 1)]
#[case::already_late(FULL, true, 1)]
fn short_wait_rejects_only_late_queries(
    #[case] query_class: usize,
    #[case] late: bool,
    #[case] rejected: usize,
) {
    let mut cluster = Cluster::new(Deployment { quotas: vec![0.0, 3000.0], ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, if late { 0.75 } else { 0.48 })); 6];
    (0..200).for_each(|_| {
        cluster.query_with(PATIENT, &[0], 1, 30.0, false);
        cluster.run(0.02);
    });
    let tenant = if late { 1 } else { 0 };
    cluster.query_with(query_class, &[3], tenant, 5.9, false);
    let query = cluster.query_with(query_class, &[0], tenant, if late { 3.0 } else { 5.9 }, late);
    assert_eq!(cluster.answers(query).len(), rejected);
}

#[test]
fn optional_work_needs_spare_capacity() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 10.0, 0.1);
    assert_eq!(cluster.router.prefilter_candidates(0).count(), 3);
    assert!(!cluster.router.is_overloaded());
    cluster.transport.nodes[0] = None;
    cluster.run_traffic(FULL, 4.0, 0.1);
    assert!(cluster.is_ejected(0));
    let now = cluster.transport.now;
    cluster.update_list(false, &[row(1, EndpointState::Active, now - 1.0)]);
    assert_eq!(cluster.router.prefilter_candidates(0).collect::<Vec<_>>(), [2]);
    // With any seed, the node in slow start has budget for a part after half a second. It is ejected after the other nodes,
    // because its silence is scaled by its capacity.
    cluster.run(0.5);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 1.5)); 6];
    for i in 0..4 {
        cluster.query(FULL, &[i, i + 2]);
    }
    cluster.run(1.0);
    assert!(cluster.router.is_overloaded());
}
