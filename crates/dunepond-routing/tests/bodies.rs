//! Bodies that are available once, or no longer.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

#[test]
fn a_single_shot_query_is_sent_once_and_a_failed_part_ends_it_at_once() {
    let mut cluster = Cluster::new(site());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.single_shot(FULL, &[0, 1]);
    assert_eq!(cluster.sent(query).len(), 2);
    cluster.end_attempt(query, 0, AttemptOutcome::Error);
    assert_eq!(cluster.sent(query).len(), 2);
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}

/// Neither silence nor an overdue part brings a copy, which would have nothing to carry.
#[test]
fn a_single_shot_query_is_not_hedged() {
    let mut cluster = Cluster::new(site());
    cluster.traffic(FULL, 10.0, 0.1);
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.single_shot(FULL, &[0]);
    cluster.run(3.0);
    assert_eq!(cluster.sent(query).len(), 1);
}

#[test]
fn parts_that_are_not_needed_may_fail_in_a_single_shot_query() {
    let mut cluster = Cluster::new(site());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.single_shot(QUICK, &[0, 1, 2, 3, 4]);
    cluster.end_attempt(query, 0, AttemptOutcome::ConnectFailed);
    cluster.end_attempt(query, 1, AttemptOutcome::Error);
    assert_eq!(cluster.answers(query), []);
    (2..5).for_each(|part| cluster.end_attempt(query, part, AttemptOutcome::Served));
    assert_eq!(cluster.answers(query), [COMPLETE]);
}

/// Waiting for a holder would keep its client sending what nobody can be given any more.
#[test]
fn a_single_shot_query_without_a_replica_is_rejected_at_once() {
    let mut cluster = Cluster::new(site());
    cluster.list(true, &[row(0, EndpointState::Draining, 0.0)]);
    let query = cluster.single_shot(FULL, &[0]);
    assert_eq!(cluster.sent(query).len(), 0);
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}

#[rstest]
#[case::replayable(FULL, AttemptOutcome::Error, FinalAnswer::Rejected { retry_after: 0.0 })]
#[case::may_have_run(NON_IDEMPOTENT, AttemptOutcome::ConnectionLost, FinalAnswer::Failed)]
#[case::never_ran(NON_IDEMPOTENT, AttemptOutcome::Rejected, FinalAnswer::Rejected { retry_after: 0.0 })]
fn once_a_body_is_gone_a_failure_is_final(
    #[case] kind: usize,
    #[case] end: AttemptOutcome,
    #[case] expected: FinalAnswer,
) {
    let mut cluster = Cluster::new(Deployment { max_retry_after: 0.0, ..site() });
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(kind, &[0]);
    cluster.router.on_body_discarded(&mut cluster.transport, query);
    assert_eq!(cluster.answers(query), []);
    cluster.end_attempt(query, 0, end);
    assert_eq!(cluster.answers(query), [expected]);
    assert_eq!(cluster.sent(query).len(), 1);
}

/// All its holders are full, so that it waits; with its text it has nothing to wait for any more.
#[test]
fn a_query_with_unsent_parts_ends_with_its_body() {
    let mut cluster = Cluster::new(site());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(NON_IDEMPOTENT, &[0]);
    (0..3).for_each(|_| cluster.end_attempt(query, 0, AttemptOutcome::Rejected));
    assert_eq!((cluster.sent(query).len(), cluster.answers(query)), (3, vec![]));
    cluster.router.on_body_discarded(&mut cluster.transport, query);
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
}

/// A body need not be kept for what can never go again, and must be for what may come back as never run.
#[rstest]
#[case::may_have_run(NON_IDEMPOTENT, AttemptOutcome::Error, false)]
#[case::refused(NON_IDEMPOTENT, AttemptOutcome::Rejected, true)]
#[case::replayable(FULL, AttemptOutcome::Error, true)]
fn a_body_is_needed_as_long_as_some_part_may_be_sent_again(
    #[case] kind: usize,
    #[case] end: AttemptOutcome,
    #[case] needed: bool,
) {
    let mut cluster = Cluster::new(site());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(kind, &[0, 1]);
    assert!(cluster.router.needs_body(query));
    cluster.end_attempt(query, 1, AttemptOutcome::Served);
    assert!(cluster.router.needs_body(query));
    cluster.end_attempt(query, 0, end);
    assert_eq!(cluster.router.needs_body(query), needed);
    assert_eq!(cluster.sent(query).len(), if needed { 3 } else { 2 });
}

#[test]
fn a_body_is_not_needed_once_its_parts_have_had_all_their_attempts() {
    let mut cluster = Cluster::new(Deployment { max_attempts: 1, ..site() });
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(FULL, &[0]);
    assert!(!cluster.router.needs_body(query));
}
