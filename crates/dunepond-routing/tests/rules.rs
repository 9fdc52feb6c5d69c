//! Rules that change while queries are in flight, and parts with a required node.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

const COMPLETE: FinalAnswer = FinalAnswer::Answer { complete: true };
const PARTIAL_ANSWER: FinalAnswer = FinalAnswer::Answer { complete: false };

fn is_rejected(cluster: &Cluster, query: QueryId) -> bool {
    matches!(cluster.answers(query)[..], [FinalAnswer::Rejected { .. }])
}

// ---- parts that one node alone may have

#[rstest]
#[case::non_replayable(NON_IDEMPOTENT)]
#[case::replayable(FULL)]
fn part_goes_only_to_its_required_node(#[case] kind: usize, #[values(0, 1, 2)] owner: NodeId) {
    let mut cluster = Cluster::new(deployment());
    let queries: Vec<_> = (0..20).map(|_| cluster.with_required_node(kind, 0, owner)).collect();
    cluster.run(3.0);
    assert!(cluster.transport.sent.iter().all(|s| s.node == owner));
    assert!(queries.iter().all(|query| cluster.answers(*query) == [COMPLETE]));
}

/// Silent, failing or full: neither a copy nor a retry goes elsewhere, and there is one final answer.
#[rstest]
#[case::silent(None)]
#[case::failing(Some((AttemptOutcome::Error, 0.01)))]
#[case::full(Some((AttemptOutcome::Rejected, 0.01)))]
fn failed_required_node_has_no_substitute(
    #[case] owner: Option<(AttemptOutcome, f64)>,
    #[values(NON_IDEMPOTENT, FULL)] kind: usize,
) {
    let mut cluster = Cluster::new(deployment());
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[1] = owner;
    let query = cluster.with_required_node(kind, 0, 1);
    cluster.run(4.0);
    assert!(cluster.sent(query).iter().all(|s| s.node == 1));
    assert_eq!(cluster.answers(query).len(), 1);
}

#[rstest]
#[case::draining(1, EndpointState::Draining)]
#[case::gone(1, EndpointState::Removed)]
#[case::no_holder_of_that_segment(4, EndpointState::Active)]
#[case::unknown(99, EndpointState::Active)]
fn unusable_required_node_rejects_at_once(#[case] owner: NodeId, #[case] is: EndpointState) {
    let mut cluster = Cluster::new(deployment());
    cluster.list(false, &[row(owner.min(5), is, 0.0)]);
    let query = cluster.with_required_node(NON_IDEMPOTENT, 0, owner);
    assert!(is_rejected(&cluster, query));
    assert!(cluster.sent(query).is_empty());
}

/// The part waits for the slow-start budget of a node that begins to drain, or whose index is given to another node.
#[rstest]
#[case::drains(false)]
#[case::its_index_is_given_to_another(true)]
fn departed_required_node_rejects_soon(#[case] another: bool) {
    let mut cluster = Cluster::new(deployment());
    cluster.list(false, &[row(1, EndpointState::Active, cluster.transport.now)]);
    cluster.router.restore_spent(&mut cluster.transport, None);
    let query = cluster.with_required_node(NON_IDEMPOTENT, 0, 1);
    cluster.run(0.2);
    assert_eq!((cluster.sent(query).len(), cluster.answers(query).len()), (0, 0));
    cluster.list(false, &[row(1, EndpointState::Removed, 0.0)]);
    if another {
        cluster.router.remove_node(1);
        cluster.list(false, &[row(1, EndpointState::Active, 0.0)]);
    }
    cluster.run(0.1);
    assert!(is_rejected(&cluster, query));
    assert!(cluster.sent(query).is_empty());
}

// ---- rules that change

/// A query begins under `then`, and `now` holds when it matters; a third one comes after.
fn changed(deployment: Deployment, change: impl Fn(&mut Rules), tighter_now: bool) -> (Cluster, Rules) {
    let mut other = Rules::of(&deployment);
    change(&mut other);
    let first = Rules::of(&deployment);
    let mut cluster = Cluster::new(deployment);
    let (then, now) = if tighter_now { (first, other) } else { (other, first) };
    cluster.router.set_rules(&then);
    (cluster, now)
}

/// Two of four parts are in when its time is up; one share asks for half, the other for all.
#[rstest]
fn partial_answer_needs_the_greater_share(#[values(true, false)] tighter_now: bool) {
    let (mut cluster, now) = changed(deployment(), |r| r.minimum_share[PARTIAL] = 1.0, tighter_now);
    (2..6).for_each(|n| cluster.transport.nodes[n] = None);
    let begun = cluster.with_required_nodes(PARTIAL, &[(0, 0), (1, 1), (2, 2), (3, 3)]);
    cluster.router.set_rules(&now);
    let after = cluster.with_required_nodes(PARTIAL, &[(0, 0), (1, 1), (2, 2), (3, 3)]);
    cluster.run(4.0);
    assert!(is_rejected(&cluster, begun));
    assert_eq!(cluster.answers(after) == [PARTIAL_ANSWER], !tighter_now);
}

