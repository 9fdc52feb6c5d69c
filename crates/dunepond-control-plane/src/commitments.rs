//! Commitments of this broker that are not in the replicated log yet: settlements that it has promised from its own
//! shares of debts between partners, and fills in progress that it has planned itself.
//!
//! A partitioned broker settles from its own shares only, so its commitments must survive a restart. They are stored
//! before this broker starts a fill and before it releases a part of a share. The encoding is postcard, so the order of
//! the fields must not change.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_settlement::{Fill, SettlementEntry, SettlementError, SettlementLedger, SharePromises};
use serde::{Deserialize, Serialize};

/// Maximum number of settlement entries in one message to the leader.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// A fill that this broker planned itself for a node in slow start. Stored before the fill starts, and removed once the
/// log has the fill's settlement or the fill ends without one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommittedFill {
    /// The planned fill.
    pub fill: Fill,
    /// Whether the fill is done and only waits for its settlement to be in the log.
    pub done: bool,
}

/// Identifies a completed fill that this broker planned itself. It is stored so that the node is not filled again under
/// a later configuration version, unless the node has restarted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FinishedFill {
    /// Id of the segment that was filled.
    pub segment: u64,
    /// Name of the node that was filled.
    pub node: String,
    /// Incarnation of the node in the endpoint list. It differs after each start of the node.
    pub incarnation: u64,
}

/// All commitments of this broker, stored together with the ledger that they are based on: if after a restart the
/// commitments were older than the ledger, or the ledger older than the commitments, the remaining share could appear
/// larger than it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Commitments {
    /// Settlements promised from this broker's own shares of debts.
    pub shares: SharePromises,
    /// The ledger of settlements that the promises in `shares` are checked against.
    pub ledger: SettlementLedger,
    /// Number of settlement entries of the log that are applied in `ledger`.
    pub applied_entries: u64,
    /// Fills that this broker has planned itself for nodes in slow start, by fill id.
    pub fills: BTreeMap<String, CommittedFill>,
    /// Completed fills that this broker has planned itself, for nodes that may still be in slow start.
    pub finished: BTreeSet<FinishedFill>,
}

impl Commitments {
    /// Empty commitments of the broker with this name.
    ///
    /// # Errors
    /// If the name would make settlement ids (`FILL@BROKER`) ambiguous.
    pub fn new(broker: &str) -> Result<Self, SettlementError> {
        Ok(Self {
            shares: SharePromises::new(broker)?,
            ledger: SettlementLedger::default(),
            applied_entries: 0,
            fills: BTreeMap::new(),
            finished: BTreeSet::new(),
        })
    }

    /// Entries to be sent to the leader: settlements of fills that are done, and releases of parts of this broker's
    /// shares. At most [`MAX_ENTRIES_PER_MESSAGE`].
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
