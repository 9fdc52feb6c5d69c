//! Clients that keep using the connections they have for as long as these stay open.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::stand_ins::query_request;

/// How long one look at a connection waits for something to read.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Requests that a client which does not wait for answers has out on its connection at most.
const MAX_PIPELINED: usize = 3;
/// Segments of the stand-in settings.
const SEGMENTS: usize = 6;
/// By the page of the standing test an answer later than this after the client's time is lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientBehavior {
    /// One request after the other, on a new connection once the broker has announced that it closes.
    Sequential,
    /// Goes on asking on the same connection, whatever an answer announces, until it is at its end.
    IgnoresClose,
    /// Connects, and asks first this long after the broker was told to end.
    RequestsAfterSignal(Duration),
    /// Sends each request in two halves, so far apart.
    SplitWrites(Duration),
    /// Does not wait for answers before it asks on.
    Pipelined,
    /// Closes its connection so long after each request, answered or not.
    Disconnects(Duration),
    /// Rests so long between an answer and its next request.
    Idles(Duration),
}

impl ClientBehavior {
    /// One of the behaviors, drawn.
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
    /// In order.
    Closed,
    /// By a reset, or an error of the system.
    Reset,
}

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The place of the broker that was asked.
    pub broker: usize,
    /// How its client uses connections.
    pub behavior: ClientBehavior,
    /// Whether its parts may run twice.
    pub idempotent: bool,
    /// When its first byte was handed to the system.
    pub started_at: Instant,
    /// When its last byte was handed to the system.
    pub written_at: Instant,
    /// When its answer came, and its status.
    pub answered: Option<(Instant, u16)>,
    /// Its client closed the connection without having an answer.
    pub disconnected_at: Option<Instant>,
    /// Its connection ended before an answer came.
    pub ended: Option<(Instant, ConnectionEnd)>,
}

/// What all clients of a broker share.
pub struct BrokerEndpoint {
    /// Where the broker listens.
    pub address: SocketAddr,
    /// The broker's place.
    pub broker: usize,
    /// The query timeout, which is also the time that clients give.
    pub timeout: Duration,
    /// Share of requests that must not run twice.
    pub non_idempotent_ratio: f64,
    /// When the broker was told to end, once it was.
    pub signalled_at: OnceLock<Instant>,
    /// How long after the signal new connections are made.
    pub new_connections_until: Duration,
    /// How long after the signal the process is killed.
    pub kill_after: Duration,
}

struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
    /// Requests that wait for their answers, by their place in the client's record.
    pending: VecDeque<usize>,
    close_announced: bool,
    end: Option<ConnectionEnd>,
}

impl Connection {
    fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(POLL_INTERVAL)).ok()?;
        Some(Self { stream, input: Vec::new(), pending: VecDeque::new(), close_announced: false, end: None })
    }

    /// Reads what has come, or waits for a moment; the statuses of the answers that are whole.
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

    fn next_answer(&mut self) -> Option<u16> {
        let head_length = self.input.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.input[..head_length]).into_owned();
        let length = head.split_once("Content-Length: ")?.1.split('\r').next()?.parse::<usize>().ok()?;
        if self.input.len() < head_length + length {
            return None;
        }
        self.input.drain(..head_length + length);
        self.close_announced |= head.contains("Connection: close");
        head.split(' ').nth(1)?.parse().ok()
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        let written = self.stream.write_all(bytes).is_ok();
        if !written {
            self.end = Some(ConnectionEnd::Reset);
        }
        written
    }
}

/// One client at work; what it returns is its record.
pub struct Client {
    site: Arc<BrokerEndpoint>,
    name: String,
    habit: ClientBehavior,
    rng: Pcg64Mcg,
    connection: Option<Connection>,
    requests: Vec<Request>,
    next_request_at: Instant,
}

