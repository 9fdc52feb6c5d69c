//! The agreed part: shares in debts and settlements, applied in the order of the agreed log, alike at every broker.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Begun, DebtError, Settlement, begun};

/// What the agreed log holds about debts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Agreed {
    Allot(Allot),
    Release(Release),
    Settle(Settlement),
    /// A fill that a leader begins, so that the next one knows of it.
    Begin(Begun),
}

/// Splits a debt, or more of it, over brokers in advance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Allot {
    /// The pair's next number ([`Ledger::next`]): an entry that comes twice or crossed another does nothing.
    pub number: u64,
    pub debtor: String,
    pub creditor: String,
    /// All that was ever owed, settled or not, as the proposer saw it; the sum of shares stays within the greatest so stated.
    pub debt: u64,
    pub parts: Vec<(String, u64)>,
}

/// A broker gives back what it has not spent, so that it can be split anew. Only the broker itself may propose it:
/// nobody else knows what it has promised while it was cut off.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Release {
    pub number: u64,
    pub debtor: String,
    pub creditor: String,
    pub by: String,
    pub bytes: u64,
}

/// Whether an entry changed anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    Now,
    /// It was there before: doubled, or told again after a crash.
    Before,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    pub allotted: u64,
    pub spent: u64,
}

impl Share {
    pub fn left(&self) -> u64 {
        self.allotted - self.spent
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Pair {
    number: u64,
    debt: u64,
    settled: u64,
    shares: BTreeMap<String, Share>,
}

impl Pair {
    /// Shares, and what was settled before there were any. Once split, within `debt`, and what is settled within it.
    fn allotted(&self) -> u64 {
        let spent: u64 = self.shares.values().map(|share| share.spent).sum();
        let allotted: u64 = self.shares.values().map(|share| share.allotted).sum();
        allotted + (self.settled - spent)
    }
}

/// Deterministic: the same entries in the same order give the same ledger. It goes into the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// Settlements for versions before this one are neither remembered nor taken.
    floor: u64,
    /// By fill: the whole id under which it was settled, and the bytes.
    settled: BTreeMap<String, (String, u64)>,
    /// Debtor, then creditor.
    pairs: BTreeMap<String, BTreeMap<String, Pair>>,
    /// What leaders began of late.
    begun: begun::Log,
}

impl Ledger {
    pub fn apply(&mut self, entry: &Agreed) -> Result<Applied, DebtError> {
        if self.check(entry)? == Applied::Before {
            return Ok(Applied::Before);
        }
        match entry {
            Agreed::Allot(allot) => {
                let pair = self.pair_mut(&allot.debtor, &allot.creditor);
                (pair.debt, pair.number) = (pair.debt.max(allot.debt), pair.number + 1);
                for (by, bytes) in &allot.parts {
                    pair.shares.entry(by.clone()).or_default().allotted += bytes;
                }
            }
            Agreed::Release(release) => {
                let pair = self.pair_mut(&release.debtor, &release.creditor);
                pair.number += 1;
                pair.shares.entry(release.by.clone()).or_default().allotted -= release.bytes;
            }
            Agreed::Settle(settlement) => {
                let Settlement { id, debtor, creditor, bytes, .. } = settlement;
                let split = self.is_split(debtor, creditor);
                let pair = self.pair_mut(debtor, creditor);
                pair.settled = pair.settled.saturating_add(*bytes);
                if split {
                    pair.shares.entry(settlement.by().to_string()).or_default().spent += bytes;
                }
                self.settled.insert(settlement.fill().to_string(), (id.clone(), *bytes));
            }
            Agreed::Begin(fill) => self.begun.note(fill.clone()),
        }
        Ok(Applied::Now)
    }

    /// What [`Ledger::apply`] would say; changes nothing.
    pub fn check(&self, entry: &Agreed) -> Result<Applied, DebtError> {
        match entry {
            Agreed::Allot(allot) => self.allot(allot),
            Agreed::Release(release) => self.release(release),
            Agreed::Settle(settlement) => self.settle(settlement),
            Agreed::Begin(fill) => self.begin(fill),
        }
    }

    fn pair(&self, debtor: &str, creditor: &str) -> Option<&Pair> {
        self.pairs.get(debtor)?.get(creditor)
    }

    fn pair_mut(&mut self, debtor: &str, creditor: &str) -> &mut Pair {
        self.pairs.entry(debtor.to_string()).or_default().entry(creditor.to_string()).or_default()
    }

    /// The number that the next [`Allot`] or [`Release`] of the pair has to have.
    pub fn next(&self, debtor: &str, creditor: &str) -> u64 {
        self.pair(debtor, creditor).map_or(0, |pair| pair.number)
    }

    fn in_turn(&self, debtor: &str, creditor: &str, number: u64) -> Result<bool, DebtError> {
        let wanted = self.next(debtor, creditor);
        if number > wanted {
            let (debtor, creditor) = (debtor.to_string(), creditor.to_string());
            return Err(DebtError::Ahead { debtor, creditor, number, wanted });
        }
        Ok(number == wanted)
    }

