//! Deadlines: a query ends in time, with a complete answer, a partial one or a rejection.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

#[rstest]
#[case::no_value_when_late(QUICK, 2.1)]
#[case::idempotent(FULL, 3.9)]
#[case::non_idempotent(NON_IDEMPOTENT, 3.9)]
fn unanswered_query_ends_once_in_time(#[case] query_class: usize, #[case] by: f64) {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(query_class, &[0]);
    cluster.run(8.0);
    assert_eq!(cluster.answers(query).len(), 1);
    assert!(cluster.transport.answers[0].0 < 100.0 + by);
}

#[rstest]
#[case::half_is_enough(2, FinalAnswer::Answer { complete: false })]
#[case::a_quarter_is_not_enough(1, FinalAnswer::Rejected { retry_after: 0.0 })]
fn partial_answer_at_the_deadline_is_marked(#[case] served: usize, #[case] expected: FinalAnswer) {
    let mut cluster = Cluster::new(Deployment { max_retry_after: 0.0, ..deployment() });
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(PARTIAL, &[0, 1, 2, 3]);
    (0..served).for_each(|part| cluster.end_attempt(query, part, AttemptOutcome::Served));
    cluster.run(5.0);
    assert_eq!(cluster.answers(query), [expected]);
}

#[test]
fn partial_answer_is_given_before_it_loses_its_value() {
    let mut deployment = deployment();
    deployment.query_classes[PARTIAL].late_value_ratio = 0.0;
    let mut cluster = Cluster::new(deployment);
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(PARTIAL, &[0, 1, 2, 3]);
    (0..2).for_each(|part| cluster.end_attempt(query, part, AttemptOutcome::Served));
    cluster.run(1.9);
    assert_eq!(cluster.answers(query), []);
    cluster.run(0.099);
    assert_eq!(cluster.answers(query), [FinalAnswer::Answer { complete: false }]);
}

/// The only replica of segment 0 is dead. Three of the four parts can still be served, and two are enough for a partial answer.
#[test]
fn partially_answerable_query_is_admitted() {
    let mut cluster = Cluster::new(Deployment { replicas: 1, ..deployment() });
    cluster.transport.nodes[0] = None;
    (0..4).for_each(|_| {
        cluster.query(FULL, &[0]);
        cluster.run(2.0);
    });
    assert!(cluster.is_ejected(0));
    let query = cluster.query(PARTIAL, &[0, 1, 2, 3]);
    assert!(cluster.sent(query).len() >= 3);
}
