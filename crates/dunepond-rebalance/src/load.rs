//! Loads of nodes in bytes and in segments. Bytes are counted per key range that no operation of the plan splits, so
//! that a node's bytes do not depend on which segments were split or merged before.

use std::collections::BTreeMap;

use dunepond_shard_map::{KeyRange, Segment, VerifiedMap};

use crate::capacity::CapacityLimits;
use crate::{Capacity, CapacityScope, CapacityShortage, CapacityUnit, Operation, Plan};

/// Bytes of key ranges that no operation of the plan splits, by the range's first key. Together the ranges cover the
/// segments that the plan changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RangeBytes(BTreeMap<u64, u64>);

impl RangeBytes {
    /// Computes the ranges of the segments that the plan changes. The bytes of a segment are distributed over its
    /// ranges in proportion to their widths.
    pub fn new<'a>(plan: &Plan, changed: impl Iterator<Item = &'a Segment>) -> Self {
        let split_keys = all_split_keys(plan);
        let mut bytes = BTreeMap::new();
        for segment in changed {
            let keys = segment.keys;
            let (total, width) = (segment_bytes(plan, segment.id), keys.end() - u128::from(keys.from));
            // A range has the difference of the bytes before its two edges, so that rounding does not change the
            // segment's sum.
            let bytes_before = |edge: u128| scaled(total, edge - u128::from(keys.from), width);
            for range in range_edges(keys, &split_keys).windows(2) {
                bytes.insert(range[0] as u64, bytes_before(range[1]) - bytes_before(range[0]));
            }
        }
        Self(bytes)
    }

    /// Bytes of all ranges that start inside `keys`.
    pub fn bytes_in(&self, keys: KeyRange) -> u64 {
        let inside = self.0.range(keys.from..).take_while(|(from, _)| keys.contains(**from));
        inside.map(|(_, bytes)| *bytes).sum()
    }
}

/// Distinct keys at which any operation of the plan splits, in ascending order.
fn all_split_keys(plan: &Plan) -> Vec<u64> {
    let mut keys = Vec::new();
    for operation in &plan.operations {
        if let Operation::Split { split_keys, .. } = operation {
            keys.extend(split_keys);
        }
    }
    keys.sort_unstable();
    keys.dedup();
    keys
}

/// Edges of the ranges into which `split_keys` divide `keys`: the first key, the split keys inside, and the end
/// (exclusive).
fn range_edges(keys: KeyRange, split_keys: &[u64]) -> Vec<u128> {
    let first = split_keys.partition_point(|key| *key <= keys.from);
    let mut edges = vec![u128::from(keys.from)];
    edges.extend(
        split_keys[first..].iter().take_while(|key| keys.contains(**key)).map(|key| u128::from(*key)),
    );
    edges.push(keys.end());
    edges
}

/// `total * part / whole`. The key space is 2^64 wide, so the product needs 128 bits.
fn scaled(total: u64, part: u128, whole: u128) -> u64 {
    if part == whole {
        return total;
    }
    // No overflow: part < whole <= 2^64 and total < 2^64.
    (u128::from(total) * part / whole) as u64
}

/// Bytes of a segment of the active map: the size that the plan gives for the segment, otherwise the plan's default
/// size.
fn segment_bytes(plan: &Plan, segment: u64) -> u64 {
    plan.sizes.segment_bytes.get(&segment).copied().unwrap_or(plan.sizes.default_bytes)
}

/// Amount of data that a node, replica group or partner stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub bytes: u64,
    /// Number of replicas of segments.
    pub segments: u64,
}

impl Load {
    fn amount(&self, unit: CapacityUnit) -> u64 {
        match unit {
            CapacityUnit::Bytes => self.bytes,
            CapacityUnit::Segments => self.segments,
        }
    }

    pub fn add(&mut self, other: Self) {
        self.bytes = self.bytes.saturating_add(other.bytes);
        self.segments += other.segments;
    }
}

impl Capacity {
    /// Maximum amount in this unit; `None` if it is unbounded.
    fn limit(&self, unit: CapacityUnit) -> Option<u64> {
        match unit {
            CapacityUnit::Bytes => self.bytes,
            CapacityUnit::Segments => self.segments,
        }
    }
}

