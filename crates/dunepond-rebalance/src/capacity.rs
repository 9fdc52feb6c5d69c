//! Capacities of nodes, replica groups and partners, and descriptions of capacities that a step would exceed.

use std::collections::BTreeMap;
use std::fmt;

use dunepond_shard_map::VerifiedMap;

use crate::{Capacity, Plan};

/// What a capacity applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CapacityScope {
    /// The node with this name.
    Node(String),
    /// All nodes of the replica group with this name together.
    ReplicaGroup(String),
    /// All nodes of the partner with this name together.
    Partner(String),
}

impl fmt::Display for CapacityScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(name) => write!(f, "node `{name}`"),
            Self::ReplicaGroup(name) => write!(f, "replica group `{name}`"),
            Self::Partner(name) => write!(f, "partner `{name}`"),
        }
    }
}

/// Unit in which a capacity is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityUnit {
    /// Bytes of data.
    Bytes,
    /// Number of replicas of segments.
    Segments,
}

impl fmt::Display for CapacityUnit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bytes => "bytes",
            Self::Segments => "segments",
        })
    }
}

/// A capacity that a step would exceed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityShortage {
    /// What the capacity applies to.
    pub scope: CapacityScope,
    /// Unit of `capacity`, `used` and `added`.
    pub unit: CapacityUnit,
    /// Maximum amount that the plan allows.
    pub capacity: u64,
    /// Amount of the capacity in use before the step.
    pub used: u64,
    /// Amount that the step would add.
    pub added: u64,
    /// Indexes (from 0) of operations of the plan that would free some of this capacity, but cannot run before the
    /// step.
    pub freed_by: Vec<usize>,
}

impl CapacityShortage {
    /// Amount by which the capacity would be exceeded, in `unit`.
    pub fn missing(&self) -> u64 {
        (self.used + self.added).saturating_sub(self.capacity)
    }
}

impl fmt::Display for CapacityShortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { scope, unit, capacity, used, added, freed_by } = self;
        let missing = self.missing();
        write!(
            f,
            "{scope} has a capacity of {capacity} {unit}, holds {used} and would get {added}: {missing} short"
        )?;
        if freed_by.is_empty() {
            write!(f, "; no operation of the plan frees capacity there")
        } else {
            write!(f, "; operations {freed_by:?} would free some, but cannot run before")
        }
    }
}

/// Looks up the replica group and partner of a node, and the capacities that the plan sets.
pub(crate) struct CapacityLimits<'a> {
    plan: &'a Plan,
    partner_by_node: BTreeMap<String, String>,
}

impl<'a> CapacityLimits<'a> {
    /// Takes a node's partner from the map. The partner that the plan names is used only for nodes without a replica in
    /// the map.
    pub fn new(plan: &'a Plan, map: &VerifiedMap) -> Self {
        let mut partner_by_node = BTreeMap::new();
        for replica in map.segments().flat_map(|segment| &segment.replicas) {
            if !partner_by_node.contains_key(&replica.node) {
                partner_by_node.insert(replica.node.clone(), replica.partner.clone());
            }
        }
        for (name, node) in &plan.nodes {
            if let Some(partner) = &node.partner {
                partner_by_node.entry(name.clone()).or_insert(partner.clone());
            }
        }
        Self { plan, partner_by_node }
    }

    /// Partner of the node, if the map or the plan names one.
    pub fn partner(&self, node: &str) -> Option<&String> {
        self.partner_by_node.get(node)
    }

    /// Scopes whose capacities a replica on the node uses: the node, its replica group and its partner.
    pub fn scopes(&self, node: &str) -> impl Iterator<Item = CapacityScope> {
        let group = self.plan.nodes.get(node).and_then(|node| node.replica_group.clone());
        let scopes = [
            Some(CapacityScope::Node(node.to_string())),
            group.map(CapacityScope::ReplicaGroup),
            self.partner(node).cloned().map(CapacityScope::Partner),
        ];
        scopes.into_iter().flatten()
    }

    /// Whether replicas on the node use the scope's capacity.
    pub fn is_in(&self, node: &str, scope: &CapacityScope) -> bool {
        self.scopes(node).any(|other| other == *scope)
    }

    /// Capacity of the scope; unbounded if the plan sets none.
    pub fn capacity(&self, scope: &CapacityScope) -> Capacity {
        let capacity = match scope {
            CapacityScope::Node(name) => self.plan.nodes.get(name).map(|node| node.capacity),
            CapacityScope::ReplicaGroup(name) => self.plan.replica_groups.get(name).copied(),
            CapacityScope::Partner(name) => self.plan.partners.get(name).copied(),
        };
        capacity.unwrap_or_default()
    }
}
