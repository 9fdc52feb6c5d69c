use rstest::rstest;

use super::super::client::ClientBehavior;
use super::*;

/// Query timeout of the requests.
const TIMEOUT: Duration = Duration::from_millis(300);
/// When the broker's process is stopped, counted from the start of the test.
const STOPPED_AT: Duration = Duration::from_millis(200);
/// How long the broker's process is stopped.
const STOP_DURATION: Duration = Duration::from_millis(600);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the violations for a request that was written `written_before` before a stop, and whose attempts came at these times
/// after it. During the stop the client closed its connection if `disconnects` is set, or else the timeout expired.
fn violations_around_stop(
    written_before: Duration,
    disconnects: bool,
    attempts_after_stop: &[Duration],
) -> BTreeSet<Violation> {
    let start = Instant::now();
    let stop = StopInterval { from: start + STOPPED_AT, until: start + STOPPED_AT + STOP_DURATION };
    let written = stop.from - written_before;
    let request = Request {
        id: "r".to_string(),
        broker_index: 0,
        behavior: ClientBehavior::Sequential,
        idempotent: true,
        started_at: written,
        written_at: written,
        answered: (!disconnects).then_some((stop.until + ms(1), 429)),
        disconnected_at: disconnects.then_some(stop.from + ms(120)),
        connection_ended: None,
    };
    let timeline = BrokerTimeline {
        signalled_at: stop.from,
        killed_at: stop.until + TIMEOUT,
        longest_pause: STOP_DURATION,
        stops: vec![stop],
    };
    let conditions = RunConditions { brokers: vec![timeline], timeout: TIMEOUT, nodes_reject: false };
    let attempts: Vec<_> = attempts_after_stop.iter().map(|after| stop.until + *after).collect();
    find_violations(&request, &[&attempts], &conditions)
}

/// Guards against a false violation at seed 5: a request was admitted 0.7 ms before the stop, and its attempts were written
/// 0.4 ms after the stop.
#[rstest]
#[case::client_disconnects(true)]
#[case::timeout_expires(false)]
fn attempt_delayed_by_stop_is_excused(#[case] disconnects: bool) {
    assert_eq!(violations_around_stop(ms(1), disconnects, &[ms(1)]), BTreeSet::new());
}

#[rstest]
#[case::request_long_before_stop(ms(60), &[ms(1)])]
#[case::attempt_long_after_stop(ms(1), &[ms(60)])]
#[case::retry(ms(1), &[ms(1), ms(2)])]
fn other_attempt_after_end_of_request_is_violation(
    #[case] written_before: Duration,
    #[case] attempts_after_stop: &[Duration],
) {
    let violations = violations_around_stop(written_before, true, attempts_after_stop);
    assert!(
        violations.contains(&Violation::AttemptAfterDisconnect),
        "expected AttemptAfterDisconnect, got {violations:?}"
    );
    let violations = violations_around_stop(written_before, false, attempts_after_stop);
    assert!(violations.contains(&Violation::AttemptAfterEnd), "expected AttemptAfterEnd, got {violations:?}");
}

#[test]
fn attempt_of_request_written_during_stop_is_not_excused() {
    let start = Instant::now();
    let stop = StopInterval { from: start, until: start + STOP_DURATION };
    let request = Request {
        id: "r".to_string(),
        broker_index: 0,
        behavior: ClientBehavior::Sequential,
        idempotent: true,
        started_at: stop.from + ms(10),
        written_at: stop.from + ms(10),
        answered: None,
        disconnected_at: Some(stop.from + ms(100)),
        connection_ended: None,
    };
    assert!(!stop.delays_attempt(&request, stop.from + ms(100), stop.until + ms(1)));
}
