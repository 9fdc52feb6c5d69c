//! What a plan is made from, and what it is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Fill;

/// A holder that has to be brought to warmth.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Need {
    /// The version whose map asks for it.
    pub version: u64,
    pub segment: u64,
    pub holder: String,
    pub holder_partner: String,
    /// Filled holders and their partners.
    pub sources: Vec<(String, String)>,
    pub bytes: u64,
    /// Which start of the holder made it cold; 0 for a holder that the version brings.
    pub start: u64,
}

impl Need {
    /// `VERSION/SEGMENT/HOLDER`, with `+START` behind it where a start of the holder is what makes it cold.
    pub fn id(&self) -> String {
        let id = Fill::id_of(self.version, self.segment, &self.holder);
        if self.start == 0 { id } else { format!("{id}+{}", self.start) }
    }
}

/// Bytes a second that fills may take from one partner to another, over all brokers together.
#[derive(Clone, Debug, PartialEq)]
pub struct Links {
    pub caps: BTreeMap<(String, String), f64>,
    /// For a pair that is not named, and inside one partner.
    pub unstated: f64,
    pub inside: f64,
}

impl Links {
    /// This part of all that is bounded, for a planner that is one of several.
    pub fn part(&self, part: f64) -> Links {
        let caps = self.caps.iter().map(|(pair, cap)| (pair.clone(), cap * part)).collect();
        Links { caps, unstated: self.unstated * part, inside: self.inside * part }
    }

    pub fn cap(&self, from: &str, to: &str) -> f64 {
        let otherwise = if from == to { self.inside } else { self.unstated };
        self.caps.get(&(from.to_string(), to.to_string())).copied().unwrap_or(otherwise)
    }
}

/// What a cold node bears in `window` seconds, all brokers together: in units of `unit` bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Cold {
    pub window: f64,
    pub unit: u64,
    pub rooms: BTreeMap<String, Room>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Units that it may be expected to get.
    pub expected: f64,
    /// Units that scans and others take already.
    pub taken: f64,
}

/// The most that a cold node gets where `expected` is meant: chance has its place, no more.
pub fn bound(expected: f64) -> f64 {
    expected + 3.0 * expected.sqrt() + 3.0
}

impl Cold {
    /// Bytes a second that fills may bring. A unit is counted when it begins, so a steady flow may put one more into a
    /// window than its rate says: that one is left free.
    pub fn cap(&self, node: &str) -> f64 {
        self.rooms.get(node).map_or(f64::INFINITY, |room| {
            (bound(room.expected) - room.taken - 1.0).max(0.0) * self.unit as f64 / self.window
        })
    }
}

/// How the order of service and the sources are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// The partner that is owed most is served first, from the one that owes it most.
    MaxMin,
    /// Partners in turn, each with a quantum that grows with what it is owed; sources as above.
    DeficitRoundRobin,
    /// Needs as they come, each from the source with the fastest free link: the baseline.
    Cheapest,
}

/// Why a need has no fill now.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Held {
    /// Planned already, and not at its end.
    Running,
    NoSource,
    /// No link from a source has the least rate free.
    Link,
    /// The holder bears no more.
    Cold,
    /// It would move a debt too far, or too fast.
    Far,
    Fast,
    /// The sources' partners have carried their share of the window.
    Carry,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub fills: Vec<Fill>,
    /// Ids of fills that have to wait, and why.
    pub held: Vec<(String, Held)>,
}
