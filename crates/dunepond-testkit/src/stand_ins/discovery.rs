//! A stand-in discovery server, which keeps a versioned list of endpoints and answers a broker's long polls.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::WAIT_TIMEOUT;

/// Period over which [`DiscoveryServer::measure_immediate_poll_rate`] counts requests.
const COUNTING_PERIOD: Duration = Duration::from_millis(500);

/// State that the connections of a discovery server share.
#[derive(Default)]
struct State {
    /// Version of the endpoint list.
    version: u64,
    endpoints: Vec<Value>,
    /// Whether requests are read without being answered.
    silent: bool,
    /// Whether a long poll is answered at once, even if the list has not changed.
    immediate: bool,
    /// Whether the connection is closed after each answer.
    close_after_answer: bool,
    request_count: usize,
    /// Number of restarts. A connection is closed if the number changes while its long poll is pending.
    incarnation: usize,
    /// List version stated in the latest request; 0 if it stated none.
    polled_from: u64,
}

type SharedState = Arc<(Mutex<State>, Condvar)>;

/// A stand-in discovery server that listens on a loopback address.
pub struct DiscoveryServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    state: SharedState,
}

impl DiscoveryServer {
    /// Starts a server whose list has these endpoints and version 1.
    pub fn start(endpoints: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { version: 1, endpoints, ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared_state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Self { address, state }
    }

    /// Publishes the next version of the list. Ends the effect of [`DiscoveryServer::stop_replying`].
    pub fn publish(&self, endpoints: Vec<Value>) {
        let mut state = self.lock();
        state.version += 1;
        state.endpoints = endpoints;
        state.silent = false;
        state.polled_from = 0;
        self.state.1.notify_all();
    }

    /// From now on answers long polls at once, even if the list has not changed, and closes the connection after each answer if
    /// `close_after_answer` is set. Measures the requests that arrive in the next half second and returns their rate per second.
    pub fn measure_immediate_poll_rate(&self, close_after_answer: bool) -> f64 {
        let apply_and_count_requests = || {
            let mut state = self.lock();
            state.immediate = true;
            state.close_after_answer = close_after_answer;
            self.state.1.notify_all();
            state.request_count
        };
        let before = apply_and_count_requests();
        let start = Instant::now();
        thread::sleep(COUNTING_PERIOD);
        (apply_and_count_requests() - before) as f64 / start.elapsed().as_secs_f64()
    }

    /// Simulates a restart with these endpoints: closes the connections that have a long poll pending, and restarts the list's
    /// versions at 1.
    pub fn restart(&self, endpoints: Vec<Value>) {
        let mut state = self.lock();
        *state = State { version: 1, endpoints, incarnation: state.incarnation + 1, ..State::default() };
        self.state.1.notify_all();
    }

    /// From now on reads requests without answering them, until [`DiscoveryServer::publish`] or [`DiscoveryServer::restart`].
    pub fn stop_replying(&self) {
        self.lock().silent = true;
        self.state.1.notify_all();
    }

    /// Waits until the broker's latest request states the newest version of the list, which shows that the broker has received
    /// this version.
    ///
    /// # Panics
    /// If this does not happen within 10 seconds.
    pub fn wait_until_newest_version_polled(&self) {
        let is_behind = |state: &mut State| state.polled_from < state.version;
        let result = self.state.1.wait_timeout_while(self.lock(), WAIT_TIMEOUT, is_behind);
        assert!(
            !result.unwrap().1.timed_out(),
            "the broker did not poll from the newest version of the list within {WAIT_TIMEOUT:?}"
        );
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }
}

/// Answers the requests of one connection. Returns `None` when the connection has ended.
fn serve(mut stream: TcpStream, state: &(Mutex<State>, Condvar)) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    stream.set_nodelay(true).ok()?;
    loop {
        let header = read_header(&mut reader)?;
        let parameter = |name: &str| header.split_once(name)?.1.split(['&', ' ']).next()?.parse::<u64>().ok();
        let mut current = record_request(state, parameter("index=").unwrap_or(0));
        let incarnation = current.incarnation;
        if let (Some(version), Some(wait_ms)) = (parameter("index="), parameter("wait=")) {
            let keep_waiting = |state: &mut State| {
                state.version <= version
                    && !state.silent
                    && !state.immediate
                    && state.incarnation == incarnation
            };
            let wait = Duration::from_millis(wait_ms);
            current = state.1.wait_timeout_while(current, wait, keep_waiting).unwrap().0;
        }
        if current.incarnation != incarnation {
            return None;
        }
        if current.silent {
            drop(current);
            thread::sleep(WAIT_TIMEOUT);
            return None;
        }
        let (answer, close_after_answer) = (list_response(&current), current.close_after_answer);
        drop(current);
        stream.write_all(answer.as_bytes()).ok()?;
        if close_after_answer {
            return None;
        }
    }
}

/// Reads the request line and the header fields of a request; `None` if the connection has ended.
fn read_header(reader: &mut impl BufRead) -> Option<String> {
    let mut header = String::new();
    while !header.ends_with("\r\n\r\n") {
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
    }
    Some(header)
}

/// Counts a request and stores the list version that it states.
fn record_request(state: &(Mutex<State>, Condvar), polled_from: u64) -> MutexGuard<'_, State> {
    let mut current = state.0.lock().unwrap();
    current.request_count += 1;
    current.polled_from = polled_from;
    state.1.notify_all();
    current
}

/// Returns the list as an HTTP response with a body of two chunks.
fn list_response(state: &State) -> String {
    let body = json!({"seq": state.version, "whole": true, "hosts": state.endpoints}).to_string();
    let close = if state.close_after_answer { "Connection: close\r\n" } else { "" };
    let (half, rest) = body.split_at(body.len() / 2);
    let chunks = format!("{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n", half.len(), rest.len());
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{close}\r\n{chunks}")
}
