//! Real brokers told to end under clients that use their connections until the kill, by seed: the soak, in short.

use std::time::Duration;

use dunepond_testkit::shutdown::{Breach, Fault, Verdict, play_all};
use dunepond_testkit::stand_ins::broker_program;

/// The seeds that CI plays; more by hand, with `dunepond-testkit run shutdown`.
const SEEDS: std::ops::Range<u64> = 1..13;

#[test]
fn no_request_is_lost_in_a_shutdown() {
    let mut all = Verdict::default();
    let mut bad: Vec<(u64, Vec<Fault>)> = Vec::new();
    for (plan, verdict) in play_all(&broker_program(), SEEDS) {
        if !verdict.faults.is_empty() {
            bad.push((plan.seed, verdict.faults.clone()));
        }
        all.add(verdict);
    }
    assert!(bad.is_empty(), "{bad:#?}");
    assert_eq!(all.failed, 0);
    // Something was asked where it could have been lost.
    assert!(all.after_signal > 1_000 && all.late > 20, "{all:?}");
    assert!(all.least_left > Some(Duration::ZERO), "{all:?}");
    assert_eq!(all.count_of(Breach::ForwardedUnanswered), 0);
}
