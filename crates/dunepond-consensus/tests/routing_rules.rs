//! Property tests of the strictest combination of two sets of routing rules.

use dunepond_consensus::*;
use proptest::prelude::*;

fn any_rules() -> impl Strategy<Value = RoutingRules> {
    let ratio = || 0.0..=1.0f64;
    let lists = (prop::collection::vec(ratio(), 0..3), prop::collection::vec(ratio(), 0..3));
    (
        lists,
        ratio(),
        0.0..9.0f64,
        0.0..9.0f64,
        1.0..9.0f64,
        1usize..9,
        any::<bool>(),
        any::<bool>(),
        0.0..9.0f64,
    )
        .prop_map(
            |(
                (minimum_shares, complete_at),
                retry_budget_ratio,
                retry_budget_min,
                drain_grace_seconds,
                slow_start_multiple,
                max_attempts,
                hedging_enabled,
                keyed_retries_enabled,
                max_retry_after_seconds,
            )| RoutingRules {
                minimum_shares,
                complete_at,
                retry_budget_ratio,
                retry_budget_min,
                drain_grace_seconds,
                slow_start_multiple,
                max_attempts,
                hedging_enabled,
                keyed_retries_enabled,
                max_retry_after_seconds,
            },
        )
}

/// Whether the rules `b` allow everything that the rules `a` allow.
fn is_within(a: &RoutingRules, b: &RoutingRules) -> bool {
    let all_at_least =
        |a: &[f64], b: &[f64]| b.iter().enumerate().all(|(i, b)| a.get(i).is_some_and(|a| a >= b));
    all_at_least(&a.minimum_shares, &b.minimum_shares)
        && all_at_least(&a.complete_at, &b.complete_at)
        && a.retry_budget_ratio <= b.retry_budget_ratio
        && a.retry_budget_min <= b.retry_budget_min
        && a.drain_grace_seconds <= b.drain_grace_seconds
        && a.slow_start_multiple <= b.slow_start_multiple
        && a.max_attempts <= b.max_attempts
        && a.hedging_enabled <= b.hedging_enabled
        && a.keyed_retries_enabled <= b.keyed_retries_enabled
        && a.max_retry_after_seconds <= b.max_retry_after_seconds
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn strictest_rules_are_within_both_sets(a in any_rules(), b in any_rules()) {
        let both = strictest_rules(&a, &b);
        prop_assert!(is_within(&both, &a) && is_within(&both, &b));
        prop_assert_eq!(&both, &strictest_rules(&b, &a));
        prop_assert_eq!(&strictest_rules(&a, &a), &a);
        prop_assert_eq!(&strictest_rules(&both, &a), &both);
    }
}
