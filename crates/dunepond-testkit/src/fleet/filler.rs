//! A stand-in for the operator's service that fills replicas.
//!
//! A fill is identified by its id: a repeated order for the same id moves only the bytes that are still missing. A test sets how
//! long fills take and which of them fail.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::processes::WAIT_TIMEOUT;

/// Interval at which a paused order checks whether it may continue.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of equal steps in which a fill moves its bytes.
const STEPS: u64 = 20;

/// State of the fill service.
#[derive(Default)]
struct FillState {
    /// All orders received, in the order of arrival.
    orders: Vec<Value>,
    /// Whether the service is paused, so that orders wait before they are carried out.
    paused: bool,
    /// Duration of a fill, in seconds.
    fill_seconds: f64,
    /// Number of upcoming orders that fail after half of the steps.
    failures_left: usize,
    /// Name of a node whose fills, both to it and from it, all fail after half of the steps.
    failed_node: Option<String>,
    /// Progress of each fill, by its id.
    progress: BTreeMap<String, Progress>,
}

/// Progress of the fill with one id, over all orders for it.
#[derive(Default)]
struct Progress {
    /// Bytes of the segment that are present at the replica.
    present_bytes: u64,
    /// Bytes that all orders for this id moved.
    moved_bytes: u64,
}

/// A running stand-in for the operator's service that fills replicas, on loopback.
pub struct FillService {
    /// Address at which the service takes orders over HTTP.
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

    /// Pauses or resumes the service. While it is paused, it accepts orders but does not carry them out or answer them. An
    /// order waits for at most [`WAIT_TIMEOUT`].
    pub fn set_paused(&self, paused: bool) {
        self.state.lock().unwrap().paused = paused;
    }

    /// Sets the duration of each following fill, in seconds.
    pub fn set_fill_seconds(&self, seconds: f64) {
        self.state.lock().unwrap().fill_seconds = seconds;
    }

    /// Has the next `count` orders fail halfway. The bytes moved until then stay present, so that a repeated order resumes
    /// from there.
    pub fn fail_next(&self, count: usize) {
        self.state.lock().unwrap().failures_left = count;
    }

    /// Has all following fills to or from this node fail halfway; `None` ends the fault.
    pub fn fail_node(&self, node: Option<&str>) {
        self.state.lock().unwrap().failed_node = node.map(str::to_string);
    }

    /// Returns the number of orders received so far.
    pub fn order_count(&self) -> usize {
        self.state.lock().unwrap().orders.len()
    }

    /// Returns all orders received so far, as the JSON documents that the brokers sent.
    pub fn orders(&self) -> Vec<Value> {
        self.state.lock().unwrap().orders.clone()
    }

    /// Returns the number of bytes moved so far by all orders.
    pub fn moved_bytes(&self) -> u64 {
        self.state.lock().unwrap().progress.values().map(|progress| progress.moved_bytes).sum()
    }
}

/// Serves the orders of one connection. Closes the connection without an answer if an order fails.
fn serve(mut stream: TcpStream, state: &Mutex<FillState>) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (mut head, mut line) = (String::new(), String::new());
        while !head.ends_with("\r\n\r\n") {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            head += &line.to_ascii_lowercase();
        }
        let length = head.split_once("content-length: ").and_then(|(_, rest)| rest.split('\r').next());
        let mut body = vec![0; length.and_then(|length| length.parse().ok()).unwrap_or(0)];
        reader.read_exact(&mut body)?;
        let order: Value = serde_json::from_slice(&body).unwrap_or_default();
        state.lock().unwrap().orders.push(order.clone());
        if !fill(&order, state) {
            return Ok(());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
    }
}

/// Carries out an order and returns whether the fill is complete.
fn fill(order: &Value, state: &Mutex<FillState>) -> bool {
    let started_at = Instant::now();
    while state.lock().unwrap().paused && started_at.elapsed() < WAIT_TIMEOUT {
        thread::sleep(PAUSE_POLL_INTERVAL);
    }
    let text_field = |key: &str| order[key].as_str().unwrap_or_default().to_string();
    let (id, bytes) = (text_field("id"), order["bytes"].as_u64().unwrap_or(0));
    let fill_seconds = state.lock().unwrap().fill_seconds;
    let mut fail_at_step = None;
    for step in 1..=STEPS {
        if fill_seconds > 0.0 {
            thread::sleep(Duration::from_secs_f64(fill_seconds / STEPS as f64));
        }
        let mut state = state.lock().unwrap();
        if step == 1 {
            let uses_failed_node = state
                .failed_node
                .as_ref()
                .is_some_and(|node| [text_field("holder"), text_field("source")].contains(node));
            fail_at_step = (uses_failed_node || state.failures_left > 0).then_some(STEPS / 2);
            state.failures_left = state.failures_left.saturating_sub(usize::from(!uses_failed_node));
        }
        // Bytes that an earlier order for the same id moved are not moved again.
        let progress = state.progress.entry(id.clone()).or_default();
        let missing_bytes = (bytes * step / STEPS).saturating_sub(progress.present_bytes);
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
