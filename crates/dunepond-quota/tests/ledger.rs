//! The ledger against a naive one that remembers everything, and its refusals, one by one.

use std::collections::BTreeMap;

use dunepond_quota::*;
use proptest::prelude::*;
use rstest::rstest;

fn bounds(brokers: u32, share: f64) -> SharedQuotas {
    SharedQuotas::new(vec![String::from("cold"), String::from("further")], brokers, share, 1000).unwrap()
}

fn part(broker: usize, bound: &str, units: u32) -> QuotaShare {
    QuotaShare { broker: name(broker), quota: bound.to_string(), units }
}

fn name(broker: usize) -> String {
    format!("n{broker}")
}

fn parts(parts: &[(usize, u32)]) -> QuotaEntry {
    QuotaEntry::SetShares {
        shares: parts.iter().map(|(broker, units)| part(*broker, "cold", *units)).collect(),
    }
}

/// Three brokers, a floor of a tenth each, 700,000 units spare; all of them with the first.
fn led() -> QuotaLedger {
    let mut ledger = QuotaLedger::default();
    ledger.apply(&QuotaEntry::Configure(bounds(3, 0.3))).unwrap();
    (0..3).for_each(|broker| ledger.apply(&QuotaEntry::AddBroker { broker: name(broker) }).unwrap());
    ledger.apply(&parts(&[(0, 700_000)])).unwrap();
    ledger
}

#[test]
fn what_goes_down_counts_until_it_is_settled_and_only_then_another_goes_up() {
    let mut ledger = led();
    ledger.apply(&parts(&[(0, 200_000)])).unwrap();
    let grow = parts(&[(1, 500_000)]);
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
fn a_word_about_an_earlier_shrink_does_not_settle_a_later_one() {
    let mut ledger = led();
    ledger.apply(&parts(&[(0, 400_000)])).unwrap();
    let earlier = ledger.allocation_for("n0").unwrap().shrunk_generation;
    ledger.apply(&parts(&[(0, 100_000)])).unwrap();
    let refused = ledger.apply(&QuotaEntry::Release { broker: name(0), generation: earlier });
    assert!(matches!(refused, Err(QuotaError::NotAwaited { .. })));
}

#[test]
fn one_more_broker_than_may_exist_has_nothing_and_is_told_so() {
    let mut ledger = led();
    assert!(!ledger.allocation_for("n3").unwrap().admitted);
    let own = LocalQuota::new(&bounds(3, 0.3), 0.0);
    assert_eq!(own.available_units(ledger.allocation_for("n3").as_ref(), true, "cold", 9.0), 0);
    ledger.apply(&QuotaEntry::RemoveBroker { broker: name(2) }).unwrap();
    assert_eq!(own.available_units(ledger.allocation_for("n3").as_ref(), true, "cold", 9.0), 100_000);
}

#[rstest]
#[case::seat_full(QuotaEntry::AddBroker { broker: name(3) }, QuotaError::TooManyBrokers { broker: name(3), brokers: 3 })]
#[case::seat_twice(QuotaEntry::AddBroker { broker: name(1) }, QuotaError::BrokerExists(name(1)))]
#[case::free_holds(QuotaEntry::RemoveBroker { broker: name(0) },
    QuotaError::BrokerHoldsUnits { broker: name(0), quota: String::from("cold"), units: 700_000 })]
#[case::free_none(QuotaEntry::RemoveBroker { broker: name(7) }, QuotaError::UnknownBroker(name(7)))]
#[case::same_bounds(QuotaEntry::Configure(bounds(3, 0.3)), QuotaError::AlreadyConfigured)]
#[case::bounds_leased(QuotaEntry::Configure(bounds(4, 0.3)),
    QuotaError::StillLeased { quota: String::from("cold"), units: 700_000 })]
#[case::no_bound(QuotaEntry::SetShares { shares: vec![part(0, "warm", 1)] }, QuotaError::UnknownQuota(String::from("warm")))]
#[case::nothing(parts(&[(0, 700_000)]), QuotaError::NoChange)]
#[case::not_waited(QuotaEntry::Release { broker: name(0), generation: 1 },
    QuotaError::NotAwaited { broker: name(0), generation: 1 })]
#[case::past(parts(&[(2, 1)]),
    QuotaError::ExceedsTotal { quota: String::from("cold"), units: 700_001, spare: 700_000 })]
fn an_entry_that_does_not_fit_changes_nothing(#[case] entry: QuotaEntry, #[case] why: QuotaError) {
    let mut ledger = led();
    let before = ledger.clone();
    assert_eq!(ledger.apply(&entry), Err(why));
    assert_eq!(ledger, before);
}

