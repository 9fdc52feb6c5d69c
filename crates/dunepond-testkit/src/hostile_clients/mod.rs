//! Hostile clients beside sound ones, at a broker with the least memory that the specification names: what the broker's process
//! uses, and whether the sound clients are answered in time.

mod client;
mod cpu_share;
mod node;
mod process_watch;
mod requests;
mod scenarios;
mod socket_memory;
mod sound_client;

use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::stand_ins::{self, Broker, DiscoveryServer, broker_program, launch_command, scratch_path};
pub use client::{Answers, HostileClients, MakeRequest, Pace, RunningClients, StatusCounts};
pub use cpu_share::CpuShare;
pub use node::{Node, NodeBehavior, PartArrival};
pub use process_watch::{PeakUsage, ProcessWatch, ProcessorTime, status_bytes};
pub use requests::{QueryShape, always, batches, head_of_short_fields, http_request, query, small_chunks};
pub use scenarios::{Scenario, scenarios};
pub use sound_client::{SoundClients, SoundOutcomes};

/// The least memory that the specification names for a broker, in MiB.
pub const LEAST_MEMORY_MIB: u64 = 32;
/// The part of it that is left to anything but the pages of the program's file.
pub const LEAST_ANONYMOUS_BYTES: u64 = (LEAST_MEMORY_MIB - 8) << 20;
/// The descriptors of a broker with the least memory.
pub const DESCRIPTORS: usize = 1024;
/// Number of nodes; each holds all segments.
const NODES: usize = 6;
/// Segments that the sound clients query, in turn.
const SOUND_SEGMENTS: usize = 6;
/// Time for which the sound clients run alone before the hostile ones start, and after they have ended.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Time that the sound clients give their requests.
const SOUND_BUDGET: Duration = Duration::from_secs(1);

/// The port that hostile clients connect to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostilePort {
    /// The port for queries.
    Queries,
    /// The port of the search API.
    SearchApi,
}

/// What was seen in a scenario.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The most that the broker's process used.
    pub peak: PeakUsage,
    /// Resident memory at the end, in bytes.
    pub memory_at_end: u64,
    /// What became of the sound clients' requests.
    pub sound: SoundOutcomes,
    /// Processor time of the broker in the run.
    pub processor: ProcessorTime,
    /// The statuses of the answers that hostile clients read.
    pub hostile_statuses: StatusCounts,
    /// Whether the process was still running at the end.
    pub is_running: bool,
    /// The longest stall of the event loop that the log names, in seconds.
    pub longest_stall_seconds: f64,
    /// The warnings in the log.
    pub warnings: Vec<String>,
}

/// A broker with its nodes and discovery.
pub struct Deployment {
    /// The broker's process.
    pub broker: Broker,
    /// The address of the search API; `None` if it is not enabled.
    pub search_api: Option<SocketAddr>,
    /// The nodes.
    pub nodes: Vec<Node>,
    _discovery: DiscoveryServer,
}

impl Deployment {
    /// Starts a broker with the least memory in front of nodes with these behaviors. `operator_kdl` is the text of its operator's
    /// file; `adjust` changes its configuration.
    ///
    /// # Errors
    /// Returns the error of a listener or file.
    ///
    /// # Panics
    /// If the broker does not start.
    pub fn start(
        behaviors: &[NodeBehavior],
        operator_kdl: &str,
        adjust: impl FnOnce(&mut Value),
    ) -> std::io::Result<Self> {
        let start = |(number, behavior)| Node::start(&format!("s-{number}"), behavior);
        let nodes = behaviors.iter().enumerate().map(start).collect::<std::io::Result<Vec<_>>>()?;
        let rows: Vec<_> = nodes.iter().map(|node| node.endpoint(0)).collect();
        let discovery = DiscoveryServer::start(rows.clone());
        let mut config = stand_ins::config(discovery.address, rows);
        config["log"] = json!("info");
        config["limits"] = json!({"cores": 1.0, "memory_mb": LEAST_MEMORY_MIB, "sockets": DESCRIPTORS});
        adjust(&mut config);
        let operator_file = scratch_path("kdl");
        std::fs::write(&operator_file, operator_kdl)?;
        let mut command = Command::new(broker_program());
        command.arg("run").arg("--operator").arg(&operator_file);
        let mut broker = Broker::wait_until_listening(launch_command(command, &config));
        broker.suppress_log = true;
        std::fs::remove_file(&operator_file)?;
        let api_line = |line: &str| line.split_once("the API listening at ")?.1.parse().ok();
        let search_api = broker.startup_log.lines().find_map(api_line);
        Ok(Self { broker, search_api, nodes, _discovery: discovery })
    }
}

impl Deployment {
    /// Begins to watch the broker's process.
    ///
    /// # Panics
    /// If the operating system does not tell what its sockets hold.
    pub fn watch(&self) -> ProcessWatch {
        let ports = std::iter::once(self.broker.address).chain(self.search_api).map(|address| address.port());
        ProcessWatch::start(self.broker.pid(), &ports.collect::<Vec<_>>())
    }
}

/// Returns the longest stall of the event loop that a log names, in seconds.
fn longest_stall_seconds(log: &str) -> f64 {
    let stalls = log.lines().filter_map(|line| line.split_once("event loop stalled for ")?.1.split_once(' '));
    stalls.filter_map(|(seconds, _)| seconds.parse().ok()).fold(0.0, f64::max)
}

/// Plays a scenario; its hostile clients run for `duration`.
///
/// # Errors
/// Returns the error of a listener or file.
///
/// # Panics
/// If the broker does not start, or a thread of a client panics.
pub fn play(scenario: &Scenario, duration: Duration) -> std::io::Result<Outcome> {
    let hanging = scenario.hanging_nodes;
    let behaviors: Vec<_> = (0..NODES)
        .map(|number| if number < hanging { NodeBehavior::Hangs } else { scenario.node_behavior.clone() })
        .collect();
    let mut deployment = Deployment::start(&behaviors, scenario.operator_kdl, |config| {
        config["settings"]["ceilings"]["mostHeld"] = json!(scenario.max_in_flight);
    })?;
    let pid = deployment.broker.pid();
    let address = match scenario.port {
        HostilePort::Queries => deployment.broker.address,
        HostilePort::SearchApi => deployment.search_api.unwrap_or(deployment.broker.address),
    };
    let watch = deployment.watch();
    let share = scenario.cpu_share.map(|share| CpuShare::limit(pid, share));
    let sound = SoundClients::start(deployment.broker.address, "find", SOUND_BUDGET, SOUND_SEGMENTS);
    thread::sleep(QUIET_TIME);
    let hostile: Vec<_> = scenario.clients.iter().map(|clients| clients.start(address)).collect();
    thread::sleep(duration);
    let memory_at_end = status_bytes(pid, "VmRSS").unwrap_or(0);
    let sound = sound.stop();
    let processor = ProcessorTime::of(pid);
    let hostile_statuses = hostile.into_iter().flat_map(RunningClients::stop).collect();
    thread::sleep(QUIET_TIME);
    drop(share);
    let log = deployment.broker.log_text();
    Ok(Outcome {
        peak: watch.finish(),
        memory_at_end,
        sound,
        processor,
        hostile_statuses,
        is_running: deployment.broker.is_running(),
        longest_stall_seconds: longest_stall_seconds(&log),
        warnings: log.lines().filter(|line| line.contains(" WARN ")).map(str::to_string).collect(),
    })
}
