//! What is left of a connection after its turn is handled in the next iterations of the event loop, without a further
//! event; and a turn that takes long is logged.

use std::io::{Read, Write};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{
    Broker, Client, DiscoveryServer, Node, broker_program, config, launch_command, scratch_path,
};
use serde_json::json;

/// Number of requests that a client sends at once: several hundred turns.
const REQUESTS: usize = 5_000;
/// Longest time for all answers. Waiting for an event after each turn would take several times as long.
const MAX_WAIT: Duration = Duration::from_secs(10);
const READINESS_CHECK: &str = "GET /ready HTTP/1.1\r\n\r\n";
/// How long the broker's process is stopped at a time; longer than the turns that are logged.
const STOP: Duration = Duration::from_millis(100);

/// Guards against a client whose turn has ended and who is forgotten, or served again only after a wait.
#[test]
fn pipelined_requests_are_all_answered() {
    let (broker, _list) = Broker::start_with_nodes(&[Node::start("s-0")]);
    let mut client = Client::connect(&broker);
    let mut sender = client.stream.try_clone().unwrap();
    let started_at = Instant::now();
    thread::spawn(move || sender.write_all(READINESS_CHECK.repeat(REQUESTS).as_bytes()));
    for number in 0..REQUESTS {
        assert_eq!(client.read_response().map(|answer| answer.status), Some(200), "{number}");
        assert!(started_at.elapsed() < MAX_WAIT, "{number} answers");
    }
}

/// The process is stopped while a client keeps it busy, so that most stops lie within a turn.
#[test]
fn long_turn_is_logged_with_its_client() {
    let (broker, _list) = Broker::start_with_nodes(&[Node::start("s-0")]);
    let client = Client::connect(&broker);
    let (mut sender, mut receiver) = (client.stream.try_clone().unwrap(), client.stream.try_clone().unwrap());
    thread::spawn(move || while sender.write_all(READINESS_CHECK.repeat(REQUESTS).as_bytes()).is_ok() {});
    thread::spawn(move || while receiver.read(&mut [0; 65_536]).is_ok_and(|count| count > 0) {});
    let started_at = Instant::now();
    while !broker.log_text().contains("event loop: long turn: client ") {
        assert!(started_at.elapsed() < MAX_WAIT, "not logged");
        broker.signal("STOP");
        thread::sleep(STOP);
        broker.signal("CONT");
        thread::sleep(STOP);
    }
}

#[test]
fn counters_report_times_of_turns_and_malformed_messages() {
    let node = Node::start("s-0");
    let rows = vec![node.endpoint("ready")];
    let list = DiscoveryServer::start(rows.clone());
    let operator_file = scratch_path("kdl");
    std::fs::write(&operator_file, "counters every=0.1\n").unwrap();
    let mut command = Command::new(broker_program());
    command.arg("run").arg("--operator").arg(&operator_file);
    let mut config = config(list.address, rows);
    config["log"] = json!("info");
    let broker = Broker::wait_until_listening(launch_command(command, &config));
    std::fs::remove_file(&operator_file).unwrap();
    let mut client = Client::connect(&broker);
    let started_at = Instant::now();
    let has_count = |line: &str| {
        let count = line.split_once("event loop counters turns=")?.1.split(' ').next()?;
        count.parse().ok().filter(|count: &u64| *count > 0)
    };
    while !broker.log_text().lines().any(|line| has_count(line).is_some()) {
        assert!(started_at.elapsed() < MAX_WAIT, "{}", broker.log_text());
        assert_eq!(client.request(READINESS_CHECK).status, 200);
    }
    assert!(broker.log_text().contains("malformed messages clients=0 nodes=0 prefilter=0 discovery=0"));
    assert_eq!(client.request("what is this\r\n\r\n").status, 400);
    while !broker.log_text().contains("malformed messages clients=1 nodes=0 prefilter=0 discovery=0") {
        assert!(started_at.elapsed() < MAX_WAIT, "{}", broker.log_text());
        thread::sleep(Duration::from_millis(10));
    }
}
