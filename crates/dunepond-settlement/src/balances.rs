//! What partners owe each other: counts as far as both sides confirm them, less what is settled, cycles cancelled.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::netting::{DebtEdge, OpenDebts};
use crate::{
    ApplyOutcome, BrokerPartners, CarriedCounts, SettlementEntry, SettlementError, SettlementLedger,
};

/// Weight of an old byte in the order of service, relative to a new one, at least.
const MIN_WEIGHT_RATIO: f64 = 0.1;

/// Limits on which partners have agreed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettlementTerms {
    /// Ratio of the lesser count by which carrier and debtor may differ without a discrepancy.
    #[serde(rename = "tolerance")]
    pub tolerance_ratio: f64,
    /// Bytes by which they may differ on top of that.
    #[serde(rename = "slack")]
    pub slack_bytes: u64,
    /// Seconds after which a byte weighs half as much in the order of service. The debt itself does not age.
    #[serde(rename = "half_life")]
    pub half_life_seconds: f64,
    /// Bytes by which one fill may change what two partners owe each other.
    #[serde(rename = "most_move")]
    pub max_fill_bytes: u64,
    /// Bytes a second by which it may change over a window.
    #[serde(rename = "most_speed")]
    pub max_debt_speed: f64,
    /// No fill is taken from a partner that would be owed more than this by it.
    #[serde(rename = "most_debt")]
    pub max_debt_bytes: u64,
    /// Seconds; a limit per window holds over each stretch of this length.
    #[serde(rename = "window")]
    pub window_seconds: f64,
    /// Bytes that one partner carries in fills for others per window.
    #[serde(rename = "carry")]
    pub max_carried_bytes: u64,
    /// Bytes a second below which a fill is not started.
    #[serde(rename = "least_rate")]
    pub min_fill_rate: f64,
    /// Bytes a second of a fill, at most.
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
    /// The first term that is out of range.
    pub fn check(&self) -> Result<(), SettlementError> {
        let fault = |key, value, expected| Err(SettlementError::InvalidTerm { key, value, expected });
        let above = |value: f64| value.is_finite() && value > 0.0;
        if !(0.0..=1.0).contains(&self.tolerance_ratio) {
            return fault("tolerance", self.tolerance_ratio, "0 to 1");
        }
        let seconds = [("half-life", self.half_life_seconds), ("window", self.window_seconds)];
        if let Some((key, value)) = seconds.into_iter().find(|(_, value)| !above(*value)) {
            return fault(key, value, "seconds above 0");
        }
        let speeds = [
            ("most-speed", self.max_debt_speed),
            ("least-rate", self.min_fill_rate),
            ("most-rate", self.max_fill_rate),
        ];
        if let Some((key, value)) = speeds.into_iter().find(|(_, value)| !above(*value)) {
            return fault(key, value, "bytes a second above 0");
        }
        if self.max_fill_rate < self.min_fill_rate {
            return fault("most-rate", self.max_fill_rate, "no less than least-rate");
        }
        let bytes = [
            ("most-move", self.max_fill_bytes),
            ("most-debt", self.max_debt_bytes),
            ("carry", self.max_carried_bytes),
        ];
        if let Some((key, value)) = bytes.into_iter().find(|(_, value)| *value == 0) {
            return fault(key, value as f64, "bytes above 0");
        }
        Ok(())
    }
}

/// A net debt between two partners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NetDebt {
    /// Partner that owes.
    pub debtor: String,
    /// Partner that is owed.
    pub creditor: String,
    /// Bytes of the debt.
    pub bytes: u64,
}

/// The two sides of a pair differ by more than the terms allow; the lesser count is used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Discrepancy {
    /// Partner that carried.
    pub carrier: String,
    /// Partner that owes it.
    #[serde(rename = "owed_by")]
    pub debtor: String,
    /// Bytes that the carrier's brokers count.
    #[serde(rename = "said")]
    pub carrier_bytes: u64,
    /// Bytes that the debtor's brokers count.
    #[serde(rename = "seen")]
    pub debtor_bytes: u64,
}

impl Discrepancy {
    /// Bytes that do not count.
    pub fn uncounted_bytes(&self) -> u64 {
        self.carrier_bytes.abs_diff(self.debtor_bytes)
    }
}

/// A direction in which bytes are carried.
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

/// Bytes of one pair, weighted by age.
#[derive(Clone, Copy, Debug)]
struct AgedBytes {
    updated_at: f64,
    weight: f64,
    known_bytes: u64,
}

impl AgedBytes {
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

/// Counts and ledger together, as one broker sees them. Counts may lag behind those of others, but never lead.
#[derive(Clone, Debug)]
pub struct Balances {
    terms: SettlementTerms,
    partners: BrokerPartners,
    ledger: SettlementLedger,
    /// Bytes that count, settled or not.
    gross: BTreeMap<CarriedPair, u64>,
    aged: BTreeMap<CarriedPair, AgedBytes>,
    discrepancies: Vec<Discrepancy>,
}

impl Balances {
    /// Balances without counts, which come with [`Balances::update_counts`].
    ///
    /// # Errors
    /// A term is out of range.
    pub fn new(
        terms: SettlementTerms,
        partners: BrokerPartners,
        ledger: SettlementLedger,
    ) -> Result<Balances, SettlementError> {
        terms.check()?;
        let (gross, aged) = (BTreeMap::new(), BTreeMap::new());
        Ok(Balances { terms, partners, ledger, gross, aged, discrepancies: Vec::new() })
    }

