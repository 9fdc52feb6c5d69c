//! Tests of the planner and the demand estimate: how shares follow demand over successive plans.

use std::collections::BTreeMap;

use dunepond_quota::*;
use proptest::prelude::*;
use rstest::rstest;

const CONFIG: PlannerConfig = PlannerConfig {
    rule: SplitRule::MaxMin,
    headroom_ratio: 1.25,
    min_step_ratio: 0.2,
    silent_after_seconds: 3.0,
    removed_after_seconds: 10.0,
};

fn shared_quotas(brokers: u32) -> SharedQuotas {
    SharedQuotas::new(vec![String::from("cold")], brokers, 0.25, 1000).unwrap()
}

fn reports(demands: &[u32]) -> BTreeMap<String, ReceivedReport> {
    let report = |demand: &u32| DemandReport {
        shrunk_generation: 0,
        shared: shared_quotas(demands.len() as u32),
        demand_units: BTreeMap::from([(String::from("cold"), *demand)]),
    };
    let numbered = demands.iter().enumerate();
    numbered
        .map(|(at, demand)| (format!("n{at}"), ReceivedReport { report: report(demand), age_seconds: 0.0 }))
        .collect()
}

/// Applies planned entries until the planner proposes none. If an entry shrinks shares, the units that stay reserved for
/// them are released immediately after it. Returns the number of entries that set shares.
fn plan_until_stable(
    ledger: &mut QuotaLedger,
    received: &BTreeMap<String, ReceivedReport>,
    brokers: u32,
    config: &PlannerConfig,
) -> usize {
    let mut set_count = 0;
    for _ in 0..200 {
        let Some(entry) = next_entry(ledger, &shared_quotas(brokers), received, 99.0, config) else {
            return set_count;
        };
        set_count += usize::from(matches!(entry, QuotaEntry::SetShares { .. }));
        ledger.apply(&entry).unwrap();
        let shrunk = ledger.brokers.iter().filter(|(_, shares)| shares.awaits_release());
        let shrunk: Vec<_> =
            shrunk.map(|(broker, shares)| (broker.clone(), shares.shrunk_generation)).collect();
        for (broker, generation) in shrunk {
            ledger.apply(&QuotaEntry::Release { broker, generation }).unwrap();
        }
    }
    panic!("the planner still proposes entries after 200 plans: {ledger:?}");
}

/// Units of `cold` that a broker may use if four brokers share the quota: its floor and its granted units.
fn held_units(ledger: &QuotaLedger, broker: usize) -> u32 {
    62_500 + ledger.brokers[&format!("n{broker}")].granted_units("cold")
}

#[rstest]
#[case::even(SplitRule::Even, [187_500, 187_500, 187_500, 187_500])]
#[case::proportional(SplitRule::Proportional, [675_000, 37_500, 37_500, 0])]
#[case::max_min(SplitRule::MaxMin, [737_500, 0, 0, 0])]
fn rules_split_spare_units(#[case] rule: SplitRule, #[case] expected: [u32; 4]) {
    let demands = [900_000, 50_000, 50_000, 0];
    let split = target_units(rule, 750_000, 62_500, &demands);
    let is_near_expected = split.iter().zip(&expected).all(|(a, b)| a.abs_diff(*b) <= 12_500);
    assert!(is_near_expected && split.iter().sum::<u32>() <= 750_000, "{split:?}");
}

#[test]
fn shares_follow_demand_above_floor() {
    let mut ledger = QuotaLedger::default();
    let even_demand = reports(&[100_000; 4]);
    plan_until_stable(&mut ledger, &even_demand, 4, &CONFIG);
    plan_until_stable(&mut ledger, &reports(&[700_000, 20_000, 20_000, 0]), 4, &CONFIG);
    assert!(held_units(&ledger, 0) >= 700_000, "{}", held_units(&ledger, 0));
    assert!((1..4).all(|broker| held_units(&ledger, broker) >= 62_500));
    plan_until_stable(&mut ledger, &reports(&[0, 20_000, 700_000, 0]), 4, &CONFIG);
    assert!(held_units(&ledger, 2) >= 700_000);
}

#[test]
fn equal_demand_gets_equal_shares() {
    let mut ledger = QuotaLedger::default();
    plan_until_stable(&mut ledger, &reports(&[900_000, 0, 0, 0]), 4, &CONFIG);
    plan_until_stable(&mut ledger, &reports(&[1_000_000; 4]), 4, &CONFIG);
    // The planner ignores differences below a fifth of an even share.
    assert!((0..4).all(|broker| held_units(&ledger, broker).abs_diff(250_000) <= 40_000), "{ledger:?}");
}

