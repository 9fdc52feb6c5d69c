//! Real brokers told to end under clients that use their connections until the kill, by seed: the soak, in short.

use std::time::Duration;

use dunepond_testkit::shutdown::{Verdict, ViolatedRequest, Violation, run_seeds};
use dunepond_testkit::stand_ins::broker_program;

/// The seeds that CI plays; more by hand, with `dunepond-testkit run shutdown`.
const SEEDS: std::ops::Range<u64> = 1..13;

#[test]
fn no_request_is_lost_in_a_shutdown() {
    let mut all = Verdict::default();
    let mut bad: Vec<(u64, Vec<ViolatedRequest>)> = Vec::new();
    for (plan, verdict) in run_seeds(&broker_program(), SEEDS) {
        if !verdict.violations.is_empty() {
            bad.push((plan.seed, verdict.violations.clone()));
        }
        all.merge(verdict);
    }
    assert!(bad.is_empty(), "{bad:#?}");
    assert_eq!(all.failed, 0);
    // Something was asked where it could have been lost.
    assert!(all.after_signal > 1_000 && all.late_after_signal > 20, "{all:?}");
    assert!(all.min_time_to_kill > Some(Duration::ZERO), "{all:?}");
    assert_eq!(all.violation_count(Violation::ForwardedUnanswered), 0);
}
