//! Net debts between partners: confirmed counts minus settlements, with cycles of debts cancelled.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::netting::{DebtEdge, OpenDebts};
use crate::{
    ApplyOutcome, BrokerPartners, CarriedCounts, SettlementEntry, SettlementError, SettlementLedger,
};

/// Minimum ratio of the weight of an old byte of a debt to that of a new one, in the order in which the planner serves
/// partners.
const MIN_WEIGHT_RATIO: f64 = 0.1;

/// Limits on debts and fills that the partners have agreed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettlementTerms {
    /// Tolerated difference between the carrier's count and the debtor's, as a ratio of the count that the debt is based
    /// on: the debtor's, or the smaller of the two if the carrier is in [`BrokerPartners::metered`].
    #[serde(rename = "tolerance")]
    pub tolerance_ratio: f64,
    /// Bytes by which the two counts may differ in addition to `tolerance_ratio`.
    #[serde(rename = "slack")]
    pub slack_bytes: u64,
    /// Age in seconds at which a byte of a debt has half its initial weight in the order in which the planner serves partners.
    /// The amount of the debt does not decay.
    #[serde(rename = "half_life")]
    pub half_life_seconds: f64,
    /// Maximum bytes of one fill between two partners.
    #[serde(rename = "most_move")]
    pub max_fill_bytes: u64,
    /// Maximum change of the debt between two partners, in bytes per second averaged over a window.
    #[serde(rename = "most_speed")]
    pub max_debt_speed: f64,
    /// Maximum debt of one partner to another, in bytes. No fill is planned after which the filled partner would owe the
    /// source's partner more than this.
    #[serde(rename = "most_debt")]
    pub max_debt_bytes: u64,
    /// Length in seconds of the window for the limits on carried bytes and on the change of debts. These limits apply to every
    /// period of this length.
    #[serde(rename = "window")]
    pub window_seconds: f64,
    /// Maximum bytes that one partner carries in fills for other partners per window.
    #[serde(rename = "carry")]
    pub max_carried_bytes: u64,
    /// Minimum rate of a fill in bytes per second. A fill that would be slower is not started.
    #[serde(rename = "least_rate")]
    pub min_fill_rate: f64,
    /// Maximum rate of a fill in bytes per second.
    #[serde(rename = "most_rate")]
    pub max_fill_rate: f64,
}

impl Default for SettlementTerms {
    fn default() -> SettlementTerms {
        SettlementTerms {
            tolerance_ratio: 0.02,
            slack_bytes: 1 << 20,
            half_life_seconds: 86_400.0,
            max_fill_bytes: 16 << 30,
            max_debt_speed: (64 << 20) as f64,
            max_debt_bytes: 256 << 30,
            window_seconds: 3600.0,
            max_carried_bytes: 128 << 30,
            min_fill_rate: 65_536.0,
            max_fill_rate: (32 << 20) as f64,
        }
    }
}

impl SettlementTerms {
    /// Checks that all terms are in range.
    ///
    /// # Errors
    /// Returns [`SettlementError::InvalidTerm`] for the first term that is out of range.
    pub fn check(&self) -> Result<(), SettlementError> {
        let out_of_range = |key, value, expected| Err(SettlementError::InvalidTerm { key, value, expected });
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        if !(0.0..=1.0).contains(&self.tolerance_ratio) {
            return out_of_range("tolerance", self.tolerance_ratio, "0 to 1");
        }
        let seconds = [("half-life", self.half_life_seconds), ("window", self.window_seconds)];
        if let Some((key, value)) = seconds.into_iter().find(|(_, value)| !is_positive(*value)) {
            return out_of_range(key, value, "seconds above 0");
        }
        let speeds = [
            ("most-speed", self.max_debt_speed),
            ("least-rate", self.min_fill_rate),
            ("most-rate", self.max_fill_rate),
        ];
        if let Some((key, value)) = speeds.into_iter().find(|(_, value)| !is_positive(*value)) {
            return out_of_range(key, value, "bytes a second above 0");
        }
        if self.max_fill_rate < self.min_fill_rate {
            return out_of_range("most-rate", self.max_fill_rate, "no less than least-rate");
        }
        let bytes = [
            ("most-move", self.max_fill_bytes),
            ("most-debt", self.max_debt_bytes),
            ("carry", self.max_carried_bytes),
        ];
        if let Some((key, value)) = bytes.into_iter().find(|(_, value)| *value == 0) {
            return out_of_range(key, value as f64, "bytes above 0");
        }
        Ok(())
    }
}

