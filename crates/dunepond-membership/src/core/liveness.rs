//! Liveness checks over the request channel. If a flood of datagrams fills a member's socket, legitimate datagrams are
//! dropped, and the member would be declared down although it is alive. A configured peer that is suspected to be down
//! is therefore also asked over a connection before the suspicion times out. The request states the suspicion. The peer
//! responds as it would by datagram, with a higher incarnation number of the gossip library, which is the only way to
//! refute a suspicion. Request and response consist of messages of the gossip library, so a liveness check cannot
//! contain anything that a datagram could not.

use super::{Actions, Core};
use crate::error::PeerError;
use crate::identity::{PeerId, PeerState};
use crate::messages::{Message, MessageHeader};
use crate::request_kind::RequestKind;
use foca::{Codec, Header, Member, Message as GossipKind, PostcardCodec, State};
use rand::RngExt;
use std::net::SocketAddr;

/// Fraction of the suspicion timeout within which the first check is sent, at a random time. If all members sent their
/// checks at once, they would overload the suspected member. At random times, the checks that are still to be sent
/// become unnecessary once the response to a single check has reached all members by gossip.
const FIRST_CHECK_RATIO: f64 = 0.5;
/// Timeout of one check, as a fraction of the suspicion timeout. The next check is sent this long after the previous
/// one ended.
const CHECK_TIMEOUT_RATIO: f64 = 0.25;
/// Largest number of gossip messages in one liveness check or its response.
const MAX_MESSAGES: usize = 8;

/// A liveness check to carry out.
#[derive(Clone, Debug, PartialEq)]
pub struct LivenessCheck {
    /// Name of the suspected member.
    pub to: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Timeout of the check, in seconds.
    pub timeout_seconds: f64,
}

/// A liveness check that is scheduled or in flight.
pub(super) struct PendingCheck {
    /// Time at which the check is sent, in seconds on the core's clock.
    due: f64,
    in_flight: bool,
}

impl Core {
    /// Returns the liveness checks that are due. For each of them, [`Core::on_liveness_result`] must be called once.
    pub fn due_liveness_checks(&mut self) -> Vec<LivenessCheck> {
        let now = self.now;
        let mut names = Vec::new();
        for (name, check) in &mut self.liveness_checks {
            if !check.in_flight && check.due <= now {
                check.in_flight = true;
                names.push(name.clone());
            }
        }
        let timeout_seconds = CHECK_TIMEOUT_RATIO * self.timing.suspicion_timeout_seconds;
        let check =
            |to: String| self.liveness_request(&to).map(|body| LivenessCheck { to, body, timeout_seconds });
        names.into_iter().filter_map(check).collect()
    }

    /// Processes a peer's liveness check that [`Core::authenticate_request`] accepted. Returns the response's body, and
    /// actions to carry out. Unlike other requests, a liveness check changes the membership, so in a fleet without a
    /// key every sender must echo this broker's address token.
    pub fn answer_liveness_check(
        &mut self,
        header: &MessageHeader,
        body: &[u8],
    ) -> Result<(Vec<u8>, Actions), PeerError> {
        let from = &header.from;
        let echoes_token = header.echoed_token == self.incarnations.token_for(&from.name);
        if !self.sender_policy.has_key && !echoes_token {
            let (from, name) = (from.listen_address.to_string(), from.name.clone());
            return Err(PeerError::UnverifiedSender { from, name });
        }
        let mut actions = Actions::default();
        let processed = self.process_messages(from, body);
        let responses = self.collect_actions(&mut actions, Some(&from.name));
        processed?;
        let body = postcard::to_stdvec(&responses[..responses.len().min(MAX_MESSAGES)]);
        Ok((body.expect("encoding to memory cannot fail"), actions))
    }

