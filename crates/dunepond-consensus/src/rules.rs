//! Whether the rules of a version are any; each broker judges for itself.

use crate::{ConfigVersion, Rejection, RoutingRules};

const SHARE: &str = "a share from 0 to 1";
const TIME: &str = "seconds from 0, finite";
const COUNT: &str = "a number from 0, finite";
const MULTIPLE: &str = "a multiple from 1, finite";
const CAP: &str = "1 to 64";

pub fn check(version: &ConfigVersion) -> Result<(), Rejection> {
    let RoutingRules {
        minimum_shares: least,
        complete_at: whole_at,
        retry_budget_ratio: budget_share,
        retry_budget_min: budget_free,
        ..
    } = &version.rules;
    let RoutingRules {
        drain_grace_seconds: drain_grace,
        slow_start_multiple: cold_multiple,
        max_attempts: dispatch_cap,
        max_retry_after_seconds: longest_wait,
        ..
    } = &version.rules;
    let share = |v: f64| (0.0..=1.0).contains(&v);
    let from = |least: f64| move |v: f64| v >= least && v.is_finite();
    let bad = |key, value, expected| Err(Rejection::InvalidRule { key, value, expected });
    if let Some(&v) = least.iter().find(|v| !share(**v)) {
        return bad("least", v, SHARE);
    }
    if let Some(&v) = whole_at.iter().find(|v| !share(**v)) {
        return bad("whole_at", v, SHARE);
    }
    if !share(*budget_share) {
        return bad("budget_share", *budget_share, SHARE);
    }
    if !from(0.0)(*budget_free) {
        return bad("budget_free", *budget_free, COUNT);
    }
    if !from(0.0)(*drain_grace) {
        return bad("drain_grace", *drain_grace, TIME);
    }
    if !from(1.0)(*cold_multiple) {
        return bad("cold_multiple", *cold_multiple, MULTIPLE);
    }
    if !(1..=64).contains(dispatch_cap) {
        return bad("dispatch_cap", *dispatch_cap as f64, CAP);
    }
    if !from(0.0)(*longest_wait) {
        return bad("longest_wait", *longest_wait, TIME);
    }
    match version.first_stage_ratio {
        Some(stage) if !(stage > 0.0 && stage < 1.0) => Err(Rejection::InvalidStage(stage)),
        _ => Ok(()),
    }
}
