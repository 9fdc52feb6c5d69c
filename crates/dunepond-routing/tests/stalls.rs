//! Between a decision and the last byte of its frame a broker may be held up for 0.15 s. A repeat that is begun closer than
//! that to the end of its window may run a second time after it. The end of a client's time has the usual margin of seven
//! ticks alone: on a day of short deadlines a fifth of all requests came with less than 0.15 s and were served in time.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

/// A repeat is dropped for one second after the first dispatch. That fails so late that one more could come after it.
#[rstest]
#[case::in_time(0.8, 2)]
#[case::too_close_to_the_end_of_the_window(0.9, 1)]
fn a_repeat_leaves_a_margin_to_the_end_of_its_window(#[case] fails_after: f64, #[case] attempts: usize) {
    let mut cluster = Cluster::new(site());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, fails_after)); 6];
    let query = cluster.query(KEYED, &[0]);
    cluster.run(1.2);
    assert_eq!(cluster.sent(query).len(), attempts);
}

#[rstest]
#[case::in_time(1.9, 2)]
#[case::too_close_to_the_end_of_its_clients_time(1.97, 1)]
fn a_retry_begins_before_the_decision_deadline(#[case] fails_after: f64, #[case] attempts: usize) {
    let mut cluster = Cluster::new(Deployment { hedging_enabled: false, ..site() });
    cluster.transport.nodes = vec![Some((AttemptOutcome::Error, fails_after)); 6];
    let query = cluster.query_with(FULL, &[0], 0, 2.0, false);
    cluster.run(2.5);
    assert_eq!(cluster.sent(query).len(), attempts);
    assert_eq!(cluster.answers(query).len(), 1);
}

/// Nodes take 20 ms.
#[rstest]
#[case::enough(0.1, true)]
#[case::less_than_nodes_take(0.02, false)]
fn a_query_with_little_time_is_sent_if_nodes_are_quick_enough(#[case] left: f64, #[case] sent: bool) {
    let mut cluster = Cluster::new(site());
    cluster.transport.nodes = vec![Some((AttemptOutcome::Served, 0.02)); 6];
    cluster.traffic(FULL, 2.0, 0.02);
    let query = cluster.query_with(FULL, &[0], 0, left, false);
    assert_eq!(!cluster.sent(query).is_empty(), sent);
    assert_eq!(cluster.answers(query).is_empty(), sent);
    cluster.run(0.2);
    assert_eq!(cluster.answers(query).len(), 1);
}
