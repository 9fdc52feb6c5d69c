//! Tests of net debts, discrepancies, service weights, settlements and shares.

use std::collections::BTreeSet;

use dunepond_settlement::*;
use proptest::prelude::*;
use rstest::rstest;

fn broker_partners() -> BrokerPartners {
    let partner_of = [("a1", "a"), ("b1", "b"), ("c1", "c")]
        .map(|(broker, partner)| (broker.to_string(), partner.to_string()));
    BrokerPartners { partner_of: partner_of.into(), metered: BTreeSet::from(["b".to_string()]) }
}

fn terms() -> SettlementTerms {
    SettlementTerms {
        tolerance_ratio: 0.1,
        slack_bytes: 0,
        half_life_seconds: 100.0,
        ..SettlementTerms::default()
    }
}

/// Balances with the given debts (debtor, creditor, bytes), counted by a broker that belongs to no partner.
fn balances(debts: &[(&str, &str, u64)]) -> Balances {
    let mut counts = CarriedCounts::new();
    debts.iter().for_each(|(debtor, creditor, bytes)| counts.record("w", 1, creditor, debtor, *bytes));
    let mut balances = Balances::new(terms(), broker_partners(), SettlementLedger::default()).unwrap();
    balances.update_counts(0.0, &counts);
    balances
}

/// A settlement of a part of what `a` owes `b`.
fn settlement(fill: &str, broker: &str, bytes: u64) -> Settlement {
    Settlement {
        id: format!("{fill}@{broker}"),
        debtor: "a".into(),
        creditor: "b".into(),
        bytes,
        segment: 1,
        holder: "h".into(),
        source: "s".into(),
    }
}

/// An allotment of what `a` owes `b`; `parts` are brokers and bytes.
fn allotment(number: u64, debt: u64, parts: &[(&str, u64)]) -> Allotment {
    let parts = parts.iter().map(|(broker, bytes)| (broker.to_string(), *bytes).into()).collect();
    Allotment { number, debtor: "a".into(), creditor: "b".into(), debt, parts }
}

fn settle(
    balances: &mut Balances,
    fill: &str,
    broker: &str,
    bytes: u64,
) -> Result<ApplyOutcome, SettlementError> {
    balances.apply(&SettlementEntry::Settle(settlement(fill, broker, bytes)))
}

#[rstest]
#[case::carrier_claims_ten_times(1000, 100, 100, 900)]
#[case::carrier_counts_less(50, 100, 50, 50)]
#[case::within_tolerance(105, 100, 100, 0)]
#[case::not_seen_by_debtor(70, 0, 0, 70)]
fn smaller_count_is_used(
    #[case] carrier_bytes: u64,
    #[case] debtor_bytes: u64,
    #[case] gross_bytes: u64,
    #[case] uncounted_bytes: u64,
) {
    let mut counts = CarriedCounts::new();
    counts.record("b1", 1, "b", "a", carrier_bytes);
    counts.record("a1", 1, "b", "a", debtor_bytes);
    let mut balances = Balances::new(terms(), broker_partners(), SettlementLedger::default()).unwrap();
    balances.update_counts(0.0, &counts);
    assert_eq!(balances.gross("b", "a"), gross_bytes);
    assert_eq!(
        balances.discrepancies().iter().map(Discrepancy::uncounted_bytes).sum::<u64>(),
        uncounted_bytes
    );
    // The carrier c is not metered, so the count of the debtor's broker is used.
    counts.record("a1", 1, "c", "a", 30);
    balances.update_counts(1.0, &counts);
    assert_eq!(balances.gross("c", "a"), 30);
}

#[rstest]
fn debt_cycle_is_cancelled() {
    let balances = balances(&[("a", "b", 100), ("b", "c", 60), ("c", "a", 40), ("b", "a", 10)]);
    let debt = |debtor: &str, creditor: &str, bytes| NetDebt {
        debtor: debtor.into(),
        creditor: creditor.into(),
        bytes,
    };
    assert_eq!(balances.net_debts(), vec![debt("a", "b", 50), debt("b", "c", 20)]);
}

