//! Hundreds of hostile clients at a broker with the least memory that the specification names: all that a control group counts
//! as the memory of the broker's process stays within the limit.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dunepond_testkit::hostile_clients::{DESCRIPTORS, LEAST_ANONYMOUS_BYTES, play, scenarios};
use rstest::rstest;

/// Time for which the hostile clients run.
const DURATION: Duration = Duration::from_secs(4);

/// Lets one crowd run at a time, as each needs more than a core.
fn exclusively() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A broker was killed for its memory, most of which the operating system held for its sockets.
#[rstest]
#[case::answers_in_part("crowd-answers-in-part")]
#[case::unread_answers("crowd-large-answers-unread")]
#[case::mixed("crowd-mixed")]
#[case::mixed_with_all_features("crowd-mixed-all-features")]
fn all_memory_of_a_crowd_stays_within_the_limit(#[case] name: &str) {
    let _exclusive = exclusively();
    let scenario = scenarios().into_iter().find(|scenario| scenario.name == name).unwrap();
    let outcome = play(&scenario, DURATION).unwrap();
    assert!(outcome.is_running, "the broker ended by itself");
    assert!(outcome.peak.descriptors <= DESCRIPTORS, "{outcome:?}");
    assert!(outcome.peak.charged_anonymous_bytes <= LEAST_ANONYMOUS_BYTES, "{outcome:?}");
}

/// Clients that stop half way through a streamed body, as many as in the experiment.
#[test]
fn half_uploads_stay_within_the_memory_limit() {
    let _exclusive = exclusively();
    let scenario = scenarios().into_iter().find(|scenario| scenario.name == "crowd-streamed-half").unwrap();
    let outcome = play(&scenario, DURATION).unwrap();
    assert!(outcome.peak.charged_anonymous_bytes <= LEAST_ANONYMOUS_BYTES, "{outcome:?}");
}
