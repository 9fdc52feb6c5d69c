//! Test harness for broker restarts: starts successive incarnations of one broker on the same nodes and the same state folder.

use std::collections::HashSet;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::stand_ins::{self, Broker, DiscoveryServer, Node, NodeBehavior};

/// Number of replica groups in the broker's settings.
const REPLICA_GROUP_COUNT: usize = 12;
/// Number of replica groups that hold a replica of each segment.
const REPLICAS_PER_SEGMENT: usize = 4;
/// Number of segments in the broker's settings.
pub const SEGMENT_COUNT: usize = 48;

/// Maximum number of parts and queries that the broker holds at a time.
const MAX_HELD: usize = 8000;
/// Number of arrivals that the retry budget counts for a query of two parts: the query and each part.
const BUDGET_PER_QUERY: f64 = 3.0;

/// Stand-in nodes, a discovery server, and the state folder that is kept when the broker restarts.
pub struct RestartCluster {
    /// The testkit program, which hosts the broker.
    program: PathBuf,
    /// The nodes behind the broker.
    pub nodes: Vec<Node>,
    /// The discovery server that lists the nodes.
    pub discovery: DiscoveryServer,
    /// The broker's state folder, which is kept between incarnations.
    pub state_folder: PathBuf,
    /// The file that selects the fault of the state folder's disk; see [`crate::faulty_disk`].
    pub faults_file: PathBuf,
    operator_file: PathBuf,
    /// Start time of each node's process as discovery states it, in milliseconds since the Unix epoch.
    started_at_ms: Vec<u64>,
    /// Adjusts the configuration of each broker before it starts.
    pub adjust_config: fn(&mut Value),
}

/// An attempt of a part, as the node received it.
#[derive(Clone, Debug)]
pub struct NodeAttempt {
    /// Time at which the node received the attempt.
    pub arrived_at: Instant,
    /// Id of the part.
    pub part_id: String,
    /// Index of the node in the cluster.
    pub node_index: usize,
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl RestartCluster {
    /// Starts `node_count` nodes and the discovery server, but no broker. `program` is the testkit program, which hosts brokers.
    pub fn new(program: &Path, node_count: usize) -> Self {
        let nodes: Vec<_> = (0..node_count).map(|i| Node::start(&format!("s-{i}"))).collect();
        let state_folder = stand_ins::scratch_path("state");
        std::fs::create_dir(&state_folder).unwrap();
        let mut cluster = Self {
            program: program.to_path_buf(),
            started_at_ms: vec![0; nodes.len()],
            nodes,
            discovery: DiscoveryServer::start(Vec::new()),
            state_folder,
            faults_file: stand_ins::scratch_path("disk"),
            operator_file: stand_ins::scratch_path("kdl"),
            adjust_config: |_| {},
        };
        cluster.discovery = DiscoveryServer::start(cluster.endpoints());
        cluster
    }

    /// Returns the current endpoint list, as discovery publishes it.
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

    /// Publishes a new start time of a node's process, in milliseconds since the Unix epoch, so that the node appears to have
    /// restarted. The stand-in itself keeps running.
    pub fn publish_node_restart(&mut self, node: usize, started_at_ms: u64) {
        self.started_at_ms[node] = started_at_ms;
        self.discovery.publish(self.endpoints());
    }

    /// Starts the next incarnation of the broker. `operator_kdl` is the text of the operator's file, in which each `FOLDER` is
    /// replaced by the path of the state folder.
    pub fn start_broker(&self, operator_kdl: &str) -> Broker {
        let text = operator_kdl.replace("FOLDER", self.state_folder.to_str().unwrap());
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
        let mut broker = Broker::wait_until_listening(stand_ins::launch_command(command, &config));
        broker.suppress_log = true;
        broker
    }

    /// Sets the fault that the state folder's disk shows from now on; [`crate::faulty_disk`] lists the values.
    pub fn set_disk_fault(&self, fault: &str) {
        // Written to a second file and renamed, so that the broker never reads a partly written file.
        let temporary_file = self.faults_file.with_extension("aside");
        std::fs::write(&temporary_file, fault).unwrap();
        std::fs::rename(&temporary_file, &self.faults_file).unwrap();
    }

    /// Sets the behavior of every `n`th node, from the first node on.
    pub fn set_behavior_of_every(&self, n: usize, behavior: NodeBehavior) {
        self.nodes.iter().step_by(n).for_each(|node| node.set_behavior(behavior));
    }

    /// Returns all attempts that the nodes received, in order of arrival.
    pub fn attempts(&self) -> Vec<NodeAttempt> {
        let mut attempts = Vec::new();
        for (node_index, node) in self.nodes.iter().enumerate() {
            let arrivals = node.part_arrivals().into_iter();
            attempts.extend(arrivals.map(|(arrived_at, part_id)| NodeAttempt {
                arrived_at,
                part_id,
                node_index,
            }));
        }
        attempts.sort_by_key(|attempt| attempt.arrived_at);
        attempts
    }

    /// Returns the smallest number of retries that the retry budget still allowed in any window that ends with a retry. A
    /// negative result means that the broker exceeded the budget.
    ///
    /// `min_retries`, `ratio` and `window_seconds` are those of the broker's settings. `request_times` are the times at which
    /// queries were sent, each of two parts. Every attempt of a part after its first counts as a retry.
    pub fn retry_budget_margin(
        &self,
        request_times: &[Instant],
        min_retries: f64,
        ratio: f64,
        window_seconds: f64,
    ) -> f64 {
        let (mut seen_parts, mut retries, mut smallest_margin) = (HashSet::new(), Vec::new(), min_retries);
        for attempt in self.attempts() {
            if seen_parts.insert(attempt.part_id) {
                continue;
            }
            let arrived_at = attempt.arrived_at;
            retries.push(arrived_at);
            let in_window = |time: &&Instant| {
                **time <= arrived_at && (arrived_at - **time).as_secs_f64() <= window_seconds
            };
            let spent = retries.iter().filter(in_window).count() as f64;
            let earned = BUDGET_PER_QUERY * request_times.iter().filter(in_window).count() as f64;
            smallest_margin = smallest_margin.min(min_retries + ratio * earned - spent);
        }
        smallest_margin
    }
}

impl Drop for RestartCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.state_folder);
        let _ = std::fs::remove_file(&self.faults_file);
        let _ = std::fs::remove_file(&self.operator_file);
    }
}
