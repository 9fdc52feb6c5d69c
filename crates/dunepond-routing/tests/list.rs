//! A node list that comes only when it is asked for: it is asked in time, however the asking goes, and no more
//! than that needs.

mod fake;

use dunepond_routing::*;
use fake::*;
use rstest::rstest;

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

fn asked_for() -> Town {
    Town::new(Deployment { list_poll_deadline: Some(WITHIN), ..site() })
}

/// Plays the list for so long, and gives the times at which it was asked.
fn play(town: &mut Town, list: Discovery, seconds: f64) -> Vec<f64> {
    let start = town.host.now;
    let (mut answered, mut last_break, mut last_change) = (0, start, start);
    while town.host.now < start + seconds {
        town.run(0.1);
        while answered < town.host.asked.len() && !list.swallows {
            answered += 1;
            match list.refuses {
                0 => town.list(false, &[]),
                n if answered % n == 0 => town.list(false, &[]),
                _ => town.broker.on_list_poll_failed(&mut town.host),
            }
        }
        if list.breaks.is_some_and(|every| town.host.now - last_break >= every) {
            last_break = town.host.now;
            town.broker.on_list_poll_failed(&mut town.host);
        }
        if list.changes.is_some_and(|every| town.host.now - last_change >= every) {
            last_change = town.host.now;
            town.list(false, &[row(0, EndpointState::Active, 0.0)]);
        }
    }
    town.host.asked.clone()
}

#[test]
fn a_list_that_is_pushed_is_never_asked_for() {
    let mut town = Town::new(site());
    town.broker.on_list_poll_failed(&mut town.host);
    town.traffic(FULL, 5.0, 0.05);
    town.run(60.0);
    assert!(town.host.asked.is_empty());
}

/// Whatever happens to the calls, the list is asked before it is taken to be known unasked, also by a broker
/// that has no scans. Each call costs the list something: there is a most for them.
#[rstest]
#[case::quiet(Discovery::default(), 8)]
#[case::one_call_in_three_is_answered(Discovery { refuses: 3, ..Discovery::default() }, 24)]
#[case::all_calls_fail(Discovery { refuses: usize::MAX, ..Discovery::default() }, 16)]
#[case::calls_are_swallowed(Discovery { swallows: true, ..Discovery::default() }, 8)]
#[case::it_breaks_off(Discovery { breaks: Some(4.0), ..Discovery::default() }, 17)]
#[case::changes_come(Discovery { changes: Some(2.0), ..Discovery::default() }, 1)]
fn the_list_is_asked_for_in_time_and_not_too_often(#[case] list: Discovery, #[case] most: usize) {
    let mut town = asked_for();
    let asked = play(&mut town, list, 60.0);
    assert_eq!(asked[0], 100.0, "at the start, on what it knows from before");
    assert!(asked.len() <= most, "{} calls", asked.len());
    if list.changes.is_none() {
        let last = [asked.as_slice(), &[160.0]].concat();
        assert!(last.windows(2).all(|w| w[1] - w[0] <= WITHIN - 0.4), "{asked:?}");
    }
}

/// The case reported: a node drains, and a broker that never asked went on sending to it once it was taken to
/// know. The list speaks only to those who ask.
#[test]
fn a_node_that_drains_gets_nothing_once_the_list_would_have_told() {
    let mut town = asked_for();
    let mut told = false;
    for turn in 0..200 {
        town.scan(FULL, &[turn % 6]);
        town.run(0.1);
        if town.host.now > 105.0 && !town.host.asked.is_empty() && !told {
            told = true;
            town.list(false, &[row(0, EndpointState::Draining, 0.0)]);
        }
    }
    assert_eq!(town.to_node(0, 105.2), 0);
}

/// A retry soon after the first failure, and later ones less often: many brokers that start at once have
/// filled the list's queue themselves.
#[test]
fn calls_that_fail_are_spread_out() {
    let first = |seed| {
        let mut town = Town::new(Deployment { list_poll_deadline: Some(WITHIN), seed, ..site() });
        play(&mut town, Discovery { refuses: usize::MAX, ..Discovery::default() }, 3.0)[1]
    };
    let mut times: Vec<f64> = (0..40).map(first).collect();
    times.sort_unstable_by(f64::total_cmp);
    assert!(times[0] > 100.1 && times[39] < 100.6, "{times:?}");
    assert!(times[39] - times[0] > 0.1, "{times:?}");
}

/// A wake for the list and one for scans do not beget one another.
#[test]
fn asking_wakes_a_busy_broker_hardly_more_often() {
    let wakes = |mut town: Town| {
        town.traffic(FULL, 30.0, 0.05);
        town.host.woken
    };
    let (pushed, asked) = (wakes(Town::new(site())), wakes(asked_for()));
    assert!(asked <= pushed + 10, "{asked} against {pushed}");
}
