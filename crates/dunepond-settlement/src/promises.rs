//! Settlements that this broker has promised from its shares of debts and that are not yet in the consensus log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    Allotment, AllottedShare, Balances, Settlement, SettlementEntry, SettlementError, SettlementLedger,
    ShareRelease, max_min,
};

/// Settlements that one broker has promised from its shares of debts. A promise sets aside a part of a share for the
/// settlement of one fill, until the ledger has applied or rejected the settlement. The promise must be stored before the
/// fill starts.
///
/// A partitioned broker makes promises within its shares and proposes them once it reaches the log again. Even if stored
/// promises are lost, the ledger accepts no settlement beyond a share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SharePromises {
    #[serde(rename = "by")]
    broker: String,
    /// Promised settlements that are not yet in the log, by id of the fill.
    promised: BTreeMap<String, Settlement>,
    /// Entry that releases (gives back) a part of the broker's share of a debt, kept until the consensus log contains it.
    releasing: Option<ShareRelease>,
}

impl SharePromises {
    /// Creates an empty set of promises for the broker with this name.
    ///
    /// # Errors
    /// Returns [`SettlementError::InvalidName`] if the name is empty or contains `@`, which would make settlement ids
    /// ambiguous.
    pub fn new(broker: &str) -> Result<SharePromises, SettlementError> {
        if broker.is_empty() || broker.contains('@') {
            return Err(SettlementError::InvalidName { name: broker.to_string() });
        }
        Ok(SharePromises { broker: broker.to_string(), promised: BTreeMap::new(), releasing: None })
    }

    /// Returns the bytes of what `debtor` owes `creditor` that the broker may still promise: its unspent share minus its
    /// pending promises and the bytes that it is releasing.
    pub fn remaining(&self, ledger: &SettlementLedger, debtor: &str, creditor: &str) -> u64 {
        let is_pair = |d: &str, c: &str| d == debtor && c == creditor;
        let pending = self
            .promised
            .values()
            .filter(|s| is_pair(&s.debtor, &s.creditor) && !ledger.is_settled(s.fill()));
        let promised_bytes: u64 = pending.map(|settlement| settlement.bytes).sum();
        let release = self.releasing.as_ref().filter(|r| is_pair(&r.debtor, &r.creditor));
        let releasing_bytes = release.map_or(0, |r| r.bytes);
        ledger
            .share(&self.broker, debtor, creditor)
            .remaining()
            .saturating_sub(promised_bytes + releasing_bytes)
    }

    /// Promises a settlement. Has no effect if the fill is already promised or settled.
    ///
    /// # Errors
    /// Returns [`SettlementError::ExceedsShare`] if the settlement is larger than what the broker may still promise, or names
    /// another broker.
    pub fn promise(
        &mut self,
        ledger: &SettlementLedger,
        settlement: Settlement,
    ) -> Result<(), SettlementError> {
        let fill = settlement.fill().to_string();
        if self.promised.contains_key(&fill) || ledger.is_settled(&fill) {
            return Ok(());
        }
        let remaining = self.remaining(ledger, &settlement.debtor, &settlement.creditor);
        if settlement.broker() != self.broker || settlement.bytes > remaining {
            let broker = settlement.broker().to_string();
            let Settlement { id, debtor, creditor, bytes, .. } = settlement;
            return Err(SettlementError::ExceedsShare { id, broker, debtor, creditor, bytes, remaining });
        }
        self.promised.insert(fill, settlement);
        Ok(())
    }

    /// Returns the name of the broker whose promises these are.
    pub fn broker(&self) -> &str {
        &self.broker
    }

    /// Returns the promised settlement of a fill; `None` if there is none or the log already has it.
    pub fn promised(&self, fill: &str) -> Option<&Settlement> {
        self.promised.get(fill)
    }

    /// Returns the part of a share that the broker is releasing (giving back), if any.
    pub fn releasing(&self) -> Option<&ShareRelease> {
        self.releasing.as_ref()
    }

    /// Returns the entries that the broker must propose, repeatedly until they are in the log.
    pub fn pending_entries(&self) -> impl Iterator<Item = SettlementEntry> {
        let settle = self.promised.values().cloned().map(SettlementEntry::Settle);
        settle.chain(self.releasing.clone().map(SettlementEntry::Release))
    }

