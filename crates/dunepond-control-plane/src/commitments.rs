//! What this broker has committed to outside the agreed log: settlements out of its own shares, and fills under way.
//!
//! A broker that is partitioned settles from its shares alone, so its commitments must survive a restart: they are stored
//! before anything rests on them. The encoding is postcard, which carries the order of fields.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_settlement::{Fill, SettlementEntry, SettlementError, SettlementLedger, SharePromises};
use serde::{Deserialize, Serialize};

/// Entries that one broker sends to the leader at once.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// A fill of this broker's own that has begun.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommittedFill {
    pub fill: Fill,
    /// Only the log's entry is still awaited.
    pub done: bool,
}

/// Everything committed to. The ledger is stored with it: after a restart neither may be older than the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Commitments {
    pub shares: SharePromises,
    pub ledger: SettlementLedger,
    /// Settlement entries of the log that the ledger has applied.
    pub applied_entries: u64,
    /// By fill id.
    pub fills: BTreeMap<String, CommittedFill>,
    /// Own fills that are done, of nodes that may still be warming up: segment, node, and the node's incarnation.
    pub finished: BTreeSet<(u64, String, u64)>,
}

impl Commitments {
    /// None yet, of this broker.
    pub fn new(broker: &str) -> Result<Self, SettlementError> {
        let (shares, ledger, fills) =
            (SharePromises::new(broker)?, SettlementLedger::default(), BTreeMap::new());
        Ok(Self { shares, ledger, applied_entries: 0, fills, finished: BTreeSet::new() })
    }

    /// Entries to be brought into the log: settlements of fills that are done, and released shares.
    pub fn due_entries(&self) -> Vec<SettlementEntry> {
        let is_due = |entry: &SettlementEntry| match entry {
            SettlementEntry::Settle(settlement) => self.fills.get(settlement.fill()).is_none_or(|it| it.done),
            _ => true,
        };
        self.shares.pending_entries().filter(is_due).take(MAX_ENTRIES_PER_MESSAGE).collect()
    }
}
