//! The node side: connections, the attempts that are sent on them and the attempts that ended.
//!
//! Times are Unix seconds of the process's monotonic clock.

mod cancel;
mod connection;
mod endpoints;
mod framing;
mod ownership_check;
mod request;
mod response;
mod streaming;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::TcpStream;
use std::rc::Rc;

use calloop::RegistrationToken;
use dunepond_config::HostSettings;
use dunepond_routing::{AttemptEnded, AttemptId, AttemptOutcome, EndpointState, NodeId, QueryId};
use ipnet::IpNet;
use slab::Slab;

use crate::body::{BodyReader, Payload};
use crate::buffers::{Buffer, Pool, WriteQueue};
use crate::clock::{self, TimerKey};
use crate::control_plane::{Gate, PartTarget, QueryStart};
use crate::endpoint::EndpointInfo;
use crate::frames::SearchReport;
use crate::http::Message;
use crate::iteration::EventLoopHandle;
pub use connection::open;

/// Finished attempts that a connection remembers, as a node may report an end twice; bounds the memory for them. Cancelled attempts are
/// remembered besides until the node reports their end.
const MAX_FINISHED_REMEMBERED: usize = 512;

/// An attempt to be sent: which one it is, and what its frame needs.
pub struct AttemptRequest {
    /// The query that it belongs to.
    pub query: QueryId,
    /// Index of the part among the query's parts.
    pub part: usize,
    /// Index of the attempt among the part's attempts.
    pub attempt: usize,
    /// The part's id on the wire; all attempts of a part share it.
    pub id: Rc<str>,
    /// The segment to be searched.
    pub segment: usize,
    /// Index into the configured query classes.
    pub query_class: usize,
    /// When the query's response is due.
    pub deadline: f64,
    /// From then on no byte of it may go out: its query's time is over, or the window in which a node drops a repeat is
    /// close to its end.
    pub send_by: f64,
    /// What the part carries.
    pub payload: Payload,
    /// Its own read position in a streamed body.
    pub body_reader: Option<BodyReader>,
    /// The configuration under which its query started, with a control plane.
    pub query_start: Option<Rc<QueryStart>>,
}

/// An attempt that a connection carries.
struct OutstandingRequest {
    request: AttemptRequest,
    queued_at: f64,
    /// Attempts with the same batch number share a frame.
    batch: u64,
    /// Where its frame begins and ends in the connection's write queue, once it is framed. A connection that is not
    /// established, or is blocked, holds no frame that it has not begun to write: its attempts can be withdrawn without the
    /// node's knowledge, and their frames carry the time that is left once they are written.
    frame_start: u64,
    frame_end: Option<u64>,
    /// It is in the audit log.
    audited: bool,
}

struct NodeConnection {
    node: NodeId,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    connected: bool,
    /// When it was established, or before that when it was opened.
    since: f64,
    /// It carries no new attempts, and is closed once it carries none.
    retired: bool,
    timer: Option<TimerKey>,
    input: Option<Buffer>,
    output: WriteQueue,
    outstanding: VecDeque<OutstandingRequest>,
    /// Cancelled attempts whose end the node has not reported: it may still work on them, so each counts as a stream.
    cancelled: Vec<Rc<str>>,
    last_batch: u64,
    /// It speaks the search API: one request at a time.
    uses_search_api: bool,
    /// The search API response that is being read.
    message: Option<Message>,
    /// The last attempts that ended or were cancelled on it.
    finished: VecDeque<Rc<str>>,
}

#[derive(Default)]
struct NodeEntry {
    /// The list's last entry; `None` where the index is free.
    endpoint: Option<EndpointInfo>,
    connections: Vec<usize>,
    /// Dispatched in this call of the router, and not yet assigned to a connection.
    unassigned: Vec<AttemptRequest>,
}

/// An attempt that ended.
pub struct CompletedAttempt {
    /// Its outcome, for the router.
    pub ended: AttemptEnded,
    /// The value that it returned, if it was served.
    pub value: Option<String>,
    /// The version that was searched, and whether anything was found, where its node reports that.
    pub search_report: Option<SearchReport>,
}

