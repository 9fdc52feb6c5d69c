//! A broker in a fleet that agrees, beside one or two others: what is agreed on comes into force, and non-replayable parts
//! go to one node or nowhere.

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
use dunepond_testkit::store::{self, Answer, Broker, Client, List, Manner, Node, scan};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

const PATIENCE: Duration = Duration::from_secs(20);

/// An address that is this process's alone: a port that was free a moment ago may be another's by the time its broker
/// starts, and one that restarts has to have the same again.
fn address() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 1 + a % 127, b, c], 7400 + COUNT.fetch_add(1, Ordering::Relaxed)))
}

/// Brokers of one fleet, all of them voters, before the same nodes.
struct Fleet {
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    nodes: Vec<Node>,
    list: List,
    /// Further nodes of the operator's file, and the deadline of queries in milliseconds.
    more: String,
    deadline: f64,
    /// Whether a find may run again: the settings' word.
    find: &'static str,
}

impl Fleet {
    fn new(brokers: usize, more: &str) -> Self {
        let folder = store::scratch("fleet");
        fs::create_dir(&folder).unwrap();
        let nodes: Vec<_> = (0..3).map(|i| Node::start(&format!("s-{i}"))).collect();
        let list = List::start(nodes.iter().map(|node| node.line("ready")).collect());
        let addresses = (0..brokers).map(|_| address()).collect();
        Self { folder, addresses, nodes, list, more: more.to_string(), deadline: 800.0, find: "pure" }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn start(&self, at: usize) -> Broker {
        let name = format!("n{at}");
        let (version, record) = (self.path(&format!("{name}.json")), self.path(&format!("{name}.jsonl")));
        // Their addresses differ from those that their connections come from, as behind a relay.
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
        let mut config =
            store::config(self.list.address, self.nodes.iter().map(|node| node.line("ready")).collect());
        config["name"] = json!(name);
        config["settings"]["services"].as_array_mut().unwrap().iter_mut().for_each(|service| {
            service["deadlineMs"] = json!(self.deadline);
            service["aimMs"] = json!(200.0);
        });
        config["settings"]["services"][0]["semantics"] = json!(self.find);
        config["settings"]["services"][0]["repeatWindowMs"] = json!(5000.0);
        config["settings"]["projects"] = json!([{"name": "mill", "quotaPerS": 100.0}]);
        config["settings"]["ceilings"]["connectTimeoutMs"] = json!(2500.0);
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
        command.arg("run").arg("--operator").arg(&kdl);
        Broker::started(store::launch_by(command, &config))
    }

    fn offer(&self, at: usize, version: &Value) {
        fs::write(self.path(&format!("n{at}.json")), version.to_string()).unwrap();
    }

    /// What a broker has written of its acts so far.
    fn acts(&self, at: usize) -> Vec<AuditRecord> {
        lines(&self.path(&format!("n{at}.jsonl")))
    }

    fn wait(&self, at: usize, what: &str, is_so: impl Fn(&AuditRecord) -> bool) -> AuditRecord {
        let start = Instant::now();
        loop {
            if let Some(line) = self.acts(at).into_iter().rev().find(&is_so) {
                return line;
            }
            assert!(start.elapsed() < PATIENCE, "n{at}: {what}: not in time");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Until its lease has run out: the last phase that it wrote down.
    fn wait_cut(&self, at: usize) {
        self.wait(at, "cut", |_| {
            let acts = self.acts(at);
            let last = acts.iter().rev().find(|line| matches!(line.event, AuditEvent::Phase { .. }));
            last.is_some_and(is_cut)
        });
    }

    fn wait_alone(&self, at: usize, number: u64) {
        self.wait(
            at,
            &format!("alone on {number}"),
            |line| matches!(line.event, AuditEvent::Phase { phase: AuditPhase::Active, last_version, .. } if last_version == number),
        );
    }
}

/// A filler that does nothing for a while, and then all at once.
struct Filler {
    address: SocketAddr,
    asked: Arc<Mutex<Vec<Value>>>,
    answers: Arc<AtomicBool>,
}

impl Filler {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let filler =
            Self { address: listener.local_addr().unwrap(), asked: Arc::default(), answers: Arc::default() };
        let (asked, answers) = (filler.asked.clone(), filler.answers.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (asked, answers) = (asked.clone(), answers.clone());
                thread::spawn(move || Self::attend(stream, &asked, &answers));
            }
        });
        filler
    }

    fn attend(mut stream: TcpStream, asked: &Mutex<Vec<Value>>, answers: &AtomicBool) -> Option<()> {
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
        asked.lock().unwrap().push(serde_json::from_slice(&body).ok()?);
        while !answers.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").ok()
    }