#[rstest]
#[case::share(SharedQuotas::new(vec![String::from("cold")], 3, 0.0, 1), "above 0")]
#[case::brokers(SharedQuotas::new(vec![String::from("cold")], 0, 0.5, 1), "0 brokers")]
#[case::none(SharedQuotas::new(vec![], 3, 0.5, 1), "0 quotas")]
#[case::doubled(SharedQuotas::new(vec![String::from("cold"), String::from("cold")], 3, 0.5, 1), "`cold` is named twice")]
#[case::window(SharedQuotas::new(vec![String::from("cold")], 3, 0.5, 0), "0 ms")]
fn bounds_that_cannot_be_are_refused(#[case] bounds: Result<SharedQuotas, QuotaError>, #[case] words: &str) {
    assert!(bounds.unwrap_err().to_string().contains(words));
}

#[test]
fn every_error_says_what_to_do() {
    let (broker, bound) = (name(1), String::from("cold"));
    let all = [
        QuotaError::FloorRatio(2.0),
        QuotaError::BrokerCount { given: 0, max: 1 },
        QuotaError::QuotaCount { given: 0, max: 1 },
        QuotaError::DuplicateQuota(bound.clone()),
        QuotaError::FloorsExceedTotal { floor_units: 1, brokers: 1 },
        QuotaError::Window { given: 0, max: 1 },
        QuotaError::NotConfigured,
        QuotaError::StillLeased { quota: bound.clone(), units: 1 },
        QuotaError::AlreadyConfigured,
        QuotaError::TooManyBrokers { broker: broker.clone(), brokers: 1 },
        QuotaError::BrokerExists(broker.clone()),
        QuotaError::UnknownBroker(broker.clone()),
        QuotaError::BrokerHoldsUnits { broker: broker.clone(), quota: bound.clone(), units: 1 },
        QuotaError::UnknownQuota(bound.clone()),
        QuotaError::ExceedsTotal { quota: bound, units: 1, spare: 1 },
        QuotaError::NoChange,
        QuotaError::NotAwaited { broker: broker.clone(), generation: 1 },
        QuotaError::LeaderOnly(broker),
    ];
    for error in all {
        // A variant that is missing above does not build here.
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

/// Remembers all that each broker may still act on: a list of sizes, cut when it has let go.
#[derive(Default)]
struct Naive(BTreeMap<(usize, &'static str), Vec<u32>>);

impl Naive {
    fn most(&self, bound: &str) -> u64 {
        let of = self.0.iter().filter(|((_, name), _)| *name == bound);
        of.map(|(_, sizes)| u64::from(*sizes.iter().max().unwrap())).sum()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Part(usize, bool, u32),
    /// The word about the last shrink, or about one before it.
    Settle(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3usize, any::<bool>(), 0..400_000u32).prop_map(|(a, b, c)| Step::Part(a, b, c)),
        1 => (0..3usize, 0..2u64).prop_map(|(a, b)| Step::Settle(a, b)),
    ]
}

proptest! {
    #[test]
    fn the_sum_of_all_that_may_still_be_acted_on_stays_within(steps in prop::collection::vec(step(), 1..60)) {
        let (mut ledger, mut naive) = (QuotaLedger::default(), Naive::default());
        ledger.apply(&QuotaEntry::Configure(bounds(3, 0.3))).unwrap();
        (0..3).for_each(|broker| ledger.apply(&QuotaEntry::AddBroker { broker: name(broker) }).unwrap());
        let mut shrinks: BTreeMap<usize, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Part(broker, cold, units) => {
                    let bound = if cold { "cold" } else { "further" };
                    let sizes = naive.0.entry((broker, bound)).or_insert(vec![0]);
                    let before = *sizes.last().unwrap();
                    sizes.push(units);
                    let fits = naive.most(bound) <= 700_000 && units != before;
                    let entry = QuotaEntry::SetShares { shares: vec![part(broker, bound, units)] };
                    let taken = ledger.apply(&entry).is_ok();
                    prop_assert_eq!(taken, fits);
                    if !taken {
                        naive.0.get_mut(&(broker, bound)).unwrap().pop();
                    } else if units < before {
                        shrinks.insert(broker, ledger.generation);
                    }
                }
                Step::Settle(broker, back) => {
                    let generation = shrinks.get(&broker).copied().unwrap_or(1) - back;
                    let taken = ledger.apply(&QuotaEntry::Release { broker: name(broker), generation }).is_ok();
                    if taken {
                        prop_assert_eq!(back, 0);
                        let of = naive.0.iter_mut().filter(|((of, _), _)| *of == broker);
                        of.for_each(|(_, sizes)| drop(sizes.drain(..sizes.len() - 1)));
                    }
                }
            }
            for bound in ["cold", "further"] {
                prop_assert_eq!(ledger.reserved_units(bound), naive.most(bound));
                prop_assert!(ledger.reserved_units(bound) + 300_000 <= u64::from(TOTAL_UNITS));
            }
        }
    }
}
