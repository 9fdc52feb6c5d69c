//! Leases: asked for by this broker, and answered where it votes.

use dunepond_consensus::{LeaseReply, LeaseRequest, Rejection};
use dunepond_membership::{RefusalReason, RequestKind, Responder};
use tracing::{debug, info, warn};

use super::{ControlLoop, SentRequest, UnansweredRequest};
use crate::clock::monotonic_seconds;
use crate::handle::increment;

impl ControlLoop {
    pub(super) fn request_lease(&mut self) {
        let now = monotonic_seconds();
        let Some((voter, ask)) = self.member.tick(now) else { return };
        if voter == self.name {
            return self.ask_own_voter(ask);
        }
        let body = ask.encode();
        let asked = SentRequest::Lease { voter: voter.clone() };
        if !self.send_request(&voter, RequestKind::Lease, body, self.lease_seconds, asked) {
            self.member.request_failed(now, &voter);
        }
    }

    /// A lease request for this broker's voter, its own or a peer's.
    fn ask_own_voter(&mut self, ask: LeaseRequest) {
        if self.state.storage_failed_until.is_some() {
            return;
        }
        let from = ask.broker.clone();
        if let Some(voter) = &mut self.voter {
            let orders = voter.handle_lease_request(monotonic_seconds(), &from, ask);
            self.execute(orders);
        }
    }

    pub(super) fn handle_lease_request(&mut self, from: String, body: &[u8], token: Responder) {
        let Some(ask) = LeaseRequest::decode(body) else {
            return self.peers.respond(token, Err(RefusalReason::Malformed));
        };
        if ask.broker != from {
            let name = ask.broker;
            return self.peers.respond(token, Err(RefusalReason::UnverifiedSender { name }));
        }
        if self.voter.is_none() {
            return self.peers.respond(token, Err(RefusalReason::Declined("not a voter".to_string())));
        }
        let waiting = UnansweredRequest { token, until: monotonic_seconds() + self.lease_seconds };
        self.state.unanswered.insert((from, ask.id), waiting);
        self.ask_own_voter(ask);
    }

    /// Sends a reply of this broker's voter: to this broker itself, as the response to a peer's open request, or as a push to a
    /// broker that had asked another voter.
    pub(super) fn send_lease_reply(&mut self, broker: String, told: LeaseReply) {
        if broker == self.name {
            return self.adopt_reply(&broker, told);
        }
        let body = told.encode();
        match self.state.unanswered.remove(&(broker.clone(), told.id)) {
            Some(waiting) => self.peers.respond(waiting.token, Ok(body)),
            None => drop(self.send_request(
                &broker,
                RequestKind::State,
                body,
                self.lease_seconds,
                SentRequest::PushedLease,
            )),
        }
    }

    pub(super) fn on_lease_reply(&mut self, voter: &str, body: Option<Vec<u8>>) {
        match body.and_then(|body| LeaseReply::decode(&body)) {
            Some(told) => self.adopt_reply(voter, told),
            None => self.member.request_failed(monotonic_seconds(), voter),
        }
    }

    /// A reply pushed by the leader, to which another voter had forwarded this broker's request.
    pub(super) fn on_pushed_reply(&mut self, from: &str, body: &[u8]) {
        // Only voters may send one.
        if !self.member.voters().iter().any(|voter| voter == from) {
            return warn!("fleet: {from} is no voter, and tells what is agreed: not believed");
        }
        if let Some(told) = LeaseReply::decode(body) {
            self.adopt_reply(from, told);
        }
    }

    fn adopt_reply(&mut self, from: &str, told: LeaseReply) {
        match self.member.handle_reply(monotonic_seconds(), from, told) {
            Ok(()) => {
                let leader = self.member.leader().map(str::to_string);
                if leader != self.state.leader {
                    info!("fleet: led by {}", leader.as_deref().unwrap_or("nobody"));
                    self.state.leader = leader;
                }
                self.on_lease();
                self.apply_leased_entries();
            }
            // A second or late reply, or a voter without a leader: nothing to report.
            Err(
                why @ (Rejection::UnexpectedReply(_)
                | Rejection::NoLeader
                | Rejection::NotAVoter(_)
                | Rejection::StaleReply { .. }),
            ) => {
                debug!("fleet: {from}: {why}");
            }
            Err(why @ Rejection::MissingDocument(_)) => info!("fleet: {from}: {why} ({})", why.help()),
            Err(why) => {
                increment(&self.counters.refused);
                warn!("fleet: {from}: not adopted: {why} ({})", why.help());
            }
        }
    }
}
