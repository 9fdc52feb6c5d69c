//! Who gets how much, round after round.

use std::collections::BTreeMap;

use dunepond_quota::*;
use proptest::prelude::*;
use rstest::rstest;

const PLANNING: PlannerConfig = PlannerConfig {
    rule: SplitRule::MaxMin,
    headroom_ratio: 1.25,
    min_step_ratio: 0.2,
    silent_after_seconds: 3.0,
    removed_after_seconds: 10.0,
};

fn bounds(brokers: u32) -> SharedQuotas {
    SharedQuotas::new(vec![String::from("cold")], brokers, 0.25, 1000).unwrap()
}

fn heard(needs: &[u32]) -> BTreeMap<String, ReceivedReport> {
    let of = |need: &u32| DemandReport {
        shrunk_generation: 0,
        shared: bounds(needs.len() as u32),
        demand_units: BTreeMap::from([(String::from("cold"), *need)]),
    };
    let named = needs.iter().enumerate();
    named
        .map(|(at, need)| (format!("n{at}"), ReceivedReport { report: of(need), age_seconds: 0.0 }))
        .collect()
}

/// Plans until nothing is entered any more; all that goes down is let go at once. Entries of parts.
fn settle(
    ledger: &mut QuotaLedger,
    needs: &BTreeMap<String, ReceivedReport>,
    brokers: u32,
    planning: &PlannerConfig,
) -> usize {
    let mut moved = 0;
    for _ in 0..200 {
        let Some(entry) = next_entry(ledger, &bounds(brokers), needs, 99.0, planning) else { return moved };
        moved += usize::from(matches!(entry, QuotaEntry::SetShares { .. }));
        ledger.apply(&entry).unwrap();
        let waiting = ledger.brokers.iter().filter(|(_, seat)| seat.awaits_release());
        let waiting: Vec<_> =
            waiting.map(|(broker, seat)| (broker.clone(), seat.shrunk_generation)).collect();
        for (broker, generation) in waiting {
            ledger.apply(&QuotaEntry::Release { broker, generation }).unwrap();
        }
    }
    panic!("it never comes to rest: {ledger:?}");
}

fn total(ledger: &QuotaLedger, broker: usize) -> u32 {
    62_500 + ledger.brokers[&format!("n{broker}")].granted_units("cold")
}

#[rstest]
#[case::even(SplitRule::Even, [187_500, 187_500, 187_500, 187_500])]
#[case::proportional(SplitRule::Proportional, [675_000, 37_500, 37_500, 0])]
#[case::max_min(SplitRule::MaxMin, [737_500, 0, 0, 0])]
fn rules_split_what_is_spare(#[case] rule: SplitRule, #[case] parts: [u32; 4]) {
    let needs = [900_000, 50_000, 50_000, 0];
    let split = target_units(rule, 750_000, 62_500, &needs);
    let near = split.iter().zip(&parts).all(|(a, b)| a.abs_diff(*b) <= 12_500);
    assert!(near && split.iter().sum::<u32>() <= 750_000, "{split:?}");
}

#[test]
fn need_moves_parts_and_none_is_under_the_floor() {
    let mut ledger = QuotaLedger::default();
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
    let mut ledger = QuotaLedger::default();
    settle(&mut ledger, &heard(&[900_000, 0, 0, 0]), 4, &PLANNING);
    settle(&mut ledger, &heard(&[1_000_000; 4]), 4, &PLANNING);
    // The step that is left alone is a fifth of an even part.
    assert!((0..4).all(|broker| total(&ledger, broker).abs_diff(250_000) <= 40_000), "{ledger:?}");
}

