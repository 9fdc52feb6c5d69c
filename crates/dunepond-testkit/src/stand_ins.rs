//! Stand-ins for a broker's peers: nodes, the list and a client; and the broker itself as a process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Longest that anything here waits for what must come.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a node does with the parts that it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeBehavior {
    Serve,
    Hang,
    /// Its first connection stays open and silent for good; the others serve.
    HangFirst,
    /// Takes the parts of this shard and answers none of them.
    HangForShard(usize),
    /// Takes a quarter of a second over the parts of this shard.
    SlowForShard(usize),
    /// Serves each part so many milliseconds after it came, however many are there.
    DelayMillis(u64),
    /// Sends the half of an end and breaks the connection.
    CloseMidFrame,
    ReplyStatus(&'static str),
    /// Of so many parts the last fails, the others are served.
    FailEveryNth(usize),
    /// Answers with a frame that says it could not use the last one.
    ReportProtocolError,
    UnknownFrame,
    /// Answers, and sends this right behind.
    ServeThenRaw(&'static [u8]),
    /// Answers, with this in place of the line's words behind the id.
    ServeWithHead(&'static str),
    /// Answers with this, whatever it is.
    ReplyRaw(&'static [u8]),
    /// Sends an end that nobody waits for before the one that is asked.
    ServeAfterStaleReply,
}

#[derive(Default)]
struct Seen {
    frames: Vec<(char, String)>,
    /// When each part came.
    times: Vec<(Instant, String)>,
    connections: usize,
    closed: usize,
}

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    manner: Arc<Mutex<NodeBehavior>>,
    seen: Arc<(Mutex<Seen>, Condvar)>,
}

fn frame(letter: u8, rest: &str) -> Vec<u8> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest.as_bytes());
    frame
}

impl Node {
    pub fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Self {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            manner: Arc::new(Mutex::new(NodeBehavior::Serve)),
            seen: Arc::default(),
        };
        let (manner, seen) = (node.manner.clone(), node.seen.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (manner, seen) = (manner.clone(), seen.clone());
                thread::spawn(move || {
                    let number = {
                        let mut seen = seen.0.lock().unwrap();
                        seen.connections += 1;
                        seen.connections
                    };
                    let _ = Self::attend(stream, number, &manner, &seen);
                    seen.0.lock().unwrap().closed += 1;
                    seen.1.notify_all();
                });
            }
        });
        node
    }

    fn attend(
        mut stream: TcpStream,
        number: usize,
        manner: &Mutex<NodeBehavior>,
        seen: &(Mutex<Seen>, Condvar),
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length)?;
            let mut rest = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut rest)?;
            let (letter, text) = (rest[0] as char, String::from_utf8(rest[1..].to_vec()).unwrap());
            seen.0.lock().unwrap().frames.push((letter, text.clone()));
            seen.1.notify_all();
            if letter != 'A' {
                continue;
            }
            let (line, value) = text.split_once('\n').unwrap();
            let id = line.split(' ').next().unwrap();
            seen.0.lock().unwrap().times.push((Instant::now(), id.to_string()));
            let manner = *manner.lock().unwrap();
            match manner {
                NodeBehavior::Hang => {}
                NodeBehavior::HangFirst if number == 1 => {}
                NodeBehavior::HangForShard(shard) if line.split(' ').nth(1) == Some(&shard.to_string()) => {}
                NodeBehavior::SlowForShard(shard) if line.split(' ').nth(1) == Some(&shard.to_string()) => {
                    thread::sleep(Duration::from_millis(250));
                    stream.write_all(&frame(b'E', &format!("{id} hit 7 -\nv-{value}")))?;
                }
                NodeBehavior::DelayMillis(ms) => {
                    let (mut stream, answer) =
                        (stream.try_clone()?, frame(b'E', &format!("{id} hit 7 -\nv-{value}")));
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(ms));
                        let _ = stream.write_all(&answer);
                    });
                }
                NodeBehavior::Serve
                | NodeBehavior::HangFirst
                | NodeBehavior::HangForShard(_)
                | NodeBehavior::SlowForShard(_) => {
                    stream.write_all(&frame(b'E', &format!("{id} hit 7 -\nv-{value}")))?
                }
                NodeBehavior::FailEveryNth(count) => {
                    let number = seen.0.lock().unwrap().times.len();
                    let answer = match number.is_multiple_of(count) {
                        true => format!("{id} fault 7 -\n"),
                        false => format!("{id} hit 7 -\nv-{value}"),
                    };
                    stream.write_all(&frame(b'E', &answer))?;
                }
                NodeBehavior::ReplyStatus(word) => {
                    stream.write_all(&frame(b'E', &format!("{id} {word} 7 -\n")))?
                }
                NodeBehavior::ReportProtocolError => stream.write_all(&frame(b'F', "what is this"))?,
                NodeBehavior::UnknownFrame => stream.write_all(&frame(b'X', "?"))?,
                NodeBehavior::ServeThenRaw(more) => {
                    let good = frame(b'E', &format!("{id} hit 7 -\nv-{value}"));
                    stream.write_all(&[&good, more].concat())?;
                }
                NodeBehavior::ServeWithHead(words) => {
                    stream.write_all(&frame(b'E', &format!("{id} {words}\nv-{value}")))?
                }
                NodeBehavior::ReplyRaw(bytes) => stream.write_all(bytes)?,
                NodeBehavior::ServeAfterStaleReply => {
                    let frames =
                        [frame(b'E', "c1.2 hit 7 -\nold"), frame(b'E', &format!("{id} hit 7 -\nv-{value}"))];
                    stream.write_all(&frames.concat())?;
                }
                NodeBehavior::CloseMidFrame => {
                    stream.write_all(&frame(b'E', &format!("{id} hit 7 -\nv"))[..9])?;
                    return Ok(());
                }
            }
        }
    }

    pub fn set_behavior(&self, manner: NodeBehavior) {
        *self.manner.lock().unwrap() = manner;
    }

    pub fn endpoint(&self, health: &str) -> Value {
        json!({"host": self.name, "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": health, "share": 1.0, "born_ms": 0})
    }

    pub fn connections(&self) -> usize {
        self.seen.0.lock().unwrap().connections
    }

    pub fn frames(&self, letter: char) -> Vec<String> {
        let seen = self.seen.0.lock().unwrap();
        seen.frames.iter().filter(|f| f.0 == letter).map(|f| f.1.clone()).collect()
    }

    /// When each part came, and its id.
    pub fn part_arrivals(&self) -> Vec<(Instant, String)> {
        self.seen.0.lock().unwrap().times.clone()
    }

    /// Waits until so many frames with this letter have come.
    pub fn wait_for_frames(&self, letter: char, count: usize) {
        self.wait(|seen| seen.frames.iter().filter(|f| f.0 == letter).count() >= count);
    }

    pub fn wait_for_closed(&self, count: usize) {
        self.wait(|seen| seen.closed >= count);
    }

    fn wait(&self, until: impl Fn(&Seen) -> bool) {
        let (lock, changed) = &*self.seen;
        let seen = lock.lock().unwrap();
        let late = changed.wait_timeout_while(seen, PATIENCE, |seen| !until(seen)).unwrap().1;
        assert!(!late.timed_out(), "{} has not seen what it should", self.name);
    }
}

