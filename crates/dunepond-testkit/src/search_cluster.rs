//! Nodes that hold documents and answer with the API's hits, or spoil them; and a broker with both doors open.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};

use crate::stand_ins::{self, Answer, Broker, Client, DiscoveryServer};

pub const SEGMENT_COUNT: usize = 6;
/// Documents of each shard.
pub const DOCUMENTS_PER_SEGMENT: usize = 5;

/// What a node does with the parts that it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SearchNodeBehavior {
    Serve,
    Hang,
    /// Answers the even shards alone.
    HangOddSegments,
    Fault,
    Refuse,
    /// Closes, the whole frame read.
    Close,
    /// Closes in the middle of an answer's head; or behind each answer, without having said so.
    CloseInHeader,
    CloseAfterReply,
    /// States no length in the API: its answer ends with the connection.
    NoContentLength,
    /// Says half of a document.
    TruncatedDocument,
    WrongIndex,
    TooManyHits,
    TimedOut,
    /// Says that it has found fewer than it names.
    WrongTotal,
}

#[derive(Clone)]
pub struct Node {
    name: String,
    address: SocketAddr,
    manner: Arc<Mutex<SearchNodeBehavior>>,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

fn frame(rest: &str) -> Vec<u8> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(b'E');
    frame.extend_from_slice(rest.as_bytes());
    frame
}

/// How well a document matches: no two alike, and the best of each shard spread over all ranks.
pub fn score(seg: usize, at: usize) -> f64 {
    ((seg * 7 + at * 13) % 31) as f64 + seg as f64 / 100.0
}

/// All documents' names, the best first.
pub fn ranked_documents() -> Vec<String> {
    let mut all: Vec<_> = (0..SEGMENT_COUNT)
        .flat_map(|seg| (0..DOCUMENTS_PER_SEGMENT).map(move |at| (score(seg, at), seg, at)))
        .collect();
    all.sort_by(|a, b| b.0.total_cmp(&a.0));
    all.into_iter().map(|(_, seg, at)| format!("{seg}-{at}")).collect()
}

/// Nodes that speak the API stand at this address, others at 127.0.0.1: by that the broker tells them apart.
const API: &str = "127.0.0.2:0";

/// What a node speaks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeProtocol {
    Frames,
    Api,
}

