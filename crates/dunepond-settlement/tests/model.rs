//! Model check of two brokers that split a debt, promise settlements, carry out fills, and propose entries. Entries are lost,
//! duplicated and reordered, brokers crash between any two steps or lose their folder, and the counts of a failed broker arrive
//! late or never.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Mutex;

use dunepond_settlement::*;
use rstest::rstest;
use stateright::{Checker, Model, Property, UniformChooser};

/// Bytes that `a` owes `b`.
const DEBT_BYTES: u64 = 4;
/// Bytes of the debt that only the failed broker counted.
const FAILED_BROKER_BYTES: u64 = 1;
const BROKERS: [&str; 2] = ["x", "y"];
/// For each fill: its id, the bytes of the debt that it settles, and the indexes of the brokers that may plan it. Both brokers
/// may plan the first one, as during a leader change.
const FILLS: [(&str, u64, &[usize]); 2] = [("1/1/h", 2, &[0, 1]), ("1/2/h", 2, &[1])];
/// Maximum number of times that the same entry is committed.
const MAX_COMMITS: u8 = 2;
/// Index of the broker that may lose its folder.
const LOSES_FOLDER: usize = 1;
/// Index of the broker that may crash.
const CRASHES: usize = 0;
/// Index of the broker that may release (give back) a part of its share.
const RELEASES: usize = 0;
/// Index of the broker that may receive the failed broker's counts.
const RECEIVES_COUNTS: usize = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Broker {
    /// Number of log entries that the broker has applied to its ledger.
    applied: usize,
    ledger: SettlementLedger,
    /// Promises, stored in the broker's folder.
    shares: SharePromises,
    /// Complete fills, by index in `FILLS`.
    complete: BTreeSet<usize>,
    /// Running fills, by index in `FILLS`. A crash clears them.
    running: BTreeSet<usize>,
    knows_all_counts: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    brokers: Vec<Broker>,
    /// Number of commits of each proposed entry. An entry may be committed repeatedly or never.
    proposed: BTreeMap<SettlementEntry, u8>,
    log: Vec<SettlementEntry>,
    /// The ledger after all entries of the log.
    committed: SettlementLedger,
    /// Fills whose settlement was applied to `committed`, in the order of the log.
    settled_fills: Vec<String>,
    has_lost_folder: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
// Entries are not boxed, because the model compares them.
#[allow(clippy::large_enum_variant)]
enum Action {
    Allot(usize),
    StartFill(usize, usize),
    CompleteFill(usize, usize),
    Release(usize),
    Commit(SettlementEntry),
    ApplyEntry(usize),
    ReceiveCounts(usize),
    Crash(usize),
    LoseFolder(usize),
}

struct SettlementModel {
    /// Maximum number of entries in the log.
    max_log_len: usize,
    /// Cache of allotments, by ledger and by whether all counts are known. Balances are expensive to compute and often the
    /// same.
    allotments: Mutex<HashMap<(SettlementLedger, bool), Option<Allotment>>>,
}

/// The settlement of a fill by a broker, both given by index.
fn settlement(fill: usize, broker: usize) -> Settlement {
    Settlement {
        id: format!("{}@{}", FILLS[fill].0, BROKERS[broker]),
        debtor: "a".into(),
        creditor: "b".into(),
        bytes: FILLS[fill].1,
        segment: fill as u64,
        holder: "h".into(),
        source: "s".into(),
    }
}

/// The balances that a broker computes from its ledger and the counts that it knows.
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
    type State = SystemState;
    type Action = Action;

    fn init_states(&self) -> Vec<SystemState> {
        let broker = |name: &&str| Broker {
            applied: 0,
            ledger: SettlementLedger::default(),
            shares: SharePromises::new(name).unwrap(),
            complete: BTreeSet::new(),
            running: BTreeSet::new(),
            knows_all_counts: false,
        };
        vec![SystemState {
            brokers: BROKERS.iter().map(broker).collect(),
            proposed: BTreeMap::new(),
            log: Vec::new(),
            committed: SettlementLedger::default(),
            settled_fills: Vec::new(),
            has_lost_folder: false,
        }]
    }

    fn actions(&self, state: &SystemState, actions: &mut Vec<Action>) {
        for (b, broker) in state.brokers.iter().enumerate() {
            actions.push(Action::Allot(b));
            for (f, (_, _, at)) in FILLS.iter().enumerate() {
                if at.contains(&b) && !broker.complete.contains(&f) && !broker.running.contains(&f) {
                    actions.push(Action::StartFill(b, f));
                }
            }
            actions.extend(broker.running.iter().map(|f| Action::CompleteFill(b, *f)));
            if b == RELEASES {
                actions.push(Action::Release(b));
            }
            if broker.applied < state.log.len() {
                actions.push(Action::ApplyEntry(b));
            }
            if b == RECEIVES_COUNTS && !broker.knows_all_counts {
                actions.push(Action::ReceiveCounts(b));
            }
            if b == CRASHES && !broker.running.is_empty() {
                actions.push(Action::Crash(b));
            }
            if b == LOSES_FOLDER && !state.has_lost_folder {
                actions.push(Action::LoseFolder(b));
            }
        }
        if state.log.len() < self.max_log_len {
            let committable = state.proposed.iter().filter(|(_, commits)| **commits < MAX_COMMITS);
            actions.extend(committable.map(|(entry, _)| Action::Commit(entry.clone())));
        }
    }

    fn next_state(&self, state: &SystemState, action: Action) -> Option<SystemState> {
        let mut state = state.clone();
        match action {
            Action::Allot(b) => {
                let broker = &state.brokers[b];
                let mut allotments = self.allotments.lock().unwrap();
                let cached = allotments.entry((broker.ledger.clone(), broker.knows_all_counts));
                let make_allotment = || allot_evenly(&balances(broker), "a", "b", &BROKERS.map(String::from));
                let entry = cached.or_insert_with(make_allotment).clone()?;
                state.proposed.entry(SettlementEntry::Allot(entry)).or_default();
            }
            Action::StartFill(b, f) => {
                let broker = &mut state.brokers[b];
                // The promise is stored before the fill starts.
                broker.shares.promise(&broker.ledger, settlement(f, b)).ok()?;
                broker.running.insert(f);
            }
            Action::CompleteFill(b, f) => {
                state.brokers[b].running.remove(&f);
                state.brokers[b].complete.insert(f);
                // The settlement can be committed from now on. The model explores whether it is, and how often.
                state.proposed.entry(SettlementEntry::Settle(settlement(f, b))).or_default();
            }
            Action::Release(b) => {
                let broker = &mut state.brokers[b];
                let entry = broker.shares.release(&broker.ledger, "a", "b", 1).ok()?;
                state.proposed.entry(entry).or_default();
            }
            Action::Commit(entry) => {
                *state.proposed.get_mut(&entry)? += 1;
                if let (Ok(ApplyOutcome::New), SettlementEntry::Settle(settlement)) =
                    (state.committed.apply(&entry), &entry)
                {
                    state.settled_fills.push(settlement.fill().to_string());
                }
                state.log.push(entry);
            }
            Action::ApplyEntry(b) => {
                let broker = &mut state.brokers[b];
                let entry = &state.log[broker.applied];
                broker.applied += 1;
                let rejected = match (broker.ledger.apply(entry), entry) {
                    (Err(_), SettlementEntry::Settle(settlement)) => vec![settlement.clone()],
                    _ => vec![],
                };
                broker.shares.reconcile(&broker.ledger, &rejected);
            }
            Action::ReceiveCounts(b) => state.brokers[b].knows_all_counts = true,
            Action::Crash(b) => {
                state.brokers[b].running.clear();
            }
            Action::LoseFolder(b) => {
                let new_broker = self.init_states().remove(0).brokers.remove(b);
                state.brokers[b] = new_broker;
                state.has_lost_folder = true;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("settlements within the debt", |_, state: &SystemState| {
                state.committed.settled("a", "b") <= state.committed.allotted("a", "b")
                    && state.committed.allotted("a", "b") <= DEBT_BYTES
            }),
            Property::always("applied once", |_, state: &SystemState| {
                let once: BTreeSet<&String> = state.settled_fills.iter().collect();
                once.len() == state.settled_fills.len()
            }),
            // Promises made during a partition can be settled later, as long as no folder was lost.
            Property::always("promises within the debt", |_, state: &SystemState| {
                let open = state.brokers.iter().flat_map(|broker| broker.shares.pending_entries());
                let open = open.filter_map(|entry| match entry {
                    SettlementEntry::Settle(settlement) if !state.committed.is_settled(settlement.fill()) => {
                        Some(settlement.bytes)
                    }
                    _ => None,
                });
                state.has_lost_folder || open.sum::<u64>() + state.committed.settled("a", "b") <= DEBT_BYTES
            }),
            Property::sometimes("all is settled", |_, state: &SystemState| {
                state.committed.settled("a", "b") == DEBT_BYTES
            }),
        ]
    }
}

/// Explores all interleavings up to the given length of the log.
#[rstest]
#[case::short_log(3)]
#[ignore = "run manually: some minutes in a release build"]
#[case::long_log(4)]
fn invariants_hold(#[case] max_log_len: usize) {
    let checker =
        SettlementModel { max_log_len, allotments: Mutex::default() }.checker().threads(2).spawn_bfs().join();
    println!(
        "{} states, {} of them unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

/// Random walks from a fixed seed with a longer log, which reach states that the exhaustive search does not.
#[rstest]
fn invariants_hold_on_long_paths() {
    let model = SettlementModel { max_log_len: 10, allotments: Mutex::default() }
        .checker()
        .target_state_count(40_000);
    let checker = model.spawn_simulation(34, UniformChooser).join();
    println!("{} states, depth {}", checker.state_count(), checker.max_depth());
    for name in ["settlements within the debt", "applied once", "promises within the debt"] {
        checker.assert_no_discovery(name);
    }
}
