//! Shares of debts: the leader allots debts to the brokers in advance, and each broker releases the part of its share
//! that it will not spend.

use dunepond_settlement::{SettlementEntry, allot_evenly};
use tracing::debug;

use crate::control_loop::{ControlLoop, LOG_SHARE_HOLDER};

/// The segment size divided by this number is the minimum amount of a debt that is allotted or released at once.
/// Without a minimum, every few bytes could cause a log entry.
const SEGMENT_PARTS: u64 = 8;

/// A part of this broker's share of a debt that it will not spend.
struct Surplus {
    debtor: String,
    creditor: String,
    bytes: u64,
}

impl ControlLoop {
    /// Minimum amount of a debt that is allotted or released at once, in bytes.
    fn min_split_bytes(&self) -> u64 {
        (self.version_fills.limits.segment_bytes / SEGMENT_PARTS).max(1)
    }

    /// Proposes to allot debts that are not allotted yet, evenly to all known brokers and to [`LOG_SHARE_HOLDER`], from
    /// whose share the leader settles the fills that a configuration version requires. A broker that is partitioned
    /// later can then settle from its share.
    pub(super) fn split_debts(&mut self) {
        let mut holders = self.all_brokers();
        holders.push(LOG_SHARE_HOLDER.to_string());
        for debt in self.traffic.balances.net_debts() {
            let (debtor, creditor) = (debt.debtor, debt.creditor);
            // A fill that was planned before the first allotment uses no share, so it must be settled before the debt
            // is split.
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

    /// Starts to release the part of this broker's share of a debt that it will not spend, unless another release is
    /// pending. Releases are made for one pair of partners at a time.
    pub(super) fn release_surplus(&mut self) {
        if self.settlement.commitments.shares.releasing().is_some() {
            return;
        }
        let Some(Surplus { debtor, creditor, bytes }) = self.first_surplus() else { return };
        let ledger = self.traffic.balances.ledger().clone();
        if let Err(e) = self.settlement.commitments.shares.release(&ledger, &debtor, &creditor, bytes) {
            debug!("fleet: {e} ({})", e.help());
        }
        // The release of this part of the broker's share of the debt is stored before it is sent to the leader:
        // otherwise this broker could promise the released bytes to a fill after a restart.
        self.save_commitments();
    }

    /// The surplus of the first pair of partners whose surplus reaches the minimum amount.
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

    /// The part of this broker's share of a debt that it will not spend, in bytes. If brokers plan no own fills, this
    /// is the entire remaining share. Otherwise it is this broker's proportion of the excess, by which all unspent
    /// shares together exceed the current debt. An excess arises when the debtor carries traffic for the creditor, as
    /// this reduces the debt.
    fn surplus_bytes(&self, debtor: &str, creditor: &str) -> u64 {
        let ledger = self.traffic.balances.ledger();
        let remaining = self.settlement.commitments.shares.remaining(ledger, debtor, creditor);
        if !self.settlement.fill_started_nodes {
            return remaining;
        }
        let unspent = ledger.allotted(debtor, creditor) - ledger.settled(debtor, creditor);
        let excess = unspent.saturating_sub(self.traffic.balances.net_debt(debtor, creditor));
        let surplus = (excess as f64 * remaining as f64 / unspent.max(1) as f64) as u64;
        surplus.min(remaining)
    }
}
