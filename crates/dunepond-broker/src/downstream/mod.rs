//! The downstream side: client connections, their requests and the responses.
//!
//! Times are Unix seconds of the process's monotonic clock.

mod accept;
mod arrivals;
mod closing;
mod decode;
mod disconnect;
mod phase;
mod read;
mod response;
mod streamed_body;
mod timeouts;
mod validation;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use dunepond_body_buffer::BodyId;
use dunepond_config::HostSettings;
use dunepond_routing::QueryId;
use serde_json::json;
use slab::Slab;

use crate::buffers::{BUFFER_BYTES, Buffer, Pool, WriteQueue, bytes_for_next_read, bytes_to_append};
use crate::clock::TimerKey;
use crate::connection_end::ConnectionEnd;
use crate::http::Head;
use crate::iteration::{EventLoopHandle, Port};
use crate::query_request::QueryRequest;
use crate::read_turn::{UnfinishedConnection, UnfinishedTurns};
use crate::search_api::{self, SearchRequest};
pub use accept::listen;
use arrivals::ArrivalTimes;
use phase::{ConnectionPhase, RequestPhase};
use read::MAX_REQUESTS_PER_TURN;

/// The result of reading from a client connection.
pub enum ClientEvent {
    /// A complete query has been read.
    Query(QueryRequest),
    /// The head of a query whose body is streamed has been read.
    StreamedQuery(QueryRequest, Box<Head>),
    /// The client has disconnected. Holds the id of the client's query in flight, if there is one.
    Disconnected(Option<QueryId>),
    /// A complete request of the search API has been read.
    SearchRequest(Box<SearchRequest>),
    /// Nothing has been read that the router has to handle.
    Nothing,
}

/// A connection of a client.
struct ClientConnection {
    stream: Rc<TcpStream>,
    /// The port at which the connection was accepted.
    port: Port,
    token: RegistrationToken,
    /// Bytes that are read and not parsed yet.
    input: Option<Buffer>,
    /// Bytes that were read while `input` was full, in order.
    read_ahead: VecDeque<Buffer>,
    output: WriteQueue,
    phase: ConnectionPhase,
    /// Whether there may be bytes to read. Kept here because readiness events are edge-triggered and so not repeated.
    readable: bool,
    /// When the connection was last checked for a disconnect, in Unix seconds.
    last_checked_at: f64,
    /// Whether, at the last check, more bytes waited in the socket than may be read ahead. The end of the stream comes after
    /// them, and does not reach this machine while its buffers are full.
    hides_its_end: bool,
    /// How the connection ended; `None` until the client is found disconnected.
    disconnected: Option<ConnectionEnd>,
    arrivals: ArrivalTimes,
    /// When the first byte of the current request arrived or, in the lingering phase, when that phase began; in Unix
    /// seconds.
    request_started_at: f64,
    /// Whether the client keeps the connection open after the response to its current request.
    keep_alive: bool,
    /// How many requests have been parsed in the client's current turn.
    requests_in_turn: usize,
    /// How many times the client has been read in its current turn.
    reads_in_turn: usize,
    /// Whether reading is paused, as the client sends faster than the broker may read. Reading resumes by a timer, or
    /// once the client's streamed body has room again.
    reading_paused: bool,
    /// The timer of the time limit that applies now.
    timer: Option<TimerKey>,
}

/// A listening socket for clients.
struct Listener {
    listener: Rc<TcpListener>,
    token: RegistrationToken,
    port: Port,
    /// When accepting was paused; `None` once all connections that waited in the backlog during the pause are accepted.
    paused_since: Option<f64>,
}

