//! Rules that change while scans are held, and parts that one node alone may have.

mod fake;

use dunepond_routing::*;
use fake::*;
use rstest::rstest;

const WHOLE: Final = Final::Answer { whole: true };
const PART: Final = Final::Answer { whole: false };

fn throttled(town: &Town, scan: QueryId) -> bool {
    matches!(town.finals(scan)[..], [Final::Throttle { .. }])
}

// ---- parts that one node alone may have

#[rstest]
#[case::non_replayable(FIX)]
#[case::replayable(FULL)]
fn a_part_with_an_owner_goes_to_no_other(#[case] kind: usize, #[values(0, 1, 2)] owner: NodeId) {
    let mut town = Town::new(site());
    let scans: Vec<_> = (0..20).map(|_| town.owned(kind, 0, owner)).collect();
    town.run(3.0);
    assert!(town.host.sent.iter().all(|s| s.node == owner));
    assert!(scans.iter().all(|scan| town.finals(*scan) == [WHOLE]));
}

/// Silent, failing or full: neither a copy nor a retry goes elsewhere, and there is one final answer.
#[rstest]
#[case::silent(None)]
#[case::failing(Some((AttemptOutcome::Error, 0.01)))]
#[case::full(Some((AttemptOutcome::Rejected, 0.01)))]
fn what_its_owner_does_not_serve_goes_nowhere_else(
    #[case] owner: Option<(AttemptOutcome, f64)>,
    #[values(FIX, FULL)] kind: usize,
) {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes[1] = owner;
    let scan = town.owned(kind, 0, 1);
    town.run(4.0);
    assert!(town.sent(scan).iter().all(|s| s.node == 1));
    assert_eq!(town.finals(scan).len(), 1);
}

#[rstest]
#[case::draining(1, EndpointState::Draining)]
#[case::gone(1, EndpointState::Removed)]
#[case::no_holder_of_that_segment(4, EndpointState::Active)]
#[case::unknown(99, EndpointState::Active)]
fn a_part_whose_owner_cannot_have_it_is_throttled_at_once(#[case] owner: NodeId, #[case] is: EndpointState) {
    let mut town = Town::new(site());
    town.list(false, &[row(owner.min(5), is, 0.0)]);
    let scan = town.owned(FIX, 0, owner);
    assert!(throttled(&town, scan));
    assert!(town.sent(scan).is_empty());
}

/// It waits for a cold node's room when that begins to drain, or its index is another node's.
#[rstest]
#[case::drains(false)]
#[case::its_index_is_given_to_another(true)]
fn a_part_whose_owner_leaves_while_it_waits_is_throttled_soon(#[case] another: bool) {
    let mut town = Town::new(site());
    town.list(false, &[row(1, EndpointState::Active, town.host.now)]);
    town.broker.restore_spent(&mut town.host, None);
    let scan = town.owned(FIX, 0, 1);
    town.run(0.2);
    assert_eq!((town.sent(scan).len(), town.finals(scan).len()), (0, 0));
    town.list(false, &[row(1, EndpointState::Removed, 0.0)]);
    if another {
        town.broker.remove_node(1);
        town.list(false, &[row(1, EndpointState::Active, 0.0)]);
    }
    town.run(0.1);
    assert!(throttled(&town, scan));
    assert!(town.sent(scan).is_empty());
}

// ---- rules that change

/// A scan begins under `then`, and `now` holds when it matters; a third one comes after.
fn changed(site: Deployment, change: impl Fn(&mut Rules), tighter_now: bool) -> (Town, Rules) {
    let mut other = Rules::of(&site);
    change(&mut other);
    let first = Rules::of(&site);
    let mut town = Town::new(site);
    let (then, now) = if tighter_now { (first, other) } else { (other, first) };
    town.broker.set_rules(&then);
    (town, now)
}

/// Two of four parts are in when its time is up; one share asks for half, the other for all.
#[rstest]
fn a_partial_answer_needs_the_greater_of_then_and_now(#[values(true, false)] tighter_now: bool) {
    let (mut town, now) = changed(site(), |r| r.minimum_share[PARTIAL] = 1.0, tighter_now);
    (2..6).for_each(|n| town.host.nodes[n] = None);
    let begun = town.owned_all(PARTIAL, &[(0, 0), (1, 1), (2, 2), (3, 3)]);
    town.broker.set_rules(&now);
    let after = town.owned_all(PARTIAL, &[(0, 0), (1, 1), (2, 2), (3, 3)]);
    town.run(4.0);
    assert!(throttled(&town, begun));
    assert_eq!(town.finals(after) == [PART], !tighter_now);
}

/// Three of five parts are in at once; one share asks for 0.6, the other for all.
#[rstest]
fn a_whole_answer_needs_the_greater_of_then_and_now(#[values(true, false)] tighter_now: bool) {
    let (mut town, now) = changed(site(), |r| r.complete_at[QUICK] = 1.0, tighter_now);
    town.host.nodes = vec![None; 6];
    let begun = town.scan(QUICK, &[0, 1, 2, 3, 4]);
    town.broker.set_rules(&now);
    (0..3).for_each(|part| town.end(begun, part, AttemptOutcome::Served));
    assert_eq!(town.finals(begun), []);
    (3..5).for_each(|part| town.end(begun, part, AttemptOutcome::Served));
    assert_eq!(town.finals(begun), [WHOLE]);
    let after = town.scan(QUICK, &[0, 1, 2, 3, 4]);
    (0..3).for_each(|part| town.end(after, part, AttemptOutcome::Served));
    assert_eq!(town.finals(after) == [WHOLE], !tighter_now);
}

