//! The latest known incarnation of each broker, by name, with its protocol versions, its address token and its sequence
//! numbers.
//!
//! In a fleet without a key, the address that a request states proves nothing. Each broker therefore issues an *address
//! token* to each peer, in datagrams that are only sent to that peer's address, and expects the peer to echo the token
//! in its messages. A sender that echoes the token evidently receives the datagrams that are sent to that address. A
//! token belongs to one incarnation of its issuer, so an echoed token also shows that the message was not recorded
//! while an earlier incarnation of the issuer was running.

use crate::error::PeerError;
use crate::identity::PeerId;
use crate::messages::{Envelope, MessageHeader, MessageType};
use crate::replay::ReplayWindow;
use crate::version::VersionRange;
use std::collections::BTreeMap;

/// The state of the latest known incarnation of one broker.
struct Incarnation {
    /// Number of the incarnation.
    number: u64,
    /// Time at which the last message of the incarnation was received, in seconds on the core's clock.
    last_received_at: f64,
    /// The address token that the incarnation issued to this broker; 0 if there is none yet.
    issued_token: u64,
    /// Whether the incarnation has echoed the address token that this broker issued to it.
    has_echoed_token: bool,
    versions: PeerVersions,
    /// Sequence numbers of received datagrams. Datagrams and requests are numbered separately, since they may overtake
    /// each other.
    datagrams: ReplayWindow,
    /// Sequence numbers of received requests.
    requests: ReplayWindow,
}

/// The protocol versions that a peer supports.
#[derive(Clone, Copy)]
pub(crate) struct PeerVersions {
    pub range: VersionRange,
    /// Whether the peer stated the range itself. A message of version 1 cannot state a range.
    pub stated: bool,
}

impl Incarnation {
    fn new(number: u64, last_received_at: f64, range: VersionRange) -> Incarnation {
        Incarnation {
            number,
            last_received_at,
            issued_token: 0,
            has_echoed_token: false,
            versions: PeerVersions { range, stated: false },
            datagrams: ReplayWindow::default(),
            requests: ReplayWindow::default(),
        }
    }
}

/// The latest known incarnation of each broker, by name.
pub(crate) struct Incarnations {
    /// Secret from which this broker's address tokens are derived.
    token_secret: [u8; 32],
    /// Messages of a broker's earlier incarnations are rejected at least until this time has passed since the last
    /// message of its latest known incarnation. In seconds.
    retention_seconds: f64,
    /// Largest number of tracked names that are not configured.
    max_unconfigured_names: usize,
    by_name: BTreeMap<String, Incarnation>,
}

impl Incarnations {
    pub fn new(
        token_secret: [u8; 32],
        retention_seconds: f64,
        max_unconfigured_names: usize,
    ) -> Incarnations {
        Incarnations { token_secret, retention_seconds, max_unconfigured_names, by_name: BTreeMap::new() }
    }

    /// Returns the address token that this broker issues to `name`; it is never 0.
    pub fn token_for(&self, name: &str) -> u64 {
        let hash = blake3::keyed_hash(&self.token_secret, name.as_bytes());
        let bytes: [u8; 8] = hash.as_bytes()[..8].try_into().expect("a BLAKE3 hash has 32 bytes");
        u64::from_le_bytes(bytes).max(1)
    }

    /// Returns the address token that `name` issued to this broker; 0 if there is none.
    pub fn token_from(&self, name: &str) -> u64 {
        self.by_name.get(name).map_or(0, |latest| latest.issued_token)
    }

    /// Returns the protocol versions of the latest incarnation of `name`, if one is known.
    pub fn versions(&self, name: &str) -> Option<PeerVersions> {
        self.by_name.get(name).map(|latest| latest.versions)
    }

    /// Returns whether the incarnation `id` is the latest one of its name, and has echoed this broker's address token.
    pub fn has_echoed(&self, id: &PeerId) -> bool {
        self.by_name
            .get(&id.name)
            .is_some_and(|latest| latest.has_echoed_token && latest.number == id.incarnation)
    }

    /// Fails if a later incarnation than `id` is known under the same name: either it is a member that is not down
    /// (`active` is the member's incarnation, 0 if there is no such member), or it has sent a message recently. A later
    /// incarnation that is down does not exclude an earlier one forever: a broker whose data folder was restored may
    /// start with an earlier incarnation, and must be able to send requests.
    pub fn check_not_stale(&self, id: &PeerId, active: u64, now: f64) -> Result<(), PeerError> {
        let recent = self
            .by_name
            .get(&id.name)
            .filter(|latest| now - latest.last_received_at < self.retention_seconds);
        let known = active.max(recent.map_or(0, |latest| latest.number));
        if id.incarnation < known {
            let (name, incarnation) = (id.name.clone(), id.incarnation);
            return Err(PeerError::StaleIncarnation { name, incarnation, known });
        }
        Ok(())
    }

    /// Records that a message from the incarnation `id` was received. Fails if the name of `id` is not configured and
    /// too many names are tracked, so that names that are not configured cannot use up the room for configured ones.
    pub fn record_received(
        &mut self,
        id: &PeerId,
        configured: bool,
        envelope: &Envelope,
        now: f64,
    ) -> Result<(), PeerError> {
        if !self.by_name.contains_key(&id.name)
            && !configured
            && self.by_name.len() >= self.max_unconfigured_names
        {
            self.by_name.retain(|_, latest| now - latest.last_received_at < self.retention_seconds);
            if self.by_name.len() >= self.max_unconfigured_names {
                return Err(PeerError::TooManyMembers { limit: self.max_unconfigured_names });
            }
        }
        let new = || Incarnation::new(id.incarnation, now, envelope.supported);
        let latest = self.by_name.entry(id.name.clone()).or_insert_with(new);
        if latest.number != id.incarnation {
            *latest = new();
        }
        latest.last_received_at = now;
        // The versions of a broker do not change within an incarnation, so a range that it stated stays valid, even if
        // it later sends version 1 because it assumes that this broker is older.
        if envelope.version > 1 {
            latest.versions = PeerVersions { range: envelope.supported, stated: true };
        }
        Ok(())
    }

    /// Records the sequence number of a message that [`Incarnations::record_received`] accepted. Returns `false` if the
    /// message was received before, or if its sequence number is too low to be checked.
    pub fn record_sequence(&mut self, header: &MessageHeader, sequence: u64) -> bool {
        let Some(latest) = self.by_name.get_mut(&header.from.name) else { return true };
        // Each start of a broker issues another token. Another token under the same incarnation therefore means that
        // the sender was restarted with a restored data folder, so that it uses the incarnation again, and that its
        // sequence numbers start over.
        let issued = header.issued_token;
        if issued != 0 && latest.issued_token != 0 && issued != latest.issued_token {
            (latest.datagrams, latest.requests) = Default::default();
        }
        match header.message_type {
            MessageType::Request { .. } => latest.requests.insert(sequence),
            _ => latest.datagrams.insert(sequence),
        }
    }

    /// Stores the address tokens of a message that [`Incarnations::record_received`] accepted.
    pub fn record_tokens(&mut self, name: &str, issued: u64, echoed: u64) {
        let own_token = self.token_for(name);
        if let Some(latest) = self.by_name.get_mut(name) {
            if issued != 0 {
                latest.issued_token = issued;
            }
            latest.has_echoed_token |= echoed == own_token;
        }
    }
}
