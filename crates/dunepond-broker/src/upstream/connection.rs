//! Opens, reuses and closes connections to nodes.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use dunepond_routing::NodeId;
use socket2::{Domain, Protocol, Socket, Type};
use tracing::{debug, info};

use super::{FinishedIds, NodeConnection, Upstream};
use crate::buffers::WriteQueue;
use crate::clock::{TimerEvent, Timers};
use crate::connection_end::ConnectionEnd;
use crate::http::ResponseReader;
use crate::iteration::{LoopEvent, watch};
use crate::socket_buffers::SocketBuffers;

/// Share of the configured idle timeout after which the broker closes an idle connection. It is below 1 so that no
/// frame is in transit when the node closes the connection: the margin covers the transit time and a late timer. A
/// connection that has been idle for longer is not used even if it is still open.
const IDLE_CLOSE_RATIO: f64 = 0.9;

/// Starts a non-blocking connect to `address`; the event loop reports later whether it succeeds.
///
/// Fails if the process lacks a file descriptor or another local resource, or if the peer refuses at once.
pub fn open(address: SocketAddr, buffers: SocketBuffers) -> Result<TcpStream, ConnectionEnd> {
    let start = || -> io::Result<Socket> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        buffers.apply(&socket);
        Ok(socket)
    };
    let resource_error = |e: io::Error| match e.raw_os_error() {
        Some(libc::EMFILE | libc::ENFILE) => ConnectionEnd::DescriptorsExhausted,
        _ => ConnectionEnd::LocalResources,
    };
    let socket = start().map_err(resource_error)?;
    match socket.connect(&address.into()) {
        Ok(()) => Ok(socket.into()),
        Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => Ok(socket.into()),
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Err(ConnectionEnd::Refused),
        Err(_) => Err(ConnectionEnd::LocalResources),
    }
}

impl Upstream {
    /// Opens a connection to a node, and returns its index. At the connection limit it first closes the connection that
    /// has been idle the longest, and fails if none is idle.
    pub(super) fn connect(
        &mut self,
        now: f64,
        node: NodeId,
        timers: &mut Timers,
    ) -> Result<usize, ConnectionEnd> {
        let address = self.nodes[node]
            .endpoint
            .as_ref()
            .and_then(|endpoint| endpoint.address)
            .ok_or(ConnectionEnd::LocalResources)?;
        if self.connections.len() >= self.max_connections && !self.close_longest_idle(now, timers) {
            return Err(ConnectionEnd::LocalResources);
        }
        let (stream, uses_search_api) =
            (Rc::new(open(address, self.socket_buffers)?), self.uses_search_api(node));
        let entry = self.connections.vacant_entry();
        let id = entry.key();
        let token = watch(&self.handle, &stream, move |readable| LoopEvent::UpstreamReady(id, readable));
        let token = token.map_err(|_| ConnectionEnd::LocalResources)?;
        entry.insert(NodeConnection {
            node,
            stream,
            token,
            connected: false,
            since: now,
            retired: false,
            timer: Some(
                timers.schedule(
                    now + self.settings.connect_timeout_seconds,
                    TimerEvent::UpstreamConnection(id),
                ),
            ),
            input: None,
            output: WriteQueue::new(&self.pools.frames),
            outstanding: VecDeque::new(),
            cancelled: Vec::new(),
            last_batch: 0,
            uses_search_api,
            responses: ResponseReader::default(),
            reusable_at: f64::MIN,
            finished: FinishedIds::default(),
            repeats_left: 0,
            turn_unfinished: false,
            write_failure: None,
        });
        self.nodes[node].connections.push(id);
        debug!("node {}: opening a connection", self.name(node));
        Ok(id)
    }

    /// Closes the connection that has been idle the longest to free its file descriptor. Returns `false` if none is
    /// idle.
    pub fn close_longest_idle(&mut self, now: f64, timers: &mut Timers) -> bool {
        let idle = self.idle.first_key_value().map(|(_, id)| *id);
        idle.into_iter().for_each(|id| self.close(now, id, ConnectionEnd::IdleClosed, timers));
        idle.is_some()
    }

