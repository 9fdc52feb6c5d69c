//! Golden files: what the program shows outside, as it was shown before its sources were renamed. Values that differ from
//! run to run are masked. The files under `tests/data/golden` never change; a difference is a change of behaviour.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::search_cluster::{self, NodeProtocol, SearchCluster, http_request};
use dunepond_testkit::stand_ins::{
    self, Broker, Client, DiscoveryServer, Node, NodeBehavior, config, query_request,
};
use serde_json::{Value, json};

/// Longest that anything here waits for what must come.
const PATIENCE: Duration = Duration::from_secs(10);

/// Compares what was seen with its golden file; what differs is written beside the build's files.
fn check(name: &str, seen: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name);
    let golden = std::fs::read_to_string(&file).unwrap_or_default();
    if seen != golden {
        let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&written, seen).unwrap();
        let lines = golden.lines().map(Some).chain(std::iter::repeat(None));
        let differs = seen.lines().zip(lines).find(|(seen, golden)| Some(*seen) != *golden);
        panic!("{name} differs, seen is {}: {differs:?}", written.display());
    }
}

/// Replaces the number behind each of these words.
fn masked(text: &str, words: &[&str]) -> String {
    words.iter().fold(text.to_string(), |text, word| {
        let mut pieces = text.split(word);
        let mut out = pieces.next().unwrap_or_default().to_string();
        for piece in pieces {
            let rest = piece.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
            out += word;
            out += if rest.len() < piece.len() { "<n>" } else { "" };
            out += rest;
        }
        out
    })
}

/// Replaces all numbers but those behind a dash, which belong to a name.
fn without_numbers(text: &str) -> String {
    let (mut out, mut in_name, mut in_number) = (String::new(), false, false);
    for c in text.chars() {
        let digit = c.is_ascii_digit();
        in_name = digit && (in_name || out.ends_with('-'));
        let masks = !in_name && (digit || in_number && c == '.');
        if !masks {
            out.push(c);
        } else if !in_number {
            out += "<n>";
        }
        in_number = masks;
    }
    out
}

/// Sends a request on a connection of its own and reads one final answer, and what comes before it, as they are.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    read_answer(&mut BufReader::new(stream))
}

/// `None` where the connection ends first.
fn try_read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

fn read_head(reader: &mut impl BufRead) -> String {
    try_read_head(reader).expect("a head")
}

fn read_body(reader: &mut impl Read, head: &str) -> String {
    let length =
        head.split_once("Content-Length: ").map_or("0", |(_, rest)| rest.split('\r').next().unwrap());
    let mut body = vec![0; length.parse().unwrap()];
    reader.read_exact(&mut body).unwrap();
    String::from_utf8(body).unwrap()
}

fn read_answer(reader: &mut impl BufRead) -> String {
    let head = read_head(reader);
    if head.starts_with("HTTP/1.1 100 ") {
        return head + &read_answer(reader);
    }
    let body = read_body(reader, &head);
    head + &body
}

/// Answers under their labels, with the ends of lines made visible.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn put(&mut self, label: &str, text: &str) {
        let mut text = masked(text, &["\"took\":"]);
        if text.contains("\"took\":") {
            text = masked(&text, &["Content-Length: "]);
        }
        self.0 += &format!("== {label}\n{}\n\n", text.replace("\r\n", "\\r\\n\n"));
    }

    fn ask(&mut self, label: &str, address: SocketAddr, request: &str) {
        self.put(label, &exchange(address, request));
    }
}

fn nodes(count: usize) -> Vec<Node> {
    (0..count).map(|i| Node::start(&format!("s-{i}"))).collect()
}

/// A broker with an operator's file, before nodes at these addresses.
fn broker_by(kdl: &str, lines: Vec<Value>, change: impl FnOnce(&mut Value)) -> (Broker, DiscoveryServer) {
    let list = DiscoveryServer::start(lines.clone());
    let mut config = config(list.address, lines);
    change(&mut config);
    let file = stand_ins::scratch_path("kdl");
    std::fs::write(&file, kdl).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
    command.arg("run").arg("--operator").arg(&file);
    let broker = Broker::from_child(stand_ins::launch_command(command, &config));
    std::fs::remove_file(&file).unwrap();
    (broker, list)
}

