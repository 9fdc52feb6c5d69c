//! Which counts a peer is sent: rows that changed since what it acknowledged, and all of them now and then.
//!
//! A row is sent whole or not at all, and rows join, so that any of them may be lost, duplicated or late. The only mistake
//! would be to leave out a row that the peer lacks. So the peer acknowledges in each message how far it has heard us, and
//! each process starts with having heard nothing: after a restart, a lost message or an old folder more is sent, never
//! less.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counts::{CarriedCounts, Height};

/// One of so many messages is complete, whatever the peer acknowledged.
const MESSAGES_PER_FULL_SYNC: u64 = 600;
/// Peers whose position is remembered; beyond, all are forgotten and get everything again.
const MAX_PEER_COUNT: usize = 10_000;

/// Position: a revision of one process. Each process has an id of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Position {
    process: u64,
    revision: u64,
}

/// A message with counts. The counts come first: a build that knows only counts reads them and stops there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CountsMessage {
    /// Changed rows.
    pub counts: CarriedCounts,
    /// A receiver that had the sender's rows up to `since` has them up to here.
    upto: Position,
    since: u64,
    /// How far the sender has heard the receiver.
    heard: Position,
    /// Rows that came from this process are left out, so that the position counts only for it; 0: for all.
    only: u64,
}

impl CountsMessage {
    /// Of a build that knows only counts: it acknowledges nothing.
    pub fn counts_only(counts: CarriedCounts) -> CountsMessage {
        CountsMessage { counts, ..CountsMessage::default() }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// As last heard.
    process: u64,
    /// Our revision that it has acknowledged.
    acknowledged: u64,
    heard: Position,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    height: Height,
    /// Ours, of its last change.
    revision: u64,
    /// The process that sent it in just this state; 0: nobody.
    origin: u64,
}

/// How far each peer is. Nothing of it survives the process.
#[derive(Clone, Debug)]
pub struct CountsReplication {
    process: u64,
    revision: u64,
    rows: BTreeMap<String, Row>,
    peers: BTreeMap<String, Peer>,
    message_count: u64,
}

impl CountsReplication {
    /// `process`: another number at each start, drawn at random and not from the folder, which may be an old copy.
    pub fn new(process: u64) -> CountsReplication {
        let process = process.max(1);
        CountsReplication {
            process,
            revision: 0,
            rows: BTreeMap::new(),
            peers: BTreeMap::new(),
            message_count: 0,
        }
    }

    /// Notes the counts as they are now; `of`: the message that was joined just before.
    fn note(&mut self, counts: &CarriedCounts, of: Option<&CountsMessage>) {
        for (broker, height) in counts.heights() {
            if self.rows.get(broker).is_some_and(|row| row.height == height) {
                continue;
            }
            self.revision += 1;
            let of = of.filter(|word| word.counts.height(broker) == Some(height));
            let row = Row { height, revision: self.revision, origin: of.map_or(0, |word| word.upto.process) };
            self.rows.insert(broker.to_string(), row);
        }
    }

    /// The message to `to`, of counts that are stored.
    pub fn message_for(&mut self, to: &str, counts: &CarriedCounts) -> CountsMessage {
        self.note(counts, None);
        self.message_count += 1;
        let peer = self.peers.get(to).copied().unwrap_or_default();
        let since =
            if self.message_count.is_multiple_of(MESSAGES_PER_FULL_SYNC) { 0 } else { peer.acknowledged };
        // Otherwise each row would be sent back to where it came from.
        let its = |row: &Row| row.origin != 0 && row.origin == peer.process;
        let changed = |broker: &str| self.rows.get(broker).filter(|row| row.revision > since);
        let only = counts.heights().filter_map(|(broker, _)| changed(broker)).any(its);
        CountsMessage {
            counts: counts.rows_where(|broker| changed(broker).is_some_and(|row| !its(row))),
            upto: Position { process: self.process, revision: self.revision },
            since,
            heard: peer.heard,
            only: if only { peer.process } else { 0 },
        }
    }

    /// Notes how far the peer is, after its message was joined into `counts`; not if that was rejected.
    pub fn handle_message(&mut self, from: &str, word: &CountsMessage, counts: &CarriedCounts) {
        self.note(counts, Some(word));
        if self.peers.len() >= MAX_PEER_COUNT && !self.peers.contains_key(from) {
            self.peers.clear();
        }
        let peer = self.peers.entry(from.to_string()).or_default();
        peer.process = word.upto.process;
        let ours = word.heard.process == self.process && word.heard.revision <= self.revision;
        peer.acknowledged = if ours { word.heard.revision } else { 0 };
        let same = peer.heard.process == word.upto.process;
        let follows = word.since == 0 || (same && peer.heard.revision >= word.since);
        if follows && (word.only == 0 || word.only == self.process) {
            let before = if same { peer.heard.revision } else { 0 };
            peer.heard = Position { revision: before.max(word.upto.revision), ..word.upto };
        }
    }
}
