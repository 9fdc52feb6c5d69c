//! What this broker has promised from its shares and the log does not show yet.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    Allotment, AllottedShare, Balances, Settlement, SettlementEntry, SettlementError, SettlementLedger,
    ShareRelease, max_min,
};

/// Promises of one broker, to be stored before a promise is acted on. While partitioned a broker settles from this, and
/// proposes its promises when it reaches the log again. Whatever is lost here, the ledger accepts nothing beyond a share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SharePromises {
    #[serde(rename = "by")]
    broker: String,
    /// Settlements by fill, until the log has them.
    promised: BTreeMap<String, Settlement>,
    releasing: Option<ShareRelease>,
}

impl SharePromises {
    /// No promises yet, of this broker.
    ///
    /// # Errors
    /// The name would make ids ambiguous.
    pub fn new(broker: &str) -> Result<SharePromises, SettlementError> {
        if broker.is_empty() || broker.contains('@') {
            return Err(SettlementError::InvalidName { name: broker.to_string() });
        }
        Ok(SharePromises { broker: broker.to_string(), promised: BTreeMap::new(), releasing: None })
    }

    /// Bytes that may still be promised: the share, less what is promised and what is being returned.
    pub fn remaining(&self, ledger: &SettlementLedger, debtor: &str, creditor: &str) -> u64 {
        let ours = |d: &str, c: &str| d == debtor && c == creditor;
        let open =
            self.promised.values().filter(|s| ours(&s.debtor, &s.creditor) && !ledger.is_settled(s.fill()));
        let promised: u64 = open.map(|settlement| settlement.bytes).sum();
        let back = self.releasing.as_ref().filter(|r| ours(&r.debtor, &r.creditor)).map_or(0, |r| r.bytes);
        ledger.share(&self.broker, debtor, creditor).remaining().saturating_sub(promised + back)
    }

    /// Promises a settlement; the same fill again changes nothing.
    ///
    /// # Errors
    /// It exceeds what remains.
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

    /// Name of the broker.
    pub fn broker(&self) -> &str {
        &self.broker
    }

    /// What was promised for this fill, until the log shows it.
    pub fn promised(&self, fill: &str) -> Option<&Settlement> {
        self.promised.get(fill)
    }

    /// What is being returned.
    pub fn releasing(&self) -> Option<&ShareRelease> {
        self.releasing.as_ref()
    }

    /// What has to be proposed, again and again until the log shows it.
    pub fn pending_entries(&self) -> impl Iterator<Item = SettlementEntry> {
        let settle = self.promised.values().cloned().map(SettlementEntry::Settle);
        settle.chain(self.releasing.clone().map(SettlementEntry::Release))
    }

    /// Drops the promise of a fill that failed before its settlement was proposed.
    pub fn cancel(&mut self, fill: &str) {
        self.promised.remove(fill);
    }

    /// Starts to return what is not spent, one return at a time. It cannot be promised from now on.
    ///
    /// # Errors
    /// It exceeds what remains.
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

    /// After new entries: drops what the log shows, and what it will never accept (`refused` by
    /// [`SettlementLedger::apply`]).
    pub fn reconcile(&mut self, ledger: &SettlementLedger, refused: &[Settlement]) {
        // A closed version accepts none any more.
        let open = |promise: &Settlement| promise.version().is_some_and(|version| version >= ledger.floor());
        self.promised
            .retain(|fill, promise| !ledger.is_settled(fill) && !refused.contains(promise) && open(promise));
        // Applied, or overtaken by another entry of the pair; in that case the share is unchanged and can be returned
        // again.
        self.releasing
            .take_if(|release| ledger.next_number(&release.debtor, &release.creditor) > release.number);
    }
}

/// The entry that splits what is owed and not split yet, if there is anything. Evenly, as it is unknown which broker will
/// be partitioned.
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
    // Who has the least remaining gets the most.
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
