//! Traffic between partners as counted by brokers, in a grow-only state-based CRDT.

use std::collections::{BTreeMap, BTreeSet};

use crdts::{CmRDT, CvRDT, VClock};
use serde::{Deserialize, Serialize};

use crate::SettlementError;

/// Maximum number of finished incarnations (runs) of one broker whose counts are kept separately. At a start they are normally
/// folded into one sum; this is delayed only after starts without the stored counts.
const MAX_UNFOLDED_INCARNATIONS: usize = 16;
/// Maximum number of cells in one message from a peer; a cell is the count of one broker, incarnation, carrier and debtor.
const MAX_CELLS_PER_MESSAGE: usize = 100_000;

/// Bytes by carrier, then by debtor. `VClock` keeps the greater of two counters when it merges them.
type CarriedBytes = BTreeMap<String, VClock<String>>;

fn merge_carried(into: &mut CarriedBytes, other: &CarriedBytes) {
    for (carrier, bytes_by_debtor) in other {
        into.entry(carrier.clone()).or_default().merge(bytes_by_debtor.clone());
    }
}

/// Adds the counts of `other` cell by cell. Only valid for different incarnations, which never count the same bytes.
fn add_carried(into: &mut CarriedBytes, other: &CarriedBytes) {
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

/// Whether `carried` has more bytes than `than` for at least one pair of carrier and debtor. A missing pair counts as 0.
fn has_higher_cell(carried: &CarriedBytes, than: &CarriedBytes) -> bool {
    carried.iter().any(|(carrier, bytes_by_debtor)| {
        let known = |debtor: &String| than.get(carrier).map_or(0, |clock| clock.get(debtor));
        bytes_by_debtor.iter().any(|cell| cell.counter > known(cell.actor))
    })
}

/// One broker's counts. Incarnations before `first_unfolded` are folded into one sum, later ones are kept separately.
///
/// Merging is lexicographic: the row with the greater `first_unfolded` determines the sum, and separate counts of incarnations
/// before `first_unfolded` are dropped. Rows ordered in this way form a semilattice, so late and duplicated rows change
/// nothing. Only the broker itself folds its row, which ensures that the sum is complete; see [`LocalCounts::open`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Row {
    /// First incarnation that is not part of `folded`.
    #[serde(rename = "through")]
    first_unfolded: u64,
    /// Sum of all incarnations before `first_unfolded`.
    folded: CarriedBytes,
    /// Counts of the incarnations from `first_unfolded` on, by incarnation.
    #[serde(rename = "live")]
    unfolded: BTreeMap<u64, CarriedBytes>,
}

impl Row {
    fn merge(&mut self, other: &Row) {
        if other.first_unfolded > self.first_unfolded {
            (self.first_unfolded, self.folded) = (other.first_unfolded, other.folded.clone());
        } else if other.first_unfolded == self.first_unfolded {
            merge_carried(&mut self.folded, &other.folded);
        }
        for (incarnation, carried) in &other.unfolded {
            merge_carried(self.unfolded.entry(*incarnation).or_default(), carried);
        }
        self.unfolded = self.unfolded.split_off(&self.first_unfolded);
    }

    /// Adds all incarnations before `first_unfolded` to the folded sum.
    fn fold(&mut self, first_unfolded: u64) {
        let unfolded = self.unfolded.split_off(&first_unfolded);
        for carried in std::mem::replace(&mut self.unfolded, unfolded).values() {
            add_carried(&mut self.folded, carried);
        }
        self.first_unfolded = self.first_unfolded.max(first_unfolded);
    }

    /// The folded sum, then the counts of each unfolded incarnation.
    fn parts(&self) -> impl Iterator<Item = &CarriedBytes> {
        std::iter::once(&self.folded).chain(self.unfolded.values())
    }

    fn progress(&self) -> RowProgress {
        let clocks = self.parts().flat_map(|carried| carried.values());
        let cells = clocks.flat_map(|clock| clock.dots.values());
        RowProgress {
            first_unfolded: self.first_unfolded,
            unfolded_count: self.unfolded.len(),
            total_bytes: cells.map(|bytes| u128::from(*bytes)).sum(),
        }
    }

    /// The newest incarnation that the row contains; `None` if it contains none.
    fn newest_incarnation(&self) -> Option<u64> {
        self.unfolded.keys().next_back().copied().max(self.first_unfolded.checked_sub(1))
    }
}