fn line(name: &str, address: SocketAddr) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m", "block": 0, "health": "ready",
        "share": 1.0, "born_ms": 0})
}

#[test]
fn answers_that_serve() {
    let nodes = nodes(2);
    let (broker, _list) = Broker::start_for(&nodes);
    let (at, mut seen) = (broker.address, Transcript::default());
    seen.ask("whole", at, &query_request("find", "c1", &[3, 5], "2.0"));
    seen.ask(
        "whole, without the table type's header",
        at,
        &query_request("find", "c2", &[3], "2").replace("X-Call-Class: find\r\n", ""),
    );
    seen.ask(
        "whole, of a client that the settings do not list",
        at,
        &query_request("find", "c3", &[3], "2").replace("X-Budget", "X-Caller: p9\r\nX-Budget"),
    );
    seen.ask(
        "whole, sent again",
        at,
        &query_request("find", "c4", &[3], "2").replace("X-Budget", "X-Again: 1\r\nX-Budget"),
    );
    seen.ask(
        "whole, to be closed",
        at,
        &query_request("find", "c5", &[3], "2").replace("X-Budget", "Connection: close\r\nX-Budget"),
    );
    seen.ask("whole, HTTP/1.0", at, &query_request("find", "c6", &[3], "2").replace("HTTP/1.1", "HTTP/1.0"));
    seen.ask(
        "whole, HTTP/1.0, kept",
        at,
        &query_request("find", "c7", &[3], "2")
            .replace("HTTP/1.1", "HTTP/1.0")
            .replace("X-Budget", "Connection: keep-alive\r\nX-Budget"),
    );
    seen.ask(
        "whole, expecting to go on",
        at,
        &query_request("find", "c8", &[3], "2").replace("X-Budget", "Expect: 100-continue\r\nX-Budget"),
    );
    seen.ask("ready", at, "GET /ready HTTP/1.1\r\n\r\n");
    nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::HangForShard(1)));
    seen.ask("partial", at, &query_request("find", "c9", &[0, 1], "0.8"));
    check("answers-served.txt", &seen.0);
}

/// The wait of a rejection depends on what the decision has seen.
fn without_wait(answer: &str) -> String {
    masked(answer, &["Retry-After: "])
}

#[test]
fn answers_that_reject_or_fail() {
    let mut seen = Transcript::default();
    for (label, manner, table_type) in [
        ("rejected by the nodes' overload, idempotent", NodeBehavior::ReplyStatus("overload"), "find"),
        ("rejected by the nodes' overload, not idempotent", NodeBehavior::ReplyStatus("overload"), "fix"),
        ("failed, outcome unknown, by a fault", NodeBehavior::ReplyStatus("fault"), "fix"),
        ("failed, outcome unknown, by a break", NodeBehavior::CloseMidFrame, "fix"),
        ("failed, outcome unknown, by silence", NodeBehavior::Hang, "fix"),
    ] {
        let nodes = nodes(1);
        nodes[0].set_behavior(manner);
        let (broker, _list) = Broker::start_for(&nodes);
        seen.put(
            label,
            &without_wait(&exchange(broker.address, &query_request(table_type, "c1", &[2], "1.0"))),
        );
    }
    let (broker, _list) = Broker::start_for(&[]);
    seen.put(
        "rejected without nodes",
        &without_wait(&exchange(broker.address, &query_request("find", "c1", &[0], "2.0"))),
    );
    seen.ask("not ready", broker.address, "GET /ready HTTP/1.1\r\n\r\n");
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (broker, _list) = Broker::start_for_with(&nodes, "/settings/ceilings/mostHeld", json!(4));
    let mut first = Client::connect(&broker);
    first.send(&query_request("find", "c1", &[0, 1, 2], "2.0"));
    nodes[0].wait_for_frames('A', 3);
    seen.ask("rejected, as too much is held", broker.address, &query_request("find", "c2", &[0], "2.0"));
    broker.signal("TERM");
    let start = Instant::now();
    let ready = loop {
        let answer = exchange(broker.address, "GET /ready HTTP/1.1\r\n\r\n");
        if answer.starts_with("HTTP/1.1 503 ") {
            break answer;
        }
        assert!(start.elapsed() < PATIENCE, "{answer}");
    };
    seen.put("not ready after SIGTERM", &ready.replace("Connection: close\r\n", ""));
    check("answers-rejected.txt", &seen.0);
}