    /// The terms that partners have agreed on.
    pub fn terms(&self) -> &SettlementTerms {
        &self.terms
    }

    /// The ledger, as far as the log was applied.
    pub fn ledger(&self) -> &SettlementLedger {
        &self.ledger
    }

    /// Replaces everything that was applied by the ledger of a broker that is further in the log.
    pub fn replace(&mut self, ledger: SettlementLedger) {
        self.ledger = ledger;
    }

    /// With this fraction of what partners may carry and of how fast debts may change, for one of several planners.
    pub fn fraction(&self, fraction: f64) -> Balances {
        let mut balances = self.clone();
        let max_carried_bytes = balances.terms.max_carried_bytes as f64;
        balances.terms.max_carried_bytes = (max_carried_bytes * fraction) as u64;
        balances.terms.max_debt_speed *= fraction;
        balances
    }

    /// Applies an entry of the consensus log, in its order.
    ///
    /// # Errors
    /// As [`SettlementLedger::apply`].
    pub fn apply(&mut self, entry: &SettlementEntry) -> Result<ApplyOutcome, SettlementError> {
        self.ledger.apply(entry)
    }

    /// See [`SettlementLedger::close`].
    pub fn close(&mut self, before: u64) {
        self.ledger.close(before);
    }

    /// Takes the counts as they are now.
    ///
    /// What the debtor's brokers saw counts, as it is against their interest. Where the carrier counts, too, only the lesser
    /// of both does: a partner that claims ten times what it carried gets what the other side saw. Brokers of neither side
    /// count in full: each query passes one broker. All of these only grow, so the result only grows.
    pub fn update_counts(&mut self, now: f64, counts: &CarriedCounts) {
        self.discrepancies.clear();
        for (carrier, debtor) in counts.pairs() {
            let by_partner = |partner: &str| {
                counts.total_of(&carrier, &debtor, |broker| self.partners.partner(broker) == Some(partner))
            };
            let (carrier_bytes, debtor_bytes) = (by_partner(&carrier), by_partner(&debtor));
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

    fn raise_gross(&mut self, now: f64, pair: CarriedPair, bytes: u64) {
        let gross = self.gross.entry(pair.clone()).or_default();
        *gross = bytes.max(*gross);
        let aged = self.aged.entry(pair).or_insert(AgedBytes::new(now));
        aged.update(now, *gross, self.terms.half_life_seconds);
    }

    /// Pairs whose sides disagreed in the last counts.
    pub fn discrepancies(&self) -> &[Discrepancy] {
        &self.discrepancies
    }

    /// All that `debtor` ever owed `carrier`, settled or not.
    pub fn gross(&self, carrier: &str, debtor: &str) -> u64 {
        self.gross.get(&CarriedPair::new(carrier, debtor)).copied().unwrap_or(0)
    }

    /// Bytes settled, up to the debt; a settlement whose debt is not known yet counts once it is.
    pub fn settled(&self, debtor: &str, creditor: &str) -> u64 {
        self.ledger.settled(debtor, creditor).min(self.gross(creditor, debtor))
    }

    /// Bytes settled beyond what was seen: counts are still in flight, or the debt was never split.
    pub fn settled_beyond_debt(&self, debtor: &str, creditor: &str) -> u64 {
        self.ledger.settled(debtor, creditor) - self.settled(debtor, creditor)
    }

    /// What `debtor` owes `creditor` between the two of them; negative if it is owed. A settlement counts as a byte carried
    /// the other way.
    pub fn balance(&self, debtor: &str, creditor: &str) -> i128 {
        self.unsettled(debtor, creditor) - self.unsettled(creditor, debtor)
    }

    /// What was carried for `debtor` and is not settled, whatever was carried the other way.
    fn unsettled(&self, debtor: &str, creditor: &str) -> i128 {
        i128::from(self.gross(creditor, debtor)) - i128::from(self.settled(debtor, creditor))
    }

    /// Open debts with cycles cancelled, by debtor and creditor.
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

    /// One of the net debts.
    pub fn net_debt(&self, debtor: &str, creditor: &str) -> u64 {
        let net = self.net_debts();
        net.iter()
            .find(|debt| debt.debtor == debtor && debt.creditor == creditor)
            .map_or(0, |debt| debt.bytes)
    }

    /// Weight of a debt in the order of service: its recent bytes count fully, the others by age.
    pub fn service_weight(&self, debt: &NetDebt, now: f64) -> f64 {
        let key = CarriedPair::new(&debt.creditor, &debt.debtor);
        let recent_ratio = self.aged.get(&key).map_or(1.0, |aged| {
            aged.decayed_weight(now, self.terms.half_life_seconds) / aged.known_bytes.max(1) as f64
        });
        debt.bytes as f64 * recent_ratio.clamp(MIN_WEIGHT_RATIO, 1.0)
    }
}
