//! The operator's service that fills holders. It knows an id again, moves bytes at a pace, and fails as it is told to.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::processes::WAIT_TIMEOUT;

/// Between two looks at whether an order may go on, and two steps of one.
const STEP: Duration = Duration::from_millis(5);
/// Steps of a fill that takes time.
const STEPS: u64 = 20;

#[derive(Default)]
struct FillState {
    orders: Vec<Value>,
    paused: bool,
    /// Seconds that a fill takes.
    fill_seconds: f64,
    /// So many of the next orders break off when half of the bytes are there.
    failures_left: usize,
    /// Broken off for good: an order for this node is answered by a closed connection.
    failed_node: Option<String>,
    progress: BTreeMap<String, Progress>,
}

/// How far the fill of an id is.
#[derive(Default)]
struct Progress {
    /// Bytes that are there.
    present_bytes: u64,
    /// Bytes that were ever moved for it.
    moved_bytes: u64,
}

/// The operator's service that fills replicas.
pub struct FillService {
    /// Where it takes orders.
    pub address: SocketAddr,
    state: Arc<Mutex<FillState>>,
}

impl FillService {
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

    /// Orders are taken, and not answered as long as this is so.
    pub fn set_paused(&self, paused: bool) {
        self.state.lock().unwrap().paused = paused;
    }

    /// How long each fill takes from now on.
    pub fn set_fill_seconds(&self, seconds: f64) {
        self.state.lock().unwrap().fill_seconds = seconds;
    }

    /// So many of the next orders break off half way, and keep what they have.
    pub fn fail_next(&self, count: usize) {
        self.state.lock().unwrap().failures_left = count;
    }

    /// Orders for this node, or from it, come to nothing half way from now on.
    pub fn fail_node(&self, node: Option<&str>) {
        self.state.lock().unwrap().failed_node = node.map(str::to_string);
    }

    /// How many orders have come.
    pub fn order_count(&self) -> usize {
        self.state.lock().unwrap().orders.len()
    }

    /// All orders that came, as they were sent.
    pub fn orders(&self) -> Vec<Value> {
        self.state.lock().unwrap().orders.clone()
    }

    /// Bytes that were moved, of all ids.
    pub fn moved_bytes(&self) -> u64 {
        self.state.lock().unwrap().progress.values().map(|progress| progress.moved_bytes).sum()
    }
}

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

/// Whether it was done.
fn fill(order: &Value, state: &Mutex<FillState>) -> bool {
    let began = Instant::now();
    while state.lock().unwrap().paused && began.elapsed() < WAIT_TIMEOUT {
        thread::sleep(STEP);
    }
    let word = |key: &str| order[key].as_str().unwrap_or_default().to_string();
    let (id, bytes) = (word("id"), order["bytes"].as_u64().unwrap_or(0));
    let fill_seconds = state.lock().unwrap().fill_seconds;
    let mut fail_at_step = None;
    for step in 1..=STEPS {
        if fill_seconds > 0.0 {
            thread::sleep(Duration::from_secs_f64(fill_seconds / STEPS as f64));
        }
        let mut state = state.lock().unwrap();
        if step == 1 {
            let failed_node = state
                .failed_node
                .as_ref()
                .is_some_and(|node| [word("holder"), word("source")].contains(node));
            fail_at_step = (failed_node || state.failures_left > 0).then_some(STEPS / 2);
            state.failures_left = state.failures_left.saturating_sub(usize::from(!failed_node));
        }
        // What is there is not moved again: as many bytes as this step is ahead of it.
        let progress = state.progress.entry(id.clone()).or_default();
        let more = (bytes * step / STEPS).saturating_sub(progress.present_bytes);
        progress.present_bytes += more;
        progress.moved_bytes += more;
        if progress.present_bytes >= bytes && fail_at_step.is_none() {
            return true;
        }
        if fail_at_step == Some(step) {
            return false;
        }
    }
    true
}