/// A debt between two partners that remains after settlements and cancelled cycles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NetDebt {
    /// Partner that owes the debt.
    pub debtor: String,
    /// Partner to which the debt is owed.
    pub creditor: String,
    /// Bytes of the debt.
    pub bytes: u64,
}

/// A difference between the counts of carrier and debtor that exceeds what the terms tolerate. The debt is then based on the
/// smaller count if the carrier is metered ([`BrokerPartners::metered`]), otherwise on the debtor's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Discrepancy {
    /// Partner that carried the bytes.
    pub carrier: String,
    /// Partner that owes the bytes to the carrier.
    #[serde(rename = "owed_by")]
    pub debtor: String,
    /// Bytes that the carrier's brokers counted.
    #[serde(rename = "said")]
    pub carrier_bytes: u64,
    /// Bytes that the debtor's brokers counted.
    #[serde(rename = "seen")]
    pub debtor_bytes: u64,
}

impl Discrepancy {
    /// Difference between the two counts, in bytes.
    pub fn uncounted_bytes(&self) -> u64 {
        self.carrier_bytes.abs_diff(self.debtor_bytes)
    }
}

/// A carrier and the partner that owes it the carried bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CarriedPair {
    carrier: String,
    debtor: String,
}

impl CarriedPair {
    fn new(carrier: &str, debtor: &str) -> Self {
        Self { carrier: carrier.to_string(), debtor: debtor.to_string() }
    }
}

/// Bytes that one partner carried for another, with a weight that decays exponentially with the age of the bytes.
#[derive(Clone, Copy, Debug)]
struct DecayingBytes {
    /// Time of the last update, in seconds on the monotonic clock.
    updated_at: f64,
    /// Decayed sum of the bytes at `updated_at`.
    weight: f64,
    /// Total bytes of the pair at `updated_at`, without decay. The next update adds only the bytes above this total to
    /// `weight`.
    known_bytes: u64,
}

impl DecayingBytes {
    fn new(now: f64) -> Self {
        Self { updated_at: now, weight: 0.0, known_bytes: 0 }
    }

    fn decayed_weight(&self, now: f64, half_life_seconds: f64) -> f64 {
        let age_seconds = (now - self.updated_at).max(0.0);
        self.weight * (-age_seconds / half_life_seconds).exp2()
    }

    fn update(&mut self, now: f64, bytes: u64, half_life_seconds: f64) {
        let new_bytes = (bytes - self.known_bytes) as f64;
        self.weight = self.decayed_weight(now, half_life_seconds) + new_bytes;
        (self.updated_at, self.known_bytes) = (now, bytes);
    }
}

/// Net debts as one broker computes them from counts and ledger. The broker may not know all counts of the other brokers
/// yet.
#[derive(Clone, Debug)]
pub struct Balances {
    terms: SettlementTerms,
    partners: BrokerPartners,
    ledger: SettlementLedger,
    /// Bytes ever owed for each pair of carrier and debtor. Settlements are not subtracted.
    gross: BTreeMap<CarriedPair, u64>,
    decaying: BTreeMap<CarriedPair, DecayingBytes>,
    discrepancies: Vec<Discrepancy>,
}

