//! The broker's connections to nodes, the attempts that are sent on them and the attempts that have ended.
//!
//! Times are Unix seconds of the process's monotonic clock.

mod cancel;
mod connection;
mod endpoints;
mod finished_ids;
mod framing;
mod ownership_check;
mod read_memory;
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
use crate::buffers::{Buffer, Pools, WriteQueue};
use crate::clock::{self, TimerKey};
use crate::connection_end::ConnectionEnd;
use crate::control_plane::{Gate, PartTarget, QueryStart};
use crate::endpoint::EndpointInfo;
use crate::frames::SearchReport;
use crate::http::ResponseReader;
use crate::iteration::EventLoopHandle;
use crate::read_turn::UnfinishedTurns;
use crate::socket_buffers::SocketBuffers;
pub use connection::open;
use finished_ids::FinishedIds;

/// Time after a search API response for which its connection gets no attempt. A response does not name its request, so
/// what a node sends behind a response can be told from the next response only while no request is outstanding.
const SEARCH_API_REUSE_DELAY_SECONDS: f64 = 0.01;

/// An attempt to be sent, with all data from which its frame is encoded.
pub struct AttemptRequest {
    /// The query that the attempt belongs to.
    pub query: QueryId,
    /// Index of the part among the query's parts.
    pub part: usize,
    /// Index of the attempt among the part's attempts.
    pub attempt: usize,
    /// The part's id on the wire, which all attempts of the part share.
    pub id: Rc<str>,
    /// The segment that the attempt searches.
    pub segment: usize,
    /// Index of the query's class among the configured query classes.
    pub query_class: usize,
    /// When the query's response is due, in Unix seconds.
    pub deadline: f64,
    /// Unix time in seconds from which on no byte of the attempt may be sent: the query has timed out, or its
    /// idempotency window is about to end, after which a node would not recognise a repeated part.
    pub send_by: f64,
    /// The payload of the part.
    pub payload: Payload,
    /// The attempt's reader of a streamed body; `None` if the payload is not streamed or the reader is in a write
    /// queue.
    pub body_reader: Option<BodyReader>,
    /// The active configuration at the query's start; `None` without a control plane.
    pub query_start: Option<Rc<QueryStart>>,
}

/// An attempt that is assigned to a connection.
struct OutstandingRequest {
    request: AttemptRequest,
    /// When the attempt was assigned to the connection, in Unix seconds.
    queued_at: f64,
    /// The number of the attempt's batch. The attempts of a batch share a frame.
    batch: u64,
    /// Offset at which the attempt's frame begins in the connection's write queue; valid only if `frame_end` is set.
    frame_start: u64,
    /// Offset at which the attempt's frame ends in the connection's write queue; `None` while the attempt is not
    /// framed. While a connection is not established, or is blocked, its write queue contains no frame of which nothing
    /// is written. Waiting attempts can therefore be withdrawn before the node knows of them, and each frame states the
    /// time left when it is written.
    frame_end: Option<u64>,
    /// Whether the attempt has been written to the audit log.
    audited: bool,
}

