//! Fills that leaders started recently. The next leader needs them so that the limits on carried bytes and on the change of
//! debts per window hold across leader changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Fill, Settlement};

/// Seconds for which a started fill is kept, by the leaders' clocks: twice the default window of [`crate::SettlementTerms`],
/// because the clocks may differ.
const RETENTION_SECONDS: u64 = 7200;
/// Number of times that old fills are dropped per retention period.
const SWEEPS_PER_RETENTION: u64 = 16;
/// Maximum number of fills that are kept. If there are more, the older half is dropped.
const MAX_FILL_COUNT: usize = 16_384;

/// A [`Fill`] as recorded in the consensus log. It is recorded before the fill starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartedFill {
    /// Id of the fill, as [`Fill::id`].
    pub id: String,
    /// Id of the segment that is copied.
    pub segment: u64,
    /// Name of the node that is filled. The field keeps this name because it appears in log lines.
    pub holder: String,
    /// Name of the node that the segment is copied from.
    pub source: String,
    /// Partner to which the source belongs.
    pub from: String,
    /// Partner to which the filled node belongs.
    pub to: String,
    /// Size of the segment in bytes.
    pub bytes: u64,
    /// Rate of the copy in bytes per second.
    pub rate: u64,
    /// Settlement of the debt that the fill pays off, if any.
    pub settles: Option<Settlement>,
    /// Start of the fill in Unix seconds by the leader's clock. It is used only to compute the age of the entry.
    pub at: u64,
}

impl StartedFill {
    /// Creates the log entry of a fill that starts at `at`, in Unix seconds. The rate is rounded down to whole bytes per
    /// second.
    pub fn new(fill: &Fill, at: u64) -> StartedFill {
        let Fill { id, segment, node, source, from, to, bytes, rate, settles } = fill.clone();
        StartedFill { id, segment, holder: node, source, from, to, bytes, rate: rate as u64, settles, at }
    }

    /// Converts the log entry back to the fill.
    pub fn fill(&self) -> Fill {
        let StartedFill { id, segment, holder: node, source, from, to, bytes, rate, settles, .. } =
            self.clone();
        Fill { id, segment, node, source, from, to, bytes, rate: rate as f64, settles }
    }
}

/// Recently started fills by id and by partner of the source. A fill that was started from sources of two partners is contained
/// once for each of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StartedFills {
    fills: BTreeMap<String, BTreeMap<String, StartedFill>>,
    /// Latest start of any fill, in Unix seconds.
    newest: u64,
    /// Value of `newest` when old fills were last dropped.
    swept: u64,
    /// Number of fills.
    count: usize,
}

impl StartedFills {
    /// Whether the fill was started from a source of the partner `from`.
    pub fn contains(&self, id: &str, from: &str) -> bool {
        self.fills.get(id).is_some_and(|by_partner| by_partner.contains_key(from))
    }

    pub fn iter(&self) -> impl Iterator<Item = &StartedFill> {
        self.fills.values().flat_map(BTreeMap::values)
    }

    /// Adds a fill. Drops old and excess fills from time to time, not on each call, because that scans all fills.
    pub fn add(&mut self, fill: StartedFill) {
        self.newest = self.newest.max(fill.at);
        self.fills.entry(fill.id.clone()).or_default().insert(fill.from.clone(), fill);
        self.count += 1;
        let sweep_interval_seconds = RETENTION_SECONDS / SWEEPS_PER_RETENTION;
        if self.count > MAX_FILL_COUNT || self.newest >= self.swept + sweep_interval_seconds {
            self.sweep();
        }
    }

    /// Drops old and excess fills.
    fn sweep(&mut self) {
        let mut to_drop = self.fills_to_drop();
        self.fills.retain(|_, by_partner| {
            by_partner.retain(|_, fill| !to_drop.drops(fill));
            !by_partner.is_empty()
        });
        self.count = self.fills.values().map(BTreeMap::len).sum();
        self.swept = self.newest;
    }

    /// Selects the fills past the retention period, or the older half of all fills if there are too many.
    fn fills_to_drop(&self) -> FillsToDrop {
        let oldest_retained = self.newest.saturating_sub(RETENTION_SECONDS);
        if self.count <= MAX_FILL_COUNT {
            return FillsToDrop { before: oldest_retained, count_at: 0 };
        }
        let mut starts: Vec<u64> = self.iter().map(|fill| fill.at).collect();
        starts.sort_unstable();
        let half = starts.len() / 2;
        let median = starts[half];
        if median < oldest_retained {
            return FillsToDrop { before: oldest_retained, count_at: 0 };
        }
        // Many fills may have started in the median second. Only as many of them are dropped as are needed to keep half of
        // all fills.
        FillsToDrop { before: median, count_at: half - starts.partition_point(|at| *at < median) }
    }
}

/// Selection of the fills to drop.
struct FillsToDrop {
    /// Start in Unix seconds before which all fills are dropped.
    before: u64,
    /// Number of fills still to be dropped that started in the second `before`.
    count_at: usize,
}

impl FillsToDrop {
    /// Whether to drop this fill. Reduces `count_at` by one for each dropped fill that started in the second `before`.
    fn drops(&mut self, fill: &StartedFill) -> bool {
        if fill.at == self.before && self.count_at > 0 {
            self.count_at -= 1;
            return true;
        }
        fill.at < self.before
    }
}
