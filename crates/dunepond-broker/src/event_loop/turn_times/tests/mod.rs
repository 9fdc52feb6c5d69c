use super::*;

/// Relative error of the histogram's values.
const MAX_ERROR: f64 = 0.01;

#[test]
fn summary_has_the_quantiles_of_the_turns_since_the_last_one() {
    let mut times = TurnTimes::new();
    (1..=1_000).for_each(|number| times.record(f64::from(number) * 1e-4));
    let summary = times.take_summary();
    assert_eq!(summary.count, 1_000);
    for (actual, expected) in
        [(summary.median_ms, 50.0), (summary.p99_ms, 99.0), (summary.p999_ms, 99.9), (summary.max_ms, 100.0)]
    {
        assert!((actual - expected).abs() <= MAX_ERROR * expected, "{actual} instead of {expected}");
    }
    times.record(0.002);
    let summary = times.take_summary();
    assert_eq!(summary.count, 1);
    assert!((summary.max_ms - 2.0).abs() <= 2.0 * MAX_ERROR, "{summary:?}");
}

/// A clock that steps back gives a negative time.
#[test]
fn times_out_of_range_are_recorded_at_its_ends() {
    let mut times = TurnTimes::new();
    times.record(-1.0);
    times.record(100.0);
    let summary = times.take_summary();
    assert_eq!(summary.count, 2);
    assert_eq!(summary.median_ms, 0.0);
    assert!((summary.max_ms - 10_000.0).abs() <= 10_000.0 * MAX_ERROR, "{summary:?}");
}
