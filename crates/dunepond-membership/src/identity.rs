//! The identity of a broker, and the state of a member as another broker sees it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of a broker, as the gossip protocol identifies it. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerId {
    /// The broker's name, unique in the fleet.
    pub name: String,
    /// Incarnation of the broker, which increases with each start under the same name.
    pub incarnation: u64,
    /// Number of times that the broker rejoined without a restart after other brokers had declared it down.
    pub renewals: u32,
    /// Address on which the broker states that it listens, for UDP and TCP.
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

    /// Returns whether this identity replaces `other`, which has the same name. If two brokers claim the same name,
    /// incarnation and number of renewals, the greater address wins, so that all members choose the same broker.
    fn win_addr_conflict(&self, other: &PeerId) -> bool {
        (self.incarnation, self.renewals, self.listen_address)
            > (other.incarnation, other.renewals, other.listen_address)
    }
}

/// The failure detector's view of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// The member answers probes.
    Alive,
    /// A probe failed; the member has until the suspicion timeout to refute the suspicion.
    Suspected,
    /// The member left, or did not refute a suspicion in time.
    Down,
}

/// A member of the fleet, as this broker sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the member.
    pub name: String,
    /// Latest known incarnation of the member.
    pub incarnation: u64,
    /// Address on which the member states that it listens; messages go to its configured address, if it has one.
    pub listen_address: SocketAddr,
    /// The failure detector's view of the member.
    pub state: PeerState,
}

impl Peer {
    pub(crate) fn new(id: &PeerId, state: PeerState) -> Peer {
        let (name, listen_address) = (id.name.clone(), id.listen_address);
        Peer { name, incarnation: id.incarnation, listen_address, state }
    }
}