#[rstest]
#[case::silent(3.0, false)]
#[case::removed(11.0, true)]
fn silent_broker_loses_shares_and_is_removed(#[case] age_seconds: f64, #[case] removed: bool) {
    let mut ledger = QuotaLedger::default();
    plan_until_stable(&mut ledger, &reports(&[300_000; 4]), 4, &CONFIG);
    let mut received = reports(&[300_000; 4]);
    received.get_mut("n3").unwrap().age_seconds = age_seconds;
    plan_until_stable(&mut ledger, &received, 4, &CONFIG);
    assert_eq!(ledger.brokers.contains_key("n3"), !removed);
    assert!(ledger.brokers.get("n3").is_none_or(|shares| shares.granted_units("cold") == 0));
}

#[test]
fn new_leader_waits_before_reclaiming() {
    let mut ledger = QuotaLedger::default();
    plan_until_stable(&mut ledger, &reports(&[300_000; 4]), 4, &CONFIG);
    assert_eq!(next_entry(&ledger, &shared_quotas(4), &BTreeMap::new(), 2.9, &CONFIG), None);
    assert!(next_entry(&ledger, &shared_quotas(4), &BTreeMap::new(), 3.0, &CONFIG).is_some());
}

#[test]
fn differing_files_leave_only_floors() {
    let mut ledger = QuotaLedger::default();
    let mut received = reports(&[300_000; 4]);
    plan_until_stable(&mut ledger, &received, 4, &CONFIG);
    received.get_mut("n2").unwrap().report.shared = shared_quotas(5);
    plan_until_stable(&mut ledger, &received, 4, &CONFIG);
    assert_eq!(ledger.reserved_units("cold"), 0);
    // The ledger gets the new quotas once they are in the leader's own configuration file and in all brokers' reports.
    received.values_mut().for_each(|report| report.report.shared = shared_quotas(5));
    plan_until_stable(&mut ledger, &received, 5, &CONFIG);
    assert_eq!(ledger.shared, Some(shared_quotas(5)));
    assert!(ledger.reserved_units("cold") > 0);
}

#[test]
fn excess_broker_is_not_added() {
    let mut ledger = QuotaLedger::default();
    let mut received = reports(&[100_000, 100_000, 100_000, 100_000, 900_000]);
    received.values_mut().for_each(|report| report.report.shared = shared_quotas(4));
    plan_until_stable(&mut ledger, &received, 4, &CONFIG);
    assert!(!ledger.brokers.contains_key("n4") && !ledger.allocation_for("n4").unwrap().admitted);
}

#[test]
fn demand_smooths_use_and_rejections() {
    let mut demand = Demand::default();
    demand.record_sample(0.1, 0.0, 0.25);
    demand.record_sample(0.9, 0.0, 0.25);
    assert!((0.3..0.5).contains(&(f64::from(demand.units()) / 1e6)));
    // Rejected demand counts only up to the available share. Without this limit, a request that is retried and rejected
    // repeatedly would count once for each rejection.
    let mut overloaded = Demand::default();
    overloaded.record_sample(0.25, 40.0, 0.25);
    assert_eq!(overloaded.units(), 500_000);
    overloaded.record_sample(f64::NAN, f64::INFINITY, 0.25);
    assert!(overloaded.units() < 500_000);
}

proptest! {
    /// Plans become stable within the total for any reports, and small changes of demand afterwards change few shares.
    #[test]
    fn plans_become_stable_and_ignore_noise(
        rounds in prop::collection::vec(prop::collection::vec(0..1_200_000u32, 6), 1..5),
        noise in prop::collection::vec(0.97..1.03f64, 6),
    ) {
        let mut ledger = QuotaLedger::default();
        for demands in &rounds {
            let set_count = plan_until_stable(&mut ledger, &reports(demands), 6, &CONFIG);
            prop_assert!(set_count <= 8, "{} entries set shares", set_count);
            prop_assert!(ledger.reserved_units("cold") <= u64::from(shared_quotas(6).spare_units()));
        }
        let last = rounds.last().unwrap();
        let noisy: Vec<u32> = last.iter().zip(&noise).map(|(demand, factor)| (f64::from(*demand) * factor) as u32).collect();
        let set_count = plan_until_stable(&mut ledger, &reports(&noisy), 6, &CONFIG);
        prop_assert!(set_count <= 2, "{} entries set shares after noise", set_count);
    }
}
