//! A stand-in node that answers searches in frames or over HTTP, with configurable faults.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};

use super::documents::search_response;
use crate::frames::{self, ANSWER, PART};

/// Listen address of nodes that use the search API. The broker recognizes them by the IP address, which its `search-nodes`
/// setting names.
const API_ADDRESS: &str = "127.0.0.2:0";
/// Listen address of nodes that use frames.
const FRAMES_ADDRESS: &str = "127.0.0.1:0";

/// How a node treats the parts that a broker sends to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SearchNodeBehavior {
    /// Answers each part.
    Serve,
    /// Never answers.
    Hang,
    /// Answers parts of even-numbered segments and never those of odd-numbered ones.
    HangOddSegments,
    /// Reports that the part failed.
    ReportFailure,
    /// Rejects the part as overloaded, without running it.
    Reject,
    /// Closes the connection after reading the whole part, without an answer.
    Close,
    /// Over the search API, closes the connection in the middle of a response's header; in frames, without an answer.
    CloseInHeader,
    /// Over the search API, closes the connection after each response without announcing it.
    CloseAfterReply,
    /// Over the search API, sends a response without a length and ends it by closing the connection.
    NoContentLength,
    /// Sends only the first half of the JSON response.
    TruncatedResponse,
    /// Names a different index in its hits.
    WrongIndex,
    /// Returns one hit more than requested.
    TooManyHits,
    /// Reports that the search timed out.
    TimedOut,
    /// Reports a total of zero matches together with its hits.
    WrongTotal,
}

/// The protocol in which a node receives parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeProtocol {
    /// The broker's own frame protocol.
    Frames,
    /// The search API over HTTP.
    Api,
}

/// A stand-in node that listens on a loopback address.
#[derive(Clone)]
pub struct Node {
    name: String,
    address: SocketAddr,
    behavior: Arc<Mutex<SearchNodeBehavior>>,
    /// By part id, how often the part ran.
    pub(super) runs: Arc<Mutex<HashMap<String, u32>>>,
}

/// What a node does with one part.
enum PartAction {
    Ignore,
    ReportFailure,
    Reject,
    Close,
    CloseInHeader,
    /// Answers with the hits of the search.
    Serve,
}

/// The properties of a search API request that a node uses.
struct ApiRequest {
    id: String,
    segment: usize,
    body: String,
}

impl Node {
    /// Starts a node with this name in discovery that answers each part.
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
        let shared_node = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared_node.clone();
                thread::spawn(move || match protocol {
                    NodeProtocol::Api => node.serve_api(stream),
                    NodeProtocol::Frames => node.serve_frames(stream),
                });
            }
        });
        node
    }

    /// Returns the node's current behavior and the action that follows from it for a part. Counts the part as run unless it is
    /// rejected as overloaded.
    fn decide(&self, id: &str, segment: usize) -> (SearchNodeBehavior, PartAction) {
        let behavior = *self.behavior.lock().unwrap();
        if behavior != SearchNodeBehavior::Reject {
            *self.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
        }
        let action = match behavior {
            SearchNodeBehavior::Hang => PartAction::Ignore,
            SearchNodeBehavior::HangOddSegments if segment % 2 == 1 => PartAction::Ignore,
            SearchNodeBehavior::ReportFailure => PartAction::ReportFailure,
            SearchNodeBehavior::Reject => PartAction::Reject,
            SearchNodeBehavior::Close => PartAction::Close,
            SearchNodeBehavior::CloseInHeader => PartAction::CloseInHeader,
            _ => PartAction::Serve,
        };
        (behavior, action)
    }

    /// Handles the frames of one connection until it ends.
    fn serve_frames(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let frame = frames::read(&mut stream)?;
            if frame.frame_type != PART {
                continue;
            }
            let text = frame.text_lossy();
            let (line, request) = text.split_once('\n').unwrap();
            let fields: Vec<_> = line.split(' ').collect();
            let (id, segment) = (fields[0], fields[1].parse::<usize>().unwrap());
            let (behavior, action) = self.decide(id, segment);
            let answer = match action {
                PartAction::Ignore => continue,
                PartAction::Close | PartAction::CloseInHeader => return Ok(()),
                PartAction::ReportFailure => format!("{id} fault 0 -\n"),
                PartAction::Reject => format!("{id} overload 0 -\n"),
                PartAction::Serve => {
                    format!("{id} hit 1 -\n{}", search_response(segment, request, behavior))
                }
            };
            stream.write_all(&frames::encode(ANSWER, &answer))?;
        }
    }

    /// Handles the HTTP requests of one connection until it ends.
    fn serve_api(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_api_request(&mut reader)? {
            let (behavior, action) = self.decide(&request.id, request.segment);
            match action {
                PartAction::Ignore => {}
                PartAction::Close => return Ok(()),
                PartAction::CloseInHeader => return out.write_all(b"HTTP/1.1 200 OK\r\nContent-Le"),
                PartAction::ReportFailure => {
                    out.write_all(api_error(500, "search_phase_execution_exception").as_bytes())?;
                }
                PartAction::Reject => {
                    out.write_all(api_error(429, "rejected_execution_exception").as_bytes())?;
                }
                PartAction::Serve => {
                    out.write_all(api_answer(&request, behavior).as_bytes())?;
                    let closing_behaviors =
                        [SearchNodeBehavior::CloseAfterReply, SearchNodeBehavior::NoContentLength];
                    if closing_behaviors.contains(&behavior) {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Returns the total number of part runs on this node; a part that ran twice counts twice.
    pub fn run_count(&self) -> u32 {
        self.runs.lock().unwrap().values().sum()
    }

    /// Sets the behavior from now on, also on open connections.
    pub fn set_behavior(&self, behavior: SearchNodeBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Returns the node's entry in the endpoint list of discovery.
    pub(super) fn endpoint(&self) -> Value {
        json!({"host": self.name, "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": "ready", "share": 1.0, "born_ms": 0})
    }
}

/// Reads the next request, or returns `None` if the connection has ended. The segment is taken from the `_shards:` preference
/// in the request target.
fn read_api_request(reader: &mut impl BufRead) -> io::Result<Option<ApiRequest>> {
    let mut header = String::new();
    while !header.ends_with("\r\n\r\n") {
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
    }
    let value_after =
        |name: &str| header.split_once(name).and_then(|(_, rest)| rest.split(['\r', '&', ' ']).next());
    let length = value_after("Content-Length: ").and_then(|length| length.parse().ok()).unwrap_or(0);
    let id = value_after("X-Opaque-Id: ").unwrap().to_string();
    let segment = value_after("_shards:").unwrap().parse().unwrap();
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(ApiRequest { id, segment, body: String::from_utf8_lossy(&body).into_owned() }))
}

/// Returns an HTTP error response of the search API with this exception type.
fn api_error(status: u16, exception_type: &str) -> String {
    let body =
        json!({"error": {"type": exception_type, "reason": "as it was told"}, "status": status}).to_string();
    format!("HTTP/1.1 {status} No\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns the HTTP response to a search. It is chunked if the segment's number is odd, so that tests cover both encodings of a
/// body.
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
