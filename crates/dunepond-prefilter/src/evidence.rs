//! Evidence for pruning: which nodes denied that a query text matches in a segment. The table is bounded, and answers
//! about earlier versions than the latest are ignored.
//!
//! An answer is about one version of a segment, and only the replicas know which version is the latest. A replica that
//! lags behind may deny a match that a later version has. Together with a correct denial from before that version, this
//! would look like two replicas that agree. So a query uses only denials that are recent enough. The age of an answer
//! is counted from when its request was sent: an answer that was in flight when a query arrived may have been decided
//! before the query arrived.

use std::collections::VecDeque;

use imbl::HashMap;

use crate::model::{CanMatch, NodeId, QueryKey, SegmentIndex, Version};

#[cfg(test)]
mod tests;

/// Why a segment may be pruned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PruningBasis {
    /// Two replicas deny that the segment has a match in the same version.
    TwoReplicas(NodeId, NodeId),
    /// One replica denies that the segment has a match, in a version in which this process's own search found nothing.
    OwnSearch(NodeId),
}

/// When a request was sent or a search began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentAt {
    /// Sequence number of the request among all requests, from 1; 0 if this is the beginning of a search.
    pub sequence: u64,
    /// Time at which the request was sent or the search began, in seconds.
    pub time: f64,
}

/// Tells which requests and searches are recent enough for a query to use their results: those with a higher sequence
/// number than `sequence`, and those sent after `time`. The sequence number distinguishes requests that were sent
/// within one reading of the clock.
#[derive(Clone, Copy, Debug)]
pub struct CountsSince {
    /// Sequence number of the last request that was sent before the query arrived. The query may use the answers to all later
    /// requests.
    pub sequence: u64,
    /// Time in seconds. The query may use the results of all requests and searches that began later, whatever their sequence
    /// number.
    pub time: f64,
}

impl CountsSince {
    /// Whether the query may use the result of a request that was sent, or a search that began, at `sent`.
    pub fn includes(&self, sent: SentAt) -> bool {
        sent.sequence > self.sequence || sent.time > self.time
    }
}

/// A node's answer that a segment has no match, and when the node was asked.
#[derive(Clone, Copy, Debug)]
struct Denial {
    node: NodeId,
    sent: SentAt,
}

impl Denial {
    /// Sort key of a place in [`Entry::denials`], by the time at which the node was asked. An empty place sorts before
    /// all denials.
    fn order(denial: &Option<Denial>) -> (f64, u64) {
        denial.map_or((f64::MIN, 0), |denial| (denial.sent.time, denial.sent.sequence))
    }
}

/// Evidence on one query text in one segment, for one version of the segment.
#[derive(Clone, Debug, Default)]
struct Entry {
    version: Version,
    /// The latest denials, each by a different node. At most two are kept, as two are enough for pruning.
    denials: [Option<Denial>; 2],
    /// When this process last began to search this version of the segment for the text; `None` if it did not, or if
    /// that search found a match.
    own_search: Option<SentAt>,
}

/// Table of evidence by query text and segment. A clone shares the memory of the maps with the original until one of
/// them is changed.
#[derive(Clone)]
pub struct Evidence {
    entries: HashMap<(QueryKey, SegmentIndex), Entry>,
    /// Keys of `entries` in the order of insertion.
    order: VecDeque<(QueryKey, SegmentIndex)>,
    max_entries: usize,
    /// The latest version of each segment that any replica has stated; entries of earlier versions are not used.
    versions: HashMap<SegmentIndex, Version>,
}

impl Evidence {
    /// Creates an empty table of at most `max_entries` pairs of a text and a segment.
    pub fn new(max_entries: usize) -> Self {
        Self {
            entries: HashMap::new(),
            order: VecDeque::new(),
            max_entries: max_entries.max(1),
            versions: HashMap::new(),
        }
    }

