//! The clients: their connections, the requests that come on them and the answers that go back.

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

use crate::body::{Body, Text};
use crate::buffers::{Buffer, Outflow, Pool};
use crate::clock::Key;
use crate::connection_end::Ending;
use crate::http::{Head, Message};
use crate::iteration::Handle;
use crate::search_api::{self, Request};
pub use accept::listen;
use arrivals::Arrivals;

/// A scan as a client asks for it.
pub struct Asked {
    pub call_id: String,
    pub table_type: usize,
    pub customer: usize,
    pub expires_at: f64,
    pub resent: bool,
    pub parts: Vec<Part>,
    pub text: Text,
}

/// What a client's connection brings next.
pub enum Came {
    Scan(Asked),
    /// A scan in the raw form, of which the body begins here.
    Opens(Asked, Box<Head>),
    /// It has gone, and with it whoever waited for this scan.
    Left(Option<QueryId>),
    /// A request of the API.
    Api(Box<Request>),
    Nothing,
}

enum Phase {
    /// Between requests, or inside of a head.
    Head,
    Body(Box<Message>),
    /// Inside of a body of the raw form, or waiting to hear that it is kept.
    Raw(Box<Raw>),
    /// Asked, and not answered yet.
    Waiting,
    Held(QueryId),
    /// Answered for the last time; what still comes is thrown away until the client closes.
    Lingering,
}

struct Raw {
    message: Message,
    body: Rc<Body>,
    /// What is asked, until its scan begins; then that.
    asked: Option<Asked>,
    scan: Option<QueryId>,
    /// All of the body has come.
    all: bool,
}

struct Client {
    stream: Rc<TcpStream>,
    /// It came to the API's door.
    api: bool,
    token: RegistrationToken,
    input: Option<Buffer>,
    /// What was read ahead behind a full input, in order.
    ahead: VecDeque<Buffer>,
    out: Outflow,
    phase: Phase,
    /// There may be something to read: readiness is told only once.
    readable: bool,
    /// When it was last found to be there; and how it ended, once it was not.
    seen: f64,
    hung_up: Option<Ending>,
    arrivals: Arrivals,
    /// When the first byte of this request came; or when lingering began.
    began: f64,
    keep: bool,
    /// It was answered, or is, in the middle of a body of the raw form.
    in_body: bool,
    /// It sends faster than it may be read; an alarm will tell when it is its turn.
    more: bool,
    alarm: Option<Key>,
}

/// Where clients are taken in.
struct Door {
    listener: Rc<TcpListener>,
    token: RegistrationToken,
    /// It is the API's.
    api: bool,
    /// Since when nobody was taken in here, until all that came meanwhile has been.
    waited_since: Option<f64>,
}

pub struct Clients {
    handle: Handle,
    pool: Pool,
    clients: Slab<Client>,
    most: usize,
    most_buffers: usize,
    bounds: Rc<Bounds>,
    /// What comes to either door is bounded together.
    listeners: Vec<Door>,
    paused: bool,
    /// What the API's door goes by, where there is one.
    pub api: Option<Rc<search_api::Door>>,
    /// By their alarms, so the longest first: who has connected or begun and not asked yet, and who waits for
    /// nothing. At the cap these make room.
    asking: BTreeMap<Key, usize>,
    resting: BTreeMap<Key, usize>,
    /// Whose connections are shut on our side only.
    lingering: BTreeMap<Key, usize>,
    /// Whether the raw form is taken.
    pub raw: bool,
    /// Bodies of which more has come, and who brings it.
    pub moved: Vec<BodyId>,
    /// Clients that may send no more of a body before something of it has gone on.
    stalled: Vec<usize>,
    /// Connections with something left to read that no readiness will tell of again.
    pub again: Vec<usize>,
    /// Who was seen to have gone and is still to be let go.
    hung_up: Vec<usize>,
    /// Scans can be served, as far as the list goes.
    pub may_serve: bool,
    /// Since when what is read may have come, where the process stood still; what is read came just now otherwise.
    pub came_since: Option<f64>,
    /// After SIGTERM: not ready; then also: each connection closes after its answer.
    pub leaving: bool,
    pub closing: bool,
    /// And then: none is kept on which nothing is asked.
    rest_is_over: bool,
    /// By then every request has its answer, whatever time its client leaves.
    pub until: f64,
}

impl Clients {
    pub fn new(
        handle: Handle,
        pool: &Pool,
        bounds: Rc<Bounds>,
        most: usize,
        most_buffers: usize,
        listener: TcpListener,
    ) -> calloop::Result<Self> {
        let mut clients = Self {
            handle,
            pool: pool.clone(),
            clients: Slab::new(),
            most,
            most_buffers,
            bounds,
            listeners: Vec::new(),
            paused: false,
            api: None,
            asking: BTreeMap::new(),
            resting: BTreeMap::new(),
            lingering: BTreeMap::new(),
            raw: false,
            moved: Vec::new(),
            stalled: Vec::new(),
            again: Vec::new(),
            hung_up: Vec::new(),
            may_serve: false,
            came_since: None,
            leaving: false,
            closing: false,
            rest_is_over: false,
            until: f64::MAX,
        };
        clients.open(listener, false)?;
        Ok(clients)
    }

    pub fn count(&self) -> usize {
        self.clients.len()
    }

    /// When what is read now came, at the earliest.
    fn came(&self, now: f64) -> f64 {
        self.came_since.map_or(now, |since| since.min(now))
    }
}

impl Client {
    fn asking(&self) -> bool {
        match &self.phase {
            Phase::Raw(raw) => raw.scan.is_none(),
            phase => matches!(phase, Phase::Head | Phase::Body(_)),
        }
    }

    /// How many bytes have been read of it that no request was taken out of yet.
    fn unused(&self) -> usize {
        let held = self.input.iter().chain(&self.ahead);
        held.map(|buffer| buffer.held().len()).sum()
    }

    fn has_read(&self) -> bool {
        self.unused() > 0
    }

    fn unasked(&self) -> bool {
        matches!(self.phase, Phase::Head)
            && self.input.is_none()
            && self.ahead.is_empty()
            && self.out.is_empty()
    }
}

pub fn complaint(why: &str) -> String {
    json!({ "error": why }).to_string()
}
