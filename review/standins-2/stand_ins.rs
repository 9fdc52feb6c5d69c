//! Discovery, nodes and broker processes, as the protocol page describes them, and the record of a case.

use std::collections::HashMap;
use std::error::Error;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub type Outcome<T> = Result<T, Box<dyn Error>>;

/// What a case has found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// The record of a case, and whether its disruption is played.
pub struct Case {
    record: Arc<Mutex<File>>,
    started: Instant,
    pub trouble: bool,
}

impl Case {
    pub fn new(folder: &Path, trouble: bool) -> io::Result<Self> {
        let record = Arc::new(Mutex::new(File::create(folder.join("record.txt"))?));
        let case = Self { record, started: Instant::now(), trouble };
        case.note(if trouble { "with the disruption" } else { "without the disruption" });
        Ok(case)
    }

    /// Writes a line with the seconds since the start.
    pub fn note(&self, line: &str) {
        write_line(&self.record, self.started, line);
    }

    pub fn log(&self) -> Log {
        Log { record: self.record.clone(), started: self.started }
    }
}

/// A handle of the record for the threads of stand-ins.
#[derive(Clone)]
pub struct Log {
    record: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Log {
    pub fn note(&self, line: &str) {
        write_line(&self.record, self.started, line);
    }
}

fn write_line(record: &Mutex<File>, started: Instant, line: &str) {
    if let Ok(mut file) = record.lock() {
        let _ = writeln!(file, "{:9.4} {line}", started.elapsed().as_secs_f64());
    }
}

/// A part as a node got it.
#[derive(Clone)]
pub struct Part {
    pub at: Duration,
    pub id: String,
    pub segment: u64,
}

/// What the nodes of a store hold, and who holds which segment. Writes reach the holders that the segment has at that
/// moment; a node keeps what it had when it was dropped.
#[derive(Default)]
pub struct Store {
    /// The nodes that hold a segment.
    pub holders: HashMap<u64, Vec<String>>,
    /// The last write of each segment.
    pub written: HashMap<u64, u64>,
    /// The last write that a node has of a segment.
    pub at_node: HashMap<(String, u64), u64>,
}

impl Store {
    /// Runs a part at a node: `write` writes, everything else reads.
    fn run(&mut self, node: &str, segment: u64, text: &str) -> String {
        if text != "write" {
            let seen = self.at_node.get(&(node.to_string(), segment)).copied().unwrap_or(0);
            return format!("revision {seen} at {node}");
        }
        let revision = self.written.get(&segment).copied().unwrap_or(0) + 1;
        self.written.insert(segment, revision);
        for holder in self.holders.get(&segment).cloned().unwrap_or_default() {
            self.at_node.insert((holder, segment), revision);
        }
        format!("revision {revision} written by {node}")
    }
}

/// How a node answers its parts: after how long, and with a value of how many bytes.
#[derive(Clone, Copy)]
pub struct Answers {
    pub after: Duration,
    pub value_bytes: usize,
}

/// A sound node: it answers each part once, and drops what is given up before it has begun.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub parts: Arc<Mutex<Vec<Part>>>,
    pub answers: Arc<Mutex<Answers>>,
    /// Where the values come from, if they are more than the text of the part.
    store: Option<Arc<Mutex<Store>>>,
}