/// Measure of the content of a broker's row. A merge that changes the row raises this measure and no merge lowers it, so
/// comparing two values of it detects a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RowProgress {
    first_unfolded: u64,
    unfolded_count: usize,
    total_bytes: u128,
}

/// Bytes that partners carried for each other, as counted by each broker. There is one row per broker. Merging is
/// commutative, associative and idempotent, so rows may arrive out of order, more than once and late.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CarriedCounts {
    rows: BTreeMap<String, Row>,
}

impl CarriedCounts {
    /// Creates counts without any traffic.
    pub fn new() -> CarriedCounts {
        CarriedCounts::default()
    }

    /// Adds `bytes` that `carrier` carried for a tenant of `debtor`, as seen by `broker` in this incarnation of the broker.
    ///
    /// Has no effect if `carrier` is `debtor`, `bytes` is 0 or the incarnation is already folded.
    pub fn record(&mut self, broker: &str, incarnation: u64, carrier: &str, debtor: &str, bytes: u64) {
        if carrier == debtor || bytes == 0 {
            return;
        }
        let row = self.rows.entry(broker.to_string()).or_default();
        if incarnation < row.first_unfolded {
            return;
        }
        let carried = row.unfolded.entry(incarnation).or_default();
        add_bytes(carried.entry(carrier.to_string()).or_default(), debtor, bytes);
    }

    /// Merges other counts without checking who sent them.
    pub fn merge(&mut self, other: &CarriedCounts) {
        for (broker, row) in &other.rows {
            self.rows.entry(broker.clone()).or_default().merge(row);
        }
    }

    /// Merges the counts that the peer `from` sent, and returns the number of rejected rows.
    ///
    /// A row of a partner's broker is accepted only from brokers of the same partner or of no partner, so a creditor cannot
    /// forge the counts of its debtor.
    ///
    /// # Errors
    /// Returns [`SettlementError::TooManyCells`] if the message has too many cells. Nothing is merged in that case.
    pub fn merge_from(
        &mut self,
        from: &str,
        other: &CarriedCounts,
        partners: &BrokerPartners,
    ) -> Result<usize, SettlementError> {
        let cells = other.cell_count();
        if cells > MAX_CELLS_PER_MESSAGE {
            let (from, brokers) = (from.to_string(), other.rows.len());
            return Err(SettlementError::TooManyCells { from, brokers, cells, max: MAX_CELLS_PER_MESSAGE });
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

    /// Each broker in the counts, with the progress of its row.
    pub(crate) fn row_progress_by_broker(&self) -> impl Iterator<Item = (&str, RowProgress)> {
        self.rows.iter().map(|(broker, row)| (broker.as_str(), row.progress()))
    }

    /// A copy with only the rows of the brokers for which `is_included` is true.
    pub(crate) fn rows_where(&self, is_included: impl Fn(&str) -> bool) -> CarriedCounts {
        let rows = self.rows.iter().filter(|(broker, _)| is_included(broker));
        CarriedCounts { rows: rows.map(|(broker, row)| (broker.clone(), row.clone())).collect() }
    }

    /// Progress of a broker's row; `None` if the counts have no row of this broker.
    pub(crate) fn row_progress(&self, broker: &str) -> Option<RowProgress> {
        self.rows.get(broker).map(Row::progress)
    }

    /// Returns the bytes that `carrier` carried for `debtor`, summed over all brokers.
    pub fn total(&self, carrier: &str, debtor: &str) -> u64 {
        self.total_of(carrier, debtor, |_| true)
    }

    /// Returns the bytes that `carrier` carried for `debtor`, summed over the brokers for which `is_selected` is true.
    pub fn total_of(&self, carrier: &str, debtor: &str, is_selected: impl Fn(&str) -> bool) -> u64 {
        let rows = self.rows.iter().filter(|(broker, _)| is_selected(broker));
        let clocks = rows.flat_map(|(_, row)| row.parts()).filter_map(|carried| carried.get(carrier));
        let bytes = clocks.map(|clock| clock.dots.get(debtor).copied().unwrap_or(0));
        bytes.fold(0, u64::saturating_add)
    }

    /// Returns all pairs (carrier, debtor) for which a broker has counted bytes, sorted.
    pub fn pairs(&self) -> Vec<(String, String)> {
        let mut pairs = BTreeSet::new();
        for (carrier, bytes_by_debtor) in self.rows.values().flat_map(Row::parts).flatten() {
            pairs.extend(bytes_by_debtor.iter().map(|cell| (carrier.clone(), cell.actor.clone())));
        }
        pairs.into_iter().collect()
    }

    /// Returns the number of cells, one for each broker, incarnation, carrier and debtor. This number determines the size of
    /// the counts in memory.
    pub fn cell_count(&self) -> usize {
        let carried = self.rows.values().flat_map(Row::parts).flatten();
        carried.map(|(_, bytes_by_debtor)| bytes_by_debtor.dots.len()).sum()
    }
}

/// Assignment of brokers to partners. A broker without a partner serves tenants of all partners, and its counts are trusted
/// by both sides of a debt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BrokerPartners {
    /// Names of partners, by name of their broker.
    pub partner_of: BTreeMap<String, String>,
    /// Partners whose brokers also count what the partner's own nodes carry. This is configured and not derived from the
    /// counts, because otherwise a debt would shrink when the carrier's first count arrives late.
    pub metered: BTreeSet<String>,
}

impl BrokerPartners {
    /// Returns the partner to which the broker belongs; `None` if it belongs to no partner.
    pub fn partner(&self, broker: &str) -> Option<&str> {
        self.partner_of.get(broker).map(String::as_str)
    }

