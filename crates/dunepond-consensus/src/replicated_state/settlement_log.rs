//! The ledger of accounts between partners, and its most recent entries for brokers that lack only those.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use dunepond_settlement::{ApplyOutcome, SettlementEntry, SettlementLedger};
use serde::{Deserialize, Serialize};

use crate::Rejection;

/// Entries that are retained for brokers that lag a little; a broker that lags more gets the whole ledger.
const RETAINED_ENTRY_COUNT: usize = 4096;
/// Largest number of entries in one [`SettlementUpdate`].
const UPDATE_ENTRY_COUNT: usize = 256;
/// Number of versions before the active one whose settlements are still accepted. A broker that was cut off for longer
/// cannot settle what it started before, and that debt stays open.
const OPEN_VERSION_COUNT: u64 = 8;

/// An entry as it was applied, with the ledger's floor at that time. Everyone who applies it after its floor gets the
/// same ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettlementRecord {
    /// The ledger's floor: versions below it are closed.
    pub floor: u64,
    /// The applied entry.
    pub entry: SettlementEntry,
}

/// An excerpt of the [`SettlementLog`] for a broker that has the rest: first the ledger, if it is included, then the
/// entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettlementUpdate {
    /// Number of entries that were applied before the first one of `entries`.
    pub from: u64,
    /// Number of entries that have been applied so far.
    pub count: u64,
    /// The ledger with everything before `from`, if the broker lacks older entries.
    pub ledger: Option<Box<SettlementLedger>>,
    /// Entries in the order in which they were applied.
    pub entries: Vec<SettlementRecord>,
}

/// The ledger, and its most recent entries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SettlementLog {
    /// The ledger with all entries so far.
    pub ledger: SettlementLedger,
    /// Number of entries that were ever applied.
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

    /// Applies an entry that [`SettlementLog::check`] has accepted.
    pub(crate) fn apply(&mut self, entry: SettlementEntry) {
        let applied = self.ledger.apply(&entry);
        debug_assert_eq!(applied, Ok(ApplyOutcome::New));
        self.count += 1;
        self.last.push_back(SettlementRecord { floor: self.ledger.floor(), entry });
        if self.last.len() > RETAINED_ENTRY_COUNT {
            self.last.pop_front();
        }
    }

    /// Closes versions that are too old, after another version became active.
    pub(crate) fn close_old_versions(&mut self, active_number: u64) {
        self.ledger.close_versions(active_number.saturating_sub(OPEN_VERSION_COUNT));
    }

    /// The update for a broker that has the first `known` entries; a limited number of entries at a time.
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
