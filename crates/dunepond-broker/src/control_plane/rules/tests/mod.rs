use super::*;

#[test]
fn agreed_rules_only_tighten_deployment_rules() {
    let own = Rules {
        minimum_share: vec![0.5, 1.0],
        complete_at: vec![0.9, 1.0],
        retry_budget: Some(RetryBudget { window: 4.0, min_retries: 10.0, ratio: 0.1 }),
        max_attempts: 3,
        hedging_enabled: true,
        slow_start_multiple: 2.0,
        max_retry_after: 1.0,
    };
    let mut agreed = dunepond_consensus::RoutingRules {
        minimum_shares: vec![0.7, 0.2],
        complete_at: vec![0.95, 0.5],
        retry_budget_ratio: 0.2,
        retry_budget_min: 5.0,
        drain_grace_seconds: 1.0,
        slow_start_multiple: 1.5,
        max_attempts: 8,
        hedging_enabled: false,
        keyed_retries_enabled: true,
        max_retry_after_seconds: 9.0,
    };
    let strictest = strictest_rules(&own, &agreed);
    assert_eq!((strictest.minimum_share, strictest.complete_at), (vec![0.7, 1.0], vec![0.95, 1.0]));
    let retry_budget = strictest.retry_budget.unwrap();
    assert_eq!((retry_budget.window, retry_budget.min_retries, retry_budget.ratio), (4.0, 5.0, 0.1));
    assert_eq!((strictest.max_attempts, strictest.hedging_enabled), (3, false));
    assert_eq!((strictest.slow_start_multiple, strictest.max_retry_after), (1.5, 1.0));
    // If the deployment has no retry budget, the one that the brokers of the fleet have agreed on applies.
    agreed.retry_budget_min = 7.0;
    let retry_budget = strictest_rules(&Rules { retry_budget: None, ..own }, &agreed).retry_budget.unwrap();
    assert_eq!((retry_budget.min_retries, retry_budget.ratio), (7.0, 0.2));
}
