//! Which counts a peer is sent: rows that changed since the last ones that it acknowledged, and now and then all of them.
//!
//! A row is sent whole or not at all, and rows join, so that any of them may be lost, duplicated or late. The only mistake
//! would be to leave out a row that the peer lacks. So the peer acknowledges in each message how far it has received ours,
//! and each process starts with nothing received: after a restart, a lost message or an old folder more is sent, never
//! less.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counts::{CarriedCounts, Height};

/// Messages between two that have all rows, whatever the peer acknowledged: a fault in the bookkeeping heals by itself.
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
    /// The rows that changed.
    pub counts: CarriedCounts,
    /// A receiver that had the sender's rows up to `since_revision` has them up to here.
    #[serde(rename = "upto")]
    up_to: Position,
    #[serde(rename = "since")]
    since_revision: u64,
    /// How far the sender has received the receiver's rows.
    #[serde(rename = "heard")]
    received: Position,
    /// Rows that came from this process are left out, so that the position counts only for it; 0: for all.
    #[serde(rename = "only")]
    only_for_process: u64,
}

impl CountsMessage {
    /// Of a build that knows only counts: it acknowledges nothing.
    pub fn counts_only(counts: CarriedCounts) -> CountsMessage {
        CountsMessage { counts, ..CountsMessage::default() }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Process that sent its last message.
    process: u64,
    /// This process's revision that it has acknowledged.
    acknowledged_revision: u64,
    /// How far its rows were received.
    received: Position,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    height: Height,
    /// This process's, at its last change.
    revision: u64,
    /// The process that sent it in just this state; 0: none.
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

    /// Notes which rows changed; `merged`: the message that was merged just before.
    fn note_changes(&mut self, counts: &CarriedCounts, merged: Option<&CountsMessage>) {
        for (broker, height) in counts.heights() {
            if self.rows.get(broker).is_some_and(|row| row.height == height) {
                continue;
            }
            self.revision += 1;
            let source = merged.filter(|message| message.counts.height(broker) == Some(height));
            let origin = source.map_or(0, |message| message.up_to.process);
            self.rows.insert(broker.to_string(), Row { height, revision: self.revision, origin });
        }
    }

    /// The message to `to`, of counts that are stored.
    pub fn message_for(&mut self, to: &str, counts: &CarriedCounts) -> CountsMessage {
        self.note_changes(counts, None);
        self.message_count += 1;
        let peer = self.peers.get(to).copied().unwrap_or_default();
        let is_full_sync = self.message_count.is_multiple_of(MESSAGES_PER_FULL_SYNC);
        let since_revision = if is_full_sync { 0 } else { peer.acknowledged_revision };
        let changed = |broker: &str| self.rows.get(broker).filter(|row| row.revision > since_revision);
        // Otherwise each row would be sent back to where it came from.
        let is_from_peer = |row: &Row| row.origin != 0 && row.origin == peer.process;
        let leaves_out_rows = counts.heights().filter_map(|(broker, _)| changed(broker)).any(is_from_peer);
        CountsMessage {
            counts: counts.rows_where(|broker| changed(broker).is_some_and(|row| !is_from_peer(row))),
            up_to: Position { process: self.process, revision: self.revision },
            since_revision,
            received: peer.received,
            only_for_process: if leaves_out_rows { peer.process } else { 0 },
        }
    }

    /// Notes how far the peer is, after its message was merged into `counts`; not if that was rejected.
    pub fn handle_message(&mut self, from: &str, message: &CountsMessage, counts: &CarriedCounts) {
        self.note_changes(counts, Some(message));
        if self.peers.len() >= MAX_PEER_COUNT && !self.peers.contains_key(from) {
            self.peers.clear();
        }
        let peer = self.peers.entry(from.to_string()).or_default();
        peer.process = message.up_to.process;
        let acknowledged = message.received;
        let is_ours = acknowledged.process == self.process && acknowledged.revision <= self.revision;
        peer.acknowledged_revision = if is_ours { acknowledged.revision } else { 0 };
        let is_same_process = peer.received.process == message.up_to.process;
        let received_revision = if is_same_process { peer.received.revision } else { 0 };
        let has_no_gap =
            message.since_revision == 0 || (is_same_process && received_revision >= message.since_revision);
        let is_for_us = message.only_for_process == 0 || message.only_for_process == self.process;
        if has_no_gap && is_for_us {
            let revision = received_revision.max(message.up_to.revision);
            peer.received = Position { revision, ..message.up_to };
        }
    }
}
