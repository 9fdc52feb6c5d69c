use rstest::rstest;

use super::super::client::ClientBehavior;
use super::*;

const TIMEOUT: Duration = Duration::from_millis(300);
/// The process is stopped from here on for this long, counted from the beginning of the record.
const STOPPED_AT: Duration = Duration::from_millis(200);
const STOP: Duration = Duration::from_millis(600);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that was written so long before the stop, and whose client left during the stop or, if not, whose time ran out in it.
fn breaches_of(
    written_before: Duration,
    left: bool,
    attempts_after_stop: &[Duration],
) -> BTreeSet<Violation> {
    let begin = Instant::now();
    let stop = Stop { from: begin + STOPPED_AT, until: begin + STOPPED_AT + STOP };
    let written = stop.from - written_before;
    let request = Request {
        id: "r".to_string(),
        broker: 0,
        behavior: ClientBehavior::Sequential,
        idempotent: true,
        started_at: written,
        written_at: written,
        answered: (!left).then_some((stop.until + ms(1), 429)),
        disconnected_at: left.then_some(stop.from + ms(120)),
        ended: None,
    };
    let times = BrokerTimes {
        signalled_at: stop.from,
        killed_at: stop.until + TIMEOUT,
        longest_pause: STOP,
        stops: vec![stop],
    };
    let circumstances = Circumstances { brokers: vec![times], timeout: TIMEOUT, nodes_reject: false };
    let attempts: Vec<_> = attempts_after_stop.iter().map(|after| stop.until + *after).collect();
    find_violations(&request, &[&attempts], &circumstances)
}

/// Seen at seed 5: admitted 0.7 ms before the stop, its attempts written 0.4 ms after it.
#[rstest]
#[case::client_left(true)]
#[case::time_ran_out(false)]
fn an_attempt_that_the_stop_delayed_is_no_fault(#[case] left: bool) {
    assert_eq!(breaches_of(ms(1), left, &[ms(1)]), BTreeSet::new());
}

#[rstest]
#[case::taken_up_long_before(ms(60), &[ms(1)])]
#[case::written_long_after(ms(1), &[ms(60)])]
#[case::a_retry(ms(1), &[ms(1), ms(2)])]
fn any_other_attempt_after_the_end_is_a_fault(
    #[case] written_before: Duration,
    #[case] after_stop: &[Duration],
) {
    assert!(breaches_of(written_before, true, after_stop).contains(&Violation::AttemptAfterDisconnect));
    let found = breaches_of(written_before, false, after_stop);
    assert!(found.contains(&Violation::AttemptAfterEnd), "{found:?}");
}

#[test]
fn an_attempt_of_a_request_from_after_the_stop_is_not_excused() {
    let begin = Instant::now();
    let stop = Stop { from: begin, until: begin + STOP };
    let request = Request {
        id: "r".to_string(),
        broker: 0,
        behavior: ClientBehavior::Sequential,
        idempotent: true,
        started_at: stop.from + ms(10),
        written_at: stop.from + ms(10),
        answered: None,
        disconnected_at: Some(stop.from + ms(100)),
        ended: None,
    };
    assert!(!stop.delays_attempt(&request, stop.from + ms(100), stop.until + ms(1)));
}
