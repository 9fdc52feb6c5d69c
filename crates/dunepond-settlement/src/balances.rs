//! What partners owe each other: counts as far as both sides confirm them, less what is settled, cycles cancelled.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    ApplyOutcome, BrokerPartners, CarriedCounts, SettlementEntry, SettlementError, SettlementLedger,
};

/// Weight of an old byte in the order of service, relative to a new one, at least.
const MIN_WEIGHT_RATIO: f64 = 0.1;

/// Limits on which partners have agreed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettlementTerms {
    /// Ratio of the lesser count by which carrier and debtor may differ without a dispute.
    pub tolerance: f64,
    /// Bytes by which they may differ on top of that.
    pub slack: u64,
    /// Seconds after which a byte weighs half as much in the order of service. The debt itself does not age.
    pub half_life: f64,
    /// Bytes by which one fill may change what two partners owe each other.
    pub most_move: u64,
    /// Bytes a second by which it may change over a window.
    pub most_speed: f64,
    /// No fill is taken from a partner that would be owed more than this by it.
    pub most_debt: u64,
    /// Seconds; a limit per window holds over each stretch of this length.
    pub window: f64,
    /// Bytes that one partner carries in fills for others per window.
    pub carry: u64,
    /// Bytes a second below which a fill is not started.
    pub least_rate: f64,
    /// Bytes a second of a fill, at most.
    pub most_rate: f64,
}

impl Default for SettlementTerms {
    fn default() -> SettlementTerms {
        SettlementTerms {
            tolerance: 0.02,
            slack: 1 << 20,
            half_life: 86_400.0,
            most_move: 16 << 30,
            most_speed: (64 << 20) as f64,
            most_debt: 256 << 30,
            window: 3600.0,
            carry: 128 << 30,
            least_rate: 65_536.0,
            most_rate: (32 << 20) as f64,
        }
    }
}

impl SettlementTerms {
    /// # Errors
    /// The first term that is out of range.
    pub fn check(&self) -> Result<(), SettlementError> {
        let fault = |key, value, wanted| Err(SettlementError::Terms { key, value, wanted });
        let above = |value: f64| value.is_finite() && value > 0.0;
        if !(0.0..=1.0).contains(&self.tolerance) {
            return fault("tolerance", self.tolerance, "0 to 1");
        }
        let seconds = [("half-life", self.half_life), ("window", self.window)];
        if let Some((key, value)) = seconds.into_iter().find(|(_, value)| !above(*value)) {
            return fault(key, value, "seconds above 0");
        }
        let speeds =
            [("most-speed", self.most_speed), ("least-rate", self.least_rate), ("most-rate", self.most_rate)];
        if let Some((key, value)) = speeds.into_iter().find(|(_, value)| !above(*value)) {
            return fault(key, value, "bytes a second above 0");
        }
        if self.most_rate < self.least_rate {
            return fault("most-rate", self.most_rate, "no less than least-rate");
        }
        let bytes = [("most-move", self.most_move), ("most-debt", self.most_debt), ("carry", self.carry)];
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
    /// Amount.
    pub bytes: u64,
}

/// The two sides of a pair differ by more than the terms allow. The lesser count is used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispute {
    /// Partner that carried.
    pub carrier: String,
    /// Partner that owes it.
    pub owed_by: String,
    /// Bytes that the carrier's brokers count.
    pub said: u64,
    /// Bytes that the other partner's brokers count.
    pub seen: u64,
}

impl Dispute {
    /// Bytes that do not count.
    pub fn uncounted_bytes(&self) -> u64 {
        self.said.abs_diff(self.seen)
    }
}

/// Bytes of one pair, weighted by age.
#[derive(Clone, Copy, Debug)]
struct Aged {
    at: f64,
    weight: f64,
    known: u64,
}

/// Counts and ledger together, as one broker sees them. Counts may lag behind those of others, but never lead.
#[derive(Clone, Debug)]
pub struct Balances {
    terms: SettlementTerms,
    sides: BrokerPartners,
    ledger: SettlementLedger,
    /// Carrier and who owes it: bytes that count.
    gross: BTreeMap<(String, String), u64>,
    aged: BTreeMap<(String, String), Aged>,
    disputes: Vec<Dispute>,
}

impl Balances {
    /// # Errors
    /// A term is out of range.
    pub fn new(
        terms: SettlementTerms,
        sides: BrokerPartners,
        ledger: SettlementLedger,
    ) -> Result<Balances, SettlementError> {
        terms.check()?;
        let (gross, aged) = (BTreeMap::new(), BTreeMap::new());
        Ok(Balances { terms, sides, ledger, gross, aged, disputes: Vec::new() })
    }

    /// As agreed.
    pub fn terms(&self) -> &SettlementTerms {
        &self.terms
    }

    /// As applied so far.
    pub fn ledger(&self) -> &SettlementLedger {
        &self.ledger
    }

    /// Replaces everything that was applied by the ledger of a broker that is further in the log.
    pub fn replace(&mut self, ledger: SettlementLedger) {
        self.ledger = ledger;
    }

