//! Whose capacity counts, and how much of it is missing.

use std::collections::BTreeMap;
use std::fmt;

use dunepond_shard_map::VerifiedMap;

use crate::{Capacity, Plan};

/// Whose capacity it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CapacityScope {
    /// A node, by name.
    Node(String),
    /// A replica group, by name: all its nodes together.
    ReplicaGroup(String),
    /// A partner, by name: all its nodes together.
    Partner(String),
}

impl fmt::Display for CapacityScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(name) => write!(f, "node `{name}`"),
            Self::ReplicaGroup(name) => write!(f, "cell `{name}`"),
            Self::Partner(name) => write!(f, "partner `{name}`"),
        }
    }
}

/// What a capacity is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityUnit {
    /// Bytes of data.
    Bytes,
    /// Replicas of segments.
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

/// Whose capacity would be exceeded, and by how much.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityShortage {
    /// Whose capacity.
    pub scope: CapacityScope,
    /// Unit of all amounts here.
    pub unit: CapacityUnit,
    /// Most that the plan allows.
    pub capacity: u64,
    /// Amount in use now.
    pub used: u64,
    /// Amount that the step would add.
    pub added: u64,
    /// Operations of the plan (from 0) that would free some of it and are not possible before.
    pub freed_by: Vec<usize>,
}

impl CapacityShortage {
    /// How much is missing.
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
            "{scope} has room for {capacity} {unit}, holds {used} and would get {added}: {missing} short"
        )?;
        if freed_by.is_empty() {
            write!(f, "; nothing in the plan frees any there")
        } else {
            write!(f, "; operations {freed_by:?} would free some, and wait themselves")
        }
    }
}

/// Replica group and partner of each node, and the plan's capacities.
pub(crate) struct CapacityLimits<'a> {
    plan: &'a Plan,
    partner_by_node: BTreeMap<String, String>,
}

impl<'a> CapacityLimits<'a> {
    /// A node's partner is the one that the map names; the plan's is used only for nodes that the map does not have.
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

    pub fn partner(&self, node: &str) -> Option<&String> {
        self.partner_by_node.get(node)
    }

    /// All that a replica at the node counts for.
    pub fn scopes(&self, node: &str) -> impl Iterator<Item = CapacityScope> {
        let group = self.plan.nodes.get(node).and_then(|node| node.replica_group.clone());
        let scopes = [
            Some(CapacityScope::Node(node.to_string())),
            group.map(CapacityScope::ReplicaGroup),
            self.partner(node).cloned().map(CapacityScope::Partner),
        ];
        scopes.into_iter().flatten()
    }

    /// Whether the node counts for the scope.
    pub fn is_in(&self, node: &str, scope: &CapacityScope) -> bool {
        self.scopes(node).any(|other| other == *scope)
    }

    pub fn capacity(&self, scope: &CapacityScope) -> Capacity {
        let capacity = match scope {
            CapacityScope::Node(name) => self.plan.nodes.get(name).map(|node| node.capacity),
            CapacityScope::ReplicaGroup(name) => self.plan.replica_groups.get(name).copied(),
            CapacityScope::Partner(name) => self.plan.partners.get(name).copied(),
        };
        capacity.unwrap_or_default()
    }
}
