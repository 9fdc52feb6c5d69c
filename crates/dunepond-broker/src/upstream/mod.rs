//! The nodes: their connections, the frames that go out on them and the ends that come back.

mod cancel;
mod connection;
mod endpoints;
mod ownership_check;
mod request;
mod response;
mod streaming;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::TcpStream;
use std::rc::Rc;

use calloop::RegistrationToken;
use dunepond_config::Bounds;
use dunepond_routing::{AttemptEnded, AttemptOutcome, EndpointState, NodeId, QueryId};
use ipnet::IpNet;
use slab::Slab;

use crate::body::{Reader, Text};
use crate::buffers::{Buffer, Outflow, Pool};
use crate::clock::{self, Key};
use crate::control_plane::{Began, Gate};
use crate::http::Message;
use crate::iteration::Handle;
pub use connection::open;
pub use endpoints::Listing;

/// Parts that a connection remembers after it was through with them, as their ends may come twice: a bound of ours on memory.
/// What was given up is remembered beside that until its end comes, however many a connection carries.
const PAST: usize = 512;

/// A part on its way: which dispatch it is, and what its frame needs.
pub struct Parcel {
    pub scan: QueryId,
    pub part: usize,
    pub shot: usize,
    pub id: Rc<str>,
    pub seg: usize,
    pub table_type: usize,
    pub until: f64,
    /// From then on not a byte of it may go out: its scan's time is over, or the window in which a repeat is dropped is close
    /// to its end.
    pub lapses: f64,
    pub text: Text,
    /// Its own way through a body, from the beginning of its dispatch on.
    pub reader: Option<Reader>,
    /// What its scan began on, in a fleet that agrees.
    pub began: Option<Rc<Began>>,
}

/// A part that a connection carries.
struct Out {
    parcel: Parcel,
    sent: f64,
    /// Parts of one frame are one call.
    call: u64,
    /// Where its frame begins and ends in what the connection has to write, once it is framed. A connection that is
    /// not up, or is stuck, holds no frame that it has not begun to write: what waits on it can be given up without
    /// a trace, and tells its node the time that is left once it does go out.
    from: u64,
    to: Option<u64>,
    /// Its sending has been noted.
    noted: bool,
}

struct Link {
    node: NodeId,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    up: bool,
    /// When it came up, or before that when it was opened.
    since: f64,
    /// Nothing new goes out on it; it is closed once nothing is out.
    retired: bool,
    alarm: Option<Key>,
    input: Option<Buffer>,
    out: Outflow,
    carried: VecDeque<Out>,
    /// Parts that were given up and have not ended: the node may still be at them, and each takes its place until then.
    given_up: Vec<Rc<str>>,
    calls: u64,
    /// It speaks the API: one request at a time, and the answer that is coming in.
    api: bool,
    message: Option<Message>,
    /// What it has answered or was given up on it, the last ones.
    past: VecDeque<Rc<str>>,
}

#[derive(Default)]
struct Server {
    /// What the list said last; nothing where the index is nobody's.
    row: Option<Listing>,
    links: Vec<usize>,
    /// Dispatched in this call and not yet framed.
    batch: Vec<Parcel>,
}

/// A dispatch that is over, with the value that it brought.
pub struct Back {
    pub ended: AttemptEnded,
    pub value: Option<String>,
    /// The version that was searched, and whether anything was found, where its node says so.
    pub searched: Option<(u64, bool)>,
}

pub struct Servers {
    handle: Handle,
    pool: Pool,
    servers: Vec<Server>,
    links: Slab<Link>,
    most_links: usize,
    /// Connections that carry nothing, by the alarm that will close them: the first has been idle the longest.
    idle: BTreeMap<Key, usize>,
    bounds: Rc<Bounds>,
    /// Nodes with something to frame.
    batched: Vec<NodeId>,
    /// Calls that found no descriptor for their connection, until somebody has made room, or nobody can.
    short: Vec<(NodeId, Vec<Parcel>)>,
    /// Nodes that have gone and are not forgotten yet.
    gone: Vec<NodeId>,
    /// What is agreed on, in a fleet.
    pub gate: Option<Rc<Gate>>,
    /// Nodes that speak the API, and of each table type whether it must not run twice.
    api: Option<(Vec<IpNet>, Vec<bool>)>,
    /// Connections that wait for the next piece of a body.
    starved: Vec<usize>,
    /// How far each frame of a passing body had come when it last moved, and when that was.
    paces: HashMap<usize, (u64, f64)>,
    /// Nodes that moved, or are to get nothing new, or (true) are other processes now.
    pub changed: Vec<(NodeId, bool)>,
    /// Frames of bodies of which the last byte has gone out, and that the module has not been told of.
    pub framed: VecDeque<(NodeId, (QueryId, usize, usize))>,
    /// Bytes copied into frames.
    pub copied: u64,
    /// Ends that the module has not been told yet: it may be in the middle of the call that caused them.
    pub back: VecDeque<Back>,
}