    /// With this fraction of what partners may carry and of how fast debts may change, for one of several planners.
    pub fn fraction(&self, part: f64) -> Balances {
        let mut book = self.clone();
        book.terms.carry = (book.terms.carry as f64 * part) as u64;
        book.terms.most_speed *= part;
        book
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
        self.disputes.clear();
        for (carrier, owed_by) in counts.pairs() {
            let by = |partner: &str| {
                counts.total_of(&carrier, &owed_by, |broker| self.sides.partner(broker) == Some(partner))
            };
            let (said, seen) = (by(&carrier), by(&owed_by));
            let neither =
                |broker: &str| self.sides.partner(broker).is_none_or(|it| it != carrier && it != owed_by);
            let witnessed = counts.total_of(&carrier, &owed_by, neither);
            let lesser = if self.sides.metered.contains(&carrier) { said.min(seen) } else { seen };
            let near = lesser as f64 * (1.0 + self.terms.tolerance) + self.terms.slack as f64;
            if said.max(seen) as f64 > near && lesser != said.max(seen) {
                let (carrier, owed_by) = (carrier.clone(), owed_by.clone());
                self.disputes.push(Dispute { carrier, owed_by, said, seen });
            }
            let bytes = lesser.saturating_add(witnessed);
            let gross = self.gross.entry((carrier.clone(), owed_by.clone())).or_default();
            *gross = bytes.max(*gross);
            let fresh = Aged { at: now, weight: 0.0, known: 0 };
            let aged = self.aged.entry((carrier, owed_by)).or_insert(fresh);
            aged.weight =
                aged.weight * half(now - aged.at, self.terms.half_life) + (*gross - aged.known) as f64;
            (aged.at, aged.known) = (now, *gross);
        }
    }

    /// As of the last counts.
    pub fn disputes(&self) -> &[Dispute] {
        &self.disputes
    }

    /// All that `owed_by` ever owed `carrier`, settled or not.
    pub fn gross(&self, carrier: &str, owed_by: &str) -> u64 {
        self.gross.get(&(carrier.to_string(), owed_by.to_string())).copied().unwrap_or(0)
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
        let one = |d: &str, c: &str| i128::from(self.gross(c, d)) - i128::from(self.settled(d, c));
        one(debtor, creditor) - one(creditor, debtor)
    }

    /// Open debts with cycles cancelled, by debtor and creditor.
    pub fn net_debts(&self) -> Vec<NetDebt> {
        let pairs: BTreeSet<(&str, &str)> =
            self.gross.keys().map(|(c, o)| (o.as_str(), c.as_str())).collect();
        let both = pairs.iter().flat_map(|&(d, c)| [(d, c), (c, d)]);
        let open = both
            .filter_map(|(d, c)| Some(((d, c), u64::try_from(self.balance(d, c)).ok().filter(|b| *b > 0)?)));
        let mut open: BTreeMap<(&str, &str), u64> = open.collect();
        while let Some(cycle) = cycle(&open) {
            let least = cycle.iter().map(|edge| open[edge]).min().unwrap_or(0);
            for edge in cycle {
                let left = open[&edge] - least;
                match left {
                    0 => drop(open.remove(&edge)),
                    _ => drop(open.insert(edge, left)),
                }
            }
        }
        let debt =
            |((d, c), bytes): ((&str, &str), u64)| NetDebt { debtor: d.into(), creditor: c.into(), bytes };
        open.into_iter().map(debt).collect()
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
        let key = (debt.creditor.clone(), debt.debtor.clone());
        let young = self.aged.get(&key).map_or(1.0, |aged| {
            aged.weight * half(now - aged.at, self.terms.half_life) / (aged.known.max(1)) as f64
        });
        debt.bytes as f64 * young.clamp(MIN_WEIGHT_RATIO, 1.0)
    }
}

fn half(seconds: f64, half_life: f64) -> f64 {
    (-seconds.max(0.0) / half_life).exp2()
}

/// A cycle of debts, if there is one; the same for the same debts.
fn cycle<'a>(open: &BTreeMap<(&'a str, &'a str), u64>) -> Option<Vec<(&'a str, &'a str)>> {
    let mut done: BTreeSet<&str> = BTreeSet::new();
    let starts: BTreeSet<&str> = open.keys().map(|(debtor, _)| *debtor).collect();
    for start in starts {
        // Depth first: the path, and at each node the edges that are still to be followed.
        let edges =
            |from: &'a str| open.range((from, "")..).take_while(move |(k, _)| k.0 == from).map(|(k, _)| *k);
        let mut path = vec![(start, edges(start).collect::<Vec<_>>())];
        while let Some((at, left)) = path.last_mut() {
            let Some(edge) = left.pop() else {
                done.insert(at);
                path.pop();
                continue;
            };
            if let Some(from) = path.iter().position(|(node, _)| *node == edge.1) {
                let nodes: Vec<&str> = path[from..].iter().map(|(node, _)| *node).chain([edge.1]).collect();
                return Some(nodes.windows(2).map(|pair| (pair[0], pair[1])).collect());
            }
            if !done.contains(edge.1) {
                path.push((edge.1, edges(edge.1).collect()));
            }
        }
    }
    None
}
