//! The node side: connections, the attempts that go out on them and the attempts that ended.

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

use crate::body::{BodyReader, Payload};
use crate::buffers::{Buffer, Pool, WriteQueue};
use crate::clock::{self, TimerKey};
use crate::control_plane::{Gate, QueryStart};
use crate::http::Message;
use crate::iteration::EventLoopHandle;
pub use connection::open;
pub use endpoints::EndpointInfo;

/// Parts that a connection remembers after it was through with them, as their ends may come twice: a bound of ours on memory.
/// What was given up is remembered beside that until its end comes, however many a connection carries.
const MAX_FINISHED_REMEMBERED: usize = 512;

/// A part on its way: which attempt it is, and what its frame needs.
pub struct AttemptRequest {
    pub query: QueryId,
    pub part: usize,
    pub shot: usize,
    pub id: Rc<str>,
    pub seg: usize,
    pub table_type: usize,
    pub until: f64,
    /// From then on not a byte of it may go out: its query's time is over, or the window in which a repeat is dropped is close
    /// to its end.
    pub send_by: f64,
    pub text: Payload,
    /// Its own way through a body, from the beginning of its attempt on.
    pub reader: Option<BodyReader>,
    /// What its query began on, in a fleet that agrees.
    pub began: Option<Rc<QueryStart>>,
}

/// A part that a connection carries.
struct OutstandingRequest {
    parcel: AttemptRequest,
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

struct NodeConnection {
    node: NodeId,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    up: bool,
    /// When it came up, or before that when it was opened.
    since: f64,
    /// Nothing new goes out on it; it is closed once nothing is out.
    retired: bool,
    timer: Option<TimerKey>,
    input: Option<Buffer>,
    out: WriteQueue,
    outstanding: VecDeque<OutstandingRequest>,
    /// Parts that were given up and have not ended: the node may still be at them, and each takes its place until then.
    cancelled: Vec<Rc<str>>,
    calls: u64,
    /// It speaks the API: one request at a time, and the answer that is coming in.
    api: bool,
    message: Option<Message>,
    /// What it has answered or was given up on it, the last ones.
    finished: VecDeque<Rc<str>>,
}

#[derive(Default)]
struct NodeEntry {
    /// What the list said last; nothing where the index is nobody's.
    row: Option<EndpointInfo>,
    connections: Vec<usize>,
    /// Dispatched in this call and not yet framed.
    unframed: Vec<AttemptRequest>,
}

/// An attempt that is over, with the value that it brought.
pub struct CompletedAttempt {
    pub ended: AttemptEnded,
    pub value: Option<String>,
    /// The version that was searched, and whether anything was found, where its node says so.
    pub searched: Option<(u64, bool)>,
}

pub struct Upstream {
    handle: EventLoopHandle,
    pool: Pool,
    nodes: Vec<NodeEntry>,
    connections: Slab<NodeConnection>,
    most_links: usize,
    /// Connections that carry nothing, by the timer that will close them: the first has been idle the longest.
    idle: BTreeMap<TimerKey, usize>,
    bounds: Rc<Bounds>,
    /// Nodes with something to frame.
    nodes_to_flush: Vec<NodeId>,
    /// Calls that found no descriptor for their connection, until somebody has made room, or nobody can.
    short: Vec<(NodeId, Vec<AttemptRequest>)>,
    /// Nodes that have gone and are not forgotten yet.
    gone: Vec<NodeId>,
    /// What is agreed on, in a fleet.
    pub gate: Option<Rc<Gate>>,
    /// Nodes that speak the API, and of each query class whether it must not run twice.
    api: Option<(Vec<IpNet>, Vec<bool>)>,
    /// Connections that wait for the next piece of a body.
    starved: Vec<usize>,
    /// How far each frame of a passing body had come when it last moved, and when that was.
    paces: HashMap<usize, (u64, f64)>,
    /// Nodes that moved, or are to get nothing new, or (true) are other processes now.
    pub changed: Vec<(NodeId, bool)>,
    /// Frames of bodies of which the last byte has gone out, and that the router has not been told of.
    pub framed: VecDeque<(NodeId, (QueryId, usize, usize))>,
    /// Bytes copied into frames.
    pub copied: u64,
    /// Ends that the router has not been told yet: it may be in the middle of the call that caused them.
    pub back: VecDeque<CompletedAttempt>,
}

impl NodeEntry {
    fn name(&self) -> &str {
        self.row.as_ref().map_or("?", |row| &row.host)
    }