#[rstest]
#[case::silent(3.0, false)]
#[case::gone(11.0, true)]
fn a_broker_that_says_nothing_gives_back_and_then_its_seat(#[case] ago: f64, #[case] freed: bool) {
    let mut ledger = QuotaLedger::default();
    settle(&mut ledger, &heard(&[300_000; 4]), 4, &PLANNING);
    let mut needs = heard(&[300_000; 4]);
    needs.get_mut("n3").unwrap().age_seconds = ago;
    settle(&mut ledger, &needs, 4, &PLANNING);
    assert_eq!(ledger.brokers.contains_key("n3"), !freed);
    assert!(ledger.brokers.get("n3").is_none_or(|seat| seat.granted_units("cold") == 0));
}

#[test]
fn a_new_leader_takes_nothing_back_before_it_knows_who_is_there() {
    let mut ledger = QuotaLedger::default();
    settle(&mut ledger, &heard(&[300_000; 4]), 4, &PLANNING);
    assert_eq!(next_entry(&ledger, &bounds(4), &BTreeMap::new(), 2.9, &PLANNING), None);
    assert!(next_entry(&ledger, &bounds(4), &BTreeMap::new(), 3.0, &PLANNING).is_some());
}

#[test]
fn while_one_file_states_other_bounds_only_the_floors_hold() {
    let mut ledger = QuotaLedger::default();
    let mut needs = heard(&[300_000; 4]);
    settle(&mut ledger, &needs, 4, &PLANNING);
    needs.get_mut("n2").unwrap().report.shared = bounds(5);
    settle(&mut ledger, &needs, 4, &PLANNING);
    assert_eq!(ledger.reserved_units("cold"), 0);
    // Once the leader's own file is the new one, and all say the same, it is agreed on.
    needs.values_mut().for_each(|heard| heard.report.shared = bounds(5));
    settle(&mut ledger, &needs, 5, &PLANNING);
    assert_eq!(ledger.shared, Some(bounds(5)));
    assert!(ledger.reserved_units("cold") > 0);
}

#[test]
fn a_fifth_broker_of_four_gets_no_seat() {
    let mut ledger = QuotaLedger::default();
    let mut needs = heard(&[100_000, 100_000, 100_000, 100_000, 900_000]);
    needs.values_mut().for_each(|heard| heard.report.shared = bounds(4));
    settle(&mut ledger, &needs, 4, &PLANNING);
    assert!(!ledger.brokers.contains_key("n4") && !ledger.allocation_for("n4").unwrap().admitted);
}

#[test]
fn need_follows_use_and_refusals_but_not_one_sample() {
    let mut need = Demand::default();
    need.record_sample(0.1, 0.0, 0.25);
    need.record_sample(0.9, 0.0, 0.25);
    assert!((0.3..0.5).contains(&(f64::from(need.units()) / 1e6)));
    // Refusals count up to what is had: asked again and again they are no greater need.
    let mut pressed = Demand::default();
    pressed.record_sample(0.25, 40.0, 0.25);
    assert_eq!(pressed.units(), 500_000);
    pressed.record_sample(f64::NAN, f64::INFINITY, 0.25);
    assert!(pressed.units() < 500_000);
}

proptest! {
    /// Whatever brokers say: it comes to rest, within the whole, and small changes after that move nothing.
    #[test]
    fn plans_come_to_rest_and_small_changes_move_nothing(
        rounds in prop::collection::vec(prop::collection::vec(0..1_200_000u32, 6), 1..5),
        noise in prop::collection::vec(0.97..1.03f64, 6),
    ) {
        let mut ledger = QuotaLedger::default();
        for needs in &rounds {
            let moves = settle(&mut ledger, &heard(needs), 6, &PLANNING);
            prop_assert!(moves <= 8, "{} moves", moves);
            prop_assert!(ledger.reserved_units("cold") <= u64::from(bounds(6).spare_units()));
        }
        let last = rounds.last().unwrap();
        let noisy: Vec<u32> = last.iter().zip(&noise).map(|(need, by)| (f64::from(*need) * by) as u32).collect();
        let moves = settle(&mut ledger, &heard(&noisy), 6, &PLANNING);
        prop_assert!(moves <= 2, "{} moves after noise", moves);
    }
}
