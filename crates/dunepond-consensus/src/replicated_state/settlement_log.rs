//! The ledger of transfer debts between partners, and its most recent entries. Partners are organisations that run
//! nodes. They transfer traffic for each other, and the transferred bytes are a debt. A fill copies a segment to a
//! replica; if a node of the debtor sends the copy, the fill pays off a part of the debt, which a settlement records. A
//! broker that lacks only some of the most recent entries receives these entries instead of the complete ledger.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use dunepond_settlement::{ApplyOutcome, SettlementEntry, SettlementLedger};
use serde::{Deserialize, Serialize};

use crate::Rejection;

/// Number of recent entries of the log that are retained; a broker that lacks earlier ones receives the complete
/// ledger.
const RETAINED_ENTRY_COUNT: usize = 4096;
/// Largest number of entries in one [`SettlementUpdate`].
const UPDATE_ENTRY_COUNT: usize = 256;
/// Number of configuration versions before the active one whose fills can still be settled, that is, recorded as paying
/// off a transfer debt. If more versions become active while a broker is partitioned, the fills that it started before
/// can no longer be settled, and the debts that they would pay off stay open.
const OPEN_VERSION_COUNT: u64 = 8;

/// An applied entry of the settlement log, and the oldest configuration version whose fills could be settled when it
/// was applied. A broker that first closes all versions before `oldest_open_version` and then applies `entry` gets the same ledger as
/// the voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettlementRecord {
    /// Number of the oldest configuration version whose fills could be settled when the entry was applied; settlements
    /// of fills of earlier versions are rejected.
    #[serde(rename = "floor")]
    pub oldest_open_version: u64,
    /// The applied change of the settlement ledger.
    pub entry: SettlementEntry,
}

/// The part of the [`SettlementLog`] that a broker lacks. If `ledger` is present, the broker first replaces its own
/// ledger with it; then it applies `entries`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettlementUpdate {
    /// Number of entries of the log before the first one of `entries`.
    pub from: u64,
    /// Number of all entries of the log when the update was made.
    pub count: u64,
    /// The ledger with the first `from` entries applied, if the broker lacks entries that are no longer retained.
    pub ledger: Option<Box<SettlementLedger>>,
    /// A limited number of entries in log order, the first one at position `from`.
    pub entries: Vec<SettlementRecord>,
}

/// The ledger of transfer debts between partners (organisations that run nodes) and of the fills that paid off these
/// debts, and its most recent entries.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SettlementLog {
    /// The ledger with all committed entries applied.
    pub ledger: SettlementLedger,
    /// Number of entries that were applied since the fleet was founded.
    pub count: u64,
    /// The most recent entries, the oldest one first.
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
        self.last.push_back(SettlementRecord { oldest_open_version: self.ledger.floor(), entry });
        if self.last.len() > RETAINED_ENTRY_COUNT {
            self.last.pop_front();
        }
    }

    /// Closes old configuration versions after version `active_number` became active: fills of closed versions can no
    /// longer be settled.
    pub(crate) fn close_old_versions(&mut self, active_number: u64) {
        self.ledger.close_versions(active_number.saturating_sub(OPEN_VERSION_COUNT));
    }

    /// Returns the update for a broker that already has the first `known` entries. It contains a limited number of
    /// entries, so the broker may need several updates.
    pub fn updates_after(&self, known: u64) -> SettlementUpdate {
        let first_retained = self.count - self.last.len() as u64;
        // A broker that has more entries than this log received them from another fleet, so it gets the complete ledger
        // as well.
        if known < first_retained || known > self.count {
            let ledger = Some(Box::new(self.ledger.clone()));
            return SettlementUpdate { from: self.count, count: self.count, ledger, entries: Vec::new() };
        }
        let missing = self.last.iter().skip((known - first_retained) as usize);
        let entries = missing.take(UPDATE_ENTRY_COUNT).cloned().collect();
        SettlementUpdate { from: known, count: self.count, ledger: None, entries }
    }
}