#[rstest]
fn service_weight_decays_with_age() {
    let mut counts = CarriedCounts::new();
    counts.record("w", 1, "b", "a", 1000);
    let mut balances = Balances::new(terms(), broker_partners(), SettlementLedger::default()).unwrap();
    balances.update_counts(0.0, &counts);
    let debt = balances.net_debts().remove(0);
    assert_eq!(balances.service_weight(&debt, 0.0), 1000.0);
    assert!((balances.service_weight(&debt, 100.0) - 500.0).abs() < 1e-6);
    assert!((balances.service_weight(&debt, 1e6) - 100.0).abs() < 1e-6);
    assert_eq!(balances.net_debt("a", "b"), 1000);
}

#[rstest]
fn settlement_applies_once() {
    let mut balances = balances(&[("a", "b", 100)]);
    assert_eq!(settle(&mut balances, "1/7/h", "x", 40), Ok(ApplyOutcome::New));
    assert_eq!(settle(&mut balances, "1/7/h", "x", 40), Ok(ApplyOutcome::Duplicate));
    assert!(matches!(
        settle(&mut balances, "1/7/h", "y", 40),
        Err(SettlementError::AlreadySettledOtherwise { .. })
    ));
    assert_eq!(balances.net_debt("a", "b"), 60);
    balances.close_versions(2);
    assert!(matches!(
        settle(&mut balances, "1/7/h", "x", 40),
        Err(SettlementError::VersionClosed { floor: 2, .. })
    ));
    assert_eq!(balances.net_debt("a", "b"), 60);
}

/// A fill settles a debt before the counts of a failed broker have arrived. The settlement counts up to the known debt, and in
/// full once the missing counts arrive.
#[rstest]
fn settlement_beyond_known_debt_counts_later() {
    let mut balances = balances(&[("a", "b", 30)]);
    settle(&mut balances, "1/7/h", "x", 100).unwrap();
    assert_eq!(
        (balances.net_debt("a", "b"), balances.net_debt("b", "a"), balances.settled_beyond_debt("a", "b")),
        (0, 0, 70)
    );
    let mut counts = CarriedCounts::new();
    counts.record("w", 1, "b", "a", 120);
    balances.update_counts(1.0, &counts);
    assert_eq!((balances.net_debt("a", "b"), balances.settled_beyond_debt("a", "b")), (20, 0));
}

#[rstest]
fn partitioned_broker_stays_within_share() {
    let mut balances = balances(&[("a", "b", 100)]);
    let brokers = ["x".to_string(), "y".to_string()];
    let entry = allot_evenly(&balances, "a", "b", &brokers).unwrap();
    let share = |broker: &str| AllottedShare { broker: broker.to_string(), bytes: 50 };
    assert_eq!(entry.parts, [share("x"), share("y")]);
    assert_eq!(balances.apply(&SettlementEntry::Allot(entry.clone())), Ok(ApplyOutcome::New));
    assert_eq!(balances.apply(&SettlementEntry::Allot(entry)), Ok(ApplyOutcome::Duplicate));
    assert_eq!(allot_evenly(&balances, "a", "b", &brokers), None);
    // x is partitioned and promises settlements. y releases an unspent part of its share, which is allotted to z.
    let (mut x, mut y) = (SharePromises::new("x").unwrap(), SharePromises::new("y").unwrap());
    x.promise(balances.ledger(), settlement("1/1/h", "x", 30)).unwrap();
    x.promise(balances.ledger(), settlement("1/1/h", "x", 30)).unwrap();
    let excess = x.promise(balances.ledger(), settlement("1/2/h", "x", 30));
    assert!(matches!(excess, Err(SettlementError::ExceedsShare { remaining: 20, .. })));
    assert!(matches!(
        x.release(balances.ledger(), "a", "b", 21),
        Err(SettlementError::ExceedsRemaining { remaining: 20, .. })
    ));
    let release = y.release(balances.ledger(), "a", "b", 45).unwrap();
    assert_eq!(y.remaining(balances.ledger(), "a", "b"), 5);
    assert_eq!(balances.apply(&release), Ok(ApplyOutcome::New));
    assert_eq!(balances.apply(&release), Ok(ApplyOutcome::Duplicate));
    y.reconcile(balances.ledger(), &[]);
    assert_eq!(y.remaining(balances.ledger(), "a", "b"), 5);
    balances
        .apply(&SettlementEntry::Allot(allot_evenly(&balances, "a", "b", &["z".to_string()]).unwrap()))
        .unwrap();
    assert_eq!(balances.ledger().share("z", "a", "b").remaining(), 45);
    // x reaches the log again and proposes its promises. A settlement beyond its share is still rejected.
    for entry in x.pending_entries().collect::<Vec<_>>() {
        assert_eq!(balances.apply(&entry), Ok(ApplyOutcome::New));
    }
    x.reconcile(balances.ledger(), &[]);
    assert_eq!((x.pending_entries().count(), x.remaining(balances.ledger(), "a", "b")), (0, 20));
    assert!(matches!(settle(&mut balances, "1/9/h", "x", 21), Err(SettlementError::ExceedsShare { .. })));
    assert_eq!(balances.net_debt("a", "b"), 70);
    // The ledger is stored in snapshots and the promises in the folder, so both must survive encoding.
    let stored = postcard::to_stdvec(&(balances.ledger(), &x)).unwrap();
    assert_eq!(
        postcard::from_bytes::<(SettlementLedger, SharePromises)>(&stored).unwrap(),
        (balances.ledger().clone(), x)
    );
}