#[rstest]
fn a_part_goes_no_further_than_the_smaller_cap(#[values(true, false)] tighter_now: bool) {
    let (mut town, now) = changed(site(), |r| r.max_attempts = 2, tighter_now);
    town.host.nodes = vec![Some((AttemptOutcome::Error, 0.01)); 6];
    let begun = town.scan(FULL, &[0]);
    town.broker.set_rules(&now);
    town.run(1.0);
    assert_eq!(town.sent(begun).len(), 2);
}

#[rstest]
fn a_copy_is_made_only_where_then_and_now_allow_one(#[values(true, false)] tighter_now: bool) {
    let (mut town, now) = changed(site(), |r| r.hedging_enabled = false, tighter_now);
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes = vec![None; 6];
    let begun = town.scan(FULL, &[0]);
    town.broker.set_rules(&now);
    town.run(3.0);
    assert_eq!(town.sent(begun).len(), 1);
}

/// All dispatches fail at once. The scan counts for the budget that it began with and for the one that holds.
#[rstest]
#[case::tighter_now(true, Some(RetryBudget { window: 2.0, min_retries: 1.0, ratio: 0.0 }))]
#[case::tighter_then(false, Some(RetryBudget { window: 2.0, min_retries: 1.0, ratio: 0.0 }))]
fn further_dispatches_stay_in_both_budgets(#[case] tighter_now: bool, #[case] tight: Option<RetryBudget>) {
    let wide = Some(RetryBudget { window: 2.0, min_retries: 50.0, ratio: 0.0 });
    let site = Deployment { retry_budget: wide, ..site() };
    let (mut town, now) = changed(site, |r| r.retry_budget = tight.clone(), tighter_now);
    town.host.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let scans: Vec<_> = (0..6).map(|seg| town.scan(FULL, &[seg])).collect();
    town.broker.set_rules(&now);
    town.run(1.9);
    assert_eq!(town.host.sent.len() - scans.len(), 1);
}

/// No budget was kept until now, or a shorter one: what was sent in the longer window is not known.
#[rstest]
#[case::none(None)]
#[case::shorter(Some(RetryBudget { window: 0.5, min_retries: 50.0, ratio: 0.0 }))]
fn a_longer_window_takes_all_that_came_before_for_spent(#[case] before: Option<RetryBudget>) {
    let mut town = Town::new(Deployment { retry_budget: before, ..site() });
    town.host.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    town.scan(FULL, &[0]);
    town.run(1.0);
    let budget = Some(RetryBudget { window: 3.0, min_retries: 1.0, ratio: 0.0 });
    town.broker.set_rules(&Rules { retry_budget: budget, ..Rules::of(&site()) });
    let scan = town.scan(FULL, &[3]);
    town.run(2.2);
    assert_eq!(town.sent(scan).len(), 1);
    town.run(1.0);
    assert_eq!(town.sent(scan).len(), 2);
}

/// One node with room for five parts a second, or for none for a long time.
#[rstest]
fn a_cold_node_gets_what_the_smaller_multiple_allows(#[values(true, false)] tighter_now: bool) {
    let (mut town, now) = changed(site(), |r| r.slow_start_multiple = 0.01, tighter_now);
    town.traffic(FULL, 3.0, 0.05);
    let start = town.host.now;
    town.list(false, &[row(0, EndpointState::Active, start)]);
    town.broker.restore_spent(&mut town.host, None);
    let begun = (0..5).map(|_| town.owned(FULL, 0, 0)).collect::<Vec<_>>();
    town.broker.set_rules(&now);
    town.run(3.0);
    assert!(begun.iter().all(|scan| town.sent(*scan).is_empty()));
}

#[rstest]
fn a_reply_names_no_longer_wait_than_then_and_now(#[values(true, false)] tighter_now: bool) {
    let (mut town, now) = changed(site(), |r| r.max_retry_after = 0.0, tighter_now);
    town.host.nodes = vec![Some((AttemptOutcome::Rejected, 0.01)); 6];
    let begun = town.scan(FULL, &[0]);
    town.broker.set_rules(&now);
    town.run(4.0);
    assert_eq!(town.finals(begun), [Final::Throttle { wait: 0.0 }]);
}

/// A share that the rules leave out is all there is; nothing panics.
#[test]
fn a_share_that_is_missing_is_the_strictest() {
    let mut town = Town::new(site());
    town.broker.set_rules(&Rules { minimum_share: vec![], complete_at: vec![], ..Rules::of(&site()) });
    town.host.nodes = vec![None; 6];
    let scan = town.scan(QUICK, &[0, 1, 2, 3, 4]);
    (0..4).for_each(|part| town.end(scan, part, AttemptOutcome::Served));
    assert_eq!(town.finals(scan), []);
    town.end(scan, 4, AttemptOutcome::Served);
    assert_eq!(town.finals(scan), [WHOLE]);
}
