//! Shares of debts: split in advance at the leader, and released by brokers that will not spend them.

use dunepond_settlement::{SettlementEntry, allot_evenly};
use tracing::debug;

use crate::control_loop::{ControlLoop, LOG_SHARE_HOLDER};

/// Smallest amount that is allotted or released at once, as a divisor of a segment's size: an entry for every few bytes
/// would be costly.
const SEGMENT_PARTS: u64 = 8;

/// A part of this broker's share that it will not spend.
struct Surplus {
    debtor: String,
    creditor: String,
    bytes: u64,
}

impl ControlLoop {
    /// Smallest amount that is allotted or released at once.
    fn min_split_bytes(&self) -> u64 {
        (self.version_fills.limits.segment_bytes / SEGMENT_PARTS).max(1)
    }

    /// Allots debts that are not allotted yet evenly to all known brokers and to the log itself, from whose share the leader
    /// settles fills of versions. Any of them may be partitioned later, and settles from its share then.
    pub(super) fn split_debts(&mut self) {
        let mut holders = self.all_brokers();
        holders.push(LOG_SHARE_HOLDER.to_string());
        for debt in self.traffic.balances.net_debts() {
            let (debtor, creditor) = (debt.debtor, debt.creditor);
            // A fill that was planned before the first allotment has no share to be taken from: it is settled first.
            let is_split = self.traffic.balances.ledger().is_split(&debtor, &creditor);
            if !is_split && self.version_fills.settles(&debtor, &creditor) {
                continue;
            }
            let Some(allotment) = allot_evenly(&self.traffic.balances, &debtor, &creditor, &holders) else {
                continue;
            };
            if allotment.parts.iter().map(|share| share.bytes).sum::<u64>() >= self.min_split_bytes() {
                let _ = self.propose_settlement(SettlementEntry::Allot(allotment));
            }
        }
    }

    /// Releases what this broker will not spend, of one pair of partners at a time.
    pub(super) fn release_surplus(&mut self) {
        if self.settlement.commitments.shares.releasing().is_some() {
            return;
        }
        let Some(Surplus { debtor, creditor, bytes }) = self.first_surplus() else { return };
        let ledger = self.traffic.balances.ledger().clone();
        if let Err(e) = self.settlement.commitments.shares.release(&ledger, &debtor, &creditor, bytes) {
            debug!("fleet: {e} ({})", e.help());
        }
        // Stored before it is sent: after a restart this part must not be promised to a fill.
        self.save_commitments();
    }

    fn first_surplus(&self) -> Option<Surplus> {
        for (debtor, creditor) in self.traffic.balances.ledger().pairs() {
            let bytes = self.surplus_bytes(debtor, creditor);
            if bytes >= self.min_split_bytes() {
                let (debtor, creditor) = (debtor.to_string(), creditor.to_string());
                return Some(Surplus { debtor, creditor, bytes });
            }
        }
        None
    }

    /// Bytes of this broker's share that it will not spend: all of it if it has no fills of its own, else its part of what is
    /// allotted beyond the present debt, which shrinks when the other partner carries in turn.
    fn surplus_bytes(&self, debtor: &str, creditor: &str) -> u64 {
        let ledger = self.traffic.balances.ledger();
        let remaining = self.settlement.commitments.shares.remaining(ledger, debtor, creditor);
        if !self.settlement.fill_started_nodes {
            return remaining;
        }
        let unspent = ledger.allotted(debtor, creditor) - ledger.settled(debtor, creditor);
        let excess = unspent.saturating_sub(self.traffic.balances.net_debt(debtor, creditor));
        let part = (excess as f64 * remaining as f64 / unspent.max(1) as f64) as u64;
        part.min(remaining)
    }
}
