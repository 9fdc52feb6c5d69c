//! Clients that keep using their connections to a broker that shuts down until these close.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::stand_ins::query_request;

/// Longest time that one read of a connection blocks, and the pause after a failed attempt to connect.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Maximum number of unanswered requests on the connection of a [`ClientBehavior::Pipelined`] client.
const MAX_PIPELINED: usize = 3;
/// Number of segments in the settings of the stand-ins.
const SEGMENT_COUNT: usize = 6;
/// By the specification of the shutdown test, an answer that comes later than this after the client's timeout counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientBehavior {
    /// Sends one request at a time, and opens a new connection once the broker has announced with `Connection: close` that it
    /// closes the current one.
    Sequential,
    /// Sends one request at a time, and keeps using a connection until it ends, even after `Connection: close`.
    IgnoresClose,
    /// Connects before the shutdown, and sends its first request this long after the broker's first SIGTERM.
    RequestsAfterSignal(Duration),
    /// Sends each request in two halves, with this pause in between.
    SplitWrites(Duration),
    /// Sends further requests without waiting for the answers to earlier ones.
    Pipelined,
    /// Closes its connection this long after each request, answered or not.
    Disconnects(Duration),
    /// Sends its next request no earlier than this long after it has sent the previous one, and only once that is answered.
    Idles(Duration),
}

impl ClientBehavior {
    /// Draws a behavior and its pause at random.
    pub fn draw(rng: &mut Pcg64Mcg) -> Self {
        let pause = Duration::from_millis(rng.random_range(5..600));
        match rng.random_range(0..11) {
            0..4 => Self::Sequential,
            4..6 => Self::IgnoresClose,
            6 => Self::RequestsAfterSignal(pause * 4),
            7 => Self::SplitWrites(pause),
            8 => Self::Pipelined,
            9 => Self::Disconnects(pause / 4),
            _ => Self::Idles(pause),
        }
    }
}

/// How a connection ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEnd {
    /// Closed in order by the broker.
    Closed,
    /// Ended by a reset or another I/O error.
    Reset,
}

/// One request and its outcome, as its client recorded them.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request. The ids of its parts start with it.
    pub id: String,
    /// Index of the broker that the request was sent to.
    pub broker_index: usize,
    /// How the client uses connections.
    pub behavior: ClientBehavior,
    /// Whether the request's parts may run more than once.
    pub idempotent: bool,
    /// When the client began to write the request to its socket.
    pub started_at: Instant,
    /// When the client had written the whole request to its socket.
    pub written_at: Instant,
    /// When the answer came, and its HTTP status; `None` if none came.
    pub answered: Option<(Instant, u16)>,
    /// When the client closed the connection without having received the answer; `None` if it did not.
    pub disconnected_at: Option<Instant>,
    /// When and how the connection ended before the answer came; `None` if it did not.
    pub connection_ended: Option<(Instant, ConnectionEnd)>,
}

/// The broker that a client sends requests to, and the times of its shutdown. All clients of the broker share it.
pub struct BrokerEndpoint {
    /// Address at which the broker listens.
    pub address: SocketAddr,
    /// Index of the broker.
    pub broker_index: usize,
    /// Query timeout of the broker's settings, which clients also state as the time budget of each request.
    pub timeout: Duration,
    /// Fraction of the requests that are not idempotent.
    pub non_idempotent_ratio: f64,
    /// When the broker got its first SIGTERM; unset until then.
    pub signalled_at: OnceLock<Instant>,
    /// How long after the first SIGTERM clients still open new connections.
    pub new_connections_until: Duration,
    /// How long after the first SIGTERM the process is killed.
    pub kill_after: Duration,
}

/// An open connection of a client to its broker.
struct Connection {
    stream: TcpStream,
    /// Bytes that were received and not yet parsed.
    input: Vec<u8>,
    /// Indices of the unanswered requests in [`Client::requests`], oldest first.
    pending: VecDeque<usize>,
    /// Whether an answer contained `Connection: close`.
    close_announced: bool,
    /// How the connection ended, once it has.
    end: Option<ConnectionEnd>,
}

impl Connection {
    /// Connects to a broker; `None` if the connection cannot be opened.
    fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(POLL_INTERVAL)).ok()?;
        Some(Self { stream, input: Vec::new(), pending: VecDeque::new(), close_announced: false, end: None })
    }

    /// Reads once, waiting for at most [`POLL_INTERVAL`], and returns the statuses of the answers that are now complete.
    fn poll(&mut self) -> Vec<u16> {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.end = Some(ConnectionEnd::Closed),
            Ok(count) => self.input.extend_from_slice(&buffer[..count]),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => self.end = Some(ConnectionEnd::Reset),
        }
        std::iter::from_fn(|| self.next_answer()).collect()
    }

    /// Removes the first answer from the input and returns its status; `None` if no complete answer is there.
    fn next_answer(&mut self) -> Option<u16> {
        let header_length = self.input.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
        let header = String::from_utf8_lossy(&self.input[..header_length]).into_owned();
        let length = header.split_once("Content-Length: ")?.1.split('\r').next()?.parse::<usize>().ok()?;
        if self.input.len() < header_length + length {
            return None;
        }
        self.input.drain(..header_length + length);
        self.close_announced |= header.contains("Connection: close");
        header.split(' ').nth(1)?.parse().ok()
    }

    /// Writes bytes and returns whether all of them could be written.
    fn write(&mut self, bytes: &[u8]) -> bool {
        let written = self.stream.write_all(bytes).is_ok();
        if !written {
            self.end = Some(ConnectionEnd::Reset);
        }
        written
    }
}

