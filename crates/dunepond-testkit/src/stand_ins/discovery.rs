//! A discovery server: it keeps a versioned list of endpoints and answers a broker's long polls.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::WAIT_TIMEOUT;

/// How long [`DiscoveryServer::reply_immediately`] counts requests.
const COUNTING_TIME: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    version: u64,
    endpoints: Vec<Value>,
    silent: bool,
    /// Answers a long poll at once, changed or not.
    immediate: bool,
    /// Closes after each answer.
    closes: bool,
    request_count: usize,
    incarnation: usize,
    /// The version from which the broker polled last.
    polled_from: u64,
}

type SharedState = Arc<(Mutex<State>, Condvar)>;

/// A discovery server on loopback.
pub struct DiscoveryServer {
    /// Where it listens.
    pub address: SocketAddr,
    state: SharedState,
}

impl DiscoveryServer {
    /// Starts it with version 1 of a list.
    pub fn start(endpoints: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { version: 1, endpoints, ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Self { address, state }
    }

    /// Replaces the list: its next version, which also ends a silence.
    pub fn publish(&self, endpoints: Vec<Value>) {
        let mut state = self.lock();
        state.version += 1;
        state.endpoints = endpoints;
        state.silent = false;
        state.polled_from = 0;
        self.state.1.notify_all();
    }

    /// From now on answers long polls at once, and closes after each answer or not; returns how often a second it is asked then.
    pub fn reply_immediately(&self, closes: bool) -> f64 {
        let count_requests = || {
            let mut state = self.lock();
            state.immediate = true;
            state.closes = closes;
            self.state.1.notify_all();
            state.request_count
        };
        let before = count_requests();
        let start = Instant::now();
        thread::sleep(COUNTING_TIME);
        (count_requests() - before) as f64 / start.elapsed().as_secs_f64()
    }

    /// Breaks all connections, and counts its versions from 1 again.
    pub fn restart(&self, endpoints: Vec<Value>) {
        let mut state = self.lock();
        *state = State { version: 1, endpoints, incarnation: state.incarnation + 1, ..State::default() };
        self.state.1.notify_all();
    }

    /// Takes requests from now on and answers none of them.
    pub fn stop_replying(&self) {
        self.lock().silent = true;
        self.state.1.notify_all();
    }

    /// Waits until the broker polls from the newest version.
    ///
    /// # Panics
    /// Where it does not in time.
    pub fn wait_until_read(&self) {
        let polls_behind = |state: &mut State| state.polled_from < state.version;
        let result = self.state.1.wait_timeout_while(self.lock(), WAIT_TIMEOUT, polls_behind);
        assert!(!result.unwrap().1.timed_out(), "the list is not read");
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }
}

/// Answers one connection's requests; `None` where it ends.
fn serve(mut stream: TcpStream, state: &(Mutex<State>, Condvar)) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    stream.set_nodelay(true).ok()?;
    loop {
        let head = read_head(&mut reader)?;
        let parameter = |name: &str| head.split_once(name)?.1.split(['&', ' ']).next()?.parse::<u64>().ok();
        let mut current = note_request(state, parameter("index=").unwrap_or(0));
        let incarnation = current.incarnation;
        if let (Some(version), Some(wait_ms)) = (parameter("index="), parameter("wait=")) {
            let unchanged = |state: &mut State| {
                state.version <= version
                    && !state.silent
                    && !state.immediate
                    && state.incarnation == incarnation
            };
            let wait = Duration::from_millis(wait_ms);
            current = state.1.wait_timeout_while(current, wait, unchanged).unwrap().0;
        }
        if current.incarnation != incarnation {
            return None;
        }
        if current.silent {
            drop(current);
            thread::sleep(WAIT_TIMEOUT);
            return None;
        }
        let (answer, closes) = (answer(&current), current.closes);
        drop(current);
        stream.write_all(answer.as_bytes()).ok()?;
        if closes {
            return None;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

fn note_request(state: &(Mutex<State>, Condvar), polled_from: u64) -> MutexGuard<'_, State> {
    let mut current = state.0.lock().unwrap();
    current.request_count += 1;
    current.polled_from = polled_from;
    state.1.notify_all();
    current
}

/// The list as an answer in two chunks.
fn answer(state: &State) -> String {
    let body = json!({"seq": state.version, "whole": true, "hosts": state.endpoints}).to_string();
    let close = if state.closes { "Connection: close\r\n" } else { "" };
    let (half, rest) = body.split_at(body.len() / 2);
    let chunks = format!("{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n", half.len(), rest.len());
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{close}\r\n{chunks}")
}
