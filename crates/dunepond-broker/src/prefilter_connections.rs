//! Connections to nodes that are used only for prefilter requests, which ask which segments can match a query. They
//! are separate from those for attempts because a node that does not support the request closes the connection, which
//! must not fail an attempt.

use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use dunepond_config::HostSettings;
use dunepond_prefilter::{RequestFailure, SegmentAnswer};
use dunepond_routing::NodeId;
use slab::Slab;
use tracing::{debug, warn};

use crate::buffers::{Buffer, Pools, WriteQueue, bytes_for_next_read};
use crate::clock::{TimerEvent, TimerKey, Timers};
use crate::connection_end::ConnectionEnd;
use crate::frames::{self, NodeFrame};
use crate::iteration::{EventLoopHandle, LoopEvent, watch};
use crate::read_turn::{ReadTurn, Received, UnfinishedConnection, UnfinishedTurns};
use crate::socket_buffers::SocketBuffers;
use crate::upstream::open;

#[cfg(test)]
mod tests;

/// How long a node may take to answer a prefilter request before the connection to it is closed.
const ANSWER_TIMEOUT_SECONDS: f64 = 3.0;
/// Share of the configured idle timeout after which the broker closes an idle connection. It is below 1 so that the
/// broker closes it before the node does, while no request is in transit.
const IDLE_CLOSE_RATIO: f64 = 0.9;
/// How many bytes may wait to be written to one node; beyond that, requests to it fail.
const MAX_QUEUED_BYTES: usize = 256 * 1024;

/// The answers to a prefilter request: for each requested segment, whether it can match and the version that was
/// consulted.
pub type PrefilterAnswers = Vec<SegmentAnswer>;

/// A request that has not been answered yet.
struct OutstandingRequest {
    /// The number of the prefilter request.
    request: u64,
    /// When the request was queued, in Unix seconds.
    queued_at: f64,
}

/// A prefilter connection to a node.
struct PrefilterConnection {
    node: NodeId,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    connected: bool,
    input: Option<Buffer>,
    output: WriteQueue,
    /// Requests without an answer, oldest first.
    outstanding: VecDeque<OutstandingRequest>,
    /// Timer for the connect timeout, the answer timeout or the idle timeout, depending on the connection's state.
    timer: Option<TimerKey>,
}

/// All prefilter connections, at most one per node.
pub struct PrefilterConnections {
    handle: EventLoopHandle,
    pools: Pools,
    connections: Slab<PrefilterConnection>,
    by_node: HashMap<NodeId, usize>,
    max_connections: usize,
    /// The sizes of the system's buffers for connections that are opened.
    pub socket_buffers: SocketBuffers,
    /// Queues connections for another turn.
    unfinished_turns: UnfinishedTurns,
    settings: Rc<HostSettings>,
    /// Outcomes of requests that have not been reported to the prefilter yet: each is a request's number with its
    /// answers, or with the reason why it failed.
    pub responses: VecDeque<(u64, Result<PrefilterAnswers, RequestFailure>)>,
    /// Number of connections closed since the start because their node sent a malformed or unrequested message.
    pub malformed_messages: u64,
}

impl PrefilterConnections {
    /// Creates an instance without connections; `max_connections` limits them.
    pub fn new(
        handle: EventLoopHandle,
        pools: &Pools,
        settings: Rc<HostSettings>,
        max_connections: usize,
        unfinished_turns: &UnfinishedTurns,
    ) -> Self {
        let (pools, connections, by_node, responses) =
            (pools.clone(), Slab::new(), HashMap::new(), VecDeque::new());
        Self {
            handle,
            pools,
            connections,
            by_node,
            max_connections,
            socket_buffers: SocketBuffers::default(),
            unfinished_turns: unfinished_turns.clone(),
            settings,
            responses,
            malformed_messages: 0,
        }
    }

