//! Shutdown: when its stages begin, and how queries end in each stage.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

/// With the signal at 100 s and a longest query timeout of 2 s, SIGKILL may come at 102.7 s.
#[rstest]
#[case::at_once(100.0, ShutdownStage::Serving, Some(100.45))]
#[case::no_new_connections(100.45, ShutdownStage::ClosingAfterAnswers, Some(100.65))]
#[case::before_the_listener_closes(100.64, ShutdownStage::ClosingAfterAnswers, Some(100.65))]
#[case::listener_closed(100.7, ShutdownStage::Refusing, Some(101.05))]
#[case::no_request_expected(101.1, ShutdownStage::ClosingWithoutRequest, Some(102.45))]
#[case::before_the_kill(102.46, ShutdownStage::LastAnswers, None)]
fn stages_count_from_the_signal(#[case] now: f64, #[case] stage: ShutdownStage, #[case] next: Option<f64>) {
    let shutdown = Shutdown::new(100.0, 2.0);
    assert_eq!(shutdown.stage(now), stage);
    let next_at = shutdown.next_stage_at(now);
    assert_eq!(next_at.is_some(), next.is_some());
    assert!(next_at.zip(next).is_none_or(|(at, expected)| (at - expected).abs() < 1e-6), "{next_at:?}");
}

/// A broker may stall for 0.15 s between reading the clock and the last answers. At most 3 s of the longest query timeout
/// count for the time of SIGKILL.
#[rstest]
fn last_answers_precede_the_kill(#[values(0.05, 0.3, 2.0, 3.0, 60.0)] timeout: f64) {
    let left = timeout.min(3.0) + 0.7 - (Shutdown::new(100.0, timeout).last_answers_at() - 100.0);
    assert!(left > 0.2 && left < 0.3, "{left}");
    assert!(Shutdown::new(100.0, timeout).next_stage_at(100.0).is_some());
}

/// The longest query timeout is 6 s. If all of it counted, SIGKILL would come 6.7 s after the signal; as at most 3 s count,
/// it may come after 3.7 s.
#[rstest]
#[case::ends_before_the_last_answers(2.0, None)]
#[case::outlasts_the_process(5.0, Some(FinalAnswer::Rejected { retry_after: 0.0 }))]
fn query_outlasting_the_process_is_rejected(#[case] client_waits: f64, #[case] answer: Option<FinalAnswer>) {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    cluster.run(0.1);
    cluster.router.begin_shutdown(Shutdown::new(cluster.transport.now - 0.8, 6.0));
    let query = cluster.query_with(NON_IDEMPOTENT, &[0], 0, client_waits, false);
    assert_eq!(cluster.answers(query).first().cloned(), answer);
    assert_eq!(cluster.sent(query).is_empty(), answer.is_some());
}

/// The deadline of a query whose body was being received at the signal is the instant of the last answers. Guards against a
/// rejection caused by rounding: the time left until that instant is computed from the clock, and is then added to the clock
/// again.
#[test]
fn query_up_to_the_last_answers_is_served() {
    for step in 0..200 {
        let mut cluster = Cluster::new(deployment());
        cluster.transport.now = 1_764_700_000.0 + 0.001_7 * f64::from(step);
        let shutdown = Shutdown::new(cluster.transport.now - 0.8, 6.0);
        cluster.router.begin_shutdown(shutdown);
        let query = cluster.query_with(
            NON_IDEMPOTENT,
            &[0],
            0,
            shutdown.last_answers_at() - cluster.transport.now,
            false,
        );
        assert_eq!(cluster.answers(query), Vec::new(), "{step}");
    }
}

/// The query arrived before the signal, and its client waits longer than the process runs.
#[test]
fn in_flight_queries_end_by_the_last_answers() {
    let mut cluster = Cluster::new(deployment());
    cluster.transport.nodes = vec![None; 6];
    let query = cluster.query(NON_IDEMPOTENT, &[0]);
    cluster.run(0.1);
    let shutdown = Shutdown::new(cluster.transport.now, 6.0);
    cluster.router.begin_shutdown(shutdown);
    cluster.run(4.0);
    let ended = cluster
        .transport
        .answers
        .iter()
        .find(|(_, of, _)| *of == query)
        .expect("the query should have ended");
    assert!(ended.0 <= shutdown.last_answers_at(), "{ended:?}");
}