    fn stands(&self, standing: EndpointState) -> bool {
        self.row.as_ref().is_some_and(|row| row.standing == standing)
    }
}

impl OutstandingRequest {
    fn back(self, node: NodeId, end: AttemptOutcome, now: f64, value: Option<String>) -> CompletedAttempt {
        let AttemptRequest { query, part, shot, .. } = self.parcel;
        CompletedAttempt {
            ended: AttemptEnded { query, part, attempt: shot, node, outcome: end, elapsed: now - self.sent },
            value,
            searched: None,
        }
    }
}

impl AttemptRequest {
    fn key(&self) -> (QueryId, usize, usize) {
        (self.query, self.part, self.shot)
    }

    pub fn unsent(&self, node: NodeId, end: AttemptOutcome) -> CompletedAttempt {
        let ended = AttemptEnded {
            query: self.query,
            part: self.part,
            attempt: self.shot,
            node,
            outcome: end,
            elapsed: 0.0,
        };
        CompletedAttempt { ended, value: None, searched: None }
    }
}

impl NodeConnection {
    /// It is through with a part.
    fn take(&mut self, at: usize) -> Option<OutstandingRequest> {
        let out = self.outstanding.remove(at)?;
        self.finished.push_back(out.parcel.id.clone());
        if self.finished.len() > MAX_FINISHED_REMEMBERED {
            self.finished.pop_front();
        }
        Some(out)
    }

    /// It carries a part of this name, or has.
    fn knows(&self, id: &str) -> bool {
        let cancelled = self.cancelled.iter().chain(&self.finished).any(|finished| **finished == *id);
        cancelled || self.outstanding.iter().any(|o| *o.parcel.id == *id)
    }

    fn is_idle(&self) -> bool {
        self.up && self.outstanding.is_empty()
    }

    /// It has been idle for as long as it may.
    fn is_over(&self, now: f64) -> bool {
        self.is_idle() && self.timer.is_some_and(|key| clock::is_due(key, now))
    }

    /// The frame of a body is on its way, or the next thing to go: whatever came behind it would wait for all of it.
    fn is_reserved_for_body(&self) -> bool {
        self.out.body().is_some()
            || self.outstanding.iter().any(|o| o.to.is_none() && o.parcel.text.body().is_some())
    }
}

impl Upstream {
    pub fn new(handle: EventLoopHandle, pool: &Pool, bounds: Rc<Bounds>, most_links: usize) -> Self {
        let (pool, connections, idle) = (pool.clone(), Slab::new(), BTreeMap::new());
        let (nodes, nodes_to_flush, gone, back) = (Vec::new(), Vec::new(), Vec::new(), VecDeque::new());
        let (starved, paces, copied) = (Vec::new(), HashMap::new(), 0);
        Self {
            handle,
            pool,
            nodes,
            connections,
            most_links,
            idle,
            bounds,
            nodes_to_flush,
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

    /// Nodes of these addresses speak the API. `once` says of each query class whether it must not run twice.
    pub fn set_search_api_nodes(&mut self, addresses: Vec<IpNet>, once: Vec<bool>) {
        self.api = Some((addresses, once));
    }

    fn speaks_api(&self, node: NodeId) -> bool {
        let dial = self.nodes.get(node).and_then(|s| s.row.as_ref()?.dial);
        let among = |(addresses, _): &(Vec<IpNet>, _)| {
            dial.is_some_and(|d| addresses.iter().any(|a| a.contains(&d.ip())))
        };
        self.api.as_ref().is_some_and(among)
    }

    pub fn name(&self, node: NodeId) -> &str {
        self.nodes.get(node).map_or("?", NodeEntry::name)
    }

    pub fn dispatch(&mut self, node: NodeId, parcel: AttemptRequest) {
        self.nodes[node].unframed.push(parcel);
        self.nodes_to_flush.push(node);
    }
}
