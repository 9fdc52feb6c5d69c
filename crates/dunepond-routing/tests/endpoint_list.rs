//! Polling of an endpoint list that is not pushed: the interval between polls and their number, whether polls are answered,
//! refused or lost.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

/// How discovery, which serves the endpoint list, responds to polls, and how often it notifies the broker without a poll.
#[derive(Clone, Copy, Default)]
struct Discovery {
    /// Only one in this many consecutive polls is answered, and the others are refused; 0 if all are answered.
    refuses: usize,
    /// Whether polls get neither an answer nor a refusal.
    drops_polls: bool,
    /// Interval in seconds at which the watch is interrupted and the broker is notified.
    interrupts: Option<f64>,
    /// Interval in seconds at which a change is published.
    changes: Option<f64>,
}

/// Longest allowed interval in seconds between two polls of the endpoint list.
const POLL_DEADLINE: f64 = 10.0;

/// Returns a cluster whose endpoint list is only sent on request.
fn polled_cluster() -> Cluster {
    Cluster::new(Deployment { list_poll_deadline: Some(POLL_DEADLINE), ..deployment() })
}

/// Simulates discovery for some seconds and returns the instants at which the endpoint list was polled.
fn simulate(cluster: &mut Cluster, list: Discovery, seconds: f64) -> Vec<f64> {
    let start = cluster.transport.now;
    let (mut answered, mut last_interrupt, mut last_change) = (0, start, start);
    while cluster.transport.now < start + seconds {
        cluster.run(0.1);
        while answered < cluster.transport.polled.len() && !list.drops_polls {
            answered += 1;
            match list.refuses {
                0 => cluster.update_list(false, &[]),
                n if answered % n == 0 => cluster.update_list(false, &[]),
                _ => cluster.router.on_list_poll_failed(&mut cluster.transport),
            }
        }
        if list.interrupts.is_some_and(|every| cluster.transport.now - last_interrupt >= every) {
            last_interrupt = cluster.transport.now;
            cluster.router.on_list_poll_failed(&mut cluster.transport);
        }
        if list.changes.is_some_and(|every| cluster.transport.now - last_change >= every) {
            last_change = cluster.transport.now;
            cluster.update_list(false, &[row(0, EndpointState::Active, 0.0)]);
        }
    }
    cluster.transport.polled.clone()
}

#[test]
fn pushed_list_is_never_polled() {
    let mut cluster = Cluster::new(deployment());
    cluster.router.on_list_poll_failed(&mut cluster.transport);
    cluster.run_traffic(FULL, 5.0, 0.05);
    cluster.run(60.0);
    assert!(cluster.transport.polled.is_empty());
}

/// Whether polls are answered, refused or lost, the endpoint list is polled before the deadline, even by a broker without
/// queries. The number of polls is bounded, because each is work for the agent that serves the list.
#[rstest]
#[case::quiet(Discovery::default(), 8)]
#[case::one_poll_in_three_is_answered(Discovery { refuses: 3, ..Discovery::default() }, 24)]
#[case::all_polls_are_refused(Discovery { refuses: usize::MAX, ..Discovery::default() }, 16)]
#[case::polls_are_lost(Discovery { drops_polls: true, ..Discovery::default() }, 8)]
#[case::watch_is_interrupted(Discovery { interrupts: Some(4.0), ..Discovery::default() }, 17)]
#[case::changes_are_pushed(Discovery { changes: Some(2.0), ..Discovery::default() }, 1)]
fn list_poll_interval_is_bounded(#[case] list: Discovery, #[case] max_polls: usize) {
    let mut cluster = polled_cluster();
    let polled = simulate(&mut cluster, list, 60.0);
    assert_eq!(polled[0], 100.0, "the list is polled at the start");
    assert!(polled.len() <= max_polls, "{} polls", polled.len());
    if list.changes.is_none() {
        let last = [polled.as_slice(), &[160.0]].concat();
        assert!(last.windows(2).all(|w| w[1] - w[0] <= POLL_DEADLINE - 0.4), "{polled:?}");
    }
}

/// Guards against a broker that never polls and keeps sending to a draining node, because the endpoint list is only sent on
/// request.
#[test]
fn draining_node_gets_nothing_after_the_poll_deadline() {
    let mut cluster = polled_cluster();
    let mut published = false;
    for turn in 0..200 {
        cluster.query(FULL, &[turn % 6]);
        cluster.run(0.1);
        if cluster.transport.now > 105.0 && !cluster.transport.polled.is_empty() && !published {
            published = true;
            cluster.update_list(false, &[row(0, EndpointState::Draining, 0.0)]);
        }
    }
    assert_eq!(cluster.sent_count(0, 105.2), 0);
}

/// The first poll after a refused one follows soon, at a random time. Guards against many brokers that start at the same time
/// and whose polls then fill the queue of the server that sends the endpoint list.
#[test]
fn failed_polls_are_spread_out() {
    let first = |seed| {
        let mut cluster =
            Cluster::new(Deployment { list_poll_deadline: Some(POLL_DEADLINE), seed, ..deployment() });
        simulate(&mut cluster, Discovery { refuses: usize::MAX, ..Discovery::default() }, 3.0)[1]
    };
    let mut times: Vec<f64> = (0..40).map(first).collect();
    times.sort_unstable_by(f64::total_cmp);
    assert!(times[0] > 100.1 && times[39] < 100.6, "{times:?}");
    assert!(times[39] - times[0] > 0.1, "{times:?}");
}

/// Guards against two series of calls of `on_wake`, one for polling and one for queries, in which each call requests the next.
#[test]
fn polling_adds_few_wakes() {
    let wakes = |mut cluster: Cluster| {
        cluster.run_traffic(FULL, 30.0, 0.05);
        cluster.transport.wake_count
    };
    let (pushed, polled) = (wakes(Cluster::new(deployment())), wakes(polled_cluster()));
    assert!(polled <= pushed + 10, "{polled} against {pushed}");
}
