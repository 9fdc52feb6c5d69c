//! Retries and hedged requests: when another attempt is sent, and within which limits.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

#[rstest]
#[case::error(AttemptOutcome::Error, 1, Some(FinalAnswer::Failed))]
#[case::timed_out(AttemptOutcome::TimedOut, 1, Some(FinalAnswer::Failed))]
#[case::connection_lost(AttemptOutcome::ConnectionLost, 1, Some(FinalAnswer::Failed))]
#[case::rejected(AttemptOutcome::Rejected, 2, None)]
#[case::no_connection(AttemptOutcome::ConnectFailed, 2, None)]
fn non_idempotent_part_is_retried_only_if_unstarted(
    #[case] outcome: AttemptOutcome,
    #[case] sent: usize,
    #[case] answer: Option<FinalAnswer>,
) {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(NON_IDEMPOTENT, &[0]);
    cluster.end_attempt(query, 0, outcome);
    assert_eq!(cluster.sent(query).len(), sent);
    assert_eq!(cluster.answers(query).first(), answer.as_ref());
}

#[rstest]
#[case::inside_the_window(0.5, 2)]
#[case::after_the_window(1.2, 1)]
fn keyed_part_is_retried_within_its_window(#[case] after: f64, #[case] sent: usize) {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(KEYED, &[0]);
    cluster.run(after);
    cluster.end_attempt(query, 0, AttemptOutcome::Error);
    assert_eq!(cluster.sent(query).len(), sent);
}

#[test]
fn retries_stay_within_the_budget() {
    let budget = RetryBudget { window: 2.0, min_retries: 3.0, ratio: 0.05 };
    let mut cluster = Cluster::new(Deployment { retry_budget: Some(budget), ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let queries: Vec<_> = (0..18).map(|segment| cluster.query(FULL, &[segment % 6])).collect();
    cluster.run(1.9);
    assert!(cluster.transport.sent.len() > queries.len());
    assert!(cluster.transport.sent.len() - queries.len() <= 3 + 1);
}

#[test]
fn attempt_cap_limits_the_attempts() {
    let mut cluster = Cluster::new(Deployment { max_attempts: 2, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.01)); 6];
    let query = cluster.query(FULL, &[0]);
    cluster.run(1.0);
    assert_eq!(cluster.sent(query).len(), 2);
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}

#[test]
fn failed_part_is_retried_elsewhere() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.01)); 6];
    let queries: Vec<_> = (0..6).map(|segment| cluster.query(FULL, &[segment])).collect();
    cluster.run(0.1);
    for query in queries {
        let sent = cluster.sent(query);
        assert!(sent.len() > 1 && sent[1..].iter().all(|s| s.node != sent[0].node));
    }
}

#[test]
fn optional_parts_are_not_hedged() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[2] = None;
    cluster.run_traffic(FULL, 1.0, 0.05);
    cluster.run(2.0);
    let start = cluster.transport.now;
    let queries: Vec<_> = (0..4).map(|_| cluster.query(QUICK, &[0, 1, 2, 3, 4])).collect();
    cluster.run(0.15);
    assert!(cluster.sent_count(2, start) > 0);
    assert!(queries.iter().all(|s| cluster.sent(*s).len() == 5));
}

#[test]
fn overloaded_replicas_get_no_hedges() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.7)); 6];
    let load_replicas = |cluster: &mut Cluster, seconds: f64| {
        (0..(seconds / 0.02) as usize).for_each(|_| {
            cluster.query_with(PATIENT, &[0], 0, 30.0, false);
            cluster.run(0.02);
        });
    };
    load_replicas(&mut cluster, 3.0);
    let query = cluster.query_with(QUICK, &[0, 3], 0, 3.9, false);
    (0..6).for_each(|node| cluster.drop_responses(query, node));
    load_replicas(&mut cluster, 1.5);
    let attempts = cluster.sent(query).iter().filter(|s| s.part == 0).count();
    assert_eq!(attempts, 1);
}

#[test]
fn late_part_is_hedged_within_the_objective() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.03);
    let query = cluster.query(FULL, &[0]);
    (0..6).for_each(|node| cluster.drop_responses(query, node));
    cluster.run_traffic(FULL, 0.6, 0.03);
    assert_eq!(cluster.sent(query).len(), 1);
    cluster.run_traffic(FULL, 0.4, 0.03);
    assert_eq!(cluster.sent(query).len(), 2);
}

/// In an uncongested fleet the part is hedged after 0.8 s, which is 0.4 of the latency objective.
#[rstest]
#[case::uncongested(0.2, 2)]
#[case::congested(0.5, 1)]
fn hedge_needs_spare_capacity(#[case] latency: f64, #[case] sent: usize) {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.03);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, latency)); 6];
    cluster.run_traffic(PATIENT, 3.0, 0.03);
    let query = cluster.query(FULL, &[0]);
    (0..6).for_each(|node| cluster.drop_responses(query, node));
    cluster.run_traffic(PATIENT, 0.9, 0.03);
    assert_eq!(cluster.sent(query).len(), sent);
}

/// A part at an ejected node is hedged as soon as its attempt is older than the 95th percentile latency, and not before,
/// because a node that seems silent may only have a long queue.
#[rstest]
fn part_at_ejected_node_is_hedged_after_p95(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(Deployment { seed, ..deployment() });
    cluster.run_traffic(FULL, 3.0, 0.05);
    (cluster.transport.nodes[2], cluster.transport.nodes[3]) = (None, None);
    cluster.run_traffic(FULL, 2.0, 0.05);
    assert!(cluster.is_ejected(2) && cluster.is_ejected(3));
    let mut probation_attempts = 0;
    for _ in 0..20 {
        cluster.run(4.0);
        for _ in 0..6 {
            cluster.query(FULL, &[4]);
        }
        let query = cluster.query(FULL, &[2]);
        if cluster.sent(query)[0].node != 4 {
            probation_attempts += 1;
            cluster.run(0.15);
            assert_eq!(cluster.sent(query).len(), 1);
            cluster.run(0.1);
            assert_eq!(cluster.sent(query).len(), 2);
        }
    }
    assert!(probation_attempts > 0);
}

#[test]
fn first_of_two_failed_replicas_is_retried() {
    let mut cluster = Cluster::new(Deployment { replicas: 2, ..deployment() });
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(FULL, &[0]);
    (0..2).for_each(|_| {
        cluster.run(0.1);
        cluster.end_attempt(query, 0, AttemptOutcome::ConnectionLost);
    });
    let nodes: Vec<_> = cluster.sent(query).iter().map(|s| s.node).collect();
    assert_eq!(nodes.len(), 3);
    assert_ne!(nodes[0], nodes[1]);
}

/// A replica that rejects an attempt counts as full for one median latency and is then tried again. Once the attempt cap is
/// reached, the query ends at once.
#[test]
fn part_rejected_by_all_replicas_ends_its_query() {
    let mut cluster = Cluster::new(Deployment { replicas: 2, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Rejected, 0.002)); 6];
    let query = cluster.query(FULL, &[0]);
    cluster.run(0.2);
    assert_eq!(cluster.sent(query).len(), 2);
    cluster.run(1.0);
    assert_eq!(cluster.sent(query).len(), 4);
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}
