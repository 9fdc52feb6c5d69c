//! The committed part: shares in debts and settlements, applied in the order of the consensus log, the same at every broker.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::started_fills::StartedFills;
use crate::{Settlement, SettlementError, StartedFill};

/// What the consensus log records about debts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementEntry {
    /// Splits a debt over brokers.
    Allot(Allotment),
    /// A broker returns a part of its share.
    Release(ShareRelease),
    /// A fill paid off a part of a debt.
    Settle(Settlement),
    /// A fill that a leader starts, so that the next one knows of it.
    #[serde(rename = "Begin")]
    StartFill(StartedFill),
}

/// Splits a debt, or more of it, over brokers in advance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Allotment {
    /// The pair's next number ([`SettlementLedger::next_number`]): an entry that is duplicated or overtaken does nothing.
    pub number: u64,
    /// Partner that owes.
    pub debtor: String,
    /// Partner that is owed.
    pub creditor: String,
    /// All that was ever owed, settled or not, as the proposer saw it; shares stay within the largest debt so stated.
    pub debt: u64,
    /// What each broker gets.
    pub parts: Vec<AllottedShare>,
}

/// What a broker gets. Stored as a pair.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct AllottedShare {
    /// Name of the broker.
    pub broker: String,
    /// Bytes that it gets on top of what it has.
    pub bytes: u64,
}

impl From<(String, u64)> for AllottedShare {
    fn from((broker, bytes): (String, u64)) -> Self {
        Self { broker, bytes }
    }
}

impl From<AllottedShare> for (String, u64) {
    fn from(share: AllottedShare) -> Self {
        (share.broker, share.bytes)
    }
}

/// A broker returns what it has not spent, so that it can be split again. Only the broker itself may propose it:
/// nobody else knows what it has promised while it was partitioned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareRelease {
    /// The pair's next number, as in [`Allotment::number`].
    pub number: u64,
    /// Partner that owes.
    pub debtor: String,
    /// Partner that is owed.
    pub creditor: String,
    /// Broker that returns it.
    #[serde(rename = "by")]
    pub broker: String,
    /// Bytes that are returned.
    pub bytes: u64,
}

/// Whether an entry changed anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The entry was applied.
    New,
    /// It was applied before: duplicated, or proposed again after a crash.
    Duplicate,
}

/// A broker's share of a debt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DebtShare {
    /// Bytes that the broker may settle.
    pub allotted: u64,
    /// Bytes that it has settled.
    pub spent: u64,
}

impl DebtShare {
    /// Bytes that it may still settle.
    pub fn remaining(&self) -> u64 {
        self.allotted - self.spent
    }
}

/// What one partner owes another, in bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PairAccount {
    #[serde(rename = "number")]
    next_number: u64,
    /// The largest that an [`Allotment`] has stated.
    debt: u64,
    settled: u64,
    /// Shares by name of the broker.
    shares: BTreeMap<String, DebtShare>,
}

/// The settlement of a fill. Stored as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
struct SettledFill {
    settlement_id: String,
    bytes: u64,
}

impl From<(String, u64)> for SettledFill {
    fn from((settlement_id, bytes): (String, u64)) -> Self {
        Self { settlement_id, bytes }
    }
}

impl From<SettledFill> for (String, u64) {
    fn from(settled: SettledFill) -> Self {
        (settled.settlement_id, settled.bytes)
    }
}

impl PairAccount {
    /// Shares, and what was settled before there were any. Once split, it stays within `debt`.
    fn allotted(&self) -> u64 {
        let spent: u64 = self.shares.values().map(|share| share.spent).sum();
        let allotted: u64 = self.shares.values().map(|share| share.allotted).sum();
        allotted + (self.settled - spent)
    }
}

/// The same entries in the same order give the same ledger. Part of each snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementLedger {
    /// Settlements for versions before this one are neither retained nor accepted.
    floor: u64,
    /// Settled fills by id.
    settled: BTreeMap<String, SettledFill>,
    /// Accounts by debtor, then by creditor.
    pairs: BTreeMap<String, BTreeMap<String, PairAccount>>,
    /// Fills that leaders started recently.
    #[serde(rename = "begun")]
    started: StartedFills,
}

