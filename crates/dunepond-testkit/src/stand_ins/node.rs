//! A stand-in node that answers the parts of queries, with configurable faults, and records the frames it received.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::WAIT_TIMEOUT;
use crate::frames::{self, ANSWER, PART, PROTOCOL_ERROR};

/// Delay of the answers of [`NodeBehavior::SlowForShard`].
const SLOW_SHARD_DELAY: Duration = Duration::from_millis(250);
/// Number of bytes of an answer's frame that [`NodeBehavior::CloseMidFrame`] sends.
const PARTIAL_ANSWER_BYTES: usize = 9;
/// A frame type that the protocol does not define.
const UNKNOWN_FRAME_TYPE: u8 = b'X';

/// How a node treats the parts that a broker sends to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeBehavior {
    /// Answers each part at once.
    Serve,
    /// Never answers.
    Hang,
    /// Never answers on the first connection, which stays open; serves on the others.
    HangOnFirstConnection,
    /// Never answers parts of this shard; serves the others.
    HangForShard(usize),
    /// Answers parts of this shard after a quarter of a second, and reads nothing else on the connection meanwhile; serves the
    /// others at once.
    SlowForShard(usize),
    /// Answers each part after a delay in milliseconds, however many parts are in flight.
    DelayMillis(u64),
    /// Sends the first bytes of an answer's frame and closes the connection.
    CloseMidFrame,
    /// Answers with this status and no value.
    ReplyStatus(&'static str),
    /// Of each run of this many parts, reports that the last one failed; serves the others.
    FailEveryNth(usize),
    /// Answers with a frame that reports a protocol error.
    ReportProtocolError,
    /// Answers with a frame whose type the protocol does not define.
    UnknownFrame,
    /// Answers, and sends these bytes directly after the answer.
    ServeThenRaw(&'static [u8]),
    /// Answers, with this text in place of the fields that follow the id in the answer's first line.
    ServeWithFields(&'static str),
    /// Sends these bytes unchanged in place of an answer.
    ReplyRaw(&'static [u8]),
    /// Sends an answer to a part that the broker is not waiting for, and then the requested answer.
    ServeAfterStaleReply,
}

/// The frames and connections that a node has seen.
#[derive(Default)]
struct NodeRecord {
    /// Type and content of each frame, in order of arrival.
    frames: Vec<(char, String)>,
    /// Arrival time and id of each part.
    part_arrivals: Vec<(Instant, String)>,
    /// Number of connections accepted.
    connection_count: usize,
    /// Number of connections that have ended.
    closed_connection_count: usize,
}

type SharedRecord = (Mutex<NodeRecord>, Condvar);

/// A stand-in node that listens on a loopback address.
pub struct Node {
    /// The node's name in discovery.
    pub name: String,
    /// The address on which the node listens.
    pub address: SocketAddr,
    behavior: Arc<Mutex<NodeBehavior>>,
    record: Arc<SharedRecord>,
}

/// A part, parsed from the content of its frame.
struct Part<'a> {
    id: &'a str,
    shard: Option<&'a str>,
    value: &'a str,
}

impl<'a> Part<'a> {
    /// Parses a part; `None` if the text is not in the format of a part.
    fn parse(text: &'a str) -> Option<Self> {
        let (line, value) = text.split_once('\n')?;
        let mut fields = line.split(' ');
        Some(Self { id: fields.next()?, shard: fields.next(), value })
    }

    /// Returns whether the part covers this shard.
    fn is_for_shard(&self, shard: usize) -> bool {
        self.shard == Some(&shard.to_string())
    }

    /// Returns the frame of a successful answer, whose value is the part's with the prefix `v-`.
    fn answer(&self) -> Vec<u8> {
        self.answer_with_fields("hit 7 -")
    }

    /// Returns the frame of an answer with this text after the id in its first line.
    fn answer_with_fields(&self, fields: &str) -> Vec<u8> {
        frames::encode(ANSWER, &format!("{} {fields}\nv-{}", self.id, self.value))
    }

    /// Returns the frame of an answer with this status and no value.
    fn answer_without_value(&self, status: &str) -> Vec<u8> {
        frames::encode(ANSWER, &format!("{} {status} 7 -\n", self.id))
    }
}

/// What a node does with one part.
enum PartAction {
    Ignore,
    Send(Vec<u8>),
    /// Sends after a delay, and reads and answers nothing else on the connection meanwhile.
    SendAfterPause(Duration, Vec<u8>),
    /// Sends after a delay, and handles other parts meanwhile.
    SendLater(Duration, Vec<u8>),
    SendAndClose(Vec<u8>),
}

/// Returns what a node with this behavior does with a part. `connection` is the connection's number and `part_number` the number
/// of the part among all that the node received; both count from 1.
fn action_for(behavior: NodeBehavior, part: &Part, connection: usize, part_number: usize) -> PartAction {
    match behavior {
        NodeBehavior::Hang => PartAction::Ignore,
        NodeBehavior::HangOnFirstConnection if connection == 1 => PartAction::Ignore,
        NodeBehavior::HangForShard(shard) if part.is_for_shard(shard) => PartAction::Ignore,
        NodeBehavior::SlowForShard(shard) if part.is_for_shard(shard) => {
            PartAction::SendAfterPause(SLOW_SHARD_DELAY, part.answer())
        }
        NodeBehavior::DelayMillis(delay) => {
            PartAction::SendLater(Duration::from_millis(delay), part.answer())
        }
        NodeBehavior::FailEveryNth(count) if part_number.is_multiple_of(count) => {
            PartAction::Send(part.answer_without_value("fault"))
        }
        NodeBehavior::Serve
        | NodeBehavior::HangOnFirstConnection
        | NodeBehavior::HangForShard(_)
        | NodeBehavior::SlowForShard(_)
        | NodeBehavior::FailEveryNth(_) => PartAction::Send(part.answer()),
        NodeBehavior::ReplyStatus(status) => PartAction::Send(part.answer_without_value(status)),
        NodeBehavior::ReportProtocolError => PartAction::Send(frames::encode(PROTOCOL_ERROR, "what is this")),
        NodeBehavior::UnknownFrame => PartAction::Send(frames::encode(UNKNOWN_FRAME_TYPE, "?")),
        NodeBehavior::ServeThenRaw(bytes) => PartAction::Send([&part.answer(), bytes].concat()),
        NodeBehavior::ServeWithFields(fields) => PartAction::Send(part.answer_with_fields(fields)),
        NodeBehavior::ReplyRaw(bytes) => PartAction::Send(bytes.to_vec()),
        NodeBehavior::ServeAfterStaleReply => {
            let stale = frames::encode(ANSWER, "c1.2 hit 7 -\nold");
            PartAction::Send([stale, part.answer()].concat())
        }
        NodeBehavior::CloseMidFrame => {
            let answer = frames::encode(ANSWER, &format!("{} hit 7 -\nv", part.id));
            PartAction::SendAndClose(answer[..PARTIAL_ANSWER_BYTES].to_vec())
        }
    }
}

impl Node {
    /// Starts a node with this name in discovery that answers each part at once.
    pub fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Self {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            behavior: Arc::new(Mutex::new(NodeBehavior::Serve)),
            record: Arc::default(),
        };
        let (behavior, record) = (node.behavior.clone(), node.record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behavior, record) = (behavior.clone(), record.clone());
                thread::spawn(move || {
                    let number = {
                        let mut record = record.0.lock().unwrap();
                        record.connection_count += 1;
                        record.connection_count
                    };
                    let _ = Self::serve(stream, number, &behavior, &record);
                    record.0.lock().unwrap().closed_connection_count += 1;
                    record.1.notify_all();
                });
            }
        });
        node
    }

    /// Handles the frames of one connection until it ends. `connection` is its number, counted from 1.
    fn serve(
        mut stream: TcpStream,
        connection: usize,
        behavior: &Mutex<NodeBehavior>,
        record: &SharedRecord,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let frame = frames::read(&mut stream)?;
            let text = String::from_utf8(frame.content).unwrap();
            record.0.lock().unwrap().frames.push((char::from(frame.frame_type), text.clone()));
            record.1.notify_all();
            if frame.frame_type != PART {
                continue;
            }
            let part = Part::parse(&text).unwrap();
            let part_number = {
                let mut record = record.0.lock().unwrap();
                record.part_arrivals.push((Instant::now(), part.id.to_string()));
                record.part_arrivals.len()
            };
            let behavior = *behavior.lock().unwrap();
            match action_for(behavior, &part, connection, part_number) {
                PartAction::Ignore => {}
                PartAction::Send(bytes) => stream.write_all(&bytes)?,
                PartAction::SendAfterPause(pause, bytes) => {
                    thread::sleep(pause);
                    stream.write_all(&bytes)?;
                }
                PartAction::SendLater(delay, bytes) => {
                    let mut stream = stream.try_clone()?;
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let _ = stream.write_all(&bytes);
                    });
                }
                PartAction::SendAndClose(bytes) => return stream.write_all(&bytes),
            }
        }
    }

    /// Sets the behavior from now on, also on open connections.
    pub fn set_behavior(&self, behavior: NodeBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Returns the node's entry in the endpoint list of discovery, with this health.
    pub fn endpoint(&self, health: &str) -> Value {
        json!({"host": self.name, "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": health, "share": 1.0, "born_ms": 0})
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.record.0.lock().unwrap().connection_count
    }

    /// Returns the contents of all frames of this type, in order of arrival.
    pub fn frames_of_type(&self, frame_type: char) -> Vec<String> {
        let record = self.record.0.lock().unwrap();
        record.frames.iter().filter(|frame| frame.0 == frame_type).map(|frame| frame.1.clone()).collect()
    }

    /// Returns the arrival time and the id of each part, in order of arrival.
    pub fn part_arrivals(&self) -> Vec<(Instant, String)> {
        self.record.0.lock().unwrap().part_arrivals.clone()
    }

    /// Waits until at least `count` frames of this type have arrived.
    ///
    /// # Panics
    /// If they do not arrive within 10 seconds.
    pub fn wait_for_frames(&self, frame_type: char, count: usize) {
        self.wait(|record| record.frames.iter().filter(|frame| frame.0 == frame_type).count() >= count);
    }

    /// Waits until at least `count` connections have ended.
    ///
    /// # Panics
    /// If they do not end within 10 seconds.
    pub fn wait_for_closed_connections(&self, count: usize) {
        self.wait(|record| record.closed_connection_count >= count);
    }

    /// Waits until the record satisfies `condition`.
    fn wait(&self, condition: impl Fn(&NodeRecord) -> bool) {
        let (lock, changed) = &*self.record;
        let record = lock.lock().unwrap();
        let result = changed.wait_timeout_while(record, WAIT_TIMEOUT, |record| !condition(record)).unwrap().1;
        assert!(
            !result.timed_out(),
            "node {}: the expected frames or closed connections were not seen within {WAIT_TIMEOUT:?}",
            self.name
        );
    }
}
