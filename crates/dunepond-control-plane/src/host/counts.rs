//! Bytes that partners carried for each other: counted here, what changed told to a peer every second, merged from what
//! peers tell.

use std::sync::Arc;

use dunepond_membership::{PeerState, RequestKind};
use dunepond_settlement::{Book, Counts, Sides, Tally, Telling, Word};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use tracing::{debug, warn};

use super::{Asked, Host};
use crate::clock::{monotonic_seconds, unix};
use crate::hand::Carried;

/// Seconds between two peers that are asked for their counts, varied by a half.
const EVERY: f64 = 1.0;
const WITHIN: f64 = 1.0;

pub struct Counting {
    pub partners: Vec<String>,
    pub carried: Arc<Carried>,
    pub tally: Tally,
    pub book: Book,
    pub sides: Sides,
    pub chance: Pcg64Mcg,
    telling: Telling,
    next: f64,
}

impl Counting {
    pub fn new(
        partners: Vec<String>,
        carried: Arc<Carried>,
        tally: Tally,
        book: Book,
        sides: Sides,
        mut chance: Pcg64Mcg,
    ) -> Self {
        // With the time: an old folder put back gives the same chance again.
        let telling = Telling::new(chance.random::<u64>() ^ unix().to_bits());
        Self { partners, carried, tally, book, sides, chance, telling, next: 0.0 }
    }

    /// For `to`; the counts have to be kept already.
    pub fn word(&mut self, to: &str) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&self.telling.tell(to, self.tally.counts()))
    }

    /// Takes in what the loop has seen since; true if there was anything.
    fn take(&mut self) -> bool {
        let seen = self.carried.take();
        for (carrier, owed_by, bytes) in &seen {
            if let (Some(carrier), Some(owed_by)) = (self.partners.get(*carrier), self.partners.get(*owed_by))
            {
                self.tally.saw(carrier, owed_by, *bytes);
            }
        }
        !seen.is_empty()
    }
}

impl Host {
    pub(super) fn count(&mut self) {
        let now = monotonic_seconds();
        if now < self.counting.next {
            return;
        }
        self.links.store(Arc::new(self.peers.counters()));
        self.counting.next = now + EVERY * (0.5 + self.counting.chance.random::<f64>());
        // Where nobody is named as a partner there is nothing to count.
        if self.counting.partners.is_empty() || !self.counted() {
            return;
        }
        let members = self.peers.members();
        let here: Vec<_> =
            members.iter().filter(|p| p.state == PeerState::Alive && p.name != self.name).collect();
        let Some(peer) = here.choose(&mut self.counting.chance).map(|peer| peer.name.clone()) else { return };
        if let Ok(body) = self.counting.word(&peer) {
            self.ask(&peer, RequestKind::TransferCounts, body, WITHIN, Asked::Counts);
        }
    }

    /// Takes in what was seen and keeps it; only what is kept is told to others. False if it could not be kept.
    pub(super) fn counted(&mut self) -> bool {
        let counting = &mut self.counting;
        counting.take();
        counting.book.counted(monotonic_seconds(), counting.tally.counts());
        match self.folder.count(&counting.tally) {
            Ok(()) => true,
            Err(e) => {
                debug!("fleet: folder: counts: {e}");
                false
            }
        }
    }

    pub(super) fn heard_counts(&mut self, from: &str, body: &[u8]) {
        // A program of before tells the counts alone.
        let word = postcard::from_bytes::<Word>(body);
        let Ok(word) = word.or_else(|_| postcard::from_bytes::<Counts>(body).map(Word::bare)) else {
            return debug!("fleet: counts of {from} cannot be read");
        };
        let counting = &mut self.counting;
        match counting.tally.heard(from, &word.counts, &counting.sides) {
            Ok(left_out) => {
                if left_out > 0 {
                    debug!("fleet: {left_out} rows that {from} told are not its to tell");
                }
                counting.telling.heard(from, &word, counting.tally.counts());
            }
            Err(e) => warn!("fleet: counts of {from}: {e} ({})", e.help()),
        }
    }
}
