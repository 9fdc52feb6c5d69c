//! Tests of the quota ledger: entries that it rejects, and a property test against a reference ledger.

use std::collections::BTreeMap;

use dunepond_quota::*;
use proptest::prelude::*;
use rstest::rstest;

fn shared_quotas(brokers: u32, floor_ratio: f64) -> SharedQuotas {
    SharedQuotas::new(vec![String::from("cold"), String::from("further")], brokers, floor_ratio, 1000)
        .unwrap()
}

fn share(broker: usize, quota: &str, units: u32) -> QuotaShare {
    QuotaShare { broker: name(broker), quota: quota.to_string(), units }
}

fn name(broker: usize) -> String {
    format!("n{broker}")
}

fn set_shares(shares: &[(usize, u32)]) -> QuotaEntry {
    QuotaEntry::SetShares {
        shares: shares.iter().map(|(broker, units)| share(*broker, "cold", *units)).collect(),
    }
}

/// A ledger with three brokers, each with a floor of a tenth of the total; all 700,000 spare units are leased to the
/// first broker.
fn leased_ledger() -> QuotaLedger {
    let mut ledger = QuotaLedger::default();
    ledger.apply(&QuotaEntry::Configure(shared_quotas(3, 0.3))).unwrap();
    (0..3).for_each(|broker| ledger.apply(&QuotaEntry::AddBroker { broker: name(broker) }).unwrap());
    ledger.apply(&set_shares(&[(0, 700_000)])).unwrap();
    ledger
}

#[test]
fn shrunk_share_is_reserved_until_release() {
    let mut ledger = leased_ledger();
    ledger.apply(&set_shares(&[(0, 200_000)])).unwrap();
    let grow = set_shares(&[(1, 500_000)]);
    assert!(matches!(
        ledger.apply(&grow),
        Err(QuotaError::ExceedsTotal { units: 1_200_000, spare: 700_000, .. })
    ));
    let generation = ledger.allocation_for("n0").unwrap().shrunk_generation;
    ledger.apply(&QuotaEntry::Release { broker: name(0), generation }).unwrap();
    ledger.apply(&grow).unwrap();
    assert_eq!(ledger.allocation_for("n1").unwrap().leased_units["cold"], 500_000);
}

#[test]
fn release_of_earlier_shrink_is_rejected() {
    let mut ledger = leased_ledger();
    ledger.apply(&set_shares(&[(0, 400_000)])).unwrap();
    let earlier_generation = ledger.allocation_for("n0").unwrap().shrunk_generation;
    ledger.apply(&set_shares(&[(0, 100_000)])).unwrap();
    let result = ledger.apply(&QuotaEntry::Release { broker: name(0), generation: earlier_generation });
    assert!(matches!(result, Err(QuotaError::NotAwaited { .. })));
}

#[test]
fn excess_broker_is_not_admitted() {
    let mut ledger = leased_ledger();
    assert!(!ledger.allocation_for("n3").unwrap().admitted);
    let own = LocalQuota::new(&shared_quotas(3, 0.3), 0.0);
    assert_eq!(own.available_units(ledger.allocation_for("n3").as_ref(), true, "cold", 9.0), 0);
    ledger.apply(&QuotaEntry::RemoveBroker { broker: name(2) }).unwrap();
    assert_eq!(own.available_units(ledger.allocation_for("n3").as_ref(), true, "cold", 9.0), 100_000);
}

#[rstest]
#[case::too_many_brokers(QuotaEntry::AddBroker { broker: name(3) }, QuotaError::TooManyBrokers { broker: name(3), brokers: 3 })]
#[case::broker_exists(QuotaEntry::AddBroker { broker: name(1) }, QuotaError::BrokerExists(name(1)))]
#[case::broker_holds_units(QuotaEntry::RemoveBroker { broker: name(0) },
    QuotaError::BrokerHoldsUnits { broker: name(0), quota: String::from("cold"), units: 700_000 })]
