//! An endpoint list that comes only on request: it is polled in time, whatever becomes of the polls, and no more
//! than that needs.

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
    /// What is watched breaks off so often, in seconds, and that is told.
    breaks: Option<f64>,
    /// Word of a change comes so often, in seconds.
    changes: Option<f64>,
}

const WITHIN: f64 = 10.0;

fn polled_cluster() -> Cluster {
    Cluster::new(Deployment { list_poll_deadline: Some(WITHIN), ..site() })
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
fn a_list_that_is_pushed_is_never_polled() {
    let mut cluster = Cluster::new(site());
    cluster.router.on_list_poll_failed(&mut cluster.transport);
    cluster.traffic(FULL, 5.0, 0.05);
    cluster.run(60.0);
    assert!(cluster.transport.polled.is_empty());
}

/// Whatever happens to the calls, the list is polled before it is taken to be known unasked, also by a broker
/// that has no queries. Each call costs the list something: there is a most for them.
#[rstest]
#[case::quiet(Discovery::default(), 8)]
#[case::one_call_in_three_is_answered(Discovery { refuses: 3, ..Discovery::default() }, 24)]
#[case::all_calls_fail(Discovery { refuses: usize::MAX, ..Discovery::default() }, 16)]
#[case::calls_are_swallowed(Discovery { swallows: true, ..Discovery::default() }, 8)]
#[case::it_breaks_off(Discovery { breaks: Some(4.0), ..Discovery::default() }, 17)]
#[case::changes_come(Discovery { changes: Some(2.0), ..Discovery::default() }, 1)]
fn the_list_is_polled_in_time_and_not_too_often(#[case] list: Discovery, #[case] most: usize) {
    let mut cluster = polled_cluster();
    let polled = play(&mut cluster, list, 60.0);
    assert_eq!(polled[0], 100.0, "at the start, on what it knows from before");
    assert!(polled.len() <= most, "{} calls", polled.len());
    if list.changes.is_none() {
        let last = [polled.as_slice(), &[160.0]].concat();
        assert!(last.windows(2).all(|w| w[1] - w[0] <= WITHIN - 0.4), "{polled:?}");
    }
}

/// The case reported: a node drains, and a broker that never polled went on sending to it once it was taken to
/// know. The list speaks only to those who ask.
#[test]
fn a_draining_node_gets_nothing_once_the_list_would_have_told() {
    let mut cluster = polled_cluster();
    let mut told = false;
    for turn in 0..200 {
        cluster.query(FULL, &[turn % 6]);
        cluster.run(0.1);
        if cluster.transport.now > 105.0 && !cluster.transport.polled.is_empty() && !told {
            told = true;
            cluster.list(false, &[row(0, EndpointState::Draining, 0.0)]);
        }
    }
    assert_eq!(cluster.sent_count(0, 105.2), 0);
}

/// A retry soon after the first failure, and later ones less often: many brokers that start at once have
/// filled the list's queue themselves.
#[test]
fn polls_that_fail_are_spread_out() {
    let first = |seed| {
        let mut cluster = Cluster::new(Deployment { list_poll_deadline: Some(WITHIN), seed, ..site() });
        play(&mut cluster, Discovery { refuses: usize::MAX, ..Discovery::default() }, 3.0)[1]
    };
    let mut times: Vec<f64> = (0..40).map(first).collect();
    times.sort_unstable_by(f64::total_cmp);
    assert!(times[0] > 100.1 && times[39] < 100.6, "{times:?}");
    assert!(times[39] - times[0] > 0.1, "{times:?}");
}

/// A wake for the list and one for queries do not beget one another.
#[test]
fn polling_wakes_a_busy_broker_hardly_more_often() {
    let wakes = |mut cluster: Cluster| {
        cluster.traffic(FULL, 30.0, 0.05);
        cluster.transport.woken
    };
    let (pushed, polled) = (wakes(Cluster::new(site())), wakes(polled_cluster()));
    assert!(polled <= pushed + 10, "{polled} against {pushed}");
}