    /// Handles a readiness event of a connection: it is readable or writable, has been established, or has failed.
    pub fn on_ready(&mut self, now: f64, id: usize, readable: bool, timers: &mut Timers) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !connection.connected {
            match connection.stream.take_error() {
                Ok(Some(e)) | Err(e) => return self.close(now, id, ConnectionEnd::from_io_error(&e), timers),
                Ok(None) if connection.stream.peer_addr().is_err() => return,
                Ok(None) => {}
            }
            (connection.connected, connection.since) = (true, now);
            timers.cancel(connection.timer.take());
        }
        // Reads first, so that responses that arrived before a failure are handled before a write reports the failure.
        if readable {
            self.read(now, id, timers);
        }
        self.write(now, id, timers);
        self.close_or_keep_idle(now, id, timers);
    }

    /// Stops using the connections to a node for new attempts, and closes each as soon as no attempt is outstanding on
    /// it.
    pub fn retire_connections(&mut self, now: f64, node: NodeId, timers: &mut Timers) {
        for id in self.nodes.get(node).map(|entry| entry.connections.clone()).unwrap_or_default() {
            self.connections[id].retired = true;
            self.close_or_keep_idle(now, id, timers);
        }
    }

    /// Closes a connection without outstanding attempts if it must not be used again; otherwise starts its idle timer.
    /// Does nothing if attempts are outstanding, the connection is not established, or not everything that has arrived
    /// on it is read.
    pub(super) fn close_or_keep_idle(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let Some(connection) = self
            .connections
            .get_mut(id)
            .filter(|found| found.connected && found.outstanding.is_empty() && !found.turn_unfinished)
        else {
            return;
        };
        // Cancelled attempts count towards the limit of parts until the node reports their end, since it may still be
        // running them.
        let is_full = connection.cancelled.len() >= self.settings.max_parts_per_connection;
        if connection.retired || connection.input.is_some() || is_full {
            return self.close(now, id, ConnectionEnd::IdleClosed, timers);
        }
        if connection.timer.is_none() {
            let key = timers.schedule(
                now + IDLE_CLOSE_RATIO * self.settings.idle_timeout_seconds,
                TimerEvent::UpstreamConnection(id),
            );
            connection.timer = Some(key);
            self.idle.insert(key, id);
        }
    }

    /// Closes a connection whose timer has fired: it was not established in time, did not deliver the rest of a frame
    /// in time, or has been idle for too long.
    pub fn on_timeout(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let connection_end = match self.connections.get(id) {
            Some(connection) if !connection.connected => ConnectionEnd::ConnectTimeout,
            Some(connection) if !connection.outstanding.is_empty() => ConnectionEnd::IoTimeout,
            _ => ConnectionEnd::IdleClosed,
        };
        self.close(now, id, connection_end, timers);
    }

    /// Closes a connection and completes its attempts; their outcome follows from `connection_end` and from whether
    /// their frames were fully written. Every close of a connection to a node goes through here.
    pub(super) fn close(&mut self, now: f64, id: usize, connection_end: ConnectionEnd, timers: &mut Timers) {
        let Some(connection) = self.connections.try_remove(id) else { return };
        timers.cancel(connection.timer);
        connection.timer.and_then(|key| self.idle.remove(&key));
        self.handle.remove(connection.token);
        self.malformed_messages += u64::from(connection_end == ConnectionEnd::ProtocolError);
        let node_entry = &mut self.nodes[connection.node];
        node_entry.connections.retain(|other| *other != id);
        match connection.outstanding.len() {
            0 => debug!("node {}: connection {connection_end}", node_entry.name()),
            count => {
                info!(
                    "node {}: connection {connection_end} with {count} attempts outstanding",
                    node_entry.name()
                );
            }
        }
        for out in connection.outstanding {
            let outcome = connection_end
                .attempt_outcome(out.frame_end.is_some_and(|end| end <= connection.output.written_offset()));
            self.completed.push_back(out.into_completed(connection.node, outcome, now, None));
        }
    }
}
