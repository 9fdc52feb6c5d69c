//! The words of this package, and its tuned values.

use crate::error::{PeerError, RefusalReason};
use crate::wire::Span;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// What may be held at once, and how large one thing may be.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of one request's or answer's body.
    pub max_body_bytes: usize,
    /// Bytes of one datagram, all told.
    pub max_datagram_bytes: usize,
    /// Our asks that have not ended, over all peers. Further ones are refused by [`Peers::request`](crate::Peers::ask).
    pub max_requests: usize,
    /// Our asks to one peer that have not ended.
    pub max_requests_per_peer: usize,
    /// Connections to one peer; each carries one request at a time.
    pub max_connections_per_peer: usize,
    /// Connections from others.
    pub max_incoming_connections: usize,
    /// Asks of others in the caller's hands, over all peers and by one.
    pub max_pending_requests: usize,
    pub max_pending_requests_per_peer: usize,
    /// Events that wait for the caller.
    pub max_queued_events: usize,
    /// Names in the membership, those that left included.
    pub max_members: usize,
    /// Bytes of bodies that are being read, and of asks that have not ended.
    pub max_receive_bytes: usize,
    pub max_send_bytes: usize,
    /// What one name may send in a second; more is a flood.
    pub max_datagrams_per_second: u32,
    pub max_requests_per_second: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body_bytes: 4 << 20,
            max_datagram_bytes: 1400,
            max_requests: 512,
            max_requests_per_peer: 64,
            max_connections_per_peer: 4,
            max_incoming_connections: 128,
            max_pending_requests: 256,
            max_pending_requests_per_peer: 64,
            max_queued_events: 1024,
            max_members: 256,
            max_receive_bytes: 32 << 20,
            max_send_bytes: 32 << 20,
            max_datagrams_per_second: 400,
            max_requests_per_second: 2000,
        }
    }
}

/// How long things take, in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// One member is asked for a sign of life so often, and has `rtt` for it before others are asked to try.
    pub probe_interval_seconds: f64,
    pub probe_timeout_seconds: f64,
    /// A suspected member has so long to refute it.
    pub suspicion_timeout_seconds: f64,
    /// Known peers that are not members are called so often.
    pub announce_interval_seconds: f64,
    /// A gap this long between two turns means that we stood still: what waited for others waits as much longer.
    pub stall_threshold_seconds: f64,
    /// A connection must be up within this time.
    pub connect_timeout_seconds: f64,
    /// Rest after the first failed connection, doubling (with jitter) up to `rest_most`.
    pub initial_backoff_seconds: f64,
    pub max_backoff_seconds: f64,
    /// A new connection must have brought a believable request within this time, an old one a further one within `idle`.
    pub first_request_timeout_seconds: f64,
    pub idle_timeout_seconds: f64,
    /// A body from another, and each step of writing an answer to it, once begun.
    pub transfer_timeout_seconds: f64,
    /// No ask may take longer, ours or another's.
    pub max_request_timeout_seconds: f64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe_interval_seconds: 1.0,
            probe_timeout_seconds: 0.4,
            suspicion_timeout_seconds: 3.0,
            announce_interval_seconds: 1.0,
            stall_threshold_seconds: 1.0,
            connect_timeout_seconds: 1.0,
            initial_backoff_seconds: 0.05,
            max_backoff_seconds: 1.0,
            first_request_timeout_seconds: 2.0,
            idle_timeout_seconds: 60.0,
            transfer_timeout_seconds: 5.0,
            max_request_timeout_seconds: 30.0,
        }
    }
}

/// What the host is told at its start.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    pub name: String,
    /// Greater at each start under the same name: the greater one wins.
    pub incarnation: u64,
    /// UDP and TCP, same port; port 0 takes a free one.
    pub listen_address: SocketAddr,
    /// Names with the address to send to, which may be a relay's. Never replaced by what others say. Our own name may be among them.
    pub known_peers: Vec<(String, SocketAddr)>,
    pub seed: u64,
    /// The fleet's shared secret, 16 bytes or more. With it each message is sealed, and addresses prove nothing; without it a
    /// known name must say the address under which we know it, so no relay can stand between.
    pub key: Option<String>,
    /// Versions of messages that are spoken. Fewer than all can be said where a newer program must look like an older one.
    pub supported_versions: Span,
    pub limits: Limits,
    pub timing: Timing,
}