#[derive(Default)]
struct Lines {
    seq: u64,
    lines: Vec<Value>,
    silent: bool,
    /// Answers a watch at once, changed or not; and closes after each answer.
    hasty: bool,
    closes: bool,
    asked: usize,
    /// How often the agent has started.
    starts: usize,
    /// The version that the broker last watched from.
    read: u64,
}

/// Discovery's agent.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    state: Arc<(Mutex<Lines>, Condvar)>,
}

impl DiscoveryServer {
    pub fn start(lines: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let lines = Lines { seq: 1, lines, ..Lines::default() };
        let state = Arc::new((Mutex::new(lines), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || Self::attend(stream, &state));
            }
        });
        Self { address, state }
    }

    fn attend(stream: TcpStream, state: &(Mutex<Lines>, Condvar)) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        stream.set_nodelay(true).ok()?;
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if reader.read_line(&mut head).ok()? == 0 {
                    return None;
                }
            }
            let after = |name: &str| head.split_once(name)?.1.split(['&', ' ']).next()?.parse::<u64>().ok();
            let (lock, changed) = state;
            let mut lines = lock.lock().unwrap();
            let starts = lines.starts;
            lines.asked += 1;
            lines.read = after("index=").unwrap_or(0);
            changed.notify_all();
            if let (Some(seq), Some(wait)) = (after("index="), after("wait=")) {
                let wait = Duration::from_millis(wait);
                let unchanged = |l: &mut Lines| l.seq <= seq && !l.silent && !l.hasty && l.starts == starts;
                lines = changed.wait_timeout_while(lines, wait, unchanged).unwrap().0;
            }
            if lines.starts != starts {
                return None;
            }
            if lines.silent {
                drop(lines);
                thread::sleep(PATIENCE);
                return None;
            }
            let body = json!({"seq": lines.seq, "whole": true, "hosts": lines.lines}).to_string();
            let close = if lines.closes { "Connection: close\r\n" } else { "" };
            drop(lines);
            let (half, rest) = body.split_at(body.len() / 2);
            let chunks = format!("{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n", half.len(), rest.len());
            let answer = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{close}\r\n{chunks}");
            stream.write_all(answer.as_bytes()).ok()?;
            if !close.is_empty() {
                return None;
            }
        }
    }

    pub fn publish(&self, lines: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        *state = Lines { seq: state.seq + 1, lines, silent: false, read: 0, ..std::mem::take(&mut state) };
        self.state.1.notify_all();
    }

    /// From now on it answers at once, and closes or not; gives how often a second it is asked then.
    pub fn reply_immediately(&self, closes: bool) -> f64 {
        let asked = || {
            let mut state = self.state.0.lock().unwrap();
            (state.hasty, state.closes) = (true, closes);
            self.state.1.notify_all();
            state.asked
        };
        let (before, start) = (asked(), Instant::now());
        thread::sleep(Duration::from_millis(500));
        (asked() - before) as f64 / start.elapsed().as_secs_f64()
    }

    /// Breaks all connections, and counts its versions from 1 again.
    pub fn restart(&self, lines: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        *state = Lines { seq: 1, lines, starts: state.starts + 1, ..Lines::default() };
        self.state.1.notify_all();
    }

    pub fn stop_replying(&self) {
        self.state.0.lock().unwrap().silent = true;
        self.state.1.notify_all();
    }

    /// Waits until the broker asks what comes after what it was told last.
    pub fn wait_until_read(&self) {
        let (lock, changed) = &*self.state;
        let state = lock.lock().unwrap();
        let late = changed.wait_timeout_while(state, PATIENCE, |l| l.read < l.seq).unwrap().1;
        assert!(!late.timed_out(), "the list is not read");
    }
}