impl Node {
    pub fn start(name: &str, log: &Log, answers: Answers, store: Option<Arc<Mutex<Store>>>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let node = Self {
            name: name.to_string(),
            address: listener.local_addr()?,
            parts: Arc::default(),
            answers: Arc::new(Mutex::new(answers)),
            store,
        };
        let (served, log) = (node.clone(), log.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (node, log) = (served.clone(), log.clone());
                let _ = stream.set_nodelay(true);
                thread::spawn(move || drop(node.serve(stream, &log)));
            }
        });
        Ok(node)
    }

    fn serve(&self, mut stream: TcpStream, log: &Log) -> io::Result<()> {
        let out = Arc::new(Mutex::new(stream.try_clone()?));
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length)?;
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut frame)?;
            let Some((b'A', mut rest)) = frame.split_first() else { continue };
            while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = String::from_utf8_lossy(&rest[..end]).into_owned();
                let fields: Vec<_> = line.split(' ').collect();
                let [id, segment, _, length] = fields[..] else { return Ok(()) };
                let (Ok(segment), Ok(length)) = (segment.parse(), length.parse::<usize>()) else { return Ok(()) };
                let Some(after) = rest.get(end + 1 + length..) else { return Ok(()) };
                let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + length]).into_owned();
                rest = after;
                log.note(&format!("{}: part {line}", self.name));
                if let Ok(mut parts) = self.parts.lock() {
                    parts.push(Part { at: log.started.elapsed(), id: id.to_string(), segment });
                }
                let answers = self.answers.lock().map(|answers| *answers);
                let Ok(Answers { after, value_bytes }) = answers else { return Ok(()) };
                let value = match &self.store {
                    Some(store) => match store.lock() {
                        Ok(mut store) => store.run(&self.name, segment, &text),
                        Err(_) => return Ok(()),
                    },
                    None => format!("{}: {text}: {}", self.name, "x".repeat(value_bytes)),
                };
                let (out, answer) = (out.clone(), format!("E{id} hit 1 -\n{value}"));
                thread::spawn(move || {
                    thread::sleep(after);
                    let bytes = [&(answer.len() as u32).to_be_bytes(), answer.as_bytes()].concat();
                    if let Ok(mut out) = out.lock() {
                        let _ = out.write_all(&bytes);
                    }
                });
            }
        }
    }
}

/// A discovery agent whose list does not change.
pub fn start_discovery(rows: Vec<String>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let list = Arc::new(rows.join(","));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || drop(tell(stream, &list)));
        }
    });
    Ok(address)
}

fn tell(stream: TcpStream, list: &str) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        let wait = head.split_once("wait=").and_then(|w| w.1.split(' ').next()?.parse::<u64>().ok());
        thread::sleep(Duration::from_millis(wait.unwrap_or(0)));
        let rows = if wait.is_some() { "" } else { list };
        let body = format!(r#"{{"seq":1,"whole":{},"hosts":[{rows}]}}"#, wait.is_none());
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
}

/// Number of replica groups of the small deployment; it has one node for each.
pub const CELLS: usize = 12;
/// Number of nodes that hold a segment: that of its replica group and of the next ones.
pub const SPAN: usize = 3;
/// Number of segments; they are dealt to the replica groups in turn.
pub const SEGMENTS: usize = 24;

/// Starts the nodes of the small deployment and returns them with the rows that discovery tells.
pub fn start_nodes(log: &Log, answers: Answers) -> io::Result<(Vec<Node>, Vec<String>)> {
    start_nodes_of(log, answers, None)
}

/// Starts the nodes of the small deployment over a store.
pub fn start_nodes_of(
    log: &Log,
    answers: Answers,
    store: Option<Arc<Mutex<Store>>>,
) -> io::Result<(Vec<Node>, Vec<String>)> {
    let (mut nodes, mut rows) = (Vec::new(), Vec::new());
    for cell in 0..CELLS {
        let node = Node::start(&format!("s-{cell}"), log, answers, store.clone())?;
        let zone = ["head-office", "north-depot", "pump-station-3"][cell % 3];
        rows.push(format!(
            r#"{{"host":"{}","dial":"{}","site":"{zone}","class":"std-2core","block":{cell},"health":"ready","share":1.0,"born_ms":0}}"#,
            node.name, node.address
        ));
        nodes.push(node);
    }
    Ok((nodes, rows))
}

