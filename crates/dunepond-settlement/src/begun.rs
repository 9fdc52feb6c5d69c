//! Fills that a leader began: what the next leader has to know, so that bounds over a window hold across both.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Fill, Settlement};

/// Seconds, by the leaders' own words, for which a begun fill is remembered: twice the longest window that terms have as
/// they come, as two leaders' clocks may differ.
pub const KEPT: u64 = 7200;
/// Fills that are remembered at most; the oldest go first.
const MOST: usize = 16_384;

/// A [`Fill`] as it stands in the log, entered before it begins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Begun {
    pub id: String,
    pub segment: u64,
    pub holder: String,
    pub source: String,
    pub from: String,
    pub to: String,
    pub bytes: u64,
    /// Bytes a second.
    pub rate: u64,
    pub settles: Option<Settlement>,
    /// Unix seconds, as the leader says: how old it is when another reads it, and nothing else, rests on that.
    pub at: u64,
}

impl Begun {
    pub fn of(fill: &Fill, at: u64) -> Begun {
        let Fill { id, segment, holder, source, from, to, bytes, rate, settles } = fill.clone();
        Begun { id, segment, holder, source, from, to, bytes, rate: rate as u64, settles, at }
    }

    pub fn fill(&self) -> Fill {
        let Begun { id, segment, holder, source, from, to, bytes, rate, settles, .. } = self.clone();
        Fill { id, segment, holder, source, from, to, bytes, rate: rate as f64, settles }
    }
}

/// By fill and the partner whose source is taken: the same fill from another partner is carried by that one too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Log {
    fills: BTreeMap<String, BTreeMap<String, Begun>>,
    newest: u64,
    /// When it was looked through last, by `newest`.
    swept: u64,
    count: usize,
}

impl Log {
    pub fn has(&self, id: &str, from: &str) -> bool {
        self.fills.get(id).is_some_and(|of| of.contains_key(from))
    }

    pub fn iter(&self) -> impl Iterator<Item = &Begun> {
        self.fills.values().flat_map(BTreeMap::values)
    }

    /// Notes one, and forgets what is old by what leaders say, or too many; not each time, as it costs a look at all.
    pub fn note(&mut self, fill: Begun) {
        self.newest = self.newest.max(fill.at);
        self.fills.entry(fill.id.clone()).or_default().insert(fill.from.clone(), fill);
        self.count += 1;
        if self.count <= MOST && self.newest < self.swept + KEPT / 16 {
            return;
        }
        let (mut oldest, mut of_oldest) = (self.newest.saturating_sub(KEPT), 0);
        if self.count > MOST {
            let mut ages: Vec<u64> = self.iter().map(|fill| fill.at).collect();
            ages.sort_unstable();
            let half = ages.len() / 2;
            if ages[half] >= oldest {
                // So many of the very second of the middle one go, too.
                (oldest, of_oldest) = (ages[half], half - ages.partition_point(|at| *at < ages[half]));
            }
        }
        self.fills.retain(|_, of| {
            of.retain(|_, fill| {
                let spared = fill.at != oldest || of_oldest == 0;
                of_oldest -= usize::from(!spared);
                fill.at >= oldest && spared
            });
            !of.is_empty()
        });
        self.count = self.fills.values().map(BTreeMap::len).sum();
        self.swept = self.newest;
    }
}