impl Node {
    pub fn start(name: &str, speech: NodeProtocol) -> Self {
        let api = speech == NodeProtocol::Api;
        let listener = TcpListener::bind(if api { API } else { "127.0.0.1:0" }).unwrap();
        let node = Self {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            manner: Arc::new(Mutex::new(SearchNodeBehavior::Serve)),
            runs: Arc::default(),
        };
        let shared = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared.clone();
                thread::spawn(move || if api { node.attend_api(stream) } else { node.attend(stream) });
            }
        });
        node
    }

    fn attend(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length)?;
            let mut rest = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut rest)?;
            if rest[0] != b'A' {
                continue;
            }
            let text = String::from_utf8_lossy(&rest[1..]).into_owned();
            let (line, text) = text.split_once('\n').unwrap();
            let words: Vec<_> = line.split(' ').collect();
            let (id, seg) = (words[0], words[1].parse::<usize>().unwrap());
            let manner = *self.manner.lock().unwrap();
            if manner != SearchNodeBehavior::Refuse {
                *self.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
            }
            match manner {
                SearchNodeBehavior::Hang => {}
                SearchNodeBehavior::HangOddSegments if seg % 2 == 1 => {}
                SearchNodeBehavior::Fault => stream.write_all(&frame(&format!("{id} fault 0 -\n")))?,
                SearchNodeBehavior::Refuse => stream.write_all(&frame(&format!("{id} overload 0 -\n")))?,
                SearchNodeBehavior::Close | SearchNodeBehavior::CloseInHeader => return Ok(()),
                manner => {
                    let value = found(seg, text, manner);
                    stream.write_all(&frame(&format!("{id} hit 1 -\n{value}")))?;
                }
            }
        }
    }

    /// One request after the other; what it is asked for stands in the target.
    fn attend_api(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if reader.read_line(&mut head)? == 0 {
                    return Ok(());
                }
            }
            let after =
                |name: &str| head.split_once(name).and_then(|(_, rest)| rest.split(['\r', '&', ' ']).next());
            let length = after("Content-Length: ").and_then(|length| length.parse().ok()).unwrap_or(0);
            let (id, seg) =
                (after("X-Opaque-Id: ").unwrap(), after("_shards:").unwrap().parse::<usize>().unwrap());
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let manner = *self.manner.lock().unwrap();
            if manner != SearchNodeBehavior::Refuse {
                *self.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
            }
            let error = |status: u16, kind: &str| {
                let body = json!({"error": {"type": kind, "reason": "as it was told"}, "status": status})
                    .to_string();
                format!("HTTP/1.1 {status} No\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            };
            match manner {
                SearchNodeBehavior::Hang => {}
                SearchNodeBehavior::HangOddSegments if seg % 2 == 1 => {}
                SearchNodeBehavior::Fault => {
                    out.write_all(error(500, "search_phase_execution_exception").as_bytes())?
                }
                SearchNodeBehavior::Refuse => {
                    out.write_all(error(429, "rejected_execution_exception").as_bytes())?
                }
                SearchNodeBehavior::Close => return Ok(()),
                SearchNodeBehavior::CloseInHeader => {
                    out.write_all(b"HTTP/1.1 200 OK\r\nContent-Le")?;
                    return Ok(());
                }
                manner => {
                    let value = found(seg, &String::from_utf8_lossy(&body), manner);
                    let (half, rest) = value.split_at(value.len() / 2);
                    // In chunks where the shard's number is odd: both forms of a body come.
                    let text = match seg % 2 {
                        _ if manner == SearchNodeBehavior::NoContentLength => {
                            format!("HTTP/1.1 200 OK\r\n\r\n{value}")
                        }
                        0 => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{value}", value.len()),
                        _ => format!(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n",
                            half.len(),
                            rest.len()
                        ),
                    };
                    out.write_all(text.as_bytes())?;
                    if matches!(
                        manner,
                        SearchNodeBehavior::CloseAfterReply | SearchNodeBehavior::NoContentLength
                    ) {
                        return Ok(());
                    }
                }
            }
        }
    }

    pub fn runs(&self) -> u32 {
        self.runs.lock().unwrap().values().sum()
    }

    pub fn set_behavior(&self, manner: SearchNodeBehavior) {
        *self.manner.lock().unwrap() = manner;
    }
}

/// A node's document: hits as they were asked for, and beside them what an update answers.
fn found(seg: usize, text: &str, manner: SearchNodeBehavior) -> String {
    let asked: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    let size = asked["size"].as_u64().unwrap_or(10) as usize;
    let mut hits: Vec<_> = (0..DOCUMENTS_PER_SEGMENT).map(|at| (score(seg, at), at)).collect();
    hits.sort_by(|a, b| b.0.total_cmp(&a.0));
    // The one order that is asked for beside the usual is the other way round.
    if asked.get("sort").is_some() {
        hits.reverse();
    }
    hits.truncate(size);
    if manner == SearchNodeBehavior::TooManyHits {
        hits = hits.into_iter().cycle().take(size + 1).collect();
    }
    let sorted = asked.get("sort").is_some();
    let hits = hits.into_iter().map(|(score, at)| {
        let mut hit = json!({"_id": format!("{seg}-{at}"), "_score": score, "_source": {"seg": seg}});
        if manner == SearchNodeBehavior::WrongIndex {
            hit["_index"] = json!("another");
        }
        if sorted {
            hit["sort"] = json!([score]);
        }
        hit
    });
    let total = if manner == SearchNodeBehavior::WrongTotal { 0 } else { DOCUMENTS_PER_SEGMENT };
    let document = json!({
        "timed_out": manner == SearchNodeBehavior::TimedOut,
        "hits": {"total": {"value": total, "relation": "eq"}, "max_score": 31.0, "hits": hits.collect::<Vec<_>>()},
        "updated": 1,
        "failures": [],
    });
    let text = document.to_string();
    if manner == SearchNodeBehavior::TruncatedDocument { text[..text.len() / 2].to_string() } else { text }
}

