//! Who gets how much, round after round.

use std::collections::BTreeMap;

use dunepond_quota::*;
use proptest::prelude::*;
use rstest::rstest;

const PLANNING: Planning =
    Planning { rule: Rule::MaxMin, headroom: 1.25, step: 0.2, silent: 3.0, gone: 10.0 };

fn bounds(brokers: u32) -> Bounds {
    Bounds::new(vec![String::from("cold")], brokers, 0.25, 1000).unwrap()
}

fn heard(needs: &[u32]) -> BTreeMap<String, Heard> {
    let of = |need: &u32| Report {
        shrunk: 0,
        bounds: bounds(needs.len() as u32),
        needs: BTreeMap::from([(String::from("cold"), *need)]),
    };
    let named = needs.iter().enumerate();
    named.map(|(at, need)| (format!("n{at}"), Heard { report: of(need), ago: 0.0 })).collect()
}

/// Plans until nothing is entered any more; all that goes down is let go at once. Entries of parts.
fn settle(ledger: &mut Ledger, needs: &BTreeMap<String, Heard>, brokers: u32, planning: &Planning) -> usize {
    let mut moved = 0;
    for _ in 0..200 {
        let Some(entry) = plan(ledger, &bounds(brokers), needs, 99.0, planning) else { return moved };
        moved += usize::from(matches!(entry, Agreed::Parts { .. }));
        ledger.apply(&entry).unwrap();
        let waiting = ledger.seats.iter().filter(|(_, seat)| seat.waits());
        let waiting: Vec<_> = waiting.map(|(broker, seat)| (broker.clone(), seat.shrunk)).collect();
        for (broker, generation) in waiting {
            ledger.apply(&Agreed::Settled { broker, generation }).unwrap();
        }
    }
    panic!("it never comes to rest: {ledger:?}");
}

fn total(ledger: &Ledger, broker: usize) -> u32 {
    62_500 + ledger.seats[&format!("n{broker}")].now("cold")
}

#[rstest]
#[case::even(Rule::Even, [187_500, 187_500, 187_500, 187_500])]
#[case::proportional(Rule::Proportional, [675_000, 37_500, 37_500, 0])]
#[case::max_min(Rule::MaxMin, [737_500, 0, 0, 0])]
fn rules_split_what_is_spare(#[case] rule: Rule, #[case] parts: [u32; 4]) {
    let needs = [900_000, 50_000, 50_000, 0];
    let split = targets(rule, 750_000, 62_500, &needs);
    let near = split.iter().zip(&parts).all(|(a, b)| a.abs_diff(*b) <= 12_500);
    assert!(near && split.iter().sum::<u32>() <= 750_000, "{split:?}");
}

#[test]
fn need_moves_parts_and_none_is_under_the_floor() {
    let mut ledger = Ledger::default();
    let calm = heard(&[100_000; 4]);
    settle(&mut ledger, &calm, 4, &PLANNING);
    settle(&mut ledger, &heard(&[700_000, 20_000, 20_000, 0]), 4, &PLANNING);
    assert!(total(&ledger, 0) >= 700_000, "{}", total(&ledger, 0));
    assert!((1..4).all(|broker| total(&ledger, broker) >= 62_500));
    settle(&mut ledger, &heard(&[0, 20_000, 700_000, 0]), 4, &PLANNING);
    assert!(total(&ledger, 2) >= 700_000);
}

#[test]
fn under_equal_pressure_all_have_the_same() {
    let mut ledger = Ledger::default();
    settle(&mut ledger, &heard(&[900_000, 0, 0, 0]), 4, &PLANNING);
    settle(&mut ledger, &heard(&[1_000_000; 4]), 4, &PLANNING);
    // The step that is left alone is a fifth of an even part.
    assert!((0..4).all(|broker| total(&ledger, broker).abs_diff(250_000) <= 40_000), "{ledger:?}");
}