    /// Whether the counts of `broker` are accepted from the peer `from`.
    fn may_send(&self, from: &str, broker: &str) -> bool {
        match (self.partner(broker), self.partner(from)) {
            (Some(partner), Some(sender)) => partner == sender,
            _ => true,
        }
    }
}

/// Counts as one broker stores them in its folder: its own row and the rows received from peers.
///
/// The caller must store the counts before it sends them to a peer. Then no peer knows more about a finished incarnation than
/// the stored counts do, and folding at the next start loses nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocalCounts {
    broker: String,
    incarnation: u64,
    /// The stored counts are complete for this incarnation of the broker and all later ones.
    #[serde(rename = "first")]
    first_complete: u64,
    counts: CarriedCounts,
}

impl LocalCounts {
    /// Opens the counts at the start of a broker. `saved` holds the stored counts; `None` starts with empty counts.
    ///
    /// Finished incarnations are folded into one sum, which only the broker itself does. If the broker lost its folder, it
    /// knows earlier incarnations only from peers, and those counts may be incomplete. Such incarnations and all later ones
    /// stay unfolded until there are more than 16 of them. They are then folded although they may be incomplete: counts that
    /// arrive later are ignored and lost, but none is counted twice.
    ///
    /// # Errors
    /// Returns [`SettlementError::OtherBroker`] if the stored counts belong to another broker, and
    /// [`SettlementError::StaleIncarnation`] if they are from this incarnation or a later one.
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
            if is_complete || row.unfolded.len() > MAX_UNFOLDED_INCARNATIONS {
                row.fold(incarnation);
            }
        }
        Ok(local)
    }

    /// Adds `bytes` that `carrier` carried for `debtor` to this broker's counts in its present incarnation.
    pub fn record(&mut self, carrier: &str, debtor: &str, bytes: u64) {
        self.counts.record(&self.broker, self.incarnation, carrier, debtor, bytes);
    }

    /// Merges the counts that the peer `from` sent, as [`CarriedCounts::merge_from`] does, and returns the number of rejected
    /// rows.
    ///
    /// If the peer knows more about this broker's present incarnation than the broker itself, the broker was started from an
    /// old copy of its folder. The broker then continues under a new incarnation, because a merge keeps only the greater count
    /// of a cell and would lose the new bytes.
    ///
    /// # Errors
    /// Returns the same errors as [`CarriedCounts::merge_from`].
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

    /// The newest incarnation in a peer's copy of this broker's row, if that copy has counts that this broker lacks.
    fn newer_incarnation(&self, row: &Row) -> Option<u64> {
        let newest = row.newest_incarnation()?;
        let no_bytes = CarriedBytes::new();
        let known = self.counts.rows.get(&self.broker).and_then(|row| row.unfolded.get(&self.incarnation));
        let received = row.unfolded.get(&self.incarnation);
        let has_more = received.is_some_and(|received| has_higher_cell(received, known.unwrap_or(&no_bytes)));
        (has_more || newest > self.incarnation).then_some(newest)
    }

    /// Returns the counts of all brokers, as far as this broker knows them.
    pub fn counts(&self) -> &CarriedCounts {
        &self.counts
    }

    /// Returns this broker's present incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}