/// A broker with both doors, before nodes that all hold all shards.
pub struct SearchCluster {
    pub broker: Broker,
    pub api_address: SocketAddr,
    pub nodes: Vec<Node>,
    _list: DiscoveryServer,
    kdl: std::path::PathBuf,
}

impl SearchCluster {
    /// `program` is the laboratory's own.
    pub fn start(program: &Path, speech: &[NodeProtocol], more: &str) -> Self {
        Self::start_with_command(speech, more, Self::by(program))
    }

    /// The same, for stories about who is asked and how often: a target time of 10 s and a query timeout of 15, so that a
    /// machine that is busy with others does not decide them.
    pub fn start_with_long_timeouts(program: &Path, speech: &[NodeProtocol]) -> Self {
        let patience = |config: &mut Value| {
            for service in config["settings"]["services"].as_array_mut().unwrap() {
                (service["aimMs"], service["deadlineMs"]) = (json!(10_000.0), json!(15_000.0));
            }
        };
        Self::start_with(speech, "", patience, Self::by(program))
    }

    fn by(program: &Path) -> impl Fn(&Path) -> Command {
        move |kdl| {
            let mut command = Command::new(program);
            command.arg("broker").arg("--operator").arg(kdl).arg("--disk").arg("/dev/null");
            command
        }
    }

    /// The same by whatever command runs a broker with this operator's file.
    pub fn start_with_command(
        speech: &[NodeProtocol],
        more: &str,
        command: impl Fn(&Path) -> Command,
    ) -> Self {
        Self::start_with(speech, more, |_| {}, command)
    }

    fn start_with(
        speech: &[NodeProtocol],
        more: &str,
        change: impl Fn(&mut Value),
        command: impl Fn(&Path) -> Command,
    ) -> Self {
        let nodes = speech.iter().enumerate().map(|(i, speech)| Node::start(&format!("s-{i}"), *speech));
        let nodes: Vec<_> = nodes.collect();
        let lines: Vec<_> = nodes
            .iter()
            .map(|node| {
                json!({"host": node.name, "dial": node.address.to_string(), "site": "a", "class": "m", "block": 0,
                    "health": "ready", "share": 1.0, "born_ms": 0})
            })
            .collect();
        let list = DiscoveryServer::start(lines.clone());
        let mut config = stand_ins::config(list.address, lines);
        // `find` may be answered from half of its parts, `all` needs each, `fix` must not run twice.
        let services = config["settings"]["services"].as_array_mut().unwrap();
        let mut all = services[0].clone();
        all["name"] = json!("all");
        services.push(all);
        let family = &mut config["settings"]["familyInfo"];
        family["leastShare"] = json!([0.5, 1.0, 1.0]);
        family["wholeAt"] = json!([1.0, 1.0, 1.0]);
        family["secondStep"] = json!([0, 0, 0]);
        config["settings"]["ceilings"]["mostHeld"] = json!(4000);
        config["log"] = json!("info");
        change(&mut config);
        let kdl = stand_ins::scratch_path("kdl");
        // A port of the system's choosing: the broker names it in its log, before it listens at the first door.
        std::fs::write(
            &kdl,
            format!("search listen=\"127.0.0.1:0\" searches=20\nsearch-nodes \"127.0.0.2\"\n{more}"),
        )
        .unwrap();
        let broker = Broker::from_child(stand_ins::launch_command(command(&kdl), &config));
        let api = broker
            .startup_log
            .lines()
            .find_map(|line| line.split_once("the API listening at ")?.1.parse().ok());
        Self { api_address: api.expect("the API's address in the log"), broker, nodes, _list: list, kdl }
    }

    pub fn request(&self, method: &str, target: &str, body: &str) -> Answer {
        Client::connect_to(self.api_address).request(&http_request(method, target, body))
    }

    /// Parts that ran more than once.
    pub fn repeated_parts(&self) -> usize {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for node in &self.nodes {
            for (id, count) in &*node.runs.lock().unwrap() {
                *runs.entry(id.clone()).or_default() += count;
            }
        }
        runs.values().filter(|count| **count > 1).count()
    }

    pub fn runs(&self) -> u32 {
        self.nodes.iter().map(Node::runs).sum()
    }
}

impl Drop for SearchCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.kdl);
    }
}

pub fn http_request(method: &str, target: &str, body: &str) -> String {
    format!("{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
