//! Who a broker is, and how a member of the fleet is seen.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of a broker, as the gossip protocol identifies it. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerId {
    /// The broker's name, unique in the fleet.
    pub name: String,
    /// Grows with each start under the same name.
    pub incarnation: u64,
    /// How often it rejoined without a restart after others had declared it down.
    pub renewals: u32,
    /// Where it says it listens, UDP and TCP.
    pub listen_address: SocketAddr,
}

impl foca::Identity for PeerId {
    type Addr = String;

    fn renew(&self) -> Option<PeerId> {
        Some(PeerId { renewals: self.renewals.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    /// The address is compared last, so that all members settle alike on one of two that claim the same incarnation.
    fn win_addr_conflict(&self, other: &PeerId) -> bool {
        (self.incarnation, self.renewals, self.listen_address)
            > (other.incarnation, other.renewals, other.listen_address)
    }
}

/// The failure detector's view of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// It answers probes.
    Alive,
    /// A probe failed; it has until the suspicion timeout to refute.
    Suspected,
    /// It left, or did not refute a suspicion in time.
    Down,
}

/// A member as this broker sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// The incarnation last seen.
    pub incarnation: u64,
    /// Where it says it listens; messages go to its configured address, if it has one.
    pub listen_address: SocketAddr,
    /// The failure detector's view.
    pub state: PeerState,
}

impl Peer {
    pub(crate) fn new(id: &PeerId, state: PeerState) -> Peer {
        let (name, listen_address) = (id.name.clone(), id.listen_address);
        Peer { name, incarnation: id.incarnation, listen_address, state }
    }
}
