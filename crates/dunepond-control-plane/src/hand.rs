//! What the broker's loop holds of the fleet: nothing in it waits for anything.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use arc_swap::{ArcSwap, Cache};
use crossbeam_channel::Sender;
use dunepond_consensus::{Acting, Phase};
use dunepond_membership::Counters;
use dunepond_shard_map::Node;

use crate::clock::steady;
use crate::host::Started;
use crate::record::{Act, Recorder, Word};

/// Bytes that each partner carried for each, as this broker saw it since its start: the loop adds, the fleet's thread
/// takes what is new.
pub struct Carried {
    partners: usize,
    cells: Vec<AtomicU64>,
}

impl Carried {
    pub fn new(partners: usize) -> Self {
        Self { partners, cells: (0..partners * partners).map(|_| AtomicU64::new(0)).collect() }
    }

    fn add(&self, carrier: usize, owed_by: usize, bytes: u64) {
        if owed_by < self.partners
            && let Some(cell) = self.cells.get(carrier * self.partners + owed_by)
        {
            cell.fetch_add(bytes, Relaxed);
        }
    }

    /// What came since it was asked last: carrier, who owes it, bytes.
    pub fn take(&self) -> Vec<(usize, usize, u64)> {
        let taken = self.cells.iter().enumerate().map(|(at, cell)| {
            let bytes = if cell.load(Relaxed) == 0 { 0 } else { cell.swap(0, Relaxed) };
            (at / self.partners, at % self.partners, bytes)
        });
        taken.filter(|(_, _, bytes)| *bytes > 0).collect()
    }
}

/// What the loop tells the thread, seldom.
pub enum Command {
    /// The files are to be read again; the version file may have another name.
    Reread(Option<PathBuf>),
    /// The same of the file of plans.
    Moves(Option<PathBuf>),
    Stop,
}

/// Counted by loop and thread alike, never decreasing.
#[derive(Default)]
pub struct Tally {
    pub throttled: AtomicU64,
    pub held_back: AtomicU64,
    pub not_whole: AtomicU64,
    pub leases: AtomicU64,
    pub refused: AtomicU64,
    pub fills: AtomicU64,
    pub fills_failed: AtomicU64,
    pub settled: AtomicU64,
    pub syncs: AtomicU64,
    /// As the loop saw its nodes last.
    pub pressed: AtomicBool,
}

pub(crate) fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// What this broker may act on, as one thread sees it: while nothing new has come, a look is one read.
pub struct Watch(Cache<Arc<ArcSwap<Acting>>, Arc<Acting>>);

impl Watch {
    /// At this moment, as [`Hand::acting`] gives it.
    pub fn acting(&mut self) -> &Arc<Acting> {
        self.0.load()
    }
}

/// Cheap to clone.
#[derive(Clone)]
pub struct Hand {
    pub(crate) acting: Arc<ArcSwap<Acting>>,
    pub(crate) carried: Arc<Carried>,
    pub(crate) recorder: Option<Recorder>,
    pub(crate) commands: Sender<Command>,
    pub(crate) nodes: Arc<ArcSwap<Vec<Node>>>,
    pub(crate) started: Arc<ArcSwap<Vec<Started>>>,
    pub(crate) tally: Arc<Tally>,
    /// Units that this broker would use of each bound that the fleet shares.
    pub(crate) needs: Arc<ArcSwap<BTreeMap<String, u32>>>,
    /// What the links counted, a second ago at most.
    pub(crate) links: Arc<ArcSwap<Counters>>,
}

impl Hand {
    /// What this broker may act on, for whoever asks it at the moment of the act.
    pub fn acting(&self) -> Arc<Acting> {
        self.acting.load_full()
    }

    /// The same for one thread that asks often.
    pub fn watch(&self) -> Watch {
        Watch(Cache::new(self.acting.clone()))
    }

    /// So many bytes of an answer came from a holder of one partner, for a customer of another; by their places among
    /// the partners.
    pub fn carried(&self, carrier: usize, owed_by: usize, bytes: u64) {
        self.carried.add(carrier, owed_by, bytes);
    }

    pub fn records(&self) -> bool {
        self.recorder.is_some()
    }

    /// Notes an act, made only where acts are recorded.
    pub fn wrote(&self, act: impl FnOnce() -> Act) {
        if let Some(recorder) = &self.recorder {
            recorder.wrote(act());
        }
    }

