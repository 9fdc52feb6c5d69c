//! The shutdown test: broker processes are shut down one after the other while clients keep using their open connections.
//!
//! Each broker gets a SIGTERM, and a SIGKILL at the earliest time that the protocol specification allows. The requests and the
//! attempts at the nodes are then checked against the rules for a shutdown. Each run follows a plan that is drawn from a seed.

mod client;
mod plan;
mod process_record;
mod report;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use std::{iter, thread};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::hostile_clients::{self, Answers, HostileClients, Pace, RunningClients};
use crate::stand_ins::{self, Broker, DiscoveryServer, Node};
use client::{BrokerEndpoint, Client};
pub use client::{ClientBehavior, Request};
pub use plan::{BrokerPlan, Pause, ShutdownPlan};
pub use process_record::{ProcessRecord, SentSignal, ThreadState};
pub use report::{AttemptTimes, ShutdownReport, ViolatedRequest, Violation};
use report::{BrokerTimeline, RunConditions, StopInterval};

/// Time for which clients send requests before the first SIGTERM.
const WARM_UP_TIME: Duration = Duration::from_millis(700);
const READINESS_CHECK: &str = "GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n";
/// Maximum number of queries and parts in flight at a broker.
const MAX_IN_FLIGHT: usize = 600;

/// Returns the configuration of the plan's brokers. `endpoints` are the nodes that they know at the start.
fn config(plan: &ShutdownPlan, discovery: &DiscoveryServer, endpoints: Vec<Value>) -> Value {
    let mut config = stand_ins::config(discovery.address, endpoints);
    config["log"] = json!("info");
    config["limits"]["sockets"] = json!(plan.max_file_descriptors);
    config["settings"]["ceilings"]["mostHeld"] = json!(MAX_IN_FLIGHT);
    stand_ins::set_timeouts(&mut config, 1000.0 * plan.timeout.as_secs_f64());
    config
}

