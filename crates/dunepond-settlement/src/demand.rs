//! Inputs and result of the planner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Fill;

/// Margin above the expected units of a window.
const MARGIN_STANDARD_DEVIATION_COUNT: f64 = 3.0;
const MARGIN_UNIT_COUNT: f64 = 3.0;

/// A replica that has to be filled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillDemand {
    /// Number of the version whose map requires it.
    pub version: u64,
    /// Id of the segment.
    pub segment: u64,
    /// Node to fill.
    #[serde(rename = "holder")]
    pub node: String,
    /// Its partner.
    #[serde(rename = "holder_partner")]
    pub partner: String,
    /// Filled replicas.
    pub sources: Vec<FillSource>,
    /// Size of the segment.
    pub bytes: u64,
    /// The start of the node that emptied it; 0 for a replica that the version adds.
    pub start: u64,
}

/// A filled replica. Serialised as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct FillSource {
    /// Name of the node.
    pub node: String,
    /// Its partner.
    pub partner: String,
}

impl From<(String, String)> for FillSource {
    fn from((node, partner): (String, String)) -> Self {
        Self { node, partner }
    }
}

impl From<FillSource> for (String, String) {
    fn from(source: FillSource) -> Self {
        (source.node, source.partner)
    }
}

impl FillDemand {
    /// `VERSION/SEGMENT/NODE`, with `+START` where a start of the node emptied it.
    pub fn id(&self) -> String {
        let id = Fill::id_of(self.version, self.segment, &self.node);
        if self.start == 0 { id } else { format!("{id}+{}", self.start) }
    }
}

/// A direction between two partners, by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartnerPair {
    /// Partner that bytes come from, or that owes them.
    pub from: String,
    /// Partner that they go to, or that is owed.
    pub to: String,
}

impl PartnerPair {
    /// The direction from one partner to another.
    pub fn new(from: &str, to: &str) -> Self {
        Self { from: from.to_string(), to: to.to_string() }
    }
}

/// Bytes a second that fills may use from one partner to another, over all brokers together.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCapacities {
    /// Highest rate by the source's partner and the filled node's.
    pub rate_caps: BTreeMap<PartnerPair, f64>,
    /// Highest rate for a pair that is not listed.
    pub default_rate_cap: f64,
    /// For fills between nodes of one partner.
    pub internal_rate_cap: f64,
}

impl LinkCapacities {
    /// This fraction of every rate, for a planner that is one of several.
    pub fn fraction(&self, fraction: f64) -> LinkCapacities {
        LinkCapacities {
            rate_caps: self.rate_caps.iter().map(|(pair, cap)| (pair.clone(), cap * fraction)).collect(),
            default_rate_cap: self.default_rate_cap * fraction,
            internal_rate_cap: self.internal_rate_cap * fraction,
        }
    }

    /// Highest rate from one partner to another, or inside one.
    pub fn rate_cap(&self, from: &str, to: &str) -> f64 {
        let otherwise = if from == to { self.internal_rate_cap } else { self.default_rate_cap };
        self.rate_caps.get(&PartnerPair::new(from, to)).copied().unwrap_or(otherwise)
    }
}

/// What a node in slow start may be sent in each window, by all brokers together.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartCapacity {
    /// Length of a window.
    pub window_seconds: f64,
    /// Size of one unit.
    pub unit_bytes: u64,
    /// By name; a node that is not listed has no limit.
    pub nodes: BTreeMap<String, NodeCapacity>,
}

/// Units of one node in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCapacity {
    /// Units that it is expected to get.
    pub expected_units: f64,
    /// Units that queries use already.
    pub used_units: f64,
}

/// The most that a node in slow start may get where `expected_units` are intended: a margin of three standard deviations
/// of a Poisson count, and three units.
pub fn max_units(expected_units: f64) -> f64 {
    expected_units + MARGIN_STANDARD_DEVIATION_COUNT * expected_units.sqrt() + MARGIN_UNIT_COUNT
}

impl SlowStartCapacity {
    /// Bytes a second that fills may send to the node. A unit is counted when it starts, so a steady flow may put one more
    /// into a window than its rate says: that one stays free.
    pub fn rate_cap(&self, node: &str) -> f64 {
        let Some(capacity) = self.nodes.get(node) else { return f64::INFINITY };
        let free_units = max_units(capacity.expected_units) - capacity.used_units - 1.0;
        free_units.max(0.0) * self.unit_bytes as f64 / self.window_seconds
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WaitReason {
    /// Its fill is running.
    Running,
    /// No other node is filled.
    NoSource,
    /// No link from a source has the minimum rate free.
    Link,
    /// The node is in slow start and has no capacity.
    #[serde(rename = "Cold")]
    SlowStart,
    /// It would change a debt too much.
    #[serde(rename = "Far")]
    DebtSize,
    /// It would change a debt too fast.
    #[serde(rename = "Fast")]
    DebtSpeed,
    /// The sources' partners have carried their limit in this window.
    #[serde(rename = "Carry")]
    CarryLimit,
}

/// Result of one call of the planner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FillPlan {
    /// Fills to be started now.
    pub fills: Vec<Fill>,
    /// Demands that have to wait.
    pub waiting: Vec<WaitingDemand>,
}

/// A demand that has no fill now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingDemand {
    /// Id of the demand, as [`FillDemand::id`].
    pub id: String,
    /// Why it waits.
    pub reason: WaitReason,
}