/// A client that sends requests to one broker and records their outcomes.
pub struct Client {
    endpoint: Arc<BrokerEndpoint>,
    name: String,
    behavior: ClientBehavior,
    rng: Pcg64Mcg,
    connection: Option<Connection>,
    /// All requests sent so far.
    requests: Vec<Request>,
    /// Earliest time of the next request.
    next_request_at: Instant,
}

impl Client {
    /// Creates a client that has not connected yet. `number` distinguishes the clients of one broker.
    pub fn new(endpoint: Arc<BrokerEndpoint>, number: usize, behavior: ClientBehavior, seed: u64) -> Self {
        let name = format!("b{}c{number}", endpoint.broker_index);
        let rng =
            Pcg64Mcg::seed_from_u64(seed ^ ((endpoint.broker_index as u64) << 32) ^ ((number as u64) << 40));
        let next_request_at = Instant::now();
        Self { endpoint, name, behavior, rng, connection: None, requests: Vec::new(), next_request_at }
    }

    /// Sends requests until [`ANSWER_GRACE`] after the kill of the broker, since answers that the broker wrote before the kill
    /// may still arrive. Returns all requests.
    pub fn run(mut self) -> Vec<Request> {
        loop {
            let signalled_at = self.endpoint.signalled_at.get().copied();
            let run_time = self.endpoint.kill_after + ANSWER_GRACE;
            if signalled_at.is_some_and(|signalled_at| signalled_at.elapsed() > run_time) {
                return self.requests;
            }
            self.read_answers();
            self.disconnect();
            if self.connection.is_none() && !self.connect() {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            if self.may_send_request() {
                self.send_request();
            }
        }
    }

    /// Records the answers that have come. Drops the connection if it has ended, or if the client obeys an announced close.
    fn read_answers(&mut self) {
        let Some(connection) = &mut self.connection else { return };
        for status in connection.poll() {
            let Some(index) = connection.pending.pop_front() else { continue };
            self.requests[index].answered = Some((Instant::now(), status));
        }
        if let Some(end) = connection.end {
            for index in connection.pending.drain(..) {
                self.requests[index].connection_ended = Some((Instant::now(), end));
            }
            self.connection = None;
        } else if connection.close_announced
            && connection.pending.is_empty()
            && self.behavior != ClientBehavior::IgnoresClose
        {
            self.connection = None;
        }
    }

    /// Closes the connection if this is a [`ClientBehavior::Disconnects`] client and the time after its last request has passed.
    fn disconnect(&mut self) {
        let ClientBehavior::Disconnects(after) = self.behavior else { return };
        let Some(written_at) = self.requests.last().map(|request| request.written_at) else { return };
        if written_at.elapsed() < after {
            return;
        }
        for index in self.connection.take().into_iter().flat_map(|connection| connection.pending) {
            self.requests[index].disconnected_at = Some(Instant::now());
        }
    }

    /// Opens a connection, unless new ones are no longer allowed, and returns whether there is one.
    fn connect(&mut self) -> bool {
        let too_late = |signalled_at: &Instant| signalled_at.elapsed() > self.endpoint.new_connections_until;
        if self.endpoint.signalled_at.get().is_some_and(too_late) {
            return false;
        }
        self.connection = Connection::open(self.endpoint.address);
        self.connection.is_some()
    }

    /// Returns whether the client's behavior allows it to send a request now.
    fn may_send_request(&self) -> bool {
        let Some(connection) = &self.connection else { return false };
        let now = Instant::now();
        let max_pending = if self.behavior == ClientBehavior::Pipelined { MAX_PIPELINED } else { 1 };
        if now < self.next_request_at || connection.pending.len() >= max_pending {
            return false;
        }
        match self.behavior {
            ClientBehavior::RequestsAfterSignal(after) => {
                self.endpoint.signalled_at.get().is_some_and(|signalled_at| now >= *signalled_at + after)
            }
            _ => true,
        }
    }

    /// Sends a random request and records it if all of it could be written. Draws the pause before the next one.
    fn send_request(&mut self) {
        let Some(connection) = &mut self.connection else { return };
        let idempotent = !self.rng.random_bool(self.endpoint.non_idempotent_ratio);
        let query_class = if idempotent { "find" } else { "fix" };
        let id = format!("{}r{}", self.name, self.requests.len());
        let segment = self.rng.random_range(0..SEGMENT_COUNT);
        let segments = [segment, (segment + 1) % SEGMENT_COUNT];
        let segments = if idempotent { &segments[..] } else { &segments[..1] };
        let budget = format!("{:.3}", self.endpoint.timeout.as_secs_f64());
        let text = query_request(query_class, &id, segments, &budget);
        let started_at = Instant::now();
        let (first, second) = text.as_bytes().split_at(text.len() / 2);
        let mut written = connection.write(first);
        if let ClientBehavior::SplitWrites(pause) = self.behavior {
            std::thread::sleep(pause);
        }
        written = written && connection.write(second);
        if written {
            connection.pending.push_back(self.requests.len());
            self.requests.push(Request {
                id,
                broker_index: self.endpoint.broker_index,
                behavior: self.behavior,
                idempotent,
                started_at,
                written_at: Instant::now(),
                answered: None,
                disconnected_at: None,
                connection_ended: None,
            });
        }
        let pause = match self.behavior {
            ClientBehavior::Idles(pause) => pause,
            _ => Duration::from_millis(self.rng.random_range(0..40)),
        };
        self.next_request_at = Instant::now() + pause;
    }
}
