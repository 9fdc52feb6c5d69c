//! What brokers saw of the traffic between partners: a state-based CRDT that only grows.

use std::collections::{BTreeMap, BTreeSet};

use crdts::{CmRDT, CvRDT, VClock};
use serde::{Deserialize, Serialize};

use crate::SettlementError;

/// Incarnations of one broker that are retained unfolded; more only come from starts without a folder.
const MAX_LIVE_COUNT: usize = 16;
/// Cells (broker, incarnation, pair) in one message from a peer.
const MAX_CELL_COUNT: usize = 100_000;

/// Carrier, then who owes it, then bytes. The library joins counters by their greater value.
type Carried = BTreeMap<String, VClock<String>>;

fn join(into: &mut Carried, other: &Carried) {
    for (carrier, owed) in other {
        into.entry(carrier.clone()).or_default().merge(owed.clone());
    }
}

/// Adds cell by cell; only for different incarnations, which count nothing twice.
fn add(into: &mut Carried, other: &Carried) {
    for (carrier, owed) in other {
        let into = into.entry(carrier.clone()).or_default();
        for dot in owed.iter() {
            raise(into, dot.actor, dot.counter);
        }
    }
}

fn raise(owed: &mut VClock<String>, owed_by: &str, bytes: u64) {
    let sum = owed.dots.get(owed_by).copied().unwrap_or(0).saturating_add(bytes);
    owed.apply(crdts::Dot::new(owed_by.to_string(), sum));
}

/// Whether `other` has a cell that is higher.
fn behind(mine: &Carried, other: &Carried) -> bool {
    other.iter().any(|(carrier, owed)| {
        owed.iter().any(|dot| mine.get(carrier).map_or(0, |mine| mine.get(dot.actor)) < dot.counter)
    })
}

/// One broker's counts: incarnations before `through` folded into one sum, the others each by itself.
///
/// A join of rows is lexicographic: the greater `through` replaces the sum, and drops the incarnations below it. A chain of
/// semilattices is a semilattice, so late and duplicated rows change nothing. That the sum loses nothing is ensured by the
/// only writer that folds; see [`LocalCounts::open`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Row {
    through: u64,
    folded: Carried,
    live: BTreeMap<u64, Carried>,
}

impl Row {
    fn merge(&mut self, other: &Row) {
        if other.through > self.through {
            (self.through, self.folded) = (other.through, other.folded.clone());
        } else if other.through == self.through {
            join(&mut self.folded, &other.folded);
        }
        for (incarnation, carried) in &other.live {
            join(self.live.entry(*incarnation).or_default(), carried);
        }
        self.live = self.live.split_off(&self.through);
    }

    fn fold(&mut self, through: u64) {
        let live = self.live.split_off(&through);
        for carried in std::mem::replace(&mut self.live, live).values() {
            add(&mut self.folded, carried);
        }
        self.through = self.through.max(through);
    }

    fn parts(&self) -> impl Iterator<Item = &Carried> {
        std::iter::once(&self.folded).chain(self.live.values())
    }

    fn height(&self) -> Height {
        let cells = self.parts().flat_map(|carried| carried.values()).flat_map(|owed| owed.dots.values());
        Height(self.through, self.live.len(), cells.map(|bytes| u128::from(*bytes)).sum())
    }

    fn newest(&self) -> Option<u64> {
        self.live.keys().next_back().copied().max(self.through.checked_sub(1))
    }
}

/// Of a row: first unfolded incarnation, number of incarnations, bytes. A join can only raise it, and raises it whenever
/// the row changes, so comparing heights detects a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Height(u64, usize, u128);

/// Bytes that each partner carried for each other, as each broker saw it. Merging is commutative, associative and
/// idempotent, so rows may come in any order, doubled and late.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CarriedCounts {
    rows: BTreeMap<String, Row>,
}

impl CarriedCounts {
    /// Of nothing.
    pub fn new() -> CarriedCounts {
        CarriedCounts::default()
    }

