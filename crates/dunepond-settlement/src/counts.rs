//! What brokers saw: a state-based CRDT that only grows.

use std::collections::{BTreeMap, BTreeSet};

use crdts::{CmRDT, CvRDT, VClock};
use serde::{Deserialize, Serialize};

use crate::DebtError;

/// Unfolded incarnations of one broker that are kept; more only come from starts without a folder.
const MOST_LIVE: usize = 16;
/// Cells (broker, incarnation, pair) in one message from a peer.
const MOST_CELLS: usize = 100_000;

/// Carrier, then who owes it, then bytes. The join of counters by their greater value is the library's.
type Carried = BTreeMap<String, VClock<String>>;

fn join(into: &mut Carried, other: &Carried) {
    for (carrier, owed) in other {
        into.entry(carrier.clone()).or_default().merge(owed.clone());
    }
}

/// Adds cell by cell: for counts of different incarnations only, where nothing is counted in both.
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

/// Is there a cell that `other` knows higher?
fn behind(mine: &Carried, other: &Carried) -> bool {
    other.iter().any(|(carrier, owed)| {
        owed.iter().any(|dot| mine.get(carrier).map_or(0, |mine| mine.get(dot.actor)) < dot.counter)
    })
}

/// One broker's counts: those of the incarnations before `through` in one sum, the rest each for itself.
///
/// A join of rows is lexicographic: the greater `through` brings its sum with it, and what stands below it falls away. A
/// chain above a semilattice is a semilattice, so late and doubled rows change nothing, whatever they hold. That the sum
/// loses nothing is the work of the one hand that folds; see [`Tally::open`].
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

/// Of a row: the first incarnation not folded, incarnations, bytes. A join can only raise it, and raises it whenever the row
/// has changed, so that it stands for the row where only a change is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Height(u64, usize, u128);

/// Bytes that each partner carried for each other, as each broker saw it. Merging is commutative, associative and
/// idempotent, so rows may come in any order, doubled and late.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    rows: BTreeMap<String, Row>,
}

impl Counts {
    pub fn new() -> Counts {
        Counts::default()
    }

    /// `carrier` carried so many bytes for a customer of `owed_by`, as `broker` saw in its present incarnation.
    pub fn saw(&mut self, broker: &str, incarnation: u64, carrier: &str, owed_by: &str, bytes: u64) {
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

    pub fn merge(&mut self, other: &Counts) {
        for (broker, row) in &other.rows {
            self.rows.entry(broker.clone()).or_default().merge(row);
        }
    }

    /// Merges what a peer sent. A row of one partner's broker is taken from that side, or from brokers of no side, and
    /// never from another partner: nobody writes what its debtor saw. Says how many rows were left out.
    pub fn merge_from(&mut self, from: &str, other: &Counts, sides: &Sides) -> Result<usize, DebtError> {
        let cells = other.cells();
        if cells > MOST_CELLS {
            let (from, brokers) = (from.to_string(), other.rows.len());
            return Err(DebtError::TooMany { from, brokers, cells, most: MOST_CELLS });
        }
        let mut left_out = 0;
        for (broker, row) in &other.rows {
            match sides.may_tell(from, broker) {
                true => self.rows.entry(broker.clone()).or_default().merge(row),
                false => left_out += 1,
            }
        }
        Ok(left_out)
    }

    pub(crate) fn heights(&self) -> impl Iterator<Item = (&str, Height)> {
        self.rows.iter().map(|(broker, row)| (broker.as_str(), row.height()))
    }

    pub(crate) fn rows_where(&self, is_so: impl Fn(&str) -> bool) -> Counts {
        let rows = self.rows.iter().filter(|(broker, _)| is_so(broker));
        Counts { rows: rows.map(|(broker, row)| (broker.clone(), row.clone())).collect() }
    }

    pub(crate) fn height(&self, broker: &str) -> Option<Height> {
        self.rows.get(broker).map(Row::height)
    }

    /// Bytes over all brokers, whoever counted them.
    pub fn total(&self, carrier: &str, owed_by: &str) -> u64 {
        self.total_of(carrier, owed_by, |_| true)
    }

    /// Bytes that the brokers named saw.
    pub fn total_of(&self, carrier: &str, owed_by: &str, of: impl Fn(&str) -> bool) -> u64 {
        let rows = self.rows.iter().filter(|(broker, _)| of(broker));
        let cells = rows.flat_map(|(_, row)| row.parts()).filter_map(|carried| carried.get(carrier));
        cells.fold(0u64, |sum, owed| sum.saturating_add(owed.dots.get(owed_by).copied().unwrap_or(0)))
    }

    /// Each ordered pair (carrier, owed by) of which anything was seen.
    pub fn pairs(&self) -> Vec<(String, String)> {
        let carried = self.rows.values().flat_map(Row::parts).flatten();
        let pairs =
            carried.flat_map(|(carrier, owed)| owed.iter().map(|dot| (carrier.clone(), dot.actor.clone())));
        let mut pairs: Vec<_> = pairs.collect();
        pairs.sort();
        pairs.dedup();
        pairs
    }

    /// What it takes in memory: cells of broker, incarnation and pair.
    pub fn cells(&self) -> usize {
        let carried = self.rows.values().flat_map(Row::parts).flatten();
        carried.map(|(_, owed)| owed.dots.len()).sum()
    }
}

/// Which partner a broker belongs to; one that stands nowhere serves customers of all, and is a witness for both.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sides {
    pub partner_of: BTreeMap<String, String>,
    /// Partners whose brokers also count what their own nodes carry. Stated, and not guessed from what has come so far: a
    /// debt would fall when a first count came late.
    pub metered: BTreeSet<String>,
}

