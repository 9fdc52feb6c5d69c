//! How much each node holds. Bytes are counted by key ranges that no operation cuts, so that they add up whatever is split
//! and merged.

use std::collections::BTreeMap;

use dunepond_shard_map::{KeyRange, Segment, VerifiedMap};

use crate::capacity::CapacityLimits;
use crate::{Capacity, CapacityScope, CapacityShortage, CapacityUnit, Operation, Plan};

/// Bytes of the uncut key ranges of the touched segments, by first key.
#[derive(Clone, Debug, Default)]
pub(crate) struct RangeBytes(BTreeMap<u64, u64>);

impl RangeBytes {
    pub fn new<'a>(plan: &Plan, touched: impl Iterator<Item = &'a Segment>) -> Self {
        let split_keys = all_split_keys(plan);
        let mut bytes = BTreeMap::new();
        for segment in touched {
            let keys = segment.keys;
            let (total, width) = (segment_bytes(plan, segment.id), keys.end() - u128::from(keys.from));
            // By what lies before each edge, so that the parts add up to the whole.
            let before = |edge: u128| scaled(total, edge - u128::from(keys.from), width);
            for range in range_edges(keys, &split_keys).windows(2) {
                bytes.insert(range[0] as u64, before(range[1]) - before(range[0]));
            }
        }
        Self(bytes)
    }

    pub fn of(&self, keys: KeyRange) -> u64 {
        let inside = self.0.range(keys.from..).take_while(|(from, _)| keys.contains(**from));
        inside.map(|(_, bytes)| *bytes).sum()
    }
}

/// Keys at which any operation splits, rising, each once.
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

/// First key, the split keys inside, and the end.
fn range_edges(keys: KeyRange, split_keys: &[u64]) -> Vec<u128> {
    let first = split_keys.partition_point(|key| *key <= keys.from);
    let mut edges = vec![u128::from(keys.from)];
    edges.extend(
        split_keys[first..].iter().take_while(|key| keys.contains(**key)).map(|key| u128::from(*key)),
    );
    edges.push(keys.end());
    edges
}

/// `total * part / whole`; the key space is 2^64 wide, so that the product needs 128 bits.
fn scaled(total: u64, part: u128, whole: u128) -> u64 {
    if part == whole {
        return total;
    }
    // part < whole <= 2^64 and total < 2^64: it fits.
    (u128::from(total) * part / whole) as u64
}

fn segment_bytes(plan: &Plan, segment: u64) -> u64 {
    plan.sizes.segment_bytes.get(&segment).copied().unwrap_or(plan.sizes.default_bytes)
}

/// What a node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub bytes: u64,
    pub segments: u64,
}

impl Load {
    fn of(&self, unit: CapacityUnit) -> u64 {
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
    fn of(&self, unit: CapacityUnit) -> Option<u64> {
        match unit {
            CapacityUnit::Bytes => self.bytes,
            CapacityUnit::Segments => self.segments,
        }
    }
}

/// What one node holds of the segments that an action changes.
#[derive(Clone, Debug)]
pub(crate) struct LoadChange {
    pub node: String,
    pub before: Load,
    pub after: Load,
}

impl LoadChange {
    pub fn inverse(&self) -> Self {
        Self { node: self.node.clone(), before: self.after, after: self.before }
    }

    /// What the node holds more; nothing if it holds less.
    pub fn increase(&self) -> Load {
        Load {
            bytes: self.after.bytes.saturating_sub(self.before.bytes),
            segments: self.after.segments.saturating_sub(self.before.segments),
        }
    }
}

/// What each node holds, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeLoads(BTreeMap<String, Load>);

impl NodeLoads {
    /// Of the segments that no operation touches.
    pub fn untouched(plan: &Plan, map: &VerifiedMap, is_touched: impl Fn(u64) -> bool) -> Self {
        let mut loads = Self::default();
        for segment in map.segments().filter(|segment| !is_touched(segment.id)) {
            loads.add_segment(segment, segment_bytes(plan, segment.id));
        }
        loads
    }

    /// Counts a segment for each of its replicas.
    pub fn add_segment(&mut self, segment: &Segment, bytes: u64) {
        for replica in &segment.replicas {
            self.add(&replica.node, Load { bytes, segments: 1 });
        }
    }

    pub fn add(&mut self, node: &str, load: Load) {
        self.0.entry(node.to_string()).or_default().add(load);
    }

    pub fn apply(&mut self, change: &LoadChange) {
        let load = self.0.entry(change.node.clone()).or_default();
        load.bytes = load.bytes.saturating_sub(change.before.bytes).saturating_add(change.after.bytes);
        load.segments = (load.segments + change.after.segments).saturating_sub(change.before.segments);
    }

    pub fn with(mut self, other: &Self) -> Self {
        for (node, load) in &other.0 {
            self.add(node, *load);
        }
        self
    }

    /// Whether no capacity bounds any node here.
    pub fn is_unbounded(&self, limits: &CapacityLimits) -> bool {
        let mut scopes = self.0.keys().flat_map(|node| limits.scopes(node));
        scopes.all(|scope| limits.capacity(&scope) == Capacity::default())
    }

    /// The first capacity that `added` would exceed: by name, nodes before replica groups before partners. Operations that
    /// free some of it are left to the caller.
    pub fn shortage(&self, added: &Self, limits: &CapacityLimits) -> Option<CapacityShortage> {
        let mut scopes: Vec<CapacityScope> = added.0.keys().flat_map(|node| limits.scopes(node)).collect();
        scopes.sort_unstable();
        scopes.dedup();
        scopes.into_iter().find_map(|scope| self.shortage_of(scope, added, limits))
    }

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
            let Some(capacity) = capacity.of(unit) else { continue };
            let (used, added) = (used.of(unit), added.of(unit));
            if added > 0 && used.saturating_add(added) > capacity {
                return Some(CapacityShortage { scope, unit, capacity, used, added, freed_by: Vec::new() });
            }
        }
        None
    }

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
