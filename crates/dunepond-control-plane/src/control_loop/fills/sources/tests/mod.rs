//! Which sources of a fill are usable after failures and while nodes drain.

use dunepond_settlement::FillSource;
use rstest::rstest;

use super::AvoidedSources;

#[rstest]
#[case::none(&[], &[], &["a", "b", "c"])]
#[case::one_failed(&["a"], &[], &["b", "c"])]
#[case::one_draining(&[], &["b"], &["a", "c"])]
#[case::both(&["a"], &["b"], &["c"])]
#[case::all_others_failed(&["a", "c"], &["b"], &["a", "c"])]
#[case::all_draining(&[], &["a", "b", "c"], &["a", "b", "c"])]
#[case::all_failed(&["a", "b", "c"], &[], &["a", "b", "c"])]
fn failed_and_draining_sources_are_avoided(
    #[case] failed: &[&str],
    #[case] draining: &[&str],
    #[case] expected: &[&str],
) {
    let mut avoided = AvoidedSources::default();
    failed.iter().for_each(|source| avoided.note_failure("x", source));
    let sources =
        ["a", "b", "c"].map(|node| FillSource { node: node.to_string(), partner: String::new() }).to_vec();
    let usable = avoided.usable("x", sources.clone(), |node| draining.contains(&node));
    assert_eq!(usable.iter().map(|source| &*source.node).collect::<Vec<_>>(), expected);
    // Failures of one fill do not affect other fills.
    assert_eq!(avoided.usable("y", sources.clone(), |_| false), sources);
}