impl Client {
    /// A client that has not connected yet.
    pub fn new(site: Arc<BrokerEndpoint>, number: usize, habit: ClientBehavior, seed: u64) -> Self {
        let name = format!("b{}c{number}", site.broker);
        let rng = Pcg64Mcg::seed_from_u64(seed ^ ((site.broker as u64) << 32) ^ ((number as u64) << 40));
        let next_request_at = Instant::now();
        Self { site, name, habit, rng, connection: None, requests: Vec::new(), next_request_at }
    }

    /// Works until the broker is killed and a moment beyond, as what it had written may still be on its way.
    pub fn run(mut self) -> Vec<Request> {
        loop {
            let told = self.site.signalled_at.get().copied();
            let over = told.is_some_and(|told| told.elapsed() > self.site.kill_after + ANSWER_GRACE);
            if over {
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

    fn read_answers(&mut self) {
        let Some(connection) = &mut self.connection else { return };
        for status in connection.poll() {
            let Some(place) = connection.pending.pop_front() else { continue };
            self.requests[place].answered = Some((Instant::now(), status));
        }
        if let Some(end) = connection.end {
            for place in connection.pending.drain(..) {
                self.requests[place].ended = Some((Instant::now(), end));
            }
            self.connection = None;
        } else if connection.close_announced
            && connection.pending.is_empty()
            && self.habit != ClientBehavior::IgnoresClose
        {
            self.connection = None;
        }
    }

    /// Closes a connection whose answer it does not want any more.
    fn disconnect(&mut self) {
        let ClientBehavior::Disconnects(after) = self.habit else { return };
        let Some(asked) = self.requests.last().map(|request| request.written_at) else { return };
        if asked.elapsed() < after {
            return;
        }
        for place in self.connection.take().into_iter().flat_map(|connection| connection.pending) {
            self.requests[place].disconnected_at = Some(Instant::now());
        }
    }

    fn connect(&mut self) -> bool {
        let too_late = |told: &Instant| told.elapsed() > self.site.new_connections_until;
        if self.site.signalled_at.get().is_some_and(too_late) {
            return false;
        }
        self.connection = Connection::open(self.site.address);
        self.connection.is_some()
    }

    fn may_send_request(&self) -> bool {
        let Some(connection) = &self.connection else { return false };
        let now = Instant::now();
        let most = if self.habit == ClientBehavior::Pipelined { MAX_PIPELINED } else { 1 };
        if now < self.next_request_at || connection.pending.len() >= most {
            return false;
        }
        match self.habit {
            ClientBehavior::RequestsAfterSignal(after) => {
                self.site.signalled_at.get().is_some_and(|told| now >= *told + after)
            }
            _ => true,
        }
    }

    fn send_request(&mut self) {
        let Some(connection) = &mut self.connection else { return };
        let replayable = !self.rng.random_bool(self.site.non_idempotent_ratio);
        let table_type = if replayable { "find" } else { "fix" };
        let id = format!("{}r{}", self.name, self.requests.len());
        let segment = self.rng.random_range(0..SEGMENTS);
        let segments = [segment, (segment + 1) % SEGMENTS];
        let segments = if replayable { &segments[..] } else { &segments[..1] };
        let budget = format!("{:.3}", self.site.timeout.as_secs_f64());
        let text = query_request(table_type, &id, segments, &budget);
        let began = Instant::now();
        let (first, second) = text.as_bytes().split_at(text.len() / 2);
        let mut whole = connection.write(first);
        if let ClientBehavior::SplitWrites(pause) = self.habit {
            std::thread::sleep(pause);
        }
        whole = whole && connection.write(second);
        if whole {
            connection.pending.push_back(self.requests.len());
            let (broker, habit) = (self.site.broker, self.habit);
            let written = Instant::now();
            self.requests.push(Request {
                id,
                broker,
                behavior: habit,
                idempotent: replayable,
                started_at: began,
                written_at: written,
                answered: None,
                disconnected_at: None,
                ended: None,
            });
        }
        let pause = match self.habit {
            ClientBehavior::Idles(pause) => pause,
            _ => Duration::from_millis(self.rng.random_range(0..40)),
        };
        self.next_request_at = Instant::now() + pause;
    }
}