    /// Sends the frame of a request to a node at its address. A failure is added to `responses`.
    pub fn send(
        &mut self,
        now: f64,
        node: NodeId,
        address: SocketAddr,
        request: u64,
        frame: &[u8],
        timers: &mut Timers,
    ) {
        let id = match self.by_node.get(&node) {
            Some(id) => *id,
            None => match self.connect(now, node, address, timers) {
                Ok(id) => id,
                Err(connection_end) => {
                    debug!("node {node}: prefilter connection {connection_end}");
                    return self.responses.push_back((request, Err(RequestFailure::NoConnection)));
                }
            },
        };
        let connection = &mut self.connections[id];
        if connection.output.pending_bytes() > MAX_QUEUED_BYTES
            || !self.pools.frames.has_room(frame.len(), 1.0)
        {
            return self.responses.push_back((request, Err(RequestFailure::Timeout)));
        }
        connection.output.queue_bytes(frame);
        if connection.outstanding.is_empty() && connection.connected {
            timers.cancel(connection.timer.take());
            connection.timer =
                Some(timers.schedule(now + ANSWER_TIMEOUT_SECONDS, TimerEvent::PrefilterConnection(id)));
        }
        connection.outstanding.push_back(OutstandingRequest { request, queued_at: now });
        self.write(id, timers);
    }

    /// Returns the node that connection `id` leads to; `None` if no connection has this index.
    pub fn connected_node(&self, id: usize) -> Option<NodeId> {
        self.connections.get(id).map(|connection| connection.node)
    }

    /// Opens a connection to a node, and returns its index.
    fn connect(
        &mut self,
        now: f64,
        node: NodeId,
        address: SocketAddr,
        timers: &mut Timers,
    ) -> Result<usize, ConnectionEnd> {
        if self.connections.len() >= self.max_connections {
            return Err(ConnectionEnd::LocalResources);
        }
        let stream = Rc::new(open(address, self.socket_buffers)?);
        let entry = self.connections.vacant_entry();
        let id = entry.key();
        let token = watch(&self.handle, &stream, move |readable| LoopEvent::PrefilterReady(id, readable));
        let token = token.map_err(|_| ConnectionEnd::LocalResources)?;
        let timer = Some(
            timers.schedule(now + self.settings.connect_timeout_seconds, TimerEvent::PrefilterConnection(id)),
        );
        entry.insert(PrefilterConnection {
            node,
            stream,
            token,
            connected: false,
            input: None,
            output: WriteQueue::new(&self.pools.frames),
            outstanding: VecDeque::new(),
            timer,
        });
        self.by_node.insert(node, id);
        Ok(id)
    }