    fn wait(&self, count: usize) -> Vec<Value> {
        let start = Instant::now();
        while self.asked.lock().unwrap().len() < count {
            assert!(start.elapsed() < PATIENCE, "no filler was asked");
            thread::sleep(Duration::from_millis(10));
        }
        self.asked.lock().unwrap().clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn ask(broker: &Broker, table_type: &str, id: &str, segs: &[usize]) -> Answer {
    Client::to(broker).ask(&scan(table_type, id, segs, "2.5"))
}

fn is_cut(line: &AuditRecord) -> bool {
    matches!(line.event, AuditEvent::Phase { phase: AuditPhase::LeaseExpired | AuditPhase::Unconfigured, .. })
}

/// Non-replayable parts that were sent: to which node, on which versions.
fn sent_once(acts: Vec<AuditRecord>) -> Vec<(String, Vec<u64>)> {
    let sent = acts.into_iter().filter_map(|line| match line.event {
        AuditEvent::AttemptSent { non_idempotent: true, node, versions: numbers, .. } => {
            Some((node, numbers))
        }
        _ => None,
    });
    sent.collect()
}

fn lines(path: &Path) -> Vec<AuditRecord> {
    let text = fs::read_to_string(path).unwrap_or_default();
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    whole.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// A version in which these nodes own the segments in turn.
fn version(number: u64, owners: &[&str]) -> Value {
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

#[test]
fn non_idempotent_parts_go_to_agreed_owners() {
    let fleet = Fleet::new(3, "");
    fleet.offer(1, &version(1, &["s-1"]));
    let brokers: Vec<_> = (0..3).map(|at| fleet.start(at)).collect();
    (0..3).for_each(|at| fleet.wait_alone(at, 1));
    for (at, broker) in brokers.iter().enumerate() {
        let answer = ask(broker, "fix", &format!("f{at}"), &[0, 4]);
        assert_eq!(answer.status, 200, "{answer:?}");
        let answer = ask(broker, "find", &format!("r{at}"), &[0, 1, 2, 3, 4, 5]);
        assert_eq!(answer.status, 200, "{answer:?}");
        fleet.wait(at, "a whole answer", |line| {
            matches!(&line.event, AuditEvent::Answer { complete: true, map_epoch: Some(1), segments, .. } if segments.len() == 6)
        });
    }
    let sent: Vec<_> = (0..3).flat_map(|at| sent_once(fleet.acts(at))).collect();
    assert_eq!(sent.len(), 6);
    assert!(sent.iter().all(|(node, numbers)| node == "s-1" && *numbers == [1]), "{sent:?}");
}

#[test]
fn owner_change_fences_non_idempotent_parts() {
    let fleet = Fleet::new(1, "");
    fleet.offer(0, &version(1, &["s-0"]));
    let broker = fleet.start(0);
    fleet.wait_alone(0, 1);
    assert_eq!(ask(&broker, "fix", "a", &[0]).status, 200);
    let mut next = version(2, &["s-2"]);
    next["standings"]["draining"] = json!(["s-1"]);
    fleet.offer(0, &next);
    broker.signal("HUP");
    fleet.wait(0, "joint", |line| {
        matches!(
            line.event,
            AuditEvent::Phase { phase: AuditPhase::Joint, first_version: 1, last_version: 2, .. }
        )
    });
    let between = ask(&broker, "fix", "b", &[0]);
    assert_eq!(between.status, 429, "{between:?}");
    assert!(between.head.contains("Retry-After: "), "{between:?}");
    // Before the module heard of it.
    fleet.wait(
        0,
        "refused",
        |line| matches!(&line.event, AuditEvent::Rejected { request_id, .. } if request_id == "b"),
    );
    // The node that is to drain is left at once, in the joint step: no grace is waited for.
    let left = fleet.nodes[1].frames('A').len();
    (0..6).for_each(|i| assert_eq!(ask(&broker, "find", &format!("c{i}"), &[0, 1, 2]).status, 200));
    assert_eq!(fleet.nodes[1].frames('A').len(), left);
    fleet.wait_alone(0, 2);
    assert_eq!(ask(&broker, "fix", "d", &[0]).status, 200);
    // A node that is agreed to be left alone gets nothing new, though discovery has it ready.
    let before = fleet.nodes[1].frames('A').len();
    (0..12).for_each(|i| assert_eq!(ask(&broker, "find", &format!("e{i}"), &[0, 1, 2]).status, 200));
    assert_eq!(fleet.nodes[1].frames('A').len(), before);
    assert_eq!(sent_once(fleet.acts(0)), [("s-0".to_string(), vec![1]), ("s-2".to_string(), vec![2])]);
    let acts = fleet.acts(0);
    let digests = |number: u64| -> Vec<_> {
        let of = |line: &AuditRecord| match &line.event {
            AuditEvent::Proposed { number: n, digest } | AuditEvent::Confirmed { number: n, digest }
                if *n == number =>
            {
                Some(digest.clone())
            }
            _ => None,
        };
        acts.iter().filter_map(of).collect()
    };
    assert_eq!(digests(2).len(), 2);
    assert_eq!(digests(2)[0], digests(2)[1]);
}

#[test]
fn stalled_broker_without_lease_sends_no_non_idempotent_part() {
    let fleet = Fleet::new(2, "");
    fleet.offer(0, &version(1, &["s-0"]));
    let (broker, other) = (fleet.start(0), fleet.start(1));
    fleet.wait_alone(0, 1);
    drop(other);
    broker.signal("STOP");
    let mut clients = [Client::to(&broker), Client::to(&broker)];
    clients[0].send(&scan("fix", "a", &[0], "2.5"));
    clients[1].send(&scan("find", "b", &[0, 1], "2.5"));
    thread::sleep(Duration::from_millis(800));
    broker.signal("CONT");
    let answers = clients.map(|mut client| client.answer().unwrap());
    assert_eq!(answers.each_ref().map(|answer| answer.status), [429, 200], "{answers:?}");
    fleet.wait_cut(0);
    assert_eq!(sent_once(fleet.acts(0)), []);
    // Back again, it has its lease.
    let _other = fleet.start(1);
    fleet.wait(0, "a lease", |line| {
        let later = fleet.acts(0).iter().rev().find(|line| is_cut(line)).map_or(0.0, |cut| cut.at);
        line.at > later && matches!(line.event, AuditEvent::Phase { phase: AuditPhase::Active, .. })
    });
    assert_eq!(ask(&broker, "fix", "c", &[0]).status, 200);
}

#[test]
fn answer_incomplete_for_keys_outside_map() {
    let fleet = Fleet::new(1, "");
    let mut first = version(1, &["s-0"]);
    first["map"]["segments"][5]["id"] = json!(9);
    fleet.offer(0, &first);
    let broker = fleet.start(0);
    fleet.wait_alone(0, 1);
    let whole = |id: &str, segs: &[usize]| {
        let answer = ask(&broker, "find", id, segs);
        (answer.status, answer.body["finished"].as_bool())
    };
    assert_eq!(whole("a", &[0, 4]), (200, Some(true)));
    // All that was asked for came, and nobody knows of which keys it is.
    assert_eq!(whole("b", &[0, 5]), (200, Some(false)));
    fleet.wait(
        0,
        "a false answer",
        |line| matches!(&line.event, AuditEvent::Answer { request_id, complete: false, map_epoch: None, .. } if request_id == "b"),
    );
}

#[rstest]
#[case::as_the_settings_say(true, 2)]
#[case::as_the_version_says(false, 1)]
fn keyed_retry_obeys_active_version(#[case] repeats: bool, #[case] least: usize) {
    let mut fleet = Fleet::new(1, "");
    fleet.find = "token";
    let mut first = version(1, &["s-0"]);
    first["rules"]["repeats"] = json!(repeats);
    fleet.offer(0, &first);
    let broker = fleet.start(0);
    fleet.wait_alone(0, 1);
    // What it is usually like, and then one that fails wherever it may have run.
    (0..20).for_each(|i| drop(ask(&broker, "find", &format!("a{i}"), &[0])));
    fleet.nodes.iter().for_each(|node| node.behave(Manner::Say("fault")));
    let sent = || fleet.nodes.iter().map(|node| node.frames('A').len()).sum::<usize>();
    let before = sent();
    assert_ne!(ask(&broker, "find", "b", &[0]).status, 200);
    let sent = sent() - before;
    assert!(if repeats { sent >= least } else { sent == least }, "{sent}");
}

/// A node that takes a connection only when it is told to.
fn slow_to_accept() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    let mut filling = vec![TcpStream::connect(address).unwrap()];
    // Until the next one waits.
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        filling.push(stream);
    }
    (listener, address, filling)
}

/// A busy machine may let the connection time out before there is room for it: then nothing was there to hold back,
/// and it is tried once more.
#[test]
fn connecting_part_past_lease_not_sent() {
    assert!((0..4).any(|_| waits_for_its_connection_past_the_lease()), "never held back");
}

/// Nothing may be sent, ever; true if the part was held back as its frame was to go out.
fn waits_for_its_connection_past_the_lease() -> bool {
    let mut fleet = Fleet::new(2, "");
    fleet.deadline = 3000.0;
    let (listener, address, filling) = slow_to_accept();
    let line = json!({"host": "s-0", "dial": address.to_string(), "site": "a", "class": "m", "block": 0,
        "health": "ready", "share": 1.0, "born_ms": 0});
    fleet.list = List::start(vec![line.clone()]);
    fleet.nodes = Vec::new();
    let (broker, other) = (fleet.start(0), fleet.start(1));
    // With a lease and no version yet.
    fleet.wait_alone(0, 0);
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "a", &[0], "2.9"));
    drop(other);
    fleet.wait_cut(0);
    // Only now is there room for the connection; its part must not come.
    drop(filling);
    listener.set_nonblocking(true).unwrap();
    let start = Instant::now();
    let mut came = Vec::new();
    while start.elapsed() < Duration::from_secs(4) {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
            let mut bytes = [0; 64];
            let count = stream.read(&mut bytes).unwrap_or(0);
            came.extend_from_slice(&bytes[..count]);
        }
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(String::from_utf8_lossy(&came), "");
    assert_ne!(client.answer().unwrap().status, 200);
    assert_eq!(sent_once(fleet.acts(0)), []);
    broker.said().contains("the active configuration forbids it")
}

