//! What a message must show to have an effect: that its sender is allowed to say so, and that it is no old one. A recorded message can
//! be delivered an hour later, to the same life of its receiver or to the next, with its sender long dead.
//!
//! So from version 2 on each datagram shows the pass of its receiver's present life, which no message to an earlier life has, and a
//! count that each life of a receiver hears once. Who does not have the pass is sent it, in a greeting that shows *its* pass, and nothing
//! of its message is kept. With a key that holds of requests too; without, of those whose asker has shown the pass, as before.

use super::{Actions, Core};
use crate::belief::Way;
use crate::error::PeerError;
use crate::wire::{About, Envelope, Head};
use std::net::SocketAddr;

/// Greetings in a second, to each name of the file and to all others together.
const GREETINGS: u32 = 20;
/// What could not be heard for want of a pass is sent again only so long after, in seconds.
const AGAIN: f64 = 1.0;
/// The first version in which messages show passes for this.
const SHOWN: u8 = 2;

impl Core {
    /// Whether a request that came over a connection from `source` is believed, is no old one, and is not part of a flood.
    pub fn believes(
        &mut self,
        now: f64,
        said: &Envelope,
        head: &Head,
        source: SocketAddr,
    ) -> Result<(), PeerError> {
        self.wake(now);
        let from = &head.from;
        let member = self.active(&from.name);
        self.belief.sender(from, source, Way::Connection, member)?;
        self.lives.judge(from, member.map_or(0, |member| member.incarnation), self.now)?;
        let (shows, proven) = (said.version >= SHOWN, head.echo == self.lives.ours(&from.name));
        if self.belief.keyed && shows && !proven {
            return Err(PeerError::Unproven { name: from.name.clone() });
        }
        if !self.belief.keyed {
            // Who is there has been heard from its own address: a request in its name must be of that life, and know the pass that
            // went to that address. Of who is not there less can be known, and such a request changes nothing that we hold.
            let theirs = member.is_none_or(|member| {
                member.incarnation == from.incarnation && (proven || !self.lives.echoed(from))
            });
            // A pass that is not ours was an earlier life's.
            if !theirs || shows && head.echo != 0 && !proven {
                return Err(PeerError::Claimed { from: source.to_string(), name: from.name.clone() });
            }
        }
        if self.belief.keyed || shows && proven {
            self.heard(said, head)?;
        }
        if shows && proven && !self.lives.fresh(head, said.count) {
            return Err(PeerError::Old { name: from.name.clone() });
        }
        match self.requests.take(&from.name, self.bounds.max_requests_per_second, self.now) {
            true => Ok(()),
            false => {
                Err(PeerError::Flood { name: from.name.clone(), most: self.bounds.max_requests_per_second })
            }
        }
    }

    /// The pass that we give to `name`. Over a connection it may go only under a key: there an address proves nothing.
    pub fn gives(&self, name: &str) -> u64 {
        if self.belief.keyed { self.lives.ours(name) } else { 0 }
    }

    /// Takes the pass that came with a refusal, over a connection to `at` and under a key.
    pub fn pass_came(&mut self, said: &Envelope, head: &Head, at: SocketAddr) {
        if self.belief.keyed && self.allowed(head, at).is_ok() && self.heard(said, head).is_ok() {
            self.lives.passes(&head.from.name, head.gives, 0);
        }
    }

    /// Whether what says to be from there may be heard as the membership's, and is for us. Changes nothing.
    pub(super) fn allowed(&self, head: &Head, source: SocketAddr) -> Result<(), PeerError> {
        let member = self.active(&head.from.name);
        self.belief.sender(&head.from, source, Way::Datagram, member)?;
        if head.to != self.me().name {
            return Err(PeerError::NotUs { to: head.to.clone() });
        }
        self.lives.judge(&head.from, member.map_or(0, |member| member.incarnation), self.now)
    }

    /// Notes that this life spoke.
    pub(super) fn heard(&mut self, said: &Envelope, head: &Head) -> Result<(), PeerError> {
        let in_file = self.belief.known.contains_key(&head.from.name);
        self.lives.hear(&head.from, in_file, said, self.now)
    }

    /// Whether a datagram is meant for our present life, and is heard for the first time. Its sender is greeted if it lacks the pass, and
    /// otherwise noted to have spoken.
    pub(super) fn first(
        &mut self,
        said: &Envelope,
        head: &Head,
        size: usize,
        orders: &mut Actions,
    ) -> Result<(), PeerError> {
        let name = &head.from.name;
        let shows = said.version >= SHOWN;
        if !shows || head.echo == self.lives.ours(name) {
            self.heard(said, head)?;
            return match !shows || self.lives.fresh(head, said.count) {
                true => Ok(()),
                false => Err(PeerError::Old { name: name.clone() }),
            };
        }
        let known = self.belief.known.get(name).copied();
        let greeting = Head { echo: head.gives, ..self.head(name, About::Greeting) };
        if self.greetings.take(known.map_or("", |_| name), GREETINGS, self.now) {
            let bytes = self.framed(said.version, &greeting, &[]);
            // Never more than what came: who has another's address must not make us send it much.
            if bytes.len() <= size {
                orders.datagrams.push((known.unwrap_or(head.from.listen), bytes));
            }
        }
        Err(PeerError::Unproven { name: name.clone() })
    }

    /// Sends again what was lost for want of the pass that has just come.
    pub(super) fn send_again(&mut self, name: &str, orders: &mut Actions) {
        let Some((when, load)) = self.unheard.remove(name) else { return };
        let Some(at) = self.address(name).filter(|_| self.now - when < AGAIN) else { return };
        let head = self.head(name, About::Members);
        let bytes = self.framed(self.version_to(name), &head, &load);
        orders.datagrams.push((at, bytes));
    }
}