impl Balances {
    /// Creates balances without counts. [`Balances::update_counts`] adds them.
    ///
    /// # Errors
    /// Returns [`SettlementError::InvalidTerm`] if a term is out of range.
    pub fn new(
        terms: SettlementTerms,
        partners: BrokerPartners,
        ledger: SettlementLedger,
    ) -> Result<Balances, SettlementError> {
        terms.check()?;
        let (gross, decaying) = (BTreeMap::new(), BTreeMap::new());
        Ok(Balances { terms, partners, ledger, gross, decaying, discrepancies: Vec::new() })
    }

    /// Returns the terms that the partners have agreed on.
    pub fn terms(&self) -> &SettlementTerms {
        &self.terms
    }

    /// Returns the ledger with the log entries applied so far.
    pub fn ledger(&self) -> &SettlementLedger {
        &self.ledger
    }

    /// Replaces the ledger with that of a broker that has applied more of the log.
    pub fn replace_ledger(&mut self, ledger: SettlementLedger) {
        self.ledger = ledger;
    }

    /// Returns a copy for one of several planners, with this fraction of the limits on carried bytes and on the change of
    /// debts.
    pub fn with_limits_scaled(&self, fraction: f64) -> Balances {
        let mut balances = self.clone();
        let max_carried_bytes = balances.terms.max_carried_bytes as f64;
        balances.terms.max_carried_bytes = (max_carried_bytes * fraction) as u64;
        balances.terms.max_debt_speed *= fraction;
        balances
    }

    /// Applies an entry to the ledger. Entries must be applied in the order of the consensus log.
    ///
    /// # Errors
    /// Returns the same errors as [`SettlementLedger::apply`].
    pub fn apply(&mut self, entry: &SettlementEntry) -> Result<ApplyOutcome, SettlementError> {
        self.ledger.apply(entry)
    }

    /// Rejects settlements for configuration versions before `before` from now on; see [`SettlementLedger::close_versions`].
    pub fn close_versions(&mut self, before: u64) {
        self.ledger.close_versions(before);
    }

    /// Recomputes the gross debts and the discrepancies from `counts`.
    ///
    /// The count of the debtor's brokers is used, because it is against the debtor's interest. If the carrier is metered, the
    /// smaller of both counts is used, so a carrier cannot claim more than the debtor's brokers saw. Counts of brokers that
    /// belong to neither partner are added in full, because each query passes through only one broker. All counts only grow,
    /// so the gross debts only grow.
    pub fn update_counts(&mut self, now: f64, counts: &CarriedCounts) {
        self.discrepancies.clear();
        for (carrier, debtor) in counts.pairs() {
            let total_seen_by = |partner: &str| {
                counts.total_of(&carrier, &debtor, |broker| self.partners.partner(broker) == Some(partner))
            };
            let (carrier_bytes, debtor_bytes) = (total_seen_by(&carrier), total_seen_by(&debtor));
            let is_witness = |broker: &str| {
                self.partners.partner(broker).is_none_or(|partner| partner != carrier && partner != debtor)
            };
            let witnessed = counts.total_of(&carrier, &debtor, is_witness);
            let is_metered = self.partners.metered.contains(&carrier);
            let counted = if is_metered { carrier_bytes.min(debtor_bytes) } else { debtor_bytes };
            let claimed = carrier_bytes.max(debtor_bytes);
            let (ratio, slack_bytes) = (self.terms.tolerance_ratio, self.terms.slack_bytes);
            let tolerated = counted as f64 * (1.0 + ratio) + slack_bytes as f64;
            if claimed as f64 > tolerated && counted != claimed {
                let (carrier, debtor) = (carrier.clone(), debtor.clone());
                self.discrepancies.push(Discrepancy { carrier, debtor, carrier_bytes, debtor_bytes });
            }
            self.raise_gross(now, CarriedPair { carrier, debtor }, counted.saturating_add(witnessed));
        }
    }

    /// Raises the gross debt of a pair to `bytes` if it is lower, and updates the decaying weight.
    fn raise_gross(&mut self, now: f64, pair: CarriedPair, bytes: u64) {
        let gross = self.gross.entry(pair.clone()).or_default();
        *gross = bytes.max(*gross);
        let decaying = self.decaying.entry(pair).or_insert(DecayingBytes::new(now));
        decaying.update(now, *gross, self.terms.half_life_seconds);
    }

