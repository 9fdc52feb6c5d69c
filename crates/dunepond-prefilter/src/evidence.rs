//! What is known of which text in which segment, and from which node. Bounded; answers about another version are dropped.
//!
//! An answer is about one version of a segment, and only the replicas know which version is the latest. A replica that lags behind may deny
//! a match that a later version has; together with a true denial from before that version it would look like two that agree. So both denials
//! must be fresh. An answer is as old as its request: what was in flight when a query came may have been decided before it came.

use std::collections::VecDeque;

use imbl::HashMap;

use crate::model::{CanMatch, NodeId, QueryKey, SegmentIndex, Version};

#[cfg(test)]
mod tests;

/// Why a segment may be pruned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PruningBasis {
    /// Two replicas deny a match in the same version.
    TwoReplicas(NodeId, NodeId),
    /// One replica denies a match in the version in which our own search found nothing.
    OwnSearch(NodeId),
}

/// When a request was sent or a search began. A search has no sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentAt {
    /// The order among all requests.
    pub sequence: u64,
    /// When, in seconds.
    pub time: f64,
}

/// From when on answers count: after a sequence number, or later than a time. The number tells requests apart that were sent within one
/// reading of the clock.
#[derive(Clone, Copy, Debug)]
pub struct CountsSince {
    /// The last request sent before.
    pub sequence: u64,
    /// When, in seconds.
    pub time: f64,
}

impl CountsSince {
    /// Whether an answer to what was sent then counts.
    pub fn includes(&self, sent: SentAt) -> bool {
        sent.sequence > self.sequence || sent.time > self.time
    }
}

/// A node that denies a match, and when it was asked.
#[derive(Clone, Copy, Debug)]
struct Denial {
    node: NodeId,
    sent: SentAt,
}

impl Denial {
    fn order(denial: &Option<Denial>) -> (f64, u64) {
        denial.map_or((f64::MIN, 0), |denial| (denial.sent.time, denial.sent.sequence))
    }
}

/// What is known of one text in one segment.
#[derive(Clone, Debug, Default)]
struct Entry {
    version: Version,
    /// Two are enough.
    denials: [Option<Denial>; 2],
    /// When our last search began that found nothing in this version.
    own_search: Option<SentAt>,
}

/// The table of evidence. Cloning it costs one pointer.
#[derive(Clone)]
pub struct Evidence {
    entries: HashMap<(QueryKey, SegmentIndex), Entry>,
    /// In the order of insertion.
    order: VecDeque<(QueryKey, SegmentIndex)>,
    max_entries: usize,
    /// The latest version stated of each segment; entries of earlier ones do not count.
    versions: HashMap<SegmentIndex, Version>,
}

impl Evidence {
    /// At most `max_entries` pairs of a text and a segment.
    pub fn new(max_entries: usize) -> Self {
        Self {
            entries: HashMap::new(),
            order: VecDeque::new(),
            max_entries: max_entries.max(1),
            versions: HashMap::new(),
        }
    }

    /// Sets the bound; what exceeds it is dropped as new entries come.
    pub fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries.max(1);
    }

    /// Records that a segment was seen in a version. False for an earlier version than the latest: its replica lags behind.
    fn advance_version(&mut self, segment: SegmentIndex, version: Version) -> bool {
        let latest = self.versions.get(&segment).copied();
        if latest.is_none_or(|latest| version > latest) {
            self.versions.insert(segment, version);
        }
        latest.is_none_or(|latest| version >= latest)
    }

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

    /// Records a node's answer. Anything but a denial cancels all denials of this version: replicas that disagree are no evidence, whichever
    /// of them is right.
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
                let own = denials.iter().position(|denial| denial.is_some_and(|denial| denial.node == node));
                let oldest = usize::from(Denial::order(&denials[1]) < Denial::order(&denials[0]));
                denials[own.unwrap_or(oldest)] = Some(Denial { node, sent });
            }
            CanMatch::MayMatch | CanMatch::Unknown => *denials = [None; 2],
        }
    }

    /// Records a search of our own, in the version that the replica stated with its result.
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

    /// The entry, if it is of the latest version.
    fn current_entry(&self, key: QueryKey, segment: SegmentIndex) -> Option<&Entry> {
        let entry = self.entries.get(&(key, segment))?;
        (self.versions.get(&segment) == Some(&entry.version)).then_some(entry)
    }

    /// Why a segment may be pruned, if it may, on what was sent since then. `is_trusted` tells whose answers count.
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

    /// The nodes that denied a match since then, in the latest version: another one's denial would complete the evidence.
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

    /// The nodes that deny a match in just this version.
    pub fn denied_in_version(
        &self,
        key: QueryKey,
        segment: SegmentIndex,
        version: Version,
    ) -> impl Iterator<Item = NodeId> {
        let entry = self.entries.get(&(key, segment)).filter(|entry| entry.version == version);
        entry.into_iter().flat_map(|entry| entry.denials.into_iter().flatten()).map(|denial| denial.node)
    }

    /// Drops all denials of a node.
    pub fn remove_node(&mut self, node: NodeId) {
        let is_of_node = |denial: &Denial| denial.node == node;
        let affected: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.denials.iter().flatten().any(is_of_node))
            .map(|(at, _)| *at)
            .collect();
        for at in affected {
            if let Some(entry) = self.entries.get_mut(&at) {
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