    fn allot(&self, allot: &Allot) -> Result<Applied, DebtError> {
        let (debtor, creditor) = (allot.debtor.clone(), allot.creditor.clone());
        if !self.in_turn(&debtor, &creditor, allot.number)? {
            return Ok(Applied::Before);
        }
        let more = allot.parts.iter().try_fold(0u64, |sum, (_, bytes)| sum.checked_add(*bytes));
        let more = more.unwrap_or(u64::MAX);
        if debtor == creditor || more == 0 {
            return Err(DebtError::Nothing { debtor, creditor, bytes: more });
        }
        // What was settled before the first split has used up its part of the debt.
        let allotted = self.allotted(&debtor, &creditor);
        let debt = self.pair(&debtor, &creditor).map_or(0, |pair| pair.debt).max(allot.debt);
        let wanted = allotted.saturating_add(more);
        if wanted > debt {
            return Err(DebtError::PastDebt { debtor, creditor, wanted, debt });
        }
        Ok(Applied::Now)
    }

    fn release(&self, release: &Release) -> Result<Applied, DebtError> {
        let (debtor, creditor) = (release.debtor.clone(), release.creditor.clone());
        if !self.in_turn(&debtor, &creditor, release.number)? {
            return Ok(Applied::Before);
        }
        let (by, bytes) = (release.by.clone(), release.bytes);
        let left = self.share(&by, &debtor, &creditor).left();
        if bytes > left {
            return Err(DebtError::PastRelease { by, debtor, creditor, bytes, left });
        }
        Ok(Applied::Now)
    }

    /// The first settlement of a fill stands; the same again does nothing, another for the same fill is refused.
    fn settle(&self, settlement: &Settlement) -> Result<Applied, DebtError> {
        let Settlement { id, debtor, creditor, bytes, .. } = settlement.clone();
        let (fill, by) = (settlement.fill().to_string(), settlement.by().to_string());
        if let Some((before, _)) = self.settled.get(&fill) {
            return match *before == id {
                true => Ok(Applied::Before),
                false => Err(DebtError::Contradicts { id, fill, before: before.clone() }),
            };
        }
        let version = settlement.version();
        if version.is_none_or(|version| version < self.floor) {
            return Err(DebtError::Closed { id, version, floor: self.floor });
        }
        if debtor == creditor || bytes == 0 {
            return Err(DebtError::Nothing { debtor, creditor, bytes });
        }
        let left = self.share(&by, &debtor, &creditor).left();
        if self.is_split(&debtor, &creditor) && bytes > left {
            return Err(DebtError::PastShare { id, by, debtor, creditor, bytes, left });
        }
        Ok(Applied::Now)
    }

    fn begin(&self, fill: &Begun) -> Result<Applied, DebtError> {
        if fill.bytes == 0 {
            let (debtor, creditor) = (fill.from.clone(), fill.to.clone());
            return Err(DebtError::Nothing { debtor, creditor, bytes: 0 });
        }
        Ok(if self.begun.has(&fill.id, &fill.from) { Applied::Before } else { Applied::Now })
    }

    /// Fills that leaders began of late, from whichever partner.
    pub fn begun(&self) -> impl Iterator<Item = &Begun> {
        self.begun.iter()
    }

    pub fn has_begun(&self, fill: &str, from: &str) -> bool {
        self.begun.has(fill, from)
    }

    /// Settlements for versions before this one are refused.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Settlements of versions before this one are closed: what is remembered of them goes, and late ones are
    /// refused. To be called in the order of the log, a few versions behind the one in force.
    pub fn close(&mut self, before: u64) {
        self.floor = self.floor.max(before);
        let floor = self.floor;
        let version = |fill: &str| fill.split_once('/').and_then(|(version, _)| version.parse::<u64>().ok());
        self.settled.retain(|fill, _| version(fill).is_some_and(|version| version >= floor));
    }

    /// A debt that was never split knows no bound of its own here: [`crate::Book`] counts of its settlements what the
    /// debt holds. Once split, a settlement past its broker's share is refused, for good.
    pub fn is_split(&self, debtor: &str, creditor: &str) -> bool {
        self.pair(debtor, creditor).is_some_and(|pair| !pair.shares.is_empty())
    }

    pub fn has(&self, fill: &str) -> bool {
        self.settled.contains_key(fill)
    }

    pub fn settled(&self, debtor: &str, creditor: &str) -> u64 {
        self.pair(debtor, creditor).map_or(0, |pair| pair.settled)
    }

    /// Split over brokers so far, spent or not.
    pub fn allotted(&self, debtor: &str, creditor: &str) -> u64 {
        self.pair(debtor, creditor).map_or(0, Pair::allotted)
    }

    pub fn share(&self, by: &str, debtor: &str, creditor: &str) -> Share {
        self.pair(debtor, creditor).and_then(|pair| pair.shares.get(by)).copied().unwrap_or_default()
    }

    /// Every pair (debtor, creditor) of which anything was agreed.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs
            .iter()
            .flat_map(|(debtor, all)| all.keys().map(move |creditor| (debtor.as_str(), creditor.as_str())))
    }
}
