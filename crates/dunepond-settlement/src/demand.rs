//! Inputs and result of the planner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Fill;

const MARGIN_DEVIATIONS: f64 = 3.0;
const MARGIN_UNITS: f64 = 3.0;

/// A replica that has to be filled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillDemand {
    /// Number of the version whose map requires it.
    pub version: u64,
    /// Id of the segment.
    pub segment: u64,
    /// Node to fill.
    pub holder: String,
    /// Its partner.
    pub holder_partner: String,
    /// Filled nodes and their partners.
    pub sources: Vec<(String, String)>,
    /// Size of the segment.
    pub bytes: u64,
    /// The start of the node that emptied it; 0 for a replica that the version adds.
    pub start: u64,
}

impl FillDemand {
    /// `VERSION/SEGMENT/NODE`, with `+START` where a start of the node emptied it.
    pub fn id(&self) -> String {
        let id = Fill::id_of(self.version, self.segment, &self.holder);
        if self.start == 0 { id } else { format!("{id}+{}", self.start) }
    }
}

/// Bytes a second that fills may use from one partner to another, over all brokers together.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCapacities {
    /// By source partner and filled partner.
    pub caps: BTreeMap<(String, String), f64>,
    /// For a pair that is not listed.
    pub unstated: f64,
    /// Inside one partner.
    pub inside: f64,
}

impl LinkCapacities {
    /// This fraction of every rate, for a planner that is one of several.
    pub fn fraction(&self, part: f64) -> LinkCapacities {
        let caps = self.caps.iter().map(|(pair, cap)| (pair.clone(), cap * part)).collect();
        LinkCapacities { caps, unstated: self.unstated * part, inside: self.inside * part }
    }

    /// Between two partners.
    pub fn rate_cap(&self, from: &str, to: &str) -> f64 {
        let otherwise = if from == to { self.inside } else { self.unstated };
        self.caps.get(&(from.to_string(), to.to_string())).copied().unwrap_or(otherwise)
    }
}

/// What a node in slow start may be sent in each window, by all brokers together.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartCapacity {
    /// Seconds.
    pub window: f64,
    /// Bytes of one unit.
    pub unit: u64,
    /// By node; a node that is not listed has no limit.
    pub rooms: BTreeMap<String, NodeCapacity>,
}

/// Units of one node in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCapacity {
    /// Units that it is expected to get.
    pub expected: f64,
    /// Units that queries use already.
    pub taken: f64,
}

/// The most that a node in slow start may get where `expected` units are intended: a margin of three standard deviations
/// of a Poisson count, and three units.
pub fn max_units(expected: f64) -> f64 {
    expected + MARGIN_DEVIATIONS * expected.sqrt() + MARGIN_UNITS
}

impl SlowStartCapacity {
    /// Bytes a second that fills may send to the node. A unit is counted when it starts, so a steady flow may put one more
    /// into a window than its rate says: that one stays free.
    pub fn rate_cap(&self, node: &str) -> f64 {
        self.rooms.get(node).map_or(f64::INFINITY, |room| {
            (max_units(room.expected) - room.taken - 1.0).max(0.0) * self.unit as f64 / self.window
        })
    }
}

/// How the order of service and the sources are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanningRule {
    /// The partner that is owed most is served first, from the partner that owes it most.
    MaxMin,
    /// Partners in turn, each with a quantum that grows with what it is owed; sources as in `MaxMin`.
    DeficitRoundRobin,
    /// Demands in their order, each from the source with the fastest free link: the baseline.
    Cheapest,
}

/// Why a demand has no fill now.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WaitReason {
    /// Its fill is running.
    Running,
    /// No other node is filled.
    NoSource,
    /// No link from a source has the minimum rate free.
    Link,
    /// The node is in slow start and has no capacity.
    Cold,
    /// It would move a debt too far.
    Far,
    /// It would move a debt too fast.
    Fast,
    /// The sources' partners have carried their limit in this window.
    Carry,
}

/// Result of one call of the planner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FillPlan {
    /// To be started now.
    pub fills: Vec<Fill>,
    /// Ids of demands that have to wait, and why.
    pub held: Vec<(String, WaitReason)>,
}
