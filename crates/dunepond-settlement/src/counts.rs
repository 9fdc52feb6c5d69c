//! What brokers saw of the traffic between partners: a state-based CRDT that only grows.

use std::collections::{BTreeMap, BTreeSet};

use crdts::{CmRDT, CvRDT, VClock};
use serde::{Deserialize, Serialize};

use crate::SettlementError;

/// Incarnations of one broker that are retained unfolded; more only come from starts without a folder.
const MAX_UNFOLDED_COUNT: usize = 16;
/// Cells (broker, incarnation, pair) in one message from a peer.
const MAX_CELL_COUNT: usize = 100_000;

/// Bytes by carrier and debtor. The library merges counters by their greater value.
type Carried = BTreeMap<String, VClock<String>>;

fn merge_carried(into: &mut Carried, other: &Carried) {
    for (carrier, bytes_by_debtor) in other {
        into.entry(carrier.clone()).or_default().merge(bytes_by_debtor.clone());
    }
}

/// Adds cell by cell; only for different incarnations, which count nothing twice.
fn add_carried(into: &mut Carried, other: &Carried) {
    for (carrier, bytes_by_debtor) in other {
        let into = into.entry(carrier.clone()).or_default();
        for cell in bytes_by_debtor.iter() {
            add_bytes(into, cell.actor, cell.counter);
        }
    }
}

fn add_bytes(bytes_by_debtor: &mut VClock<String>, debtor: &str, bytes: u64) {
    let sum = bytes_by_debtor.dots.get(debtor).copied().unwrap_or(0).saturating_add(bytes);
    bytes_by_debtor.apply(crdts::Dot::new(debtor.to_string(), sum));
}

fn has_higher_cell(carried: &Carried, than: &Carried) -> bool {
    carried.iter().any(|(carrier, bytes_by_debtor)| {
        let known = |debtor: &String| than.get(carrier).map_or(0, |clock| clock.get(debtor));
        bytes_by_debtor.iter().any(|cell| cell.counter > known(cell.actor))
    })
}

/// One broker's counts: incarnations before `through` folded into one sum, the others each by itself.
///
/// A join of rows is lexicographic: the greater `through` replaces the sum, and drops the incarnations below it. A chain of
/// semilattices is a semilattice, so late and duplicated rows change nothing. That the sum loses nothing is ensured by the
/// only writer that folds; see [`LocalCounts::open`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Row {
    /// The first incarnation that is not folded.
    through: u64,
    folded: Carried,
    /// Later counts, by the broker's incarnation.
    #[serde(rename = "live")]
    unfolded: BTreeMap<u64, Carried>,
}

impl Row {
    fn merge(&mut self, other: &Row) {
        if other.through > self.through {
            (self.through, self.folded) = (other.through, other.folded.clone());
        } else if other.through == self.through {
            merge_carried(&mut self.folded, &other.folded);
        }
        for (incarnation, carried) in &other.unfolded {
            merge_carried(self.unfolded.entry(*incarnation).or_default(), carried);
        }
        self.unfolded = self.unfolded.split_off(&self.through);
    }

    fn fold(&mut self, through: u64) {
        let unfolded = self.unfolded.split_off(&through);
        for carried in std::mem::replace(&mut self.unfolded, unfolded).values() {
            add_carried(&mut self.folded, carried);
        }
        self.through = self.through.max(through);
    }

    fn parts(&self) -> impl Iterator<Item = &Carried> {
        std::iter::once(&self.folded).chain(self.unfolded.values())
    }

    fn height(&self) -> Height {
        let clocks = self.parts().flat_map(|carried| carried.values());
        let cells = clocks.flat_map(|clock| clock.dots.values());
        Height {
            through: self.through,
            unfolded_count: self.unfolded.len(),
            total_bytes: cells.map(|bytes| u128::from(*bytes)).sum(),
        }
    }

    fn newest_incarnation(&self) -> Option<u64> {
        self.unfolded.keys().next_back().copied().max(self.through.checked_sub(1))
    }
}

/// Measure of how much a row knows. A merge can only raise it, and raises it whenever the row changes, so comparing heights
/// detects a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Height {
    through: u64,
    unfolded_count: usize,
    total_bytes: u128,
}

/// Bytes that each partner carried for each other, as each broker saw it. Merging is commutative, associative and
/// idempotent, so rows may come in any order, doubled and late.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CarriedCounts {
    rows: BTreeMap<String, Row>,
}

impl CarriedCounts {
    /// Counts without any traffic.
    pub fn new() -> CarriedCounts {
        CarriedCounts::default()
    }

    /// Counts `bytes` that `carrier` carried for a tenant of `debtor`, as `broker` saw in this incarnation of its own.
    pub fn record(&mut self, broker: &str, incarnation: u64, carrier: &str, debtor: &str, bytes: u64) {
        if carrier == debtor || bytes == 0 {
            return;
        }
        let row = self.rows.entry(broker.to_string()).or_default();
        if incarnation < row.through {
            return;
        }
        let carried = row.unfolded.entry(incarnation).or_default();
        add_bytes(carried.entry(carrier.to_string()).or_default(), debtor, bytes);
    }

    /// Merges counts of any origin.
    pub fn merge(&mut self, other: &CarriedCounts) {
        for (broker, row) in &other.rows {
            self.rows.entry(broker.clone()).or_default().merge(row);
        }
    }

