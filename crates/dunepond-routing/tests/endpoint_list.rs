//! Polling of the endpoint list where it is not pushed: the interval between polls and their number, whatever becomes of the
//! calls.

mod support;

use dunepond_routing::*;
use rstest::rstest;
use support::*;

/// What becomes of each call, and how often the list changes by itself.
#[derive(Clone, Copy, Default)]
struct Discovery {
    /// Of so many calls in a row all but the last are refused; 0: none is.
    refuses: usize,
    /// Calls are swallowed: neither a list nor a refusal.
    swallows: bool,
    /// What is watched breaks off so often, in seconds, and the broker is notified.
    breaks: Option<f64>,
    /// A change is published so often, in seconds.
    changes: Option<f64>,
}

const WITHIN: f64 = 10.0;

fn polled_cluster() -> Cluster {
    Cluster::new(Deployment { list_poll_deadline: Some(WITHIN), ..deployment() })
}

/// Plays the list for so long, and gives the times at which it was polled.
fn play(cluster: &mut Cluster, list: Discovery, seconds: f64) -> Vec<f64> {
    let start = cluster.transport.now;
    let (mut answered, mut last_break, mut last_change) = (0, start, start);
    while cluster.transport.now < start + seconds {
        cluster.run(0.1);
        while answered < cluster.transport.polled.len() && !list.swallows {
            answered += 1;
            match list.refuses {
                0 => cluster.list(false, &[]),
                n if answered % n == 0 => cluster.list(false, &[]),
                _ => cluster.router.on_list_poll_failed(&mut cluster.transport),
            }
        }
        if list.breaks.is_some_and(|every| cluster.transport.now - last_break >= every) {
            last_break = cluster.transport.now;
            cluster.router.on_list_poll_failed(&mut cluster.transport);
        }
        if list.changes.is_some_and(|every| cluster.transport.now - last_change >= every) {
            last_change = cluster.transport.now;
            cluster.list(false, &[row(0, EndpointState::Active, 0.0)]);
        }
    }
    cluster.transport.polled.clone()
}

#[test]
fn pushed_list_is_never_polled() {
    let mut cluster = Cluster::new(deployment());
    cluster.router.on_list_poll_failed(&mut cluster.transport);
    cluster.traffic(FULL, 5.0, 0.05);
    cluster.run(60.0);
    assert!(cluster.transport.polled.is_empty());
}

/// Whatever happens to the calls, the list is polled before the deadline, also by a broker without queries; the number of polls is
/// bounded, since each costs the agent something.
#[rstest]
#[case::quiet(Discovery::default(), 8)]
#[case::one_call_in_three_is_answered(Discovery { refuses: 3, ..Discovery::default() }, 24)]
#[case::all_calls_fail(Discovery { refuses: usize::MAX, ..Discovery::default() }, 16)]
#[case::calls_are_swallowed(Discovery { swallows: true, ..Discovery::default() }, 8)]
#[case::it_breaks_off(Discovery { breaks: Some(4.0), ..Discovery::default() }, 17)]
#[case::changes_come(Discovery { changes: Some(2.0), ..Discovery::default() }, 1)]
fn list_poll_interval_is_bounded(#[case] list: Discovery, #[case] most: usize) {
    let mut cluster = polled_cluster();
    let polled = play(&mut cluster, list, 60.0);
    assert_eq!(polled[0], 100.0, "at the start, on what it knows from before");
    assert!(polled.len() <= most, "{} calls", polled.len());
    if list.changes.is_none() {
        let last = [polled.as_slice(), &[160.0]].concat();
        assert!(last.windows(2).all(|w| w[1] - w[0] <= WITHIN - 0.4), "{polled:?}");
    }
}

/// Guards against a broker that never polls and goes on sending to a draining node: the agent answers only those who ask.
#[test]
fn draining_node_gets_nothing_after_the_poll_deadline() {
    let mut cluster = polled_cluster();
    let mut published = false;
    for turn in 0..200 {
        cluster.query(FULL, &[turn % 6]);
        cluster.run(0.1);
        if cluster.transport.now > 105.0 && !cluster.transport.polled.is_empty() && !published {
            published = true;
            cluster.list(false, &[row(0, EndpointState::Draining, 0.0)]);
        }
    }
    assert_eq!(cluster.sent_count(0, 105.2), 0);
}

/// A retry soon after the first failure, and later ones less often: many brokers that start at once have
/// filled the list's queue themselves.
#[test]
fn failed_polls_are_spread_out() {
    let first = |seed| {
        let mut cluster = Cluster::new(Deployment { list_poll_deadline: Some(WITHIN), seed, ..deployment() });
        play(&mut cluster, Discovery { refuses: usize::MAX, ..Discovery::default() }, 3.0)[1]
    };
    let mut times: Vec<f64> = (0..40).map(first).collect();
    times.sort_unstable_by(f64::total_cmp);
    assert!(times[0] > 100.1 && times[39] < 100.6, "{times:?}");
    assert!(times[39] - times[0] > 0.1, "{times:?}");
}

/// A wake for the list and one for queries do not beget one another.
#[test]
fn polling_adds_few_wakes() {
    let wakes = |mut cluster: Cluster| {
        cluster.traffic(FULL, 30.0, 0.05);
        cluster.transport.woken
    };
    let (pushed, polled) = (wakes(Cluster::new(deployment())), wakes(polled_cluster()));
    assert!(polled <= pushed + 10, "{polled} against {pushed}");
}
