//! Which sources are left to try.

use rstest::rstest;

use super::AvoidedSources;

#[rstest]
#[case::nothing_known(&[], &[], &["a", "b", "c"])]
#[case::one_failed(&["a"], &[], &["b", "c"])]
#[case::one_is_left(&[], &["b"], &["a", "c"])]
#[case::both(&["a"], &["b"], &["c"])]
#[case::all_that_stay_failed(&["a", "c"], &["b"], &["a", "c"])]
#[case::all_are_left(&[], &["a", "b", "c"], &["a", "b", "c"])]
#[case::all_failed(&["a", "b", "c"], &[], &["a", "b", "c"])]
fn a_source_that_failed_or_leaves_is_taken_only_where_no_other_is(
    #[case] failed: &[&str],
    #[case] leaves: &[&str],
    #[case] expected: &[&str],
) {
    let mut avoided = AvoidedSources::default();
    failed.iter().for_each(|source| avoided.note_failure("x", source));
    let sources = ["a", "b", "c"].map(|node| (node.to_string(), String::new())).to_vec();
    let left = avoided.usable("x", sources.clone(), |node| leaves.contains(&node));
    assert_eq!(left.iter().map(|source| &*source.0).collect::<Vec<_>>(), expected);
    // Another fill knows nothing of it.
    assert_eq!(avoided.usable("y", sources.clone(), |_| false), sources);
}
