//! Queries whose body is available on arrival only, or is discarded later: which attempts, hedges and retries are still
//! possible.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

#[test]
fn single_shot_query_ends_with_a_failed_part() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.single_shot_query(FULL, &[0, 1]);
    assert_eq!(cluster.sent(query).len(), 2);
    cluster.end_attempt(query, 0, AttemptOutcome::Error);
    assert_eq!(cluster.sent(query).len(), 2);
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}

/// Neither a silent node nor an overdue part causes a hedge, because the body is no longer available.
#[test]
fn single_shot_query_is_not_hedged() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 10.0, 0.1);
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.single_shot_query(FULL, &[0]);
    cluster.run(3.0);
    assert_eq!(cluster.sent(query).len(), 1);
}

#[test]
fn single_shot_query_tolerates_optional_failures() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.single_shot_query(QUICK, &[0, 1, 2, 3, 4]);
    cluster.end_attempt(query, 0, AttemptOutcome::ConnectFailed);
    cluster.end_attempt(query, 1, AttemptOutcome::Error);
    assert_eq!(cluster.answers(query), []);
    (2..5).for_each(|part| cluster.end_attempt(query, part, AttemptOutcome::Served));
    assert_eq!(cluster.answers(query), [COMPLETE]);
}

/// The only node is draining, and the body of the query is available on arrival only: a part that is not sent on arrival can
/// never be sent. Guards against waiting for a replica while the client sends the body.
#[test]
fn single_shot_query_without_replica_is_rejected() {
    let mut cluster = Cluster::new(deployment());
    cluster.update_list(true, &[row(0, EndpointState::Draining, 0.0)]);
    let query = cluster.single_shot_query(FULL, &[0]);
    assert_eq!(cluster.sent(query).len(), 0);
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}

#[rstest]
#[case::idempotent(FULL, AttemptOutcome::Error, FinalAnswer::Rejected { retry_after: 0.0 })]
#[case::may_have_run(NON_IDEMPOTENT, AttemptOutcome::ConnectionLost, FinalAnswer::Failed)]
#[case::never_ran(NON_IDEMPOTENT, AttemptOutcome::Rejected, FinalAnswer::Rejected { retry_after: 0.0 })]
fn failure_after_body_discard_is_final(
    #[case] query_class: usize,
    #[case] outcome: AttemptOutcome,
    #[case] expected: FinalAnswer,
) {
    let mut cluster = Cluster::new(Deployment { max_retry_after: 0.0, ..deployment() });
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(query_class, &[0]);
    cluster.router.on_body_discarded(&mut cluster.transport, query);
    assert_eq!(cluster.answers(query), []);
    cluster.end_attempt(query, 0, outcome);
    assert_eq!(cluster.answers(query), [expected]);
    assert_eq!(cluster.sent(query).len(), 1);
}

/// All replicas are full, so the query waits. Once its body is discarded, no further attempt is possible, and the query ends.
#[test]
fn waiting_query_ends_with_its_body() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(NON_IDEMPOTENT, &[0]);
    (0..3).for_each(|_| cluster.end_attempt(query, 0, AttemptOutcome::Rejected));
    assert_eq!((cluster.sent(query).len(), cluster.answers(query)), (3, vec![]));
    cluster.router.on_body_discarded(&mut cluster.transport, query);
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}

/// The body must be retained while a part has not run yet or may run again. Otherwise it need not be.
#[rstest]
#[case::may_have_run(NON_IDEMPOTENT, AttemptOutcome::Error, false)]
#[case::rejected(NON_IDEMPOTENT, AttemptOutcome::Rejected, true)]
#[case::idempotent(FULL, AttemptOutcome::Error, true)]
fn body_is_retained_while_a_retry_is_possible(
    #[case] query_class: usize,
    #[case] outcome: AttemptOutcome,
    #[case] needed: bool,
) {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(query_class, &[0, 1]);
    assert!(cluster.router.needs_body(query));
    cluster.end_attempt(query, 1, AttemptOutcome::Served);
    assert!(cluster.router.needs_body(query));
    cluster.end_attempt(query, 0, outcome);
    assert_eq!(cluster.router.needs_body(query), needed);
    assert_eq!(cluster.sent(query).len(), if needed { 3 } else { 2 });
}

#[test]
fn body_is_not_needed_at_the_attempt_cap() {
    let mut cluster = Cluster::new(Deployment { max_attempts: 1, ..deployment() });
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(FULL, &[0]);
    assert!(!cluster.router.needs_body(query));
}