/// A connection to a node.
struct NodeConnection {
    node: NodeId,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    /// Whether the connection is established.
    connected: bool,
    /// When the connection was established or, while it is not, when it was opened; in Unix seconds.
    since: f64,
    /// Whether the connection gets no new attempts, and is closed as soon as none is outstanding.
    retired: bool,
    /// Timer of the time limit for connecting, for receiving the rest of a frame, or for being idle.
    timer: Option<TimerKey>,
    /// Bytes received that do not make a complete frame yet.
    input: Option<Buffer>,
    output: WriteQueue,
    /// The attempts that are assigned to the connection and have not ended.
    outstanding: VecDeque<OutstandingRequest>,
    /// Ids of cancelled attempts whose end the node has not reported. The node may still be running them, so each
    /// counts towards the limit of parts on the connection.
    cancelled: Vec<Rc<str>>,
    /// The number of the batch that was assigned to this connection most recently.
    last_batch: u64,
    /// Whether the connection uses the search API, with one request at a time.
    uses_search_api: bool,
    /// The search API responses that are being received.
    responses: ResponseReader,
    /// From when on the connection may get attempts, in Unix seconds.
    reusable_at: f64,
    /// Ids of the attempts that most recently ended or were cancelled on this connection. Cancelled attempts are also in a list
    /// of their own until the node reports their end.
    finished: FinishedIds,
    /// How many ends of finished attempts the node may still repeat: it may repeat each once.
    repeats_left: usize,
    /// Whether the last turn ended before all bytes that had arrived were read.
    turn_unfinished: bool,
    /// Why a write failed; `None` if none did. The connection is closed once the responses that arrived before are read.
    write_failure: Option<ConnectionEnd>,
}

/// A node, with the connections to it.
#[derive(Default)]
struct NodeEntry {
    /// The node's most recent row in the endpoint list; `None` if no node has this index.
    endpoint: Option<EndpointInfo>,
    /// Indices of the connections to the node.
    connections: Vec<usize>,
    /// Attempts that were dispatched since the last `flush` and are not assigned to a connection yet.
    unassigned: Vec<AttemptRequest>,
}

/// An attempt that has ended.
pub struct CompletedAttempt {
    /// The attempt and its outcome, as the router needs them.
    pub ended: AttemptEnded,
    /// The answer that the node returned for the part, as text; `None` if the attempt was not served.
    pub value: Option<String>,
    /// The version that was searched and whether anything was found; `None` if the node does not report that.
    pub search_report: Option<SearchReport>,
}

/// A node whose address changed, that drains, or that was removed or replaced by another process.
pub struct ChangedNode {
    /// Id of the node.
    pub node: NodeId,
    /// Whether the node now runs as another process.
    pub replaced: bool,
}

/// How much of a pass-through body a connection has consumed.
struct BodyProgress {
    /// Offset in the body, in bytes.
    offset: u64,
    /// Unix time in seconds since which this connection has consumed nothing while the body was full, which delays the
    /// body's other readers. If the connection has consumed bytes since the previous check, or the body is not full,
    /// the time of the most recent check.
    since: f64,
}

/// The nodes that are queried through the search API instead of frames.
struct SearchApiNodes {
    /// The IP networks whose nodes are queried through the search API.
    networks: Vec<IpNet>,
    /// For each query class, whether its queries must not run twice.
    non_idempotent: Vec<bool>,
}

/// All nodes and the connections to them.
pub struct Upstream {
    handle: EventLoopHandle,
    pools: Pools,
    /// Connections that are read once there is memory for what they send, in the order in which they get it.
    awaiting_memory: VecDeque<usize>,
    /// Number of connections closed since the start because others needed their memory.
    pub evicted_for_memory: u64,
    nodes: Vec<NodeEntry>,
    connections: Slab<NodeConnection>,
    /// The sizes of the system's buffers for connections that are opened.
    pub socket_buffers: SocketBuffers,
    /// Limit on the number of connections to all nodes.
    max_connections: usize,
    /// The connections that get another turn in the next iteration.
    unfinished_turns: UnfinishedTurns,
    /// Connections without attempts, by the timer that will close each. The first has been idle the longest.
    idle: BTreeMap<TimerKey, usize>,
    settings: Rc<HostSettings>,
    /// Nodes with attempts that are not assigned to a connection yet.
    nodes_to_flush: Vec<NodeId>,
    /// Batches of attempts for which no connection could be opened, as no file descriptor was free. The batches wait
    /// until a descriptor is freed; if none can be freed, their attempts end as not sent.
    awaiting_descriptor: Vec<(NodeId, Vec<AttemptRequest>)>,
    /// Removed nodes whose index is still in use.
    removed_nodes: Vec<NodeId>,
    /// Checks attempts against the active configuration; `None` without a control plane.
    pub gate: Option<Rc<Gate>>,
    /// The nodes that are queried through the search API; `None` if there are none.
    search_api: Option<SearchApiNodes>,
    /// Connections that wait for more bytes of a streamed body.
    awaiting_body: Vec<usize>,
    /// Progress of each connection that writes a pass-through body.
    body_progress: HashMap<usize, BodyProgress>,
    /// Nodes that changed and whose change the event loop has not handled yet.
    pub changed_nodes: Vec<ChangedNode>,
    /// Attempts with a streamed body whose frame is fully written, if this has not been reported to the router yet.
    pub written_bodies: VecDeque<(NodeId, AttemptId)>,
    /// Payload bytes copied into frames since the start.
    pub copied_bytes: u64,
    /// Number of connections closed since the start because their node sent a malformed or unrequested message.
    pub malformed_messages: u64,
    /// Attempts that have ended and are not reported to the router yet. They are queued because an attempt may end
    /// during a call to the router, which must not be called again from within that call.
    pub completed: VecDeque<CompletedAttempt>,
}

