//! A node that answers searches in frames or over HTTP, or misbehaves as it is told.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};

use super::documents::search_response;
use crate::frames::{self, ANSWER, PART};

/// Nodes that speak the API stand at this address, others at 127.0.0.1: by that the broker tells them apart.
const API_ADDRESS: &str = "127.0.0.2:0";
const FRAMES_ADDRESS: &str = "127.0.0.1:0";

/// What a node does with the parts that it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SearchNodeBehavior {
    /// Answers each part.
    Serve,
    /// Answers nothing.
    Hang,
    /// Answers the even segments alone.
    HangOddSegments,
    /// Says that the part failed.
    Fault,
    /// Rejects the part as overloaded; it does not run.
    Refuse,
    /// Closes, the whole frame read.
    Close,
    /// Closes in the middle of an answer's head.
    CloseInHeader,
    /// Closes behind each answer, without having said so.
    CloseAfterReply,
    /// States no length in the API: its answer ends with the connection.
    NoContentLength,
    /// Sends half of a document.
    TruncatedDocument,
    /// Names another index in its hits.
    WrongIndex,
    /// Returns one hit more than was asked for.
    TooManyHits,
    /// Says that it ran out of time.
    TimedOut,
    /// Says that it has found fewer than it names.
    WrongTotal,
}

/// What a node speaks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeProtocol {
    /// The broker's own frames.
    Frames,
    /// The search API over HTTP.
    Api,
}

/// A node on loopback.
#[derive(Clone)]
pub struct Node {
    name: String,
    address: SocketAddr,
    behavior: Arc<Mutex<SearchNodeBehavior>>,
    /// How often each part ran.
    pub(super) runs: Arc<Mutex<HashMap<String, u32>>>,
}

/// What a node does about one part.
enum Reaction {
    Nothing,
    Fault,
    Refuse,
    Close,
    CloseInHeader,
    /// Answers with what was found.
    Serve,
}

/// A request of the API as far as a node looks at it.
struct ApiRequest {
    id: String,
    segment: usize,
    body: String,
}

impl Node {
    /// Starts a node that serves.
    pub fn start(name: &str, protocol: NodeProtocol) -> Self {
        let address = match protocol {
            NodeProtocol::Api => API_ADDRESS,
            NodeProtocol::Frames => FRAMES_ADDRESS,
        };
        let listener = TcpListener::bind(address).unwrap();
        let node = Self {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            behavior: Arc::new(Mutex::new(SearchNodeBehavior::Serve)),
            runs: Arc::default(),
        };
        let shared = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared.clone();
                thread::spawn(move || match protocol {
                    NodeProtocol::Api => node.serve_api(stream),
                    NodeProtocol::Frames => node.serve_frames(stream),
                });
            }
        });
        node
    }

    /// How it behaves now, and what that means for a part, which is counted as run unless it is rejected.
    fn react(&self, id: &str, segment: usize) -> (SearchNodeBehavior, Reaction) {
        let behavior = *self.behavior.lock().unwrap();
        if behavior != SearchNodeBehavior::Refuse {
            *self.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
        }
        let reaction = match behavior {
            SearchNodeBehavior::Hang => Reaction::Nothing,
            SearchNodeBehavior::HangOddSegments if segment % 2 == 1 => Reaction::Nothing,
            SearchNodeBehavior::Fault => Reaction::Fault,
            SearchNodeBehavior::Refuse => Reaction::Refuse,
            SearchNodeBehavior::Close => Reaction::Close,
            SearchNodeBehavior::CloseInHeader => Reaction::CloseInHeader,
            _ => Reaction::Serve,
        };
        (behavior, reaction)
    }

    fn serve_frames(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let frame = frames::read(&mut stream)?;
            if frame.letter != PART {
                continue;
            }
            let text = frame.text_lossy();
            let (line, request) = text.split_once('\n').unwrap();
            let words: Vec<_> = line.split(' ').collect();
            let (id, segment) = (words[0], words[1].parse::<usize>().unwrap());
            let (behavior, reaction) = self.react(id, segment);
            let answer = match reaction {
                Reaction::Nothing => continue,
                Reaction::Close | Reaction::CloseInHeader => return Ok(()),
                Reaction::Fault => format!("{id} fault 0 -\n"),
                Reaction::Refuse => format!("{id} overload 0 -\n"),
                Reaction::Serve => {
                    format!("{id} hit 1 -\n{}", search_response(segment, request, behavior))
                }
            };
            stream.write_all(&frames::encode(ANSWER, &answer))?;
        }
    }

    fn serve_api(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_api_request(&mut reader)? {
            let (behavior, reaction) = self.react(&request.id, request.segment);
            match reaction {
                Reaction::Nothing => {}
                Reaction::Close => return Ok(()),
                Reaction::CloseInHeader => return out.write_all(b"HTTP/1.1 200 OK\r\nContent-Le"),
                Reaction::Fault => {
                    out.write_all(api_error(500, "search_phase_execution_exception").as_bytes())?;
                }
                Reaction::Refuse => {
                    out.write_all(api_error(429, "rejected_execution_exception").as_bytes())?;
                }
                Reaction::Serve => {
                    out.write_all(api_answer(&request, behavior).as_bytes())?;
                    let closes = [SearchNodeBehavior::CloseAfterReply, SearchNodeBehavior::NoContentLength];
                    if closes.contains(&behavior) {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// How many parts it ran, each as often as it did.
    pub fn runs(&self) -> u32 {
        self.runs.lock().unwrap().values().sum()
    }

    /// Behaves so from now on, also on connections that are open.
    pub fn set_behavior(&self, behavior: SearchNodeBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    pub(super) fn endpoint(&self) -> Value {
        json!({"host": self.name, "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": "ready", "share": 1.0, "born_ms": 0})
    }
}

/// The next request; `None` where the connection has ended. Which segment is asked for stands in the target.
fn read_api_request(reader: &mut impl BufRead) -> io::Result<Option<ApiRequest>> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 {
            return Ok(None);
        }
    }
    let after = |name: &str| head.split_once(name).and_then(|(_, rest)| rest.split(['\r', '&', ' ']).next());
    let length = after("Content-Length: ").and_then(|length| length.parse().ok()).unwrap_or(0);
    let id = after("X-Opaque-Id: ").unwrap().to_string();
    let segment = after("_shards:").unwrap().parse().unwrap();
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(ApiRequest { id, segment, body: String::from_utf8_lossy(&body).into_owned() }))
}

fn api_error(status: u16, kind: &str) -> String {
    let body = json!({"error": {"type": kind, "reason": "as it was told"}, "status": status}).to_string();
    format!("HTTP/1.1 {status} No\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// An answer with what was found: in chunks where the segment's number is odd, so that both forms of a body come.
fn api_answer(request: &ApiRequest, behavior: SearchNodeBehavior) -> String {
    let document = search_response(request.segment, &request.body, behavior);
    if behavior == SearchNodeBehavior::NoContentLength {
        return format!("HTTP/1.1 200 OK\r\n\r\n{document}");
    }
    if request.segment.is_multiple_of(2) {
        return format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{document}", document.len());
    }
    let (half, rest) = document.split_at(document.len() / 2);
    let chunks = format!("{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n", half.len(), rest.len());
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}")
}