    /// Merges what a peer sent. A row of one partner's broker is accepted from that partner, or from brokers of no partner,
    /// and never from another one: a creditor cannot write what its debtor saw. Returns how many rows were rejected.
    ///
    /// # Errors
    /// The message has too many cells; nothing was merged.
    pub fn merge_from(
        &mut self,
        from: &str,
        other: &CarriedCounts,
        partners: &BrokerPartners,
    ) -> Result<usize, SettlementError> {
        let cells = other.cell_count();
        if cells > MAX_CELL_COUNT {
            let (from, brokers) = (from.to_string(), other.rows.len());
            return Err(SettlementError::TooManyCells { from, brokers, cells, max: MAX_CELL_COUNT });
        }
        let mut rejected_count = 0;
        for (broker, row) in &other.rows {
            if partners.may_send(from, broker) {
                self.rows.entry(broker.clone()).or_default().merge(row);
            } else {
                rejected_count += 1;
            }
        }
        Ok(rejected_count)
    }

    pub(crate) fn heights(&self) -> impl Iterator<Item = (&str, Height)> {
        self.rows.iter().map(|(broker, row)| (broker.as_str(), row.height()))
    }

    pub(crate) fn rows_where(&self, is_included: impl Fn(&str) -> bool) -> CarriedCounts {
        let rows = self.rows.iter().filter(|(broker, _)| is_included(broker));
        CarriedCounts { rows: rows.map(|(broker, row)| (broker.clone(), row.clone())).collect() }
    }

    pub(crate) fn height(&self, broker: &str) -> Option<Height> {
        self.rows.get(broker).map(Row::height)
    }

    /// Bytes that all brokers saw.
    pub fn total(&self, carrier: &str, debtor: &str) -> u64 {
        self.total_of(carrier, debtor, |_| true)
    }

    /// Bytes that the selected brokers saw.
    pub fn total_of(&self, carrier: &str, debtor: &str, is_selected: impl Fn(&str) -> bool) -> u64 {
        let rows = self.rows.iter().filter(|(broker, _)| is_selected(broker));
        let clocks = rows.flat_map(|(_, row)| row.parts()).filter_map(|carried| carried.get(carrier));
        let bytes = clocks.map(|clock| clock.dots.get(debtor).copied().unwrap_or(0));
        bytes.fold(0, u64::saturating_add)
    }

    /// Each ordered pair (carrier, debtor) with a count.
    pub fn pairs(&self) -> Vec<(String, String)> {
        let mut pairs = BTreeSet::new();
        for (carrier, bytes_by_debtor) in self.rows.values().flat_map(Row::parts).flatten() {
            pairs.extend(bytes_by_debtor.iter().map(|cell| (carrier.clone(), cell.actor.clone())));
        }
        pairs.into_iter().collect()
    }

    /// Cells of broker, incarnation and pair: the size in memory.
    pub fn cell_count(&self) -> usize {
        let carried = self.rows.values().flat_map(Row::parts).flatten();
        carried.map(|(_, bytes_by_debtor)| bytes_by_debtor.dots.len()).sum()
    }
}

/// Which partner a broker belongs to. A broker of no partner serves tenants of all, and is a witness for both sides.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BrokerPartners {
    /// Name of the partner, by name of the broker.
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
            (Some(partner), Some(sender)) => partner == sender,
            _ => true,
        }
    }
}

/// One broker's own counts, as its folder holds them.
///
/// Invariant of the host: *they are stored before they are sent to a peer*. Then no peer ever knows more of a finished
/// incarnation than the folder does, and the fold at the next start loses nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocalCounts {
    broker: String,
    incarnation: u64,
    /// Since this incarnation the folder has had no gap.
    #[serde(rename = "first")]
    first_complete: u64,
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
            return Ok(LocalCounts { broker, incarnation, first_complete: incarnation, counts });
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
            let oldest = row.unfolded.keys().next();
            let is_complete = oldest.is_none_or(|oldest| *oldest >= local.first_complete);
            if is_complete || row.unfolded.len() > MAX_UNFOLDED_COUNT {
                row.fold(incarnation);
            }
        }
        Ok(local)
    }

    /// Counts traffic in this incarnation.
    pub fn record(&mut self, carrier: &str, debtor: &str, bytes: u64) {
        self.counts.record(&self.broker, self.incarnation, carrier, debtor, bytes);
    }

    /// Merges what a peer sent; see [`CarriedCounts::merge_from`]. Where peers know more of this very incarnation, the folder
    /// was an old copy: a new incarnation begins, so that no count hides below another.
    ///
    /// # Errors
    /// As there.
    pub fn merge_from_peer(
        &mut self,
        from: &str,
        other: &CarriedCounts,
        partners: &BrokerPartners,
    ) -> Result<usize, SettlementError> {
        let own_row = other.rows.get(&self.broker).filter(|_| partners.may_send(from, &self.broker));
        let newer = own_row.and_then(|row| self.newer_incarnation(row));
        let rejected_count = self.counts.merge_from(from, other, partners)?;
        if let Some(newer) = newer {
            self.incarnation = newer.saturating_add(1);
            self.first_complete = self.incarnation;
        }
        Ok(rejected_count)
    }

    /// The newest incarnation of a peer's row of this broker, if the peer knows more than this broker.
    fn newer_incarnation(&self, row: &Row) -> Option<u64> {
        let newest = row.newest_incarnation()?;
        let nothing = Carried::new();
        let known = self.counts.rows.get(&self.broker).and_then(|row| row.unfolded.get(&self.incarnation));
        let received = row.unfolded.get(&self.incarnation);
        let has_more = received.is_some_and(|received| has_higher_cell(received, known.unwrap_or(&nothing)));
        (has_more || newest > self.incarnation).then_some(newest)
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
