//! Decides which nodes' denials are used as evidence. After a search refutes a node's denial, the node is distrusted
//! until a number of its denials have been confirmed by searches; the number doubles with each further false denial.

use std::collections::BTreeMap;

use crate::model::NodeId;

#[cfg(test)]
mod tests;

/// Confirmations needed after the first false denial; doubled with each further false denial.
const INITIAL_CONFIRMATIONS: u32 = 4;
/// Upper limit of the confirmations needed after a false denial.
const MAX_CONFIRMATIONS: u32 = 1024;

/// Trust record of a node that had a false denial.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Record {
    /// Confirmations still needed; 0 if the node is trusted again.
    needed: u32,
    /// Confirmations that will be needed after the next false denial.
    next: u32,
}

/// Trust records of the nodes that had a false denial.
#[derive(Default)]
pub struct Trust {
    records: BTreeMap<NodeId, Record>,
}

impl Trust {
    /// Whether a node's denials may be used as evidence. Every node is trusted until one of its denials is refuted; this
    /// is safe because a segment is never pruned on the denial of one node alone.
    pub fn is_trusted(&self, node: NodeId) -> bool {
        self.records.get(&node).is_none_or(|record| record.needed == 0)
    }

    /// Records that a search refuted a node's denial. Returns whether the node was trusted before.
    pub fn record_false_denial(&mut self, node: NodeId) -> bool {
        let was_trusted = self.is_trusted(node);
        let record = self.records.entry(node).or_insert(Record { needed: 0, next: INITIAL_CONFIRMATIONS });
        *record = Record { needed: record.next, next: (2 * record.next).min(MAX_CONFIRMATIONS) };
        was_trusted
    }

    /// Records that a search confirmed a node's denial.
    pub fn record_confirmation(&mut self, node: NodeId) {
        if let Some(record) = self.records.get_mut(&node) {
            record.needed = record.needed.saturating_sub(1);
        }
    }

    /// Forgets a node's record, because the node was restarted or its number belongs to another node now.
    pub fn remove_node(&mut self, node: NodeId) {
        self.records.remove(&node);
    }

    /// The number of nodes that are distrusted now.
    pub fn distrusted(&self) -> usize {
        self.records.values().filter(|record| record.needed > 0).count()
    }
}