#[test]
fn answers_to_what_is_malformed() {
    let nodes = nodes(1);
    let (broker, _list) = Broker::start_for(&nodes);
    let (at, mut seen) = (broker.address, Transcript::default());
    let good = |id: &str| query_request("find", id, &[1], "2");
    let three = query_request("find", "c1", &[1, 2, 3], "2");
    let chunked = "POST /find HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (label, request) in [
        ("path", query_request("lost", "c1", &[0], "2")),
        ("shard", query_request("find", "c1", &[6], "2")),
        ("shard twice", query_request("find", "c1", &[1, 1], "2")),
        ("no parts", query_request("find", "c1", &[], "2")),
        ("budget", query_request("find", "c1", &[1], "soon")),
        ("budget spent", query_request("find", "c1", &[1], "0")),
        ("budget infinite", query_request("find", "c1", &[1], "inf")),
        ("share", good("c1").replace("1.0}", "1.5}")),
        ("shares do not add up", three.replace("0.33", "0.43")),
        ("call id", good("")),
        ("call id too long", good(&"c".repeat(201))),
        ("table type", good("c1").replace("Class: find", "Class: fix")),
        ("not JSON", good("c1").replace("{\"b", "<\"b")),
        ("key twice", good("c1").replace("\"body\":\"q1\"", "\"body\":1,\"body\":2")),
        ("body not a text", good("c1").replace("\"q1\"", "1234")),
        ("method", "GET /find HTTP/1.1\r\n\r\n".to_string()),
        ("method of /ready", "POST /ready HTTP/1.1\r\n\r\n".to_string()),
        ("no HTTP", "lunch?\r\n\r\n".to_string()),
        ("too long", "POST /find HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_string()),
        ("length", "POST /find HTTP/1.1\r\nContent-Length: +1\r\n\r\n".to_string()),
        ("two lengths", "POST /find HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".to_string()),
        ("length and chunks", "POST /find HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".to_string()),
        ("coding", "POST /find HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n".to_string()),
        ("no chunk", format!("{chunked}zz\r\n")),
        ("huge chunk", format!("{chunked}10001\r\n")),
        ("overlong chunk", format!("{chunked}2\r\nhello\r\n")),
        ("header not UTF-8", "POST /find HTTP/1.1\r\nX-Call-Id: \u{e4}\r\nX-Budget: 2\r\nContent-Length: 0\r\n\r\n".to_string()),
        ("endless head", format!("GET /a HTTP/1.1\r\nA: {}", "x".repeat(17 * 1024))),
        ("half a request", "POST /find HTTP/1.1\r\nX-Call-Id: c0\r\nContent-Length: 9\r\n\r\nhalf".to_string()),
        ("X-Buckets without bodies", "POST /find HTTP/1.1\r\nX-Call-Id: c1\r\nX-Budget: 2\r\nX-Buckets: 1=1.0\r\nContent-Length: 2\r\n\r\nq1".to_string()),
    ] {
        seen.ask(label, at, &request);
    }
    nodes[0].set_behavior(NodeBehavior::Hang);
    let mut first = Client::connect(&broker);
    first.send(&query_request("find", "c9", &[1], "2"));
    nodes[0].wait_for_frames('A', 1);
    seen.ask("call id in use", at, &good("c9"));
    check("answers-malformed.txt", &seen.0);
}

