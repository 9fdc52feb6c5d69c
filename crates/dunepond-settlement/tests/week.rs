//! Simulates a week in which brokers count traffic, split debts, fill and settle, while they are partitioned and restart from
//! their folders. Guards against stored documents that grow with time and against overpaid debts.

use std::collections::BTreeMap;

use dunepond_settlement::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const PARTNERS: [&str; 4] = ["north", "south", "east", "west"];
const BROKERS: usize = 5;
const DAY_SECONDS: u64 = 86_400;
const STEP_SECONDS: u64 = 300;
const VERSIONS_PER_DAY: u64 = 24;
const FILL_BYTES: u64 = 1 << 30;

struct Broker {
    counts: LocalCounts,
    balances: Balances,
    shares: SharePromises,
    /// Counts and promises in the broker's folder.
    stored: (LocalCounts, SharePromises),
    starts: u64,
    is_partitioned: bool,
}

/// Simulates a week. Returns the encoded sizes in bytes at the end of each day: the ledger, the largest counts and the largest
/// promises of any broker.
fn simulate_week(seed: u64) -> Vec<[usize; 3]> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let name = |i: usize| format!("n{i}");
    let names: Vec<String> = (0..BROKERS).map(name).collect();
    let new_broker = |i: usize| {
        let (counts, shares) =
            (LocalCounts::open(None, &name(i), 1).unwrap(), SharePromises::new(&name(i)).unwrap());
        let balances =
            Balances::new(SettlementTerms::default(), BrokerPartners::default(), SettlementLedger::default())
                .unwrap();
        Broker {
            stored: (counts.clone(), shares.clone()),
            counts,
            balances,
            shares,
            starts: 1,
            is_partitioned: false,
        }
    };
    let mut brokers: Vec<Broker> = (0..BROKERS).map(new_broker).collect();
    // The ledger after all entries of the log. Each broker has applied only the first `applied` entries.
    let mut committed = SettlementLedger::default();
    let (mut paid, mut fills, mut sizes) = (BTreeMap::<String, Settlement>::new(), 0u64, Vec::new());
    let mut log: Vec<(u64, SettlementEntry)> = Vec::new();
    let mut applied = [0usize; BROKERS];
    for at in (0..7 * DAY_SECONDS).step_by(STEP_SECONDS as usize) {
        let version = 1 + at * VERSIONS_PER_DAY / DAY_SECONDS;
        committed.close_versions(version.saturating_sub(8));
        for i in 0..BROKERS {
            let broker = &mut brokers[i];
            if rng.random_bool(0.01) {
                broker.is_partitioned = !broker.is_partitioned;
            }
            // At random, the broker crashes and loses what was not stored.
            if rng.random_bool(0.005) {
                broker.starts += 1;
                let (counts, shares) = broker.stored.clone();
                broker.counts = LocalCounts::open(Some(counts), &names[i], broker.starts).unwrap();
                broker.shares = shares;
            }
            let (carrier, debtor) = (rng.random_range(0..4), rng.random_range(0..4));
            broker.counts.record(PARTNERS[carrier], PARTNERS[debtor], rng.random_range(0..FILL_BYTES / 4));
            broker.stored.0 = broker.counts.clone();
            if !broker.is_partitioned {
                while applied[i] < log.len() {
                    let (floor, entry) = &log[applied[i]];
                    broker.balances.close_versions(*floor);
                    broker.balances.apply(entry).unwrap();
                    applied[i] += 1;
                }
                broker.shares.reconcile(&committed, &[]);
                broker.stored.1 = broker.shares.clone();
            }
        }
        // Brokers that are not partitioned exchange counts.
        for _ in 0..3 {
            let (a, b) = (rng.random_range(0..BROKERS), rng.random_range(0..BROKERS));
            if a != b && !brokers[a].is_partitioned && !brokers[b].is_partitioned {
                let counts = brokers[a].counts.counts().clone();
                brokers[b].counts.merge_from_peer(&names[a], &counts, &BrokerPartners::default()).unwrap();
            }
        }
        for broker in &mut brokers {
            let counts = broker.counts.counts().clone();
            broker.balances.update_counts(at as f64, &counts);
        }
        let propose = |committed: &mut SettlementLedger, log: &mut Vec<_>, entry: SettlementEntry| {
            if committed.apply(&entry) == Ok(ApplyOutcome::New) {
                log.push((committed.floor(), entry));
            }
        };
        // The first broker splits debts. Every broker fills now and then, also while partitioned, and proposes its promises
        // when it is not partitioned.
        if !brokers[0].is_partitioned {
            for debt in brokers[0].balances.net_debts() {
                if let Some(allot) = allot_evenly(&brokers[0].balances, &debt.debtor, &debt.creditor, &names)
                {
                    propose(&mut committed, &mut log, SettlementEntry::Allot(allot));
                }
            }
        }
        for broker in &mut brokers {
            if rng.random_bool(0.2) {
                let debts = broker.balances.net_debts();
                if let Some(debt) = debts.get(rng.random_range(0..debts.len().max(1))) {
                    fills += 1;
                    let remaining =
                        broker.shares.remaining(broker.balances.ledger(), &debt.debtor, &debt.creditor);
                    let fill = Fill {
                        id: Fill::id_of(version, fills % 999, "s"),
                        segment: fills % 999,
                        node: "s".to_string(),
                        source: "t".to_string(),
                        from: debt.debtor.clone(),
                        to: debt.creditor.clone(),
                        bytes: FILL_BYTES,
                        rate: 1e6,
                        settles: None,
                    };
                    if remaining > 0 {
                        let broker_name = broker.shares.broker().to_string();
                        let paid_bytes = remaining.min(FILL_BYTES);
                        let settles =
                            Settlement::new(&fill, &broker_name, &debt.debtor, &debt.creditor, paid_bytes)
                                .unwrap();
                        let ledger = broker.balances.ledger().clone();
                        broker.shares.promise(&ledger, settles).unwrap();
                        broker.stored.1 = broker.shares.clone();
                    }
                    if !broker.is_partitioned {
                        propose(
                            &mut committed,
                            &mut log,
                            SettlementEntry::StartFill(StartedFill::new(&fill, at)),
                        );
                    }
                }
            }
            if !broker.is_partitioned {
                for entry in broker.shares.pending_entries().collect::<Vec<_>>() {
                    if let SettlementEntry::Settle(settlement) = &entry
                        && committed.check(&entry) == Ok(ApplyOutcome::New)
                    {
                        let before = paid.insert(settlement.fill().to_string(), settlement.clone());
                        assert_eq!(before, None, "a fill was settled twice");
                    }
                    propose(&mut committed, &mut log, entry);
                }
            }
        }
        if (at + STEP_SECONDS).is_multiple_of(DAY_SECONDS) {
            let size = |bytes: Vec<u8>| bytes.len();
            let largest = |encode: &dyn Fn(&Broker) -> Vec<u8>| {
                brokers.iter().map(|broker| encode(broker).len()).max().unwrap()
            };
            sizes.push([
                size(postcard::to_stdvec(&committed).unwrap()),
                largest(&|broker| postcard::to_stdvec(broker.counts.counts()).unwrap()),
                largest(&|broker| postcard::to_stdvec(&broker.shares).unwrap()),
            ]);
        }
    }
    // No more is settled than was ever carried.
    let mut all = CarriedCounts::new();
    brokers.iter().for_each(|broker| all.merge(broker.counts.counts()));
    let mut sums: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for settlement in paid.values() {
        *sums.entry((&settlement.debtor, &settlement.creditor)).or_default() += settlement.bytes;
    }
    assert!(paid.len() > 500, "only {} settlements were made", paid.len());
    for ((debtor, creditor), sum) in sums {
        assert!(
            sum <= all.total(creditor, debtor),
            "{debtor} paid {creditor} {sum} bytes, more than it owed"
        );
        assert_eq!(sum, committed.settled(debtor, creditor));
    }
    sizes
}

#[test]
fn documents_stop_growing() {
    let sizes = simulate_week(7);
    println!("bytes at the end of each day (ledger, counts, promises): {sizes:?}");
    for document in 0..3 {
        let early = sizes[..3].iter().map(|day| day[document]).max().unwrap();
        let late = sizes[5..].iter().map(|day| day[document]).max().unwrap();
        assert!(
            late as f64 <= 1.25 * early as f64 + 256.0,
            "document {document} grew from {early} to {late} bytes"
        );
    }
}