/// Settings of a small deployment: one cell, so that every node holds every shard.
pub fn settings() -> Value {
    let service = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "aimMs": 400.0, "deadlineMs": 3000.0, "value": 1.0,
            "lateWorth": 0.5, "repeatWindowMs": 0.0, "group": "all", "stream": false})
    };
    json!({
        "balancers": 1, "countedBy": "request", "projects": [], "tickMs": 5.0, "zones": ["a", "b"],
        "services": [service("find", "pure"), service("fix", "side_effect")],
        "familyInfo": {"cells": 1, "span": 1, "slabs": 6, "partsACall": 1, "leastShare": [0.5, 1.0],
            "wholeAt": [1.0, 1.0], "secondStep": [0, 0]},
        "ceilings": {"attemptsCap": 4, "cancel": true, "connectTimeoutMs": 250.0, "idleCloseMs": 30000.0,
            "maxRetryAfterMs": 2000.0, "mayProbe": false, "mostHeld": 60, "retryAfter": true,
            "secondCopies": true, "streamsPerConn": 8},
        "rules": {"coldFrom": 0.3, "coldMs": 5000.0, "overloadFactor": 2.0, "fallMs": 1000.0,
            "repeatRatio": 0.1, "budgetWindowMs": 2000.0, "freeResends": 20.0}
    })
}

pub fn config(list: SocketAddr, known: Vec<Value>) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": list.to_string(), "seed": "5e6f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "whole": true, "hosts": known}, "settings": settings(), "log": "debug"})
}

/// Gives all table types this query timeout, in milliseconds, and a target time that goes with it.
pub fn set_timeouts(config: &mut Value, ms: f64) {
    for service in config["settings"]["services"].as_array_mut().into_iter().flatten() {
        (service["deadlineMs"], service["aimMs"]) = (json!(ms), json!(0.6 * ms));
    }
}

/// The broker as a process of its own.
pub struct Broker {
    child: Child,
    pub address: SocketAddr,
    log: Arc<Mutex<String>>,
    /// What it logged until it listened.
    pub startup_log: String,
    pub config_file: PathBuf,
    /// Its log is not printed at its end, as a failing test wants it.
    pub suppress_log: bool,
}

/// The broker's program: beside ours, or one folder up where ours is a test.
pub fn broker_program() -> PathBuf {
    let ours = std::env::current_exe().unwrap();
    let folders = ours.ancestors().skip(1).take(2);
    folders
        .map(|folder| folder.join("dunepond-broker"))
        .find(|path| path.exists())
        .expect("dunepond-broker is built")
}

/// Runs the program on a configuration; not started yet, it tells on its standard error why.
pub fn launch(config: &Value) -> (Child, PathBuf) {
    launch_command(Command::new(broker_program()), config)
}

pub fn launch_command(mut command: Command, config: &Value) -> (Child, PathBuf) {
    let file = scratch_path("json");
    std::fs::write(&file, config.to_string()).unwrap();
    command.env_clear().env("GW_CONFIG", &file).stdin(Stdio::null()).stderr(Stdio::piped());
    command.env("GW_DISCOVERY", config["discovery"].as_str().unwrap());
    (command.spawn().unwrap(), file)
}

