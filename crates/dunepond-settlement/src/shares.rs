//! What this broker has promised out of its shares and the log does not show yet.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Agreed, Allot, Book, DebtError, Ledger, Release, Settlement, max_min};

/// Promises of one broker. Saved before a promise is acted on: cut off, a broker settles from this, and what it has
/// promised comes into the log when it is back. Whatever is lost here, the ledger takes nothing past a share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shares {
    by: String,
    /// Settlements by fill, until the log has them.
    promised: BTreeMap<String, Settlement>,
    releasing: Option<Release>,
}

impl Shares {
    pub fn new(by: &str) -> Result<Shares, DebtError> {
        if by.is_empty() || by.contains('@') {
            return Err(DebtError::Name { name: by.to_string() });
        }
        Ok(Shares { by: by.to_string(), promised: BTreeMap::new(), releasing: None })
    }

    /// Bytes that may still be promised: of our share, less what is promised and what we are giving back.
    pub fn left(&self, ledger: &Ledger, debtor: &str, creditor: &str) -> u64 {
        let ours = |d: &str, c: &str| d == debtor && c == creditor;
        let open = self.promised.values().filter(|s| ours(&s.debtor, &s.creditor) && !ledger.has(s.fill()));
        let promised: u64 = open.map(|settlement| settlement.bytes).sum();
        let back = self.releasing.as_ref().filter(|r| ours(&r.debtor, &r.creditor)).map_or(0, |r| r.bytes);
        ledger.share(&self.by, debtor, creditor).left().saturating_sub(promised + back)
    }

    /// Promises a settlement; the same fill again changes nothing.
    pub fn promise(&mut self, ledger: &Ledger, settlement: Settlement) -> Result<(), DebtError> {
        let fill = settlement.fill().to_string();
        if self.promised.contains_key(&fill) || ledger.has(&fill) {
            return Ok(());
        }
        let left = self.left(ledger, &settlement.debtor, &settlement.creditor);
        if settlement.by() != self.by || settlement.bytes > left {
            let by = settlement.by().to_string();
            let Settlement { id, debtor, creditor, bytes, .. } = settlement;
            return Err(DebtError::PastShare { id, by, debtor, creditor, bytes, left });
        }
        self.promised.insert(fill, settlement);
        Ok(())
    }

    pub fn by(&self) -> &str {
        &self.by
    }

    /// What was promised for this fill, as long as the log does not show it.
    pub fn promised(&self, fill: &str) -> Option<&Settlement> {
        self.promised.get(fill)
    }

    /// What is being given back.
    pub fn releasing(&self) -> Option<&Release> {
        self.releasing.as_ref()
    }

    /// What is still to be brought into the log; all of it, as often as it takes.
    pub fn owing(&self) -> impl Iterator<Item = Agreed> {
        let settle = self.promised.values().cloned().map(Agreed::Settle);
        settle.chain(self.releasing.clone().map(Agreed::Release))
    }

    /// A fill that came to nothing, before its settlement was proposed.
    pub fn forgo(&mut self, fill: &str) {
        self.promised.remove(fill);
    }

    /// Begins to give back what is not spent; at most one at a time. What is given back cannot be promised from now on.
    pub fn release(
        &mut self,
        ledger: &Ledger,
        debtor: &str,
        creditor: &str,
        bytes: u64,
    ) -> Result<Agreed, DebtError> {
        if let Some(release) = &self.releasing {
            return Ok(Agreed::Release(release.clone()));
        }
        let left = self.left(ledger, debtor, creditor);
        let (by, debtor, creditor) = (self.by.clone(), debtor.to_string(), creditor.to_string());
        if bytes == 0 || bytes > left {
            return Err(DebtError::PastRelease { by, debtor, creditor, bytes, left });
        }
        let release = Release { number: ledger.next(&debtor, &creditor), debtor, creditor, by, bytes };
        self.releasing = Some(release.clone());
        Ok(Agreed::Release(release))
    }

    /// After the log has moved: forgets what it shows, and what it will never take (`refused` by [`Ledger::apply`]).
    pub fn caught_up(&mut self, ledger: &Ledger, refused: &[Settlement]) {
        // A version that is closed takes none any more.
        let open = |promise: &Settlement| promise.version().is_some_and(|version| version >= ledger.floor());
        self.promised
            .retain(|fill, promise| !ledger.has(fill) && !refused.contains(promise) && open(promise));
        // Passed by another entry of the pair, or applied: either way its number is gone. If it was passed, the share
        // still stands whole in the ledger, and can be given back anew.
        self.releasing.take_if(|release| ledger.next(&release.debtor, &release.creditor) > release.number);
    }
}

/// Splits what is owed and not split yet evenly over the brokers that are there: the entry to propose, if there is
/// anything to split. Even, as nobody knows which of them will be cut off.
pub fn split(book: &Book, debtor: &str, creditor: &str, brokers: &[String]) -> Option<Allot> {
    let ledger = book.ledger();
    let unspent = ledger.allotted(debtor, creditor) - ledger.settled(debtor, creditor);
    let more = book.open(debtor, creditor).saturating_sub(unspent);
    let all = ledger.allotted(debtor, creditor).saturating_add(more);
    let debt = book.gross(creditor, debtor);
    let more = more.saturating_sub(all.saturating_sub(debt));
    let held: Vec<u64> = brokers.iter().map(|by| ledger.share(by, debtor, creditor).left()).collect();
    // Who has the least left gets the most: evened out as far as the new part goes.
    let level = max_min(&held.iter().map(|_| u64::MAX / 2).collect::<Vec<_>>(), unspent.saturating_add(more));
    let wants: Vec<u64> = level.iter().zip(&held).map(|(level, held)| level.saturating_sub(*held)).collect();
    let given = max_min(&wants, more);
    let parts = brokers.iter().cloned().zip(given).filter(|(_, bytes)| *bytes > 0);
    let parts: Vec<_> = parts.collect();
    if parts.is_empty() {
        return None;
    }
    let number = ledger.next(debtor, creditor);
    Some(Allot { number, debtor: debtor.to_string(), creditor: creditor.to_string(), debt, parts })
}
