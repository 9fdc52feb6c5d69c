//! Nodes that record nothing, so that they serve any number of large parts.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::frames::{self, ANSWER, PART};

/// Number of bytes of an answer that [`NodeBehavior::AnswersInPart`] sends.
const PARTIAL_ANSWER_BYTES: usize = 1_000;

/// How a node treats parts.
#[derive(Clone, Debug)]
pub enum NodeBehavior {
    /// Answers each part at once with this value.
    Answers(Arc<str>),
    /// Reads parts and answers none.
    Hangs,
    /// Reads nothing.
    ReadsNothing,
    /// Sends the first bytes of an answer with this value, and then nothing.
    AnswersInPart(Arc<str>),
}

/// A node that listens on a loopback address.
pub struct Node {
    name: String,
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<PartArrival>>>,
}

/// A part that arrived at a node.
#[derive(Clone, Debug)]
pub struct PartArrival {
    /// When the last byte of the part's frame was read.
    pub at: Instant,
    /// The part's id.
    pub id: String,
}

impl Node {
    /// Starts a node with this name in discovery.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub fn start(name: &str, behavior: &NodeBehavior) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (behavior, shared_arrivals) = (behavior.clone(), arrivals.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behavior, arrivals) = (behavior.clone(), shared_arrivals.clone());
                thread::spawn(move || serve(stream, &behavior, &arrivals));
            }
        });
        Ok(Self { name: name.to_string(), address, arrivals })
    }

    /// Returns the node's row of an endpoint list. The node holds the segments of `replica_group`.
    pub fn endpoint(&self, replica_group: usize) -> Value {
        json!({"host": self.name, "dial": self.address.to_string(), "site": "a", "class": "m", "block": replica_group,
            "health": "ready", "share": 1.0, "born_ms": 0})
    }

    /// Returns the parts that have arrived, in their order.
    ///
    /// # Panics
    /// If a thread of the node has panicked.
    pub fn arrivals(&self) -> Vec<PartArrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

/// Handles the parts of one connection until it ends.
fn serve(
    mut stream: TcpStream,
    behavior: &NodeBehavior,
    arrivals: &Mutex<Vec<PartArrival>>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    if matches!(behavior, NodeBehavior::ReadsNothing) {
        thread::sleep(Duration::MAX);
    }
    loop {
        let frame = frames::read(&mut stream)?;
        if frame.frame_type != PART {
            continue;
        }
        let text = frame.text_lossy();
        let id = text.split(' ').next().unwrap_or_default();
        arrivals.lock().unwrap().push(PartArrival { at: Instant::now(), id: id.to_string() });
        match behavior {
            NodeBehavior::Hangs | NodeBehavior::ReadsNothing => {}
            NodeBehavior::Answers(value) => {
                stream.write_all(&frames::encode(ANSWER, &format!("{id} hit 7 -\n{value}")))?;
            }
            NodeBehavior::AnswersInPart(value) => {
                let answer = frames::encode(ANSWER, &format!("{id} hit 7 -\n{value}"));
                stream.write_all(&answer[..PARTIAL_ANSWER_BYTES.min(answer.len())])?;
            }
        }
    }
}
