//! Ledger of settlements, and of the shares of debts that brokers may settle. Every broker applies the same entries in the
//! order of the consensus log, so all brokers have the same ledger.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::started_fills::StartedFills;
use crate::{Settlement, SettlementError, StartedFill};

/// Entry of the consensus log that changes the settlement ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SettlementEntry {
    /// Allots shares of a debt to brokers.
    Allot(Allotment),
    /// Returns a part of a broker's share.
    Release(ShareRelease),
    /// Settles the part of a debt that a fill has paid off.
    Settle(Settlement),
    /// Records a fill that a leader starts, so that the next leader knows of it.
    #[serde(rename = "Begin")]
    StartFill(StartedFill),
}

/// Allots shares of a debt to brokers in advance, in addition to the shares that they already have.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Allotment {
    /// Number of this entry in the sequence of allotments and releases for this debtor and creditor. Must be the next one,
    /// from [`SettlementLedger::next_number`]. An entry whose number was already used has no effect, so duplicates are
    /// harmless.
    pub number: u64,
    /// Partner that owes the debt.
    pub debtor: String,
    /// Partner to which the debt is owed.
    pub creditor: String,
    /// Bytes that `debtor` has ever owed `creditor`, settled or not, as known to the proposer. All shares together stay within
    /// the largest value of this field in the allotments for this debtor and creditor.
    pub debt: u64,
    /// Shares to add, by broker.
    pub parts: Vec<AllottedShare>,
}

/// Bytes that an allotment adds to a broker's share. Serialized as a pair of broker and bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct AllottedShare {
    /// Name of the broker.
    pub broker: String,
    /// Bytes to add to the broker's share.
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

/// Gives back an unspent part of a broker's share of a debt, so that it can be allotted again. Only the broker itself may propose
/// this, because no other broker knows what it promised while it was partitioned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareRelease {
    /// Number of this entry in the sequence of allotments and releases for this debtor and creditor, as in
    /// [`Allotment::number`].
    pub number: u64,
    /// Partner that owes the debt.
    pub debtor: String,
    /// Partner to which the debt is owed.
    pub creditor: String,
    /// Broker that gives back a part of its share.
    #[serde(rename = "by")]
    pub broker: String,
    /// Bytes that the broker gives back.
    pub bytes: u64,
}

/// Whether an accepted entry changed the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The entry was applied for the first time.
    New,
    /// The entry changed nothing: it was applied before, or it is an allotment or release whose number was already used for
    /// this debtor and creditor.
    Duplicate,
}

/// A broker's share of a debt between two partners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DebtShare {
    /// Bytes that the broker may settle in total, including those already settled.
    pub allotted: u64,
    /// Bytes that the broker has settled.
    pub spent: u64,
}

impl DebtShare {
    /// Returns the bytes that the broker may still settle.
    pub fn remaining(&self) -> u64 {
        self.allotted - self.spent
    }
}

/// Shares and settlements of what one partner owes another, in bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PairAccount {
    /// Number that the next [`Allotment`] or [`ShareRelease`] must have.
    #[serde(rename = "number")]
    next_number: u64,
    /// Largest debt that an [`Allotment`] has stated.
    debt: u64,
    /// Bytes that were settled, whether before or after the debt was split into shares of brokers.
    settled: u64,
    /// Shares of the debt, by name of the broker.
    shares: BTreeMap<String, DebtShare>,
}

/// The settlement that was applied for a fill. Serialized as a pair of settlement id and bytes.
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
    /// Bytes of all shares, plus the bytes settled before the debt was split into shares of brokers. Once the debt is split,
    /// this sum stays within `debt`.
    fn allotted(&self) -> u64 {
        let spent: u64 = self.shares.values().map(|share| share.spent).sum();
        let allotted: u64 = self.shares.values().map(|share| share.allotted).sum();
        allotted + (self.settled - spent)
    }
}

/// Shares of debts, settlements and recently started fills, as recorded in the consensus log. The same entries in the same
/// order give the same ledger. It is part of each snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SettlementLedger {
    /// First configuration version for which settlements are kept and accepted.
    floor: u64,
    /// Settlements by id of the fill.
    settled: BTreeMap<String, SettledFill>,
    /// Accounts of pairs of partners, by debtor, then by creditor.
    pairs: BTreeMap<String, BTreeMap<String, PairAccount>>,
    /// Fills that leaders started recently.
    #[serde(rename = "begun")]
    started: StartedFills,
}

