//! A node that takes bodies of any size and counts which parts ran.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::frames::{self, ANSWER, PART};

const BUFFER_BYTES: usize = 64 * 1024;
/// How long [`BodyNodeBehavior::StopReading`] sleeps before each read.
const STOPPED_READ_TIME: Duration = Duration::from_secs(60);
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a node does with what it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyNodeBehavior {
    /// Takes all of it and answers with its length and checksum.
    Serve,
    /// Takes all of it and answers nothing.
    Hang,
    /// Takes all of it, waits until it is to behave otherwise, and says that it failed.
    HoldThenFail,
    /// Takes nothing behind the first line.
    StopReading,
    /// Rejects a part as overloaded, when half of its frame has come.
    RefuseMidFrame,
    /// Rejects a part as overloaded, all of it there.
    Refuse,
    /// Says that the part failed.
    Fault,
    /// Closes, all of it there.
    Close,
    /// Closes when half of the frame has come.
    CloseMidFrame,
    /// Takes so many bytes a second.
    BytesPerSecond(u64),
}

/// What came to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FrameCounts {
    /// Frames of parts that came whole.
    pub complete: usize,
    /// Frames of parts that broke off, on either side.
    pub partial: usize,
    /// Connections.
    pub connections: usize,
}

#[derive(Default)]
struct Record {
    /// How often all of each part's frame came and was not rejected.
    runs: HashMap<String, u32>,
    frames: FrameCounts,
}

/// A node on loopback.
#[derive(Clone)]
pub struct Node {
    name: String,
    address: SocketAddr,
    behavior: Arc<Mutex<BodyNodeBehavior>>,
    record: Arc<Mutex<Record>>,
}

/// A part's line and what follows it.
struct PartHead {
    id: String,
    body_bytes: u64,
}

/// How a part's body ended.
enum BodyEnd {
    /// All of it came.
    Complete { checksum: u32 },
    /// The connection is done with.
    Aborted,
}

impl Node {
    /// Starts a node that behaves so.
    pub fn start(name: &str, behavior: BodyNodeBehavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let node = Self {
            name: name.to_string(),
            address,
            behavior: Arc::new(Mutex::new(behavior)),
            record: Arc::default(),
        };
        let shared = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared.clone();
                node.record.lock().unwrap().frames.connections += 1;
                thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(BUFFER_BYTES, stream);
        loop {
            let part = read_part_head(&mut reader)?;
            let behavior = self.behavior();
            let BodyEnd::Complete { checksum } = self.read_body(&mut reader, &mut out, &part, behavior)?
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
                BodyNodeBehavior::Refuse => format!("{id} overload 0 -\n"),
                BodyNodeBehavior::Fault => format!("{id} fault 0 -\n"),
                _ => format!("{id} hit 1 -\n{}:{checksum:08x}", part.body_bytes),
            };
            out.write_all(&frames::encode(ANSWER, &answer))?;
        }
    }

    fn behavior(&self) -> BodyNodeBehavior {
        *self.behavior.lock().unwrap()
    }

    fn read_body(
        &self,
        reader: &mut BufReader<TcpStream>,
        out: &mut TcpStream,
        part: &PartHead,
        behavior: BodyNodeBehavior,
    ) -> io::Result<BodyEnd> {
        let started = Instant::now();
        let mut checksum = crc32fast::Hasher::new();
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut left = part.body_bytes;
        while left > 0 {
            let half_read = left <= part.body_bytes / 2;
            match behavior {
                BodyNodeBehavior::StopReading => thread::sleep(STOPPED_READ_TIME),
                BodyNodeBehavior::RefuseMidFrame if half_read => {
                    self.record_partial();
                    let answer = format!("{} overload 0 -\n", part.id);
                    out.write_all(&frames::encode(ANSWER, &answer))?;
                    // What still comes is taken and thrown away until the broker closes.
                    io::copy(reader, &mut io::sink())?;
                    return Ok(BodyEnd::Aborted);
                }
                BodyNodeBehavior::CloseMidFrame if half_read => {
                    self.record_partial();
                    return Ok(BodyEnd::Aborted);
                }
                BodyNodeBehavior::BytesPerSecond(rate) => {
                    let due = (part.body_bytes - left) as f64 / rate as f64;
                    let early = (due - started.elapsed().as_secs_f64()).max(0.0);
                    thread::sleep(Duration::from_secs_f64(early));
                }
                _ => {}
            }
            let limit = buffer.len().min(left as usize);
            let count = reader.read(&mut buffer[..limit])?;
            if count == 0 {
                self.record_partial();
                return Ok(BodyEnd::Aborted);
            }
            checksum.update(&buffer[..count]);
            left -= count as u64;
        }
        Ok(BodyEnd::Complete { checksum: checksum.finalize() })
    }

    fn record_complete(&self, id: &str, behavior: BodyNodeBehavior) {
        let mut record = self.record.lock().unwrap();
        record.frames.complete += 1;
        if behavior != BodyNodeBehavior::Refuse {
            *record.runs.entry(id.to_string()).or_default() += 1;
        }
    }

    fn record_partial(&self) {
        self.record.lock().unwrap().frames.partial += 1;
    }

    /// Behaves so from the next part on.
    pub fn set_behavior(&self, behavior: BodyNodeBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Its entry in the list of discovery.
    pub fn endpoint(&self) -> Value {
        json!({"host": self.name, "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": "ready", "share": 1.0, "born_ms": 0})
    }

    /// How often each part ran here.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.record.lock().unwrap().runs.clone()
    }

    /// What came so far.
    pub fn frame_counts(&self) -> FrameCounts {
        self.record.lock().unwrap().frames
    }
}

/// Skips to the next part and reads its line.
fn read_part_head(reader: &mut BufReader<TcpStream>) -> io::Result<PartHead> {
    loop {
        let mut head = [0; 5];
        reader.read_exact(&mut head)?;
        let [length @ .., letter] = head;
        if letter != PART {
            let rest = u64::from(u32::from_be_bytes(length)) - 1;
            io::copy(&mut reader.by_ref().take(rest), &mut io::sink())?;
            continue;
        }
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let words: Vec<_> = line.trim_end().split(' ').collect();
        return Ok(PartHead { id: words[0].to_string(), body_bytes: words[3].parse().unwrap() });
    }
}
