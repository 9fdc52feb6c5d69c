//! The fill capacity of a node in slow start: the fractions of several callers add up to no more than the limit.

use dunepond_settlement::SlowStartCapacity;

use super::{COUNTING_UNIT_BYTES, SlowStartPolicy};

#[test]
fn fill_capacity_grows_with_age() {
    let policy = SlowStartPolicy {
        initial_share: 0.25,
        warm_up_seconds: 10.0,
        capacity_multiple: 2.0,
        window_seconds: 2.0,
    };
    let rate = (64 * COUNTING_UNIT_BYTES) as f64;
    let cap = |age: f64, capacity_ratio: f64| {
        let nodes = [("s".to_string(), policy.fill_capacity(age, 1.5, rate, capacity_ratio))].into();
        SlowStartCapacity { window_seconds: 2.0, unit_bytes: COUNTING_UNIT_BYTES, nodes }.rate_cap("s")
    };
    for (age, share) in [(0.0, 0.25), (5.0, 0.625), (10.0, 1.0), (99.0, 1.0)] {
        let max_rate = 1.5 * share * rate;
        assert!(
            cap(age, 1.0) <= max_rate && cap(age, 1.0) > max_rate - COUNTING_UNIT_BYTES as f64,
            "age {age}"
        );
        assert!(0.5 * max_rate >= cap(age, 0.5) && 4.0 * cap(age, 0.125) <= 0.5 * max_rate);
    }
}
