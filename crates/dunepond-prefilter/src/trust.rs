//! Whose denials count. A node whose denial was refuted is distrusted until it was confirmed in a doubling number of searches.

use std::collections::BTreeMap;

use crate::model::NodeId;

#[cfg(test)]
mod tests;

/// Confirmations needed after the first false denial; doubled with each further one.
const INITIAL_CONFIRMATIONS: u32 = 4;
const MAX_CONFIRMATIONS: u32 = 1024;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Record {
    /// Confirmations still needed; 0 where the node is trusted.
    needed: u32,
    /// What the next false denial costs.
    next: u32,
}

/// The nodes that had a false denial.
#[derive(Default)]
pub struct Trust {
    records: BTreeMap<NodeId, Record>,
}

impl Trust {
    /// Every node is trusted until a denial was refuted: two nodes must agree anyway.
    pub fn is_trusted(&self, node: NodeId) -> bool {
        self.records.get(&node).is_none_or(|record| record.needed == 0)
    }

    /// A search refuted its denial. True if it was trusted until now.
    pub fn record_false_denial(&mut self, node: NodeId) -> bool {
        let was_trusted = self.is_trusted(node);
        let record = self.records.entry(node).or_insert(Record { needed: 0, next: INITIAL_CONFIRMATIONS });
        *record = Record { needed: record.next, next: (2 * record.next).min(MAX_CONFIRMATIONS) };
        was_trusted
    }

    /// A search confirmed its denial.
    pub fn record_confirmation(&mut self, node: NodeId) {
        if let Some(record) = self.records.get_mut(&node) {
            record.needed = record.needed.saturating_sub(1);
        }
    }

    /// Drops what is known of a node: a new process, or another node under its number.
    pub fn remove_node(&mut self, node: NodeId) {
        self.records.remove(&node);
    }

    /// The number of nodes that are distrusted now.
    pub fn distrusted(&self) -> usize {
        self.records.values().filter(|record| record.needed > 0).count()
    }
}