impl MembershipOptions {
    pub fn new(
        name: &str,
        incarnation: u64,
        listen_address: SocketAddr,
        known_peers: Vec<(String, SocketAddr)>,
        seed: u64,
    ) -> MembershipOptions {
        MembershipOptions {
            name: name.into(),
            incarnation,
            listen_address,
            known_peers,
            seed,
            key: None,
            supported_versions: Span::OURS,
            limits: Limits::default(),
            timing: Timing::default(),
        }
    }
}

/// One life of a broker. `renewed` counts how often it came back without a restart after others had given it up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    pub name: String,
    pub incarnation: u64,
    pub renewed: u32,
    pub listen: SocketAddr,
}

impl foca::Identity for Id {
    type Addr = String;

    fn renew(&self) -> Option<Id> {
        Some(Id { renewed: self.renewed.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    /// The address comes last, so that all agree about two that claim the same life.
    fn win_addr_conflict(&self, other: &Id) -> bool {
        (self.incarnation, self.renewed, self.listen) > (other.incarnation, other.renewed, other.listen)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    Alive,
    Suspected,
    Down,
}

/// A member as we see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    pub name: String,
    pub incarnation: u64,
    /// Where it says it listens; what we send goes to its known address, if it has one.
    pub listen_address: SocketAddr,
    pub state: PeerState,
}

/// What an ask is about; the path of its HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestKind {
    Raft,
    Lease,
    Propose,
    TransferCounts,
    Fill,
    State,
    /// The membership's own, answered by the links themselves: a suspected member is asked for a sign of life.
    LivenessCheck,
    /// A plan of moves that is offered to a leader.
    RebalancePlan,
}

impl RequestKind {
    pub const ALL: [RequestKind; 8] = [
        RequestKind::Raft,
        RequestKind::Lease,
        RequestKind::Propose,
        RequestKind::TransferCounts,
        RequestKind::Fill,
        RequestKind::State,
        RequestKind::LivenessCheck,
        RequestKind::RebalancePlan,
    ];

    pub fn path(self) -> &'static str {
        match self {
            RequestKind::Raft => "/raft",
            RequestKind::Lease => "/lease",
            RequestKind::Propose => "/propose",
            RequestKind::TransferCounts => "/counts",
            RequestKind::Fill => "/fill",
            RequestKind::State => "/state",
            RequestKind::RebalancePlan => "/moves",
            RequestKind::LivenessCheck => "/sign",
        }
    }

    /// The first version in which it can be asked.
    pub fn since(self) -> u8 {
        match self {
            RequestKind::Raft
            | RequestKind::Lease
            | RequestKind::Propose
            | RequestKind::TransferCounts
            | RequestKind::Fill
            | RequestKind::State => 1,
            RequestKind::LivenessCheck | RequestKind::RebalancePlan => 2,
        }
    }

    pub fn of_path(path: &str) -> Option<RequestKind> {
        RequestKind::ALL.into_iter().find(|kind| kind.path() == path)
    }
}

/// The right to answer one ask, once. Dropped without an answer, the asker hears [`RefusalReason::Dropped`].
#[derive(Debug)]
pub struct Responder(pub(crate) oneshot::Sender<Result<Vec<u8>, RefusalReason>>);

/// What the caller hears.
#[derive(Debug)]
pub enum Event {
    /// A believed peer asks; answer with [`Peers::respond`](crate::Peers::answer).
    Request {
        from: String,
        kind: RequestKind,
        body: Vec<u8>,
        responder: Responder,
    },
    /// The one end of an ask that was taken.
    Response {
        id: u64,
        to: String,
        result: Result<Vec<u8>, PeerError>,
    },
    /// Is there: new, back, or with a suspicion refuted.
    PeerUp(Peer),
    PeerSuspected(String),
    PeerDown(String),
}
