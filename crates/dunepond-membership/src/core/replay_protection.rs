//! Replay protection. Someone may record a message and deliver it again an hour later, to the same incarnation of the
//! receiver or to its next one, when the sender has long been down.
//!
//! From version 2 on, each datagram therefore echoes the address token that the receiver's current incarnation issued
//! to the sender, and contains a sequence number that the receiver accepts only once. A message that was recorded for
//! an earlier incarnation of the receiver does not contain the current token. A datagram without the current token is
//! ignored, and its sender receives the token in a hello, which echoes the sender's own token. If the fleet has a key,
//! requests must meet the same conditions. Without a key, only requests from members that have echoed the token before
//! must meet them.

use super::{Actions, Core};
use crate::error::PeerError;
use crate::messages::{Envelope, MessageHeader, MessageType};
use crate::sender_auth::Transport;
use crate::version::FIRST_VERSION_WITH_RANGE;
use std::net::SocketAddr;

/// Largest number of hellos (datagrams that contain this broker's address token) that are sent per second in answer to
/// datagrams; each configured peer is counted separately, and all other senders are counted together.
const MAX_HELLOS_PER_SECOND: u32 = 20;
/// Largest age of gossip that is sent again because it lacked the receiver's address token, in seconds since it was
/// first sent.
const RESEND_WINDOW_SECONDS: f64 = 1.0;

/// Gossip that was sent without the receiver's address token.
pub(super) struct SentGossip {
    /// Time at which the gossip was sent, in seconds on the core's clock.
    sent_at: f64,
    payload: Vec<u8>,
}

/// Returns whether a message has a version in which datagrams must echo the receiver's address token.
fn requires_token(envelope: &Envelope) -> bool {
    envelope.version >= FIRST_VERSION_WITH_RANGE
}

impl Core {
    /// Checks a request that came over a connection from `source`: that its sender is verified, that it is not a
    /// replay, and that the sender does not exceed the limit on requests per second.
    pub fn authenticate_request(
        &mut self,
        now: f64,
        envelope: &Envelope,
        header: &MessageHeader,
        source: SocketAddr,
    ) -> Result<(), PeerError> {
        self.advance_clock(now);
        let from = &header.from;
        let member = self.active_member(&from.name);
        self.sender_policy.verify_sender(from, source, Transport::Connection, member)?;
        let active = member.map_or(0, |member| member.incarnation);
        self.incarnations.check_not_stale(from, active, self.now)?;
        let has_key = self.sender_policy.has_key;
        let needs_token = requires_token(envelope);
        let echoes_token = header.echoed_token == self.incarnations.token_for(&from.name);
        if has_key && needs_token && !echoes_token {
            return Err(PeerError::InvalidToken { name: from.name.clone() });
        }
        if !has_key && !self.may_request_without_key(header, needs_token, echoes_token) {
            return Err(PeerError::UnverifiedSender { from: source.to_string(), name: from.name.clone() });
        }
        if has_key || needs_token && echoes_token {
            self.record_received(envelope, header)?;
        }
        if needs_token && echoes_token && !self.incarnations.record_sequence(header, envelope.sequence) {
            return Err(PeerError::Replayed { name: from.name.clone() });
        }
        let per_second = self.limits.max_requests_per_second;
        if !self.request_limiter.admit(&from.name, per_second, self.now) {
            return Err(PeerError::RateLimited { name: from.name.clone(), per_second });
        }
        Ok(())
    }

    /// Returns whether a request is accepted in a fleet without a key. A request in the name of a member must state the
    /// incarnation that is the member, since the address of that incarnation was verified. Once the member has echoed
    /// the token that was sent to its address, its requests must echo the token too. A sender that is not a member
    /// cannot be checked in this way, but its requests do not change the membership.
    fn may_request_without_key(&self, header: &MessageHeader, needs_token: bool, echoes_token: bool) -> bool {
        let from = &header.from;
        let is_that_member = self.active_member(&from.name).is_none_or(|member| {
            member.incarnation == from.incarnation && (echoes_token || !self.incarnations.has_echoed(from))
        });
        // A token that is not the current one was issued by an earlier incarnation of this broker.
        let echoes_earlier_token = needs_token && header.echoed_token != 0 && !echoes_token;
        is_that_member && !echoes_earlier_token
    }

    /// Returns the address token that a refusal to `name` over a connection contains. Without a key the token is 0,
    /// since a connection does not prove that its peer receives messages at the address of `name`.
    pub fn token_in_refusal(&self, name: &str) -> u64 {
        if self.sender_policy.has_key { self.incarnations.token_for(name) } else { 0 }
    }

