//! The words of this package, and its tuned values.

use crate::error::{PeerError, Refused};
use crate::wire::Span;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// What may be held at once, and how large one thing may be.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Bytes of one request's or answer's body.
    pub body: usize,
    /// Bytes of one datagram, all told.
    pub datagram: usize,
    /// Our asks that have not ended, over all peers. Further ones are refused by [`Peers::ask`](crate::Peers::ask).
    pub asks: usize,
    /// Our asks to one peer that have not ended.
    pub asks_each: usize,
    /// Connections to one peer; each carries one request at a time.
    pub connections: usize,
    /// Connections from others.
    pub incoming: usize,
    /// Asks of others in the caller's hands, over all peers and by one.
    pub asked: usize,
    pub asked_each: usize,
    /// Events that wait for the caller.
    pub events: usize,
    /// Names in the membership, those that left included.
    pub members: usize,
    /// Bytes of bodies that are being read, and of asks that have not ended.
    pub bytes_in: usize,
    pub bytes_out: usize,
    /// What one name may send in a second; more is a flood.
    pub datagrams_each: u32,
    pub requests_each: u32,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            body: 4 << 20,
            datagram: 1400,
            asks: 512,
            asks_each: 64,
            connections: 4,
            incoming: 128,
            asked: 256,
            asked_each: 64,
            events: 1024,
            members: 256,
            bytes_in: 32 << 20,
            bytes_out: 32 << 20,
            datagrams_each: 400,
            requests_each: 2000,
        }
    }
}

/// How long things take, in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// One member is asked for a sign of life so often, and has `rtt` for it before others are asked to try.
    pub probe: f64,
    pub rtt: f64,
    /// A suspected member has so long to refute it.
    pub suspect: f64,
    /// Known peers that are not members are called so often.
    pub announce: f64,
    /// A gap this long between two turns means that we stood still: what waited for others waits as much longer.
    pub still: f64,
    /// A connection must be up within this time.
    pub connect: f64,
    /// Rest after the first failed connection, doubling (with jitter) up to `rest_most`.
    pub rest_first: f64,
    pub rest_most: f64,
    /// A new connection must have brought a believable request within this time, an old one a further one within `idle`.
    pub unproven: f64,
    pub idle: f64,
    /// A body from another, and each step of writing an answer to it, once begun.
    pub step: f64,
    /// No ask may take longer, ours or another's.
    pub within_most: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            probe: 1.0,
            rtt: 0.4,
            suspect: 3.0,
            announce: 1.0,
            still: 1.0,
            connect: 1.0,
            rest_first: 0.05,
            rest_most: 1.0,
            unproven: 2.0,
            idle: 60.0,
            step: 5.0,
            within_most: 30.0,
        }
    }
}

/// What the host is told at its start.
#[derive(Clone, Debug)]
pub struct Told {
    pub name: String,
    /// Greater at each start under the same name: the greater one wins.
    pub incarnation: u64,
    /// UDP and TCP, same port; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Names with the address to send to, which may be a relay's. Never replaced by what others say. Our own name may be among them.
    pub known: Vec<(String, SocketAddr)>,
    pub seed: u64,
    /// The fleet's shared secret, 16 bytes or more. With it each message is sealed, and addresses prove nothing; without it a
    /// known name must say the address under which we know it, so no relay can stand between.
    pub key: Option<String>,
    /// Versions of messages that are spoken. Fewer than all can be said where a newer program must look like an older one.
    pub speaks: Span,
    pub bounds: Bounds,
    pub pace: Pace,
}

impl Told {
    pub fn new(
        name: &str,
        incarnation: u64,
        listen: SocketAddr,
        known: Vec<(String, SocketAddr)>,
        seed: u64,
    ) -> Told {
        Told {
            name: name.into(),
            incarnation,
            listen,
            known,
            seed,
            key: None,
            speaks: Span::OURS,
            bounds: Bounds::default(),
            pace: Pace::default(),
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
pub enum Standing {
    Here,
    Suspected,
    Gone,
}

/// A member as we see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    pub name: String,
    pub incarnation: u64,
    /// Where it says it listens; what we send goes to its known address, if it has one.
    pub listen: SocketAddr,
    pub standing: Standing,
}

/// What an ask is about; the path of its HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    Raft,
    Lease,
    Propose,
    Counts,
    Fill,
    State,
    /// The membership's own, answered by the links themselves: a suspected member is asked for a sign of life.
    Sign,
    /// A plan of moves that is offered to a leader.
    Moves,
}

impl Kind {
    pub const ALL: [Kind; 8] = [
        Kind::Raft,
        Kind::Lease,
        Kind::Propose,
        Kind::Counts,
        Kind::Fill,
        Kind::State,
        Kind::Sign,
        Kind::Moves,
    ];

    pub fn path(self) -> &'static str {
        match self {
            Kind::Raft => "/raft",
            Kind::Lease => "/lease",
            Kind::Propose => "/propose",
            Kind::Counts => "/counts",
            Kind::Fill => "/fill",
            Kind::State => "/state",
            Kind::Moves => "/moves",
            Kind::Sign => "/sign",
        }
    }

    /// The first version in which it can be asked.
    pub fn since(self) -> u8 {
        match self {
            Kind::Raft | Kind::Lease | Kind::Propose | Kind::Counts | Kind::Fill | Kind::State => 1,
            Kind::Sign | Kind::Moves => 2,
        }
    }

    pub fn of_path(path: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.path() == path)
    }
}

/// The right to answer one ask, once. Dropped without an answer, the asker hears [`Refused::Dropped`].
#[derive(Debug)]
pub struct Token(pub(crate) oneshot::Sender<Result<Vec<u8>, Refused>>);

/// What the caller hears.
#[derive(Debug)]
pub enum Event {
    /// A believed peer asks; answer with [`Peers::answer`](crate::Peers::answer).
    Asked {
        from: String,
        kind: Kind,
        body: Vec<u8>,
        token: Token,
    },
    /// The one end of an ask that was taken.
    Answer {
        id: u64,
        to: String,
        body: Result<Vec<u8>, PeerError>,
    },
    /// Is there: new, back, or with a suspicion refuted.
    Came(Peer),
    Suspect(String),
    Left(String),
}
