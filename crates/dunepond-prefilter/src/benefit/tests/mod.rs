use rstest::rstest;

use super::{Benefit, PrefilterSample};

/// Runs `queries` queries, each with the same times, and returns how many of them were prefiltered.
fn run(benefit: &mut Benefit, queries: usize, sample: PrefilterSample, direct_seconds: f64) -> usize {
    let mut prefiltered = 0;
    for _ in 0..queries {
        if benefit.should_prefilter() {
            prefiltered += 1;
            benefit.on_start();
            benefit.record_prefiltered(sample);
            benefit.on_end();
        } else {
            benefit.record_direct(direct_seconds);
        }
    }
    prefiltered
}

fn sample(pruned_ratio: f64, total_seconds: f64) -> PrefilterSample {
    PrefilterSample { pruned_ratio, request_seconds: 0.1, total_seconds }
}

#[rstest]
#[case::prunes_much(0.9, 0.5, 0.9, 1.0)]
#[case::prunes_nothing(0.0, 1.2, 0.0, 0.05)]
#[case::takes_too_long(0.9, 3.0, 0.0, 0.05)]
fn prefilters_only_where_beneficial(
    #[case] pruned_ratio: f64,
    #[case] total_seconds: f64,
    #[case] min: f64,
    #[case] max: f64,
) {
    let mut benefit = Benefit::default();
    let prefiltered = run(&mut benefit, 2000, sample(pruned_ratio, total_seconds), 1.0);
    let ratio = prefiltered as f64 / 2000.0;
    assert!((min..=max).contains(&ratio), "{ratio}");
    assert!(prefiltered > 4);
}

/// In a burst that comes before the first query has ended, only one query is prefiltered.
#[test]
fn one_trial_at_a_time_without_samples() {
    let mut benefit = Benefit::default();
    let mut prefiltered = 0;
    for _ in 0..500 {
        if benefit.should_prefilter() {
            prefiltered += 1;
            benefit.on_start();
        }
    }
    assert_eq!(prefiltered, 1);
    benefit.on_end();
    assert!(benefit.should_prefilter());
}

#[test]
fn adapts_to_change() {
    let mut benefit = Benefit::default();
    run(&mut benefit, 1000, sample(0.0, 1.1), 1.0);
    assert!(!benefit.is_beneficial());
    run(&mut benefit, 4000, sample(0.9, 0.4), 1.0);
    assert!(benefit.is_beneficial());
    run(&mut benefit, 100, sample(0.0, 1.1), 1.0);
    assert!(!benefit.is_beneficial());
}