#[test]
fn answers_in_the_raw_form() {
    let nodes = nodes(1);
    let kdl = "bodies {\n    longest \"128KiB\"\n    memory one=\"64KiB\" all=\"4MiB\"\n    window \"128KiB\"\n    slowest 1.0\n}\n";
    let (broker, _list) = broker_by(kdl, vec![nodes[0].endpoint("ready")], |_| {});
    let (at, mut seen) = (broker.address, Transcript::default());
    let raw = |buckets: &str, body: &str| {
        format!(
            "POST /find HTTP/1.1\r\nX-Call-Id: c1\r\nX-Budget: 2\r\nX-Buckets: {buckets}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    seen.ask("whole", at, &raw("3=0.5,5=0.5", "q1"));
    seen.ask("whole, in chunks", at, "POST /find HTTP/1.1\r\nX-Call-Id: c2\r\nX-Budget: 2\r\nX-Buckets: 1=1.0\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nq1\r\n0\r\n\r\n");
    seen.ask("too long", at, &raw("1=1.0", &"x".repeat(128 * 1024 + 1)));
    seen.ask("shard", at, &raw("6=1.0", "q1"));
    seen.ask("shard twice", at, &raw("1=0.5,1=0.5", "q1"));
    seen.ask("share", at, &raw("1=1.5", "q1"));
    seen.ask("no share", at, &raw("1", "q1"));
    seen.ask("shares do not add up", at, &raw("1=0.5", "q1"));
    seen.ask("given twice", at, &raw("1=1.0\r\nX-Buckets: 2=1.0", "q1"));
    nodes[0].set_behavior(NodeBehavior::ReplyStatus("fault"));
    seen.put("failed", &without_wait(&exchange(at, &raw("1=1.0", "q1").replace("/find", "/fix"))));
    check("answers-raw.txt", &seen.0);
}

/// A node that shows each frame as it comes, answers scans, and says of all shards but the first that they cannot match.
struct Shown {
    address: SocketAddr,
    frames: Receiver<String>,
}

fn frame(letter: u8, rest: &str) -> Vec<u8> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest.as_bytes());
    frame
}

impl Shown {
    fn start(serves: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (to, frames) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let to = to.clone();
                thread::spawn(move || Self::attend(stream, serves, &to));
            }
        });
        Self { address, frames }
    }

    fn attend(mut stream: TcpStream, serves: bool, to: &Sender<String>) -> std::io::Result<()> {
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length)?;
            let mut rest = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut rest)?;
            let text = String::from_utf8(rest).unwrap();
            let (line, body) = text.split_once('\n').unwrap_or((&text, ""));
            let words: Vec<_> = line[1..].split(' ').collect();
            let _ = to.send(masked(&text, &[" d="]).replace('\n', "\\n\n"));
            match line.as_bytes()[0] {
                b'A' if serves => {
                    stream.write_all(&frame(b'E', &format!("{} hit 7 v=1,n=1\nv-{body}", words[0])))?;
                }
                b'P' if serves => {
                    let say = |shard: &str| format!("{shard} {} 1", if shard == "0" { "may" } else { "no" });
                    let said: Vec<_> = words[2].split(',').map(say).collect();
                    stream.write_all(&frame(b'Q', &format!("{}\n{}", words[0], said.join("\n"))))?;
                }
                _ => {}
            }
        }
    }

    fn next(&self) -> String {
        self.frames.recv_timeout(PATIENCE).unwrap()
    }
}

#[test]
fn frames_to_nodes() {
    let mut seen = Transcript::default();
    let node = Shown::start(false);
    let (broker, _list) = broker_by("", vec![line("s-0", node.address)], |_| {});
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[4], "2.5"));
    seen.put("a part", &node.next());
    drop(client);
    seen.put("given up", &node.next());
    let node = Shown::start(true);
    let (broker, _list) = broker_by("", vec![line("s-0", node.address)], |config| {
        config["settings"]["familyInfo"]["partsACall"] = json!(1);
    });
    seen.ask("answer", broker.address, &query_request("find", "c2", &[2], "2.5"));
    seen.put("its part", &node.next());
    check("frames.txt", &seen.0);
}

#[test]
fn questions_before_a_scan_and_what_was_left_out() {
    let mut seen = Transcript::default();
    let nodes = [Shown::start(true), Shown::start(true), Shown::start(true)];
    let lines = nodes.iter().enumerate().map(|(i, node)| line(&format!("s-{i}"), node.address)).collect();
    let (broker, _list) = broker_by("phases least-segments=6 share=0.9 audits=0\n", lines, |_| {});
    let answer = exchange(broker.address, &query_request("find", "c1", &[0, 1, 2, 3, 4, 5], "2.5"));
    // Which two nodes are asked is drawn.
    let answer = ["s-0", "s-1", "s-2"].iter().fold(answer, |answer, name| answer.replace(name, "s-?"));
    seen.put("answer", &answer);
    let mut frames: Vec<_> = nodes.iter().flat_map(|node| node.frames.try_iter()).collect();
    // So is which shards go into one question; each that was left out was asked about twice.
    let mut asked = [0; 6];
    for frame in frames.iter_mut().filter(|frame| frame.starts_with('P')) {
        let (line, text) = frame.split_once("\\n").unwrap();
        let (rest, shards) = line.rsplit_once(' ').unwrap();
        shards.split(',').for_each(|shard| asked[shard.parse::<usize>().unwrap()] += 1);
        *frame = masked(&format!("{rest} <shards>\\n{text}"), &["P"]);
    }
    assert!(asked[1..].iter().all(|count| *count == 2), "{asked:?}");
    frames.sort();
    frames.dedup();
    frames.iter().for_each(|frame| seen.put("frame", frame));
    check("questions.txt", &seen.0);
}