    /// `carrier` carried so many bytes for a tenant of `owed_by`, as `broker` saw in its present incarnation.
    pub fn record(&mut self, broker: &str, incarnation: u64, carrier: &str, owed_by: &str, bytes: u64) {
        if carrier == owed_by || bytes == 0 {
            return;
        }
        let row = self.rows.entry(broker.to_string()).or_default();
        if incarnation < row.through {
            return;
        }
        let carried = row.live.entry(incarnation).or_default();
        raise(carried.entry(carrier.to_string()).or_default(), owed_by, bytes);
    }

    /// Joins counts of any origin.
    pub fn merge(&mut self, other: &CarriedCounts) {
        for (broker, row) in &other.rows {
            self.rows.entry(broker.clone()).or_default().merge(row);
        }
    }

    /// Joins what a peer sent. A row of one partner's broker is accepted from that partner, or from brokers of no partner,
    /// and never from another one: nobody writes what its debtor saw. Returns how many rows were rejected.
    ///
    /// # Errors
    /// The message has too many cells; nothing was joined.
    pub fn merge_from(
        &mut self,
        from: &str,
        other: &CarriedCounts,
        sides: &BrokerPartners,
    ) -> Result<usize, SettlementError> {
        let cells = other.cell_count();
        if cells > MAX_CELL_COUNT {
            let (from, brokers) = (from.to_string(), other.rows.len());
            return Err(SettlementError::TooManyCells { from, brokers, cells, max: MAX_CELL_COUNT });
        }
        let mut left_out = 0;
        for (broker, row) in &other.rows {
            match sides.may_send(from, broker) {
                true => self.rows.entry(broker.clone()).or_default().merge(row),
                false => left_out += 1,
            }
        }
        Ok(left_out)
    }

    pub(crate) fn heights(&self) -> impl Iterator<Item = (&str, Height)> {
        self.rows.iter().map(|(broker, row)| (broker.as_str(), row.height()))
    }

    pub(crate) fn rows_where(&self, is_so: impl Fn(&str) -> bool) -> CarriedCounts {
        let rows = self.rows.iter().filter(|(broker, _)| is_so(broker));
        CarriedCounts { rows: rows.map(|(broker, row)| (broker.clone(), row.clone())).collect() }
    }

    pub(crate) fn height(&self, broker: &str) -> Option<Height> {
        self.rows.get(broker).map(Row::height)
    }

    /// Bytes over all brokers, whoever counted them.
    pub fn total(&self, carrier: &str, owed_by: &str) -> u64 {
        self.total_of(carrier, owed_by, |_| true)
    }

    /// Bytes that the selected brokers saw.
    pub fn total_of(&self, carrier: &str, owed_by: &str, of: impl Fn(&str) -> bool) -> u64 {
        let rows = self.rows.iter().filter(|(broker, _)| of(broker));
        let cells = rows.flat_map(|(_, row)| row.parts()).filter_map(|carried| carried.get(carrier));
        cells.fold(0u64, |sum, owed| sum.saturating_add(owed.dots.get(owed_by).copied().unwrap_or(0)))
    }

    /// Each ordered pair (carrier, owed by) with a count.
    pub fn pairs(&self) -> Vec<(String, String)> {
        let carried = self.rows.values().flat_map(Row::parts).flatten();
        let pairs =
            carried.flat_map(|(carrier, owed)| owed.iter().map(|dot| (carrier.clone(), dot.actor.clone())));
        let mut pairs: Vec<_> = pairs.collect();
        pairs.sort();
        pairs.dedup();
        pairs
    }

    /// Cells of broker, incarnation and pair: the size in memory.
    pub fn cell_count(&self) -> usize {
        let carried = self.rows.values().flat_map(Row::parts).flatten();
        carried.map(|(_, owed)| owed.dots.len()).sum()
    }
}

/// Which partner a broker belongs to. A broker of no partner serves tenants of all, and is a witness for both sides.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BrokerPartners {
    /// By broker.
    pub partner_of: BTreeMap<String, String>,
    /// Partners whose brokers also count what their own nodes carry. Configured, and not derived from the counts so far: a
    /// debt would shrink when a first count came late.
    pub metered: BTreeSet<String>,
}

