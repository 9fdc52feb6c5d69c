//! This broker's shares of the bounds that all brokers hold together: slow start, retries and tenant quotas.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

fn most_in_any(cluster: &Cluster, node: NodeId, span: f64) -> usize {
    let times: Vec<f64> = cluster.transport.sent.iter().filter(|s| s.node == node).map(|s| s.at).collect();
    times.iter().map(|t| times.iter().filter(|u| **u >= *t && **u < t + span).count()).max().unwrap_or(0)
}

/// Of ten parts a second that a warm node takes, 2.5 x 0.36 to 0.43 of it for a node that began three seconds ago.
#[rstest]
#[case::all(10.0, 10)]
#[case::half(5.0, 5)]
#[case::none(0.0, 0)]
fn slow_start_respects_the_share(#[case] rate: f64, #[case] most: usize) {
    let mut cluster = Cluster::new(Deployment { replicas: 1, ..deployment() });
    let now = cluster.transport.now;
    cluster.list(false, &[row(0, EndpointState::Active, now - 3.0)]);
    cluster.router.set_quota_shares(QuotaShares { slow_start: Some(rate), ..QuotaShares::default() });
    for _ in 0..100 {
        cluster.query(FULL, &[0]);
        cluster.run(0.01);
    }
    let sent = most_in_any(&cluster, 0, 1.0);
    assert!(sent <= most && sent * 4 >= most * 3, "{sent} of {most}");
}

/// Three brokers with four free ones each, which makes twelve: our part is a share of those.
#[rstest]
#[case::as_the_deployment_states(None, 4)]
#[case::even(Some(1.0 / 3.0), 4)]
#[case::most(Some(0.75), 9)]
#[case::none(Some(0.0), 0)]
fn retries_respect_the_share(#[case] part: Option<f64>, #[case] most: usize) {
    let budget = Some(RetryBudget { window: 60.0, min_retries: 4.0, ratio: 0.0 });
    let mut cluster = Cluster::new(Deployment { retry_budget: budget, max_attempts: 20, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    cluster.router.set_quota_shares(QuotaShares { retries: part, ..QuotaShares::default() });
    let queries: Vec<_> = (0..12).map(|segment| cluster.query(FULL, &[segment % 6])).collect();
    cluster.run(3.0);
    let further: usize = queries.iter().map(|query| cluster.sent(*query).len().saturating_sub(1)).sum();
    assert_eq!(further, most);
    let demand = cluster.router.quota_demand(60.0);
    assert_eq!(demand.retries, most as f64);
    assert!(demand.retries_denied > 0.0 && cluster.router.quota_demand(60.0).retries_denied == 0.0);
}

/// What was spent under a larger part fills the window under a smaller one.
#[test]
fn smaller_share_counts_earlier_spending() {
    let budget = Some(RetryBudget { window: 60.0, min_retries: 4.0, ratio: 0.0 });
    let mut cluster = Cluster::new(Deployment { retry_budget: budget, ..deployment() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    cluster.router.set_quota_shares(QuotaShares { retries: Some(0.5), ..QuotaShares::default() });
    let before: Vec<_> = (0..6).map(|segment| cluster.query(FULL, &[segment])).collect();
    cluster.run(2.0);
    let further = |cluster: &Cluster, queries: &[QueryId]| -> usize {
        queries.iter().map(|query| cluster.sent(*query).len().saturating_sub(1)).sum()
    };
    assert_eq!(further(&cluster, &before), 6);
    cluster.router.set_quota_shares(QuotaShares { retries: Some(0.25), ..QuotaShares::default() });
    let after: Vec<_> = (0..6).map(|segment| cluster.query(FULL, &[segment])).collect();
    cluster.run(2.0);
    assert_eq!(further(&cluster, &after), 0);
}

/// Pressed, what is beyond a tenant's share goes first: with all of its quota here more of it stays.
#[test]
fn tenant_quota_respects_the_share() {
    let served = |part: Option<f64>| {
        let mut cluster = Cluster::new(Deployment { quotas: vec![3.0], ..deployment() });
        cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 1.75)); 6];
        cluster.router.set_quota_shares(QuotaShares { quotas: vec![part], ..QuotaShares::default() });
        cluster.traffic(FULL, 12.0, 0.04);
        cluster.run(6.0);
        cluster.transport.answers.iter().filter(|f| f.2 == FinalAnswer::Answer { complete: true }).count()
    };
    let (all, none) = (served(Some(1.0)), served(Some(0.0)));
    assert!(none + 20 < all, "{none}, {all}");
    assert_eq!(served(None), served(Some(1.0 / 3.0)));
}