    /// Processes the outcome of a liveness check: the response of `to` from `address`, or `None` if there was none.
    pub fn on_liveness_result(
        &mut self,
        now: f64,
        to: &str,
        address: SocketAddr,
        response: Option<&Message<'_>>,
    ) -> Actions {
        self.advance_clock(now);
        let mut actions = Actions::default();
        if let Some(check) = self.liveness_checks.get_mut(to) {
            check.in_flight = false;
            check.due = self.now + CHECK_TIMEOUT_RATIO * self.timing.suspicion_timeout_seconds;
        }
        if let Some(response) = response {
            actions.error = self.process_liveness_response(address, response).err();
        }
        self.collect_actions(&mut actions, None);
        actions
    }

    /// Verifies the response to a liveness check, and passes its messages to the gossip library.
    fn process_liveness_response(
        &mut self,
        address: SocketAddr,
        response: &Message<'_>,
    ) -> Result<(), PeerError> {
        self.verify_membership_sender(&response.header, address)?;
        self.record_received(&response.envelope, &response.header)?;
        self.process_messages(&response.header.from, response.payload)
    }

    /// Schedules liveness checks of suspected configured peers, and cancels those of peers that are no longer
    /// suspected.
    pub(super) fn update_liveness_checks(&mut self) {
        let mut suspected = Vec::new();
        for member in self.members.values().filter(|member| member.state == PeerState::Suspected) {
            let name = &member.id.name;
            let supports_checks = self.version_for(name) >= RequestKind::LivenessCheck.min_version();
            if supports_checks && self.is_configured(name) {
                suspected.push(name.clone());
            }
        }
        self.liveness_checks.retain(|name, _| suspected.contains(name));
        for name in suspected {
            if !self.liveness_checks.contains_key(&name) {
                let delay =
                    self.rng.random_range(0.0..FIRST_CHECK_RATIO) * self.timing.suspicion_timeout_seconds;
                self.liveness_checks.insert(name, PendingCheck { due: self.now + delay, in_flight: false });
            }
        }
    }

    /// Returns the time at which the next liveness check is sent, in seconds on the core's clock; infinity if none is
    /// scheduled.
    pub(super) fn next_liveness_check_at(&self) -> f64 {
        let waiting = self.liveness_checks.values().filter(|check| !check.in_flight);
        waiting.map(|check| check.due).fold(f64::INFINITY, f64::min)
    }

    /// Encodes the body of a liveness check: two messages of the gossip library. The first is a ping that states the
    /// suspicion, so that the member refutes it. The second is an announcement, which the member answers even if it has
    /// rejoined with a renewed identity since. Returns `None` if `to` is not a member.
    fn liveness_request(&self, to: &str) -> Option<Vec<u8>> {
        let member = self.foca.iter_membership_state().find(|member| member.id().name == to)?;
        let dst = member.id();
        let header =
            |message| Header { src: self.local_id().clone(), src_incarnation: 0, dst: dst.clone(), message };
        let mut codec = PostcardCodec;
        let mut ping = Vec::new();
        codec.encode_header(&header(GossipKind::Ping(0)), &mut ping).ok()?;
        let update_count = 1u16;
        ping.extend_from_slice(&update_count.to_be_bytes());
        let suspicion = Member::new(dst.clone(), member.incarnation(), State::Suspect);
        codec.encode_member(&suspicion, &mut ping).ok()?;
        let mut announcement = Vec::new();
        codec.encode_header(&header(GossipKind::Announce), &mut announcement).ok()?;
        postcard::to_stdvec(&vec![ping, announcement]).ok()
    }

    /// Passes the messages in the body of a liveness check, or of its response, to the gossip library.
    fn process_messages(&mut self, sender: &PeerId, body: &[u8]) -> Result<(), PeerError> {
        let from = sender.listen_address.to_string();
        let malformed = || PeerError::Malformed { from: from.clone() };
        let messages: Vec<&[u8]> = postcard::from_bytes(body).map_err(|_| malformed())?;
        let max_bytes = self.limits.max_datagram_bytes;
        if messages.len() > MAX_MESSAGES || messages.iter().any(|message| message.len() > max_bytes) {
            return Err(malformed());
        }
        messages.into_iter().try_for_each(|message| self.process_gossip(sender, message, &from))
    }
}
