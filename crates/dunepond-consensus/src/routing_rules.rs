//! The routing rules of a version: their valid ranges, and the strictest combination of two sets of rules.

use serde::{Deserialize, Serialize};

use crate::Rejection;

/// Settings and operator limits that decide how queries are routed. Rules that are lists have one value per query
/// class. The comment of each rule states which of two values is the stricter one; [`strictest_rules`] selects that
/// value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingRules {
    /// Minimum share of a query's value that has to be served, as a ratio, by query class; a greater ratio is stricter.
    #[serde(rename = "least")]
    pub minimum_shares: Vec<f64>,
    /// Share of a query's value from which an answer counts as complete, as a ratio, by query class; a greater ratio is
    /// stricter.
    #[serde(rename = "whole_at")]
    pub complete_at: Vec<f64>,
    /// Number of retries and hedged attempts per admitted request; a smaller number is stricter.
    #[serde(rename = "budget_share")]
    pub retry_budget_ratio: f64,
    /// Number of retries and hedged attempts that are allowed in each window of the retry budget regardless of the
    /// ratio; a smaller number is stricter.
    #[serde(rename = "budget_free")]
    pub retry_budget_min: f64,
    /// Time in seconds after which no new attempt may go to a draining or removed node; a shorter time is stricter.
    #[serde(rename = "drain_grace")]
    pub drain_grace_seconds: f64,
    /// Rate at which attempts may be sent to a node in slow start, as a multiple of the node's present capacity, which is
    /// estimated from the attempts that warm nodes complete; a smaller multiple is stricter.
    #[serde(rename = "cold_multiple")]
    pub slow_start_multiple: f64,
    /// Largest number of attempts of one part; a smaller number is stricter.
    #[serde(rename = "dispatch_cap")]
    pub max_attempts: usize,
    /// Whether hedged attempts are allowed; the combination of two sets of rules allows them only if both sets do.
    #[serde(rename = "second_copies")]
    pub hedging_enabled: bool,
    /// Whether keyed parts may be retried within their idempotency window; the combination of two sets of rules allows
    /// it only if both sets do.
    #[serde(rename = "repeats")]
    pub keyed_retries_enabled: bool,
    /// Largest Retry-After of a rejection, in seconds; a shorter time is stricter.
    #[serde(rename = "longest_wait")]
    pub max_retry_after_seconds: f64,
}

// Descriptions of the valid values in error messages.
const EXPECTED_RATIO: &str = "a ratio from 0 to 1";
const EXPECTED_SECONDS: &str = "a finite number of seconds, at least 0";
const EXPECTED_COUNT: &str = "a finite number, at least 0";
const EXPECTED_MULTIPLE: &str = "a finite multiple, at least 1";
const EXPECTED_ATTEMPTS: &str = "1 to 64";
/// Largest valid `max_attempts`.
const MAX_ATTEMPTS: usize = 64;

impl RoutingRules {
    /// Checks that all values are in range. An error names the key in the operator's file.
    pub(crate) fn check(&self) -> Result<(), Rejection> {
        for &value in &self.minimum_shares {
            check(is_ratio(value), "least", value, EXPECTED_RATIO)?;
        }
        for &value in &self.complete_at {
            check(is_ratio(value), "whole_at", value, EXPECTED_RATIO)?;
        }
        let value = self.retry_budget_ratio;
        check(is_ratio(value), "budget_share", value, EXPECTED_RATIO)?;
        let value = self.retry_budget_min;
        check(is_finite_from(0.0, value), "budget_free", value, EXPECTED_COUNT)?;
        let value = self.drain_grace_seconds;
        check(is_finite_from(0.0, value), "drain_grace", value, EXPECTED_SECONDS)?;
        let value = self.slow_start_multiple;
        check(is_finite_from(1.0, value), "cold_multiple", value, EXPECTED_MULTIPLE)?;
        let attempts = self.max_attempts;
        check((1..=MAX_ATTEMPTS).contains(&attempts), "dispatch_cap", attempts as f64, EXPECTED_ATTEMPTS)?;
        let value = self.max_retry_after_seconds;
        check(is_finite_from(0.0, value), "longest_wait", value, EXPECTED_SECONDS)?;
        Ok(())
    }
}

fn is_ratio(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_finite_from(min: f64, value: f64) -> bool {
    value >= min && value.is_finite()
}

fn check(valid: bool, key: &'static str, value: f64, expected: &'static str) -> Result<(), Rejection> {
    if valid { Ok(()) } else { Err(Rejection::InvalidRule { key, value, expected }) }
}

/// Combines two sets of rules into the strictest one, field by field, so that both sets allow everything that the result
/// allows. The operation is commutative and idempotent. If two lists differ in length, the tail of the longer one is
/// retained, since the shorter one does not limit those query classes.
pub fn strictest_rules(a: &RoutingRules, b: &RoutingRules) -> RoutingRules {
    // Destructured without `..`, so that a new field does not compile until it is handled here.
    let RoutingRules {
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
    } = a;
    RoutingRules {
        minimum_shares: greater_each(minimum_shares, &b.minimum_shares),
        complete_at: greater_each(complete_at, &b.complete_at),
        retry_budget_ratio: smaller(*retry_budget_ratio, b.retry_budget_ratio),
        retry_budget_min: smaller(*retry_budget_min, b.retry_budget_min),
        drain_grace_seconds: smaller(*drain_grace_seconds, b.drain_grace_seconds),
        slow_start_multiple: smaller(*slow_start_multiple, b.slow_start_multiple),
        max_attempts: smaller(*max_attempts, b.max_attempts),
        hedging_enabled: *hedging_enabled && b.hedging_enabled,
        keyed_retries_enabled: *keyed_retries_enabled && b.keyed_retries_enabled,
        max_retry_after_seconds: smaller(*max_retry_after_seconds, b.max_retry_after_seconds),
    }
}

fn smaller<T: PartialOrd>(a: T, b: T) -> T {
    if a <= b { a } else { b }
}

fn greater_each(a: &[f64], b: &[f64]) -> Vec<f64> {
    let at = |i: usize| match (a.get(i), b.get(i)) {
        (Some(&a), Some(&b)) => {
            if a >= b {
                a
            } else {
                b
            }
        }
        (a, b) => *a.or(b).expect("the index is within the longer list"),
    };
    (0..a.len().max(b.len())).map(at).collect()
}