/// A node that moved, drains, or was removed or replaced.
pub struct ChangedNode {
    /// The node.
    pub node: NodeId,
    /// Another process has replaced the node's.
    pub replaced: bool,
}

/// How far a connection has consumed a pass-through body.
struct BodyProgress {
    offset: u64,
    /// Since when it has been there while the other readers wait.
    since: f64,
}

/// The nodes that speak the search API.
struct SearchApiNodes {
    /// The networks that they are in.
    networks: Vec<IpNet>,
    /// Whether each query class must not run twice.
    non_idempotent: Vec<bool>,
}

/// All nodes and the connections to them.
pub struct Upstream {
    handle: EventLoopHandle,
    pool: Pool,
    nodes: Vec<NodeEntry>,
    connections: Slab<NodeConnection>,
    max_connections: usize,
    /// Connections without attempts, by the timer that will close them: the first has been idle the longest.
    idle: BTreeMap<TimerKey, usize>,
    settings: Rc<HostSettings>,
    /// Nodes with attempts that are not assigned to a connection.
    nodes_to_flush: Vec<NodeId>,
    /// Batches that found no descriptor for a connection, until one is freed or none can be.
    awaiting_descriptor: Vec<(NodeId, Vec<AttemptRequest>)>,
    /// Removed nodes whose index is not free yet.
    removed_nodes: Vec<NodeId>,
    /// The check against the active configuration, with a control plane.
    pub gate: Option<Rc<Gate>>,
    /// Which nodes speak the search API, if any do.
    search_api: Option<SearchApiNodes>,
    /// Connections that wait for the next piece of a body.
    awaiting_body: Vec<usize>,
    /// How far the connections with a pass-through body have come.
    body_progress: HashMap<usize, BodyProgress>,
    /// Nodes that changed, not yet handled.
    pub changed_nodes: Vec<ChangedNode>,
    /// Attempts with a streamed body whose frames are fully written, not yet reported to the router.
    pub written_bodies: VecDeque<(NodeId, AttemptId)>,
    /// Payload bytes copied into frames since the start.
    pub copied_bytes: u64,
    /// Attempts that ended, not yet reported to the router: it may be inside the call that ended them.
    pub completed: VecDeque<CompletedAttempt>,
}

impl NodeEntry {
    fn name(&self) -> &str {
        self.endpoint.as_ref().map_or("?", |endpoint| &endpoint.name)
    }

    fn has_state(&self, state: EndpointState) -> bool {
        self.endpoint.as_ref().is_some_and(|endpoint| endpoint.state == state)
    }
}

impl OutstandingRequest {
    /// Whether it is not framed yet and its body is lost.
    fn awaits_lost_body(&self) -> bool {
        let body = self.request.payload.body();
        self.frame_end.is_none() && body.is_some_and(|body| body.loss().is_some())
    }

    /// Whether the last byte of its frame has been written.
    fn is_written(&self, output: &WriteQueue) -> bool {
        self.frame_end.is_some_and(|to| to <= output.written_offset())
    }

    fn into_completed(
        self,
        node: NodeId,
        outcome: AttemptOutcome,
        now: f64,
        value: Option<String>,
    ) -> CompletedAttempt {
        let AttemptRequest { query, part, attempt, .. } = self.request;
        CompletedAttempt {
            ended: AttemptEnded { query, part, attempt, node, outcome, elapsed: now - self.queued_at },
            value,
            search_report: None,
        }
    }
}

impl AttemptRequest {
    /// The part and the node with this name, for checks against the active configuration.
    pub fn target<'a>(&'a self, node: &'a str) -> PartTarget<'a> {
        PartTarget {
            start: self.query_start.as_deref(),
            query_class: self.query_class,
            segment: self.segment,
            node,
        }
    }

    fn key(&self) -> AttemptId {
        AttemptId { query: self.query, part: self.part, index: self.attempt }
    }

    /// The end of this attempt if it was never sent.
    pub fn completed_unsent(&self, node: NodeId, outcome: AttemptOutcome) -> CompletedAttempt {
        let ended = AttemptEnded {
            query: self.query,
            part: self.part,
            attempt: self.attempt,
            node,
            outcome,
            elapsed: 0.0,
        };
        CompletedAttempt { ended, value: None, search_report: None }
    }
}