    /// Handles a readiness event of a connection: it is readable or writable, has been established, or has failed.
    pub fn on_ready(&mut self, now: f64, id: usize, readable: bool, timers: &mut Timers) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !connection.connected {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => {}
                Ok(None) => return,
                Ok(Some(e)) | Err(e) => return self.close(id, ConnectionEnd::from_io_error(&e), timers),
            }
            connection.connected = true;
            timers.cancel(connection.timer.take());
            connection.timer =
                Some(timers.schedule(now + ANSWER_TIMEOUT_SECONDS, TimerEvent::PrefilterConnection(id)));
        }
        if readable {
            self.read(now, id, timers);
        }
        self.write(id, timers);
    }

    /// Writes the pending bytes of an established connection.
    fn write(&mut self, id: usize, timers: &mut Timers) {
        let Some(connection) = self.connections.get_mut(id).filter(|connection| connection.connected) else {
            return;
        };
        if let Err(e) = connection.output.flush(&*connection.stream) {
            self.close(id, ConnectionEnd::from_io_error(&e), timers);
        }
    }

    /// Reads and handles what has arrived on a connection, until no bytes are left or the connection's turn is over, and
    /// sets its next timer.
    fn read(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let mut turn = ReadTurn::default();
        loop {
            let connection = &mut self.connections[id];
            if !self.pools.nodes.has_room(bytes_for_next_read(connection.input.as_ref()), 1.0) {
                return self.close(id, ConnectionEnd::OutOfMemory, timers);
            }
            let input = connection.input.get_or_insert_with(|| self.pools.nodes.acquire());
            let connection_end = match turn.read(input, &*connection.stream) {
                Ok(Received::End) => Some(ConnectionEnd::Closed),
                Ok(Received::Bytes) => self.receive_frames(now, id),
                Ok(Received::Drained) if input.is_empty() => {
                    connection.input = None;
                    break;
                }
                // The next answer would be read as the remainder of this frame.
                Ok(Received::Drained) if connection.outstanding.is_empty() => {
                    warn!("node {}: a part of a frame without a prefilter request", connection.node);
                    Some(ConnectionEnd::ProtocolError)
                }
                Ok(Received::Drained) => break,
                Ok(Received::TurnOver) => {
                    self.unfinished_turns.add(UnfinishedConnection::Prefilter(id));
                    break;
                }
                Err(e) => Some(ConnectionEnd::from_io_error(&e)),
            };
            if let Some(connection_end) = connection_end {
                return self.close(id, connection_end, timers);
            }
        }
        // The timeout of the oldest request counts from when it was queued. Without requests the connection is idle.
        let connection = &mut self.connections[id];
        timers.cancel(connection.timer.take());
        let due = match connection.outstanding.front() {
            Some(oldest) => oldest.queued_at + ANSWER_TIMEOUT_SECONDS,
            None => now + IDLE_CLOSE_RATIO * self.settings.idle_timeout_seconds,
        };
        connection.timer = Some(timers.schedule(due, TimerEvent::PrefilterConnection(id)));
    }

    /// Handles each complete frame that has arrived.
    fn receive_frames(&mut self, now: f64, id: usize) -> Option<ConnectionEnd> {
        loop {
            let connection = &mut self.connections[id];
            let input = connection.input.as_mut()?;
            let (frame_bytes, request, answers) = match frames::decode_frame(input.filled()) {
                Ok(None) => return None,
                Ok(Some((NodeFrame::PrefilterAnswers { request, answers }, frame_bytes))) => {
                    (frame_bytes, request, answers)
                }
                Ok(Some((NodeFrame::Rejected(reason), _))) => {
                    debug!("node {}: rejected by the node: {}", connection.node, reason.escape_debug());
                    return Some(ConnectionEnd::RejectedByPeer);
                }
                Ok(Some((NodeFrame::AttemptEnded { .. }, _))) => {
                    warn!("node {}: an E frame on a prefilter connection", connection.node);
                    return Some(ConnectionEnd::ProtocolError);
                }
                Err(error) => {
                    warn!("node {}: on a prefilter connection: {error}", connection.node);
                    return Some(ConnectionEnd::ProtocolError);
                }
            };
            input.consume(frame_bytes);
            match connection.outstanding.iter().position(|outstanding| outstanding.request == request) {
                Some(position) => {
                    let queued_at = connection.outstanding.remove(position)?.queued_at;
                    debug!(
                        "node {}: prefilter request {request} answered after {:.4} s",
                        connection.node,
                        now - queued_at
                    );
                    self.responses.push_back((request, Ok(answers)));
                }
                None => {
                    warn!("node {}: an answer to an unknown prefilter request", connection.node);
                    return Some(ConnectionEnd::ProtocolError);
                }
            }
        }
    }

    /// Closes a connection whose timer has fired: it was not established or a request was not answered in time, or it
    /// has been idle for too long.
    pub fn on_timeout(&mut self, id: usize, timers: &mut Timers) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.timer = None;
        let connection_end = match (connection.connected, connection.outstanding.is_empty()) {
            (false, _) => ConnectionEnd::ConnectTimeout,
            (true, true) => ConnectionEnd::IdleClosed,
            (true, false) => ConnectionEnd::IoTimeout,
        };
        self.close(id, connection_end, timers);
    }

    /// Closes the connection to a node that drains, was removed or was replaced by another process.
    pub fn close_node(&mut self, node: NodeId, timers: &mut Timers) {
        if let Some(id) = self.by_node.get(&node) {
            self.close(*id, ConnectionEnd::Replaced, timers);
        }
    }

    /// Closes a connection; its outstanding requests fail. Every close of a prefilter connection goes through here.
    fn close(&mut self, id: usize, connection_end: ConnectionEnd, timers: &mut Timers) {
        let Some(connection) = self.connections.try_remove(id) else { return };
        timers.cancel(connection.timer);
        self.by_node.remove(&connection.node);
        self.handle.remove(connection.token);
        self.malformed_messages += u64::from(connection_end == ConnectionEnd::ProtocolError);
        debug!(
            "node {}: prefilter connection {connection_end}, {} requests outstanding",
            connection.node,
            connection.outstanding.len()
        );
        let failure = connection_end.request_failure();
        self.responses
            .extend(connection.outstanding.iter().map(|outstanding| (outstanding.request, Err(failure))));
    }
}