impl Sides {
    pub fn of(&self, broker: &str) -> Option<&str> {
        self.partner_of.get(broker).map(String::as_str)
    }

    /// May `from` tell what `broker` saw?
    fn may_tell(&self, from: &str, broker: &str) -> bool {
        match (self.of(broker), self.of(from)) {
            (Some(side), Some(teller)) => side == teller,
            _ => true,
        }
    }
}

/// One broker's hand on the counts, as it stands in its folder.
///
/// What the host has to keep: *a tally is saved before it is told to a peer*. Then nobody ever knows more of a finished
/// incarnation than its folder does, and the fold at the next start is whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    broker: String,
    incarnation: u64,
    /// The first incarnation since which the folder has been kept without a gap.
    first: u64,
    counts: Counts,
}

impl Tally {
    /// At a start, with what the folder had. Finished incarnations fold into one sum, which only the broker itself
    /// does, once, and only with those that its own folder saw from their beginning to their end. Those that it knows
    /// from others alone (its folder was lost) may not be whole yet: they stay as they are, and with them what follows,
    /// up to [`MOST_LIVE`]; beyond that they are folded as heard, and what was still on its way is lost, never doubled.
    pub fn open(saved: Option<Tally>, broker: &str, incarnation: u64) -> Result<Tally, DebtError> {
        let Some(mut tally) = saved else {
            let (broker, counts) = (broker.to_string(), Counts::new());
            return Ok(Tally { broker, incarnation, first: incarnation, counts });
        };
        if tally.broker != broker {
            return Err(DebtError::OtherBroker { kept: tally.broker, broker: broker.to_string() });
        }
        if tally.incarnation >= incarnation {
            let (broker, kept) = (tally.broker, tally.incarnation);
            return Err(DebtError::OldIncarnation { broker, incarnation, kept });
        }
        tally.incarnation = incarnation;
        if let Some(row) = tally.counts.rows.get_mut(broker) {
            let sure = row.live.keys().next().is_none_or(|oldest| *oldest >= tally.first);
            if sure || row.live.len() > MOST_LIVE {
                row.fold(incarnation);
            }
        }
        Ok(tally)
    }

    pub fn saw(&mut self, carrier: &str, owed_by: &str, bytes: u64) {
        self.counts.saw(&self.broker, self.incarnation, carrier, owed_by, bytes);
    }

    /// Merges what a peer told; see [`Counts::merge_from`]. Where others know more of this very incarnation than we do, the
    /// folder was an old one: we go on under a number that nobody has heard of, so that no count hides below another.
    pub fn heard(&mut self, from: &str, other: &Counts, sides: &Sides) -> Result<usize, DebtError> {
        let ours = other.rows.get(&self.broker).filter(|_| sides.may_tell(from, &self.broker));
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

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}
