//! The client side: connections, the requests on them and the responses.
//!
//! Times are Unix seconds of the process's monotonic clock.

mod accept;
mod arrivals;
mod closing;
mod decode;
mod disconnect;
mod read;
mod response;
mod streamed_body;
mod timeouts;
mod validation;

use std::collections::{BTreeMap, VecDeque};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use dunepond_body_buffer::BodyId;
use dunepond_config::HostSettings;
use dunepond_routing::QueryId;
use serde_json::json;
use slab::Slab;

use crate::body::Body;
use crate::buffers::{Buffer, Pool, WriteQueue};
use crate::clock::TimerKey;
use crate::connection_end::ConnectionEnd;
use crate::http::{Head, Message};
use crate::iteration::{EventLoopHandle, Port};
use crate::query_request::QueryRequest;
use crate::search_api::{self, SearchRequest};
pub use accept::listen;
use arrivals::ArrivalTimes;

/// What reading from a client's connection has brought.
pub enum ClientEvent {
    /// A whole query.
    Query(QueryRequest),
    /// The head of a query whose body is streamed.
    StreamedQuery(QueryRequest, Box<Head>),
    /// The client has disconnected; its query in flight, if any, has no client any more.
    Disconnected(Option<QueryId>),
    /// A request of the search API.
    SearchRequest(Box<SearchRequest>),
    /// Nothing for the router.
    Nothing,
}

enum RequestPhase {
    /// Between requests, or inside a head.
    ReadingHead,
    ReadingBody(Box<Message>),
    /// Inside the body of a streamed request, or waiting for the body to be buffered.
    StreamingBody(Box<StreamedRequest>),
    /// A whole request has been read, and has no response or query id yet.
    AwaitingAdmission,
    InFlight(QueryId),
    /// The write side is shut down; what still arrives is discarded until the client closes.
    Lingering,
}

struct StreamedRequest {
    message: Message,
    body: Rc<Body>,
    /// The request until its query starts; from then on `query`.
    request: Option<QueryRequest>,
    query: Option<QueryId>,
    /// The whole body has arrived.
    body_complete: bool,
}

struct ClientConnection {
    stream: Rc<TcpStream>,
    /// Where it was accepted.
    port: Port,
    token: RegistrationToken,
    input: Option<Buffer>,
    /// What was read ahead while `input` was full, in order.
    read_ahead: VecDeque<Buffer>,
    output: WriteQueue,
    phase: RequestPhase,
    /// There may be something to read: readiness events are edge-triggered.
    readable: bool,
    /// When it was last found connected.
    last_checked_at: f64,
    /// How it ended, once it was found disconnected.
    disconnected: Option<ConnectionEnd>,
    arrivals: ArrivalTimes,
    /// When the first byte of the current request arrived; or when lingering began.
    request_started_at: f64,
    /// The connection stays open after the response.
    keep_alive: bool,
    /// The response was sent before the body of a streamed request was complete.
    responded_in_body: bool,
    /// It sends faster than it may be read; a timer or the progress of its body resumes it.
    reading_paused: bool,
    timer: Option<TimerKey>,
}

/// A listening socket for clients.
struct Listener {
    listener: Rc<TcpListener>,
    token: RegistrationToken,
    port: Port,
    /// Since when accepting has been paused; `None` once the backlog of that pause has been accepted.
    paused_since: Option<f64>,
}