/// The settings of a small deployment of code search.
fn configuration(name: &str, listen: SocketAddr, discovery: SocketAddr, sockets: u32) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{{"seq":0,"whole":true,"hosts":[]}},
"settings":{{"balancers":3,"countedBy":"request","tickMs":5.0,"index":0,"tier":0,"zone":1,"stages":["index-fleet"],
"skus":["std-2core"],"zones":["head-office","north-depot","pump-station-3"],"projects":[],"discovery":"pushed",
"family":"fanout","clients":{{"marksRetry":true}},
"services":[
{{"name":"quick-find","semantics":"pure","aimMs":2000.0,"deadlineMs":4000.0,"value":2.0,"lateWorth":0.0,"group":"all","repeatWindowMs":5000.0,"stream":false}},
{{"name":"full-search","semantics":"pure","aimMs":2000.0,"deadlineMs":6000.0,"value":1.0,"lateWorth":0.3,"group":"all","repeatWindowMs":5000.0,"stream":false}},
{{"name":"fix-request","semantics":"side_effect","aimMs":2000.0,"deadlineMs":6000.0,"value":2.0,"lateWorth":0.1,"group":"all","repeatWindowMs":5000.0,"stream":false}}],
"familyInfo":{{"cells":{CELLS},"span":{SPAN},"slabs":{SEGMENTS},"partsACall":1,"perCallWorkMs":0.0,"wholeAt":[0.6,1.0,1.0],"leastShare":[0.6,1.0,1.0],"secondStep":[0,0,0],"partialEarns":[0.9,0.9,0.9],"warmKeys":false}},
"ceilings":{{"attemptsCap":4,"secondCopies":true,"cancel":true,"mayProbe":false,"peers":false,"retryAfter":true,"maxRetryAfterMs":2000.0,"mostHeld":148,"streamsPerConn":32,"connectTimeoutMs":250.0,"idleCloseMs":30000.0}},
"report":{{"fields":[],"source":"silent"}},
"rules":{{"answerSlackMs":20.0,"drainGraceMs":2000.0,"coldFrom":0.21,"coldMs":15000.0,"overloadFactor":2.5,"fallMs":1000.0,"repeatRatio":0.05,"budgetWindowMs":2000.0,"freeResends":20.0}}}}}}"#
    )
}

/// A broker process, started with the command of the deploy file. It is ended with this value.
pub struct Broker {
    process: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Broker {
    /// Starts a broker and waits until it is ready.
    pub fn start(case: &Case, discovery: SocketAddr, sockets: u32) -> Outcome<Self> {
        let mut broker = Self::spawn("n1", discovery, sockets, "debug", None)?;
        broker.wait_until_ready(case)?;
        Ok(broker)
    }

    /// Starts a broker, with an operator's file if there is one.
    pub fn spawn(name: &str, discovery: SocketAddr, sockets: u32, log: &str, operator: Option<&Path>) -> Outcome<Self> {
        let deploy = fs::read_to_string("deploy/balancer.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or("deploy/balancer.toml: no run")?;
        let run = match operator {
            Some(path) => format!("{run} run --operator '{}'", path.display()),
            None => run.to_string(),
        };
        let unique = format!("dunepond-review-{}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder)?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let path = folder.join("config.json");
        fs::write(&path, configuration(name, address, discovery, sockets))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run]).env("GW_CONFIG", &path).env("TMPDIR", &folder).env("GW_LOG", log);
        for variable in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
            command.env_remove(variable);
        }
        let errors = File::create(folder.join("log"))?;
        let process = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(errors).spawn()?;
        Ok(Self { process, address, folder })
    }

    pub fn wait_until_ready(&mut self, case: &Case) -> Outcome<()> {
        for _ in 0..400 {
            if let Some(status) = self.process.try_wait()? {
                return Err(format!("the broker ended at its start: {status}").into());
            }
            if self.is_ready() {
                case.note(&format!("broker ready at {}", self.address));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(25));
        }
        Err("the broker was not ready within 10 s".into())
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.starts_with("HTTP/1.1 200 "))
        };
        ask().unwrap_or(false)
    }

    /// Returns the lines of the broker's log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }

    /// Tells the broker to read its files again.
    pub fn hang_up(&self) -> Outcome<()> {
        let status = Command::new("/bin/sh").args(["-c", &format!("kill -HUP {}", self.process.id())]).status()?;
        if status.success() { Ok(()) } else { Err(format!("kill -HUP: {status}").into()) }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }
}

/// Returns a request in the form of the protocol page; all its parts have the same share.
pub fn request(class: &str, id: &str, segments: &[u64], text: &str, budget: &str) -> String {
    let part = 1.0 / segments.len() as f64;
    let buckets: Vec<_> = segments.iter().map(|s| format!(r#"{{"bucket":{s},"part":{part:.6}}}"#)).collect();
    let body = format!(r#"{{"buckets":[{}],"body":"{text}"}}"#, buckets.join(","));
    format!(
        "POST /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget: {budget}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An id of 16 hex digits that no other request of the case has.
pub fn call_id(number: u64) -> String {
    format!("{:016x}", 0x9b1f_03aa_5c7e_0000u64.wrapping_add(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}
