//! Who is believed to be who. What can be known: with the fleet's key, that the sender holds it; without, that the name is one we know
//! and the address is the one under which we know it. On one machine a process cannot send from a UDP port that another holds.

use crate::error::PeerError;
use crate::words::Id;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const LONGEST_NAME: usize = 64;

/// How a message came: a datagram comes from the port that its sender listens at, a connection from any port.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    Datagram,
    Connection,
}

pub struct Belief {
    pub(crate) me: String,
    pub(crate) keyed: bool,
    pub(crate) known: BTreeMap<String, SocketAddr>,
}

pub(crate) fn name_fits(name: &str) -> bool {
    let fits = |letter: char| letter.is_ascii_alphanumeric() || "-_.:".contains(letter);
    !name.is_empty() && name.len() <= LONGEST_NAME && name.chars().all(fits)
}

impl Belief {
    pub fn new(me: &str, keyed: bool, known: &[(String, SocketAddr)]) -> Result<Belief, PeerError> {
        let mut map = BTreeMap::new();
        for name in known.iter().map(|(name, _)| name.as_str()).chain([me]) {
            if !name_fits(name) {
                return Err(PeerError::Name { name: name.into(), most: LONGEST_NAME });
            }
        }
        for (name, at) in known.iter().filter(|(name, _)| name != me) {
            if let Some(other) = map.insert(name.clone(), *at).filter(|other| other != at) {
                return Err(PeerError::Twice { name: name.clone(), one: other, other: *at });
            }
        }
        Ok(Belief { me: me.into(), keyed, known: map })
    }

    /// The sender of a message whose seal fits, if the fleet has one. `member` is who we hold active under that name.
    pub fn sender(
        &self,
        id: &Id,
        source: SocketAddr,
        way: Way,
        member: Option<&Id>,
    ) -> Result<(), PeerError> {
        let claimed = || PeerError::Claimed { from: source.to_string(), name: id.name.clone() };
        if !name_fits(&id.name) {
            return Err(PeerError::Garbled { from: source.to_string() });
        }
        if id.name == self.me {
            return Err(claimed());
        }
        if !self.keyed {
            let there = match way {
                Way::Datagram => source == id.listen,
                Way::Connection => source.ip() == id.listen.ip(),
            };
            if !there || !self.address_fits(id, member) {
                return Err(claimed());
            }
        }
        Ok(())
    }

    /// What a sender says about another: believed, left out, or a fault. Without a key nobody speaks for another life than the one
    /// that was heard from its own address: else any member could end another by a greater incarnation.
    pub fn said(&self, id: &Id, member: Option<&Id>, me: &Id, from: &str) -> Result<bool, PeerError> {
        if !name_fits(&id.name) {
            return Err(PeerError::Garbled { from: from.into() });
        }
        if self.keyed {
            return Ok(true);
        }
        if id.name == me.name {
            return Ok(id == me);
        }
        if !self.address_fits(id, member) {
            return Err(PeerError::Claimed { from: from.into(), name: id.name.clone() });
        }
        Ok(match member {
            Some(member) => member == id,
            // A name of the file is called at its address, and speaks for itself.
            None => !self.known.contains_key(&id.name),
        })
    }

    /// Without a key: a known name is where the file says; any other stays where it is as long as it is there.
    fn address_fits(&self, id: &Id, member: Option<&Id>) -> bool {
        match self.known.get(&id.name) {
            Some(at) => *at == id.listen,
            None => member.is_none_or(|member| member.listen == id.listen),
        }
    }
}
