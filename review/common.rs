//! Shared by the cases of the review: starts the broker with the command of the deploy file, plays discovery, and has a
//! small HTTP client, a record and a source of chance. Standard library only; loopback addresses only.
#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Whether the disruption is played: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case because it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    exit(2)
}

/// A source of chance with a fixed seed.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 16) % limit
    }
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt"));
        let file = file.unwrap_or_else(|e| cannot_run(&format!("record.txt: {e}")));
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", self.began.elapsed().as_secs_f64());
    }
}

/// A temporary folder, removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("dunepond-review-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&format!("temporary folder: {e}")));
        Self(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("port: {e}")));
    listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("port: {e}")))
}

/// Listens on a free port of a loopback address.
pub fn listen(ip: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| cannot_run(&format!("{ip}: {e}")));
    let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("{ip}: {e}")));
    (listener, address)
}

/// Plays discovery with a list that does not change. `rows` is the content of `hosts`.
pub fn start_discovery(rows: String) -> SocketAddr {
    let (listener, address) = listen("127.0.0.1");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let rows = rows.clone();
            thread::spawn(move || serve_discovery(stream, &rows));
        }
    });
    address
}

fn serve_discovery(stream: TcpStream, rows: &str) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut out = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some((head, _)) = read_message(&mut reader) {
        let body = match head.split_once("wait=") {
            Some((_, rest)) => {
                let wait: u64 = rest.split([' ', '&']).next()?.parse().ok()?;
                thread::sleep(Duration::from_millis(wait));
                "{\"seq\":1,\"whole\":false,\"hosts\":[]}".to_string()
            }
            None => format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{rows}]}}"),
        };
        out.write_all(response(200, &body).as_bytes()).ok()?;
    }
    Some(())
}

/// Returns a row of discovery's list.
pub fn row(host: &str, dial: SocketAddr, block: usize) -> String {
    format!(
        "{{\"host\":\"{host}\",\"dial\":\"{dial}\",\"site\":\"here\",\"class\":\"m\",\"block\":{block},\
         \"health\":\"ready\",\"share\":1.0,\"born_ms\":0}}"
    )
}

