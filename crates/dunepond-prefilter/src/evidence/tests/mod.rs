use rstest::rstest;

use super::{CountsSince, Evidence, PruningBasis, SentAt};
use crate::model::{CanMatch, NodeId};

fn at(time: f64) -> SentAt {
    SentAt { sequence: 0, time }
}

fn since(time: f64) -> CountsSince {
    CountsSince { sequence: 9, time }
}

const ALL_TRUSTED: fn(NodeId) -> bool = |_| true;

#[test]
fn needs_two_denials() {
    let mut evidence = Evidence::new(10);
    evidence.record_answer(at(0.0), 1, 0, 7, CanMatch::CannotMatch, 3);
    evidence.record_answer(at(0.0), 1, 0, 7, CanMatch::CannotMatch, 3);
    assert_eq!(evidence.basis(1, 0, since(-0.5), ALL_TRUSTED), None);
    evidence.record_answer(at(0.0), 1, 0, 8, CanMatch::CannotMatch, 3);
    assert_eq!(evidence.basis(1, 0, since(-0.5), ALL_TRUSTED), Some(PruningBasis::TwoReplicas(7, 8)));
    assert_eq!(evidence.basis(1, 0, since(-0.5), |node| node != 8), None);
}

/// Answers to old requests are not used as evidence: the content may have changed after the request, and a faulty replica could
/// state the old version.
#[test]
fn stale_answers_do_not_count() {
    let mut evidence = Evidence::new(10);
    evidence.record_answer(at(1.0), 1, 0, 7, CanMatch::CannotMatch, 3);
    evidence.record_answer(at(2.0), 1, 0, 8, CanMatch::CannotMatch, 3);
    assert_eq!(evidence.basis(1, 0, since(1.5), ALL_TRUSTED), None);
    evidence.record_answer(at(3.0), 1, 0, 7, CanMatch::CannotMatch, 3);
    assert!(evidence.basis(1, 0, since(1.5), ALL_TRUSTED).is_some());
    // A third denial replaces the oldest one.
    evidence.record_answer(at(4.0), 1, 0, 9, CanMatch::CannotMatch, 3);
    assert_eq!(evidence.basis(1, 0, since(2.5), ALL_TRUSTED), Some(PruningBasis::TwoReplicas(7, 9)));
}

#[test]
fn own_search_confirms_denial() {
    let mut evidence = Evidence::new(10);
    evidence.record_search(at(0.0), 1, 0, 3, false);
    assert_eq!(evidence.basis(1, 0, since(-0.5), ALL_TRUSTED), None);
    evidence.record_answer(at(0.0), 1, 0, 7, CanMatch::CannotMatch, 3);
    assert_eq!(evidence.basis(1, 0, since(-0.5), ALL_TRUSTED), Some(PruningBasis::OwnSearch(7)));
}

/// A later version of the segment makes all denials in the earlier one useless.
#[rstest]
#[case::answer_states_new_version(|e: &mut Evidence| e.record_answer(at(0.0), 2, 0, 9, CanMatch::Unknown, 4))]
#[case::search_states_new_version(|e: &mut Evidence| e.record_search(at(0.0), 2, 0, 4, true))]
fn drops_other_versions(#[case] record_new_version: fn(&mut Evidence)) {
    let mut evidence = Evidence::new(10);
    evidence.record_answer(at(0.0), 1, 0, 7, CanMatch::CannotMatch, 3);
    evidence.record_answer(at(0.0), 1, 0, 8, CanMatch::CannotMatch, 3);
    record_new_version(&mut evidence);
    assert_eq!(evidence.basis(1, 0, since(-0.5), ALL_TRUSTED), None);
    // An answer by a replica that lags behind does not restore the denials.
    evidence.record_answer(at(0.0), 1, 0, 7, CanMatch::CannotMatch, 3);
    assert_eq!(evidence.basis(1, 0, since(-0.5), ALL_TRUSTED), None);
}

#[rstest]
#[case(CanMatch::MayMatch)]
#[case(CanMatch::Unknown)]
fn disagreement_cancels_denials(#[case] answer: CanMatch) {
    let mut evidence = Evidence::new(10);
    evidence.record_answer(at(0.0), 1, 0, 7, CanMatch::CannotMatch, 3);
    evidence.record_answer(at(0.0), 1, 0, 8, CanMatch::CannotMatch, 3);
    evidence.record_answer(at(0.0), 1, 0, 9, answer, 3);
    assert_eq!(evidence.basis(1, 0, since(-0.5), ALL_TRUSTED), None);
}

#[test]
fn table_drops_oldest() {
    let mut evidence = Evidence::new(4);
    for segment in 0..20 {
        evidence.record_answer(at(0.0), 1, segment, 7, CanMatch::CannotMatch, 1);
        evidence.record_answer(at(0.0), 1, segment, 8, CanMatch::CannotMatch, 1);
    }
    assert_eq!(evidence.len(), 4);
    assert_eq!(evidence.basis(1, 15, since(-0.5), ALL_TRUSTED), None);
    assert!(evidence.basis(1, 19, since(-0.5), ALL_TRUSTED).is_some());
}

#[test]
fn removed_node_loses_denials() {
    let mut evidence = Evidence::new(10);
    for segment in 0..3 {
        evidence.record_answer(at(0.0), 1, segment, 7, CanMatch::CannotMatch, 1);
        evidence.record_answer(at(0.0), 1, segment, 8, CanMatch::CannotMatch, 1);
    }
    evidence.remove_node(7);
    assert!((0..3).all(|segment| evidence.basis(1, segment, since(-0.5), ALL_TRUSTED).is_none()));
    evidence.record_answer(at(0.0), 1, 0, 9, CanMatch::CannotMatch, 1);
    assert_eq!(evidence.basis(1, 0, since(-0.5), ALL_TRUSTED), Some(PruningBasis::TwoReplicas(9, 8)));
}
