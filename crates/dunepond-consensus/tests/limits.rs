//! Parts of shared bounds in a fleet: when a part that went down is settled, and what is left without a lease.

use std::collections::BTreeMap;

use dunepond_consensus::*;
use dunepond_quota::{Agreed, Bounds, LimitError, Own, Part, Report};
use dunepond_simulation::fleet::Fleet;
use rstest::rstest;

fn bounds() -> Bounds {
    Bounds::new(vec![String::from("cold")], 7, 0.35, 500).unwrap()
}

fn parts(broker: &str, units: u32) -> Entry {
    let part = Part { broker: broker.to_string(), bound: String::from("cold"), units };
    Entry::Limit(Agreed::Parts { parts: vec![part] })
}

/// Five voters and two others; all that is spare is leased to n7.
fn leased(seed: u64) -> Fleet {
    let mut fleet = Fleet::mapped(5, 2, seed);
    let report = Report { bounds: bounds(), ..Report::default() };
    for broker in &mut fleet.brokers {
        broker.member.as_mut().unwrap().report(Some(report.clone()));
    }
    fleet.run(3.0);
    fleet.propose(Entry::Limit(Agreed::Bounds(bounds()))).unwrap();
    fleet.run(0.2);
    for broker in ["n6", "n7"] {
        fleet.propose(Entry::Limit(Agreed::Seat { broker: broker.to_string() })).unwrap();
        fleet.run(0.2);
    }
    fleet.propose(parts("n7", 650_000)).unwrap();
    fleet.run(1.0);
    assert_eq!(part(&fleet, 6), 700_000);
    fleet
}

fn part(fleet: &Fleet, n: usize) -> u32 {
    let now = fleet.clock(n);
    let acting = fleet.brokers[n].member.as_ref().unwrap().acting();
    let heard = acting.limits(now);
    Own::new(&bounds(), f64::NEG_INFINITY).part(heard.told, heard.live, "cold", now)
}

fn counted(fleet: &Fleet) -> u64 {
    fleet.state(fleet.leader().unwrap()).limits.counted("cold")
}

/// Seconds until the part that went down is let go.
fn settles(fleet: &mut Fleet) -> f64 {
    fleet.propose(parts("n7", 0)).unwrap();
    let from = fleet.now;
    assert!(matches!(fleet.propose(parts("n6", 10)), Err(Refusal::Limit(LimitError::PastWhole { .. }))));
    assert!(fleet.until(9.0, |fleet| fleet.leader().is_some() && counted(fleet) == 0));
    fleet.now - from
}

/// Lease 1 s, query timeout 0.5 s, window 0.5 s: acts and window at least, and the lease before them for who is cut off.
#[rstest]
#[case::heard(false, 1.0, 2.0)]
#[case::cut_off(true, 1.2, 3.2)]
fn a_part_that_went_down_is_settled_once_its_broker_has_surely_let_go(
    #[case] cut: bool,
    #[case] least: f64,
    #[case] most: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = leased(seed);
    if cut {
        fleet.split(&[&[0, 1, 2, 3, 4, 5]]);
    }
    let took = settles(&mut fleet);
    assert!((least..most).contains(&took), "{took:.2} s");
    if cut {
        assert_eq!(part(&fleet, 6), 50_000, "its floor");
        let over = fleet.brokers[6].member.as_ref().unwrap().acting().until();
        assert!(fleet.clock(6) > over + 1.05, "acts under way and a window after its lease ran out");
    }
    fleet.propose(parts("n6", 650_000)).unwrap();
    assert!(fleet.until(3.0, |fleet| part(fleet, 5) == 700_000));
}

#[test]
fn nobody_but_the_leaders_clock_says_that_a_broker_has_let_go() {
    let mut fleet = leased(3);
    fleet.propose(parts("n7", 0)).unwrap();
    fleet.run(0.1);
    let generation = fleet.state(fleet.leader().unwrap()).limits.seats["n7"].shrunk;
    let word = Entry::Limit(Agreed::Settled { broker: String::from("n7"), generation });
    assert!(matches!(fleet.propose(word), Err(Refusal::Limit(LimitError::LeaderOnly(_)))));
}

#[test]
fn a_part_outlasts_its_leader_and_a_new_one_takes_the_long_way() {
    let mut fleet = leased(4);
    fleet.propose(parts("n7", 0)).unwrap();
    fleet.run(0.1);
    let (from, leader) = (fleet.now, fleet.leader().unwrap());
    fleet.kill(leader);
    assert!(
        fleet.until(9.0, |fleet| fleet.leader().is_some_and(|n| fleet.state(n).limits.counted("cold") == 0))
    );
    assert!(fleet.now - from > 1.9, "{:.2} s", fleet.now - from);
    let parts: BTreeMap<String, u32> = BTreeMap::new();
    let told = fleet.state(fleet.leader().unwrap()).limits.told("n7").unwrap();
    assert_eq!(told.parts, parts);
}
