//! What the membership library's datagrams say about others than their sender, read before the library sees any of it.

use crate::error::PeerError;
use crate::words::Id;
use foca::{Codec, Header, Member, PostcardCodec};

/// One datagram of the library, taken apart.
pub(crate) struct Hearsay<'a> {
    pub header: Header<Id>,
    head: &'a [u8],
    said: Vec<(Member<Id>, &'a [u8])>,
    counted: bool,
}

impl<'a> Hearsay<'a> {
    pub fn read(load: &'a [u8], from: &str) -> Result<Hearsay<'a>, PeerError> {
        let garbled = || PeerError::Garbled { from: from.into() };
        let mut rest = load;
        let header = PostcardCodec.decode_header(&mut rest).map_err(|_| garbled())?;
        let head = &load[..load.len() - rest.len()];
        let mut said = Vec::new();
        let counted = !rest.is_empty();
        if let [high, low, updates @ ..] = rest {
            rest = updates;
            for _ in 0..u16::from_be_bytes([*high, *low]) {
                let before = rest;
                let member: Member<Id> = PostcardCodec.decode_member(&mut rest).map_err(|_| garbled())?;
                said.push((member, &before[..before.len() - rest.len()]));
            }
        }
        // We send nothing behind the members.
        if !rest.is_empty() {
            return Err(garbled());
        }
        Ok(Hearsay { header, head, said, counted })
    }

    pub fn about(&self) -> impl Iterator<Item = &Id> {
        self.said.iter().map(|(member, _)| member.id())
    }

    /// Leaves out what `keep` does not hold for believable.
    pub fn retain(&mut self, mut keep: impl FnMut(&Id) -> bool) {
        self.said.retain(|(member, _)| keep(member.id()));
    }

    /// The datagram with what is left.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.head.to_vec();
        if self.counted {
            bytes.extend_from_slice(&(self.said.len() as u16).to_be_bytes());
        }
        self.said.iter().for_each(|(_, member)| bytes.extend_from_slice(member));
        bytes
    }
}