    /// The same of an act that was judged at this moment, on the steady clock.
    pub fn wrote_at(&self, at: f64, act: impl FnOnce() -> Act) {
        if let Some(recorder) = &self.recorder {
            recorder.wrote_at(at, act());
        }
    }

    /// The nodes as discovery lists them now: a version that is read later is judged by them.
    pub fn listed(&self, nodes: Vec<Node>) {
        self.nodes.store(Arc::new(nodes));
    }

    /// The nodes that started not long ago, as discovery lists them now.
    pub fn started(&self, nodes: Vec<Started>) {
        self.started.store(Arc::new(nodes));
    }

    /// What this broker would use of bounds that the fleet shares, in units of the whole: told with the next lease.
    pub fn needs(&self, needs: BTreeMap<String, u32>) {
        self.needs.store(Arc::new(needs));
    }

    pub fn reread(&self, version: Option<PathBuf>) {
        // Full only if as many are waiting already.
        let _ = self.commands.try_send(Command::Reread(version));
    }

    pub fn reread_moves(&self, plan: Option<PathBuf>) {
        let _ = self.commands.try_send(Command::Moves(plan));
    }

    /// Whether this broker's nodes are pressed now: plans of moves pause where many brokers say so.
    pub fn press(&self, pressed: bool) {
        self.tally.pressed.store(pressed, Relaxed);
    }

    pub fn throttled(&self) {
        add(&self.tally.throttled);
    }

    pub fn held_back(&self) {
        add(&self.tally.held_back);
    }

    pub fn not_whole(&self) {
        add(&self.tally.not_whole);
    }

    /// A line for the counters.
    pub fn report(&self) -> String {
        let tally = &self.tally;
        let now = steady();
        let (phase, numbers) = phase(&self.acting(), now);
        let counted = [
            ("leases", &tally.leases),
            ("refused", &tally.refused),
            ("throttled", &tally.throttled),
            ("held back", &tally.held_back),
            ("not whole", &tally.not_whole),
            ("fills", &tally.fills),
            ("fills failed", &tally.fills_failed),
            ("settled", &tally.settled),
            ("syncs", &tally.syncs),
        ];
        let counted = counted.map(|(name, counter)| format!("{name} {}", counter.load(Relaxed)));
        let links = self.links.load().list();
        let links = links.into_iter().filter(|(_, count)| *count > 0);
        let links: Vec<_> = links.map(|(name, count)| format!("{name} {count}")).collect();
        format!("{phase:?} {numbers:?}; {}; links: {}", counted.join(", "), links.join(", "))
    }
}

/// A phase as the record names it, and the versions that are obeyed in it. With a lease and no version yet it is alone
/// on none.
pub fn phase(acting: &Acting, now: f64) -> (Word, Vec<u64>) {
    match acting.at(now) {
        Phase::None if now < acting.until() => (Word::Alone, Vec::new()),
        Phase::None => (Word::None, Vec::new()),
        Phase::Alone(number) => (Word::Alone, vec![number]),
        Phase::Joint(0, new) => (Word::Joint, vec![new]),
        Phase::Joint(old, new) => (Word::Joint, vec![old, new]),
        Phase::Cut(number) => {
            let known = (number > 0).then_some(number).into_iter().chain(acting.proposed());
            (Word::Cut, known.collect())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_watch_sees_what_is_new_at_once() {
        let acting = Arc::new(ArcSwap::from_pointee(Acting::none()));
        let mut watch = Watch(Cache::new(acting.clone()));
        let before = watch.acting().clone();
        assert!(Arc::ptr_eq(watch.acting(), &before));
        let next = Arc::new(Acting::none());
        acting.store(next.clone());
        assert!(Arc::ptr_eq(watch.acting(), &next));
    }

    #[test]
    fn bytes_are_taken_once_by_carrier_and_who_owes_them() {
        let carried = Carried::new(3);
        carried.add(0, 2, 10);
        carried.add(0, 2, 5);
        carried.add(2, 1, 7);
        // A partner that is none changes nothing.
        carried.add(3, 0, 1);
        carried.add(0, 3, 1);
        assert_eq!(carried.take(), [(0, 2, 15), (2, 1, 7)]);
        assert_eq!(carried.take(), []);
        carried.add(0, 2, 1);
        assert_eq!(carried.take(), [(0, 2, 1)]);
    }
}
