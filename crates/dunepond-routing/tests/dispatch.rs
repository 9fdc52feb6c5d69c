//! Dispatch and completion: all parts are sent together; once enough of them have been served, the query is answered and its
//! outstanding attempts are cancelled.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

#[test]
fn parts_are_dispatched_together() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(QUICK, &[0, 1, 2, 3, 4]);
    assert_eq!(cluster.sent(query).len(), 5);
    cluster.end_attempt(query, 0, AttemptOutcome::Served);
    cluster.end_attempt(query, 3, AttemptOutcome::Served);
    assert_eq!(cluster.answers(query), []);
    cluster.end_attempt(query, 4, AttemptOutcome::Served);
    assert_eq!(cluster.answers(query), [COMPLETE]);
    assert_eq!(cluster.transport.cancelled, [(query, 1, 0), (query, 2, 0)]);
}

#[test]
fn second_step_needs_all_of_its_parts() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(TWO_STEP, &[0, 1]);
    cluster.end_attempt(query, 1, AttemptOutcome::Served);
    assert_eq!(cluster.answers(query), [COMPLETE]);
    cluster.router.on_second_step(&mut cluster.transport, query, parts(&[1, 1]));
    assert_eq!(cluster.sent(query).len(), 4);
    cluster.end_attempt(query, 2, AttemptOutcome::Served);
    assert_eq!(cluster.answers(query), [COMPLETE]);
    cluster.end_attempt(query, 3, AttemptOutcome::Served);
    assert_eq!(cluster.answers(query), [COMPLETE, COMPLETE]);
}

/// The weights are rounded, so that their sum is not exactly 1: 56 weights of 0.017857 sum to 0.999992. The answer is complete
/// once all of the parts have been served, and not before.
#[rstest]
#[case::rounded_down(56, 0.017857)]
#[case::rounded_up(7, 0.142858)]
fn rounded_weights_still_complete_the_query(#[case] count: usize, #[case] weight: f64) {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query_with_rounded_weights(FULL, count, weight);
    assert_eq!(cluster.sent(query).len(), count);
    for part in 0..count {
        assert_eq!(cluster.answers(query), []);
        cluster.end_attempt(query, part, AttemptOutcome::Served);
    }
    assert_eq!(cluster.answers(query), [COMPLETE]);
}

#[rstest]
#[case::allowed(true, 1)]
#[case::forbidden(false, 0)]
fn outstanding_attempts_are_cancelled_if_allowed(#[case] may_cancel: bool, #[case] cancels: usize) {
    let mut cluster = Cluster::new(Deployment { may_cancel, ..deployment() });
    let query = cluster.query(FULL, &[0]);
    cluster.router.on_client_disconnect(&mut cluster.transport, query);
    assert_eq!(cluster.transport.cancelled.len(), cancels);
}

#[rstest]
#[case::listed(false, vec![row(0, EndpointState::Draining, 0.0), row(1, EndpointState::Removed, 0.0)])]
#[case::missing_from_a_complete_list(true, (2..6).map(|n| row(n, EndpointState::Active, 0.0)).collect())]
fn draining_or_removed_node_gets_no_attempts(#[case] complete: bool, #[case] rows: Vec<Endpoint>) {
    let mut cluster = Cluster::new(deployment());
    cluster.update_list(complete, &rows);
    cluster.run_traffic(QUICK, 5.0, 0.05);
    assert_eq!(cluster.sent_count(0, 0.0) + cluster.sent_count(1, 0.0), 0);
}
