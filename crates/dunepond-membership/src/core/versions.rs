//! Which version is spoken to whom: the highest that both speak. A message states its sender's span from version 2 on; a program of
//! version 1 is known by its messages, and by its refusals.
//!
//! A life is of one program, so what is known of it holds until the next life. Whoever is not known yet is spoken to in our highest: a
//! newer one answers in what it shares, an older one refuses, and calls us by itself within a second.

use super::{Actions, Core};
use crate::wire::{About, Envelope, Head, Seal, Span, frame, peek};

/// Who spoke version 1 to us is told so often which versions we speak: it may be newer, and have taken us for an older program.
const GREET: f64 = 10.0;

impl Core {
    pub fn speaks(&self) -> Span {
        self.speaks
    }

    pub fn seal(&self) -> &Seal {
        &self.seal
    }

    /// The version in which `name` is spoken to.
    pub fn version_to(&self, name: &str) -> u8 {
        let known = self.lives.speaks(name).map(|(span, _)| span).or(self.assumed.get(name).copied());
        known.and_then(|span| span.common(self.speaks)).unwrap_or(self.speaks.most)
    }

    /// The version in which to answer `came`, readable or not: one that its sender reads, if there is one.
    pub fn answer_in(&self, came: &[u8]) -> u8 {
        match peek(came) {
            Some((version, _)) if self.speaks.least <= version && version <= self.speaks.most => version,
            Some((_, span)) => span.common(self.speaks).unwrap_or(self.speaks.most),
            None => self.speaks.most,
        }
    }

    /// A name of the file has refused what we spoke and said what it speaks. True if there is a version in which to try again.
    pub fn refused_version(&mut self, name: &str, speaks: Span) -> bool {
        let had = self.version_to(name);
        if self.belief.known.contains_key(name) && self.lives.speaks(name).is_none() {
            self.assumed.insert(name.into(), speaks);
        }
        speaks.common(self.speaks).is_some() && self.version_to(name) != had
    }

    /// `head` and `load` as a message in `version`, under the next count for its receiver.
    pub fn framed(&mut self, version: u8, head: &Head, load: &[u8]) -> Vec<u8> {
        let count = match head.about {
            About::Members | About::Greeting => Some(0),
            About::Ask { .. } => Some(1),
            About::Answer { .. } | About::Refused { .. } => None,
        };
        let count = count.map_or(0, |kind| {
            if !self.counts.contains_key(&head.to) && self.counts.len() > 2 * self.bounds.max_members {
                self.forget_counts();
            }
            let counts = self.counts.entry(head.to.clone()).or_insert(self.floor);
            counts[kind] += 1;
            counts[kind]
        });
        frame(&Envelope { version, speaks: self.speaks, count }, head, load, &self.seal)
    }

    /// Names without an address go; should one come back, its count goes on above all that were forgotten.
    fn forget_counts(&mut self) {
        let counts = std::mem::take(&mut self.counts);
        for (name, counts) in counts {
            if self.address(&name).is_some() {
                self.counts.insert(name, counts);
            } else {
                self.floor = [0, 1].map(|kind| self.floor[kind].max(counts[kind]));
            }
        }
    }

    /// Tells those who speak version 1, and may know more, what we speak.
    pub(super) fn greet(&mut self, orders: &mut Actions) {
        if self.now < self.greet_at || self.speaks.most < 2 {
            return;
        }
        self.greet_at = self.now + GREET;
        let older = |name: &&String| matches!(self.lives.speaks(name), Some((_, false)));
        let names: Vec<String> = self.belief.known.keys().filter(older).cloned().collect();
        for name in names {
            let head = self.head(&name, About::Greeting);
            let bytes = self.framed(self.speaks.most, &head, &[]);
            orders.datagrams.push((self.belief.known[&name], bytes));
        }
    }
}
