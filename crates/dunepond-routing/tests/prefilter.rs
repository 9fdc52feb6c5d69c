//! The prefilter: queries that wait for it, pruned parts, and audits ([`Query::audit`]), for which no client waits.

mod support;

use dunepond_routing::*;
use support::*;

/// No part is sent before the result of the prefilter. Pruned parts are never sent and count as done.
#[test]
fn unpruned_parts_are_sent() {
    let mut cluster = Cluster::new(deployment());
    let query = cluster.query_awaiting_prefilter(FULL, &[0, 1, 2, 3]);
    cluster.run(0.5);
    assert_eq!((cluster.sent(query).len(), cluster.answers(query)), (0, vec![]));
    cluster.router.on_prefilter_result(&mut cluster.transport, query, &[0, 2]);
    cluster.run(1.0);
    let sent: Vec<_> = cluster.sent(query).iter().map(|s| s.part).collect();
    assert_eq!((sent, cluster.answers(query)), (vec![1, 3], vec![COMPLETE]));
}

#[test]
fn fully_pruned_query_is_answered_at_once() {
    let mut cluster = Cluster::new(deployment());
    let query = cluster.query_awaiting_prefilter(FULL, &[0, 1]);
    cluster.router.on_prefilter_result(&mut cluster.transport, query, &[0, 1]);
    assert_eq!((cluster.sent(query).len(), cluster.answers(query)), (0, vec![COMPLETE]));
}

/// The pruning of one part is revoked while the other part of the query is outstanding: the part is sent after all.
#[test]
fn part_with_stale_pruning_is_sent() {
    let mut cluster = Cluster::new(deployment());
    let query = cluster.query_awaiting_prefilter(FULL, &[0, 1]);
    cluster.router.on_prefilter_result(&mut cluster.transport, query, &[0]);
    cluster.run(0.1);
    cluster.router.on_prefilter_revoked(&mut cluster.transport, query, &[0]);
    cluster.run(0.15);
    assert_eq!((cluster.sent(query).len(), cluster.answers(query)), (2, vec![]));
    cluster.run(1.0);
    assert_eq!(cluster.answers(query), [COMPLETE]);
}

/// The prefilter took so long that no answer would arrive in time: the query is rejected and no part is sent.
#[test]
fn overdue_prefilter_rejects_the_query() {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 5.0, 0.1);
    let query = cluster.query_awaiting_prefilter(FULL, &[0, 1]);
    cluster.run(3.8);
    let before = cluster.transport.now;
    cluster.router.on_prefilter_result(&mut cluster.transport, query, &[]);
    assert!(cluster.sent(query).is_empty());
    assert!(matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }]));
    assert_eq!(cluster.transport.answers.last().unwrap().0, before);
}

/// Half of the parts are enough for a partial answer, but pruned parts do not count.
#[test]
fn pruned_parts_do_not_count_as_answered() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query_awaiting_prefilter(PARTIAL, &[0, 1, 2, 3]);
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
fn audit_is_not_retried() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let query = cluster.audit_query(FULL, 0);
    cluster.run(3.0);
    assert_eq!(cluster.sent(query).len(), 1);
    assert_eq!(cluster.answers(query).len(), 1);
}

/// Guards against audits that raise the retry budget of queries for which clients wait.
#[test]
fn audits_earn_no_retry_budget() {
    let budget = Some(RetryBudget { window: 10.0, min_retries: 0.0, ratio: 1.0 });
    let mut cluster = Cluster::new(Deployment { retry_budget: budget, ..deployment() });
    for _ in 0..20 {
        cluster.audit_query(FULL, 0);
    }
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let query = cluster.query(FULL, &[1]);
    cluster.run(3.0);
    // With a ratio of 1, the arrival of the query and of its part allows two retries.
    assert_eq!(cluster.sent(query).len(), 3);
}
