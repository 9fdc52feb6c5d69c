//! The stricter of two sets of rules, key by key, by one table.

use crate::RoutingRules;

/// Which of two values holds while both versions may be acted on.
enum Stricter {
    Greater,
    Smaller,
    OnlyIfBoth,
}
use Stricter::{Greater, OnlyIfBoth, Smaller};

/// One line a key; [`of`] reads it. A new key of [`RoutingRules`] does not build until it stands here.
const LEAST: Stricter = Greater;
const WHOLE_AT: Stricter = Greater;
const BUDGET_SHARE: Stricter = Smaller;
const BUDGET_FREE: Stricter = Smaller;
const DRAIN_GRACE: Stricter = Smaller;
const COLD_MULTIPLE: Stricter = Smaller;
const DISPATCH_CAP: Stricter = Smaller;
const SECOND_COPIES: Stricter = OnlyIfBoth;
const REPEATS: Stricter = OnlyIfBoth;
const LONGEST_WAIT: Stricter = Smaller;

fn of<T: PartialOrd + Copy>(by: &Stricter, a: T, b: T) -> T {
    // `false` is below `true`: only if both is the smaller.
    let first = match by {
        Greater => a >= b,
        Smaller | OnlyIfBoth => a <= b,
    };
    if first { a } else { b }
}

/// Key by key; symmetric, and each with itself is itself. Lists of unequal length: the longer, as what one version
/// does not limit the other does.
pub fn strictest_rules(a: &RoutingRules, b: &RoutingRules) -> RoutingRules {
    let lists = |by: Stricter, a: &[f64], b: &[f64]| {
        let at = |i: usize| match (a.get(i), b.get(i)) {
            (Some(a), Some(b)) => of(&by, *a, *b),
            (a, b) => *a.or(b).expect("one of them is as long"),
        };
        (0..a.len().max(b.len())).map(at).collect()
    };
    // By name and without `..`, so that no key is forgotten.
    let RoutingRules {
        minimum_shares: least,
        complete_at: whole_at,
        retry_budget_ratio: budget_share,
        retry_budget_min: budget_free,
        drain_grace_seconds: drain_grace,
        slow_start_multiple: cold_multiple,
        max_attempts: dispatch_cap,
        hedging_enabled: second_copies,
        keyed_retries_enabled: repeats,
        max_retry_after_seconds: longest_wait,
    } = a;
    RoutingRules {
        minimum_shares: lists(LEAST, least, &b.minimum_shares),
        complete_at: lists(WHOLE_AT, whole_at, &b.complete_at),
        retry_budget_ratio: of(&BUDGET_SHARE, *budget_share, b.retry_budget_ratio),
        retry_budget_min: of(&BUDGET_FREE, *budget_free, b.retry_budget_min),
        drain_grace_seconds: of(&DRAIN_GRACE, *drain_grace, b.drain_grace_seconds),
        slow_start_multiple: of(&COLD_MULTIPLE, *cold_multiple, b.slow_start_multiple),
        max_attempts: of(&DISPATCH_CAP, *dispatch_cap, b.max_attempts),
        hedging_enabled: of(&SECOND_COPIES, *second_copies, b.hedging_enabled),
        keyed_retries_enabled: of(&REPEATS, *repeats, b.keyed_retries_enabled),
        max_retry_after_seconds: of(&LONGEST_WAIT, *longest_wait, b.max_retry_after_seconds),
    }
}