impl BrokerPartners {
    /// Partner of the broker.
    pub fn partner(&self, broker: &str) -> Option<&str> {
        self.partner_of.get(broker).map(String::as_str)
    }

    /// Whether `from` may send what `broker` saw.
    fn may_send(&self, from: &str, broker: &str) -> bool {
        match (self.partner(broker), self.partner(from)) {
            (Some(side), Some(teller)) => side == teller,
            _ => true,
        }
    }
}

/// One broker's own counts, as its folder holds them.
///
/// Invariant of the host: *they are stored before they are sent to a peer*. Then nobody ever knows more of a finished
/// incarnation than the folder does, and the fold at the next start loses nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocalCounts {
    broker: String,
    incarnation: u64,
    /// Since this incarnation the folder has had no gap.
    first: u64,
    counts: CarriedCounts,
}

impl LocalCounts {
    /// At a start, with what the folder had. Finished incarnations are folded into one sum: only by the broker itself, once,
    /// and only those that its own folder saw from beginning to end. Incarnations that it knows from peers alone (its folder
    /// was lost) may be incomplete: they stay unfolded, and with them the later ones, up to a limit. Beyond that
    /// they are folded as known; what was still in flight is lost, never counted twice.
    ///
    /// # Errors
    /// The folder is another broker's, or newer than this start.
    pub fn open(
        saved: Option<LocalCounts>,
        broker: &str,
        incarnation: u64,
    ) -> Result<LocalCounts, SettlementError> {
        let Some(mut local) = saved else {
            let (broker, counts) = (broker.to_string(), CarriedCounts::new());
            return Ok(LocalCounts { broker, incarnation, first: incarnation, counts });
        };
        if local.broker != broker {
            return Err(SettlementError::OtherBroker { stored: local.broker, broker: broker.to_string() });
        }
        if local.incarnation >= incarnation {
            let (broker, stored) = (local.broker, local.incarnation);
            return Err(SettlementError::StaleIncarnation { broker, incarnation, stored });
        }
        local.incarnation = incarnation;
        if let Some(row) = local.counts.rows.get_mut(broker) {
            let sure = row.live.keys().next().is_none_or(|oldest| *oldest >= local.first);
            if sure || row.live.len() > MAX_LIVE_COUNT {
                row.fold(incarnation);
            }
        }
        Ok(local)
    }

    /// Counts traffic in this incarnation.
    pub fn record(&mut self, carrier: &str, owed_by: &str, bytes: u64) {
        self.counts.record(&self.broker, self.incarnation, carrier, owed_by, bytes);
    }

    /// Joins what a peer sent; see [`CarriedCounts::merge_from`]. Where peers know more of this very incarnation, the folder
    /// was an old copy: a new incarnation begins, so that no count hides below another.
    ///
    /// # Errors
    /// As there.
    pub fn merge_from_peer(
        &mut self,
        from: &str,
        other: &CarriedCounts,
        sides: &BrokerPartners,
    ) -> Result<usize, SettlementError> {
        let ours = other.rows.get(&self.broker).filter(|_| sides.may_send(from, &self.broker));
        let newest = ours.and_then(|theirs| {
            let newest = theirs.newest()?;
            let none = Carried::new();
            let mine = self.counts.rows.get(&self.broker).and_then(|row| row.live.get(&self.incarnation));
            let more = theirs.live.get(&self.incarnation).is_some_and(|it| behind(mine.unwrap_or(&none), it));
            (more || newest > self.incarnation).then_some(newest)
        });
        let left_out = self.counts.merge_from(from, other, sides)?;
        if let Some(newest) = newest {
            self.incarnation = newest.saturating_add(1);
            self.first = self.incarnation;
        }
        Ok(left_out)
    }

    /// Of all brokers, as far as known.
    pub fn counts(&self) -> &CarriedCounts {
        &self.counts
    }

    /// The present incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}