    /// Drops the promised settlement of a fill that failed before the settlement was proposed. The broker may promise the
    /// bytes for other fills.
    pub fn cancel(&mut self, fill: &str) {
        self.promised.remove(fill);
    }

    /// Starts to release (give back) an unspent part of the broker's share, and returns the entry to propose. These bytes can
    /// no longer be promised. Only one such entry can be pending at a time: if there is one, this method returns that entry
    /// and changes nothing.
    ///
    /// # Errors
    /// Returns [`SettlementError::ExceedsRemaining`] if `bytes` is 0 or larger than what the broker may still promise.
    pub fn release(
        &mut self,
        ledger: &SettlementLedger,
        debtor: &str,
        creditor: &str,
        bytes: u64,
    ) -> Result<SettlementEntry, SettlementError> {
        if let Some(release) = &self.releasing {
            return Ok(SettlementEntry::Release(release.clone()));
        }
        let remaining = self.remaining(ledger, debtor, creditor);
        let (broker, debtor, creditor) = (self.broker.clone(), debtor.to_string(), creditor.to_string());
        if bytes == 0 || bytes > remaining {
            return Err(SettlementError::ExceedsRemaining { broker, debtor, creditor, bytes, remaining });
        }
        let number = ledger.next_number(&debtor, &creditor);
        let release = ShareRelease { number, debtor, creditor, broker, bytes };
        self.releasing = Some(release.clone());
        Ok(SettlementEntry::Release(release))
    }

    /// Drops the promises whose settlements the ledger has applied or will never accept, and the pending [`ShareRelease`] once
    /// its number is used. To be called after new entries were applied, with the settlements that [`SettlementLedger::apply`]
    /// has rejected.
    pub fn reconcile(&mut self, ledger: &SettlementLedger, rejected: &[Settlement]) {
        // The ledger accepts no settlements of closed versions.
        let is_open =
            |promise: &Settlement| promise.version().is_some_and(|version| version >= ledger.floor());
        self.promised.retain(|fill, promise| {
            !ledger.is_settled(fill) && !rejected.contains(promise) && is_open(promise)
        });
        // The entry was applied, or another entry of the pair has used its number. In the second case the share is unchanged
        // and the broker can propose a new release of the same bytes.
        self.releasing
            .take_if(|release| ledger.next_number(&release.debtor, &release.creditor) > release.number);
    }
}

/// Returns the entry that allots the part of a debt that is not split into shares yet; `None` if there is nothing to allot.
///
/// It makes the remaining shares as even as possible, because it is unknown which broker will be partitioned.
pub fn allot_evenly(
    balances: &Balances,
    debtor: &str,
    creditor: &str,
    brokers: &[String],
) -> Option<Allotment> {
    let ledger = balances.ledger();
    let unspent = ledger.allotted(debtor, creditor) - ledger.settled(debtor, creditor);
    let debt = balances.gross(creditor, debtor);
    let wanted = balances.net_debt(debtor, creditor).saturating_sub(unspent);
    let excess = ledger.allotted(debtor, creditor).saturating_add(wanted).saturating_sub(debt);
    let new_bytes = wanted.saturating_sub(excess);
    let remaining: Vec<u64> =
        brokers.iter().map(|broker| ledger.share(broker, debtor, creditor).remaining()).collect();
    // Brokers with the least remaining share get the most.
    let unbounded = vec![u64::MAX / 2; brokers.len()];
    let targets = max_min(&unbounded, unspent.saturating_add(new_bytes));
    let demands: Vec<u64> =
        targets.iter().zip(&remaining).map(|(target, remaining)| target.saturating_sub(*remaining)).collect();
    let shares = max_min(&demands, new_bytes);
    let parts = brokers.iter().cloned().zip(shares).map(AllottedShare::from);
    let parts: Vec<_> = parts.filter(|share| share.bytes > 0).collect();
    if parts.is_empty() {
        return None;
    }
    let number = ledger.next_number(debtor, creditor);
    Some(Allotment { number, debtor: debtor.to_string(), creditor: creditor.to_string(), debt, parts })
}
