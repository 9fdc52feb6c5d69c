//! The routing rules of a version: their valid values, and the strictest combination of two sets.

use serde::{Deserialize, Serialize};

use crate::Rejection;

/// Settings and operator limits that decide how queries are routed. Lists have one value for each query class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingRules {
    /// Smallest ratio of a query's value that has to be served, by class; the greater value is the stricter one.
    #[serde(rename = "least")]
    pub minimum_shares: Vec<f64>,
    /// Ratio from which an answer counts as complete, by class; the greater value is the stricter one.
    #[serde(rename = "whole_at")]
    pub complete_at: Vec<f64>,
    /// Retries and hedged requests per admitted request; the smaller value is the stricter one.
    #[serde(rename = "budget_share")]
    pub retry_budget_ratio: f64,
    /// Retries and hedged requests that are free in each window; the smaller value is the stricter one.
    #[serde(rename = "budget_free")]
    pub retry_budget_min: f64,
    /// Seconds after which no new attempt may go to a draining or removed node; the smaller value is the stricter one.
    #[serde(rename = "drain_grace")]
    pub drain_grace_seconds: f64,
    /// Multiple of its completions that a node in slow start may be sent; the smaller value is the stricter one.
    #[serde(rename = "cold_multiple")]
    pub slow_start_multiple: f64,
    /// Largest number of attempts of one part; the smaller value is the stricter one.
    #[serde(rename = "dispatch_cap")]
    pub max_attempts: usize,
    /// Whether hedged requests are allowed; a combination allows them only if both sets do.
    #[serde(rename = "second_copies")]
    pub hedging_enabled: bool,
    /// Whether parts with an idempotency key may be retried inside their window; a combination allows it only if both
    /// sets do.
    #[serde(rename = "repeats")]
    pub keyed_retries_enabled: bool,
    /// Largest Retry-After of a rejection, in seconds; the smaller value is the stricter one.
    #[serde(rename = "longest_wait")]
    pub max_retry_after_seconds: f64,
}

const RATIO: &str = "a share from 0 to 1";
const SECONDS: &str = "seconds from 0, finite";
const COUNT: &str = "a number from 0, finite";
const MULTIPLE: &str = "a multiple from 1, finite";
const ATTEMPTS: &str = "1 to 64";
const MAX_ATTEMPTS: usize = 64;

impl RoutingRules {
    /// Checks that all values are in range. The keys that an error names are those of the operator's file.
    pub(crate) fn check(&self) -> Result<(), Rejection> {
        for &value in &self.minimum_shares {
            check(is_ratio(value), "least", value, RATIO)?;
        }
        for &value in &self.complete_at {
            check(is_ratio(value), "whole_at", value, RATIO)?;
        }
        let value = self.retry_budget_ratio;
        check(is_ratio(value), "budget_share", value, RATIO)?;
        let value = self.retry_budget_min;
        check(is_finite_from(0.0, value), "budget_free", value, COUNT)?;
        let value = self.drain_grace_seconds;
        check(is_finite_from(0.0, value), "drain_grace", value, SECONDS)?;
        let value = self.slow_start_multiple;
        check(is_finite_from(1.0, value), "cold_multiple", value, MULTIPLE)?;
        let attempts = self.max_attempts;
        check((1..=MAX_ATTEMPTS).contains(&attempts), "dispatch_cap", attempts as f64, ATTEMPTS)?;
        let value = self.max_retry_after_seconds;
        check(is_finite_from(0.0, value), "longest_wait", value, SECONDS)?;
        Ok(())
    }
}

fn is_ratio(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_finite_from(least: f64, value: f64) -> bool {
    value >= least && value.is_finite()
}

fn check(valid: bool, key: &'static str, value: f64, expected: &'static str) -> Result<(), Rejection> {
    if valid { Ok(()) } else { Err(Rejection::InvalidRule { key, value, expected }) }
}

/// The strictest combination of two sets, field by field: both sets allow whatever it allows. The operation is
/// symmetric and idempotent. Of two lists of unequal length the tail of the longer one stays, since the other one does
/// not limit those classes.
pub fn strictest_rules(a: &RoutingRules, b: &RoutingRules) -> RoutingRules {
    // Destructured without `..`, so that a new field cannot be forgotten here.
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
        (a, b) => *a.or(b).expect("one of them is as long"),
    };
    (0..a.len().max(b.len())).map(at).collect()
}