impl NodeEntry {
    /// Returns the node's name; `?` if this index is free.
    fn name(&self) -> &str {
        self.endpoint.as_ref().map_or("?", |endpoint| &endpoint.name)
    }

    fn has_state(&self, state: EndpointState) -> bool {
        self.endpoint.as_ref().is_some_and(|endpoint| endpoint.state == state)
    }
}

impl OutstandingRequest {
    /// Returns whether the attempt is not framed yet and its streamed body is lost.
    fn awaits_lost_body(&self) -> bool {
        let body = self.request.payload.body();
        self.frame_end.is_none() && body.is_some_and(|body| body.loss().is_some())
    }

    /// Returns whether the last byte of the attempt's frame has been written.
    fn is_written(&self, output: &WriteQueue) -> bool {
        self.frame_end.is_some_and(|end| end <= output.written_offset())
    }

    /// Ends the attempt with an outcome and, if it was served, the answer that the node returned for the part, as
    /// text.
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
    /// Returns the input for the check of whether the node named `node` may get this attempt's part.
    pub fn target<'a>(&'a self, node: &'a str) -> PartTarget<'a> {
        PartTarget {
            start: self.query_start.as_deref(),
            query_class: self.query_class,
            segment: self.segment,
            node,
        }
    }

    /// Returns the attempt's id for the router.
    fn key(&self) -> AttemptId {
        AttemptId { query: self.query, part: self.part, index: self.attempt }
    }

    /// Returns the end of this attempt with the given outcome, for an attempt that was never sent.
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
    /// Removes the attempt at `position` from the outstanding attempts, and stores its id as finished.
    fn finish_request(&mut self, position: usize) -> Option<OutstandingRequest> {
        let out = self.outstanding.remove(position)?;
        self.finished.add(&out.request.id);
        self.repeats_left += 1;
        Some(out)
    }

    /// Returns whether an attempt with this id is outstanding on the connection, or is known to have ended on it.
    fn has_seen_attempt(&self, id: &str) -> bool {
        let is_cancelled = self.cancelled.iter().any(|cancelled| **cancelled == *id);
        is_cancelled || self.finished.contains(id) || self.outstanding.iter().any(|o| *o.request.id == *id)
    }

    /// Returns whether the connection is established and has no outstanding attempt.
    fn is_idle(&self) -> bool {
        self.connected && self.outstanding.is_empty()
    }

    /// Returns whether the first bytes of a frame or a response have arrived and its last ones have not been handled.
    fn has_partial_message(&self) -> bool {
        // The head of a response and the part of its body that has arrived are no longer in `input`.
        self.responses.has_partial_response() || self.input.as_ref().is_some_and(|input| !input.is_empty())
    }

