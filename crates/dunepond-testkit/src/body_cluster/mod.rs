//! Nodes that take bodies of any size and count what ran, clients of the raw form, and a broker whose disk can be made to fail.

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

const MIB: u64 = 1024 * 1024;
/// The latency objective: long, or the largest bodies would end by their time on a slow machine.
const OBJECTIVE_MS: f64 = 20_000.0;
const TIMEOUT_MS: f64 = 30_000.0;
/// Parts and queries that the broker may hold.
const MAX_HELD: usize = 4000;
/// Each tenant's quota, in queries a second.
const TENANT_QUOTA: f64 = 1000.0;

/// The ids of parts, among those that `counts` says to look at, that ran more than once, over all nodes.
pub fn repeated_parts(nodes: &[Node], counts: impl Fn(&str) -> bool) -> Vec<String> {
    let mut repeated = part_runs::repeated(nodes.iter().flat_map(Node::runs));
    repeated.retain(|id| counts(id));
    repeated
}

/// A broker in front of these nodes, its operator's file, and a folder whose disk can be made to fail.
pub struct BodyCluster {
    /// The broker.
    pub broker: stand_ins::Broker,
    /// Its nodes.
    pub nodes: Vec<Node>,
    /// Where it spills bodies.
    pub folder: PathBuf,
    /// The operator's file.
    pub operator_file: PathBuf,
    faults_file: PathBuf,
    _discovery: DiscoveryServer,
}

/// A broker's configuration for large bodies.
pub fn config(discovery: SocketAddr, endpoints: Vec<Value>) -> Value {
    let mut config = stand_ins::config(discovery, endpoints);
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["aimMs"] = json!(OBJECTIVE_MS);
        service["deadlineMs"] = json!(TIMEOUT_MS);
    }
    config["settings"]["ceilings"]["mostHeld"] = json!(MAX_HELD);
    config["settings"]["projects"] =
        json!([{"name": "left", "quotaPerS": TENANT_QUOTA}, {"name": "right", "quotaPerS": TENANT_QUOTA}]);
    config["log"] = json!("info");
    config
}

impl BodyCluster {
    /// Starts it by `program`, the testkit's own, with this text of the operator's file, in which `FOLDER` stands for a new folder.
    pub fn start(program: &Path, nodes: Vec<Node>, operator_kdl: &str) -> Self {
        Self::start_with(program, nodes, operator_kdl, |_| {})
    }

    /// As [`BodyCluster::start`], with its configuration changed.
    pub fn start_with(
        program: &Path,
        nodes: Vec<Node>,
        operator_kdl: &str,
        change: impl Fn(&mut Value),
    ) -> Self {
        let endpoints: Vec<_> = nodes.iter().map(Node::endpoint).collect();
        let discovery = DiscoveryServer::start(endpoints.clone());
        let mut config = config(discovery.address, endpoints);
        change(&mut config);
        let folder = stand_ins::scratch_path("folder");
        let faults_file = stand_ins::scratch_path("disk");
        let operator_file = stand_ins::scratch_path("kdl");
        std::fs::create_dir(&folder).unwrap();
        std::fs::write(&operator_file, operator_kdl.replace("FOLDER", folder.to_str().unwrap())).unwrap();
        let mut command = Command::new(program);
        command.arg("broker").arg("--operator").arg(&operator_file).arg("--disk").arg(&faults_file);
        let broker = stand_ins::Broker::from_child(stand_ins::launch_command(command, &config));
        Self { broker, nodes, folder, operator_file, faults_file, _discovery: discovery }
    }

    /// What the disk does from now on; see [`crate::faulty_disk`].
    pub fn set_disk_fault(&self, fault: &str) {
        // Written aside and moved: a call must not read the half of it.
        let aside = self.faults_file.with_extension("aside");
        std::fs::write(&aside, fault).unwrap();
        std::fs::rename(&aside, &self.faults_file).unwrap();
    }

    /// Replaces the operator's file and has it read again.
    pub fn reload_config(&self, operator_kdl: &str) {
        let text = operator_kdl.replace("FOLDER", self.folder.to_str().unwrap());
        std::fs::write(&self.operator_file, text).unwrap();
        self.broker.signal("HUP");
    }

    /// Sends a request and waits for what becomes of it.
    pub fn send(&self, request: &BodyRequest) -> BodyOutcome {
        request.send(self.broker.address)
    }

    /// The most memory that the broker has taken, without the pages of the program's own file: these grow with every library and
    /// say nothing of what is buffered.
    pub fn peak_memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.broker.pid());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let kibibytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok()).unwrap_or(0)
        };
        1024 * kibibytes("VmHWM:").saturating_sub(kibibytes("RssFile:"))
    }

    /// Files that stand in the folder by name; those in use are unlinked.
    pub fn spill_file_count(&self) -> usize {
        let entries = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        entries.filter(|entry| entry.path().extension().is_some_and(|extension| extension == "body")).count()
    }
}

impl Drop for BodyCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
        let _ = std::fs::remove_file(&self.faults_file);
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

/// Mebibytes in bytes.
pub const fn mib_bytes(count: u64) -> u64 {
    count * MIB
}
