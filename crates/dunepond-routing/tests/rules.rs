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

// ---- Parts with a required node

#[rstest]
#[case::non_idempotent(NON_IDEMPOTENT)]
#[case::idempotent(FULL)]
fn part_goes_only_to_its_required_node(#[case] query_class: usize, #[values(0, 1, 2)] required_node: NodeId) {
    let mut cluster = Cluster::new(deployment());
    let queries: Vec<_> =
        (0..20).map(|_| cluster.query_with_required_node(query_class, 0, required_node)).collect();
    cluster.run(3.0);
    assert!(cluster.transport.sent.iter().all(|s| s.node == required_node));
    assert!(queries.iter().all(|query| cluster.answers(*query) == [COMPLETE]));
}

/// If the required node is silent, failing or full, no hedge or retry is sent to another node, and the query gets one answer.
#[rstest]
#[case::silent(None)]
#[case::failing(Some((AttemptOutcome::Error, 0.01)))]
#[case::full(Some((AttemptOutcome::Rejected, 0.01)))]
fn failed_required_node_has_no_substitute(
    #[case] response: Option<(AttemptOutcome, f64)>,
    #[values(NON_IDEMPOTENT, FULL)] query_class: usize,
) {
    let mut cluster = Cluster::new(deployment());
    cluster.run_traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes[1] = response;
    let query = cluster.query_with_required_node(query_class, 0, 1);
    cluster.run(4.0);
    assert!(cluster.sent(query).iter().all(|s| s.node == 1));
    assert_eq!(cluster.answers(query).len(), 1);
}

#[rstest]
#[case::draining(1, EndpointState::Draining)]
#[case::removed(1, EndpointState::Removed)]
#[case::not_a_replica_of_the_segment(4, EndpointState::Active)]
#[case::unknown(99, EndpointState::Active)]
fn unusable_required_node_rejects_at_once(#[case] required_node: NodeId, #[case] state: EndpointState) {
    let mut cluster = Cluster::new(deployment());
    cluster.update_list(false, &[row(required_node.min(5), state, 0.0)]);
    let query = cluster.query_with_required_node(NON_IDEMPOTENT, 0, required_node);
    assert!(is_rejected(&cluster, query));
    assert!(cluster.sent(query).is_empty());
}

/// The part waits for the slow start budget of its required node. That node is then removed, and its id may be given to
/// another node.
#[rstest]
#[case::removed(false)]
#[case::id_is_given_to_another_node(true)]
fn removed_required_node_rejects_soon(#[case] is_id_reused: bool) {
    let mut cluster = Cluster::new(deployment());
    cluster.update_list(false, &[row(1, EndpointState::Active, cluster.transport.now)]);
    cluster.router.restore_spent(&mut cluster.transport, None);
    let query = cluster.query_with_required_node(NON_IDEMPOTENT, 0, 1);
    cluster.run(0.2);
    assert_eq!((cluster.sent(query).len(), cluster.answers(query).len()), (0, 0));
    cluster.update_list(false, &[row(1, EndpointState::Removed, 0.0)]);
    if is_id_reused {
        cluster.router.remove_node(1);
        cluster.update_list(false, &[row(1, EndpointState::Active, 0.0)]);
    }
    cluster.run(0.1);
    assert!(is_rejected(&cluster, query));
    assert!(cluster.sent(query).is_empty());
}

// ---- Rules that change while queries are in flight

/// Returns a cluster in which the old rules are in force, and the new rules. One of the two is what the deployment states; the
/// other has been made stricter by `change`. The new rules are the stricter ones if `stricter_now` is set.
fn cluster_and_new_rules(
    deployment: Deployment,
    change: impl Fn(&mut Rules),
    stricter_now: bool,
) -> (Cluster, Rules) {
    let mut strict = Rules::of(&deployment);
    change(&mut strict);
    let stated = Rules::of(&deployment);
    let mut cluster = Cluster::new(deployment);
    let (old, new) = if stricter_now { (stated, strict) } else { (strict, stated) };
    cluster.router.set_rules(&old);
    (cluster, new)
}

/// Two of four parts have been served at the deadline. A partial answer needs half of the parts under one set of rules, and all
/// of them under the other.
#[rstest]
fn partial_answer_needs_the_greater_share(#[values(true, false)] stricter_now: bool) {
    let (mut cluster, new_rules) =
        cluster_and_new_rules(deployment(), |r| r.minimum_share[PARTIAL] = 1.0, stricter_now);
    (2..6).for_each(|n| cluster.transport.nodes[n] = None);
    let earlier = cluster.query_with_required_nodes(PARTIAL, &[(0, 0), (1, 1), (2, 2), (3, 3)]);
    cluster.router.set_rules(&new_rules);
    let later = cluster.query_with_required_nodes(PARTIAL, &[(0, 0), (1, 1), (2, 2), (3, 3)]);
    cluster.run(4.0);
    assert!(is_rejected(&cluster, earlier));
    assert_eq!(cluster.answers(later) == [PARTIAL_ANSWER], !stricter_now);
}

