//! Decoding of the gossip library's datagrams, so that updates about third parties can be filtered before the library
//! processes the datagrams.

use crate::error::PeerError;
use crate::identity::PeerId;
use foca::{Codec, Header, Member, PostcardCodec};

/// An update about one member, with its encoding.
struct Update<'a> {
    member: Member<PeerId>,
    encoded: &'a [u8],
}

/// A decoded datagram of the gossip library.
pub(crate) struct GossipMessage<'a> {
    pub header: Header<PeerId>,
    encoded_header: &'a [u8],
    updates: Vec<Update<'a>>,
    /// Whether the header is followed by the number of updates. If not, the datagram ends after the header.
    has_update_count: bool,
}

impl<'a> GossipMessage<'a> {
    /// Decodes a datagram. `from` is the sender's address, for error messages only.
    pub fn decode(payload: &'a [u8], from: &str) -> Result<GossipMessage<'a>, PeerError> {
        let malformed = || PeerError::Malformed { from: from.into() };
        let mut rest = payload;
        let header = PostcardCodec.decode_header(&mut rest).map_err(|_| malformed())?;
        let encoded_header = &payload[..payload.len() - rest.len()];
        let mut updates = Vec::new();
        let has_update_count = !rest.is_empty();
        if let [high, low, encoded_updates @ ..] = rest {
            rest = encoded_updates;
            for _ in 0..u16::from_be_bytes([*high, *low]) {
                let before = rest;
                let member: Member<PeerId> =
                    PostcardCodec.decode_member(&mut rest).map_err(|_| malformed())?;
                updates.push(Update { member, encoded: &before[..before.len() - rest.len()] });
            }
        }
        // Brokers send nothing after the updates, and trailing bytes could not be filtered, so they are rejected.
        if !rest.is_empty() {
            return Err(malformed());
        }
        Ok(GossipMessage { header, encoded_header, updates, has_update_count })
    }

    /// Returns the members that the updates are about.
    pub fn subjects(&self) -> impl Iterator<Item = &PeerId> {
        self.updates.iter().map(|update| update.member.id())
    }

    /// Drops the updates for which `accept` returns false.
    pub fn retain_updates(&mut self, mut accept: impl FnMut(&PeerId) -> bool) {
        self.updates.retain(|update| accept(update.member.id()));
    }

    /// Encodes the datagram with the remaining updates.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.encoded_header.to_vec();
        if self.has_update_count {
            bytes.extend_from_slice(&(self.updates.len() as u16).to_be_bytes());
        }
        self.updates.iter().for_each(|update| bytes.extend_from_slice(update.encoded));
        bytes
    }
}
