//! Which life of each name we have heard, and whether it hears what is sent to its address.
//!
//! Where no key seals messages, an address in a request proves nothing. So each broker gives each other one a *pass*, in the datagrams
//! that go to that one's address, and expects it back: who has it hears what is sent there. The pass is never sent anywhere else.

use crate::error::PeerError;
use crate::wire::{About, Envelope, Head, Span};
use crate::words::Id;
use std::collections::{BTreeMap, BTreeSet};

/// So many counts before the latest are told apart; what is older counts as heard.
const TOLD_APART: u64 = 1024;

/// Which counts of a sender were heard.
#[derive(Default)]
struct Window {
    heard: BTreeSet<u64>,
}

impl Window {
    /// False if this count was heard, or is too old to tell.
    fn take(&mut self, count: u64) -> bool {
        let latest = self.heard.last().copied().unwrap_or(0).max(count);
        let oldest = latest.saturating_sub(TOLD_APART);
        if count <= oldest || !self.heard.insert(count) {
            return false;
        }
        while self.heard.first().is_some_and(|first| *first <= oldest) {
            self.heard.pop_first();
        }
        true
    }
}

struct Life {
    incarnation: u64,
    heard: f64,
    /// What it gave us, 0 if nothing yet.
    theirs: u64,
    /// It has sent ours back.
    echoed: bool,
    /// The versions that this life's program speaks, and whether it said so itself: a message of version 1 cannot say.
    speaks: Span,
    stated: bool,
    /// Datagrams, and requests: one must not wait for the other.
    heard_of: [Window; 2],
}

impl Life {
    fn new(incarnation: u64, heard: f64, speaks: Span) -> Life {
        Life {
            incarnation,
            heard,
            theirs: 0,
            echoed: false,
            speaks,
            stated: false,
            heard_of: Default::default(),
        }
    }
}

pub(crate) struct Lives {
    secret: [u8; 32],
    /// Seconds for which an earlier life is refused after a later one was heard last.
    fresh: f64,
    /// Names that the file does not have may be so many.
    most: usize,
    lives: BTreeMap<String, Life>,
}

impl Lives {
    pub fn new(secret: [u8; 32], fresh: f64, most: usize) -> Lives {
        Lives { secret, fresh, most, lives: BTreeMap::new() }
    }

    /// The pass that we give to `name`; never 0.
    pub fn ours(&self, name: &str) -> u64 {
        let hash = blake3::keyed_hash(&self.secret, name.as_bytes());
        let bytes: [u8; 8] = hash.as_bytes()[..8].try_into().expect("eight of thirty-two");
        u64::from_le_bytes(bytes).max(1)
    }

    /// The pass that `name` gave us.
    pub fn theirs(&self, name: &str) -> u64 {
        self.lives.get(name).map_or(0, |life| life.theirs)
    }

    /// The versions that the last life of `name` speaks, and whether it said so.
    pub fn speaks(&self, name: &str) -> Option<(Span, bool)> {
        self.lives.get(name).map(|life| (life.speaks, life.stated))
    }

    /// Whether the present life of `id` has sent our pass back.
    pub fn echoed(&self, id: &Id) -> bool {
        self.lives.get(&id.name).is_some_and(|life| life.echoed && life.incarnation == id.incarnation)
    }

    /// An earlier life is refused as long as a later one is there (`member`, 0 if none), or was heard not long ago. A later one that is
    /// gone does not keep it out: a broker whose folder went back must be able to ask.
    pub fn judge(&self, id: &Id, member: u64, now: f64) -> Result<(), PeerError> {
        let heard = self.lives.get(&id.name).filter(|life| now - life.heard < self.fresh);
        let known = member.max(heard.map_or(0, |life| life.incarnation));
        match id.incarnation < known {
            true => Err(PeerError::Stale { name: id.name.clone(), said: id.incarnation, known }),
            false => Ok(()),
        }
    }

    /// Notes that this life spoke. Strangers cannot crowd out the names of the file.
    pub fn hear(&mut self, id: &Id, in_file: bool, said: &Envelope, now: f64) -> Result<(), PeerError> {
        if !self.lives.contains_key(&id.name) && !in_file && self.lives.len() >= self.most {
            self.lives.retain(|_, life| now - life.heard < self.fresh);
            if self.lives.len() >= self.most {
                return Err(PeerError::Full { most: self.most });
            }
        }
        let fresh = || Life::new(id.incarnation, now, said.speaks);
        let life = self.lives.entry(id.name.clone()).or_insert_with(fresh);
        if life.incarnation != id.incarnation {
            *life = fresh();
        }
        life.heard = now;
        // One program a life: what it said once stands, though it may have taken us for an older one since.
        if said.version > 1 {
            (life.speaks, life.stated) = (said.speaks, true);
        }
        Ok(())
    }

    /// Whether this message of a life that was just heard is heard for the first time.
    pub fn fresh(&mut self, head: &Head, count: u64) -> bool {
        let Some(life) = self.lives.get_mut(&head.from.name) else { return true };
        let request = matches!(head.about, About::Ask { .. });
        // Another pass under the same incarnation: its folder went back, and it counts anew.
        if head.gives != 0 && life.theirs != 0 && head.gives != life.theirs {
            life.heard_of = Default::default();
        }
        life.heard_of[usize::from(request)].take(count)
    }

    /// Takes the passes of a datagram from a life that was just heard.
    pub fn passes(&mut self, name: &str, gives: u64, echo: u64) {
        let ours = self.ours(name);
        if let Some(life) = self.lives.get_mut(name) {
            life.theirs = if gives == 0 { life.theirs } else { gives };
            life.echoed |= echo == ours;
        }
    }
}