#[test]
fn requests_to_nodes_that_speak_the_api() {
    let listener = TcpListener::bind("127.0.0.2:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (to, requests) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let to: Sender<String> = to.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(head) = try_read_head(&mut reader) {
                    let body = read_body(&mut reader, &head);
                    let sorted = body.contains("\"sort\":[{");
                    let _ = to.send(head.replace(&address.to_string(), "<address>") + &body);
                    let body = if head.contains("_update_by_query") {
                        json!({"timed_out": false, "updated": 1, "failures": []})
                    } else {
                        let mut hit = json!({"_id": "a", "_score": 1.0, "_source": {"b": 1}});
                        if sorted {
                            hit["sort"] = json!([3]);
                        }
                        json!({"timed_out": false, "hits": {"total": {"value": 1, "relation": "eq"}, "max_score": 1.0,
                            "hits": [hit]}})
                    };
                    let body = body.to_string();
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    reader.get_mut().write_all(answer.as_bytes()).unwrap();
                }
            });
        }
    });
    let kdl = "search listen=\"127.0.0.1:0\" searches=20\nsearch-nodes \"127.0.0.2\"\n";
    let (broker, _list) = broker_by(kdl, vec![line("s-0", address)], |config| config["log"] = json!("info"));
    let api =
        broker.startup_log.lines().find_map(|line| line.split_once("the API listening at ")?.1.parse().ok());
    let api: SocketAddr = api.expect("the API's address in the log");
    let mut seen = Transcript::default();
    let next = || {
        let text = requests.recv_timeout(PATIENCE).unwrap();
        masked(&text, &["timeout=", "\"timeout\":\"", "X-Budget: "])
    };
    let body =
        "{\"query\":{\"match\":{\"text\":\"a\"}},\"size\":3,\"sort\":[{\"n\":\"desc\"}],\"_source\":[\"b\"]}";
    seen.ask("answer to a search", api, &http_request("POST", "/find/_search?routing=a", body));
    seen.put("its request", &next());
    seen.ask(
        "answer to an update",
        api,
        &http_request("POST", "/fix/_update_by_query?routing=a", "{\"query\":{\"match_all\":{}}}"),
    );
    seen.put("its request", &next());
    seen.ask("answer to a scan", broker.address, &query_request("find", "c1", &[2], "2.5"));
    seen.put("its request", &next());
    check("requests-to-api-nodes.txt", &seen.0);
}

#[test]
fn calls_to_discovery() {
    let node = Node::start("s-0");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let broker = Broker::start(&config(address, vec![node.endpoint("ready")]));
    let stream = listener.accept().unwrap().0;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut call = BufReader::new(stream);
    let mut seen = Transcript::default();
    let mut next = |label: &str, call: &mut BufReader<TcpStream>| {
        seen.put(label, &read_head(call).replace(&address.to_string(), "<address>"));
    };
    let say = |call: &mut BufReader<TcpStream>, list: Value| {
        let list = list.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        call.get_mut().write_all(answer.as_bytes()).unwrap();
    };
    next("the whole list", &mut call);
    say(&mut call, json!({"seq": 7, "whole": true, "hosts": [node.endpoint("ready")]}));
    next("a watch", &mut call);
    say(
        &mut call,
        json!({"seq": 9, "whole": false, "hosts": [{"host": "s-1", "health": "gone", "block": 0}]}),
    );
    next("the next watch", &mut call);
    assert_eq!(Client::connect(&broker).request(&query_request("find", "c1", &[0], "2.0")).status, 200);
    check("discovery.txt", &seen.0);
}

