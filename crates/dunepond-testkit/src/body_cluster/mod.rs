//! Test harness for large request bodies: stand-in nodes that count the parts they ran, clients that send streamed queries,
//! and a broker with fault injection on the disk that it spills bodies to.

mod node;
mod request;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::{Value, json};

use crate::part_runs;
use crate::stand_ins::{self, DiscoveryServer};
pub use node::{BodyNodeBehavior, FrameCounts, Node};
pub use request::{BodyOutcome, BodyRequest, body_request};

/// Bytes in a mebibyte.
const MIB: u64 = 1024 * 1024;
/// Latency objective of all query classes, in milliseconds. A shorter one would time out the largest bodies on a slow machine.
const LATENCY_OBJECTIVE_MS: f64 = 20_000.0;
/// Query timeout of all query classes, in milliseconds.
const QUERY_TIMEOUT_MS: f64 = 30_000.0;
/// Maximum number of parts and queries that the broker holds at a time.
const MAX_HELD: usize = 4000;
/// Quota of each tenant, in queries per second.
const TENANT_QUOTA: f64 = 1000.0;

/// Returns the ids of the parts that ran more than once over all nodes, limited to the ids for which `include` returns true.
pub fn repeated_part_ids(nodes: &[Node], include: impl Fn(&str) -> bool) -> Vec<String> {
    let mut repeated = part_runs::repeated_part_ids(nodes.iter().flat_map(Node::run_counts));
    repeated.retain(|id| include(id));
    repeated
}

/// A broker process in front of stand-in nodes, with its operator's file and a spill folder whose disk can be made to fail.
pub struct BodyCluster {
    /// The broker process.
    pub broker: stand_ins::Broker,
    /// The nodes behind the broker.
    pub nodes: Vec<Node>,
    /// The folder that the broker spills bodies to.
    pub spill_folder: PathBuf,
    /// The operator's file that the broker reads, in KDL.
    pub operator_file: PathBuf,
    /// The file that selects the disk fault; see [`crate::faulty_disk`].
    faults_file: PathBuf,
    _discovery: DiscoveryServer,
}

/// Returns a broker configuration with timeouts and limits that suit large bodies, and the tenants `left` and `right`.
pub fn config(discovery: SocketAddr, endpoints: Vec<Value>) -> Value {
    let mut config = stand_ins::config(discovery, endpoints);
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["aimMs"] = json!(LATENCY_OBJECTIVE_MS);
        service["deadlineMs"] = json!(QUERY_TIMEOUT_MS);
    }
    config["settings"]["ceilings"]["mostHeld"] = json!(MAX_HELD);
    config["settings"]["projects"] =
        json!([{"name": "left", "quotaPerS": TENANT_QUOTA}, {"name": "right", "quotaPerS": TENANT_QUOTA}]);
    config["log"] = json!("info");
    config
}

impl BodyCluster {
    /// Starts a broker in front of `nodes`, hosted by the testkit program at `program`. `operator_kdl` is the text of the
    /// operator's file, in which each `FOLDER` is replaced by the path of a new spill folder.
    pub fn start(program: &Path, nodes: Vec<Node>, operator_kdl: &str) -> Self {
        Self::start_with_config(program, nodes, operator_kdl, |_| {})
    }

    /// Like [`BodyCluster::start`], but passes the broker's configuration through `adjust_config` first.
    pub fn start_with_config(
        program: &Path,
        nodes: Vec<Node>,
        operator_kdl: &str,
        adjust_config: impl Fn(&mut Value),
    ) -> Self {
        let endpoints: Vec<_> = nodes.iter().map(Node::endpoint).collect();
        let discovery = DiscoveryServer::start(endpoints.clone());
        let mut config = config(discovery.address, endpoints);
        adjust_config(&mut config);
        let spill_folder = stand_ins::scratch_path("folder");
        let faults_file = stand_ins::scratch_path("disk");
        let operator_file = stand_ins::scratch_path("kdl");
        std::fs::create_dir(&spill_folder).unwrap();
        std::fs::write(&operator_file, operator_kdl.replace("FOLDER", spill_folder.to_str().unwrap()))
            .unwrap();
        let mut command = Command::new(program);
        command.arg("broker").arg("--operator").arg(&operator_file).arg("--disk").arg(&faults_file);
        let broker = stand_ins::Broker::wait_until_listening(stand_ins::launch_command(command, &config));
        Self { broker, nodes, spill_folder, operator_file, faults_file, _discovery: discovery }
    }

    /// Sets the fault that the broker's disk shows from now on; [`crate::faulty_disk`] lists the values.
    pub fn set_disk_fault(&self, fault: &str) {
        // Written to a second file and renamed, so that the broker never reads a partly written file.
        let temporary_file = self.faults_file.with_extension("aside");
        std::fs::write(&temporary_file, fault).unwrap();
        std::fs::rename(&temporary_file, &self.faults_file).unwrap();
    }

    /// Replaces the operator's file and makes the broker reload it (SIGHUP). `FOLDER` stands for the path of the spill folder.
    pub fn reload_config(&self, operator_kdl: &str) {
        let text = operator_kdl.replace("FOLDER", self.spill_folder.to_str().unwrap());
        std::fs::write(&self.operator_file, text).unwrap();
        self.broker.signal("HUP");
    }

    /// Sends a request to the broker and waits for its outcome.
    pub fn send(&self, request: &BodyRequest) -> BodyOutcome {
        request.send(self.broker.address)
    }

    /// Returns the broker's peak resident memory in bytes, without file-backed pages: they grow with every linked library and do
    /// not depend on what is buffered.
    pub fn peak_memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.broker.pid());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let read_kibibytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok()).unwrap_or(0)
        };
        1024 * read_kibibytes("VmHWM:").saturating_sub(read_kibibytes("RssFile:"))
    }

    /// Returns the number of spill files that are visible in the folder. Spill files in use are unlinked and not counted.
    pub fn spill_file_count(&self) -> usize {
        let entries = std::fs::read_dir(&self.spill_folder).into_iter().flatten().flatten();
        entries.filter(|entry| entry.path().extension().is_some_and(|extension| extension == "body")).count()
    }
}

impl Drop for BodyCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.spill_folder);
        let _ = std::fs::remove_file(&self.faults_file);
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

/// Converts mebibytes to bytes.
pub const fn mib_bytes(count: u64) -> u64 {
    count * MIB
}
