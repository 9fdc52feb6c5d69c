//! A week of debts in compressed time: traffic, restarts, cuts, versions, splits, fills and settlements by brokers that go by
//! their folders. Nothing of it may grow with time, and no debt may be paid past what was owed.

use std::collections::BTreeMap;

use dunepond_settlement::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const PARTNERS: [&str; 4] = ["north", "south", "east", "west"];
const BROKERS: usize = 5;
const DAY: u64 = 86_400;
/// Seconds of one step, and versions a day.
const STEP: u64 = 300;
const VERSIONS: u64 = 24;
const FILL: u64 = 1 << 30;

struct Broker {
    tally: LocalCounts,
    book: Balances,
    shares: SharePromises,
    /// As the folder has them.
    saved: (LocalCounts, SharePromises),
    starts: u64,
    cut: bool,
}

/// Postcard's sizes at the end of each day: the ledger, the counts and the promises of the largest.
fn week(seed: u64) -> Vec<[usize; 3]> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let name = |i: usize| format!("n{i}");
    let names: Vec<String> = (0..BROKERS).map(name).collect();
    let start = |i: usize| {
        let (tally, shares) =
            (LocalCounts::open(None, &name(i), 1).unwrap(), SharePromises::new(&name(i)).unwrap());
        let book =
            Balances::new(SettlementTerms::default(), BrokerPartners::default(), SettlementLedger::default())
                .unwrap();
        Broker { saved: (tally.clone(), shares.clone()), tally, book, shares, starts: 1, cut: false }
    };
    let mut brokers: Vec<Broker> = (0..BROKERS).map(start).collect();
    // The agreed log: each broker has applied so much of it.
    let mut agreed = SettlementLedger::default();
    let (mut paid, mut fills, mut sizes) = (BTreeMap::<String, Settlement>::new(), 0u64, Vec::new());
    let mut told: Vec<(u64, SettlementEntry)> = Vec::new();
    let mut known = [0usize; BROKERS];
    for at in (0..7 * DAY).step_by(STEP as usize) {
        let version = 1 + at * VERSIONS / DAY;
        agreed.close(version.saturating_sub(8));
        for i in 0..BROKERS {
            let broker = &mut brokers[i];
            if rng.random_bool(0.01) {
                broker.cut = !broker.cut;
            }
            // Killed: what was not in the folder is gone.
            if rng.random_bool(0.005) {
                broker.starts += 1;
                let (tally, shares) = broker.saved.clone();
                broker.tally = LocalCounts::open(Some(tally), &names[i], broker.starts).unwrap();
                broker.shares = shares;
            }
            let (carrier, owed_by) = (rng.random_range(0..4), rng.random_range(0..4));
            broker.tally.record(PARTNERS[carrier], PARTNERS[owed_by], rng.random_range(0..FILL / 4));
            broker.saved.0 = broker.tally.clone();
            if !broker.cut {
                while known[i] < told.len() {
                    let (floor, entry) = &told[known[i]];
                    broker.book.close(*floor);
                    broker.book.apply(entry).unwrap();
                    known[i] += 1;
                }
                broker.shares.reconcile(&agreed, &[]);
                broker.saved.1 = broker.shares.clone();
            }
        }
        // Counts go round among those that are not cut off.
        for _ in 0..3 {
            let (a, b) = (rng.random_range(0..BROKERS), rng.random_range(0..BROKERS));
            if a != b && !brokers[a].cut && !brokers[b].cut {
                let counts = brokers[a].tally.counts().clone();
                brokers[b].tally.merge_from_peer(&names[a], &counts, &BrokerPartners::default()).unwrap();
            }
        }
        for broker in &mut brokers {
            let counts = broker.tally.counts().clone();
            broker.book.update_counts(at as f64, &counts);
        }
        let enter = |agreed: &mut SettlementLedger, told: &mut Vec<_>, entry: SettlementEntry| {
            if agreed.apply(&entry) == Ok(ApplyOutcome::New) {
                told.push((agreed.floor(), entry));
            }
        };
        // Whoever leads splits; each fills now and then, cut off or not, and brings what it promised when it is not.
        if !brokers[0].cut {
            for debt in brokers[0].book.net_debts() {
                if let Some(allot) = allot_evenly(&brokers[0].book, &debt.debtor, &debt.creditor, &names) {
                    enter(&mut agreed, &mut told, SettlementEntry::Allot(allot));
                }
            }
        }
        for broker in &mut brokers {
            if rng.random_bool(0.2) {
                let debts = broker.book.net_debts();
                if let Some(debt) = debts.get(rng.random_range(0..debts.len().max(1))) {
                    fills += 1;
                    let left = broker.shares.remaining(broker.book.ledger(), &debt.debtor, &debt.creditor);
                    let fill = Fill {
                        id: Fill::id_of(version, fills % 999, "s"),
                        segment: fills % 999,
                        holder: "s".to_string(),
                        source: "t".to_string(),
                        from: debt.debtor.clone(),
                        to: debt.creditor.clone(),
                        bytes: FILL,
                        rate: 1e6,
                        settles: None,
                    };
                    if left > 0 {
                        let by = broker.shares.broker().to_string();
                        let pays = left.min(FILL);
                        let settles =
                            Settlement::new(&fill, &by, &debt.debtor, &debt.creditor, pays).unwrap();
                        let ledger = broker.book.ledger().clone();
                        broker.shares.promise(&ledger, settles).unwrap();
                        broker.saved.1 = broker.shares.clone();
                    }
                    if !broker.cut {
                        enter(
                            &mut agreed,
                            &mut told,
                            SettlementEntry::StartFill(StartedFill::new(&fill, at)),
                        );
                    }
                }
            }
            if !broker.cut {
                for entry in broker.shares.pending_entries().collect::<Vec<_>>() {
                    if let SettlementEntry::Settle(settlement) = &entry
                        && agreed.check(&entry) == Ok(ApplyOutcome::New)
                    {
                        let before = paid.insert(settlement.fill().to_string(), settlement.clone());
                        assert_eq!(before, None, "paid twice");
                    }
                    enter(&mut agreed, &mut told, entry);
                }
            }
        }
        if (at + STEP).is_multiple_of(DAY) {
            let size = |bytes: Vec<u8>| bytes.len();
            let largest =
                |of: &dyn Fn(&Broker) -> Vec<u8>| brokers.iter().map(|b| of(b).len()).max().unwrap();
            sizes.push([
                size(postcard::to_stdvec(&agreed).unwrap()),
                largest(&|broker| postcard::to_stdvec(broker.tally.counts()).unwrap()),
                largest(&|broker| postcard::to_stdvec(&broker.shares).unwrap()),
            ]);
        }
    }
    // All that was ever carried, known to all: nowhere is more settled than that.
    let mut all = CarriedCounts::new();
    brokers.iter().for_each(|broker| all.merge(broker.tally.counts()));
    let mut sums: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for settlement in paid.values() {
        *sums.entry((&settlement.debtor, &settlement.creditor)).or_default() += settlement.bytes;
    }
    assert!(paid.len() > 500, "only {} settlements", paid.len());
    for ((debtor, creditor), sum) in sums {
        assert!(sum <= all.total(creditor, debtor), "{debtor} paid {creditor} {sum}");
        assert_eq!(sum, agreed.settled(debtor, creditor));
    }
    sizes
}

#[test]
fn documents_stop_growing() {
    let sizes = week(7);
    println!("bytes a day (ledger, counts, promises): {sizes:?}");
    for document in 0..3 {
        let early = sizes[..3].iter().map(|day| day[document]).max().unwrap();
        let late = sizes[5..].iter().map(|day| day[document]).max().unwrap();
        assert!(late as f64 <= 1.25 * early as f64 + 256.0, "document {document}: {early}, then {late}");
    }
}
