//! A node that answers the parts of queries, or misbehaves as it is told, and records what came to it.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::WAIT_TIMEOUT;
use crate::frames::{self, ANSWER, PART, PROTOCOL_ERROR};

/// How long [`NodeBehavior::SlowForShard`] takes over a part.
const SLOW_SHARD_DELAY: Duration = Duration::from_millis(250);
/// The bytes of an answer that [`NodeBehavior::CloseMidFrame`] sends.
const TORN_ANSWER_BYTES: usize = 9;
/// A letter that no frame has.
const UNKNOWN_LETTER: u8 = b'X';

/// What a node does with the parts that it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeBehavior {
    /// Answers each part at once.
    Serve,
    /// Answers nothing.
    Hang,
    /// Its first connection stays open and silent for good; the others serve.
    HangFirst,
    /// Takes the parts of this shard and answers none of them.
    HangForShard(usize),
    /// Takes a quarter of a second over the parts of this shard.
    SlowForShard(usize),
    /// Serves each part so many milliseconds after it came, however many are there.
    DelayMillis(u64),
    /// Sends the half of an answer and breaks the connection.
    CloseMidFrame,
    /// Answers with this status word and no value.
    ReplyStatus(&'static str),
    /// Of so many parts the last fails, the others are served.
    FailEveryNth(usize),
    /// Answers with a frame that says it could not use the last one.
    ReportProtocolError,
    /// Answers with a frame of a letter that there is not.
    UnknownFrame,
    /// Answers, and sends this right behind.
    ServeThenRaw(&'static [u8]),
    /// Answers, with this in place of the line's words behind the id.
    ServeWithHead(&'static str),
    /// Answers with this, whatever it is.
    ReplyRaw(&'static [u8]),
    /// Sends an answer that nobody waits for before the one that is asked.
    ServeAfterStaleReply,
}

#[derive(Default)]
struct Record {
    frames: Vec<(char, String)>,
    /// When each part came, and its id.
    part_arrivals: Vec<(Instant, String)>,
    connections: usize,
    closed: usize,
}

type SharedRecord = (Mutex<Record>, Condvar);

/// A node on loopback.
pub struct Node {
    /// Its name in discovery.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    behavior: Arc<Mutex<NodeBehavior>>,
    record: Arc<SharedRecord>,
}

/// A part as its frame states it.
struct Part<'a> {
    id: &'a str,
    shard: Option<&'a str>,
    value: &'a str,
}

impl<'a> Part<'a> {
    fn parse(text: &'a str) -> Option<Self> {
        let (line, value) = text.split_once('\n')?;
        let mut words = line.split(' ');
        Some(Self { id: words.next()?, shard: words.next(), value })
    }

    fn is_of(&self, shard: usize) -> bool {
        self.shard == Some(&shard.to_string())
    }

    fn answer(&self) -> Vec<u8> {
        self.answer_with_head("hit 7 -")
    }

    fn answer_with_head(&self, words: &str) -> Vec<u8> {
        frames::encode(ANSWER, &format!("{} {words}\nv-{}", self.id, self.value))
    }

    fn answer_without_value(&self, status: &str) -> Vec<u8> {
        frames::encode(ANSWER, &format!("{} {status} 7 -\n", self.id))
    }
}

/// What a node does about one part.
enum Reaction {
    Nothing,
    Send(Vec<u8>),
    /// Reads and answers nothing else meanwhile.
    SendAfterPause(Duration, Vec<u8>),
    /// Goes on with other parts meanwhile.
    SendLater(Duration, Vec<u8>),
    SendAndClose(Vec<u8>),
}

/// `connection` and `part_number` count from 1.
fn react(behavior: NodeBehavior, part: &Part, connection: usize, part_number: usize) -> Reaction {
    match behavior {
        NodeBehavior::Hang => Reaction::Nothing,
        NodeBehavior::HangFirst if connection == 1 => Reaction::Nothing,
        NodeBehavior::HangForShard(shard) if part.is_of(shard) => Reaction::Nothing,
        NodeBehavior::SlowForShard(shard) if part.is_of(shard) => {
            Reaction::SendAfterPause(SLOW_SHARD_DELAY, part.answer())
        }
        NodeBehavior::DelayMillis(delay) => Reaction::SendLater(Duration::from_millis(delay), part.answer()),
        NodeBehavior::FailEveryNth(count) if part_number.is_multiple_of(count) => {
            Reaction::Send(part.answer_without_value("fault"))
        }
        NodeBehavior::Serve
        | NodeBehavior::HangFirst
        | NodeBehavior::HangForShard(_)
        | NodeBehavior::SlowForShard(_)
        | NodeBehavior::FailEveryNth(_) => Reaction::Send(part.answer()),
        NodeBehavior::ReplyStatus(status) => Reaction::Send(part.answer_without_value(status)),
        NodeBehavior::ReportProtocolError => Reaction::Send(frames::encode(PROTOCOL_ERROR, "what is this")),
        NodeBehavior::UnknownFrame => Reaction::Send(frames::encode(UNKNOWN_LETTER, "?")),
        NodeBehavior::ServeThenRaw(more) => Reaction::Send([&part.answer(), more].concat()),
        NodeBehavior::ServeWithHead(words) => Reaction::Send(part.answer_with_head(words)),
        NodeBehavior::ReplyRaw(bytes) => Reaction::Send(bytes.to_vec()),
        NodeBehavior::ServeAfterStaleReply => {
            let stale = frames::encode(ANSWER, "c1.2 hit 7 -\nold");
            Reaction::Send([stale, part.answer()].concat())
        }
        NodeBehavior::CloseMidFrame => {
            let whole = frames::encode(ANSWER, &format!("{} hit 7 -\nv", part.id));
            Reaction::SendAndClose(whole[..TORN_ANSWER_BYTES].to_vec())
        }
    }
}

impl Node {
    /// Starts a node that serves.
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
                        record.connections += 1;
                        record.connections
                    };
                    let _ = Self::serve(stream, number, &behavior, &record);
                    record.0.lock().unwrap().closed += 1;
                    record.1.notify_all();
                });
            }
        });
        node
    }

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
            record.0.lock().unwrap().frames.push((char::from(frame.letter), text.clone()));
            record.1.notify_all();
            if frame.letter != PART {
                continue;
            }
            let part = Part::parse(&text).unwrap();
            let part_number = {
                let mut record = record.0.lock().unwrap();
                record.part_arrivals.push((Instant::now(), part.id.to_string()));
                record.part_arrivals.len()
            };
            let behavior = *behavior.lock().unwrap();
            match react(behavior, &part, connection, part_number) {
                Reaction::Nothing => {}
                Reaction::Send(bytes) => stream.write_all(&bytes)?,
                Reaction::SendAfterPause(pause, bytes) => {
                    thread::sleep(pause);
                    stream.write_all(&bytes)?;
                }
                Reaction::SendLater(delay, bytes) => {
                    let mut stream = stream.try_clone()?;
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let _ = stream.write_all(&bytes);
                    });
                }
                Reaction::SendAndClose(bytes) => return stream.write_all(&bytes),
            }
        }
    }

    /// Behaves so from now on, also on connections that are open.
    pub fn set_behavior(&self, behavior: NodeBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Its entry in the list of discovery, with this health.
    pub fn endpoint(&self, health: &str) -> Value {
        json!({"host": self.name, "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": health, "share": 1.0, "born_ms": 0})
    }

    /// Connections that were ever made to it.
    pub fn connections(&self) -> usize {
        self.record.0.lock().unwrap().connections
    }

    /// The texts of all frames with this letter, in their order.
    pub fn frames(&self, letter: char) -> Vec<String> {
        let record = self.record.0.lock().unwrap();
        record.frames.iter().filter(|frame| frame.0 == letter).map(|frame| frame.1.clone()).collect()
    }

    /// When each part came, and its id.
    pub fn part_arrivals(&self) -> Vec<(Instant, String)> {
        self.record.0.lock().unwrap().part_arrivals.clone()
    }

    /// Waits until so many frames with this letter have come.
    ///
    /// # Panics
    /// Where they do not come in time.
    pub fn wait_for_frames(&self, letter: char, count: usize) {
        self.wait(|record| record.frames.iter().filter(|frame| frame.0 == letter).count() >= count);
    }

    /// Waits until so many connections have ended.
    ///
    /// # Panics
    /// Where they do not end in time.
    pub fn wait_for_closed(&self, count: usize) {
        self.wait(|record| record.closed >= count);
    }

    fn wait(&self, until: impl Fn(&Record) -> bool) {
        let (lock, changed) = &*self.record;
        let record = lock.lock().unwrap();
        let result = changed.wait_timeout_while(record, WAIT_TIMEOUT, |record| !until(record)).unwrap().1;
        assert!(!result.timed_out(), "{} has not seen what it should", self.name);
    }
}
