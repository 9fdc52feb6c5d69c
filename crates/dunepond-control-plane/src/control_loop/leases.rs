//! Leases: this broker's lease requests and their replies, and the lease requests that its voter handles.

use dunepond_consensus::{LeaseReply, LeaseRequest, Rejection};
use dunepond_membership::{RefusalReason, RequestKind, Responder};
use tracing::{debug, info, warn};

use super::ControlLoop;
use super::messages::{PendingRequest, SentRequest};
use crate::clock::monotonic_seconds;
use crate::handle::increment;

impl ControlLoop {
    /// Sends a lease request if one is due.
    pub(super) fn request_lease(&mut self) {
        let now = monotonic_seconds();
        let Some((voter, request)) = self.lease_client.tick(now) else { return };
        if voter == self.name {
            return self.pass_to_own_voter(request);
        }
        let body = request.encode();
        let sent = SentRequest::Lease { voter: voter.clone() };
        if !self.send_request(&voter, RequestKind::Lease, body, self.lease_seconds, sent) {
            self.lease_client.request_failed(now, &voter);
        }
    }

    /// Passes a lease request, of this broker or of a peer, to this broker's voter.
    fn pass_to_own_voter(&mut self, request: LeaseRequest) {
        if self.is_voter_silent() {
            return;
        }
        let from = request.broker.clone();
        if let Some(voter) = &mut self.voter {
            let effects = voter.handle_lease_request(monotonic_seconds(), &from, request);
            self.execute(effects);
        }
    }

    /// Handles a peer's lease request to this broker's voter.
    pub(super) fn handle_lease_request(&mut self, from: String, body: &[u8], responder: Responder) {
        let Some(request) = LeaseRequest::decode(body) else {
            return self.peers.respond(responder, Err(RefusalReason::Malformed));
        };
        if request.broker != from {
            let name = request.broker;
            return self.peers.respond(responder, Err(RefusalReason::UnverifiedSender { name }));
        }
        if self.voter.is_none() {
            let reason = RefusalReason::Declined("not a voter".to_string());
            return self.peers.respond(responder, Err(reason));
        }
        let expires_at = monotonic_seconds() + self.lease_seconds;
        let pending = PendingRequest { responder, expires_at };
        self.state.messages.pending.insert((from, request.id), pending);
        self.pass_to_own_voter(request);
    }

    /// Delivers a lease reply of this broker's voter: to this broker itself, as the response to a peer's pending
    /// request, or as a new message to a broker that sent its request to another voter.
    pub(super) fn send_lease_reply(&mut self, broker: String, reply: LeaseReply) {
        if broker == self.name {
            return self.apply_lease_reply(&broker, reply);
        }
        let body = reply.encode();
        if let Some(pending) = self.state.messages.pending.remove(&(broker.clone(), reply.id)) {
            return self.peers.respond(pending.responder, Ok(body));
        }
        self.send_request(
            &broker,
            RequestKind::LeaseReply,
            body,
            self.lease_seconds,
            SentRequest::PushedLease,
        );
    }

    /// Handles the response to a lease request; `body` is `None` if the request failed.
    pub(super) fn on_lease_reply(&mut self, voter: &str, body: Option<Vec<u8>>) {
        match body.and_then(|body| LeaseReply::decode(&body)) {
            Some(reply) => self.apply_lease_reply(voter, reply),
            None => self.lease_client.request_failed(monotonic_seconds(), voter),
        }
    }

    /// Handles a lease reply that arrives as a message of its own. The leader sends such a message if this broker sent
    /// its lease request to another voter, which forwarded the request to the leader.
    pub(super) fn on_pushed_reply(&mut self, from: &str, body: &[u8]) {
        // Only voters may send lease replies.
        if !self.lease_client.voters().iter().any(|voter| voter == from) {
            return warn!("fleet: lease reply from {from} ignored: it is not a voter");
        }
        if let Some(reply) = LeaseReply::decode(body) {
            self.apply_lease_reply(from, reply);
        }
    }

    /// Passes a lease reply to the lease client, and then applies the new lease or logs why the reply was rejected.
    fn apply_lease_reply(&mut self, from: &str, reply: LeaseReply) {
        match self.lease_client.handle_reply(monotonic_seconds(), from, reply) {
            Ok(()) => {
                self.log_leader();
                self.on_lease();
                self.apply_leased_entries();
            }
            // Expected now and then: a duplicate or late reply, or a voter that knows no leader.
            Err(
                why @ (Rejection::UnexpectedReply(_)
                | Rejection::NoLeader
                | Rejection::NotAVoter(_)
                | Rejection::StaleReply { .. }),
            ) => {
                debug!("fleet: lease reply from {from}: {why}");
            }
            Err(why @ Rejection::MissingDocument(_)) => {
                info!("fleet: lease reply from {from}: {why} ({})", why.help())
            }
            Err(why) => {
                increment(&self.counters.refused);
                warn!("fleet: lease reply from {from} rejected: {why} ({})", why.help());
            }
        }
    }

    /// Logs the leader that this broker knows from its leases, if that leader has changed.
    fn log_leader(&mut self) {
        let leader = self.lease_client.leader().map(str::to_string);
        if leader != self.state.leader {
            info!("fleet: led by {}", leader.as_deref().unwrap_or("nobody"));
            self.state.leader = leader;
        }
    }
}
