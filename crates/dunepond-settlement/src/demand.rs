//! Inputs and results of the fill planner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Fill;

/// Margin above the units that a node in slow start is expected to receive in a window, in standard deviations of a Poisson
/// count.
const MARGIN_STANDARD_DEVIATIONS: f64 = 3.0;
/// Margin above the units that a node in slow start is expected to receive in a window, in units and in addition to
/// [`MARGIN_STANDARD_DEVIATIONS`].
const MARGIN_UNITS: f64 = 3.0;

/// A replica that has to be filled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillDemand {
    /// Number of the configuration version whose shard map requires the replica.
    pub version: u64,
    /// Id of the segment to copy.
    pub segment: u64,
    /// Name of the node to fill.
    #[serde(rename = "holder")]
    pub node: String,
    /// Partner to which the filled node belongs.
    #[serde(rename = "holder_partner")]
    pub partner: String,
    /// Filled replicas of the segment, from which it can be copied.
    pub sources: Vec<FillSource>,
    /// Size of the segment in bytes.
    pub bytes: u64,
    /// Number of the node's start that emptied the replica; 0 for a replica that the configuration version adds.
    pub start: u64,
}

/// A filled replica of a segment, from which the segment can be copied. Serialized as a pair of node and partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct FillSource {
    /// Name of the node that has the replica.
    pub node: String,
    /// Partner to which the node belongs.
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
    /// Returns the id of the demand and of its fill: `VERSION/SEGMENT/NODE`, followed by `+START` if a start of the node
    /// emptied the replica.
    pub fn id(&self) -> String {
        let id = Fill::id_of(self.version, self.segment, &self.node);
        if self.start == 0 { id } else { format!("{id}+{}", self.start) }
    }
}

/// An ordered pair of partners.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartnerPair {
    /// Name of the partner that sends bytes or owes them.
    pub from: String,
    /// Name of the partner that receives bytes or is owed them.
    pub to: String,
}

impl PartnerPair {
    /// Creates the pair of two partners, given by name.
    pub fn new(from: &str, to: &str) -> Self {
        Self { from: from.to_string(), to: to.to_string() }
    }
}

/// Rates in bytes per second that fills may use between partners and inside a partner, summed over all brokers.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCapacities {
    /// Maximum total rate of fills from the source's partner to the filled node's partner, in bytes per second.
    pub rate_caps: BTreeMap<PartnerPair, f64>,
    /// Maximum rate in bytes per second for a pair of different partners that is not in `rate_caps`.
    pub default_rate_cap: f64,
    /// Maximum rate in bytes per second of fills inside one partner that is not in `rate_caps`.
    pub internal_rate_cap: f64,
}

impl LinkCapacities {
    /// Returns the capacities multiplied by `fraction`, for one of several planners.
    pub fn scaled(&self, fraction: f64) -> LinkCapacities {
        LinkCapacities {
            rate_caps: self.rate_caps.iter().map(|(pair, cap)| (pair.clone(), cap * fraction)).collect(),
            default_rate_cap: self.default_rate_cap * fraction,
            internal_rate_cap: self.internal_rate_cap * fraction,
        }
    }

    /// Returns the maximum rate in bytes per second from one partner to another, or inside a partner if both are the same.
    pub fn rate_cap(&self, from: &str, to: &str) -> f64 {
        let default_cap = if from == to { self.internal_rate_cap } else { self.default_rate_cap };
        self.rate_caps.get(&PartnerPair::new(from, to)).copied().unwrap_or(default_cap)
    }
}

/// Work that nodes in slow start may receive in each window, summed over all brokers.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartCapacity {
    /// Length in seconds of the window to which the capacities of the nodes apply.
    pub window_seconds: f64,
    /// Bytes of a fill that count as one unit of work.
    pub unit_bytes: u64,
    /// Capacities by name of the node. A node that is not listed has no limit.
    pub nodes: BTreeMap<String, NodeCapacity>,
}

/// Capacity of a node in slow start, in units per window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCapacity {
    /// Units that the node is expected to receive in a window.
    pub expected_units: f64,
    /// Units per window that queries already use.
    pub used_units: f64,
}

/// Returns the maximum units that a node in slow start may receive in a window in which `expected_units` are expected. The
/// margin is three standard deviations of a Poisson count plus three units.
pub fn max_slow_start_units(expected_units: f64) -> f64 {
    expected_units + MARGIN_STANDARD_DEVIATIONS * expected_units.sqrt() + MARGIN_UNITS
}

impl SlowStartCapacity {
    /// Returns the rate in bytes per second that fills may send to the node; infinite if the node has no limit.
    ///
    /// One unit per window is kept free: a unit is counted when it starts, so a steady flow can put one more unit into a window
    /// than its rate implies.
    pub fn rate_cap(&self, node: &str) -> f64 {
        let Some(capacity) = self.nodes.get(node) else { return f64::INFINITY };
        let free_units = max_slow_start_units(capacity.expected_units) - capacity.used_units - 1.0;
        free_units.max(0.0) * self.unit_bytes as f64 / self.window_seconds
    }
}

/// Rule by which the planner chooses the next demand and its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanningRule {
    /// Serves the partner that is owed most first, and fills it from the partner that owes it most.
    MaxMin,
    /// Serves the partners in turn, each with a quantum of bytes that grows with what the partner is owed. Sources are chosen
    /// as with [`PlanningRule::MaxMin`].
    DeficitRoundRobin,
    /// Serves the demands in the given order, each from the source whose link has the highest free rate. Serves as the
    /// baseline for comparisons.
    Cheapest,
}

/// Reason why the planner has not started a fill for a demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WaitReason {
    /// The demand's fill is already running.
    Running,
    /// No other node has a filled replica of the segment.
    NoSource,
    /// Every link from a source has less than the minimum fill rate free.
    Link,
    /// The node is in slow start, and its free rate is below the minimum fill rate.
    #[serde(rename = "Cold")]
    SlowStart,
    /// The fill is too large for the limits per fill or per window, or would raise a debt above the maximum debt.
    #[serde(rename = "Far")]
    DebtSize,
    /// The fills between the two partners in this window would exceed the limit on the change of a debt, or the pair is
    /// reserved for a partner that has waited too long.
    #[serde(rename = "Fast")]
    DebtSpeed,
    /// The source's partner would carry more bytes in this window than its limit, or its capacity is reserved for a partner
    /// that has waited too long.
    #[serde(rename = "Carry")]
    CarryLimit,
}

/// Result of one call of [`crate::FillPlanner::plan`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FillPlan {
    /// Fills to start now.
    pub fills: Vec<Fill>,
    /// Demands for which no fill starts now.
    pub waiting: Vec<WaitingDemand>,
}

/// A demand for which no fill starts now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingDemand {
    /// Id of the demand, as returned by [`FillDemand::id`].
    pub id: String,
    /// Why no fill starts now.
    pub reason: WaitReason,
}