    /// Returns the discrepancies found by the last [`Balances::update_counts`].
    pub fn discrepancies(&self) -> &[Discrepancy] {
        &self.discrepancies
    }

    /// Returns the bytes that `debtor` has ever owed `carrier`, settled or not.
    pub fn gross(&self, carrier: &str, debtor: &str) -> u64 {
        self.gross.get(&CarriedPair::new(carrier, debtor)).copied().unwrap_or(0)
    }

    /// Returns the settled bytes of what `debtor` owes `creditor`, capped at the known gross debt. Settled bytes above the
    /// gross debt count once further counts have raised the gross debt.
    pub fn settled(&self, debtor: &str, creditor: &str) -> u64 {
        self.ledger.settled(debtor, creditor).min(self.gross(creditor, debtor))
    }

    /// Returns the bytes by which the settlements of what `debtor` owes `creditor` exceed the gross debt that is known here.
    /// There are such bytes if counts that raise the debt have not arrived here yet. There may also be such bytes if the debt
    /// was never split into shares of brokers, because the ledger limits settlements only by these shares.
    pub fn settled_beyond_debt(&self, debtor: &str, creditor: &str) -> u64 {
        self.ledger.settled(debtor, creditor) - self.settled(debtor, creditor)
    }

    /// Returns what `debtor` owes `creditor` after offsetting the debts between the two, in bytes; negative if `creditor`
    /// owes `debtor`. A settled byte counts like a byte carried in the other direction.
    pub fn balance(&self, debtor: &str, creditor: &str) -> i128 {
        self.unsettled(debtor, creditor) - self.unsettled(creditor, debtor)
    }

    /// Returns the unsettled bytes that `creditor` carried for `debtor`, regardless of what `debtor` carried for `creditor`.
    fn unsettled(&self, debtor: &str, creditor: &str) -> i128 {
        i128::from(self.gross(creditor, debtor)) - i128::from(self.settled(debtor, creditor))
    }

    /// Returns the open debts with cycles cancelled, sorted by debtor and creditor.
    pub fn net_debts(&self) -> Vec<NetDebt> {
        let mut open = OpenDebts::default();
        for pair in self.gross.keys() {
            for (debtor, creditor) in [(&pair.debtor, &pair.carrier), (&pair.carrier, &pair.debtor)] {
                let balance = self.balance(debtor, creditor);
                if let Ok(bytes) = u64::try_from(balance)
                    && bytes > 0
                {
                    open.insert(DebtEdge { debtor, creditor }, bytes);
                }
            }
        }
        let net = open.without_cycles();
        net.map(|(DebtEdge { debtor, creditor }, bytes)| NetDebt {
            debtor: debtor.to_string(),
            creditor: creditor.to_string(),
            bytes,
        })
        .collect()
    }

    /// Returns the net debt of `debtor` to `creditor` in bytes; 0 if there is none.
    pub fn net_debt(&self, debtor: &str, creditor: &str) -> u64 {
        let net = self.net_debts();
        net.iter()
            .find(|debt| debt.debtor == debtor && debt.creditor == creditor)
            .map_or(0, |debt| debt.bytes)
    }

    /// Returns the weight of a debt in the order in which the planner serves partners: the bytes of the debt, scaled down by
    /// their age.
    pub fn service_weight(&self, debt: &NetDebt, now: f64) -> f64 {
        let key = CarriedPair::new(&debt.creditor, &debt.debtor);
        let recent_ratio = self.decaying.get(&key).map_or(1.0, |decaying| {
            decaying.decayed_weight(now, self.terms.half_life_seconds) / decaying.known_bytes.max(1) as f64
        });
        debt.bytes as f64 * recent_ratio.clamp(MIN_WEIGHT_RATIO, 1.0)
    }
}