impl Server {
    fn name(&self) -> &str {
        self.row.as_ref().map_or("?", |row| &row.host)
    }

    fn stands(&self, standing: EndpointState) -> bool {
        self.row.as_ref().is_some_and(|row| row.standing == standing)
    }
}

impl Out {
    fn back(self, node: NodeId, end: AttemptOutcome, now: f64, value: Option<String>) -> Back {
        let Parcel { scan, part, shot, .. } = self.parcel;
        Back {
            ended: AttemptEnded {
                query: scan,
                part,
                attempt: shot,
                node,
                outcome: end,
                elapsed: now - self.sent,
            },
            value,
            searched: None,
        }
    }
}

impl Parcel {
    fn key(&self) -> (QueryId, usize, usize) {
        (self.scan, self.part, self.shot)
    }

    pub fn unsent(&self, node: NodeId, end: AttemptOutcome) -> Back {
        let ended = AttemptEnded {
            query: self.scan,
            part: self.part,
            attempt: self.shot,
            node,
            outcome: end,
            elapsed: 0.0,
        };
        Back { ended, value: None, searched: None }
    }
}

impl Link {
    /// It is through with a part.
    fn take(&mut self, at: usize) -> Option<Out> {
        let out = self.carried.remove(at)?;
        self.past.push_back(out.parcel.id.clone());
        if self.past.len() > PAST {
            self.past.pop_front();
        }
        Some(out)
    }

    /// It carries a part of this name, or has.
    fn knows(&self, id: &str) -> bool {
        let given_up = self.given_up.iter().chain(&self.past).any(|past| **past == *id);
        given_up || self.carried.iter().any(|o| *o.parcel.id == *id)
    }

    fn is_idle(&self) -> bool {
        self.up && self.carried.is_empty()
    }

    /// It has been idle for as long as it may.
    fn is_over(&self, now: f64) -> bool {
        self.is_idle() && self.alarm.is_some_and(|key| clock::is_due(key, now))
    }

    /// The frame of a body is on its way, or the next thing to go: whatever came behind it would wait for all of it.
    fn is_taken(&self) -> bool {
        self.out.body().is_some()
            || self.carried.iter().any(|o| o.to.is_none() && o.parcel.text.body().is_some())
    }
}

impl Servers {
    pub fn new(handle: Handle, pool: &Pool, bounds: Rc<Bounds>, most_links: usize) -> Self {
        let (pool, links, idle) = (pool.clone(), Slab::new(), BTreeMap::new());
        let (servers, batched, gone, back) = (Vec::new(), Vec::new(), Vec::new(), VecDeque::new());
        let (starved, paces, copied) = (Vec::new(), HashMap::new(), 0);
        Self {
            handle,
            pool,
            servers,
            links,
            most_links,
            idle,
            bounds,
            batched,
            short: Vec::new(),
            gone,
            gate: None,
            api: None,
            starved,
            paces,
            changed: Vec::new(),
            framed: VecDeque::new(),
            copied,
            back,
        }
    }

    /// Nodes of these addresses speak the API. `once` says of each table type whether it must not run twice.
    pub fn speak_api(&mut self, addresses: Vec<IpNet>, once: Vec<bool>) {
        self.api = Some((addresses, once));
    }

    fn speaks_api(&self, node: NodeId) -> bool {
        let dial = self.servers.get(node).and_then(|s| s.row.as_ref()?.dial);
        let among = |(addresses, _): &(Vec<IpNet>, _)| {
            dial.is_some_and(|d| addresses.iter().any(|a| a.contains(&d.ip())))
        };
        self.api.as_ref().is_some_and(among)
    }

    pub fn name(&self, node: NodeId) -> &str {
        self.servers.get(node).map_or("?", Server::name)
    }

    pub fn dispatch(&mut self, node: NodeId, parcel: Parcel) {
        self.servers[node].batch.push(parcel);
        self.batched.push(node);
    }
}
