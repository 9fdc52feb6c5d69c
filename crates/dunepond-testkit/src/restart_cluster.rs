//! One broker's incarnations, one after the other, in front of the same nodes and on the same folder.

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::stand_ins::{self, Broker, DiscoveryServer, Node, NodeBehavior};

const REPLICA_GROUP_COUNT: usize = 12;
const REPLICAS_PER_SEGMENT: usize = 4;
/// Segments of the settings.
pub const SEGMENT_COUNT: usize = 48;

/// The most parts and queries that the broker may hold.
const MAX_HELD: usize = 8000;
/// What a query of two parts counts for in the retry budget.
const BUDGET_PER_REQUEST: f64 = 3.0;

/// Nodes, discovery, and the folder that outlasts the broker.
pub struct RestartCluster {
    program: PathBuf,
    /// Its nodes.
    pub nodes: Vec<Node>,
    /// The discovery server.
    pub discovery: DiscoveryServer,
    /// The folder that outlasts the broker.
    pub folder: PathBuf,
    /// Says how the folder fails.
    pub faults_file: PathBuf,
    operator_file: PathBuf,
    started_at_ms: Vec<u64>,
    /// Changes the configuration of each broker that is started.
    pub adjust_config: fn(&mut Value),
}

/// A part that came to a node.
#[derive(Clone, Debug)]
pub struct NodeAttempt {
    /// When it came.
    pub at: Instant,
    /// The part's id.
    pub part_id: String,
    /// The node's place.
    pub node: usize,
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl RestartCluster {
    /// So many nodes, and no broker yet.
    pub fn new(program: &Path, count: usize) -> Self {
        let nodes: Vec<_> = (0..count).map(|i| Node::start(&format!("s-{i}"))).collect();
        let folder = stand_ins::scratch_path("state");
        std::fs::create_dir(&folder).unwrap();
        let mut cluster = Self {
            program: program.to_path_buf(),
            started_at_ms: vec![0; nodes.len()],
            nodes,
            discovery: DiscoveryServer::start(Vec::new()),
            folder,
            faults_file: stand_ins::scratch_path("disk"),
            operator_file: stand_ins::scratch_path("kdl"),
            adjust_config: |_| {},
        };
        cluster.discovery = DiscoveryServer::start(cluster.endpoints());
        cluster
    }

    /// The list of discovery.
    pub fn endpoints(&self) -> Vec<Value> {
        let mut endpoints = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let mut endpoint = node.endpoint("ready");
            endpoint["block"] = json!(index % REPLICA_GROUP_COUNT);
            endpoint["born_ms"] = json!(self.started_at_ms[index]);
            endpoints.push(endpoint);
        }
        endpoints
    }

    /// Discovery says from now on that a node's process started at this time, in milliseconds since the Unix epoch.
    pub fn restart_node(&mut self, node: usize, started_at_ms: u64) {
        self.started_at_ms[node] = started_at_ms;
        self.discovery.publish(self.endpoints());
    }

    /// Starts an incarnation with this text of the operator's file, in which `FOLDER` stands for the folder that outlasts it.
    pub fn start_broker(&self, operator_kdl: &str) -> Broker {
        let text = operator_kdl.replace("FOLDER", self.folder.to_str().unwrap());
        std::fs::write(&self.operator_file, text).unwrap();
        let mut config = stand_ins::config(self.discovery.address, self.endpoints());
        let family = &mut config["settings"]["familyInfo"];
        family["cells"] = json!(REPLICA_GROUP_COUNT);
        family["span"] = json!(REPLICAS_PER_SEGMENT);
        family["slabs"] = json!(SEGMENT_COUNT);
        config["settings"]["ceilings"]["mostHeld"] = json!(MAX_HELD);
        config["log"] = json!("info");
        (self.adjust_config)(&mut config);
        let mut command = Command::new(&self.program);
        command.arg("broker").arg("--operator").arg(&self.operator_file).arg("--disk").arg(&self.faults_file);
        let mut broker = Broker::from_child(stand_ins::launch_command(command, &config));
        broker.suppress_log = true;
        broker
    }

    /// What the folder does from now on; see [`crate::faulty_disk`].
    pub fn set_disk_fault(&self, fault: &str) {
        let aside = self.faults_file.with_extension("aside");
        std::fs::write(&aside, fault).unwrap();
        std::fs::rename(&aside, &self.faults_file).unwrap();
    }

    /// Every `n`th node behaves so.
    pub fn set_behavior_of_every(&self, n: usize, behavior: NodeBehavior) {
        self.nodes.iter().step_by(n).for_each(|node| node.set_behavior(behavior));
    }

    /// All parts that came to nodes, in their order.
    pub fn attempts(&self) -> Vec<NodeAttempt> {
        let mut attempts = Vec::new();
        for (node, stand_in) in self.nodes.iter().enumerate() {
            let arrivals = stand_in.part_arrivals().into_iter();
            attempts.extend(arrivals.map(|(at, part_id)| NodeAttempt { at, part_id, node }));
        }
        attempts.sort_by_key(|attempt| attempt.at);
        attempts
    }

    /// The least by which the retry budget was kept in any window that ends with a retry; below 0 it was broken.
    ///
    /// `min_retries` and `ratio` are as in the settings; `request_times` are the times at which queries of two parts were sent.
    pub fn retry_budget_margin(
        &self,
        request_times: &[Instant],
        min_retries: f64,
        ratio: f64,
        window_seconds: f64,
    ) -> f64 {
        let (mut seen, mut retries, mut least) = (HashSet::new(), Vec::new(), min_retries);
        for attempt in self.attempts() {
            if seen.insert(attempt.part_id) {
                continue;
            }
            let at = attempt.at;
            retries.push(at);
            let in_window = |then: &&Instant| **then <= at && (at - **then).as_secs_f64() <= window_seconds;
            let spent = retries.iter().filter(in_window).count() as f64;
            let earned = BUDGET_PER_REQUEST * request_times.iter().filter(in_window).count() as f64;
            least = least.min(min_retries + ratio * earned - spent);
        }
        least
    }
}

impl Drop for RestartCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
        let _ = std::fs::remove_file(&self.faults_file);
        let _ = std::fs::remove_file(&self.operator_file);
    }
}
