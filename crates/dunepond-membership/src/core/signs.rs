//! Signs of life over the request channel. A flood of datagrams crowds true ones out of the socket, both ways, and whoever is behind it
//! would be given up though it lives. So a suspected member of the file is asked over a connection too, before its time is over: it is
//! told that it is suspected and answers as it would by datagram, with a later count of its own, which is the one thing that refutes a
//! suspicion. What is carried are the library's own messages, so nothing is believed here that a datagram could not bring.

use super::{Actions, Core};
use crate::error::PeerError;
use crate::wire::{Envelope, Head};
use crate::words::{Id, PeerState, RequestKind};
use foca::{Codec, Header, Member, Message, PostcardCodec, State};
use rand::RngExt;
use std::net::SocketAddr;

/// The first ask comes at a drawn moment within this part of the time a suspected member has: were many to ask one at once, they would
/// be a crowd at its door, and the first answer is passed on to the others.
const SPREAD: f64 = 0.5;
/// An ask may take this part of that time, and the next comes after another such part.
const WITHIN: f64 = 0.25;
/// Messages in one ask or answer, at most.
const MESSAGES: usize = 8;

/// One ask for a sign of life.
#[derive(Clone, Debug, PartialEq)]
pub struct Sign {
    pub to: String,
    pub body: Vec<u8>,
    /// Seconds.
    pub within: f64,
}

/// A suspected member that is to be asked, or is being asked.
pub(super) struct Pending {
    due: f64,
    under_way: bool,
}

impl Core {
    /// Whom to ask now for a sign of life; each has one end, in [`Core::sign_came`].
    pub fn signs(&mut self) -> Vec<Sign> {
        let now = self.now;
        let due = self.pending.iter_mut().filter(|(_, one)| !one.under_way && one.due <= now);
        let names = due.map(|(name, one)| {
            one.under_way = true;
            name.clone()
        });
        let names: Vec<String> = names.collect();
        let within = WITHIN * self.pace.suspicion_timeout_seconds;
        let body = |to: String| self.question(&to).map(|body| Sign { to, body, within });
        names.into_iter().filter_map(body).collect()
    }

    /// Answers a request for a sign of life that [`Core::believes`] let through: the answer's body, and what else is to be done.
    /// Unlike other requests it moves the membership, so without a key the asker must have shown our pass, whoever it is.
    pub fn sign_asked(&mut self, head: &Head, body: &[u8]) -> Result<(Vec<u8>, Actions), PeerError> {
        let from = &head.from;
        if !self.belief.keyed && head.echo != self.lives.ours(&from.name) {
            return Err(PeerError::Claimed { from: from.listen.to_string(), name: from.name.clone() });
        }
        let mut orders = Actions::default();
        let heard = self.hear_all(from, body);
        let answers = self.collect(&mut orders, Some(&from.name));
        heard?;
        let body = postcard::to_stdvec(&answers[..answers.len().min(MESSAGES)]);
        Ok((body.expect("plain data, and memory grows"), orders))
    }

    /// Takes the end of an ask for a sign of life: what `to` answered from `at`, or nothing.
    pub fn sign_came(
        &mut self,
        now: f64,
        to: &str,
        at: SocketAddr,
        answer: Option<(&Envelope, &Head, &[u8])>,
    ) -> Actions {
        self.wake(now);
        let mut orders = Actions::default();
        if let Some(one) = self.pending.get_mut(to) {
            (one.under_way, one.due) = (false, self.now + WITHIN * self.pace.suspicion_timeout_seconds);
        }
        if let Some((said, head, body)) = answer {
            orders.fault = self
                .allowed(head, at)
                .and_then(|()| self.heard(said, head))
                .and_then(|()| self.hear_all(&head.from, body))
                .err();
        }
        self.collect(&mut orders, None);
        orders
    }

    /// Members of the file that are suspected, and no others, are asked; those of version 1 do not know the question.
    pub(super) fn suspects(&mut self) {
        let suspected = |(id, standing): &(Id, PeerState)| {
            let asked = self.version_to(&id.name) >= RequestKind::LivenessCheck.since();
            *standing == PeerState::Suspected && asked && self.belief.known.contains_key(&id.name)
        };
        let names: Vec<String> =
            self.seen.values().filter(|one| suspected(one)).map(|(id, _)| id.name.clone()).collect();
        self.pending.retain(|name, _| names.contains(name));
        for name in names.into_iter().filter(|name| !self.pending.contains_key(name)).collect::<Vec<_>>() {
            let due = self.now + self.chance.random_range(0.0..SPREAD) * self.pace.suspicion_timeout_seconds;
            self.pending.insert(name, Pending { due, under_way: false });
        }
    }

    pub(super) fn next_sign(&self) -> f64 {
        self.pending.values().filter(|one| !one.under_way).map(|one| one.due).fold(f64::INFINITY, f64::min)
    }

    /// That it is suspected, to which it answers under a later count; and a call, to which it answers even if it has renewed itself.
    fn question(&self, to: &str) -> Option<Vec<u8>> {
        let member = self.foca.iter_membership_state().find(|member| member.id().name == to)?;
        let dst = member.id();
        let head = |message| Header { src: self.me().clone(), src_incarnation: 0, dst: dst.clone(), message };
        let mut codec = PostcardCodec;
        let mut ping = Vec::new();
        codec.encode_header(&head(Message::Ping(0)), &mut ping).ok()?;
        ping.extend_from_slice(&1u16.to_be_bytes());
        let said = Member::new(dst.clone(), member.incarnation(), State::Suspect);
        codec.encode_member(&said, &mut ping).ok()?;
        let mut call = Vec::new();
        codec.encode_header(&head(Message::Announce), &mut call).ok()?;
        postcard::to_stdvec(&vec![ping, call]).ok()
    }

    fn hear_all(&mut self, sender: &Id, body: &[u8]) -> Result<(), PeerError> {
        let from = sender.listen.to_string();
        let garbled = || PeerError::Garbled { from: from.clone() };
        let messages: Vec<&[u8]> = postcard::from_bytes(body).map_err(|_| garbled())?;
        if messages.len() > MESSAGES || messages.iter().any(|one| one.len() > self.bounds.max_datagram_bytes)
        {
            return Err(garbled());
        }
        messages.into_iter().try_for_each(|message| self.hear(sender, message, &from))
    }
}