    /// Sets the maximum number of entries. Excess entries are dropped, oldest first, when the next new entry is added.
    pub fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries.max(1);
    }

    /// Records the version that a replica stated for a segment. Returns whether no later version is known; otherwise
    /// the replica lags behind.
    fn advance_version(&mut self, segment: SegmentIndex, version: Version) -> bool {
        let latest = self.versions.get(&segment).copied();
        if latest.is_none_or(|latest| version > latest) {
            self.versions.insert(segment, version);
        }
        latest.is_none_or(|latest| version >= latest)
    }

    /// Returns the entry of a text and a segment in `version`. An entry of another version is reset. A missing entry is
    /// added; if the table is full, the oldest entry is removed first.
    fn entry(&mut self, key: QueryKey, segment: SegmentIndex, version: Version) -> &mut Entry {
        if !self.entries.contains_key(&(key, segment)) {
            while self.entries.len() >= self.max_entries
                && let Some(oldest) = self.order.pop_front()
            {
                self.entries.remove(&oldest);
            }
            self.order.push_back((key, segment));
        }
        let entry = self.entries.entry((key, segment)).or_default();
        if entry.version != version {
            *entry = Entry { version, ..Entry::default() };
        }
        entry
    }

    /// Records a node's answer about a segment. Any answer but a denial cancels all denials in this version: replicas
    /// that disagree are no evidence, whichever of them is right.
    pub fn record_answer(
        &mut self,
        sent: SentAt,
        key: QueryKey,
        segment: SegmentIndex,
        node: NodeId,
        answer: CanMatch,
        version: Version,
    ) {
        if !self.advance_version(segment, version) {
            return;
        }
        let denials = &mut self.entry(key, segment, version).denials;
        match answer {
            CanMatch::CannotMatch => {
                let same_node =
                    denials.iter().position(|denial| denial.is_some_and(|denial| denial.node == node));
                let oldest = usize::from(Denial::order(&denials[1]) < Denial::order(&denials[0]));
                denials[same_node.unwrap_or(oldest)] = Some(Denial { node, sent });
            }
            CanMatch::MayMatch | CanMatch::Unknown => *denials = [None; 2],
        }
    }

    /// Records whether a search by this process found a match, in the version that the replica stated with its result.
    pub fn record_search(
        &mut self,
        started: SentAt,
        key: QueryKey,
        segment: SegmentIndex,
        version: Version,
        found: bool,
    ) {
        if !self.advance_version(segment, version) {
            return;
        }
        let entry = self.entry(key, segment, version);
        entry.own_search = (!found).then_some(started);
        if found {
            entry.denials = [None; 2];
        }
    }

    /// The entry of a text and a segment, if it is of the latest version.
    fn current_entry(&self, key: QueryKey, segment: SegmentIndex) -> Option<&Entry> {
        let entry = self.entries.get(&(key, segment))?;
        (self.versions.get(&segment) == Some(&entry.version)).then_some(entry)
    }

    /// Returns the evidence by which a segment may be pruned, from requests and searches that are recent enough by
    /// `since`; `None` if the segment must be searched. `is_trusted` tells which nodes' denials may be used.
    pub fn basis(
        &self,
        key: QueryKey,
        segment: SegmentIndex,
        since: CountsSince,
        is_trusted: impl Fn(NodeId) -> bool,
    ) -> Option<PruningBasis> {
        let entry = self.current_entry(key, segment)?;
        let counts = |denial: &&Denial| since.includes(denial.sent) && is_trusted(denial.node);
        let mut nodes = entry.denials.iter().flatten().filter(counts).map(|denial| denial.node);
        let first = nodes.next()?;
        if entry.own_search.is_some_and(|started| since.includes(started)) {
            return Some(PruningBasis::OwnSearch(first));
        }
        nodes.next().map(|second| PruningBasis::TwoReplicas(first, second))
    }

    /// The nodes that denied a match in the latest version and were asked recently enough by `since`. Asking them again
    /// is useless: only a denial by another node can complete the evidence.
    pub fn denied_since(
        &self,
        key: QueryKey,
        segment: SegmentIndex,
        since: CountsSince,
    ) -> impl Iterator<Item = NodeId> {
        let denials = self
            .current_entry(key, segment)
            .into_iter()
            .flat_map(|entry| entry.denials.into_iter().flatten());
        denials.filter(move |denial| since.includes(denial.sent)).map(|denial| denial.node)
    }

    /// The nodes that denied a match in exactly this version.
    pub fn denied_in_version(
        &self,
        key: QueryKey,
        segment: SegmentIndex,
        version: Version,
    ) -> impl Iterator<Item = NodeId> {
        let entry = self.entries.get(&(key, segment)).filter(|entry| entry.version == version);
        entry.into_iter().flat_map(|entry| entry.denials.into_iter().flatten()).map(|denial| denial.node)
    }

    /// Removes all denials of a node.
    pub fn remove_node(&mut self, node: NodeId) {
        let is_of_node = |denial: &Denial| denial.node == node;
        let affected: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.denials.iter().flatten().any(is_of_node))
            .map(|(key, _)| *key)
            .collect();
        for key in affected {
            if let Some(entry) = self.entries.get_mut(&key) {
                let of_node =
                    entry.denials.iter_mut().filter(|denial| denial.as_ref().is_some_and(is_of_node));
                of_node.for_each(|denial| *denial = None);
            }
        }
    }
}

#[cfg(test)]
impl Evidence {
    fn len(&self) -> usize {
        self.entries.len()
    }
}