impl SettlementLedger {
    /// Applies an entry of the consensus log.
    ///
    /// # Errors
    /// Returns the reason if the entry is rejected. The ledger is unchanged in that case.
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

    /// Returns what [`SettlementLedger::apply`] would return, without applying the entry.
    ///
    /// # Errors
    /// Returns the same errors as [`SettlementLedger::apply`].
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

    /// Returns the number that the next [`Allotment`] or [`ShareRelease`] of the pair must have.
    pub fn next_number(&self, debtor: &str, creditor: &str) -> u64 {
        self.pair(debtor, creditor).map_or(0, |pair| pair.next_number)
    }

    /// Whether `number` is the next number of the pair; false if it was already used, an error if it skips a number.
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
        let new_bytes = allot.parts.iter().try_fold(0u64, |sum, share| sum.checked_add(share.bytes));
        let new_bytes = new_bytes.unwrap_or(u64::MAX);
        if debtor == creditor || new_bytes == 0 {
            return Err(SettlementError::EmptyEntry { debtor, creditor, bytes: new_bytes });
        }
        // `allotted` includes the bytes settled before the debt was first split, which can no longer be allotted.
        let allotted = self.allotted(&debtor, &creditor);
        let debt = self.pair(&debtor, &creditor).map_or(0, |pair| pair.debt).max(allot.debt);
        let allotted = allotted.saturating_add(new_bytes);
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

    /// Accepts only the first settlement of a fill. A duplicate has no effect; a settlement of the same fill under another id
    /// is rejected.
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
        Ok(if self.started.contains(&fill.id, &fill.from) {
            ApplyOutcome::Duplicate
        } else {
            ApplyOutcome::New
        })
    }

    /// Returns the fills that leaders started recently. The same fill appears several times if it was started from sources of
    /// several partners.
    pub fn started_fills(&self) -> impl Iterator<Item = &StartedFill> {
        self.started.iter()
    }

    /// Returns whether a leader recently started the fill from a source of the partner `from`.
    pub fn has_started(&self, fill: &str, from: &str) -> bool {
        self.started.contains(fill, from)
    }

    /// Returns the first configuration version for which settlements are accepted.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Closes the configuration versions before `before`: drops the records of their settlements and rejects later ones.
    ///
    /// Every broker must call this at the same place in the order of the log, with a version slightly older than the active
    /// one.
    pub fn close_versions(&mut self, before: u64) {
        self.floor = self.floor.max(before);
        let floor = self.floor;
        let version = |fill: &str| fill.split_once('/').and_then(|(version, _)| version.parse::<u64>().ok());
        self.settled.retain(|fill, _| version(fill).is_some_and(|version| version >= floor));
    }

    /// Returns whether the debt was split into shares of brokers.
    ///
    /// The ledger does not limit settlements of a debt that was never split; [`crate::Balances`] counts them up to the debt.
    /// Once a debt is split, a settlement that exceeds its broker's share is rejected permanently.
    pub fn is_split(&self, debtor: &str, creditor: &str) -> bool {
        self.pair(debtor, creditor).is_some_and(|pair| !pair.shares.is_empty())
    }

    /// Returns whether a settlement was applied for the fill.
    pub fn is_settled(&self, fill: &str) -> bool {
        self.settled.contains_key(fill)
    }

    /// Returns the settled bytes of what `debtor` owes `creditor`.
    pub fn settled(&self, debtor: &str, creditor: &str) -> u64 {
        self.pair(debtor, creditor).map_or(0, |pair| pair.settled)
    }

    /// Returns the bytes of all shares of what `debtor` owes `creditor`, plus the bytes settled before the debt was split.
    pub fn allotted(&self, debtor: &str, creditor: &str) -> u64 {
        self.pair(debtor, creditor).map_or(0, PairAccount::allotted)
    }

    /// Returns a broker's share of what `debtor` owes `creditor`; an empty share if it has none.
    pub fn share(&self, broker: &str, debtor: &str, creditor: &str) -> DebtShare {
        self.pair(debtor, creditor).and_then(|pair| pair.shares.get(broker)).copied().unwrap_or_default()
    }

    /// Returns each pair (debtor, creditor) for which an entry was applied.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs
            .iter()
            .flat_map(|(debtor, all)| all.keys().map(move |creditor| (debtor.as_str(), creditor.as_str())))
    }
}