fn site(speech: &[NodeProtocol]) -> SearchCluster {
    SearchCluster::start_with_command(speech, "", |kdl| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
        command.arg("run").arg("--operator").arg(kdl);
        command
    })
}

#[test]
fn answers_at_the_api() {
    let site = site(&[NodeProtocol::Frames, NodeProtocol::Frames]);
    let mut seen = Transcript::default();
    let all = "{\"query\":{\"match_all\":{}},\"size\":2}";
    let msearch = "{}\n{\"size\":1}\n{\"index\":\"none\"}\n{}\n";
    for (label, method, target, body) in [
        ("info", "GET", "/", ""),
        ("health", "GET", "/_cluster/health", ""),
        ("search", "POST", "/all/_search", all),
        ("search by parameters", "GET", "/all/_search?q=a&size=1&track_total_hits=false", ""),
        ("count", "POST", "/all/_count", "{}"),
        ("several searches", "POST", "/all/_msearch", msearch),
        ("update", "POST", "/fix/_update_by_query", "{}"),
        ("no such index", "POST", "/none/_search", "{}"),
        ("no such path", "POST", "/all/_what", "{}"),
        ("method", "DELETE", "/all/_search", ""),
        ("parameter", "GET", "/all/_search?what=1", ""),
        ("key", "POST", "/all/_search", "{\"what\":1}"),
        ("not JSON", "POST", "/all/_search", "{"),
        ("searched that is updated", "POST", "/fix/_search", "{}"),
        ("updated that is searched", "POST", "/all/_update_by_query", "{}"),
    ] {
        seen.ask(label, site.api_address, &http_request(method, target, body));
    }
    seen.ask("no HTTP", site.api_address, "lunch?\r\n\r\n");
    seen.ask("too long", site.api_address, "POST /all/_search HTTP/1.1\r\nContent-Length: 65537\r\n\r\n");
    seen.ask(
        "budget",
        site.api_address,
        &http_request("POST", "/all/_search", "{}").replace("Host: a", "Host: a\r\nX-Budget: soon"),
    );
    seen.ask("half a request", site.api_address, "POST /all/_search HTTP/1.1\r\nContent-Length: 9\r\n\r\n{");
    check("answers-api.txt", &seen.0);
}

#[test]
fn answers_at_the_api_that_are_partial_rejected_or_fail() {
    let mut seen = Transcript::default();
    for (label, manner, target) in [
        (
            "partial",
            search_cluster::SearchNodeBehavior::HangOddSegments,
            "/find/_search?timeout=800ms&size=1",
        ),
        ("rejected", search_cluster::SearchNodeBehavior::Refuse, "/all/_search?timeout=1s"),
        ("rejected update", search_cluster::SearchNodeBehavior::Refuse, "/fix/_update_by_query?timeout=1s"),
        ("failed update", search_cluster::SearchNodeBehavior::Fault, "/fix/_update_by_query?timeout=1s"),
    ] {
        let site = site(&[NodeProtocol::Frames]);
        site.nodes.iter().for_each(|node| node.set_behavior(manner));
        seen.put(label, &without_wait(&exchange(site.api_address, &http_request("POST", target, "{}"))));
    }
    check("answers-api-rejected.txt", &seen.0);
}

fn dunepond(args: &[&str]) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_dunepond-broker")).args(args).output().unwrap();
    format!("succeeds: {}\n{}", out.status.success(), String::from_utf8_lossy(&out.stdout))
}

/// The errors' first word is the program's name, which is not pinned here.
fn faults(args: &[&str]) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_dunepond-broker")).args(args).output().unwrap();
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    let lines = text.lines().map(|line| line.split_once(": ").map_or(line, |(_, rest)| rest));
    format!("succeeds: {}\n{}", out.status.success(), lines.collect::<Vec<_>>().join("\n"))
}

