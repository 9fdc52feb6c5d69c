//! Brokers of one fleet as processes, their audit logs, and a fill service.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_control_plane::{AuditEvent, AuditPhase, AuditRecord};
use dunepond_testkit::stand_ins::{self, Answer, Broker, Client, DiscoveryServer, Node, query_request};
use serde_json::{Value, json};

pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// An address that only this process uses. A port that was found free could be taken before the broker starts, and a broker keeps its
/// address over a restart.
pub fn address() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 1 + a % 127, b, c], 7400 + COUNT.fetch_add(1, Ordering::Relaxed)))
}

/// Brokers of one fleet, all of them voters, before the same nodes.
pub struct Fleet {
    pub folder: PathBuf,
    pub addresses: Vec<SocketAddr>,
    pub nodes: Vec<Node>,
    pub list: DiscoveryServer,
    /// Further nodes of the operator's file.
    pub more: String,
    /// The queries' deadline in milliseconds.
    pub deadline_ms: f64,
    /// The idempotency of the query class `find`, as in the settings.
    pub find: &'static str,
}

impl Fleet {
    pub fn new(brokers: usize, more: &str) -> Self {
        let folder = stand_ins::scratch_path("fleet");
        fs::create_dir(&folder).unwrap();
        let nodes: Vec<_> = (0..3).map(|i| Node::start(&format!("s-{i}"))).collect();
        let list = DiscoveryServer::start(nodes.iter().map(|node| node.endpoint("ready")).collect());
        let addresses = (0..brokers).map(|_| address()).collect();
        Self { folder, addresses, nodes, list, more: more.to_string(), deadline_ms: 800.0, find: "pure" }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    pub fn start(&self, at: usize) -> Broker {
        let name = format!("n{at}");
        let (version, record) = (self.path(&format!("{name}.json")), self.path(&format!("{name}.jsonl")));
        // They listen at other addresses than they connect from, as behind a relay.
        let (folder, key) = (self.path(&name), self.path("key"));
        fs::write(&key, "a secret of some length\n").unwrap();
        fs::create_dir_all(&folder).unwrap();
        let voters = self.addresses.iter().enumerate();
        let voters: String = voters.map(|(i, at)| format!("voter \"n{i}\" at=\"{at}\"\n")).collect();
        let text = format!(
            "fleet listen=\"{}\" folder={folder:?} lease=0.6 drift=0.01 bound=4.0 {{\n{voters}key {key:?}\nversion {version:?}\n\
             record {record:?}\nmap least-holders=1 least-zones=1 most-changed=1.0\n{}\n}}\ncounters every=1.0\n",
            self.addresses[at], self.more,
        );
        let kdl = self.path(&format!("{name}.kdl"));
        fs::write(&kdl, text).unwrap();
        let mut config = stand_ins::config(
            self.list.address,
            self.nodes.iter().map(|node| node.endpoint("ready")).collect(),
        );
        config["name"] = json!(name);
        config["settings"]["services"].as_array_mut().unwrap().iter_mut().for_each(|service| {
            service["deadlineMs"] = json!(self.deadline_ms);
            service["aimMs"] = json!(200.0);
        });
        config["settings"]["services"][0]["semantics"] = json!(self.find);
        config["settings"]["services"][0]["repeatWindowMs"] = json!(5000.0);
        config["settings"]["projects"] = json!([{"name": "mill", "quotaPerS": 100.0}]);
        config["settings"]["ceilings"]["connectTimeoutMs"] = json!(2500.0);
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
        command.arg("run").arg("--operator").arg(&kdl);
        Broker::from_child(stand_ins::launch_command(command, &config))
    }

    pub fn offer(&self, at: usize, version: &Value) {
        fs::write(self.path(&format!("n{at}.json")), version.to_string()).unwrap();
    }

    /// The audit log of a broker so far.
    pub fn audit_log(&self, at: usize) -> Vec<AuditRecord> {
        read_audit_log(&self.path(&format!("n{at}.jsonl")))
    }

    pub fn wait(&self, at: usize, what: &str, is_so: impl Fn(&AuditRecord) -> bool) -> AuditRecord {
        let start = Instant::now();
        loop {
            if let Some(line) = self.audit_log(at).into_iter().rev().find(&is_so) {
                return line;
            }
            assert!(start.elapsed() < MAX_WAIT, "n{at}: {what}: not in time");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until its lease has expired, by the last phase in its audit log.
    pub fn wait_lease_expired(&self, at: usize) {
        self.wait(at, "cut", |_| {
            let log = self.audit_log(at);
            let last = log.iter().rev().find(|line| matches!(line.event, AuditEvent::Phase { .. }));
            last.is_some_and(is_without_lease)
        });
    }

    pub fn wait_active(&self, at: usize, number: u64) {
        self.wait(
            at,
            &format!("alone on {number}"),
            |line| matches!(line.event, AuditEvent::Phase { phase: AuditPhase::Active, last_version, .. } if last_version == number),
        );
    }
}

/// A fill service that answers all requests at once when told to.
pub struct FillService {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<Value>>>,
    pub is_answering: Arc<AtomicBool>,
}

impl FillService {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let fill_service = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            is_answering: Arc::default(),
        };
        let (requests, is_answering) = (fill_service.requests.clone(), fill_service.is_answering.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (requests, is_answering) = (requests.clone(), is_answering.clone());
                thread::spawn(move || Self::serve(stream, &requests, &is_answering));
            }
        });
        fill_service
    }

    pub fn serve(
        mut stream: TcpStream,
        requests: &Mutex<Vec<Value>>,
        is_answering: &AtomicBool,
    ) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut length = 0;
        let mut line = String::new();
        while reader.read_line(&mut line).ok()? > 2 {
            if let Some(text) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = text.trim().parse().ok()?;
            }
            line.clear();
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        requests.lock().unwrap().push(serde_json::from_slice(&body).ok()?);
        while !is_answering.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").ok()
    }

    pub fn wait(&self, count: usize) -> Vec<Value> {
        let start = Instant::now();
        while self.requests.lock().unwrap().len() < count {
            assert!(start.elapsed() < MAX_WAIT, "no fill was requested");
            thread::sleep(Duration::from_millis(10));
        }
        self.requests.lock().unwrap().clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn ask(broker: &Broker, query_class: &str, id: &str, segments: &[usize]) -> Answer {
    Client::connect(broker).request(&query_request(query_class, id, segments, "2.5"))
}

pub fn is_without_lease(line: &AuditRecord) -> bool {
    matches!(line.event, AuditEvent::Phase { phase: AuditPhase::LeaseExpired | AuditPhase::Unconfigured, .. })
}

/// Non-idempotent attempts that were sent: the node, and the versions.
pub fn non_idempotent_sent(log: Vec<AuditRecord>) -> Vec<(String, Vec<u64>)> {
    let sent = log.into_iter().filter_map(|line| match line.event {
        AuditEvent::AttemptSent { non_idempotent: true, node, versions: numbers, .. } => {
            Some((node, numbers))
        }
        _ => None,
    });
    sent.collect()
}

pub fn read_audit_log(path: &Path) -> Vec<AuditRecord> {
    let text = fs::read_to_string(path).unwrap_or_default();
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    whole.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// A version in which these nodes own the segments in turns.
pub fn version(number: u64, owners: &[&str]) -> Value {
    let count = 6_u64;
    let step = u64::MAX / count + 1;
    let segment = |id: u64| {
        let holders: Vec<_> = (0..3)
            .map(
                |i| json!({"node": format!("s-{i}"), "partner": "north", "filled": true, "share": 1.0 / 3.0}),
            )
            .collect();
        let to = (id + 1 < count).then(|| (id + 1) * step);
        json!({"id": id, "keys": {"from": id * step, "to": to}, "owner": owners[id as usize % owners.len()],
            "holders": holders})
    };
    let segments: Vec<_> = (0..count).map(segment).collect();
    json!({"number": number, "who": "a test", "why": "to see it in force", "at": 0.0,
        "rules": {"least": [0.5, 1.0], "whole_at": [1.0, 1.0], "budget_share": 0.1, "budget_free": 20.0,
            "drain_grace": 1.0, "cold_multiple": 2.0, "dispatch_cap": 4, "second_copies": true, "repeats": true,
            "longest_wait": 2.0},
        "standings": {"draining": [], "gone": []},
        "map": {"epoch": number, "hash": "xxh3-64", "segments": segments, "digest": ""}})
}
