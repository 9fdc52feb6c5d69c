//! Warm restart: a successor takes over the statistics that its predecessor learned and the budgets that it spent.

mod support;

use dunepond_routing::*;
use support::*;

/// The successor restores latencies and ejections; an ejected node gets a probation attempt at once.
#[test]
fn ejected_node_stays_in_probation_after_restart() {
    let mut first = Cluster::new(deployment());
    first.run_traffic(FULL, 10.0, 0.1);
    first.transport.nodes[0] = None;
    first.run_traffic(FULL, 4.0, 0.1);
    assert!(first.is_ejected(0));
    let learned = first.router.learned_state(&first.transport);
    let sent = |is_restored: bool| {
        let mut second = Cluster::new(deployment());
        second.transport.nodes[0] = None;
        if is_restored {
            second.router.restore_learned(&mut second.transport, &learned);
        }
        second.run_traffic(FULL, 1.0, 0.05);
        second.sent_count(0, 0.0)
    };
    // The node is only sent probation attempts, one at a time.
    assert!(sent(true) <= 3 && sent(true) < sent(false), "{} {}", sent(true), sent(false));
}

#[test]
fn recovered_node_returns_after_probation() {
    let mut first = Cluster::new(deployment());
    first.run_traffic(FULL, 10.0, 0.1);
    first.transport.nodes[0] = None;
    first.run_traffic(FULL, 4.0, 0.1);
    let learned = first.router.learned_state(&first.transport);
    let mut second = Cluster::new(deployment());
    second.router.restore_learned(&mut second.transport, &learned);
    assert!(second.router.learned_state(&second.transport).nodes[0].ejected);
    second.run_traffic(FULL, 6.0, 0.1);
    assert!(!second.router.learned_state(&second.transport).nodes[0].ejected);
}

/// After a crash it is not known what the earlier process spent, so each budget counts as spent for the length of its window.
#[test]
fn crash_exhausts_retry_and_slow_start_budgets() {
    let budget = Some(RetryBudget { window: 2.0, min_retries: 9.0, ratio: 0.1 });
    let mut cluster = Cluster::new(Deployment { retry_budget: budget, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    let now = cluster.transport.now;
    cluster.update_list(false, &[row(0, EndpointState::Active, now - 1.0)]);
    cluster.router.restore_spent(&mut cluster.transport, None);
    let early = cluster.query(FULL, &[0]);
    cluster.run(1.5);
    assert_eq!((cluster.sent(early).len(), cluster.sent_count(0, 0.0)), (1, 0));
    cluster.run(1.0);
    let late = cluster.query(FULL, &[1]);
    cluster.run(1.0);
    assert!(cluster.sent(late).len() > 1);
}

#[test]
fn spending_survives_an_orderly_restart() {
    let budget = Some(RetryBudget { window: 20.0, min_retries: 3.0, ratio: 0.0 });
    let deployment = || Deployment { retry_budget: budget.clone(), ..deployment() };
    let mut first = Cluster::new(deployment());
    first.transport.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    let query = first.query(FULL, &[0]);
    first.run(1.0);
    let spent = first.sent(query).len() - 1;
    assert!((1..=3).contains(&spent));
    let spent_budgets = first.router.spent_budgets(&first.transport);
    assert_eq!(spent_budgets.retries.len(), spent);
    let mut second = Cluster::new(deployment());
    second.transport.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    second.router.restore_spent(&mut second.transport, Some(&spent_budgets));
    let queries: Vec<_> = (0..4).map(|segment| second.query(FULL, &[segment])).collect();
    second.run(3.0);
    let retries: usize = queries.iter().map(|query| second.sent(*query).len() - 1).sum();
    assert_eq!(retries, 3 - spent);
}