/// Three of five parts are in at once; one share asks for 0.6, the other for all.
#[rstest]
fn complete_answer_needs_the_greater_share(#[values(true, false)] tighter_now: bool) {
    let (mut cluster, now) = changed(deployment(), |r| r.complete_at[QUICK] = 1.0, tighter_now);
    cluster.transport.nodes = vec![None; 6];
    let begun = cluster.query(QUICK, &[0, 1, 2, 3, 4]);
    cluster.router.set_rules(&now);
    (0..3).for_each(|part| cluster.end_attempt(begun, part, AttemptOutcome::Served));
    assert_eq!(cluster.answers(begun), []);
    (3..5).for_each(|part| cluster.end_attempt(begun, part, AttemptOutcome::Served));
    assert_eq!(cluster.answers(begun), [COMPLETE]);
    let after = cluster.query(QUICK, &[0, 1, 2, 3, 4]);
    (0..3).for_each(|part| cluster.end_attempt(after, part, AttemptOutcome::Served));
    assert_eq!(cluster.answers(after) == [COMPLETE], !tighter_now);
}

#[rstest]
fn smaller_attempt_cap_applies(#[values(true, false)] tighter_now: bool) {
    let (mut cluster, now) = changed(deployment(), |r| r.max_attempts = 2, tighter_now);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.01)); 6];
    let begun = cluster.query(FULL, &[0]);
    cluster.router.set_rules(&now);
    cluster.run(1.0);
    assert_eq!(cluster.sent(begun).len(), 2);
}

#[rstest]
fn hedge_needs_both_rules(#[values(true, false)] tighter_now: bool) {
    let (mut cluster, now) = changed(deployment(), |r| r.hedging_enabled = false, tighter_now);
    cluster.traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes = vec![None; 6];
    let begun = cluster.query(FULL, &[0]);
    cluster.router.set_rules(&now);
    cluster.run(3.0);
    assert_eq!(cluster.sent(begun).len(), 1);
}

/// All dispatches fail at once. The query counts for the budget that it began with and for the one that holds.
#[rstest]
#[case::tighter_now(true, Some(RetryBudget { window: 2.0, min_retries: 1.0, ratio: 0.0 }))]
#[case::tighter_then(false, Some(RetryBudget { window: 2.0, min_retries: 1.0, ratio: 0.0 }))]
fn retries_stay_within_both_budgets(#[case] tighter_now: bool, #[case] tight: Option<RetryBudget>) {
    let wide = Some(RetryBudget { window: 2.0, min_retries: 50.0, ratio: 0.0 });
    let deployment = Deployment { retry_budget: wide, ..deployment() };
    let (mut cluster, now) = changed(deployment, |r| r.retry_budget = tight.clone(), tighter_now);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let queries: Vec<_> = (0..6).map(|segment| cluster.query(FULL, &[segment])).collect();
    cluster.router.set_rules(&now);
    cluster.run(1.9);
    assert_eq!(cluster.transport.sent.len() - queries.len(), 1);
}

/// There was no budget until now, or a shorter one: what was sent in the longer window is not known.
#[rstest]
#[case::none(None)]
#[case::shorter(Some(RetryBudget { window: 0.5, min_retries: 50.0, ratio: 0.0 }))]
fn longer_window_starts_as_spent(#[case] before: Option<RetryBudget>) {
    let mut cluster = Cluster::new(Deployment { retry_budget: before, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    cluster.query(FULL, &[0]);
    cluster.run(1.0);
    let budget = Some(RetryBudget { window: 3.0, min_retries: 1.0, ratio: 0.0 });
    cluster.router.set_rules(&Rules { retry_budget: budget, ..Rules::of(&deployment()) });
    let query = cluster.query(FULL, &[3]);
    cluster.run(2.2);
    assert_eq!(cluster.sent(query).len(), 1);
    cluster.run(1.0);
    assert_eq!(cluster.sent(query).len(), 2);
}

/// A node whose slow-start budget allows five parts a second, or none for a long time.
#[rstest]
fn smaller_slow_start_multiple_applies(#[values(true, false)] tighter_now: bool) {
    let (mut cluster, now) = changed(deployment(), |r| r.slow_start_multiple = 0.01, tighter_now);
    cluster.traffic(FULL, 3.0, 0.05);
    let start = cluster.transport.now;
    cluster.list(false, &[row(0, EndpointState::Active, start)]);
    cluster.router.restore_spent(&mut cluster.transport, None);
    let begun = (0..5).map(|_| cluster.with_required_node(FULL, 0, 0)).collect::<Vec<_>>();
    cluster.router.set_rules(&now);
    cluster.run(3.0);
    assert!(begun.iter().all(|query| cluster.sent(*query).is_empty()));
}

#[rstest]
fn shorter_retry_after_applies(#[values(true, false)] tighter_now: bool) {
    let (mut cluster, now) = changed(deployment(), |r| r.max_retry_after = 0.0, tighter_now);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Rejected, 0.01)); 6];
    let begun = cluster.query(FULL, &[0]);
    cluster.router.set_rules(&now);
    cluster.run(4.0);
    assert_eq!(cluster.answers(begun), [FinalAnswer::Rejected { retry_after: 0.0 }]);
}

/// A share that the rules leave out is all there is; nothing panics.
#[test]
fn missing_share_is_the_strictest() {
    let mut cluster = Cluster::new(deployment());
    cluster.router.set_rules(&Rules {
        minimum_share: vec![],
        complete_at: vec![],
        ..Rules::of(&deployment())
    });
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(QUICK, &[0, 1, 2, 3, 4]);
    (0..4).for_each(|part| cluster.end_attempt(query, part, AttemptOutcome::Served));
    assert_eq!(cluster.answers(query), []);
    cluster.end_attempt(query, 4, AttemptOutcome::Served);
    assert_eq!(cluster.answers(query), [COMPLETE]);
}