    /// Processes a refusal that was received over a connection to `address`: stores the address token that it contains.
    /// In a fleet without a key, the token is ignored.
    pub fn on_token_refusal(&mut self, envelope: &Envelope, header: &MessageHeader, address: SocketAddr) {
        if self.sender_policy.has_key
            && self.verify_membership_sender(header, address).is_ok()
            && self.record_received(envelope, header).is_ok()
        {
            self.incarnations.record_tokens(&header.from.name, header.issued_token, 0);
        }
    }

    /// Checks that a message from `source` may change the membership, and is addressed to this broker. Changes no
    /// state.
    pub(super) fn verify_membership_sender(
        &self,
        header: &MessageHeader,
        source: SocketAddr,
    ) -> Result<(), PeerError> {
        let member = self.active_member(&header.from.name);
        self.sender_policy.verify_sender(&header.from, source, Transport::Datagram, member)?;
        if header.to != self.local_id().name {
            return Err(PeerError::WrongRecipient { to: header.to.clone() });
        }
        let active = member.map_or(0, |member| member.incarnation);
        self.incarnations.check_not_stale(&header.from, active, self.now)
    }

    /// Records a received message: its sender's incarnation, the protocol versions that it states, and the current
    /// time. Fails if too many names that are not configured are tracked.
    pub(super) fn record_received(
        &mut self,
        envelope: &Envelope,
        header: &MessageHeader,
    ) -> Result<(), PeerError> {
        let configured = self.is_configured(&header.from.name);
        self.incarnations.record_received(&header.from, configured, envelope, self.now)
    }

    /// Checks that a datagram, from protocol version 2 on, echoes the address token of this broker's current
    /// incarnation and is not a replay. A sender that does not echo the token receives the token in a hello. For any
    /// other sender, the receipt of the message is recorded.
    pub(super) fn check_not_replayed(
        &mut self,
        envelope: &Envelope,
        header: &MessageHeader,
        received_bytes: usize,
        actions: &mut Actions,
    ) -> Result<(), PeerError> {
        let name = &header.from.name;
        let needs_token = requires_token(envelope);
        if needs_token && header.echoed_token != self.incarnations.token_for(name) {
            self.send_hello(envelope, header, received_bytes, actions);
            return Err(PeerError::InvalidToken { name: name.clone() });
        }
        self.record_received(envelope, header)?;
        if needs_token && !self.incarnations.record_sequence(header, envelope.sequence) {
            return Err(PeerError::Replayed { name: name.clone() });
        }
        Ok(())
    }

    /// Sends this broker's address token to the sender of a datagram that lacks it, within the rate limit.
    fn send_hello(
        &mut self,
        envelope: &Envelope,
        header: &MessageHeader,
        received_bytes: usize,
        actions: &mut Actions,
    ) {
        let name = &header.from.name;
        let configured = self.sender_policy.known_peers.get(name).copied();
        let hello =
            MessageHeader { echoed_token: header.issued_token, ..self.header_for(name, MessageType::Hello) };
        let limiter_key = if configured.is_some() { name.as_str() } else { "" };
        if !self.hello_limiter.admit(limiter_key, MAX_HELLOS_PER_SECOND, self.now) {
            return;
        }
        let bytes = self.encode(envelope.version, &hello, &[]);
        // The hello is never larger than the datagram: otherwise a datagram with a forged source address would cause
        // more traffic to that address than it takes to send.
        if bytes.len() <= received_bytes {
            actions.datagrams.push((configured.unwrap_or(header.from.listen_address), bytes));
        }
    }

    /// Stores gossip that was sent without the receiver's address token, so that it can be sent again with the token.
    pub(super) fn keep_for_resend(&mut self, name: String, payload: &[u8]) {
        let kept = &mut self.gossip_without_token;
        if kept.len() < self.limits.max_members || kept.contains_key(&name) {
            kept.insert(name, SentGossip { sent_at: self.now, payload: payload.to_vec() });
        }
    }

    /// Sends the stored gossip to `name` again, with the address token that `name` has issued in the meantime.
    pub(super) fn resend_gossip(&mut self, name: &str, actions: &mut Actions) {
        let Some(sent) = self.gossip_without_token.remove(name) else { return };
        if self.now - sent.sent_at >= RESEND_WINDOW_SECONDS {
            return;
        }
        let Some(address) = self.address(name) else { return };
        let header = self.header_for(name, MessageType::Gossip);
        let bytes = self.encode(self.version_for(name), &header, &sent.payload);
        actions.datagrams.push((address, bytes));
    }
}