#[case::unknown_broker(QuotaEntry::RemoveBroker { broker: name(7) }, QuotaError::UnknownBroker(name(7)))]
#[case::same_quotas(QuotaEntry::Configure(shared_quotas(3, 0.3)), QuotaError::AlreadyConfigured)]
#[case::still_leased(QuotaEntry::Configure(shared_quotas(4, 0.3)),
    QuotaError::StillLeased { quota: String::from("cold"), units: 700_000 })]
#[case::unknown_quota(QuotaEntry::SetShares { shares: vec![share(0, "warm", 1)] }, QuotaError::UnknownQuota(String::from("warm")))]
#[case::no_change(set_shares(&[(0, 700_000)]), QuotaError::NoChange)]
#[case::not_awaited(QuotaEntry::Release { broker: name(0), generation: 1 },
    QuotaError::NotAwaited { broker: name(0), generation: 1 })]
#[case::exceeds_total(set_shares(&[(2, 1)]),
    QuotaError::ExceedsTotal { quota: String::from("cold"), units: 700_001, spare: 700_000 })]
fn rejected_entry_changes_nothing(#[case] entry: QuotaEntry, #[case] error: QuotaError) {
    let mut ledger = leased_ledger();
    let before = ledger.clone();
    assert_eq!(ledger.apply(&entry), Err(error));
    assert_eq!(ledger, before);
}

#[rstest]
#[case::floor_ratio(SharedQuotas::new(vec![String::from("cold")], 3, 0.0, 1), "above 0")]
#[case::broker_count(SharedQuotas::new(vec![String::from("cold")], 0, 0.5, 1), "0 brokers")]
#[case::no_quotas(SharedQuotas::new(vec![], 3, 0.5, 1), "0 quotas")]
#[case::duplicate_quota(SharedQuotas::new(vec![String::from("cold"), String::from("cold")], 3, 0.5, 1), "`cold` is named twice")]
#[case::window(SharedQuotas::new(vec![String::from("cold")], 3, 0.5, 0), "0 ms")]
fn rejects_invalid_quotas(#[case] quotas: Result<SharedQuotas, QuotaError>, #[case] text: &str) {
    assert!(quotas.unwrap_err().to_string().contains(text));
}

#[test]
fn every_error_has_message_and_help() {
    let (broker, quota) = (name(1), String::from("cold"));
    let all = [
        QuotaError::FloorRatio(2.0),
        QuotaError::BrokerCount { given: 0, max: 1 },
        QuotaError::QuotaCount { given: 0, max: 1 },
        QuotaError::DuplicateQuota(quota.clone()),
        QuotaError::FloorsExceedTotal { floor_units: 1, brokers: 1 },
        QuotaError::Window { given: 0, max: 1 },
        QuotaError::NotConfigured,
        QuotaError::StillLeased { quota: quota.clone(), units: 1 },
        QuotaError::AlreadyConfigured,
        QuotaError::TooManyBrokers { broker: broker.clone(), brokers: 1 },
        QuotaError::BrokerExists(broker.clone()),
        QuotaError::UnknownBroker(broker.clone()),
        QuotaError::BrokerHoldsUnits { broker: broker.clone(), quota: quota.clone(), units: 1 },
        QuotaError::UnknownQuota(quota.clone()),
        QuotaError::ExceedsTotal { quota, units: 1, spare: 1 },
        QuotaError::NoChange,
        QuotaError::NotAwaited { broker: broker.clone(), generation: 1 },
        QuotaError::LeaderOnly(broker),
    ];
    for error in all {
        // This match stops compiling when a variant is added to the enum. The new variant must then be added here and
        // to `all`.
        match &error {
            QuotaError::FloorRatio(_)
            | QuotaError::BrokerCount { .. }
            | QuotaError::QuotaCount { .. }
            | QuotaError::DuplicateQuota(_)
            | QuotaError::FloorsExceedTotal { .. }
            | QuotaError::Window { .. }
            | QuotaError::NotConfigured
            | QuotaError::StillLeased { .. }
            | QuotaError::AlreadyConfigured
            | QuotaError::TooManyBrokers { .. }
            | QuotaError::BrokerExists(_)
            | QuotaError::UnknownBroker(_)
            | QuotaError::BrokerHoldsUnits { .. }
            | QuotaError::UnknownQuota(_)
            | QuotaError::ExceedsTotal { .. }
            | QuotaError::NoChange
            | QuotaError::NotAwaited { .. }
            | QuotaError::LeaderOnly(_) => {}
        }
        assert!(error.to_string().starts_with("limits: ") && error.help().len() > 15, "{error}");
    }
}