fn copied(from: &Path, to: &Path) {
    std::fs::create_dir(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

#[test]
fn state_show_and_check() {
    let folder = stand_ins::scratch_path("golden-state");
    std::fs::create_dir(&folder).unwrap();
    let path = folder.to_str().unwrap().to_string();
    let mut seen = Transcript::default();
    let mut put = |label: &str, text: &str| seen.put(label, &without_numbers(&text.replace(&path, "FOLDER")));
    put("an empty folder", &dunepond(&["state", "show", &path]));
    put("an empty folder, checked", &dunepond(&["state", "check", &path]));
    let nodes = nodes(2);
    let lines: Vec<_> = nodes.iter().map(|node| node.endpoint("ready")).collect();
    let (mut broker, _list) = broker_by(&format!("state folder={folder:?} every=0.1\n"), lines, |_| {});
    let mut client = Client::connect(&broker);
    (0..20).for_each(|i| drop(client.request(&query_request("find", &format!("c{i}"), &[i % 6], "2.0"))));
    let start = Instant::now();
    while !dunepond(&["state", "show", &path]).contains("beliefs of 2 nodes") {
        assert!(start.elapsed() < PATIENCE);
        thread::sleep(Duration::from_millis(20));
    }
    put("beside a broker", &dunepond(&["state", "show", &path]));
    broker.signal("TERM");
    assert_eq!(broker.exit_code(), Some(0));
    put("after a broker", &dunepond(&["state", "show", &path]));
    put("after a broker, checked", &dunepond(&["state", "check", &path]));
    let mut names: Vec<PathBuf> =
        std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    names.sort();
    let names: Vec<_> = names.iter().map(|path| path.file_name().unwrap().to_str().unwrap()).collect();
    put("its files", &names.join("\n").replace("beliefs-", "beliefs-N"));
    let journal = folder.join("debts.journal");
    let mut bytes = std::fs::read(&journal).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    std::fs::write(&journal, bytes).unwrap();
    put("damaged", &dunepond(&["state", "show", &path]));
    put("damaged, checked", &faults(&["state", "check", &path]));
    std::fs::remove_dir_all(&folder).unwrap();
    check("state.txt", &seen.0);
}

/// A folder of a broker from before the renaming, and how it is shown now: of its age nothing is pinned.
#[test]
fn a_folder_of_an_earlier_build_is_read() {
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden/state");
    let folder = stand_ins::scratch_path("golden-folder");
    copied(&golden, &folder);
    let path = folder.to_str().unwrap().to_string();
    let checked = dunepond(&["state", "check", &path]).replace(&path, "FOLDER");
    let shown = dunepond(&["state", "show", &path]);
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(checked, "succeeds: true\nFOLDER: nothing is wrong with it\n");
    assert!(shown.contains("beliefs of 3 nodes") && shown.contains("debts: ended in order"), "{shown}");
    assert!((0..3).all(|i| shown.contains(&format!("  s-{i} at 127.0.0.1:"))), "{shown}");
}

/// The counters' names in the log, in their order.
#[test]
fn counters() {
    let folder = stand_ins::scratch_path("golden-counters");
    std::fs::create_dir(&folder).unwrap();
    let nodes = nodes(1);
    let kdl = format!(
        "bodies {{\n    longest \"128KiB\"\n    memory one=\"64KiB\" all=\"4MiB\"\n    window \"128KiB\"\n    slowest 1.0\n}}\n\
         phases least-segments=6 share=0.9 audits=0\nstate folder={folder:?} every=0.1\ncounters every=0.2\n"
    );
    let (broker, _list) = broker_by(&kdl, vec![nodes[0].endpoint("ready")], |_| {});
    let kinds = [" INFO counters ", " INFO two-phase counters ", " INFO background counters "];
    let start = Instant::now();
    let line = |kind: &str| {
        let said = broker.log_text();
        said.lines().rfind(|line| line.contains(kind) && !line.contains("work=\"\"")).map(str::to_string)
    };
    while !kinds.iter().all(|kind| line(kind).is_some()) {
        assert!(start.elapsed() < PATIENCE, "{}", broker.log_text());
        thread::sleep(Duration::from_millis(20));
    }
    let mut seen = Transcript::default();
    for kind in kinds {
        let line = line(kind).unwrap();
        let (_, fields) = line.split_once(kind).unwrap();
        let names = fields.split(' ').filter_map(|field| Some(field.split_once('=')?.0));
        seen.put(kind.trim(), &names.collect::<Vec<_>>().join("\n"));
    }
    drop(broker);
    std::fs::remove_dir_all(&folder).unwrap();
    check("counters.txt", &seen.0);
}
