//! Processing of received datagrams: each is decoded, verified, rate-limited, filtered, and passed to the gossip
//! library.

use super::{Actions, Core};
use crate::codec::decode;
use crate::error::PeerError;
use crate::gossip::GossipMessage;
use crate::identity::PeerId;
use crate::messages::MessageType;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Largest number of refusals that are sent by datagram per second, over all peers.
const MAX_REFUSALS_PER_SECOND: u32 = 10;

/// The payload of a datagram after filtering.
struct FilteredGossip {
    payload: Vec<u8>,
    /// Why the last update that was dropped was rejected; `None` if no update was rejected.
    error: Option<PeerError>,
}

impl Core {
    /// Processes a datagram that was received from `source`.
    pub fn on_datagram(&mut self, now: f64, source: SocketAddr, bytes: &[u8]) -> Actions {
        self.advance_clock(now);
        let mut actions = Actions::default();
        if let Err(error) = self.process_datagram(source, bytes, &mut actions) {
            self.refuse_datagram(source, &error, bytes, &mut actions);
            actions.error = Some(error);
        }
        // Members are compared only if the gossip library has processed a message. Nearly all datagrams of a flood are
        // rejected before that, and comparing all members for each of them would multiply the cost of the flood.
        if self.members_stale {
            self.collect_actions(&mut actions, None);
        }
        actions
    }

    /// Decodes and verifies a datagram, and processes it according to its type.
    fn process_datagram(
        &mut self,
        source: SocketAddr,
        bytes: &[u8],
        actions: &mut Actions,
    ) -> Result<(), PeerError> {
        let from = source.to_string();
        let malformed = || PeerError::Malformed { from: source.to_string() };
        let max_bytes = self.limits.max_datagram_bytes;
        if bytes.len() > max_bytes {
            let to = self.local_id().name.clone();
            return Err(PeerError::TooLarge { to, bytes: bytes.len(), max_bytes });
        }
        let message = decode(bytes, &self.authenticator, &from, self.supported_versions())?;
        self.verify_membership_sender(&message.header, source)?;
        self.check_not_replayed(&message.envelope, &message.header, bytes.len(), actions)?;
        let (header, payload) = (message.header, message.payload);
        let name = &header.from.name;
        let per_second = self.limits.max_datagrams_per_second;
        if !self.datagram_limiter.admit(name, per_second, self.now) {
            return Err(PeerError::RateLimited { name: name.clone(), per_second });
        }
        match header.message_type {
            MessageType::Gossip => {
                self.incarnations.record_tokens(name, header.issued_token, header.echoed_token);
                self.process_gossip(&header.from, payload, &from)
            }
            MessageType::Hello => {
                self.incarnations.record_tokens(name, header.issued_token, header.echoed_token);
                self.resend_gossip(name, actions);
                Ok(())
            }
            MessageType::Refusal { .. } => {
                let reason = postcard::from_bytes(payload).map_err(|_| malformed())?;
                Err(PeerError::Refused { to: header.from.name, reason })
            }
            MessageType::Request { .. } | MessageType::Response { .. } => Err(malformed()),
        }
    }

    /// Filters one message of a verified sender and passes it to the gossip library. The error states what was
    /// rejected, which may be only a part of the message.
    pub(super) fn process_gossip(
        &mut self,
        sender: &PeerId,
        payload: &[u8],
        from: &str,
    ) -> Result<(), PeerError> {
        let filtered = self.filter_gossip(sender, payload, from)?;
        self.members_stale = true;
        let handled = self.foca.handle_data(&filtered.payload, &mut self.runtime);
        handled.map_err(|error| PeerError::Gossip { from: from.into(), reason: error.to_string() })?;
        filtered.error.map_or(Ok(()), Err)
    }

    /// Drops the updates about third parties that the sender policy does not accept. Fails if the whole message must be
    /// rejected.
    fn filter_gossip(
        &self,
        sender: &PeerId,
        payload: &[u8],
        from: &str,
    ) -> Result<FilteredGossip, PeerError> {
        let mut gossip = GossipMessage::decode(payload, from)?;
        let source = &gossip.header.src;
        if source != sender {
            return Err(PeerError::UnverifiedSender { from: from.into(), name: source.name.clone() });
        }
        self.check_member_limit(sender, &gossip)?;
        let mut error = None;
        gossip.retain_updates(|id| {
            let active = self.active_member(&id.name);
            match self.sender_policy.accepts_update(id, active, self.local_id(), from) {
                Ok(accepted) => accepted,
                Err(rejected) => {
                    error = Some(rejected);
                    false
                }
            }
        });
        Ok(FilteredGossip { payload: gossip.encode(), error })
    }

    /// Limits the number of members that are not configured, so that they cannot use up the room for configured peers.
    /// Fails if the message would exceed the limit.
    fn check_member_limit(&self, sender: &PeerId, gossip: &GossipMessage<'_>) -> Result<(), PeerError> {
        let is_unknown = |name: &str| name != self.local_id().name && !self.is_configured(name);
        let is_new = |id: &&PeerId| is_unknown(&id.name) && !self.members.contains_key(&id.name);
        let new: BTreeSet<&String> =
            [sender].into_iter().chain(gossip.subjects()).filter(is_new).map(|id| &id.name).collect();
        if new.is_empty() {
            return Ok(());
        }
        let unknown = self.members.keys().filter(|name| is_unknown(name)).count();
        let limit = self.limits.max_members;
        if unknown + new.len() > limit { Err(PeerError::TooManyMembers { limit }) } else { Ok(()) }
    }

    /// Sends a refusal, which states why a datagram was rejected, if the datagram came from the configured address of a
    /// peer. Other sources get no refusal, since their address may be forged.
    fn refuse_datagram(
        &mut self,
        source: SocketAddr,
        error: &PeerError,
        received: &[u8],
        actions: &mut Actions,
    ) {
        // Three kinds of datagram get no refusal: a refusal; a datagram without the address token, which is answered
        // with a hello; and a replayed datagram, since the sender that it states is not the one who sent it now.
        let unanswered = matches!(
            error,
            PeerError::Refused { .. } | PeerError::InvalidToken { .. } | PeerError::Replayed { .. }
        );
        if unanswered {
            return;
        }
        let known_peers = &self.sender_policy.known_peers;
        let Some((name, address)) = known_peers.iter().find(|(_, address)| **address == source) else {
            return;
        };
        let Some(reason) = error.refusal(&self.local_id().name) else { return };
        let header = self.header_for(name, MessageType::Refusal { id: 0 });
        let (address, version) = (*address, self.response_version(received));
        let payload = postcard::to_stdvec(&reason.for_version(version)).unwrap_or_default();
        let bytes = self.encode(version, &header, &payload);
        // A refusal must be shorter than the refused datagram. Otherwise two brokers could refuse each other's refusals
        // forever.
        let fits = bytes.len() < received.len();
        if fits && self.refusal_limiter.admit("", MAX_REFUSALS_PER_SECOND, self.now) {
            actions.datagrams.push((address, bytes));
        }
    }
}