/// All client connections.
pub struct Downstream {
    handle: EventLoopHandle,
    pool: Pool,
    connections: Slab<ClientConnection>,
    max_connections: usize,
    /// Where bytes are read to that are discarded.
    discarded: Box<[u8]>,
    /// Number of connections closed since the start because others needed their memory.
    pub evicted_for_memory: u64,
    /// Number of connections closed since the start because their clients read too slowly what others needed the memory for.
    pub slow_readers_closed: u64,
    settings: Rc<HostSettings>,
    /// Number of malformed requests since the start.
    pub malformed_messages: u64,
    /// The listeners of the broker's own port and of the search API; `max_connections` bounds the connections of both
    /// together.
    listeners: Vec<Listener>,
    /// Whether accepting connections is paused.
    accepting_paused: bool,
    /// The timer that ends the pause; `None` if none is set.
    resume_timer: Option<TimerKey>,
    /// The search API; `None` if it is not enabled.
    pub search_api: Option<Rc<search_api::SearchApi>>,
    /// Connections that have not sent a complete request yet, by timer, so that the longest waiting one comes first.
    /// They may be evicted when `max_connections` is reached.
    awaiting_request: BTreeMap<TimerKey, usize>,
    /// Idle connections, by timer. They may be evicted when `max_connections` is reached.
    idle: BTreeMap<TimerKey, usize>,
    /// Connections whose write side is shut down, by timer. They may be evicted when `max_connections` is reached.
    lingering: BTreeMap<TimerKey, usize>,
    /// Connections with a response that is not written completely, by the timer that ends its delivery, so that the slowest
    /// reader comes first.
    delivering: BTreeMap<TimerKey, usize>,
    /// Limit on the bytes of responses that are not written.
    pub max_unread_bytes: usize,
    /// Whether streamed requests are accepted.
    pub accepts_streamed: bool,
    /// Streamed bodies of which more bytes have arrived.
    pub bodies_received: Vec<BodyId>,
    /// Clients from which nothing is read until their streamed body has room again.
    blocked_on_body: Vec<usize>,
    /// Connections to be read without a further readiness event.
    pub clients_to_read: Vec<usize>,
    /// Queues connections for another turn.
    unfinished_turns: UnfinishedTurns,
    /// Clients found disconnected whose connections are still to be closed.
    disconnected_clients: Vec<usize>,
    /// Whether the endpoint list has an active node.
    pub has_endpoints: bool,
    /// After a stall of the process, the earliest time at which the bytes that are read now can have arrived; `None` without
    /// a stall.
    pub received_since: Option<f64>,
    /// Whether a shutdown has begun: `/ready` then answers 503.
    pub is_draining: bool,
    /// Whether the shutdown has reached the stage at which each connection closes after its response.
    pub closes_after_response: bool,
    /// Whether the shutdown has reached the stage at which idle connections close.
    close_when_idle: bool,
    /// When the last responses of a shutdown are due, whatever the clients' deadlines; `f64::MAX` before a shutdown.
    pub shutdown_deadline: f64,
}

impl Downstream {
    /// Creates the downstream side with one listener for queries and no connections. `max_connections` bounds the
    /// connections, and the limit of `pool` what is read of requests.
    ///
    /// Fails if the event loop cannot watch the listener.
    pub fn new(
        handle: EventLoopHandle,
        pool: &Pool,
        settings: Rc<HostSettings>,
        max_connections: usize,
        listener: TcpListener,
        unfinished_turns: &UnfinishedTurns,
    ) -> calloop::Result<Self> {
        let mut downstream = Self {
            handle,
            pool: pool.clone(),
            connections: Slab::new(),
            max_connections,
            discarded: vec![0; BUFFER_BYTES].into_boxed_slice(),
            evicted_for_memory: 0,
            slow_readers_closed: 0,
            settings,
            listeners: Vec::new(),
            accepting_paused: false,
            resume_timer: None,
            search_api: None,
            awaiting_request: BTreeMap::new(),
            idle: BTreeMap::new(),
            lingering: BTreeMap::new(),
            delivering: BTreeMap::new(),
            max_unread_bytes: usize::MAX,
            accepts_streamed: false,
            bodies_received: Vec::new(),
            blocked_on_body: Vec::new(),
            clients_to_read: Vec::new(),
            malformed_messages: 0,
            unfinished_turns: unfinished_turns.clone(),
            disconnected_clients: Vec::new(),
            has_endpoints: false,
            received_since: None,
            is_draining: false,
            closes_after_response: false,
            close_when_idle: false,
            shutdown_deadline: f64::MAX,
        };
        downstream.add_listener(listener, Port::Queries)?;
        Ok(downstream)
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Queues a client to be read: at once, or in its next turn if it has had its turn.
    fn queue_read(&mut self, id: usize) {
        if self.connections.get(id).is_some_and(ClientConnection::has_had_turn) {
            self.unfinished_turns.add(UnfinishedConnection::Client(id));
        } else {
            self.clients_to_read.push(id);
        }
    }

    /// Whether a client is queued to be read.
    fn is_queued(&self, id: usize) -> bool {
        self.unfinished_turns.contains(UnfinishedConnection::Client(id)) || self.clients_to_read.contains(&id)
    }

    /// Returns the earliest time at which the bytes that are read now can have arrived.
    fn received_at(&self, now: f64) -> f64 {
        self.received_since.map_or(now, |since| since.min(now))
    }
}

impl ClientConnection {
    /// Whether the client has not sent a complete request yet.
    fn awaiting_request(&self) -> bool {
        match self.phase.request() {
            Some(RequestPhase::StreamingBody(streamed)) => streamed.query.is_none(),
            phase => matches!(phase, Some(RequestPhase::ReadingHead | RequestPhase::ReadingBody(_))),
        }
    }

