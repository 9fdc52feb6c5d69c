//! Fills that a leader started: what the next leader has to know, so that limits over a window hold across both.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Fill, Settlement};

/// How long a fill is retained, by the leaders' clocks: twice the default window, as two leaders' clocks may differ.
const RETENTION_SECONDS: u64 = 7200;
/// How often old fills are dropped within one retention.
const SWEEPS_PER_RETENTION: u64 = 16;
/// Upper limit of retained fills; the oldest are dropped first.
const MAX_FILL_COUNT: usize = 16_384;

/// A [`Fill`] in the form that the log has it in. It is entered before the fill starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartedFill {
    /// Id of the fill.
    pub id: String,
    /// Id of the segment.
    pub segment: u64,
    /// Node that is filled. The name shows in log lines.
    pub holder: String,
    /// Node that it is filled from.
    pub source: String,
    /// Partner of the source.
    pub from: String,
    /// Partner of the filled node.
    pub to: String,
    /// Size of the fill.
    pub bytes: u64,
    /// Rate in bytes a second.
    pub rate: u64,
    /// Debt that the fill pays off, if any.
    pub settles: Option<Settlement>,
    /// Unix seconds by the leader's clock; only the age of the entry is judged by it.
    pub at: u64,
}

impl StartedFill {
    /// The log's form of a fill that starts at `at`, in Unix seconds.
    pub fn new(fill: &Fill, at: u64) -> StartedFill {
        let Fill { id, segment, node, source, from, to, bytes, rate, settles } = fill.clone();
        StartedFill { id, segment, holder: node, source, from, to, bytes, rate: rate as u64, settles, at }
    }

    /// The fill.
    pub fn fill(&self) -> Fill {
        let StartedFill { id, segment, holder: node, source, from, to, bytes, rate, settles, .. } =
            self.clone();
        Fill { id, segment, node, source, from, to, bytes, rate: rate as f64, settles }
    }
}

/// By fill and partner of the source: the same fill from another partner is carried by that one, too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StartedFills {
    fills: BTreeMap<String, BTreeMap<String, StartedFill>>,
    newest: u64,
    /// When old fills were dropped last, by `newest`.
    swept: u64,
    count: usize,
}

impl StartedFills {
    pub fn has(&self, id: &str, from: &str) -> bool {
        self.fills.get(id).is_some_and(|by_partner| by_partner.contains_key(from))
    }

    pub fn iter(&self) -> impl Iterator<Item = &StartedFill> {
        self.fills.values().flat_map(BTreeMap::values)
    }

    /// Adds one, and drops what is old or too many; not each time, as that costs a scan of all.
    pub fn add(&mut self, fill: StartedFill) {
        self.newest = self.newest.max(fill.at);
        self.fills.entry(fill.id.clone()).or_default().insert(fill.from.clone(), fill);
        self.count += 1;
        let sweep_interval_seconds = RETENTION_SECONDS / SWEEPS_PER_RETENTION;
        if self.count > MAX_FILL_COUNT || self.newest >= self.swept + sweep_interval_seconds {
            self.sweep();
        }
    }

    fn sweep(&mut self) {
        let mut excess = self.excess();
        self.fills.retain(|_, by_partner| {
            by_partner.retain(|_, fill| !excess.takes(fill));
            !by_partner.is_empty()
        });
        self.count = self.fills.values().map(BTreeMap::len).sum();
        self.swept = self.newest;
    }

    /// Fills past the retention; and the older half, if there are too many.
    fn excess(&self) -> Excess {
        let oldest_retained = self.newest.saturating_sub(RETENTION_SECONDS);
        if self.count <= MAX_FILL_COUNT {
            return Excess { before: oldest_retained, count_at: 0 };
        }
        let mut starts: Vec<u64> = self.iter().map(|fill| fill.at).collect();
        starts.sort_unstable();
        let half = starts.len() / 2;
        let median = starts[half];
        if median < oldest_retained {
            return Excess { before: oldest_retained, count_at: 0 };
        }
        // Many fills may have started in the median second: of these only enough are dropped to leave half of all.
        Excess { before: median, count_at: half - starts.partition_point(|at| *at < median) }
    }
}

/// Fills to drop.
struct Excess {
    /// All fills that started before this, in Unix seconds.
    before: u64,
    /// How many of the fills that started in just that second.
    count_at: usize,
}

impl Excess {
    fn takes(&mut self, fill: &StartedFill) -> bool {
        if fill.at == self.before && self.count_at > 0 {
            self.count_at -= 1;
            return true;
        }
        fill.at < self.before
    }
}