/// Reference model of the ledger. For each broker and quota, it lists all sizes of the share since the last release,
/// newest last: the broker may still use any of them.
#[derive(Default)]
struct ReferenceLedger(BTreeMap<(usize, &'static str), Vec<u32>>);

impl ReferenceLedger {
    fn reserved_units(&self, quota: &str) -> u64 {
        let sizes = self.0.iter().filter(|((_, name), _)| *name == quota);
        sizes.map(|(_, sizes)| u64::from(*sizes.iter().max().unwrap())).sum()
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Sets a broker's share of a quota to a number of units. If the flag is true, the quota is `cold`, otherwise `further`.
    SetShare(usize, bool, u32),
    /// Releases a broker's units at the generation of its last shrink minus this number; the ledger may accept only 0.
    Release(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3usize, any::<bool>(), 0..400_000u32).prop_map(|(a, b, c)| Step::SetShare(a, b, c)),
        1 => (0..3usize, 0..2u64).prop_map(|(a, b)| Step::Release(a, b)),
    ]
}

proptest! {
    #[test]
    fn reserved_sum_stays_within_total(steps in prop::collection::vec(step(), 1..60)) {
        let (mut ledger, mut reference) = (QuotaLedger::default(), ReferenceLedger::default());
        ledger.apply(&QuotaEntry::Configure(shared_quotas(3, 0.3))).unwrap();
        (0..3).for_each(|broker| ledger.apply(&QuotaEntry::AddBroker { broker: name(broker) }).unwrap());
        let mut shrinks: BTreeMap<usize, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::SetShare(broker, is_cold, units) => {
                    let quota = if is_cold { "cold" } else { "further" };
                    let sizes = reference.0.entry((broker, quota)).or_insert(vec![0]);
                    let before = *sizes.last().unwrap();
                    sizes.push(units);
                    let fits = reference.reserved_units(quota) <= 700_000 && units != before;
                    let entry = QuotaEntry::SetShares { shares: vec![share(broker, quota, units)] };
                    let accepted = ledger.apply(&entry).is_ok();
                    prop_assert_eq!(accepted, fits);
                    if !accepted {
                        reference.0.get_mut(&(broker, quota)).unwrap().pop();
                    } else if units < before {
                        shrinks.insert(broker, ledger.generation);
                    }
                }
                Step::Release(broker, generations_back) => {
                    let generation = shrinks.get(&broker).copied().unwrap_or(1) - generations_back;
                    let accepted = ledger.apply(&QuotaEntry::Release { broker: name(broker), generation }).is_ok();
                    if accepted {
                        prop_assert_eq!(generations_back, 0);
                        let sizes = reference.0.iter_mut().filter(|((holder, _), _)| *holder == broker);
                        sizes.for_each(|(_, sizes)| drop(sizes.drain(..sizes.len() - 1)));
                    }
                }
            }
            for quota in ["cold", "further"] {
                prop_assert_eq!(ledger.reserved_units(quota), reference.reserved_units(quota));
                prop_assert!(ledger.reserved_units(quota) + 300_000 <= u64::from(TOTAL_UNITS));
            }
        }
    }
}