impl SettlementLedger {
    /// Applies an entry of the log.
    ///
    /// # Errors
    /// The entry is rejected; nothing changed.
    pub fn apply(&mut self, entry: &SettlementEntry) -> Result<ApplyOutcome, SettlementError> {
        if self.check(entry)? == ApplyOutcome::Duplicate {
            return Ok(ApplyOutcome::Duplicate);
        }
        match entry {
            SettlementEntry::Allot(allotment) => self.apply_allotment(allotment),
            SettlementEntry::Release(release) => self.apply_release(release),
            SettlementEntry::Settle(settlement) => self.apply_settlement(settlement),
            SettlementEntry::StartFill(fill) => self.started.add(fill.clone()),
        }
        Ok(ApplyOutcome::New)
    }

    fn apply_allotment(&mut self, allotment: &Allotment) {
        let pair = self.pair_mut(&allotment.debtor, &allotment.creditor);
        pair.debt = pair.debt.max(allotment.debt);
        pair.next_number += 1;
        for AllottedShare { broker, bytes } in &allotment.parts {
            pair.shares.entry(broker.clone()).or_default().allotted += bytes;
        }
    }

    fn apply_release(&mut self, release: &ShareRelease) {
        let pair = self.pair_mut(&release.debtor, &release.creditor);
        pair.next_number += 1;
        pair.shares.entry(release.broker.clone()).or_default().allotted -= release.bytes;
    }

    fn apply_settlement(&mut self, settlement: &Settlement) {
        let Settlement { id, debtor, creditor, bytes, .. } = settlement;
        let is_split = self.is_split(debtor, creditor);
        let pair = self.pair_mut(debtor, creditor);
        pair.settled = pair.settled.saturating_add(*bytes);
        if is_split {
            pair.shares.entry(settlement.broker().to_string()).or_default().spent += bytes;
        }
        let settled = SettledFill { settlement_id: id.clone(), bytes: *bytes };
        self.settled.insert(settlement.fill().to_string(), settled);
    }

    /// What [`SettlementLedger::apply`] would return; changes nothing.
    ///
    /// # Errors
    /// As there.
    pub fn check(&self, entry: &SettlementEntry) -> Result<ApplyOutcome, SettlementError> {
        match entry {
            SettlementEntry::Allot(allot) => self.check_allotment(allot),
            SettlementEntry::Release(release) => self.check_release(release),
            SettlementEntry::Settle(settlement) => self.check_settlement(settlement),
            SettlementEntry::StartFill(fill) => self.check_start(fill),
        }
    }

    fn pair(&self, debtor: &str, creditor: &str) -> Option<&PairAccount> {
        self.pairs.get(debtor)?.get(creditor)
    }

    fn pair_mut(&mut self, debtor: &str, creditor: &str) -> &mut PairAccount {
        self.pairs.entry(debtor.to_string()).or_default().entry(creditor.to_string()).or_default()
    }

    /// The number that the next [`Allotment`] or [`ShareRelease`] of the pair has to have.
    pub fn next_number(&self, debtor: &str, creditor: &str) -> u64 {
        self.pair(debtor, creditor).map_or(0, |pair| pair.next_number)
    }

    fn is_next(&self, debtor: &str, creditor: &str, number: u64) -> Result<bool, SettlementError> {
        let expected = self.next_number(debtor, creditor);
        if number > expected {
            let (debtor, creditor) = (debtor.to_string(), creditor.to_string());
            return Err(SettlementError::SkippedNumber { debtor, creditor, number, expected });
        }
        Ok(number == expected)
    }

    fn check_allotment(&self, allot: &Allotment) -> Result<ApplyOutcome, SettlementError> {
        let (debtor, creditor) = (allot.debtor.clone(), allot.creditor.clone());
        if !self.is_next(&debtor, &creditor, allot.number)? {
            return Ok(ApplyOutcome::Duplicate);
        }
        let more = allot.parts.iter().try_fold(0u64, |sum, share| sum.checked_add(share.bytes));
        let more = more.unwrap_or(u64::MAX);
        if debtor == creditor || more == 0 {
            return Err(SettlementError::EmptyEntry { debtor, creditor, bytes: more });
        }
        // What was settled before the first split has used its part of the debt.
        let allotted = self.allotted(&debtor, &creditor);
        let debt = self.pair(&debtor, &creditor).map_or(0, |pair| pair.debt).max(allot.debt);
        let allotted = allotted.saturating_add(more);
        if allotted > debt {
            return Err(SettlementError::ExceedsDebt { debtor, creditor, allotted, debt });
        }
        Ok(ApplyOutcome::New)
    }

