//! What must hold at every moment, whatever fails. Each breach is a panic that says when and who.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_consensus::{ActiveConfig, ConfigPhase, EntryOutcome, SegmentOwner, StateChange};

use crate::debts;

/// Non-replayable parts under way at one owner: until when, and who sent the last of them.
struct Under {
    until: f64,
    by: usize,
}

/// Judges a fleet as it goes on. Times are true ones.
#[derive(Default)]
pub struct Judge {
    /// What each place of the log came to, whoever said so first.
    outcomes: BTreeMap<u64, String>,
    settled: BTreeMap<String, u64>,
    /// By segment and owner.
    under: BTreeMap<u64, BTreeMap<String, Under>>,
    /// True times at which each number was seen first in a voter's log as proposed, and in force; and each settlement.
    pub proposed_at: BTreeMap<u64, f64>,
    pub in_force_at: BTreeMap<u64, f64>,
    pub settled_at: BTreeMap<String, f64>,
    pub withdrawn: BTreeSet<u64>,
    /// Last true time at which some broker acted on the number alone.
    pub alone_last: BTreeMap<u64, f64>,
    /// Of the moment that is judged: what is acted on, and the first who does.
    sides: BTreeMap<(u64, u64), usize>,
    /// Seconds; the longest that anybody acted on a version alone after the next was agreed on.
    pub longest: f64,
}

impl Judge {
    /// What became of an entry, as `name` applied it.
    pub fn applied(&mut self, now: f64, name: &str, outcome: &EntryOutcome) {
        let said = format!("{:?}", outcome.result);
        match self.outcomes.get(&outcome.index) {
            Some(known) => assert_eq!(*known, said, "the log differs at {} for {name}", outcome.index),
            None => drop(self.outcomes.insert(outcome.index, said)),
        }
        match &outcome.result {
            Ok(StateChange::Proposed(number)) => drop(self.proposed_at.entry(*number).or_insert(now)),
            Ok(StateChange::Withdrawn(number)) => drop(self.withdrawn.insert(*number)),
            Ok(StateChange::Activated(number)) => drop(self.in_force_at.entry(*number).or_insert(now)),
            Ok(change) => {
                if let Some(id) = debts::settled(change) {
                    let at = *self.settled.entry(id.to_string()).or_insert(outcome.index);
                    assert_eq!(at, outcome.index, "settlement {id} counted twice");
                    self.settled_at.entry(id.to_string()).or_insert(now);
                }
            }
            Err(_) => {}
        }
    }

    /// What all have passed need not be remembered: places of the log, and versions.
    pub fn forget(&mut self, index: u64, number: u64) {
        self.outcomes = self.outcomes.split_off(&index);
        self.settled.retain(|_, at| *at >= index);
        self.settled_at.retain(|id, _| self.settled.contains_key(id));
        let versions = [&mut self.proposed_at, &mut self.in_force_at, &mut self.alone_last];
        versions.into_iter().for_each(|times| *times = times.split_off(&number));
        self.withdrawn = self.withdrawn.split_off(&number);
    }

    /// A moment is judged from here on.
    pub fn moment(&mut self, now: f64) {
        self.sides.clear();
        for under in self.under.values_mut() {
            under.retain(|_, under| under.until > now);
        }
    }

    /// Broker `n` acts by `acting` at `clock`, and sends a non-replayable part of each of `segments` wherever it may. It
    /// may be under way for `lasts` true seconds.
    #[allow(clippy::too_many_arguments)]
    pub fn acts(
        &mut self,
        now: f64,
        n: usize,
        acting: &ActiveConfig,
        clock: f64,
        segments: &[u64],
        lasts: f64,
        bound: f64,
    ) {
        let live = acting.lease_valid(clock);
        let sides = match acting.phase(clock) {
            ConfigPhase::LeaseExpired(_) => None,
            ConfigPhase::Unconfigured if !live => None,
            ConfigPhase::Unconfigured => Some((0, 0)),
            ConfigPhase::Active(a) => Some((a, a)),
            ConfigPhase::Joint(a, b) => Some((a, b)),
        };
        if let Some((a, b)) = sides
            && a == b
        {
            self.alone_last.insert(a, now);
            // The next one that was not taken back: from T after it was agreed on, nobody acts on this alone.
            let next = self.proposed_at.range(a + 1..).find(|(number, _)| !self.withdrawn.contains(number));
            if let Some((_, at)) = next {
                self.longest = self.longest.max(now - at);
                assert!(now - at <= bound, "{now:.2}: n{} acts on {a} alone {:.2} s on", n + 1, now - at);
            }
        }
        if let Some(sides) = sides {
            self.sides.entry(sides).or_insert(n);
        }
        for &segment in segments {
            let SegmentOwner::Node(owner) = acting.owner(segment, clock) else { continue };
            let under = self.under.entry(segment).or_default();
            if let Some((other, at)) = under.iter().find(|(other, _)| *other != owner) {
                let by = at.by + 1;
                panic!("{now:.2}: n{} sends segment {segment} to {owner}, n{by} has it at {other}", n + 1);
            }
            match under.get_mut(owner) {
                Some(under) => *under = Under { until: under.until.max(now + lasts), by: n },
                None => drop(under.insert(owner.to_string(), Under { until: now + lasts, by: n })),
            }
        }
    }

    /// All have acted: whoever acts at the same moment shares a version.
    pub fn judged(&self, now: f64) {
        let all: Vec<_> = self.sides.iter().collect();
        for (i, ((a, b), by)) in all.iter().enumerate() {
            for ((c, d), other) in &all[..i] {
                let shared = a == c || a == d || b == c || b == d;
                let (by, other) = (*by + 1, *other + 1);
                assert!(shared, "{now:.2}: n{by} acts on {:?}, n{other} on {:?}", [a, b], [c, d]);
            }
        }
    }

    /// Everybody who acted at the last moment acts on `number` or a later one alone.
    pub fn all_from(&self, number: u64) -> bool {
        !self.sides.is_empty() && self.sides.keys().all(|(a, _)| *a >= number)
    }

    /// Settlements that were agreed on.
    pub fn settlements(&self) -> BTreeSet<&str> {
        self.settled.keys().map(String::as_str).collect()
    }
}