/// Returns an HTTP response with a JSON body.
pub fn response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads an HTTP message with a stated length, and returns its head and its body; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut body = vec![0; header(&head, "Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Returns the value of a header.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A client with one connection, which sends one request at a time.
pub struct Client {
    address: SocketAddr,
    reader: Option<BufReader<TcpStream>>,
}

/// An answer of the broker.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, reader: None }
    }

    fn connect(&mut self) -> io::Result<()> {
        if self.reader.is_none() {
            let stream = TcpStream::connect(self.address)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(15)))?;
            self.reader = Some(BufReader::new(stream));
        }
        Ok(())
    }

    /// Sends a request; `None` if the connection ended without an answer.
    pub fn post(&mut self, path: &str, headers: &str, body: &str) -> Option<Answer> {
        self.request(&format!(
            "POST {path} HTTP/1.1\r\nHost: b\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }

    pub fn request(&mut self, text: &str) -> Option<Answer> {
        self.connect().ok()?;
        let reader = self.reader.as_mut()?;
        let answer = match reader.get_ref().write_all(text.as_bytes()) {
            Ok(()) => read_message(reader),
            Err(_) => None,
        };
        let Some((head, body)) = answer else {
            self.reader = None;
            return None;
        };
        if header(&head, "Connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.reader = None;
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Answer { status, body: String::from_utf8_lossy(&body).into_owned() })
    }
}

/// A broker process, started by the deploy file's `run`. It is killed when dropped.
pub struct Broker {
    child: Child,
    pub address: SocketAddr,
}

impl Broker {
    /// Starts a broker with the settings of a small deployment and an operator's file, and waits until it is ready.
    pub fn start(scratch: &Path, discovery: SocketAddr, settings: &str, operator: &str) -> Self {
        Self::start_at(free_address(), scratch, discovery, settings, operator)
    }

    /// Like `start`, at this address.
    pub fn start_at(
        address: SocketAddr,
        scratch: &Path,
        discovery: SocketAddr,
        settings: &str,
        operator: &str,
    ) -> Self {
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"5e6f70812a3b4c5d\",\
             \"log\":\"info\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"known\":{{\"seq\":0,\"whole\":true,\"hosts\":[]}},\"settings\":{settings}}}"
        );
        let (config_path, operator_path) = (scratch.join("config.json"), scratch.join("operator.kdl"));
        fs::write(&config_path, config).unwrap_or_else(|e| cannot_run(&format!("config: {e}")));
        fs::write(&operator_path, operator).unwrap_or_else(|e| cannot_run(&format!("operator's file: {e}")));
        let deploy = fs::read_to_string("deploy/balancer.toml")
            .unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml: {e}")));
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.unwrap_or_else(|| cannot_run("deploy/balancer.toml has no run"));
        let log = File::create(scratch.join("broker.log")).unwrap_or_else(|e| cannot_run(&format!("log: {e}")));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{run} run --operator '{}'", operator_path.display()))
            .env("GW_CONFIG", &config_path)
            .env_remove("GW_NAME")
            .env_remove("GW_LISTEN")
            .env_remove("GW_DISCOVERY")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&format!("broker: {e}")));
        // The script ends what is left of these, should this program be stopped before its end.
        if let Ok(path) = std::env::var("REVIEW_PIDS") {
            let file = File::options().append(true).create(true).open(path);
            let _ = file.map(|mut file| writeln!(file, "{}", child.id()));
        }
        let broker = Self { child, address };
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            let ready = Client::new(address).request("GET /ready HTTP/1.1\r\nHost: b\r\n\r\n");
            if ready.is_some_and(|answer| answer.status == 200) {
                return broker;
            }
            if Instant::now() > until {
                let log = fs::read_to_string(scratch.join("broker.log")).unwrap_or_default();
                drop(broker);
                cannot_run(&format!("the broker is not ready: {log}"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The settings of a small deployment with the classes and the rules of the site: three nodes in a ring, `slabs` shards on
/// two nodes each; `quick-find` is complete with 60% of its parts, `full-search` needs all, and so does `fix-request`, of
/// which no part may run twice.
pub fn small_settings(slabs: usize) -> String {
    let class = |name: &str, semantics: &str, deadline: f64, late: f64, value: f64| {
        format!(
            "{{\"name\":\"{name}\",\"semantics\":\"{semantics}\",\"aimMs\":2000.0,\"deadlineMs\":{deadline:.1},\
             \"value\":{value:.1},\"lateWorth\":{late:.1}}}"
        )
    };
    format!(
        "{{\"balancers\":1,\"countedBy\":\"request\",\"tickMs\":5.0,\"zones\":[\"here\"],\"projects\":[],\
         \"services\":[{},{},{}],\
         \"familyInfo\":{{\"cells\":3,\"span\":2,\"slabs\":{slabs},\"partsACall\":1,\"wholeAt\":[0.6,1.0,1.0],\
         \"leastShare\":[0.6,1.0,1.0],\"secondStep\":[0,0,0]}},\
         \"ceilings\":{{\"attemptsCap\":4,\"secondCopies\":true,\"cancel\":true,\"mayProbe\":false,\
         \"retryAfter\":true,\"maxRetryAfterMs\":2000.0,\"mostHeld\":148,\"streamsPerConn\":32,\
         \"connectTimeoutMs\":250.0,\"idleCloseMs\":30000.0}},\
         \"rules\":{{\"coldFrom\":0.21,\"coldMs\":15000.0,\"overloadFactor\":2.5,\"fallMs\":1000.0,\
         \"repeatRatio\":0.05,\"budgetWindowMs\":2000.0,\"freeResends\":20.0,\"drainGraceMs\":2000.0}}}}",
        class("quick-find", "pure", 4000.0, 0.0, 2.0),
        class("full-search", "pure", 6000.0, 0.3, 1.0),
        class("fix-request", "side_effect", 6000.0, 0.1, 2.0)
    )
}

/// A flag that is shared between threads.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Sends a signal to a process that this case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}

impl Broker {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}