#[rstest]
#[case::silent(3.0, false)]
#[case::gone(11.0, true)]
fn a_broker_that_says_nothing_gives_back_and_then_its_seat(#[case] ago: f64, #[case] freed: bool) {
    let mut ledger = Ledger::default();
    settle(&mut ledger, &heard(&[300_000; 4]), 4, &PLANNING);
    let mut needs = heard(&[300_000; 4]);
    needs.get_mut("n3").unwrap().ago = ago;
    settle(&mut ledger, &needs, 4, &PLANNING);
    assert_eq!(ledger.seats.contains_key("n3"), !freed);
    assert!(ledger.seats.get("n3").is_none_or(|seat| seat.now("cold") == 0));
}

#[test]
fn a_new_leader_takes_nothing_back_before_it_knows_who_is_there() {
    let mut ledger = Ledger::default();
    settle(&mut ledger, &heard(&[300_000; 4]), 4, &PLANNING);
    assert_eq!(plan(&ledger, &bounds(4), &BTreeMap::new(), 2.9, &PLANNING), None);
    assert!(plan(&ledger, &bounds(4), &BTreeMap::new(), 3.0, &PLANNING).is_some());
}

#[test]
fn while_one_file_states_other_bounds_only_the_floors_hold() {
    let mut ledger = Ledger::default();
    let mut needs = heard(&[300_000; 4]);
    settle(&mut ledger, &needs, 4, &PLANNING);
    needs.get_mut("n2").unwrap().report.bounds = bounds(5);
    settle(&mut ledger, &needs, 4, &PLANNING);
    assert_eq!(ledger.counted("cold"), 0);
    // Once the leader's own file is the new one, and all say the same, it is agreed on.
    needs.values_mut().for_each(|heard| heard.report.bounds = bounds(5));
    settle(&mut ledger, &needs, 5, &PLANNING);
    assert_eq!(ledger.bounds, Some(bounds(5)));
    assert!(ledger.counted("cold") > 0);
}

#[test]
fn a_fifth_broker_of_four_gets_no_seat() {
    let mut ledger = Ledger::default();
    let mut needs = heard(&[100_000, 100_000, 100_000, 100_000, 900_000]);
    needs.values_mut().for_each(|heard| heard.report.bounds = bounds(4));
    settle(&mut ledger, &needs, 4, &PLANNING);
    assert!(!ledger.seats.contains_key("n4") && !ledger.told("n4").unwrap().counted);
}

#[test]
fn need_follows_use_and_refusals_but_not_one_sample() {
    let mut need = Need::default();
    need.sample(0.1, 0.0, 0.25);
    need.sample(0.9, 0.0, 0.25);
    assert!((0.3..0.5).contains(&(f64::from(need.units()) / 1e6)));
    // Refusals count up to what is had: asked again and again they are no greater need.
    let mut pressed = Need::default();
    pressed.sample(0.25, 40.0, 0.25);
    assert_eq!(pressed.units(), 500_000);
    pressed.sample(f64::NAN, f64::INFINITY, 0.25);
    assert!(pressed.units() < 500_000);
}

proptest! {
    /// Whatever brokers say: it comes to rest, within the whole, and small changes after that move nothing.
    #[test]
    fn plans_come_to_rest_and_small_changes_move_nothing(
        rounds in prop::collection::vec(prop::collection::vec(0..1_200_000u32, 6), 1..5),
        noise in prop::collection::vec(0.97..1.03f64, 6),
    ) {
        let mut ledger = Ledger::default();
        for needs in &rounds {
            let moves = settle(&mut ledger, &heard(needs), 6, &PLANNING);
            prop_assert!(moves <= 8, "{} moves", moves);
            prop_assert!(ledger.counted("cold") <= u64::from(bounds(6).spare()));
        }
        let last = rounds.last().unwrap();
        let noisy: Vec<u32> = last.iter().zip(&noise).map(|(need, by)| (f64::from(*need) * by) as u32).collect();
        let moves = settle(&mut ledger, &heard(&noisy), 6, &PLANNING);
        prop_assert!(moves <= 2, "{} moves after noise", moves);
    }
}
