//! What partners owe each other: counts as far as both sides bear them out, less what is settled, cycles cancelled.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Agreed, Applied, Counts, DebtError, Ledger, Sides};

/// An old byte's weight in the order of service never falls below this part of a new one's.
const OLDEST_WEIGHT: f64 = 0.1;

/// Bounds that partners have agreed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// What carrier and debtor may differ by before it is named, as a share of the lesser, and in bytes beside that.
    pub tolerance: f64,
    pub slack: u64,
    /// Seconds after which a byte weighs half as much in the order of service. What is owed does not age.
    pub half_life: f64,
    /// Bytes by which one fill may move what two partners owe each other, and bytes a second over a window.
    pub most_move: u64,
    pub most_speed: f64,
    /// No fill is taken from a partner that would be owed more than this by it.
    pub most_debt: u64,
    /// Seconds; what is said "in any window" is meant of each stretch of this length.
    pub window: f64,
    /// Bytes that one partner carries in fills for others in any window.
    pub carry: u64,
    /// Bytes a second below which a fill is not begun, and above which one does not go.
    pub least_rate: f64,
    pub most_rate: f64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
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

impl Terms {
    pub fn check(&self) -> Result<(), DebtError> {
        let fault = |key, value, wanted| Err(DebtError::Terms { key, value, wanted });
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

/// What is open between two partners, in bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debt {
    pub debtor: String,
    pub creditor: String,
    pub bytes: u64,
}

/// The two sides of a pair differ by more than the terms allow. The lesser counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispute {
    pub carrier: String,
    pub owed_by: String,
    /// What the carrier's brokers say, and what the other side's saw.
    pub said: u64,
    pub seen: u64,
}

impl Dispute {
    /// Bytes that do not count.
    pub fn rest(&self) -> u64 {
        self.said.abs_diff(self.seen)
    }
}

/// What one pair's bytes weigh by age.
#[derive(Clone, Copy, Debug)]
struct Aged {
    at: f64,
    weight: f64,
    known: u64,
}

/// Counts and ledger together, as one broker sees them. Counts may lag behind what others have; they never run ahead.
#[derive(Clone, Debug)]
pub struct Book {
    terms: Terms,
    sides: Sides,
    ledger: Ledger,
    /// Carrier and who owes it: bytes that count.
    gross: BTreeMap<(String, String), u64>,
    aged: BTreeMap<(String, String), Aged>,
    disputes: Vec<Dispute>,
}

impl Book {
    pub fn new(terms: Terms, sides: Sides, ledger: Ledger) -> Result<Book, DebtError> {
        terms.check()?;
        let (gross, aged) = (BTreeMap::new(), BTreeMap::new());
        Ok(Book { terms, sides, ledger, gross, aged, disputes: Vec::new() })
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// In place of all that was applied: what another has that is further in the log.
    pub fn replace(&mut self, ledger: Ledger) {
        self.ledger = ledger;
    }

    /// For a planner that is one of several: what partners may carry and how fast debts may move, this part of it.
    pub fn part(&self, part: f64) -> Book {
        let mut book = self.clone();
        book.terms.carry = (book.terms.carry as f64 * part) as u64;
        book.terms.most_speed *= part;
        book
    }

    /// An entry of the agreed log, in its order.
    pub fn apply(&mut self, entry: &Agreed) -> Result<Applied, DebtError> {
        self.ledger.apply(entry)
    }

    /// See [`Ledger::close`].
    pub fn close(&mut self, before: u64) {
        self.ledger.close(before);
    }

    /// Takes the counts as they stand now.
    ///
    /// What the debtor's brokers saw counts, as it speaks against them, but where the carrier counts too, only the lesser of
    /// both: whoever claims ten times what it carried gets what the other side saw. Brokers of neither side count in full:
    /// each scan passes one broker. All of these only grow, so what counts only grows.
    pub fn counted(&mut self, now: f64, counts: &Counts) {
        self.disputes.clear();
        for (carrier, owed_by) in counts.pairs() {
            let by = |partner: &str| {
                counts.total_of(&carrier, &owed_by, |broker| self.sides.of(broker) == Some(partner))
            };
            let (said, seen) = (by(&carrier), by(&owed_by));
            let neither =
                |broker: &str| self.sides.of(broker).is_none_or(|it| it != carrier && it != owed_by);
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

    pub fn disputes(&self) -> &[Dispute] {
        &self.disputes
    }

    /// All that `owed_by` ever owed `carrier`, settled or not.
    pub fn gross(&self, carrier: &str, owed_by: &str) -> u64 {
        self.gross.get(&(carrier.to_string(), owed_by.to_string())).copied().unwrap_or(0)
    }

    /// Settled, as far as the debt goes; a settlement whose debt has not been heard of yet counts as that comes.
    pub fn settled(&self, debtor: &str, creditor: &str) -> u64 {
        self.ledger.settled(debtor, creditor).min(self.gross(creditor, debtor))
    }

    /// Settled past what has been seen: counts that are still on their way, or a debt that was never split.
    pub fn past(&self, debtor: &str, creditor: &str) -> u64 {
        self.ledger.settled(debtor, creditor) - self.settled(debtor, creditor)
    }

    /// What `debtor` owes `creditor` between the two of them; below 0 if it is owed. A settlement is a byte carried the other way.
    pub fn balance(&self, debtor: &str, creditor: &str) -> i128 {
        let one = |d: &str, c: &str| i128::from(self.gross(c, d)) - i128::from(self.settled(d, c));
        one(debtor, creditor) - one(creditor, debtor)
    }

    /// Open debts with cycles cancelled, by debtor and creditor.
    pub fn net(&self) -> Vec<Debt> {
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
            |((d, c), bytes): ((&str, &str), u64)| Debt { debtor: d.into(), creditor: c.into(), bytes };
        open.into_iter().map(debt).collect()
    }

    /// One of the net debts.
    pub fn open(&self, debtor: &str, creditor: &str) -> u64 {
        let net = self.net();
        net.iter()
            .find(|debt| debt.debtor == debtor && debt.creditor == creditor)
            .map_or(0, |debt| debt.bytes)
    }

    /// How much a debt counts in the order of service, of its bytes: its recent part wholly, the rest by age.
    pub fn weight(&self, debt: &Debt, now: f64) -> f64 {
        let key = (debt.creditor.clone(), debt.debtor.clone());
        let young = self.aged.get(&key).map_or(1.0, |aged| {
            aged.weight * half(now - aged.at, self.terms.half_life) / (aged.known.max(1)) as f64
        });
        debt.bytes as f64 * young.clamp(OLDEST_WEIGHT, 1.0)
    }
}

fn half(seconds: f64, half_life: f64) -> f64 {
    (-seconds.max(0.0) / half_life).exp2()
}

/// Some cycle of open debts; the same one for the same debts.
fn cycle<'a>(open: &BTreeMap<(&'a str, &'a str), u64>) -> Option<Vec<(&'a str, &'a str)>> {
    let mut done: BTreeSet<&str> = BTreeSet::new();
    let starts: BTreeSet<&str> = open.keys().map(|(debtor, _)| *debtor).collect();
    for start in starts {
        // Depth first: the path, and at each place the edges that are still to be followed.
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
