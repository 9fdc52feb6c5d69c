//! Combines the routing rules of the deployment with those that the fleet has agreed on.

use dunepond_routing::{RetryBudget, Rules};

use super::DEFAULT_RETRY_WINDOW_SECONDS;

/// Returns, for each rule, the stricter of the deployment's own rule and the one that the brokers of the fleet have
/// agreed on: a fleet must not relax a deployment's limits.
pub(super) fn strictest_rules(own: &Rules, agreed: &dunepond_consensus::RoutingRules) -> Rules {
    let own_budget = own.retry_budget.as_ref();
    let retry_budget = own_budget.map_or(
        RetryBudget {
            window: DEFAULT_RETRY_WINDOW_SECONDS,
            min_retries: agreed.retry_budget_min,
            ratio: agreed.retry_budget_ratio,
        },
        |own| RetryBudget {
            window: own.window,
            min_retries: own.min_retries.min(agreed.retry_budget_min),
            ratio: own.ratio.min(agreed.retry_budget_ratio),
        },
    );
    Rules {
        minimum_share: greater_shares(&own.minimum_share, &agreed.minimum_shares),
        complete_at: greater_shares(&own.complete_at, &agreed.complete_at),
        retry_budget: Some(retry_budget),
        max_attempts: own.max_attempts.min(agreed.max_attempts),
        hedging_enabled: own.hedging_enabled && agreed.hedging_enabled,
        slow_start_multiple: own.slow_start_multiple.min(agreed.slow_start_multiple),
        max_retry_after: own.max_retry_after.min(agreed.max_retry_after_seconds),
    }
}

/// Returns, for each query class, the greater of the deployment's share and the one that the fleet has agreed on. A
/// class for which the fleet has agreed on no share keeps the deployment's.
fn greater_shares(own: &[f64], agreed: &[f64]) -> Vec<f64> {
    let greater =
        |(class, share): (usize, &f64)| agreed.get(class).map_or(*share, |agreed| share.max(*agreed));
    own.iter().enumerate().map(greater).collect()
}

#[cfg(test)]
mod tests;
