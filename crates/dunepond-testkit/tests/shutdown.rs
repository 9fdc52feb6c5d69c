//! Shutdown of real brokers while clients use their connections until the process is killed, with one run per seed.
//! This is a short form of the shutdown experiment.

use std::time::Duration;

use dunepond_testkit::shutdown::{ShutdownReport, ViolatedRequest, Violation, run_seeds};
use dunepond_testkit::stand_ins::broker_program;

/// Seeds that CI runs; `dunepond-testkit run shutdown` runs others.
const SEEDS: std::ops::Range<u64> = 1..13;

#[test]
fn no_request_is_lost_in_a_shutdown() {
    let mut total = ShutdownReport::default();
    let mut violations_by_seed: Vec<(u64, Vec<ViolatedRequest>)> = Vec::new();
    for (plan, report) in run_seeds(&broker_program(), SEEDS) {
        if !report.violations.is_empty() {
            report.process_records.iter().for_each(|record| println!("seed {}, {record}", plan.seed));
            violations_by_seed.push((plan.seed, report.violations.clone()));
        }
        total.merge(report);
    }
    assert!(violations_by_seed.is_empty(), "{violations_by_seed:#?}");
    assert_eq!(total.failed_broker_count, 0, "brokers that exited with a code other than 0");
    // Enough requests were sent at a time when they could have been lost.
    assert!(total.requests_after_signal > 1_000 && total.late_requests_after_signal > 20, "{total:?}");
    assert!(total.min_time_to_kill > Some(Duration::ZERO), "{total:?}");
    assert_eq!(total.violation_count(Violation::ForwardedUnanswered), 0);
}
