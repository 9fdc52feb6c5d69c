//! A stand-in for the operator's service that fills replicas.
//!
//! Each fill has an id: a repeated fill request with the same id moves only the bytes that are still missing. A test sets how
//! long fills take and which of them fail.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::processes::WAIT_TIMEOUT;

/// Interval at which a paused fill request checks whether it may continue.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of equal steps in which a fill moves its bytes.
const STEP_COUNT: u64 = 20;

/// State of the fill service.
#[derive(Default)]
struct FillState {
    /// All fill requests received, in the order of arrival.
    requests: Vec<Value>,
    /// Whether the service is paused, so that fill requests wait before they are carried out.
    paused: bool,
    /// Duration of a fill, in seconds.
    fill_seconds: f64,
    /// Number of upcoming fills that fail after half of the steps.
    failures_left: usize,
    /// Name of a node whose fills, both to it and from it, all fail after half of the steps.
    failed_node: Option<String>,
    /// Progress of each fill, by its id.
    progress: BTreeMap<String, Progress>,
}

/// Progress of the fill with one id, over all requests for it.
#[derive(Default)]
struct Progress {
    /// Number of bytes of the segment that are present at the replica.
    present_bytes: u64,
    /// Number of bytes that all requests for this id moved.
    moved_bytes: u64,
}

/// A running stand-in for the operator's service that fills replicas, on loopback.
pub struct FillService {
    /// Address at which the service takes fill requests over HTTP.
    pub address: SocketAddr,
    /// State that all connections share.
    state: Arc<Mutex<FillState>>,
}

impl FillService {
    /// Starts the service, with fills that complete at once.
    pub(super) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let service = Self { address: listener.local_addr().unwrap(), state: Arc::default() };
        let state = service.state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        service
    }

    /// Pauses or resumes the service. While it is paused, it accepts fill requests but neither carries them out nor
    /// answers them. A request waits for at most [`WAIT_TIMEOUT`].
    pub fn set_paused(&self, paused: bool) {
        self.state.lock().unwrap().paused = paused;
    }

    /// Sets the duration of each following fill, in seconds.
    pub fn set_fill_seconds(&self, seconds: f64) {
        self.state.lock().unwrap().fill_seconds = seconds;
    }

    /// Makes the next `count` fills fail halfway. The bytes moved until then stay present, so that a repeated request
    /// resumes from there.
    pub fn fail_next_fills(&self, count: usize) {
        self.state.lock().unwrap().failures_left = count;
    }

    /// Makes all following fills to or from this node fail halfway; `None` ends the fault.
    pub fn set_failing_node(&self, node: Option<&str>) {
        self.state.lock().unwrap().failed_node = node.map(str::to_string);
    }

    /// Returns the number of fill requests received so far.
    pub fn fill_request_count(&self) -> usize {
        self.state.lock().unwrap().requests.len()
    }

    /// Returns all fill requests received so far, as the JSON documents that the brokers sent.
    pub fn fill_requests(&self) -> Vec<Value> {
        self.state.lock().unwrap().requests.clone()
    }

    /// Returns the number of bytes that all fills have moved so far.
    pub fn moved_bytes(&self) -> u64 {
        self.state.lock().unwrap().progress.values().map(|progress| progress.moved_bytes).sum()
    }
}

/// Serves the fill requests of one connection. Closes the connection without an answer if a fill fails.
fn serve(mut stream: TcpStream, state: &Mutex<FillState>) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut header, mut line) = (String::new(), String::new());
        while !header.ends_with("\r\n\r\n") {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            header += &line.to_ascii_lowercase();
        }
        let length = header.split_once("content-length: ").and_then(|(_, rest)| rest.split('\r').next());
        let mut body = vec![0; length.and_then(|length| length.parse().ok()).unwrap_or(0)];
        reader.read_exact(&mut body)?;
        let request: Value = serde_json::from_slice(&body).unwrap_or_default();
        state.lock().unwrap().requests.push(request.clone());
        if !fill(&request, state) {
            return Ok(());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
    }
}

/// Carries out a fill request and returns whether the fill is complete.
fn fill(request: &Value, state: &Mutex<FillState>) -> bool {
    let started_at = Instant::now();
    while state.lock().unwrap().paused && started_at.elapsed() < WAIT_TIMEOUT {
        thread::sleep(PAUSE_POLL_INTERVAL);
    }
    let text_field = |key: &str| request[key].as_str().unwrap_or_default().to_string();
    let (id, bytes) = (text_field("id"), request["bytes"].as_u64().unwrap_or(0));
    let fill_seconds = state.lock().unwrap().fill_seconds;
    let mut fail_at_step = None;
    for step in 1..=STEP_COUNT {
        if fill_seconds > 0.0 {
            thread::sleep(Duration::from_secs_f64(fill_seconds / STEP_COUNT as f64));
        }
        let mut state = state.lock().unwrap();
        if step == 1 {
            let uses_failed_node = state
                .failed_node
                .as_ref()
                .is_some_and(|node| [text_field("holder"), text_field("source")].contains(node));
            fail_at_step = (uses_failed_node || state.failures_left > 0).then_some(STEP_COUNT / 2);
            state.failures_left = state.failures_left.saturating_sub(usize::from(!uses_failed_node));
        }
        // Bytes that an earlier request for the same id moved are not moved again.
        let progress = state.progress.entry(id.clone()).or_default();
        let missing_bytes = (bytes * step / STEP_COUNT).saturating_sub(progress.present_bytes);
        progress.present_bytes += missing_bytes;
        progress.moved_bytes += missing_bytes;
        if progress.present_bytes >= bytes && fail_at_step.is_none() {
            return true;
        }
        if fail_at_step == Some(step) {
            return false;
        }
    }
    true
}