/// Sends a signal to a broker's process, which may have ended already.
fn send_signal(broker: &Broker, signal: Signal) {
    // A process that has already ended is reaped only after the run, so its process id cannot be reused meanwhile.
    let _ = kill(Pid::from_raw(broker.pid() as i32), signal);
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns the signals that a broker gets after its first SIGTERM, the kill included, ordered by time. Times are counted from
/// the first SIGTERM.
fn signal_schedule(plan: &BrokerPlan, kill_after: Duration) -> Vec<(Duration, Signal)> {
    let mut schedule = plan.signals.clone();
    for pause in &plan.pauses {
        // `shut_down` begins a pause at zero itself, since it sends that SIGSTOP before the first SIGTERM.
        if !pause.from.is_zero() {
            schedule.push((pause.from, Signal::SIGSTOP));
        }
        schedule.push((pause.from + pause.duration, Signal::SIGCONT));
    }
    schedule.retain(|(at, _)| *at < kill_after);
    schedule.push((kill_after, Signal::SIGKILL));
    schedule.sort_by_key(|(at, _)| *at);
    schedule
}

/// Sends a broker all planned signals from the SIGHUP before the first SIGTERM to the kill. Returns when those after the first
/// SIGTERM were sent, and the timeline that the requests are checked against.
fn shut_down(
    broker: &Broker,
    plan: &BrokerPlan,
    endpoint: &BrokerEndpoint,
) -> (Vec<SentSignal>, BrokerTimeline) {
    if let Some(before) = plan.reload_before {
        send_signal(broker, Signal::SIGHUP);
        thread::sleep(before);
    }
    let mut stopped_at = None;
    let (mut sent_signals, mut stops) = (Vec::new(), Vec::new());
    if plan.pauses.first().is_some_and(|pause| pause.from.is_zero()) {
        send_signal(broker, Signal::SIGSTOP);
        stopped_at = Some(Instant::now());
    }
    let signalled_at = Instant::now();
    send_signal(broker, Signal::SIGTERM);
    let _ = endpoint.signalled_at.set(signalled_at);
    for (after, signal) in signal_schedule(plan, endpoint.kill_after) {
        sleep_until(signalled_at + after);
        // Read before the times of a stop are taken, since reading takes long on a busy machine.
        let threads = ThreadState::read_all(broker.pid());
        match signal {
            Signal::SIGSTOP => stopped_at = Some(Instant::now()),
            Signal::SIGCONT => {
                stops.extend(stopped_at.take().map(|from| StopInterval { from, until: Instant::now() }))
            }
            _ => {}
        }
        sent_signals.push(SentSignal { after: signalled_at.elapsed(), signal, threads });
        send_signal(broker, signal);
    }
    let longest_pause = plan.longest_pause();
    (sent_signals, BrokerTimeline { signalled_at, killed_at: Instant::now(), longest_pause, stops })
}

/// Returns the times at which attempts arrived at the nodes, by the part's id.
fn attempts_at(nodes: &[Node]) -> AttemptTimes {
    let mut attempts = BTreeMap::new();
    for (at, id) in nodes.iter().flat_map(Node::part_arrivals) {
        attempts.entry(id).or_insert_with(Vec::new).push(at);
    }
    attempts
}

/// Starts a broker and waits until it listens. Its log is not printed when it ends.
fn launch(program: &Path, config: &Value) -> Broker {
    let mut broker = Broker::wait_until_listening(stand_ins::launch_command(Command::new(program), config));
    broker.suppress_log = true;
    broker
}

/// Number of runs at the same time. Each has a few brokers and about eighty clients, which mostly wait.
const MAX_CONCURRENT_RUNS: usize = 3;

/// Draws and runs the plan of each seed, several at the same time. Returns the plans with their reports, ordered by seed.
pub fn run_seeds(program: &Path, seeds: Range<u64>) -> Vec<(ShutdownPlan, ShutdownReport)> {
    let next_seed = AtomicU64::new(seeds.start);
    let worker = || {
        let seeds = iter::from_fn(|| {
            Some(next_seed.fetch_add(1, Ordering::Relaxed)).filter(|seed| seeds.contains(seed))
        });
        let plans = seeds.map(ShutdownPlan::draw);
        plans.map(|plan| (plan.clone(), run_plan(program, &plan))).collect::<Vec<_>>()
    };
    let mut results: Vec<_> = thread::scope(|scope| {
        let workers: Vec<_> = (0..MAX_CONCURRENT_RUNS).map(|_| scope.spawn(worker)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a worker panicked during a shutdown run"))
            .collect()
    });
    results.sort_by_key(|(plan, _)| plan.seed);
    results
}

/// Runs one plan with brokers of this executable and returns the report.
pub fn run_plan(program: &Path, plan: &ShutdownPlan) -> ShutdownReport {
    let nodes: Vec<_> = (0..plan.node_count).map(|i| Node::start(&format!("s-{i}"))).collect();
    let endpoints: Vec<_> = nodes.iter().map(|node| node.endpoint("ready")).collect();
    let discovery = DiscoveryServer::start(endpoints.clone());
    let config = config(plan, &discovery, endpoints);
    let mut brokers: Vec<_> = plan.brokers.iter().map(|_| launch(program, &config)).collect();
    let endpoints: Vec<_> = brokers
        .iter()
        .enumerate()
        .map(|(index, broker)| broker_endpoint(plan, index, broker.address))
        .collect();
    let _idle_connections = open_idle_connections(plan, &endpoints);
    let clients = start_clients(plan, &endpoints);
    let flood = start_flood(plan, &endpoints);
    let first_signal_at = Instant::now() + WARM_UP_TIME;
    let (signals, timelines): (Vec<_>, Vec<_>) = thread::scope(|scope| {
        scope.spawn(|| start_misbehavior(plan, &nodes, &discovery, first_signal_at));
        let mut shutdowns = Vec::new();
        for (index, broker) in brokers.iter().enumerate() {
            let (broker_plan, endpoint) = (&plan.brokers[index], &endpoints[index]);
            shutdowns.push(scope.spawn(move || {
                sleep_until(first_signal_at + plan.signal_interval * index as u32);
                shut_down(broker, broker_plan, endpoint)
            }));
        }
        shutdowns
            .into_iter()
            .map(|shutdown| shutdown.join().expect("the shutdown of a broker panicked"))
            .unzip()
    });
    let requests = clients.into_iter().flat_map(|client| client.join().expect("a client panicked"));
    let requests = requests.collect();
    flood.into_iter().for_each(|clients| drop(clients.stop()));
    let mut report = ShutdownReport::default();
    for broker in &mut brokers {
        match broker.exit_code() {
            None => report.killed_broker_count += 1,
            Some(0) => {}
            Some(_) => report.failed_broker_count += 1,
        }
    }
    let conditions =
        RunConditions { brokers: timelines, timeout: plan.timeout, nodes_reject: plan.nodes_reject() };
    report.add_requests(requests, &attempts_at(&nodes), &conditions);
    for (broker_index, (broker, signals)) in brokers.iter().zip(signals).enumerate() {
        if report.violations.iter().any(|violated| violated.request.broker_index == broker_index) {
            report.process_records.push(ProcessRecord { broker_index, signals, log: broker.log_text() });
        }
    }
    report
}

/// Returns what the clients of the broker with this index share.
fn broker_endpoint(plan: &ShutdownPlan, index: usize, address: SocketAddr) -> Arc<BrokerEndpoint> {
    Arc::new(BrokerEndpoint {
        address,
        broker_index: index,
        timeout: plan.timeout,
        non_idempotent_ratio: plan.non_idempotent_ratio,
        signalled_at: OnceLock::new(),
        new_connections_until: plan.brokers[index].new_connections_until,
        kill_after: plan.kill_after(),
    })
}

/// Opens connections on which no request is sent: as many to each broker as the plan says, or fewer if the broker refuses one.
fn open_idle_connections(plan: &ShutdownPlan, endpoints: &[Arc<BrokerEndpoint>]) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for (endpoint, broker) in endpoints.iter().zip(&plan.brokers) {
        let connect = |_| TcpStream::connect(endpoint.address).ok();
        connections.extend((0..broker.idle_connections).map_while(connect));
    }
    connections
}

/// Starts the clients of all brokers, each in a thread that returns the client's requests.
fn start_clients(plan: &ShutdownPlan, endpoints: &[Arc<BrokerEndpoint>]) -> Vec<JoinHandle<Vec<Request>>> {
    let mut clients = Vec::new();
    for (endpoint, broker) in endpoints.iter().zip(&plan.brokers) {
        for (number, behavior) in broker.clients.iter().enumerate() {
            let client = Client::new(endpoint.clone(), number, *behavior, plan.seed);
            clients.push(thread::spawn(move || client.run()));
        }
    }
    clients
}

/// Starts the clients that flood the brokers, if the plan has any.
fn start_flood(plan: &ShutdownPlan, endpoints: &[Arc<BrokerEndpoint>]) -> Vec<RunningClients> {
    let flood = HostileClients {
        count: plan.flooding_clients,
        pace: Pace::FullSpeed,
        answers: Answers::Read,
        request: hostile_clients::batches(|_| READINESS_CHECK.to_string()),
    };
    let flooded = endpoints.iter().filter(|_| plan.flooding_clients > 0);
    flooded.map(|endpoint| flood.start(endpoint.address)).collect()
}

/// Waits for the planned time, before or after the first SIGTERM, and makes the planned nodes and discovery misbehave.
fn start_misbehavior(
    plan: &ShutdownPlan,
    nodes: &[Node],
    discovery: &DiscoveryServer,
    first_signal_at: Instant,
) {
    let after = plan.misbehaving_after_seconds;
    sleep_until(first_signal_at - Duration::from_secs_f64((-after).max(0.0)));
    thread::sleep(Duration::from_secs_f64(after.max(0.0)));
    for node in nodes.iter().take(plan.misbehaving_node_count) {
        node.set_behavior(plan.node_behavior);
    }
    if plan.discovery_stops {
        discovery.stop_replying();
    }
}