    /// Returns whether new attempts may be written to the connection, in frames or as requests of the search API.
    fn is_usable(&self, now: f64, uses_search_api: bool) -> bool {
        // Excludes connections with an input buffer, as not everything on them is read or they have received part of a
        // frame and may be broken; and those idle for too long, as the node may be closing them.
        !self.retired
            && !self.turn_unfinished
            && now >= self.reusable_at
            && self.uses_search_api == uses_search_api
            && self.input.is_none()
            && !self.is_idle_expired(now)
    }

    /// Returns whether another attempt of one of these attempts' parts was assigned to the connection before. All
    /// attempts of a part share the part's id, so if the node reported the end of the first attempt twice, the second
    /// report could be mistaken for the end of the new attempt.
    fn would_repeat(&self, requests: &[AttemptRequest]) -> bool {
        requests.iter().any(|request| request.attempt > 0 && self.has_seen_attempt(&request.id))
    }

    /// Returns whether the connection has an outstanding attempt whose body is lost.
    fn has_lost_body(&self) -> bool {
        let framed = self.output.next_body().is_some_and(|reader| reader.body.loss().is_some());
        framed || self.outstanding.iter().any(OutstandingRequest::awaits_lost_body)
    }

    /// Returns whether the connection has reached its maximum idle time.
    fn is_idle_expired(&self, now: f64) -> bool {
        self.is_idle() && self.timer.is_some_and(|key| clock::is_due(key, now))
    }

    /// Returns whether the frame of a streamed body is being written or is next. A frame behind it would have to wait
    /// until the whole body is written.
    fn is_reserved_for_body(&self) -> bool {
        self.output.next_body().is_some()
            || self.outstanding.iter().any(|o| o.frame_end.is_none() && o.request.payload.body().is_some())
    }
}

impl Upstream {
    /// Creates an instance without nodes; `max_connections` limits the connections to all nodes together.
    pub fn new(
        handle: EventLoopHandle,
        pools: &Pools,
        settings: Rc<HostSettings>,
        max_connections: usize,
        unfinished_turns: &UnfinishedTurns,
    ) -> Self {
        Self {
            unfinished_turns: unfinished_turns.clone(),
            handle,
            pools: pools.clone(),
            awaiting_memory: VecDeque::new(),
            evicted_for_memory: 0,
            nodes: Vec::new(),
            connections: Slab::new(),
            max_connections,
            socket_buffers: SocketBuffers::default(),
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
            malformed_messages: 0,
            completed: VecDeque::new(),
        }
    }

    /// Sets the networks whose nodes are queried through the search API. `non_idempotent` says for each query class
    /// whether its queries must not run twice.
    pub fn set_search_api_nodes(&mut self, networks: Vec<IpNet>, non_idempotent: Vec<bool>) {
        self.search_api = Some(SearchApiNodes { networks, non_idempotent });
    }

    /// Returns whether a node is queried through the search API.
    fn uses_search_api(&self, node: NodeId) -> bool {
        let Some(api) = &self.search_api else { return false };
        let address = self.nodes.get(node).and_then(|entry| entry.endpoint.as_ref()?.address);
        address.is_some_and(|address| api.networks.iter().any(|network| network.contains(&address.ip())))
    }

    /// Returns a node's name for the log; `?` if the index is free.
    pub fn name(&self, node: NodeId) -> &str {
        self.nodes.get(node).map_or("?", NodeEntry::name)
    }

    /// Returns the node that connection `id` leads to; `None` if no connection has this index.
    pub fn connected_node(&self, id: usize) -> Option<NodeId> {
        self.connections.get(id).map(|connection| connection.node)
    }

    /// Queues an attempt for a node; `flush` assigns it to a connection and writes it.
    pub fn dispatch(&mut self, node: NodeId, request: AttemptRequest) {
        self.nodes[node].unassigned.push(request);
        self.nodes_to_flush.push(node);
    }
}

#[cfg(test)]
mod tests;