    /// Whether the client is between requests, or inside the head of one.
    fn is_reading_head(&self) -> bool {
        matches!(self.phase.request(), Some(RequestPhase::ReadingHead))
    }

    /// Returns the memory of the grown buffers that hold what the client has sent of its request, in bytes.
    fn buffer_bytes(&self) -> usize {
        let body = match self.phase.request() {
            Some(RequestPhase::ReadingBody(message)) => message.body.as_ref(),
            _ => None,
        };
        self.input.iter().chain(&self.read_ahead).chain(body).map(Buffer::grown_bytes).sum()
    }

    /// Returns by how many bytes the buffers increase with the next read: the input buffer, and that of the body into which its
    /// bytes are moved.
    fn bytes_for_next_read(&self) -> usize {
        let input_bytes = bytes_for_next_read(self.input.as_ref());
        let Some(RequestPhase::ReadingBody(message)) = self.phase.request() else { return input_bytes };
        let moved = input_bytes.max(self.input.as_ref().map_or(0, Buffer::allocated_bytes));
        input_bytes + bytes_to_append(message.body.as_ref(), moved)
    }

    /// Returns how many bytes have been read from the client and not parsed yet.
    fn unparsed_bytes(&self) -> usize {
        let buffers = self.input.iter().chain(&self.read_ahead);
        buffers.map(|buffer| buffer.filled().len()).sum()
    }

    /// Whether bytes have been read from the client and not parsed yet.
    fn has_unparsed(&self) -> bool {
        self.unparsed_bytes() > 0
    }

    /// Begins a turn of the client.
    fn begin_turn(&mut self) {
        (self.requests_in_turn, self.reads_in_turn) = (0, 0);
    }

    /// Whether the client waits for its next turn: it is between requests, and as many were parsed as a turn may have.
    fn has_had_turn(&self) -> bool {
        self.is_reading_head() && self.requests_in_turn >= MAX_REQUESTS_PER_TURN
    }

    /// Whether there may be bytes to read and there is room for them.
    fn may_be_read(&self) -> bool {
        let full = self.input.as_ref().is_some_and(Buffer::is_full);
        !full && !self.reading_paused && (self.readable || !self.read_ahead.is_empty())
    }

    /// Discards what has been read and not parsed, as the connection ends.
    fn discard_received(&mut self) {
        self.input = None;
        self.read_ahead.clear();
    }

    /// Returns the last read-ahead buffer to its pool if nothing was read into it.
    fn release_empty_read_ahead(&mut self) {
        if self.read_ahead.back().is_some_and(Buffer::is_empty) {
            self.read_ahead.pop_back();
        }
    }

    /// Returns the input buffer to its pool if nothing is left in it.
    fn release_empty_input(&mut self) {
        if self.input.as_ref().is_some_and(Buffer::is_empty) {
            self.input = None;
        }
    }

    /// Whether the client has no pending request: nothing is left to parse or to write.
    fn is_between_requests(&self) -> bool {
        self.is_reading_head() && self.input.is_none() && self.read_ahead.is_empty() && self.output.is_empty()
    }
}

/// Returns the JSON body of an error response.
pub fn error_body(reason: &str) -> String {
    json!({ "error": reason }).to_string()
}