/// A path of our own among the temporary files.
pub fn scratch_path(ending: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("dunepond-{}-{}.{ending}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    // A disk that others write to takes seconds for a sync, which is no matter of ours; memory takes none.
    let memory = Path::new("/dev/shm");
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    folder.or_else(|| memory.is_dir().then(|| memory.into())).unwrap_or_else(std::env::temp_dir).join(name)
}

impl Broker {
    pub fn start(config: &Value) -> Self {
        Self::from_child(launch(config))
    }

    /// One that may not have as many descriptors as it was told.
    pub fn start_with_descriptor_limit(most: usize, config: &Value) -> Self {
        let mut command = Command::new("/bin/sh");
        let line = format!("ulimit -n {most}; exec {}", broker_program().display());
        command.args(["-c", &line]);
        Self::from_child(launch_command(command, config))
    }

    pub fn from_child((mut child, config_file): (Child, PathBuf)) -> Self {
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut startup_log = String::new();
        let line = lines.by_ref().map_while(Result::ok).find(|line| {
            startup_log += &format!("{line}\n");
            line.contains("listening on")
        });
        let address = line.unwrap().split(' ').next_back().unwrap().parse().unwrap();
        // Read on to its end, or the broker would come to stand still on a full pipe.
        let log = Arc::new(Mutex::new(String::new()));
        let shared = log.clone();
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| *shared.lock().unwrap() += &format!("{line}\n"))
        });
        Self { child, address, log, startup_log, config_file, suppress_log: false }
    }

    /// A broker before these nodes, with a list that names them.
    pub fn start_for(nodes: &[Node]) -> (Self, DiscoveryServer) {
        Self::start_for_with(nodes, "/name", json!("n1"))
    }

    /// The same with one key of its configuration told otherwise.
    pub fn start_for_with(nodes: &[Node], key: &str, value: Value) -> (Self, DiscoveryServer) {
        Self::start_for_changed(nodes, |config| *config.pointer_mut(key).unwrap() = value)
    }

    /// A broker before these nodes, its configuration changed; and the list that names them.
    pub fn start_for_changed(nodes: &[Node], change: impl FnOnce(&mut Value)) -> (Self, DiscoveryServer) {
        let lines: Vec<_> = nodes.iter().map(|n| n.endpoint("ready")).collect();
        let list = DiscoveryServer::start(lines.clone());
        let mut config = config(list.address, lines);
        change(&mut config);
        (Self::start(&config), list)
    }

    /// Replaces its file and has it read again.
    pub fn reload_config(&self, config: &Value) {
        std::fs::write(&self.config_file, config.to_string()).unwrap();
        self.signal("HUP");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let line = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &line]).status().unwrap();
        assert!(status.success());
    }

    /// What it has logged.
    pub fn log_text(&self) -> String {
        self.startup_log.clone() + &self.log.lock().unwrap()
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        if !self.suppress_log {
            println!("{}", self.log_text());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Value,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// A request for a scan of these shards.
pub fn query_request(table_type: &str, id: &str, shards: &[usize], budget: &str) -> String {
    let part = 1.0 / shards.len() as f64;
    let buckets: Vec<_> = shards.iter().map(|s| json!({"bucket": s, "part": part})).collect();
    let body = json!({"buckets": buckets, "body": "q1"}).to_string();
    format!(
        "POST /{table_type} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Call-Class: {table_type}\r\n\
         X-Budget: {budget}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Client {
    pub fn connect(broker: &Broker) -> Self {
        Self::connect_to(broker.address)
    }

    pub fn connect_to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self::from_stream(stream)
    }

    pub fn from_stream(stream: TcpStream) -> Self {
        Self { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    pub fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).unwrap();
    }

    /// `None` where the connection ends first.
    pub fn try_request(&mut self, request: &str) -> Option<Answer> {
        self.stream.write_all(request.as_bytes()).ok()?;
        self.read_answer()
    }

    pub fn request(&mut self, request: &str) -> Answer {
        self.send(request);
        self.read_answer().expect("an answer")
    }

    /// The next answer; `None` if the connection ends first.
    pub fn read_answer(&mut self) -> Option<Answer> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let length = head.split_once("Content-Length: ").unwrap().1.split('\r').next().unwrap();
        let mut body = vec![0; length.parse().unwrap()];
        self.reader.read_exact(&mut body).ok()?;
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        Some(Answer { status, head, body: serde_json::from_slice(&body).unwrap_or(Value::Null) })
    }
}
