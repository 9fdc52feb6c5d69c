//! What of the counts a peer is told: rows that changed since what it says it has, and all of them now and then.
//!
//! A row is told whole or not at all, and rows join, so that any of them may be lost, doubled or late. What may go wrong
//! is to leave out a row that the peer has not got. So the peer itself says in each word how far it has heard us, and
//! each process starts with having heard nothing: after a restart, a lost answer or an old folder more is told, never
//! less.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counts::{Counts, Height};

/// Each so-manieth word is whole, whatever the peer says.
const WHOLE_EACH: u64 = 600;
/// Peers of which is kept how far they are; beyond, all are forgotten and hear everything again.
const MOST_PEERS: usize = 10_000;

/// How far: revision of one process. A process is told by a number that no other has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Mark {
    process: u64,
    revision: u64,
}

/// What one broker tells another. The counts stand first: a program that knows only counts reads them and stops there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub counts: Counts,
    /// Whoever had the teller up to `since` has it up to here.
    upto: Mark,
    since: u64,
    /// How far the teller has heard the one that it tells.
    heard: Mark,
    /// Rows that came from this process are left out, so that the word says how far only to it; 0: to all.
    only: u64,
}

impl Word {
    /// Of a program that knows only counts: it says nothing of how far it has heard us.
    pub fn bare(counts: Counts) -> Word {
        Word { counts, ..Word::default() }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// As it was heard last.
    process: u64,
    /// It has us up to here.
    has: u64,
    heard: Mark,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    height: Height,
    /// Ours, when it came to stand so.
    revision: u64,
    /// The process that told it just so; 0: nobody.
    of: u64,
}

/// How far each peer is. Nothing of it outlasts the process.
#[derive(Clone, Debug)]
pub struct Telling {
    process: u64,
    revision: u64,
    rows: BTreeMap<String, Row>,
    peers: BTreeMap<String, Peer>,
    words: u64,
}

impl Telling {
    /// `process`: another number at each start, never 0, so by chance and not from the folder, which may be an old one.
    pub fn new(process: u64) -> Telling {
        let process = process.max(1);
        Telling { process, revision: 0, rows: BTreeMap::new(), peers: BTreeMap::new(), words: 0 }
    }

    /// Counts as they are now; `of`: the word that was merged just before.
    fn note(&mut self, counts: &Counts, of: Option<&Word>) {
        for (broker, height) in counts.heights() {
            if self.rows.get(broker).is_some_and(|row| row.height == height) {
                continue;
            }
            self.revision += 1;
            let of = of.filter(|word| word.counts.height(broker) == Some(height));
            let row = Row { height, revision: self.revision, of: of.map_or(0, |word| word.upto.process) };
            self.rows.insert(broker.to_string(), row);
        }
    }

    /// The word to `to`, of counts that are saved.
    pub fn tell(&mut self, to: &str, counts: &Counts) -> Word {
        self.note(counts, None);
        self.words += 1;
        let peer = self.peers.get(to).copied().unwrap_or_default();
        let since = if self.words.is_multiple_of(WHOLE_EACH) { 0 } else { peer.has };
        // Else each row that comes would go back to where it came from.
        let its = |row: &Row| row.of != 0 && row.of == peer.process;
        let changed = |broker: &str| self.rows.get(broker).filter(|row| row.revision > since);
        let only = counts.heights().filter_map(|(broker, _)| changed(broker)).any(its);
        Word {
            counts: counts.rows_where(|broker| changed(broker).is_some_and(|row| !its(row))),
            upto: Mark { process: self.process, revision: self.revision },
            since,
            heard: peer.heard,
            only: if only { peer.process } else { 0 },
        }
    }

    /// Notes how far the peer is, after its word was merged into `counts`; not if that was refused.
    pub fn heard(&mut self, from: &str, word: &Word, counts: &Counts) {
        self.note(counts, Some(word));
        if self.peers.len() >= MOST_PEERS && !self.peers.contains_key(from) {
            self.peers.clear();
        }
        let peer = self.peers.entry(from.to_string()).or_default();
        peer.process = word.upto.process;
        let ours = word.heard.process == self.process && word.heard.revision <= self.revision;
        peer.has = if ours { word.heard.revision } else { 0 };
        let same = peer.heard.process == word.upto.process;
        let follows = word.since == 0 || (same && peer.heard.revision >= word.since);
        if follows && (word.only == 0 || word.only == self.process) {
            let before = if same { peer.heard.revision } else { 0 };
            peer.heard = Mark { revision: before.max(word.upto.revision), ..word.upto };
        }
    }
}
