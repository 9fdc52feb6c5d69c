//! Clients of a sound node beside nodes that send without end, as fast as the broker reads: latency, and the event loop's turns.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::RunOptions;
use crate::report::ExperimentReport;
use crate::stand_ins::{
    Broker, Client, DiscoveryServer, Node, broker_program, config, launch_command, query_request,
    scratch_path,
};

/// Number of nodes; each holds one segment, and no other node holds it.
const NODES: usize = 6;
/// Numbers of nodes that send without end: none, one, a third, and all but one.
const ENDLESS_NODES: [usize; 4] = [0, 1, NODES / 3, NODES - 1];
/// Number of requests of the measured client in each case, in a full and in a quick run.
const REQUESTS: usize = 20_000;
const QUICK_REQUESTS: usize = 2_000;
/// Pause of the clients that query the other nodes, after each request.
const OTHER_CLIENT_PAUSE: Duration = Duration::from_millis(5);
/// Length of a frame of a node that sends without end.
const FRAME_BYTES: usize = 60_000;
/// Largest ratio of the 99.9th percentile to that without endless nodes.
const MAX_LATENCY_RATIO: f64 = 1.1;
/// Longest turn of the event loop, in milliseconds.
const MAX_TURN_MS: f64 = 10.0;

/// What was measured beside a number of endless nodes.
struct Measurement {
    median_ms: f64,
    p999_ms: f64,
    longest_turn_ms: f64,
}

/// Starts a node that answers each connection with frames without end; returns its row of an endpoint list.
fn start_endless_node(name: &str) -> std::io::Result<Value> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || send_without_end(stream));
        }
    });
    Ok(
        json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m", "block": 0, "health": "ready",
        "share": 1.0, "born_ms": 0}),
    )
}

/// Waits for a first byte, and then sends frames until the broker hangs up.
fn send_without_end(mut stream: TcpStream) -> std::io::Result<()> {
    stream.read_exact(&mut [0])?;
    let content = format!("Enobody.0 hit 1 -\n{}", "v".repeat(FRAME_BYTES));
    let frame = [&(content.len() as u32).to_be_bytes()[..], content.as_bytes()].concat();
    loop {
        stream.write_all(&frame)?;
    }
}

/// Queries the segment at intervals until `is_over`. What becomes of the queries does not matter.
fn query_until(broker: &Broker, segment: usize, is_over: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (mut client, is_over) = (Client::connect(broker), is_over.clone());
    thread::spawn(move || {
        for number in 0.. {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            client.try_request(&query_request("find", &format!("o{segment}-{number}"), &[segment], "0.3"));
            thread::sleep(OTHER_CLIENT_PAUSE);
        }
    })
}

/// Returns the longest turn that the counters in a log name, in milliseconds.
fn longest_turn_ms(log: &str) -> f64 {
    let times =
        log.lines().filter_map(|line| line.split_once("event loop counters")?.1.split_once("max_ms="));
    times.filter_map(|(_, time)| time.trim().parse().ok()).fold(0.0, f64::max)
}

/// Measures a client of the first node beside this many endless nodes.
fn measure(endless_nodes: usize, requests: usize) -> anyhow::Result<Measurement> {
    let mut nodes = Vec::new();
    let mut rows = Vec::new();
    for number in 0..NODES {
        let name = format!("s-{number}");
        let mut row = if number >= NODES - endless_nodes {
            start_endless_node(&name)?
        } else {
            nodes.push(Node::start(&name));
            nodes[number].endpoint("ready")
        };
        row["block"] = json!(number);
        rows.push(row);
    }
    let list = DiscoveryServer::start(rows.clone());
    let mut config = config(list.address, rows);
    config["log"] = json!("info");
    let family = &mut config["settings"]["familyInfo"];
    (family["cells"], family["slabs"]) = (json!(NODES), json!(NODES));
    let operator_file = scratch_path("kdl");
    std::fs::write(&operator_file, "counters every=0.2\n")?;
    let mut command = Command::new(broker_program());
    command.arg("run").arg("--operator").arg(&operator_file);
    let mut broker = Broker::wait_until_listening(launch_command(command, &config));
    broker.suppress_log = true;
    std::fs::remove_file(&operator_file)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (1..NODES).map(|segment| query_until(&broker, segment, &is_over)).collect();
    let mut client = Client::connect(&broker);
    let mut latencies = Histogram::<u64>::new(3)?;
    for number in 0..requests {
        let started_at = Instant::now();
        let answer = client.request(&query_request("find", &format!("c{number}"), &[0], "2.0"));
        anyhow::ensure!(answer.status == 200, "beside {endless_nodes} endless nodes: {answer:?}");
        latencies.record(started_at.elapsed().as_nanos() as u64)?;
    }
    is_over.store(true, Ordering::SeqCst);
    others.into_iter().for_each(|other| drop(other.join()));
    let milliseconds = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1e6;
    Ok(Measurement {
        median_ms: milliseconds(0.5),
        p999_ms: milliseconds(0.999),
        longest_turn_ms: longest_turn_ms(&broker.log_text()),
    })
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let requests = if options.quick { QUICK_REQUESTS } else { REQUESTS };
    let mut report = ExperimentReport::default();
    let mut undisturbed_ms = None;
    for endless_nodes in ENDLESS_NODES {
        let measured = measure(endless_nodes, requests)?;
        let undisturbed_ms = *undisturbed_ms.get_or_insert(measured.p999_ms);
        let name = |value: &str| format!("{endless_nodes} of {NODES} nodes send without end: {value}");
        report.add_value(name("median"), measured.median_ms, "ms");
        report.add_value(name("p99.9"), measured.p999_ms, "ms");
        let ratio = measured.p999_ms / undisturbed_ms;
        report.add_bounded_value(name("p99.9 against none"), ratio, MAX_LATENCY_RATIO, "");
        report.add_bounded_value(name("longest turn"), measured.longest_turn_ms, MAX_TURN_MS, "ms");
    }
    Ok(report)
}
