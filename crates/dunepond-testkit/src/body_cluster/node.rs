//! A stand-in node that accepts bodies of any size and counts which parts ran.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::frames::{self, ANSWER, PART};

/// Size of the read buffers.
const BUFFER_BYTES: usize = 64 * 1024;
/// Time that [`BodyNodeBehavior::StopReading`] sleeps before each read of a body.
const STOPPED_READ_DELAY: Duration = Duration::from_secs(60);
/// Interval at which [`BodyNodeBehavior::HoldThenFail`] checks whether the behavior was changed.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a node treats the parts that a broker sends to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyNodeBehavior {
    /// Reads the whole frame and answers with the length and the checksum of the body.
    Serve,
    /// Reads the whole frame and never answers.
    Hang,
    /// Reads the whole frame, waits until the node's behavior is changed, and then reports that the part failed.
    HoldThenFail,
    /// Reads the first line of a part and then pauses for a minute before each read of its body.
    StopReading,
    /// Rejects a part as overloaded when half of its body has arrived.
    RejectMidFrame,
    /// Rejects a part as overloaded after reading its whole frame.
    Reject,
    /// Reads the whole frame and reports that the part failed.
    ReportFailure,
    /// Closes the connection after reading the whole frame.
    Close,
    /// Closes the connection when half of the body has arrived.
    CloseMidFrame,
    /// Serves, but reads bodies at most at this rate, in bytes per second.
    ServeAtBytesPerSecond(u64),
}

/// Counts of the connections and the part frames that a node received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FrameCounts {
    /// Number of part frames that arrived whole.
    pub complete: usize,
    /// Number of part frames that were cut off, by the node or by the broker.
    pub partial: usize,
    /// Number of connections that the node accepted.
    pub connections: usize,
}

/// The parts and connections that a node has seen.
#[derive(Default)]
struct NodeRecord {
    /// By part id, how often the part's frame arrived whole and was not rejected as overloaded.
    runs: HashMap<String, u32>,
    frames: FrameCounts,
}

/// A stand-in node that listens on a loopback address.
#[derive(Clone)]
pub struct Node {
    name: String,
    address: SocketAddr,
    behavior: Arc<Mutex<BodyNodeBehavior>>,
    record: Arc<Mutex<NodeRecord>>,
}

/// The first line of a part's frame, which is followed by the body.
struct PartHeader {
    id: String,
    body_bytes: u64,
}

/// Result of reading a part's body.
enum BodyResult {
    /// The whole body arrived; `checksum` is its CRC-32.
    Complete { checksum: u32 },
    /// The body was cut off, so the connection has to be closed.
    Aborted,
}

impl Node {
    /// Starts a node with this name in discovery and this behavior.
    pub fn start(name: &str, behavior: BodyNodeBehavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let node = Self {
            name: name.to_string(),
            address,
            behavior: Arc::new(Mutex::new(behavior)),
            record: Arc::default(),
        };
        let shared_node = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared_node.clone();
                node.record.lock().unwrap().frames.connections += 1;
                thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    /// Handles the frames of one connection until it ends.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(BUFFER_BYTES, stream);
        loop {
            let part = read_part_header(&mut reader)?;
            let behavior = self.behavior();
            let BodyResult::Complete { checksum } = self.read_body(&mut reader, &mut out, &part, behavior)?
            else {
                return Ok(());
            };
            self.record_complete(&part.id, behavior);
            let id = &part.id;
            let answer = match behavior {
                BodyNodeBehavior::Hang => continue,
                BodyNodeBehavior::Close => return Ok(()),
                BodyNodeBehavior::HoldThenFail => {
                    while self.behavior() == BodyNodeBehavior::HoldThenFail {
                        thread::sleep(RELEASE_POLL_INTERVAL);
                    }
                    format!("{id} fault 0 -\n")
                }
                BodyNodeBehavior::Reject => format!("{id} overload 0 -\n"),
                BodyNodeBehavior::ReportFailure => format!("{id} fault 0 -\n"),
                _ => format!("{id} hit 1 -\n{}:{checksum:08x}", part.body_bytes),
            };
            out.write_all(&frames::encode(ANSWER, &answer))?;
        }
    }