#[test]
fn interrupted_fill_retried_and_settled_once() {
    let filler = Filler::start();
    let more = format!(
        "partner \"north\" zones=\"a\" customers=\"mill\" brokers=\"n0\"\npartner \"south\" zones=\"b\"\n\
         fills at=\"{}\" deadline=60.0 segment=\"1MiB\"",
        filler.address
    );
    let mut fleet = Fleet::new(1, &more);
    let mut rows: Vec<_> = fleet.nodes.iter().map(|node| node.line("ready")).collect();
    rows[2]["site"] = json!("b");
    fleet.list = List::start(rows);
    let holder = |node: &str, partner: &str, filled: bool, share: f64| json!({"node": node, "partner": partner, "filled": filled, "share": share});
    let with_holders = |number: u64, segment: u64, third: Option<Value>| {
        let mut version = version(number, &["s-0"]);
        for (id, at) in version["map"]["segments"].as_array_mut().unwrap().iter_mut().enumerate() {
            let mut holders = vec![holder("s-0", "north", true, 0.5), holder("s-1", "north", true, 0.5)];
            holders.extend(third.clone().filter(|_| id as u64 == segment));
            at["holders"] = json!(holders);
        }
        version
    };
    fleet.offer(0, &with_holders(1, 0, None));
    let mut broker = fleet.start(0);
    fleet.wait_alone(0, 1);
    // What south's node answers for north's customer is what north owes south.
    let mill = |i: usize| {
        let scan = scan("find", &format!("m{i}"), &[0, 1, 2, 3, 4, 5], "0.7");
        scan.replacen("X-Call-Id", "X-Caller: mill\r\nX-Call-Id", 1)
    };
    (0..10).for_each(|i| drop(Client::to(&broker).ask(&mill(i))));
    let most = fleet.nodes[2].frames('A').len() as u64 * "v-q1".len() as u64;
    assert!(most > 0, "south's node was never asked");
    thread::sleep(Duration::from_millis(1700));

    fleet.offer(0, &with_holders(2, 3, Some(holder("s-2", "south", false, 0.0))));
    broker.signal("HUP");
    let first = filler.wait(1);
    assert_eq!(
        (&first[0]["segment"], &first[0]["holder"], &first[0]["id"]),
        (&json!(3), &json!("s-2"), &json!("2/3/s-2"))
    );
    broker.quiet = true;
    broker.signal("KILL");
    drop(broker);
    let broker = fleet.start(0);
    let again = filler.wait(2);
    assert_eq!(again[1]["id"], first[0]["id"]);
    // The fill of before the crash has come to its end meanwhile.
    filler.answers.store(true, Ordering::Relaxed);
    fleet.wait_alone(0, 2);
    let settled = |acts: Vec<AuditRecord>| -> Vec<(String, String, u64)> {
        let settled = acts.into_iter().filter_map(|line| match line.event {
            AuditEvent::Settled { id, debtor, bytes, .. } => Some((id, debtor, bytes)),
            _ => None,
        });
        settled.collect()
    };
    let settled = settled(fleet.acts(0));
    let [(id, debtor, bytes)] = &settled[..] else { panic!("{settled:?}") };
    assert_eq!((id.as_str(), debtor.as_str()), ("2/3/s-2@fleet", "north"));
    // What was given up before it came in full is not counted.
    assert!((1..=most).contains(bytes), "{bytes} of {most}");
    assert!(broker.said().contains("settled 2/3/s-2@fleet"));
}