/// Three of five parts have been served; a complete answer needs 0.6 of them under one set of rules, and all under the other.
#[rstest]
fn complete_answer_needs_the_greater_share(#[values(true, false)] stricter_now: bool) {
    let (mut cluster, new_rules) =
        cluster_and_new_rules(deployment(), |r| r.complete_at[QUICK] = 1.0, stricter_now);
    cluster.transport.nodes = vec![None; 6];
    let earlier = cluster.query(QUICK, &[0, 1, 2, 3, 4]);
    cluster.router.set_rules(&new_rules);
    (0..3).for_each(|part| cluster.end_attempt(earlier, part, AttemptOutcome::Served));
    assert_eq!(cluster.answers(earlier), []);
    (3..5).for_each(|part| cluster.end_attempt(earlier, part, AttemptOutcome::Served));
    assert_eq!(cluster.answers(earlier), [COMPLETE]);
    let later = cluster.query(QUICK, &[0, 1, 2, 3, 4]);
    (0..3).for_each(|part| cluster.end_attempt(later, part, AttemptOutcome::Served));
    assert_eq!(cluster.answers(later) == [COMPLETE], !stricter_now);
}

#[rstest]
fn smaller_attempt_cap_applies(#[values(true, false)] stricter_now: bool) {
    let (mut cluster, new_rules) = cluster_and_new_rules(deployment(), |r| r.max_attempts = 2, stricter_now);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.01)); 6];
    let earlier = cluster.query(FULL, &[0]);
    cluster.router.set_rules(&new_rules);
    cluster.run(1.0);
    assert_eq!(cluster.sent(earlier).len(), 2);
}

#[rstest]
fn hedge_needs_both_rules(#[values(true, false)] stricter_now: bool) {
    let (mut cluster, new_rules) =
        cluster_and_new_rules(deployment(), |r| r.hedging_enabled = false, stricter_now);
    cluster.run_traffic(FULL, 3.0, 0.05);
    cluster.transport.nodes = vec![None; 6];
    let earlier = cluster.query(FULL, &[0]);
    cluster.router.set_rules(&new_rules);
    cluster.run(3.0);
    assert_eq!(cluster.sent(earlier).len(), 1);
}

/// All attempts fail. Retries must be allowed both by the retry budget at the query's arrival and by the one in force.
#[rstest]
#[case::stricter_now(true, Some(RetryBudget { window: 2.0, min_retries: 1.0, ratio: 0.0 }))]
#[case::stricter_on_arrival(false, Some(RetryBudget { window: 2.0, min_retries: 1.0, ratio: 0.0 }))]
fn retries_stay_within_both_budgets(#[case] stricter_now: bool, #[case] strict_budget: Option<RetryBudget>) {
    let stated_budget = Some(RetryBudget { window: 2.0, min_retries: 50.0, ratio: 0.0 });
    let deployment = Deployment { retry_budget: stated_budget, ..deployment() };
    let (mut cluster, new_rules) =
        cluster_and_new_rules(deployment, |r| r.retry_budget = strict_budget.clone(), stricter_now);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let queries: Vec<_> = (0..6).map(|segment| cluster.query(FULL, &[segment])).collect();
    cluster.router.set_rules(&new_rules);
    cluster.run(1.9);
    assert_eq!(cluster.transport.sent.len() - queries.len(), 1);
}

/// The new retry budget has a longer window than the one before, or there was none before. The retries sent earlier in the
/// longer window are not known, so the new budget counts as spent until the window has passed.
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

/// The slow start budget of a node allows five parts a second under one set of rules, and none for a long time under the
/// other.
#[rstest]
fn smaller_slow_start_multiple_applies(#[values(true, false)] stricter_now: bool) {
    let (mut cluster, new_rules) =
        cluster_and_new_rules(deployment(), |r| r.slow_start_multiple = 0.01, stricter_now);
    cluster.run_traffic(FULL, 3.0, 0.05);
    let start = cluster.transport.now;
    cluster.update_list(false, &[row(0, EndpointState::Active, start)]);
    cluster.router.restore_spent(&mut cluster.transport, None);
    let earlier = (0..5).map(|_| cluster.query_with_required_node(FULL, 0, 0)).collect::<Vec<_>>();
    cluster.router.set_rules(&new_rules);
    cluster.run(3.0);
    assert!(earlier.iter().all(|query| cluster.sent(*query).is_empty()));
}

#[rstest]
fn shorter_retry_after_applies(#[values(true, false)] stricter_now: bool) {
    let (mut cluster, new_rules) =
        cluster_and_new_rules(deployment(), |r| r.max_retry_after = 0.0, stricter_now);
    cluster.transport.nodes = vec![Some((AttemptOutcome::Rejected, 0.01)); 6];
    let earlier = cluster.query(FULL, &[0]);
    cluster.router.set_rules(&new_rules);
    cluster.run(4.0);
    assert_eq!(cluster.answers(earlier), [FinalAnswer::Rejected { retry_after: 0.0 }]);
}

/// A share that the rules do not state counts as 1. Guards against a panic on a missing entry.
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
