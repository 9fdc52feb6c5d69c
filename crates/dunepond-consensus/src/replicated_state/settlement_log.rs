//! Accounts between partners: their ledger, and the last entries for brokers that have most of them.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use dunepond_settlement::{ApplyOutcome, SettlementEntry, SettlementLedger};
use serde::{Deserialize, Serialize};

use crate::Rejection;

/// Entries that are retained for brokers that lag a little; one that lags more gets the whole ledger.
const RETAINED_ENTRY_COUNT: usize = 4096;
/// Entries of one [`SettlementUpdate`].
const UPDATE_ENTRY_COUNT: usize = 256;
/// Settlements of so many versions before the active one are still accepted. A broker that was cut off for longer cannot
/// settle what it started before; that debt stays open.
const OPEN_VERSION_COUNT: u64 = 8;

/// An entry as it was applied, and the ledger's floor at that time: whoever applies it after its floor has the same
/// ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettlementRecord {
    /// Versions below it are closed.
    pub floor: u64,
    /// The entry.
    pub entry: SettlementEntry,
}

/// A part of the [`SettlementLog`], for a broker that has the rest: first the ledger, if it comes, then the entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettlementUpdate {
    /// Entries that were applied before the first one of `entries`.
    pub from: u64,
    /// Entries that were applied by now.
    pub count: u64,
    /// Everything before `from`.
    pub ledger: Option<Box<SettlementLedger>>,
    /// In their order.
    pub entries: Vec<SettlementRecord>,
}

/// The ledger, and its last entries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SettlementLog {
    /// Of all entries so far.
    pub ledger: SettlementLedger,
    /// Entries that were ever applied.
    pub count: u64,
    last: VecDeque<SettlementRecord>,
}

impl SettlementLog {
    pub(crate) fn check(&self, entry: &SettlementEntry) -> Result<(), Rejection> {
        match (self.ledger.check(entry), entry) {
            (Ok(ApplyOutcome::New), _) => Ok(()),
            (Ok(ApplyOutcome::Duplicate), SettlementEntry::Settle(settlement)) => {
                Err(Rejection::AlreadySettled(settlement.id.clone()))
            }
            (Ok(ApplyOutcome::Duplicate), _) => Err(Rejection::AlreadyApplied),
            (Err(error), _) => Err(Rejection::Settlement(error)),
        }
    }

    /// After [`SettlementLog::check`].
    pub(crate) fn apply(&mut self, entry: SettlementEntry) {
        let applied = self.ledger.apply(&entry);
        debug_assert_eq!(applied, Ok(ApplyOutcome::New));
        self.count += 1;
        self.last.push_back(SettlementRecord { floor: self.ledger.floor(), entry });
        if self.last.len() > RETAINED_ENTRY_COUNT {
            self.last.pop_front();
        }
    }

    /// Closes versions that are too old, as another one is active.
    pub(crate) fn close_old_versions(&mut self, active_number: u64) {
        self.ledger.close(active_number.saturating_sub(OPEN_VERSION_COUNT));
    }

    /// For a broker that has the first `known` entries, some at a time.
    pub fn updates_after(&self, known: u64) -> SettlementUpdate {
        let first_retained = self.count - self.last.len() as u64;
        // A broker that has more entries than exist had them from another fleet.
        if known < first_retained || known > self.count {
            let ledger = Some(Box::new(self.ledger.clone()));
            return SettlementUpdate { from: self.count, count: self.count, ledger, entries: Vec::new() };
        }
        let unknown = self.last.iter().skip((known - first_retained) as usize);
        let entries = unknown.take(UPDATE_ENTRY_COUNT).cloned().collect();
        SettlementUpdate { from: known, count: self.count, ledger: None, entries }
    }
}