/// Every error variant has a message and its own help text. Most variants are produced by the operation that rejects the input.
#[rstest]
fn errors_have_help() {
    let mut ledger = SettlementLedger::default();
    let mut errors = vec![
        SharePromises::new("x@y").unwrap_err(),
        LocalCounts::open(Some(LocalCounts::open(None, "n1", 1).unwrap()), "n2", 2).unwrap_err(),
        LocalCounts::open(Some(LocalCounts::open(None, "n1", 1).unwrap()), "n1", 1).unwrap_err(),
        SettlementError::TooManyCells { from: "e1".into(), brokers: 1, cells: 2, max: 1 },
        SettlementTerms { window_seconds: 0.0, ..SettlementTerms::default() }.check().unwrap_err(),
        ledger.apply(&SettlementEntry::Allot(allotment(0, 10, &[("x", 11)]))).unwrap_err(),
        ledger.apply(&SettlementEntry::Allot(allotment(3, 10, &[("x", 1)]))).unwrap_err(),
        ledger.apply(&SettlementEntry::Allot(allotment(0, 10, &[]))).unwrap_err(),
    ];
    ledger.apply(&SettlementEntry::Allot(allotment(0, 10, &[("x", 10)]))).unwrap();
    let release =
        ShareRelease { number: 1, debtor: "a".into(), creditor: "b".into(), broker: "y".into(), bytes: 1 };
    errors.push(ledger.apply(&SettlementEntry::Release(release)).unwrap_err());
    errors.push(ledger.apply(&SettlementEntry::Settle(settlement("1/1/h", "x", 11))).unwrap_err());
    ledger.apply(&SettlementEntry::Settle(settlement("1/1/h", "x", 1))).unwrap();
    errors.push(ledger.apply(&SettlementEntry::Settle(settlement("1/1/h", "y", 1))).unwrap_err());
    errors.push(ledger.apply(&SettlementEntry::Settle(settlement("h", "y", 1))).unwrap_err());
    errors.push(SettlementError::InvalidEvent { fill: "1/1/h".into(), state: "done", event: "failed" });
    // The match has no wildcard, so a new variant does not compile until it is listed here.
    let variant_index = |error: &SettlementError| match error {
        SettlementError::InvalidName { .. } => 0,
        SettlementError::OtherBroker { .. } => 1,
        SettlementError::StaleIncarnation { .. } => 2,
        SettlementError::TooManyCells { .. } => 3,
        SettlementError::InvalidTerm { .. } => 4,
        SettlementError::ExceedsDebt { .. } => 5,
        SettlementError::SkippedNumber { .. } => 6,
        SettlementError::EmptyEntry { .. } => 7,
        SettlementError::ExceedsRemaining { .. } => 8,
        SettlementError::ExceedsShare { .. } => 9,
        SettlementError::AlreadySettledOtherwise { .. } => 10,
        SettlementError::VersionClosed { .. } => 11,
        SettlementError::InvalidEvent { .. } => 12,
    };
    assert_eq!(errors.iter().map(variant_index).collect::<Vec<_>>(), (0..13).collect::<Vec<_>>());
    let helps: BTreeSet<&str> = errors.iter().map(SettlementError::help).collect();
    assert_eq!(helps.len(), errors.len());
    assert!(errors.iter().all(|error| error.to_string().len() > 10 && error.help().len() > 20));
    // Guards against a help text that names a setting that the operator's file does not have.
    let help = errors[4].help();
    assert!(help.contains("`rate`") && help.contains("`fills`"), "{help}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::with_cases(256) })]

    /// Cancelling cycles keeps what each partner owes minus what it is owed, and leaves no cycle.
    #[test]
    fn net_debts_keep_total_positions(debts in prop::collection::vec((0..5usize, 0..5usize, 1..100u64), 0..20)) {
        let names = ["a", "b", "c", "d", "e"];
        let debts: Vec<_> = debts.into_iter().map(|(debtor, creditor, bytes)| (names[debtor], names[creditor], bytes)).collect();
        let balances = balances(&debts);
        let net = balances.net_debts();
        for name in names {
            let position = |debts: &[(String, String, u64)]| -> i64 {
                debts.iter().map(|(debtor, creditor, bytes)| (i64::from(debtor == name) - i64::from(creditor == name)) * *bytes as i64).sum()
            };
            let given: Vec<_> = debts.iter().map(|(debtor, creditor, bytes)| (debtor.to_string(), creditor.to_string(), *bytes)).collect();
            let remaining: Vec<_> = net.iter().map(|debt| (debt.debtor.clone(), debt.creditor.clone(), debt.bytes)).collect();
            prop_assert_eq!(position(&given), position(&remaining));
        }
        // Debts to partners that owe nothing are removed repeatedly. The debts of a cycle would never be removed.
        let mut remaining: Vec<_> = net.clone();
        while !remaining.is_empty() {
            let before = remaining.len();
            let debtors: BTreeSet<String> = remaining.iter().map(|debt| debt.debtor.clone()).collect();
            remaining.retain(|debt| debtors.contains(&debt.creditor));
            prop_assert!(remaining.len() < before, "the net debts contain a cycle: {:?}", net);
        }
    }

    /// Settlements of a split debt never exceed the debt, whichever entries are applied, in any order and any number of times.
    #[test]
    fn settlements_stay_within_debt(
        entries in prop::collection::vec((0..4u8, 0..8u64, 0..3usize, 1..60u64), 1..60),
        duplicates in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let brokers = ["x", "y", "z"];
        let make_entry = |&(kind, number, broker, bytes): &(u8, u64, usize, u64)| match kind {
            0 => SettlementEntry::Allot(allotment(number, bytes * 3, &[(brokers[broker], bytes), (brokers[(broker + 1) % 3], bytes)])),
            1 => {
                let (debtor, creditor, broker) = ("a".to_string(), "b".to_string(), brokers[broker].to_string());
                SettlementEntry::Release(ShareRelease { number, debtor, creditor, broker, bytes: bytes / 4 })
            }
            _ => SettlementEntry::Settle(settlement(&format!("1/{number}/h"), brokers[broker], bytes)),
        };
        let entries: Vec<SettlementEntry> = entries.iter().map(make_entry).collect();
        let mut ledger = SettlementLedger::default();
        ledger.apply(&SettlementEntry::Allot(allotment(0, 30, &[("x", 10), ("y", 10)]))).unwrap();
        let (mut debt, mut settled_fills) = (30, BTreeSet::new());
        let mut settled_bytes = 0;
        for entry in entries.iter().chain(duplicates.iter().map(|index| &entries[index.index(entries.len())])) {
            let before = ledger.clone();
            match (ledger.apply(entry), entry) {
                (Ok(ApplyOutcome::New), SettlementEntry::Allot(allot)) => debt = debt.max(allot.debt),
                (Ok(ApplyOutcome::New), SettlementEntry::Settle(settlement)) => {
                    prop_assert!(settled_fills.insert(settlement.fill().to_string()));
                    settled_bytes += settlement.bytes;
                }
                (Ok(ApplyOutcome::New), SettlementEntry::Release(_)) => {}
                _ => prop_assert_eq!(&before, &ledger),
            }
            prop_assert_eq!(ledger.settled("a", "b"), settled_bytes);
            prop_assert!(settled_bytes <= ledger.allotted("a", "b") && ledger.allotted("a", "b") <= debt);
        }
    }
}