impl NodeConnection {
    /// Removes an attempt from the outstanding ones, and remembers it as finished.
    fn finish_request(&mut self, at: usize) -> Option<OutstandingRequest> {
        let out = self.outstanding.remove(at)?;
        self.finished.push_back(out.request.id.clone());
        if self.finished.len() > MAX_FINISHED_REMEMBERED {
            self.finished.pop_front();
        }
        Some(out)
    }

    /// Whether it carries an attempt with this id, or has.
    fn has_carried(&self, id: &str) -> bool {
        let cancelled = self.cancelled.iter().chain(&self.finished).any(|finished| **finished == *id);
        cancelled || self.outstanding.iter().any(|o| *o.request.id == *id)
    }

    fn is_idle(&self) -> bool {
        self.connected && self.outstanding.is_empty()
    }

    /// Whether new attempts may be written to it, in frames or as requests of the search API.
    fn is_usable(&self, now: f64, uses_search_api: bool) -> bool {
        // A connection inside a frame may be broken, and one past its idle time may be closed by the node.
        !self.retired
            && self.uses_search_api == uses_search_api
            && self.input.is_none()
            && !self.is_idle_expired(now)
    }

    /// Whether it has carried another attempt of a part: attempts share the part's id, and on one connection a repeated end
    /// could be taken for the other's.
    fn would_repeat(&self, requests: &[AttemptRequest]) -> bool {
        requests.iter().any(|request| request.attempt > 0 && self.has_carried(&request.id))
    }

    /// Whether a body that it carries is lost.
    fn has_lost_body(&self) -> bool {
        let framed = self.output.next_body().is_some_and(|reader| reader.body.loss().is_some());
        framed || self.outstanding.iter().any(OutstandingRequest::awaits_lost_body)
    }

    /// Whether it has been idle for as long as it may.
    fn is_idle_expired(&self, now: f64) -> bool {
        self.is_idle() && self.timer.is_some_and(|key| clock::is_due(key, now))
    }

    /// The frame of a streamed body is being written, or is next: a frame behind it would wait for the whole body.
    fn is_reserved_for_body(&self) -> bool {
        self.output.next_body().is_some()
            || self.outstanding.iter().any(|o| o.frame_end.is_none() && o.request.payload.body().is_some())
    }
}

impl Upstream {
    /// No nodes yet; `max_connections` bounds the connections.
    pub fn new(
        handle: EventLoopHandle,
        pool: &Pool,
        settings: Rc<HostSettings>,
        max_connections: usize,
    ) -> Self {
        Self {
            handle,
            pool: pool.clone(),
            nodes: Vec::new(),
            connections: Slab::new(),
            max_connections,
            idle: BTreeMap::new(),
            settings,
            nodes_to_flush: Vec::new(),
            awaiting_descriptor: Vec::new(),
            removed_nodes: Vec::new(),
            gate: None,
            search_api: None,
            awaiting_body: Vec::new(),
            body_progress: HashMap::new(),
            changed_nodes: Vec::new(),
            written_bodies: VecDeque::new(),
            copied_bytes: 0,
            completed: VecDeque::new(),
        }
    }

    /// Nodes in these networks speak the search API. `non_idempotent` says of each query class whether it must not run twice.
    pub fn set_search_api_nodes(&mut self, networks: Vec<IpNet>, non_idempotent: Vec<bool>) {
        self.search_api = Some(SearchApiNodes { networks, non_idempotent });
    }

    fn uses_search_api(&self, node: NodeId) -> bool {
        let Some(api) = &self.search_api else { return false };
        let address = self.nodes.get(node).and_then(|entry| entry.endpoint.as_ref()?.address);
        address.is_some_and(|address| api.networks.iter().any(|network| network.contains(&address.ip())))
    }

    /// A node's name for the log; `?` if the index is free.
    pub fn name(&self, node: NodeId) -> &str {
        self.nodes.get(node).map_or("?", NodeEntry::name)
    }

    /// Queues an attempt; `flush` assigns it to a connection and writes it.
    pub fn dispatch(&mut self, node: NodeId, request: AttemptRequest) {
        self.nodes[node].unassigned.push(request);
        self.nodes_to_flush.push(node);
    }
}
