//! Queries that wait for the prefilter, and audits of it.

mod support;

use dunepond_routing::*;
use support::*;

/// Its nodes are polled first: nothing goes out meanwhile, what is left out never does, and counts for the whole.
#[test]
fn a_waiting_query_sends_the_parts_that_are_not_pruned() {
    let mut cluster = Cluster::new(site());
    let query = cluster.awaiting_prefilter(FULL, &[0, 1, 2, 3]);
    cluster.run(0.5);
    assert_eq!((cluster.sent(query).len(), cluster.answers(query)), (0, vec![]));
    cluster.router.on_prefilter_result(&mut cluster.transport, query, &[0, 2]);
    cluster.run(1.0);
    let sent: Vec<_> = cluster.sent(query).iter().map(|s| s.part).collect();
    assert_eq!((sent, cluster.answers(query)), (vec![1, 3], vec![COMPLETE]));
}

#[test]
fn a_query_with_all_parts_pruned_is_answered_at_once() {
    let mut cluster = Cluster::new(site());
    let query = cluster.awaiting_prefilter(FULL, &[0, 1]);
    cluster.router.on_prefilter_result(&mut cluster.transport, query, &[0, 1]);
    assert_eq!((cluster.sent(query).len(), cluster.answers(query)), (0, vec![COMPLETE]));
}

/// The word that a part was left out on has fallen while the others were out.
#[test]
fn a_part_pruned_on_evidence_that_no_longer_holds_is_sent_before_the_query_is_complete() {
    let mut cluster = Cluster::new(site());
    let query = cluster.awaiting_prefilter(FULL, &[0, 1]);
    cluster.router.on_prefilter_result(&mut cluster.transport, query, &[0]);
    cluster.run(0.1);
    cluster.router.on_prefilter_revoked(&mut cluster.transport, query, &[0]);
    cluster.run(0.15);
    assert_eq!((cluster.sent(query).len(), cluster.answers(query)), (2, vec![]));
    cluster.run(1.0);
    assert_eq!(cluster.answers(query), [COMPLETE]);
}

/// Asking has taken so long that no search would come in time: it is told so then, and nothing goes out.
#[test]
fn a_query_that_has_waited_too_long_is_rejected_at_once() {
    let mut cluster = Cluster::new(site());
    cluster.traffic(FULL, 5.0, 0.1);
    let query = cluster.awaiting_prefilter(FULL, &[0, 1]);
    cluster.run(3.8);
    let before = cluster.transport.now;
    cluster.router.on_prefilter_result(&mut cluster.transport, query, &[]);
    assert!(cluster.sent(query).is_empty());
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
    assert_eq!(cluster.transport.answers.last().unwrap().0, before);
}

/// Half of its parts are enough for an answer that is not whole; one that was left out is none of them.
#[test]
fn pruned_parts_do_not_count_towards_the_minimum_share() {
    let mut cluster = Cluster::new(site());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.awaiting_prefilter(PARTIAL, &[0, 1, 2, 3]);
    cluster.router.on_prefilter_result(&mut cluster.transport, query, &[0, 1]);
    cluster.end_attempt(query, 2, AttemptOutcome::Served);
    cluster.run(4.0);
    assert!(
        matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]),
        "{:?}",
        cluster.answers(query)
    );
}

#[test]
fn an_audit_is_sent_once_and_not_retried() {
    let mut cluster = Cluster::new(site());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let query = cluster.audit(FULL, 0);
    cluster.run(3.0);
    assert_eq!(cluster.sent(query).len(), 1);
    assert_eq!(cluster.answers(query).len(), 1);
}

/// Audits must not widen the budget of those that clients wait for.
#[test]
fn audits_earn_no_retry_budget() {
    let budget = Some(RetryBudget { window: 10.0, min_retries: 0.0, ratio: 1.0 });
    let mut cluster = Cluster::new(Deployment { retry_budget: budget, ..site() });
    for _ in 0..20 {
        cluster.audit(FULL, 0);
    }
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let query = cluster.query(FULL, &[1]);
    cluster.run(3.0);
    // Its own query and part allow two more.
    assert_eq!(cluster.sent(query).len(), 3);
}
