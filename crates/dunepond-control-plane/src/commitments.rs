//! What this broker has committed to outside the agreed log: settlements out of its own shares, and fills under way.
//!
//! A broker that is partitioned settles from its shares alone, so its commitments must survive a restart: they are stored
//! before a fill starts and before a part of a share is given back. The encoding is postcard: fields must keep their order.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_settlement::{Fill, SettlementEntry, SettlementError, SettlementLedger, SharePromises};
use serde::{Deserialize, Serialize};

/// Entries that one broker sends to the leader at once.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// A fill of this broker's own that has started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommittedFill {
    /// The fill, as planned.
    pub fill: Fill,
    /// The fill is done, and the log does not have its settlement yet.
    pub done: bool,
}

/// A fill of this broker's own that is done: the same start of a node is not filled again under a later version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FinishedFill {
    /// Segment that was filled.
    pub segment: u64,
    /// Node that was filled.
    pub node: String,
    /// The start of the node, as the endpoint list has it.
    pub incarnation: u64,
}

/// Everything committed to. The ledger is stored with it: if either were older than the other after a restart, a share would
/// look larger than it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Commitments {
    /// Settlements promised from this broker's own shares.
    pub shares: SharePromises,
    /// The ledger that the promises rest on.
    pub ledger: SettlementLedger,
    /// Settlement entries of the log that the ledger has applied.
    pub applied_entries: u64,
    /// Fills that have started, by id.
    pub fills: BTreeMap<String, CommittedFill>,
    /// Own fills that are done, of nodes that may still be in slow start.
    pub finished: BTreeSet<FinishedFill>,
}

impl Commitments {
    /// No commitments yet, of this broker. Fails for a name that would make settlement ids (`FILL@BROKER`) ambiguous.
    pub fn new(broker: &str) -> Result<Self, SettlementError> {
        Ok(Self {
            shares: SharePromises::new(broker)?,
            ledger: SettlementLedger::default(),
            applied_entries: 0,
            fills: BTreeMap::new(),
            finished: BTreeSet::new(),
        })
    }

    /// Entries to be sent to the leader: settlements of fills that are done, and released shares.
    pub fn due_entries(&self) -> Vec<SettlementEntry> {
        let is_due = |entry: &SettlementEntry| match entry {
            SettlementEntry::Settle(settlement) => {
                self.fills.get(settlement.fill()).is_none_or(|committed| committed.done)
            }
            _ => true,
        };
        self.shares.pending_entries().filter(is_due).take(MAX_ENTRIES_PER_MESSAGE).collect()
    }
}
