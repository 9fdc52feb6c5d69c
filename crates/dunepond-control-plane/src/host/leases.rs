//! Leases: asked for by this broker, and answered where it votes.

use dunepond_consensus::{Ask, Refusal, Told};
use dunepond_membership::{Kind, Refused, Token};
use tracing::{debug, info, warn};

use super::{Asked, Host, Waiting};
use crate::clock::steady;
use crate::hand::add;

impl Host {
    pub(super) fn ask_for_lease(&mut self) {
        let now = steady();
        let Some((voter, ask)) = self.member.tick(now) else { return };
        if voter == self.name {
            return self.question(ask);
        }
        let body = ask.bytes();
        let asked = Asked::Lease { voter: voter.clone() };
        if !self.ask(&voter, Kind::Lease, body, self.lease, asked) {
            self.member.failed(now, &voter);
        }
    }

    /// A question for this voter, ours or another's.
    fn question(&mut self, ask: Ask) {
        if self.state.failed.is_some() {
            return;
        }
        let from = ask.broker.clone();
        if let Some(voter) = &mut self.voter {
            let orders = voter.asked(steady(), &from, ask);
            self.carry_out(orders);
        }
    }

    pub(super) fn lease_asked(&mut self, from: String, body: &[u8], token: Token) {
        let Some(ask) = Ask::of(body) else {
            return self.peers.answer(token, Err(Refused::Garbled));
        };
        if ask.broker != from {
            let name = ask.broker;
            return self.peers.answer(token, Err(Refused::Claimed { name }));
        }
        if self.voter.is_none() {
            return self.peers.answer(token, Err(Refused::Declined("not a voter".to_string())));
        }
        let waiting = Waiting { token, until: steady() + self.lease };
        self.state.waiting.insert((from, ask.id), waiting);
        self.question(ask);
    }

    /// An answer of this voter: to whoever waits for it here, to ourselves, or to one who asked another voter.
    pub(super) fn tell(&mut self, broker: String, told: Told) {
        if broker == self.name {
            return self.granted(&broker, told);
        }
        let body = told.bytes();
        match self.state.waiting.remove(&(broker.clone(), told.id)) {
            Some(waiting) => self.peers.answer(waiting.token, Ok(body)),
            None => drop(self.ask(&broker, Kind::State, body, self.lease, Asked::Told)),
        }
    }

    pub(super) fn lease_answered(&mut self, voter: &str, body: Option<Vec<u8>>) {
        match body.and_then(|body| Told::of(&body)) {
            Some(told) => self.granted(voter, told),
            None => self.member.failed(steady(), voter),
        }
    }

    /// The answer of a leader to whom another voter passed our question on.
    pub(super) fn pushed(&mut self, from: &str, body: &[u8]) {
        // Nobody else has a word in it.
        if !self.member.voters().iter().any(|voter| voter == from) {
            return warn!("fleet: {from} is no voter, and tells what is agreed: not believed");
        }
        if let Some(told) = Told::of(body) {
            self.granted(from, told);
        }
    }

    fn granted(&mut self, from: &str, told: Told) {
        match self.member.told(steady(), from, told) {
            Ok(()) => {
                let leader = self.member.leader().map(str::to_string);
                if leader != self.state.leader {
                    info!("fleet: led by {}", leader.as_deref().unwrap_or("nobody"));
                    self.state.leader = leader;
                }
                self.leased();
                self.debts_by_member();
            }
            // Answered twice, or too late; and a voter without a leader: both pass.
            Err(
                why
                @ (Refusal::Unasked(_) | Refusal::NoLeader | Refusal::VotesNot(_) | Refusal::Older { .. }),
            ) => {
                debug!("fleet: {from}: {why}");
            }
            Err(why @ Refusal::NoDocument(_)) => info!("fleet: {from}: {why} ({})", why.help()),
            Err(why) => {
                add(&self.tally.refused);
                warn!("fleet: {from}: not adopted: {why} ({})", why.help());
            }
        }
    }
}
