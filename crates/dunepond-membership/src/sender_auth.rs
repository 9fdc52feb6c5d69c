//! Verification of senders. With the fleet's key, the authentication code shows that the sender holds the key. Without
//! a key, a message must come from the address that its sender states, and the stated address of a sender with a
//! configured name must be the configured one. This check relies on the operating system: on one machine, no process
//! can send from a UDP port that another process has bound.

use crate::error::PeerError;
use crate::identity::PeerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Largest length of a broker's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The transport over which a message arrived. A datagram is sent from the port on which its sender listens, while a
/// connection may be opened from any port.
#[derive(Clone, Copy, Debug)]
pub enum Transport {
    /// A UDP datagram.
    Datagram,
    /// A TCP connection.
    Connection,
}

/// Policy that decides which senders, and which updates about third parties, are accepted.
pub struct SenderPolicy {
    pub(crate) local_name: String,
    pub(crate) has_key: bool,
    /// Addresses of the configured peers, by name, without this broker.
    pub(crate) known_peers: BTreeMap<String, SocketAddr>,
}

/// Returns whether a broker's name has a length and characters that the protocol allows.
pub(crate) fn is_valid_name(name: &str) -> bool {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.:".contains(character);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

impl SenderPolicy {
    /// Creates the policy for a fleet with or without a key. Invalid names, and two addresses for one configured name,
    /// are errors.
    pub fn new(
        local_name: &str,
        has_key: bool,
        known_peers: &[(String, SocketAddr)],
    ) -> Result<SenderPolicy, PeerError> {
        for name in known_peers.iter().map(|(name, _)| name.as_str()).chain([local_name]) {
            if !is_valid_name(name) {
                return Err(PeerError::InvalidName { name: name.into(), max_bytes: MAX_NAME_BYTES });
            }
        }
        let mut addresses = BTreeMap::new();
        for (name, address) in known_peers.iter().filter(|(name, _)| name != local_name) {
            if let Some(first) = addresses.insert(name.clone(), *address).filter(|first| first != address) {
                return Err(PeerError::ConflictingAddresses { name: name.clone(), first, second: *address });
            }
        }
        Ok(SenderPolicy { local_name: local_name.into(), has_key, known_peers: addresses })
    }

    /// Verifies the sender of an authenticated message from `source`. `active_member` is the member with the name in
    /// `id`, unless there is none or it is down.
    pub fn verify_sender(
        &self,
        id: &PeerId,
        source: SocketAddr,
        transport: Transport,
        active_member: Option<&PeerId>,
    ) -> Result<(), PeerError> {
        let unverified = || PeerError::UnverifiedSender { from: source.to_string(), name: id.name.clone() };
        if !is_valid_name(&id.name) {
            return Err(PeerError::Malformed { from: source.to_string() });
        }
        if id.name == self.local_name {
            return Err(unverified());
        }
        if self.has_key {
            return Ok(());
        }
        let source_matches = match transport {
            Transport::Datagram => source == id.listen_address,
            Transport::Connection => source.ip() == id.listen_address.ip(),
        };
        if source_matches && self.is_expected_address(id, active_member) { Ok(()) } else { Err(unverified()) }
    }

    /// Decides on a gossip update about a third party: `Ok(true)` accepts it, `Ok(false)` ignores it, and an error
    /// rejects it. Without a key, an update about a member must state the identity under which that member has itself
    /// sent messages from its own address; otherwise any member could declare another member down under a greater
    /// incarnation.
    pub fn accepts_update(
        &self,
        about: &PeerId,
        active_member: Option<&PeerId>,
        local_id: &PeerId,
        from: &str,
    ) -> Result<bool, PeerError> {
        if !is_valid_name(&about.name) {
            return Err(PeerError::Malformed { from: from.into() });
        }
        if self.has_key {
            return Ok(true);
        }
        if about.name == local_id.name {
            return Ok(about == local_id);
        }
        if !self.is_expected_address(about, active_member) {
            return Err(PeerError::UnverifiedSender { from: from.into(), name: about.name.clone() });
        }
        Ok(match active_member {
            Some(member) => member == about,
            // An update does not add a configured peer: this broker sends announcements to the peer's configured
            // address, and the peer's own messages will add it as a member.
            None => !self.known_peers.contains_key(&about.name),
        })
    }

    /// Returns whether the address that `id` states is the one that is expected without a key. For a configured name,
    /// this is the configured address; for any other name that is a member, it is the member's current address. For all
    /// other names, any address is accepted.
    fn is_expected_address(&self, id: &PeerId, active_member: Option<&PeerId>) -> bool {
        match self.known_peers.get(&id.name) {
            Some(address) => *address == id.listen_address,
            None => active_member.is_none_or(|member| member.listen_address == id.listen_address),
        }
    }
}