/// Load of one node from the segments that an action changes, before and after the action.
#[derive(Clone, Debug)]
pub(crate) struct LoadChange {
    pub node: String,
    pub before: Load,
    pub after: Load,
}

impl LoadChange {
    /// The load change that undoes this one.
    pub fn inverse(&self) -> Self {
        Self { node: self.node.clone(), before: self.after, after: self.before }
    }

    /// Load that the action adds to the node, in bytes and in segments; each is 0 if the action adds none or frees
    /// some.
    pub fn increase(&self) -> Load {
        Load {
            bytes: self.after.bytes.saturating_sub(self.before.bytes),
            segments: self.after.segments.saturating_sub(self.before.segments),
        }
    }
}

/// Load of each node, by the node's name.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeLoads(BTreeMap<String, Load>);

impl NodeLoads {
    /// Loads of the nodes from the segments that no operation of the plan changes.
    pub fn of_unchanged(plan: &Plan, map: &VerifiedMap, is_changed: impl Fn(u64) -> bool) -> Self {
        let mut loads = Self::default();
        for segment in map.segments().filter(|segment| !is_changed(segment.id)) {
            loads.add_segment(segment, segment_bytes(plan, segment.id));
        }
        loads
    }

    /// Adds a segment with this many bytes to the load of each node that has a replica.
    pub fn add_segment(&mut self, segment: &Segment, bytes: u64) {
        for replica in &segment.replicas {
            self.add(&replica.node, Load { bytes, segments: 1 });
        }
    }

    /// Adds to the load of a node.
    pub fn add(&mut self, node: &str, load: Load) {
        self.0.entry(node.to_string()).or_default().add(load);
    }

    /// Replaces the load that the node had from the changed segments before the action by the load after it.
    pub fn apply(&mut self, change: &LoadChange) {
        let load = self.0.entry(change.node.clone()).or_default();
        load.bytes = load.bytes.saturating_sub(change.before.bytes).saturating_add(change.after.bytes);
        load.segments = (load.segments + change.after.segments).saturating_sub(change.before.segments);
    }

    /// Sum of these loads and `other`, node by node.
    pub fn plus(mut self, other: &Self) -> Self {
        for (node, load) in &other.0 {
            self.add(node, *load);
        }
        self
    }

    /// Whether the plan sets no capacity for any of these nodes, their replica groups and their partners.
    pub fn is_unbounded(&self, limits: &CapacityLimits) -> bool {
        let mut scopes = self.0.keys().flat_map(|node| limits.scopes(node));
        scopes.all(|scope| limits.capacity(&scope) == Capacity::default())
    }

    /// The first capacity that these loads together with `added` exceed. Nodes are checked first, then replica groups,
    /// then partners, each in the order of their names. In the result `freed_by` is empty; the caller sets it.
    pub fn shortage(&self, added: &Self, limits: &CapacityLimits) -> Option<CapacityShortage> {
        let mut scopes: Vec<CapacityScope> = added.0.keys().flat_map(|node| limits.scopes(node)).collect();
        scopes.sort_unstable();
        scopes.dedup();
        scopes.into_iter().find_map(|scope| self.shortage_of(scope, added, limits))
    }

    /// Shortage of the scope's capacity; `None` if the capacity suffices. Only units in which `added` is not 0 are
    /// checked, so a load that already exceeds its capacity is not reported unless it grows.
    fn shortage_of(
        &self,
        scope: CapacityScope,
        added: &Self,
        limits: &CapacityLimits,
    ) -> Option<CapacityShortage> {
        let capacity = limits.capacity(&scope);
        if capacity == Capacity::default() {
            return None;
        }
        let (used, added) = (self.total(&scope, limits), added.total(&scope, limits));
        for unit in [CapacityUnit::Bytes, CapacityUnit::Segments] {
            let Some(capacity) = capacity.limit(unit) else { continue };
            let (used, added) = (used.amount(unit), added.amount(unit));
            if added > 0 && used.saturating_add(added) > capacity {
                return Some(CapacityShortage { scope, unit, capacity, used, added, freed_by: Vec::new() });
            }
        }
        None
    }

    /// Sum of the loads of all nodes in the scope.
    fn total(&self, scope: &CapacityScope, limits: &CapacityLimits) -> Load {
        let mut total = Load::default();
        for (node, load) in &self.0 {
            if limits.is_in(node, scope) {
                total.add(*load);
            }
        }
        total
    }
}
