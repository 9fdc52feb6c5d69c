//! All interleavings of two brokers that split a debt, promise, fill and propose, with entries that are lost, doubled and
//! out of order, crashes between any two steps, a folder lost, and the counts of a dead broker that come late or never.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Mutex;

use dunepond_settlement::*;
use rstest::rstest;
use stateright::{Checker, Model, Property, UniformChooser};

/// What is owed in truth, of which so much only the dead broker saw.
const DEBT: u64 = 4;
const DEAD: u64 = 1;
const BY: [&str; 2] = ["x", "y"];
/// Fills and what each settles; the first may be planned at both brokers, as when the leader changes.
const FILLS: [(&str, u64, &[usize]); 2] = [("1/1/h", 2, &[0, 1]), ("1/2/h", 2, &[1])];
/// How often the same entry comes.
const TIMES: u8 = 2;
/// Who loses its folder, who crashes with it, who gives back, who hears of the dead broker's counts.
const WIPED: usize = 1;
const CRASHES: usize = 0;
const GIVES: usize = 0;
const HEARS: usize = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Broker {
    /// How far it has the log, and what follows from it.
    applied: usize,
    ledger: SettlementLedger,
    /// In its folder.
    shares: SharePromises,
    done: BTreeSet<usize>,
    /// Fills that it has under way: gone with a crash.
    under_way: BTreeSet<usize>,
    heard_dead: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    brokers: Vec<Broker>,
    /// Entries that were ever proposed, and how often each was committed: any of them may come, again or never.
    sent: BTreeMap<SettlementEntry, u8>,
    log: Vec<SettlementEntry>,
    /// The ledger of the whole log, and the fills that it took, once each time.
    truth: SettlementLedger,
    taken: Vec<String>,
    wiped: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
// An entry is whole in it, as the model compares them.
#[allow(clippy::large_enum_variant)]
enum Act {
    Split(usize),
    Begin(usize, usize),
    End(usize, usize),
    Release(usize),
    Commit(SettlementEntry),
    Learn(usize),
    HearDead(usize),
    Crash(usize),
    Wipe(usize),
}

struct Debtors {
    /// Entries in the log at most.
    log: usize,
    /// Splits by ledger and by what was heard: a book is dear, and few are different.
    splits: Mutex<HashMap<(SettlementLedger, bool), Option<Allotment>>>,
}

fn settlement(fill: usize, by: usize) -> Settlement {
    Settlement {
        id: format!("{}@{}", FILLS[fill].0, BY[by]),
        debtor: "a".into(),
        creditor: "b".into(),
        bytes: FILLS[fill].1,
        segment: fill as u64,
        holder: "h".into(),
        source: "s".into(),
    }
}

fn book(broker: &Broker) -> Balances {
    let mut counts = CarriedCounts::new();
    counts.record("w", 1, "b", "a", DEBT - DEAD);
    if broker.heard_dead {
        counts.record("dead", 1, "b", "a", DEAD);
    }
    let mut book =
        Balances::new(SettlementTerms::default(), BrokerPartners::default(), broker.ledger.clone()).unwrap();
    book.update_counts(0.0, &counts);
    book
}

impl Model for Debtors {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let broker = |by: &&str| Broker {
            applied: 0,
            ledger: SettlementLedger::default(),
            shares: SharePromises::new(by).unwrap(),
            done: BTreeSet::new(),
            under_way: BTreeSet::new(),
            heard_dead: false,
        };
        vec![World {
            brokers: BY.iter().map(broker).collect(),
            sent: BTreeMap::new(),
            log: Vec::new(),
            truth: SettlementLedger::default(),
            taken: Vec::new(),
            wiped: false,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for (b, broker) in world.brokers.iter().enumerate() {
            acts.push(Act::Split(b));
            for (f, (_, _, at)) in FILLS.iter().enumerate() {
                if at.contains(&b) && !broker.done.contains(&f) && !broker.under_way.contains(&f) {
                    acts.push(Act::Begin(b, f));
                }
            }
            acts.extend(broker.under_way.iter().map(|f| Act::End(b, *f)));
            if b == GIVES {
                acts.push(Act::Release(b));
            }
            if broker.applied < world.log.len() {
                acts.push(Act::Learn(b));
            }
            if b == HEARS && !broker.heard_dead {
                acts.push(Act::HearDead(b));
            }
            if b == CRASHES && !broker.under_way.is_empty() {
                acts.push(Act::Crash(b));
            }
            if b == WIPED && !world.wiped {
                acts.push(Act::Wipe(b));
            }
        }
        if world.log.len() < self.log {
            let again = world.sent.iter().filter(|(_, times)| **times < TIMES);
            acts.extend(again.map(|(entry, _)| Act::Commit(entry.clone())));
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut world = world.clone();
        match act {
            Act::Split(b) => {
                let broker = &world.brokers[b];
                let mut splits = self.splits.lock().unwrap();
                let known = splits.entry((broker.ledger.clone(), broker.heard_dead));
                let make = || allot_evenly(&book(broker), "a", "b", &BY.map(String::from));
                let entry = known.or_insert_with(make).clone()?;
                world.sent.entry(SettlementEntry::Allot(entry)).or_default();
            }
            Act::Begin(b, f) => {
                let broker = &mut world.brokers[b];
                // The promise is saved before the fill begins.
                broker.shares.promise(&broker.ledger, settlement(f, b)).ok()?;
                broker.under_way.insert(f);
            }
            Act::End(b, f) => {
                world.brokers[b].under_way.remove(&f);
                world.brokers[b].done.insert(f);
                // May be proposed from now on; whether it ever is, and how often, is the log's to choose.
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
                    world.taken.push(it.fill().to_string());
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
            Act::HearDead(b) => world.brokers[b].heard_dead = true,
            Act::Crash(b) => {
                world.brokers[b].under_way.clear();
            }
            Act::Wipe(b) => {
                let fresh = self.init_states().remove(0).brokers.remove(b);
                world.brokers[b] = fresh;
                world.wiped = true;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("settlements within the debt", |_, world: &World| {
                world.truth.settled("a", "b") <= world.truth.allotted("a", "b")
                    && world.truth.allotted("a", "b") <= DEBT
            }),
            Property::always("applied once", |_, world: &World| {
                let once: BTreeSet<&String> = world.taken.iter().collect();
                once.len() == world.taken.len()
            }),
            // What is promised while cut off finds its place when it comes, as long as no folder was lost.
            Property::always("promises within the debt", |_, world: &World| {
                let open = world.brokers.iter().flat_map(|broker| broker.shares.pending_entries());
                let open = open.filter_map(|entry| match entry {
                    SettlementEntry::Settle(it) if !world.truth.is_settled(it.fill()) => Some(it.bytes),
                    _ => None,
                });
                world.wiped || open.sum::<u64>() + world.truth.settled("a", "b") <= DEBT
            }),
            Property::sometimes("all is settled", |_, world: &World| world.truth.settled("a", "b") == DEBT),
        ]
    }
}

/// All of them, for a log of that many entries.
#[rstest]
#[case::each_run(3)]
#[ignore = "by hand: some minutes in a release build"]
#[case::wide(4)]
fn invariants_hold(#[case] log: usize) {
    let checker = Debtors { log, splits: Mutex::default() }.checker().threads(2).spawn_bfs().join();
    println!(
        "{} states, {} of them different, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

/// Longer logs by chance, from a seed: paths that a whole search does not reach.
#[rstest]
fn invariants_hold_on_long_paths() {
    let model = Debtors { log: 10, splits: Mutex::default() }.checker().target_state_count(40_000);
    let checker = model.spawn_simulation(34, UniformChooser).join();
    println!("{} states, depth {}", checker.state_count(), checker.max_depth());
    for name in ["settlements within the debt", "applied once", "promises within the debt"] {
        checker.assert_no_discovery(name);
    }
}
