//! The client side: connections, the requests on them and the responses.

mod accept;
mod arrivals;
mod closing;
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
use dunepond_config::Bounds;
use dunepond_routing::{Part, QueryId};
use serde_json::json;
use slab::Slab;

use crate::body::{Body, Payload};
use crate::buffers::{Buffer, Pool, WriteQueue};
use crate::clock::TimerKey;
use crate::connection_end::ConnectionEnd;
use crate::http::{Head, Message};
use crate::iteration::EventLoopHandle;
use crate::search_api::{self, SearchRequest};
pub use accept::listen;
use arrivals::ArrivalTimes;

/// A query as a client asks for it.
pub struct QueryRequest {
    pub request_id: String,
    pub table_type: usize,
    pub customer: usize,
    pub deadline: f64,
    pub is_retry: bool,
    pub parts: Vec<Part>,
    pub text: Payload,
}

/// What a client's connection brings next.
pub enum ClientEvent {
    Query(QueryRequest),
    /// A query in the streamed form, of which the body begins here.
    StreamedQuery(QueryRequest, Box<Head>),
    /// It has gone, and with it whoever waited for this query.
    Disconnected(Option<QueryId>),
    /// A request of the API.
    SearchRequest(Box<SearchRequest>),
    Nothing,
}

enum RequestPhase {
    /// Between requests, or inside of a head.
    ReadingHead,
    ReadingBody(Box<Message>),
    /// Inside of a body of a streamed request, or waiting to hear that it is kept.
    StreamingBody(Box<StreamedRequest>),
    /// Asked, and not answered yet.
    AwaitingAdmission,
    InFlight(QueryId),
    /// Answered for the last time; what still comes is thrown away until the client closes.
    Lingering,
}

struct StreamedRequest {
    message: Message,
    body: Rc<Body>,
    /// What is asked, until its query begins; then that.
    asked: Option<QueryRequest>,
    query: Option<QueryId>,
    /// All of the body has come.
    all: bool,
}

struct ClientConnection {
    stream: Rc<TcpStream>,
    /// It came to the API's door.
    api: bool,
    token: RegistrationToken,
    input: Option<Buffer>,
    /// What was read ahead behind a full input, in order.
    ahead: VecDeque<Buffer>,
    out: WriteQueue,
    phase: RequestPhase,
    /// There may be something to read: readiness is told only once.
    readable: bool,
    /// When it was last found to be there; and how it ended, once it was not.
    seen: f64,
    disconnected: Option<ConnectionEnd>,
    arrivals: ArrivalTimes,
    /// When the first byte of this request came; or when lingering began.
    began: f64,
    keep: bool,
    /// It was answered, or is, in the middle of a body of a streamed request.
    responded_in_body: bool,
    /// It sends faster than it may be read; a timer will tell when it is its turn.
    more: bool,
    timer: Option<TimerKey>,
}

/// Where clients are taken in.
struct Listener {
    listener: Rc<TcpListener>,
    token: RegistrationToken,
    /// It is the API's.
    api: bool,
    /// Since when nobody was taken in here, until all that came meanwhile has been.
    paused_since: Option<f64>,
}

pub struct Downstream {
    handle: EventLoopHandle,
    pool: Pool,
    connections: Slab<ClientConnection>,
    most: usize,
    max_buffers: usize,
    bounds: Rc<Bounds>,
    /// Of the clients' port and of the search API's port; their connections are bounded together.
    listeners: Vec<Listener>,
    paused: bool,
    /// The search API, where it is turned on.
    pub api: Option<Rc<search_api::SearchApi>>,
    /// By their timers, so the longest first: who has connected or begun and not asked yet, and who waits for
    /// nothing. At the cap these make room.
    awaiting_request: BTreeMap<TimerKey, usize>,
    idle: BTreeMap<TimerKey, usize>,
    /// Whose connections are shut on our side only.
    lingering: BTreeMap<TimerKey, usize>,
    /// Whether the streamed form is taken.
    pub raw: bool,
    /// Bodies of which more has come, and who brings it.
    pub moved: Vec<BodyId>,
    /// Clients that may send no more of a body before something of it has gone on.
    blocked_on_body: Vec<usize>,
    /// Connections with something left to read that no readiness will tell of again.
    pub again: Vec<usize>,
    /// Who was seen to have gone and is still to be let go.
    disconnected: Vec<usize>,
    /// Queries can be served, as far as the list goes.
    pub has_endpoints: bool,
    /// Since when what is read may have come, where the process stood still; what is read came just now otherwise.
    pub received_since: Option<f64>,
    /// SIGTERM has come: `/ready` answers 503.
    pub leaving: bool,
    /// A later stage of the shutdown: each connection closes after its answer.
    pub closing: bool,
    /// A still later stage: idle connections close.
    close_when_idle: bool,
    /// When the last answers of a shutdown are due, however long clients would wait; `f64::MAX` before SIGTERM.
    pub until: f64,
}

impl Downstream {
    pub fn new(
        handle: EventLoopHandle,
        pool: &Pool,
        bounds: Rc<Bounds>,
        most: usize,
        max_buffers: usize,
        listener: TcpListener,
    ) -> calloop::Result<Self> {
        let mut connections = Self {
            handle,
            pool: pool.clone(),
            connections: Slab::new(),
            most,
            max_buffers,
            bounds,
            listeners: Vec::new(),
            paused: false,
            api: None,
            awaiting_request: BTreeMap::new(),
            idle: BTreeMap::new(),
            lingering: BTreeMap::new(),
            raw: false,
            moved: Vec::new(),
            blocked_on_body: Vec::new(),
            again: Vec::new(),
            disconnected: Vec::new(),
            has_endpoints: false,
            received_since: None,
            leaving: false,
            closing: false,
            close_when_idle: false,
            until: f64::MAX,
        };
        connections.open(listener, false)?;
        Ok(connections)
    }

    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// When what is read now came, at the earliest.
    fn came(&self, now: f64) -> f64 {
        self.received_since.map_or(now, |since| since.min(now))
    }
}

impl ClientConnection {
    fn awaiting_request(&self) -> bool {
        match &self.phase {
            RequestPhase::StreamingBody(raw) => raw.query.is_none(),
            phase => matches!(phase, RequestPhase::ReadingHead | RequestPhase::ReadingBody(_)),
        }
    }

    /// How many bytes have been read of it that no request was taken out of yet.
    fn unparsed_bytes(&self) -> usize {
        let held = self.input.iter().chain(&self.ahead);
        held.map(|buffer| buffer.held().len()).sum()
    }

    fn has_unparsed(&self) -> bool {
        self.unparsed_bytes() > 0
    }

    fn is_between_requests(&self) -> bool {
        matches!(self.phase, RequestPhase::ReadingHead)
            && self.input.is_none()
            && self.ahead.is_empty()
            && self.out.is_empty()
    }
}

pub fn error_body(why: &str) -> String {
    json!({ "error": why }).to_string()
}
