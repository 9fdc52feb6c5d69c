//! Model check of two brokers that split a debt, promise, fill and propose, with entries that are lost, duplicated and out of
//! order, crashes between any two steps, a lost folder, and the counts of a failed broker that arrive late or never.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Mutex;

use dunepond_settlement::*;
use rstest::rstest;
use stateright::{Checker, Model, Property, UniformChooser};

/// What is really owed, of which so much only the failed broker saw.
const DEBT_BYTES: u64 = 4;
const FAILED_BROKER_BYTES: u64 = 1;
const BROKERS: [&str; 2] = ["x", "y"];
/// Fills and what each settles; the first may be planned at both brokers, as when the leader changes.
const FILLS: [(&str, u64, &[usize]); 2] = [("1/1/h", 2, &[0, 1]), ("1/2/h", 2, &[1])];
/// How often the same entry is committed, at most.
const MAX_COMMITS: u8 = 2;
/// Which broker loses its folder, crashes, releases, and learns of the failed broker's counts.
const LOSES_FOLDER: usize = 1;
const CRASHES: usize = 0;
const RELEASES: usize = 0;
const LEARNS_COUNTS: usize = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Broker {
    /// Entries of the log that it has applied, and the resulting ledger.
    applied: usize,
    ledger: SettlementLedger,
    /// In its folder.
    shares: SharePromises,
    complete: BTreeSet<usize>,
    /// Running fills, lost in a crash.
    running: BTreeSet<usize>,
    knows_all_counts: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    brokers: Vec<Broker>,
    /// Proposed entries, and how often each was committed: any of them may be, again or never.
    sent: BTreeMap<SettlementEntry, u8>,
    log: Vec<SettlementEntry>,
    /// The ledger of the whole log, and the fills that it settled.
    truth: SettlementLedger,
    settled_fills: Vec<String>,
    has_lost_folder: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
// Entries are not boxed, as the model compares them.
#[allow(clippy::large_enum_variant)]
enum Act {
    Split(usize),
    StartFill(usize, usize),
    CompleteFill(usize, usize),
    Release(usize),
    Commit(SettlementEntry),
    Learn(usize),
    LearnCounts(usize),
    Crash(usize),
    LoseFolder(usize),
}

struct SettlementModel {
    /// Entries in the log, at most.
    log: usize,
    /// Splits by ledger and known counts: balances are expensive, and few differ.
    splits: Mutex<HashMap<(SettlementLedger, bool), Option<Allotment>>>,
}

fn settlement(fill: usize, by: usize) -> Settlement {
    Settlement {
        id: format!("{}@{}", FILLS[fill].0, BROKERS[by]),
        debtor: "a".into(),
        creditor: "b".into(),
        bytes: FILLS[fill].1,
        segment: fill as u64,
        holder: "h".into(),
        source: "s".into(),
    }
}

fn balances(broker: &Broker) -> Balances {
    let mut counts = CarriedCounts::new();
    counts.record("w", 1, "b", "a", DEBT_BYTES - FAILED_BROKER_BYTES);
    if broker.knows_all_counts {
        counts.record("dead", 1, "b", "a", FAILED_BROKER_BYTES);
    }
    let mut balances =
        Balances::new(SettlementTerms::default(), BrokerPartners::default(), broker.ledger.clone()).unwrap();
    balances.update_counts(0.0, &counts);
    balances
}

impl Model for SettlementModel {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let broker = |by: &&str| Broker {
            applied: 0,
            ledger: SettlementLedger::default(),
            shares: SharePromises::new(by).unwrap(),
            complete: BTreeSet::new(),
            running: BTreeSet::new(),
            knows_all_counts: false,
        };
        vec![World {
            brokers: BROKERS.iter().map(broker).collect(),
            sent: BTreeMap::new(),
            log: Vec::new(),
            truth: SettlementLedger::default(),
            settled_fills: Vec::new(),
            has_lost_folder: false,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for (b, broker) in world.brokers.iter().enumerate() {
            acts.push(Act::Split(b));
            for (f, (_, _, at)) in FILLS.iter().enumerate() {
                if at.contains(&b) && !broker.complete.contains(&f) && !broker.running.contains(&f) {
                    acts.push(Act::StartFill(b, f));
                }
            }
            acts.extend(broker.running.iter().map(|f| Act::CompleteFill(b, *f)));
            if b == RELEASES {
                acts.push(Act::Release(b));
            }
            if broker.applied < world.log.len() {
                acts.push(Act::Learn(b));
            }
            if b == LEARNS_COUNTS && !broker.knows_all_counts {
                acts.push(Act::LearnCounts(b));
            }
            if b == CRASHES && !broker.running.is_empty() {
                acts.push(Act::Crash(b));
            }
            if b == LOSES_FOLDER && !world.has_lost_folder {
                acts.push(Act::LoseFolder(b));
            }
        }
        if world.log.len() < self.log {
            let again = world.sent.iter().filter(|(_, times)| **times < MAX_COMMITS);
            acts.extend(again.map(|(entry, _)| Act::Commit(entry.clone())));
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut world = world.clone();
        match act {
            Act::Split(b) => {
                let broker = &world.brokers[b];
                let mut splits = self.splits.lock().unwrap();
                let known = splits.entry((broker.ledger.clone(), broker.knows_all_counts));
                let make = || allot_evenly(&balances(broker), "a", "b", &BROKERS.map(String::from));
                let entry = known.or_insert_with(make).clone()?;
                world.sent.entry(SettlementEntry::Allot(entry)).or_default();
            }
            Act::StartFill(b, f) => {
                let broker = &mut world.brokers[b];
                // The promise is stored before the fill starts.
                broker.shares.promise(&broker.ledger, settlement(f, b)).ok()?;
                broker.running.insert(f);
            }
            Act::CompleteFill(b, f) => {
                world.brokers[b].running.remove(&f);
                world.brokers[b].complete.insert(f);
                // May be proposed from now on; the model explores whether it is, and how often.
                world.sent.entry(SettlementEntry::Settle(settlement(f, b))).or_default();
            }
            Act::Release(b) => {
                let broker = &mut world.brokers[b];
                let entry = broker.shares.release(&broker.ledger, "a", "b", 1).ok()?;
                world.sent.entry(entry).or_default();
            }
            Act::Commit(entry) => {
                *world.sent.get_mut(&entry)? += 1;
                if let (Ok(ApplyOutcome::New), SettlementEntry::Settle(it)) =
                    (world.truth.apply(&entry), &entry)
                {
                    world.settled_fills.push(it.fill().to_string());
                }
                world.log.push(entry);
            }
            Act::Learn(b) => {
                let broker = &mut world.brokers[b];
                let entry = &world.log[broker.applied];
                broker.applied += 1;
                let refused = match (broker.ledger.apply(entry), entry) {
                    (Err(_), SettlementEntry::Settle(it)) => vec![it.clone()],
                    _ => vec![],
                };
                broker.shares.reconcile(&broker.ledger, &refused);
            }
            Act::LearnCounts(b) => world.brokers[b].knows_all_counts = true,
            Act::Crash(b) => {
                world.brokers[b].running.clear();
            }
            Act::LoseFolder(b) => {
                let fresh = self.init_states().remove(0).brokers.remove(b);
                world.brokers[b] = fresh;
                world.has_lost_folder = true;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("settlements within the debt", |_, world: &World| {
                world.truth.settled("a", "b") <= world.truth.allotted("a", "b")
                    && world.truth.allotted("a", "b") <= DEBT_BYTES
            }),
            Property::always("applied once", |_, world: &World| {
                let once: BTreeSet<&String> = world.settled_fills.iter().collect();
                once.len() == world.settled_fills.len()
            }),
            // What is promised during a partition can be settled later, as long as no folder was lost.
            Property::always("promises within the debt", |_, world: &World| {
                let open = world.brokers.iter().flat_map(|broker| broker.shares.pending_entries());
                let open = open.filter_map(|entry| match entry {
                    SettlementEntry::Settle(it) if !world.truth.is_settled(it.fill()) => Some(it.bytes),
                    _ => None,
                });
                world.has_lost_folder || open.sum::<u64>() + world.truth.settled("a", "b") <= DEBT_BYTES
            }),
            Property::sometimes("all is settled", |_, world: &World| {
                world.truth.settled("a", "b") == DEBT_BYTES
            }),
        ]
    }
}

/// All interleavings, for a log of that many entries.
#[rstest]
#[case::each_run(3)]
#[ignore = "by hand: some minutes in a release build"]
#[case::wide(4)]
fn invariants_hold(#[case] log: usize) {
    let checker = SettlementModel { log, splits: Mutex::default() }.checker().threads(2).spawn_bfs().join();
    println!(
        "{} states, {} of them different, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

/// Longer logs at random, from a seed: paths that an exhaustive search does not reach.
#[rstest]
fn invariants_hold_on_long_paths() {
    let model = SettlementModel { log: 10, splits: Mutex::default() }.checker().target_state_count(40_000);
    let checker = model.spawn_simulation(34, UniformChooser).join();
    println!("{} states, depth {}", checker.state_count(), checker.max_depth());
    for name in ["settlements within the debt", "applied once", "promises within the debt"] {
        checker.assert_no_discovery(name);
    }
}