/// All client connections.
pub struct Downstream {
    handle: EventLoopHandle,
    pool: Pool,
    connections: Slab<ClientConnection>,
    max_connections: usize,
    max_buffers: usize,
    settings: Rc<HostSettings>,
    /// For the clients' port and for the search API's port; their connections are bounded together.
    listeners: Vec<Listener>,
    accepting_paused: bool,
    /// The search API, where it is enabled.
    pub search_api: Option<Rc<search_api::SearchApi>>,
    /// Connections that may be evicted at the bound, ordered by timer, so the longest first: those that have not sent a
    /// whole request yet, those that are idle, and those that are shut down on our side only.
    awaiting_request: BTreeMap<TimerKey, usize>,
    idle: BTreeMap<TimerKey, usize>,
    lingering: BTreeMap<TimerKey, usize>,
    /// Whether streamed requests are accepted.
    pub accepts_streamed: bool,
    /// Streamed bodies of which more has arrived.
    pub bodies_received: Vec<BodyId>,
    /// Clients that are read no further until something of their body has been sent on.
    blocked_on_body: Vec<usize>,
    /// Connections with something left to read for which no further readiness event comes.
    pub pending_clients: Vec<usize>,
    /// Clients found disconnected whose connections are still to be closed.
    disconnected_clients: Vec<usize>,
    /// The endpoint list has an active node.
    pub has_endpoints: bool,
    /// Since when the bytes that are read now may have arrived, after a stall of the process; `None` without a stall.
    pub received_since: Option<f64>,
    /// The shutdown has begun: `/ready` answers 503.
    pub is_draining: bool,
    /// A later stage of the shutdown: each connection closes after its response.
    pub closes_after_response: bool,
    /// A still later stage: idle connections close.
    close_when_idle: bool,
    /// When the last responses of a shutdown are due, however long clients would wait; `f64::MAX` before a shutdown.
    pub shutdown_deadline: f64,
}

impl Downstream {
    /// No connections yet; `max_connections` bounds them, `max_buffers` bounds the read buffers in use.
    ///
    /// Fails where the event loop cannot watch the listener.
    pub fn new(
        handle: EventLoopHandle,
        pool: &Pool,
        settings: Rc<HostSettings>,
        max_connections: usize,
        max_buffers: usize,
        listener: TcpListener,
    ) -> calloop::Result<Self> {
        let mut downstream = Self {
            handle,
            pool: pool.clone(),
            connections: Slab::new(),
            max_connections,
            max_buffers,
            settings,
            listeners: Vec::new(),
            accepting_paused: false,
            search_api: None,
            awaiting_request: BTreeMap::new(),
            idle: BTreeMap::new(),
            lingering: BTreeMap::new(),
            accepts_streamed: false,
            bodies_received: Vec::new(),
            blocked_on_body: Vec::new(),
            pending_clients: Vec::new(),
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

    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// When the bytes that are read now arrived, at the earliest.
    fn received_at(&self, now: f64) -> f64 {
        self.received_since.map_or(now, |since| since.min(now))
    }
}

impl ClientConnection {
    /// It has not sent a whole request yet.
    fn awaiting_request(&self) -> bool {
        match &self.phase {
            RequestPhase::StreamingBody(streamed) => streamed.query.is_none(),
            phase => matches!(phase, RequestPhase::ReadingHead | RequestPhase::ReadingBody(_)),
        }
    }

    /// How many bytes have been read from it and not parsed yet.
    fn unparsed_bytes(&self) -> usize {
        let buffers = self.input.iter().chain(&self.read_ahead);
        buffers.map(|buffer| buffer.filled().len()).sum()
    }

    fn has_unparsed(&self) -> bool {
        self.unparsed_bytes() > 0
    }

    /// Something can be read and there is room for it.
    fn may_be_read(&self) -> bool {
        let full = self.input.as_ref().is_some_and(Buffer::is_full);
        !full && !self.reading_paused && (self.readable || !self.read_ahead.is_empty())
    }

    /// Returns the last buffer that was read ahead to its pool if nothing was read into it.
    fn release_empty_read_ahead(&mut self) {
        if self.read_ahead.back().is_some_and(Buffer::is_empty) {
            self.read_ahead.pop_back();
        }
    }

    /// Returns the read buffer to its pool if nothing is left in it.
    fn release_empty_input(&mut self) {
        if self.input.as_ref().is_some_and(Buffer::is_empty) {
            self.input = None;
        }
    }

    fn is_between_requests(&self) -> bool {
        matches!(self.phase, RequestPhase::ReadingHead)
            && self.input.is_none()
            && self.read_ahead.is_empty()
            && self.output.is_empty()
    }
}

/// The JSON body of an error response.
pub fn error_body(reason: &str) -> String {
    json!({ "error": reason }).to_string()
}
