//! Selects the counts to send to a peer: the rows that changed since the last revision that the peer acknowledged, and
//! periodically all rows.
//!
//! Rows are sent only as a whole and merge idempotently, so a message may be lost, duplicated or late. The one fault to avoid
//! is a message that omits a row that the peer lacks. Each message therefore acknowledges how far its sender has received the
//! receiver's rows, and each process starts with nothing acknowledged. After a restart, a lost message or a restored old
//! folder, more rows are sent than needed, never fewer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counts::{CarriedCounts, RowProgress};

/// The process counts its messages to all peers together. Every message whose number is a multiple of this contains all rows,
/// whatever its receiver has acknowledged. This repairs any error in what this process assumes the peers to have received.
const MESSAGES_PER_FULL_SYNC: u64 = 600;
/// Maximum number of peers for which the position up to which they have received the rows is kept. Beyond this number, the
/// positions of all peers are discarded, and all rows are sent again.
const MAX_PEERS: usize = 10_000;

/// A point in the sequence of changes of one process's rows: the id of the process, and its revision (the number of changes so
/// far).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Position {
    process: u64,
    revision: u64,
}

/// Message that sends counts to a peer. The counts are encoded first, because older builds decode only these and ignore the
/// rest.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CountsMessage {
    /// Rows that changed since the last acknowledged revision, or all rows.
    pub counts: CarriedCounts,
    /// The sender's position. A receiver that had the sender's rows up to `since_revision` has them up to this position after
    /// the message.
    #[serde(rename = "upto")]
    up_to: Position,
    /// Sender's revision after which the rows in this message changed; 0 if the message is not limited to changed rows.
    #[serde(rename = "since")]
    since_revision: u64,
    /// Position up to which the sender has received the receiver's rows.
    #[serde(rename = "heard")]
    received: Position,
    /// Id of the receiving process if rows are omitted because that process itself sent them. `up_to` is then valid only for
    /// this process. 0 if no row is omitted for this reason.
    #[serde(rename = "only")]
    only_for_process: u64,
}

impl CountsMessage {
    /// Creates a message from the counts of a build that sends only counts. The message acknowledges nothing.
    pub fn counts_only(counts: CarriedCounts) -> CountsMessage {
        CountsMessage { counts, ..CountsMessage::default() }
    }
}

/// How far a peer and this process have received each other's rows.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Id of the process that sent the peer's last message.
    process: u64,
    /// Revision of this process that the peer has acknowledged.
    acknowledged_revision: u64,
    /// Position up to which the peer's rows were received.
    received: Position,
}

/// Last change of a broker's row.
#[derive(Clone, Copy, Debug)]
struct RowChange {
    /// Progress of the row after the change.
    progress: RowProgress,
    /// Revision of this process at the change.
    revision: u64,
    /// Id of the process that sent the row in exactly this state; 0 if none did.
    origin: u64,
}

/// Replication state of one process: the positions of all peers, and the last change of each row. Kept only in memory.
#[derive(Clone, Debug)]
pub struct CountsReplication {
    /// Id of this process.
    process: u64,
    /// Number of changes of rows in this process.
    revision: u64,
    /// Last changes of rows, by broker.
    rows: BTreeMap<String, RowChange>,
    /// Peers by name.
    peers: BTreeMap<String, Peer>,
    message_count: u64,
}

impl CountsReplication {
    /// Creates the state for a process that has exchanged no messages. `process` must differ at each start; it is drawn at
    /// random and not stored, because the folder may be an old copy.
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

    /// Records which rows changed. `merged` is the message that was merged just before, if any.
    fn record_changes(&mut self, counts: &CarriedCounts, merged: Option<&CountsMessage>) {
        for (broker, progress) in counts.row_progress_by_broker() {
            if self.rows.get(broker).is_some_and(|row| row.progress == progress) {
                continue;
            }
            self.revision += 1;
            let source = merged.filter(|message| message.counts.row_progress(broker) == Some(progress));
            let origin = source.map_or(0, |message| message.up_to.process);
            self.rows.insert(broker.to_string(), RowChange { progress, revision: self.revision, origin });
        }
    }

    /// Returns the message to the peer `to`. `counts` must already be stored.
    pub fn message_for(&mut self, to: &str, counts: &CarriedCounts) -> CountsMessage {
        self.record_changes(counts, None);
        self.message_count += 1;
        let peer = self.peers.get(to).copied().unwrap_or_default();
        let is_full_sync = self.message_count.is_multiple_of(MESSAGES_PER_FULL_SYNC);
        let since_revision = if is_full_sync { 0 } else { peer.acknowledged_revision };
        let changed = |broker: &str| self.rows.get(broker).filter(|row| row.revision > since_revision);
        // Rows that the peer itself sent in this state are omitted; otherwise each row would be sent back.
        let is_from_peer = |row: &RowChange| row.origin != 0 && row.origin == peer.process;
        let omits_rows =
            counts.row_progress_by_broker().filter_map(|(broker, _)| changed(broker)).any(is_from_peer);
        CountsMessage {
            counts: counts.rows_where(|broker| changed(broker).is_some_and(|row| !is_from_peer(row))),
            up_to: Position { process: self.process, revision: self.revision },
            since_revision,
            received: peer.received,
            only_for_process: if omits_rows { peer.process } else { 0 },
        }
    }

    /// Updates the positions of the peer `from` after its message was merged into `counts`. Must not be called if the message
    /// was rejected.
    pub fn handle_message(&mut self, from: &str, message: &CountsMessage, counts: &CarriedCounts) {
        self.record_changes(counts, Some(message));
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(from) {
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
