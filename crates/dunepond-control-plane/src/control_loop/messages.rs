//! Dispatch of messages between brokers: a peer's request goes to the handler of its kind, and a response to the
//! handler of the request that it answers.

use std::collections::HashMap;

use dunepond_membership::{Event, PeerError, RefusalReason, RequestKind, Responder};
use tracing::{debug, info};

use super::ControlLoop;

/// The kind of a request that this broker sent, which determines how its response is handled.
pub(super) enum SentRequest {
    /// A message from this broker's voter to another voter.
    Consensus,
    /// A lease reply, sent as a request to a broker that sent its lease request to another voter.
    PushedLease,
    /// A lease request to this voter.
    Lease { voter: String },
    /// An operator's document, proposed to this voter.
    Proposal { voter: String },
    /// A rebalancing plan offered to this voter.
    Plan { voter: String },
    /// This broker's traffic counts. The response contains the peer's traffic counts.
    Counts,
    /// Settlement entries for the leader.
    SettlementEntries,
}

/// A peer's lease request that has no response yet.
pub(super) struct PendingRequest {
    /// Handle through which the response is sent.
    pub(super) responder: Responder,
    /// When the request is dropped, in seconds on the monotonic clock. The peer has sent a new one by then.
    pub(super) expires_at: f64,
}

/// Requests in both directions that have no response yet.
#[derive(Default)]
pub(super) struct MessageState {
    /// Requests that this broker sent, by the id of the request.
    sent: HashMap<u64, SentRequest>,
    /// Lease requests from peers, by the name of the broker that sent the request and the id of the request.
    pub(super) pending: HashMap<(String, u64), PendingRequest>,
}

impl ControlLoop {
    /// Sends a request. Returns false if it could not be queued.
    pub(super) fn send_request(
        &mut self,
        to: &str,
        kind: RequestKind,
        body: Vec<u8>,
        timeout_seconds: f64,
        request: SentRequest,
    ) -> bool {
        match self.peers.request(to, kind, body, timeout_seconds) {
            Ok(id) => {
                self.state.messages.sent.insert(id, request);
                true
            }
            Err(e) => {
                debug!("fleet: {e}");
                false
            }
        }
    }

    /// Drops expired lease requests of peers: the peers have sent new ones by now.
    pub(super) fn drop_expired_requests(&mut self, now: f64) {
        self.state.messages.pending.retain(|_, request| now < request.expires_at);
    }

    /// Handles one event from the links to other brokers.
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Request { from, kind, body, responder } => {
                self.handle_request(from, kind, &body, responder);
            }
            Event::Response { id, to, result } => self.handle_response(id, &to, result),
            Event::PeerUp(peer) => info!("fleet: {} is up, at {}", peer.name, peer.listen_address),
            Event::PeerSuspected(name) => info!("fleet: {name} is suspected to be down"),
            Event::PeerDown(name) => info!("fleet: {name} is down"),
        }
    }

    fn handle_response(&mut self, id: u64, from: &str, result: Result<Vec<u8>, PeerError>) {
        let Some(request) = self.state.messages.sent.remove(&id) else { return };
        if let Err(e) = &result {
            debug!("fleet: {e}");
        }
        let body = result.ok();
        match request {
            SentRequest::Consensus | SentRequest::PushedLease | SentRequest::SettlementEntries => {}
            SentRequest::Lease { voter } => self.on_lease_reply(&voter, body),
            SentRequest::Proposal { voter } => self.on_proposal_reply(&voter, body),
            SentRequest::Plan { voter } => self.on_offer_reply(&voter, body),
            SentRequest::Counts => {
                if let Some(body) = body {
                    self.merge_counts(from, &body);
                }
            }
        }
    }

    fn handle_request(&mut self, from: String, kind: RequestKind, body: &[u8], responder: Responder) {
        match kind {
            RequestKind::Raft => {
                self.peers.respond(responder, Ok(Vec::new()));
                self.handle_consensus_message(&from, body);
            }
            RequestKind::Lease => self.handle_lease_request(from, body, responder),
            RequestKind::LeaseReply => {
                self.peers.respond(responder, Ok(Vec::new()));
                self.on_pushed_reply(&from, body);
            }
            RequestKind::Propose => self.handle_proposal(&from, body, responder),
            RequestKind::RebalancePlan => self.handle_offer(&from, body, responder),
            RequestKind::TransferCounts => self.handle_counts(&from, body, responder),
            RequestKind::SettlementEntries => self.handle_entries(&from, body, responder),
            // Never received here: the membership crate responds to liveness checks itself.
            RequestKind::LivenessCheck => drop(responder),
        }
    }

    fn handle_counts(&mut self, from: &str, body: &[u8], responder: Responder) {
        self.merge_counts(from, body);
        // Counts must be stored before they are sent. Otherwise a peer could have higher counts of an ended incarnation
        // of this broker than this broker itself has after a restart.
        let message = if self.save_traffic() { self.traffic.message_to(from).ok() } else { None };
        self.peers.respond(responder, message.ok_or(RefusalReason::Busy));
    }
}
