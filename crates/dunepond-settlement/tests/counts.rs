//! Counts: merge laws, restarts, folds, forged rows.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_settlement::{BrokerPartners, CarriedCounts, LocalCounts, SettlementError};
use proptest::prelude::*;
use rstest::rstest;

const PARTNERS: [&str; 3] = ["east", "north", "south"];

fn broker_partners(metered: &[&str]) -> BrokerPartners {
    let partner_of = [("e1", "east"), ("n1", "north"), ("n2", "north")];
    BrokerPartners {
        partner_of: partner_of.map(|(b, p)| (b.to_string(), p.to_string())).into(),
        metered: metered.iter().map(|p| p.to_string()).collect::<BTreeSet<_>>(),
    }
}

fn counts(cells: &[(usize, u64, usize, usize, u64)]) -> CarriedCounts {
    let mut counts = CarriedCounts::new();
    for &(broker, incarnation, carrier, owed_by, bytes) in cells {
        counts.record(&format!("b{broker}"), incarnation, PARTNERS[carrier], PARTNERS[owed_by], bytes);
    }
    counts
}

fn merged(a: &CarriedCounts, b: &CarriedCounts) -> CarriedCounts {
    let mut both = a.clone();
    both.merge(b);
    both
}

fn some() -> impl Strategy<Value = CarriedCounts> {
    prop::collection::vec((0..3usize, 0..4u64, 0..3usize, 0..3usize, 1..1000u64), 0..12)
        .prop_map(|c| counts(&c))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::with_cases(256) })]

    #[test]
    fn merge_is_a_join(a in some(), b in some(), c in some()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b));
    }

    /// Brokers that count, store, send, crash back to what they stored, restart and fold, with every message late, duplicated
    /// and out of order: in the end all know the same, which is all that was ever stored, and no count decreases.
    #[test]
    fn counts_survive_restarts(acts in prop::collection::vec((0..6u8, 0..3usize, 0..3usize, 1..100u64, any::<prop::sample::Index>()), 1..80)) {
        let none = BrokerPartners::default();
        let name = |b: usize| format!("b{b}");
        let mut locals: Vec<LocalCounts> = (0..3).map(|b| LocalCounts::open(None, &name(b), 0).unwrap()).collect();
        let mut stored = locals.clone();
        let mut truth: BTreeMap<usize, u64> = BTreeMap::new();
        let mut kept = truth.clone();
        let mut sent: Vec<(usize, CarriedCounts)> = Vec::new();
        for (act, b, other, bytes, any) in acts {
            match act {
                0 | 1 => {
                    locals[b].record("north", "south", bytes);
                    *truth.entry(b).or_default() += bytes;
                }
                2 => {
                    stored[b] = locals[b].clone();
                    kept.insert(b, truth.get(&b).copied().unwrap_or(0));
                    sent.push((b, locals[b].counts().clone()));
                }
                3 if !sent.is_empty() => {
                    let (from, counts) = &sent[any.index(sent.len())];
                    let before = locals[other].counts().total("north", "south");
                    locals[other].merge_from_peer(&name(*from), counts, &none).unwrap();
                    let after = locals[other].counts().total("north", "south");
                    prop_assert!(after >= before, "{} fell to {}", before, after);
                }
                4 => {
                    let incarnation = locals[b].incarnation() + 1;
                    locals[b] = LocalCounts::open(Some(stored[b].clone()), &name(b), incarnation).unwrap();
                    stored[b] = locals[b].clone();
                    truth.insert(b, kept.get(&b).copied().unwrap_or(0));
                }
                _ => {}
            }
        }
        sent.extend(locals.iter().enumerate().map(|(b, local)| (b, local.counts().clone())));
        for local in &mut locals {
            for (from, counts) in sent.iter().rev().chain(&sent) {
                local.merge_from_peer(&name(*from), counts, &none).unwrap();
            }
            prop_assert_eq!(local.counts().total("north", "south"), truth.values().sum::<u64>());
        }
    }
}

