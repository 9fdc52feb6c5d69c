//! Support for the fleet tests: brokers of one fleet as processes, their audit logs, and a stand-in for the fill service.

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
use dunepond_testkit::stand_ins::{self, Broker, Client, DiscoveryServer, Node, Response, query_request};
use serde_json::{Value, json};

/// Longest wait for an expected audit record or fill request.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// Returns a new loopback address that only this test process uses. A port that was found free could be taken before the broker
/// starts, and a broker must keep its address over a restart. Brokers listen on other addresses than they connect from, as behind
/// a relay.
pub fn address() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 1 + a % 127, b, c], 7400 + COUNT.fetch_add(1, Ordering::Relaxed)))
}

/// The brokers of one fleet, all of them voters, with the same nodes.
pub struct Fleet {
    /// Folder of all files of the fleet, removed on drop.
    pub folder: PathBuf,
    /// The brokers' fleet addresses, by index of the broker.
    pub addresses: Vec<SocketAddr>,
    /// The stand-ins for the nodes.
    pub nodes: Vec<Node>,
    /// The discovery server of all brokers.
    pub list: DiscoveryServer,
    /// Additional text in the `fleet` section of the operator's file.
    pub extra_kdl: String,
    /// Deadline of every query class, in milliseconds.
    pub deadline_ms: f64,
    /// The `semantics` value of the query class `find` in the settings.
    pub find_semantics: &'static str,
}

impl Fleet {
    pub fn new(brokers: usize, extra_kdl: &str) -> Self {
        let folder = stand_ins::scratch_path("fleet");
        fs::create_dir(&folder).unwrap();
        let nodes: Vec<_> = (0..3).map(|i| Node::start(&format!("s-{i}"))).collect();
        let list = DiscoveryServer::start(nodes.iter().map(|node| node.endpoint("ready")).collect());
        let addresses = (0..brokers).map(|_| address()).collect();
        Self {
            folder,
            addresses,
            nodes,
            list,
            extra_kdl: extra_kdl.to_string(),
            deadline_ms: 800.0,
            find_semantics: "pure",
        }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Starts the broker with this index; its name is `n` and the index.
    pub fn start(&self, broker: usize) -> Broker {
        let name = format!("n{broker}");
        let (version, record) = (self.path(&format!("{name}.json")), self.path(&format!("{name}.jsonl")));
        let (folder, key) = (self.path(&name), self.path("key"));
        fs::write(&key, "a secret of some length\n").unwrap();
        fs::create_dir_all(&folder).unwrap();
        let voters = self.addresses.iter().enumerate();
        let voters: String = voters.map(|(i, at)| format!("voter \"n{i}\" at=\"{at}\"\n")).collect();
        let text = format!(
            "fleet listen=\"{}\" folder={folder:?} lease=0.6 drift=0.01 bound=4.0 {{\n{voters}key {key:?}\nversion {version:?}\n\
             record {record:?}\nmap least-holders=1 least-zones=1 most-changed=1.0\n{}\n}}\ncounters every=1.0\n",
            self.addresses[broker], self.extra_kdl,
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
        config["settings"]["services"][0]["semantics"] = json!(self.find_semantics);
        config["settings"]["services"][0]["repeatWindowMs"] = json!(5000.0);
        config["settings"]["projects"] = json!([{"name": "mill", "quotaPerS": 100.0}]);
        config["settings"]["ceilings"]["connectTimeoutMs"] = json!(2500.0);
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
        command.arg("run").arg("--operator").arg(&kdl);
        Broker::wait_until_listening(stand_ins::launch_command(command, &config))
    }

    /// Writes the file from which this broker proposes a configuration version.
    pub fn offer(&self, broker: usize, version: &Value) {
        fs::write(self.path(&format!("n{broker}.json")), version.to_string()).unwrap();
    }

    /// Reads the complete records of this broker's audit log.
    pub fn audit_log(&self, broker: usize) -> Vec<AuditRecord> {
        read_audit_log(&self.path(&format!("n{broker}.jsonl")))
    }

    /// Waits until this broker's audit log has a matching record; returns the last one. `expected` describes the
    /// record in the failure message.
    pub fn wait(&self, broker: usize, expected: &str, matches: impl Fn(&AuditRecord) -> bool) -> AuditRecord {
        let start = Instant::now();
        loop {
            if let Some(record) = self.audit_log(broker).into_iter().rev().find(&matches) {
                return record;
            }
            assert!(start.elapsed() < MAX_WAIT, "n{broker}: no audit record in time for: {expected}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until the last phase in this broker's audit log is one without a lease.
    pub fn wait_lease_expired(&self, broker: usize) {
        self.wait(broker, "lease expired", |_| {
            let log = self.audit_log(broker);
            let last = log.iter().rev().find(|line| matches!(line.event, AuditEvent::Phase { .. }));
            last.is_some_and(is_without_lease)
        });
    }

    /// Waits until this broker's audit log has the active phase of this configuration version.
    pub fn wait_active(&self, broker: usize, number: u64) {
        self.wait(
            broker,
            &format!("version {number} active"),
            |line| matches!(line.event, AuditEvent::Phase { phase: AuditPhase::Active, last_version, .. } if last_version == number),
        );
    }
}

/// A stand-in for the fill service that leaves every request unanswered until the test lets it respond.
pub struct FillService {
    /// The address that the stand-in listens on.
    pub address: SocketAddr,
    /// The bodies of all requests, in order of arrival.
    pub requests: Arc<Mutex<Vec<Value>>>,
    /// Whether the stand-in responds to requests, including those that are still unanswered.
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

    /// Reads one request, records its body and responds once `is_answering` is set.
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

    /// Waits for this number of requests; returns the bodies of all requests so far.
    pub fn wait(&self, count: usize) -> Vec<Value> {
        let start = Instant::now();
        while self.requests.lock().unwrap().len() < count {
            assert!(start.elapsed() < MAX_WAIT, "fewer than {count} fill requests in time");
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

/// Sends a query on a new connection and returns its response.
pub fn send_query(broker: &Broker, query_class: &str, id: &str, segments: &[usize]) -> Response {
    Client::connect(broker).request(&query_request(query_class, id, segments, "2.5"))
}

/// Whether the record is a phase in which the broker has no lease.
pub fn is_without_lease(line: &AuditRecord) -> bool {
    matches!(line.event, AuditEvent::Phase { phase: AuditPhase::LeaseExpired | AuditPhase::Unconfigured, .. })
}

/// Returns the node and the configuration versions of each non-idempotent attempt that was sent.
pub fn non_idempotent_sent(log: Vec<AuditRecord>) -> Vec<(String, Vec<u64>)> {
    let sent = log.into_iter().filter_map(|line| match line.event {
        AuditEvent::AttemptSent { non_idempotent: true, node, versions, .. } => Some((node, versions)),
        _ => None,
    });
    sent.collect()
}

/// Reads the records of an audit log; an incomplete last line is left out.
pub fn read_audit_log(path: &Path) -> Vec<AuditRecord> {
    let text = fs::read_to_string(path).unwrap_or_default();
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    complete.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// A configuration version in which the segments are assigned to these owners round-robin.
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
