//! This broker's shares of the limits that apply to all brokers together: slow start, retries and tenant quotas.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

/// Returns the largest number of attempts sent to a node in any period of `window` seconds.
fn max_sent_in_window(cluster: &Cluster, node: NodeId, window: f64) -> usize {
    let times: Vec<f64> = cluster.transport.sent.iter().filter(|s| s.node == node).map(|s| s.at).collect();
    times.iter().map(|t| times.iter().filter(|u| **u >= *t && **u < t + window).count()).max().unwrap_or(0)
}

/// A warm node completes ten parts a second, of which this broker is given `rate`. A node that started three seconds ago may be
/// sent 2.5 times its capacity, which is 0.36 to 0.43 of that of a warm node.
#[rstest]
#[case::all(10.0, 10)]
#[case::half(5.0, 5)]
#[case::none(0.0, 0)]
fn slow_start_respects_the_share(#[case] rate: f64, #[case] max_sent: usize) {
    let mut cluster = Cluster::new(Deployment { replicas: 1, ..deployment() });
    let now = cluster.transport.now;
    cluster.update_list(false, &[row(0, EndpointState::Active, now - 3.0)]);
    cluster.router.set_quota_shares(QuotaShares { slow_start: Some(rate), ..QuotaShares::default() });
    for _ in 0..100 {
        cluster.query(FULL, &[0]);
        cluster.run(0.01);
    }
    let sent = max_sent_in_window(&cluster, 0, 1.0);
    assert!(sent <= max_sent && sent * 4 >= max_sent * 3, "{sent} of {max_sent}");
}

/// The deployment allows each of three brokers four retries regardless of the load, twelve in all. This broker's share is a
/// fraction of these twelve.
#[rstest]
#[case::as_stated_by_the_deployment(None, 4)]
#[case::even(Some(1.0 / 3.0), 4)]
#[case::most(Some(0.75), 9)]
#[case::none(Some(0.0), 0)]
fn retries_respect_the_share(#[case] share: Option<f64>, #[case] expected: usize) {
    let budget = Some(RetryBudget { window: 60.0, min_retries: 4.0, ratio: 0.0 });
    let mut cluster = Cluster::new(Deployment { retry_budget: budget, max_attempts: 20, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    cluster.router.set_quota_shares(QuotaShares { retries: share, ..QuotaShares::default() });
    let queries: Vec<_> = (0..12).map(|segment| cluster.query(FULL, &[segment % 6])).collect();
    cluster.run(3.0);
    let retries: usize = queries.iter().map(|query| cluster.sent(*query).len().saturating_sub(1)).sum();
    assert_eq!(retries, expected);
    let demand = cluster.router.quota_demand(60.0);
    assert_eq!(demand.retries, expected as f64);
    assert!(demand.retries_denied > 0.0 && cluster.router.quota_demand(60.0).retries_denied == 0.0);
}

/// Retries that were sent under a larger share count against a smaller share in the same window of the retry budget.
#[test]
fn smaller_share_counts_earlier_spending() {
    let budget = Some(RetryBudget { window: 60.0, min_retries: 4.0, ratio: 0.0 });
    let mut cluster = Cluster::new(Deployment { retry_budget: budget, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    cluster.router.set_quota_shares(QuotaShares { retries: Some(0.5), ..QuotaShares::default() });
    let before: Vec<_> = (0..6).map(|segment| cluster.query(FULL, &[segment])).collect();
    cluster.run(2.0);
    let retries = |cluster: &Cluster, queries: &[QueryId]| -> usize {
        queries.iter().map(|query| cluster.sent(*query).len().saturating_sub(1)).sum()
    };
    assert_eq!(retries(&cluster, &before), 6);
    cluster.router.set_quota_shares(QuotaShares { retries: Some(0.25), ..QuotaShares::default() });
    let after: Vec<_> = (0..6).map(|segment| cluster.query(FULL, &[segment])).collect();
    cluster.run(2.0);
    assert_eq!(retries(&cluster, &after), 0);
}

/// Under overload, traffic beyond this broker's share of the tenant's quota is shed first. If the broker has the whole quota,
/// it serves more.
#[test]
fn tenant_quota_respects_the_share() {
    let served = |share: Option<f64>| {
        let mut cluster = Cluster::new(Deployment { quotas: vec![3.0], ..deployment() });
        cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 1.75)); 6];
        cluster.router.set_quota_shares(QuotaShares { quotas: vec![share], ..QuotaShares::default() });
        cluster.run_traffic(FULL, 12.0, 0.04);
        cluster.run(6.0);
        cluster.transport.answers.iter().filter(|f| f.2 == FinalAnswer::Answer { complete: true }).count()
    };
    let (all, none) = (served(Some(1.0)), served(Some(0.0)));
    assert!(none + 20 < all, "{none}, {all}");
    assert_eq!(served(None), served(Some(1.0 / 3.0)));
}