/// A thousand restarts leave one sum and one incarnation, not a thousand.
#[rstest]
fn restarts_do_not_grow_the_counts() {
    let mut local = LocalCounts::open(None, "n1", 0).unwrap();
    for incarnation in 1..=1000 {
        local.record("north", "south", 10);
        local = LocalCounts::open(Some(local), "n1", incarnation).unwrap();
    }
    assert_eq!((local.counts().total("north", "south"), local.counts().cell_count()), (10_000, 1));
    let bytes = postcard::to_stdvec(&local).unwrap();
    assert!(bytes.len() < 100, "{}", bytes.len());
    assert_eq!(postcard::from_bytes::<LocalCounts>(&bytes).unwrap(), local);
    // What is counted under a number that was folded would fall away with the next merge: it never shows.
    let mut late = local.counts().clone();
    late.record("n1", 999, "north", "south", 5);
    assert_eq!(&late, local.counts());
}

/// Counts of before the folder was lost, heard from others, are not folded: a peer that was cut off may know more of them.
#[rstest]
fn lost_folder_delays_folding() {
    let (none, mut first) = (BrokerPartners::default(), LocalCounts::open(None, "n1", 1).unwrap());
    first.record("north", "south", 100);
    let early = first.counts().clone();
    first.record("north", "south", 900);
    let late = first.counts().clone();
    let mut anew = LocalCounts::open(None, "n1", 5).unwrap();
    anew.merge_from_peer("n2", &early, &none).unwrap();
    anew.record("north", "south", 7);
    let mut anew = LocalCounts::open(Some(anew), "n1", 6).unwrap();
    assert_eq!(anew.counts().total("north", "south"), 107);
    anew.merge_from_peer("e1", &late, &none).unwrap();
    assert_eq!(anew.counts().total("north", "south"), 1007);
}

/// An old folder put back: the number of the incarnation was used before, and what is counted under it must not hide.
#[rstest]
fn old_folder_gets_new_incarnation() {
    let (none, mut old) = (BrokerPartners::default(), LocalCounts::open(None, "n1", 1).unwrap());
    let backup = old.clone();
    let mut used = LocalCounts::open(Some(old.clone()), "n1", 2).unwrap();
    used.record("north", "south", 500);
    old = LocalCounts::open(Some(backup), "n1", 2).unwrap();
    old.merge_from_peer("n2", used.counts(), &none).unwrap();
    assert_eq!(old.incarnation(), 3);
    old.record("north", "south", 20);
    assert_eq!(old.counts().total("north", "south"), 520);
}

#[rstest]
fn foreign_or_newer_folder_is_rejected() {
    let kept = LocalCounts::open(None, "n1", 4).unwrap();
    let other = LocalCounts::open(Some(kept.clone()), "n2", 5);
    assert_eq!(other, Err(SettlementError::OtherBroker { stored: "n1".into(), broker: "n2".into() }));
    assert!(matches!(
        LocalCounts::open(Some(kept), "n1", 4),
        Err(SettlementError::StaleIncarnation { stored: 4, .. })
    ));
}

/// A creditor's broker tells its own rows, and none of what the debtor's brokers saw.
#[rstest]
fn rows_of_other_partners_are_rejected() {
    let mut forged = CarriedCounts::new();
    forged.record("e1", 1, "east", "north", 1000);
    forged.record("n1", 1, "east", "north", 1000);
    forged.record("w9", 1, "east", "north", 5);
    let mut counts = CarriedCounts::new();
    assert_eq!(counts.merge_from("e1", &forged, &broker_partners(&["east"])), Ok(1));
    assert_eq!(counts.total("east", "north"), 1005);
    // The dead n1's row comes from its own side.
    assert_eq!(counts.merge_from("n2", &forged, &broker_partners(&[])), Ok(1));
    assert_eq!(counts.total("east", "north"), 2005);
}

#[rstest]
fn too_many_rows_are_rejected() {
    let mut flood = CarriedCounts::new();
    (0..100_001).for_each(|i| flood.record(&format!("b{i}"), 1, "east", "north", 1));
    let mut counts = CarriedCounts::new();
    let refused = counts.merge_from("e1", &flood, &broker_partners(&[]));
    assert!(matches!(refused, Err(SettlementError::TooManyCells { cells: 100_001, .. })));
    assert_eq!(counts, CarriedCounts::new());
}
