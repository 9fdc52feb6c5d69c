//! How much everybody holds. Bytes are counted by stretches of keys that no operation cuts, so that they add up whatever
//! is split and merged.

use std::collections::BTreeMap;

use dunepond_shard_map::{KeyRange, Segment, VerifiedMap};

use crate::{Operation, Plan, Short, Where};

/// Bytes of stretches of the touched segments, by first key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bytes(BTreeMap<u64, (u128, u64)>);

impl Bytes {
    pub fn new<'a>(plan: &Plan, touched: impl Iterator<Item = &'a Segment>) -> Self {
        let cuts = plan.operations.iter().filter_map(|operation| match operation {
            Operation::Split { at, .. } => Some(at),
            _ => None,
        });
        let mut cuts: Vec<u64> = cuts.flatten().copied().collect();
        cuts.sort_unstable();
        cuts.dedup();
        let mut bytes = BTreeMap::new();
        for segment in touched {
            let keys = segment.keys;
            let first = cuts.partition_point(|cut| *cut <= keys.from);
            let inside =
                cuts[first..].iter().take_while(|cut| keys.contains(**cut)).map(|cut| u128::from(*cut));
            let edges: Vec<u128> =
                [u128::from(keys.from)].into_iter().chain(inside).chain([keys.end()]).collect();
            let (all, width) = (size(plan, segment.id), keys.end() - u128::from(keys.from));
            // By what lies before each edge, so that the parts add up to the whole.
            let before = |edge: u128| scaled(all, edge - u128::from(keys.from), width);
            for two in edges.windows(2) {
                bytes.insert(two[0] as u64, (two[1], before(two[1]) - before(two[0])));
            }
        }
        Self(bytes)
    }

    pub fn of(&self, keys: KeyRange) -> u64 {
        let inside = self.0.range(keys.from..).take_while(|(from, _)| keys.contains(**from));
        inside.map(|(_, (_, bytes))| *bytes).sum()
    }
}

/// `all * part / whole`; the space is 2^64 wide, so that the product needs care.
fn scaled(all: u64, part: u128, whole: u128) -> u64 {
    if part == whole {
        return all;
    }
    // part < whole <= 2^64 and all < 2^64: it fits.
    (u128::from(all) * part / whole) as u64
}

fn size(plan: &Plan, segment: u64) -> u64 {
    plan.sizes.segments.get(&segment).copied().unwrap_or(plan.sizes.unless)
}

/// Bytes and segments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub bytes: u64,
    pub segments: u64,
}

/// What each node holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads(BTreeMap<String, Load>);

impl Loads {
    /// Of the segments that no operation touches.
    pub fn untouched(plan: &Plan, proof: &VerifiedMap, touched: impl Fn(u64) -> bool) -> Self {
        let mut loads = Self::default();
        for segment in proof.segments().filter(|segment| !touched(segment.id)) {
            loads.holds(segment, size(plan, segment.id));
        }
        loads
    }

    pub fn holds(&mut self, segment: &Segment, bytes: u64) {
        for holder in &segment.replicas {
            self.add(&holder.node, Load { bytes, segments: 1 });
        }
    }

    pub fn add(&mut self, node: &str, load: Load) {
        let there = self.0.entry(node.to_string()).or_default();
        there.bytes = there.bytes.saturating_add(load.bytes);
        there.segments += load.segments;
    }

    /// What a node holds of some segments has become something else.
    pub fn replace(&mut self, node: &str, before: Load, after: Load) {
        let there = self.0.entry(node.to_string()).or_default();
        there.bytes = there.bytes.saturating_sub(before.bytes).saturating_add(after.bytes);
        there.segments = (there.segments + after.segments).saturating_sub(before.segments);
    }

    /// Nobody in it has a bound.
    pub fn is_unbounded(&self, rooms: &Rooms) -> bool {
        let mut whose = self.0.keys().flat_map(|node| rooms.of(node));
        whose.all(|whose| rooms.room(&whose) == crate::Room::default())
    }

    pub fn and(mut self, more: &Self) -> Self {
        more.0.iter().for_each(|(node, load)| self.add(node, *load));
        self
    }

    /// Who of those that get more would run out of room: the first by name, nodes before cells before partners.
    pub fn short(&self, adds: &Self, rooms: &Rooms) -> Option<Short> {
        let total = |loads: &Self, whose: &Where| {
            let of = loads.0.iter().filter(|(node, _)| rooms.of(node).any(|w| w == *whose));
            of.fold(Load::default(), |sum, (_, load)| Load {
                bytes: sum.bytes.saturating_add(load.bytes),
                segments: sum.segments + load.segments,
            })
        };
        let mut whose: Vec<Where> = adds.0.keys().flat_map(|node| rooms.of(node)).collect();
        whose.sort_unstable();
        whose.dedup();
        for whose in whose {
            let room = rooms.room(&whose);
            if room.bytes.is_none() && room.segments.is_none() {
                continue;
            }
            let (holds, more) = (total(self, &whose), total(adds, &whose));
            let units = [
                ("bytes", room.bytes, holds.bytes, more.bytes),
                ("segments", room.segments, holds.segments, more.segments),
            ];
            for (unit, room, holds, adds) in units {
                if let Some(room) = room.filter(|room| adds > 0 && holds.saturating_add(adds) > *room) {
                    let unit = unit.to_string();
                    return Some(Short { whose, unit, room, holds, adds, frees: Vec::new() });
                }
            }
        }
        None
    }
}

/// Whose node is whose, and how much each may hold.
pub(crate) struct Rooms<'a> {
    plan: &'a Plan,
    partners: BTreeMap<String, String>,
}

impl<'a> Rooms<'a> {
    pub fn new(plan: &'a Plan, proof: &VerifiedMap) -> Self {
        let holders = proof.segments().flat_map(|segment| &segment.replicas);
        let mut partners = BTreeMap::new();
        for holder in holders {
            if !partners.contains_key(&holder.node) {
                partners.insert(holder.node.clone(), holder.partner.clone());
            }
        }
        for (name, node) in &plan.nodes {
            if let Some(partner) = &node.partner {
                partners.entry(name.clone()).or_insert(partner.clone());
            }
        }
        Self { plan, partners }
    }

    pub fn partner(&self, node: &str) -> Option<&String> {
        self.partners.get(node)
    }

    pub fn of(&self, node: &str) -> impl Iterator<Item = Where> {
        let cell = self.plan.nodes.get(node).and_then(|node| node.cell.clone()).map(Where::Cell);
        let partner = self.partner(node).cloned().map(Where::Partner);
        [Some(Where::Node(node.to_string())), cell, partner].into_iter().flatten()
    }

    fn room(&self, whose: &Where) -> crate::Room {
        let room = match whose {
            Where::Node(node) => self.plan.nodes.get(node).map(|node| node.room),
            Where::Cell(cell) => self.plan.cells.get(cell).copied(),
            Where::Partner(partner) => self.plan.partners.get(partner).copied(),
        };
        room.unwrap_or_default()
    }
}