    fn behavior(&self) -> BodyNodeBehavior {
        *self.behavior.lock().unwrap()
    }

    /// Reads a part's body as `behavior` prescribes and computes its checksum.
    fn read_body(
        &self,
        reader: &mut BufReader<TcpStream>,
        out: &mut TcpStream,
        part: &PartHeader,
        behavior: BodyNodeBehavior,
    ) -> io::Result<BodyResult> {
        let started = Instant::now();
        let mut checksum = crc32fast::Hasher::new();
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut remaining = part.body_bytes;
        while remaining > 0 {
            let half_arrived = remaining <= part.body_bytes / 2;
            match behavior {
                BodyNodeBehavior::StopReading => thread::sleep(STOPPED_READ_DELAY),
                BodyNodeBehavior::RejectMidFrame if half_arrived => {
                    self.record_partial();
                    let answer = format!("{} overload 0 -\n", part.id);
                    out.write_all(&frames::encode(ANSWER, &answer))?;
                    // The rest of the stream is discarded until the broker closes the connection.
                    io::copy(reader, &mut io::sink())?;
                    return Ok(BodyResult::Aborted);
                }
                BodyNodeBehavior::CloseMidFrame if half_arrived => {
                    self.record_partial();
                    return Ok(BodyResult::Aborted);
                }
                BodyNodeBehavior::ServeAtBytesPerSecond(rate) => {
                    let due_seconds = (part.body_bytes - remaining) as f64 / rate as f64;
                    let wait_seconds = (due_seconds - started.elapsed().as_secs_f64()).max(0.0);
                    thread::sleep(Duration::from_secs_f64(wait_seconds));
                }
                _ => {}
            }
            let limit = buffer.len().min(remaining as usize);
            let count = reader.read(&mut buffer[..limit])?;
            if count == 0 {
                self.record_partial();
                return Ok(BodyResult::Aborted);
            }
            checksum.update(&buffer[..count]);
            remaining -= count as u64;
        }
        Ok(BodyResult::Complete { checksum: checksum.finalize() })
    }

    /// Counts a part frame that arrived whole, and a run of the part unless the node rejects it.
    fn record_complete(&self, id: &str, behavior: BodyNodeBehavior) {
        let mut record = self.record.lock().unwrap();
        record.frames.complete += 1;
        if behavior != BodyNodeBehavior::Reject {
            *record.runs.entry(id.to_string()).or_default() += 1;
        }
    }

    /// Counts a part frame that was cut off.
    fn record_partial(&self) {
        self.record.lock().unwrap().frames.partial += 1;
    }

    /// Sets the behavior from the next part on, also on open connections.
    pub fn set_behavior(&self, behavior: BodyNodeBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Returns the node's entry in the endpoint list of discovery.
    pub fn endpoint(&self) -> Value {
        json!({"host": self.name, "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": "ready", "share": 1.0, "born_ms": 0})
    }

    /// Returns, by part id, how often the part ran on this node.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        self.record.lock().unwrap().runs.clone()
    }

    /// Returns the counts of connections and part frames so far.
    pub fn frame_counts(&self) -> FrameCounts {
        self.record.lock().unwrap().frames
    }
}

/// Skips frames of other types up to the next part and reads the part's first line.
fn read_part_header(reader: &mut BufReader<TcpStream>) -> io::Result<PartHeader> {
    loop {
        let mut header = [0; 5];
        reader.read_exact(&mut header)?;
        let [length @ .., frame_type] = header;
        if frame_type != PART {
            // The length includes the byte of the frame type.
            let content_bytes = u64::from(u32::from_be_bytes(length)) - 1;
            io::copy(&mut reader.by_ref().take(content_bytes), &mut io::sink())?;
            continue;
        }
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let fields: Vec<_> = line.trim_end().split(' ').collect();
        return Ok(PartHeader { id: fields[0].to_string(), body_bytes: fields[3].parse().unwrap() });
    }
}