    fn check_release(&self, release: &ShareRelease) -> Result<ApplyOutcome, SettlementError> {
        let (debtor, creditor) = (release.debtor.clone(), release.creditor.clone());
        if !self.is_next(&debtor, &creditor, release.number)? {
            return Ok(ApplyOutcome::Duplicate);
        }
        let (broker, bytes) = (release.broker.clone(), release.bytes);
        let remaining = self.share(&broker, &debtor, &creditor).remaining();
        if bytes > remaining {
            return Err(SettlementError::ExceedsRemaining { broker, debtor, creditor, bytes, remaining });
        }
        Ok(ApplyOutcome::New)
    }

    /// The first settlement of a fill counts; a duplicate does nothing, another one for the same fill is rejected.
    fn check_settlement(&self, settlement: &Settlement) -> Result<ApplyOutcome, SettlementError> {
        let Settlement { id, debtor, creditor, bytes, .. } = settlement.clone();
        let (fill, broker) = (settlement.fill().to_string(), settlement.broker().to_string());
        if let Some(settled) = self.settled.get(&fill) {
            let before = settled.settlement_id.clone();
            if before == id {
                return Ok(ApplyOutcome::Duplicate);
            }
            return Err(SettlementError::AlreadySettledOtherwise { id, fill, before });
        }
        let version = settlement.version();
        if version.is_none_or(|version| version < self.floor) {
            return Err(SettlementError::VersionClosed { id, version, floor: self.floor });
        }
        if debtor == creditor || bytes == 0 {
            return Err(SettlementError::EmptyEntry { debtor, creditor, bytes });
        }
        let remaining = self.share(&broker, &debtor, &creditor).remaining();
        if self.is_split(&debtor, &creditor) && bytes > remaining {
            return Err(SettlementError::ExceedsShare { id, broker, debtor, creditor, bytes, remaining });
        }
        Ok(ApplyOutcome::New)
    }

    fn check_start(&self, fill: &StartedFill) -> Result<ApplyOutcome, SettlementError> {
        if fill.bytes == 0 {
            let (debtor, creditor) = (fill.from.clone(), fill.to.clone());
            return Err(SettlementError::EmptyEntry { debtor, creditor, bytes: 0 });
        }
        Ok(if self.started.has(&fill.id, &fill.from) { ApplyOutcome::Duplicate } else { ApplyOutcome::New })
    }

    /// Fills that leaders started recently, from any partner.
    pub fn started_fills(&self) -> impl Iterator<Item = &StartedFill> {
        self.started.iter()
    }

    /// Whether the fill was started from a source of the partner `from`.
    pub fn has_started(&self, fill: &str, from: &str) -> bool {
        self.started.has(fill, from)
    }

    /// Settlements for versions before this one are rejected.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Closes versions before this one: their settlements are dropped, and late ones rejected. To be called in the order
    /// of the log, a few versions behind the active one.
    pub fn close(&mut self, before: u64) {
        self.floor = self.floor.max(before);
        let floor = self.floor;
        let version = |fill: &str| fill.split_once('/').and_then(|(version, _)| version.parse::<u64>().ok());
        self.settled.retain(|fill, _| version(fill).is_some_and(|version| version >= floor));
    }

    /// Whether the debt was split over brokers. A debt that never was has no limit here: [`crate::Balances`] counts its
    /// settlements up to the debt. Once split, a settlement beyond its broker's share is rejected for good.
    pub fn is_split(&self, debtor: &str, creditor: &str) -> bool {
        self.pair(debtor, creditor).is_some_and(|pair| !pair.shares.is_empty())
    }

    /// Whether the fill has settled.
    pub fn is_settled(&self, fill: &str) -> bool {
        self.settled.contains_key(fill)
    }

    /// Bytes that were settled.
    pub fn settled(&self, debtor: &str, creditor: &str) -> u64 {
        self.pair(debtor, creditor).map_or(0, |pair| pair.settled)
    }

    /// Bytes that were split over brokers so far, spent or not.
    pub fn allotted(&self, debtor: &str, creditor: &str) -> u64 {
        self.pair(debtor, creditor).map_or(0, PairAccount::allotted)
    }

    /// Share of a broker.
    pub fn share(&self, broker: &str, debtor: &str, creditor: &str) -> DebtShare {
        self.pair(debtor, creditor).and_then(|pair| pair.shares.get(broker)).copied().unwrap_or_default()
    }

    /// Every pair (debtor, creditor) with an entry.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs
            .iter()
            .flat_map(|(debtor, all)| all.keys().map(move |creditor| (debtor.as_str(), creditor.as_str())))
    }
}
