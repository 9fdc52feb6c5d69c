//! One broker's lives, one after the other, before the same nodes and on the same folder.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::stand_ins::{self, Broker, DiscoveryServer, Node, NodeBehavior};

const REPLICA_GROUP_COUNT: usize = 12;
const REPLICAS_PER_SEGMENT: usize = 4;
pub const SEGMENT_COUNT: usize = 48;

/// Nodes, the list of them, and the folder that outlasts the broker.
pub struct RestartCluster {
    program: PathBuf,
    pub nodes: Vec<Node>,
    pub discovery: DiscoveryServer,
    pub folder: PathBuf,
    pub faults_file: PathBuf,
    operator_file: PathBuf,
    started_at_ms: Vec<u64>,
    pub adjust_config: fn(&mut Value),
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl RestartCluster {
    pub fn new(program: &Path, count: usize) -> Self {
        let nodes: Vec<_> = (0..count).map(|i| Node::start(&format!("s-{i}"))).collect();
        let folder = stand_ins::scratch_path("state");
        std::fs::create_dir(&folder).unwrap();
        let mut town = Self {
            program: program.to_path_buf(),
            started_at_ms: vec![0; nodes.len()],
            nodes,
            discovery: DiscoveryServer::start(Vec::new()),
            folder,
            faults_file: stand_ins::scratch_path("disk"),
            operator_file: stand_ins::scratch_path("kdl"),
            adjust_config: |_| {},
        };
        town.discovery = DiscoveryServer::start(town.endpoints());
        town
    }

    pub fn endpoints(&self) -> Vec<Value> {
        let line = |(i, node): (usize, &Node)| {
            let mut line = node.endpoint("ready");
            (line["block"], line["born_ms"]) = (json!(i % REPLICA_GROUP_COUNT), json!(self.started_at_ms[i]));
            line
        };
        self.nodes.iter().enumerate().map(line).collect()
    }

    /// A node's process starts anew, at this time.
    pub fn restart_node(&mut self, node: usize, born: u64) {
        self.started_at_ms[node] = born;
        self.discovery.publish(self.endpoints());
    }

    /// Begins a life with this operator's file; `FOLDER` in it is the folder that outlasts it.
    pub fn start_broker(&self, operator_kdl: &str) -> Broker {
        std::fs::write(&self.operator_file, operator_kdl.replace("FOLDER", self.folder.to_str().unwrap()))
            .unwrap();
        let mut config = stand_ins::config(self.discovery.address, self.endpoints());
        let family = &mut config["settings"]["familyInfo"];
        (family["cells"], family["span"], family["slabs"]) =
            (json!(REPLICA_GROUP_COUNT), json!(REPLICAS_PER_SEGMENT), json!(SEGMENT_COUNT));
        config["settings"]["ceilings"]["mostHeld"] = json!(8000);
        config["log"] = json!("info");
        (self.adjust_config)(&mut config);
        let mut command = Command::new(&self.program);
        command.arg("broker").arg("--operator").arg(&self.operator_file).arg("--disk").arg(&self.faults_file);
        let mut broker = Broker::from_child(stand_ins::launch_command(command, &config));
        broker.suppress_log = true;
        broker
    }

    /// From now on the folder does as these words say; see [`crate::faulty_disk`].
    pub fn set_disk_fault(&self, words: &str) {
        let aside = self.faults_file.with_extension("aside");
        std::fs::write(&aside, words).unwrap();
        std::fs::rename(&aside, &self.faults_file).unwrap();
    }

    /// Every `n`th node behaves so.
    pub fn set_behavior_of_every(&self, n: usize, behavior: NodeBehavior) {
        self.nodes.iter().step_by(n).for_each(|node| node.set_behavior(behavior));
    }

    /// All parts that came to nodes, in their order: when, which, and at which node.
    pub fn attempts(&self) -> Vec<(Instant, String, usize)> {
        let of = |(i, node): (usize, &Node)| {
            node.part_arrivals().into_iter().map(move |(at, id)| (at, id, i)).collect::<Vec<_>>()
        };
        let mut all: Vec<_> = self.nodes.iter().enumerate().flat_map(of).collect();
        all.sort_by_key(|dispatch| dispatch.0);
        all
    }

    /// The least by which the budget of further dispatches was kept in any window that ends with one of them; `free` and
    /// `share` as the settings state it, the window in seconds. `taken` are the times at which scans of two parts were
    /// asked for. Below 0 it was broken.
    pub fn retry_budget_margin(&self, request_times: &[Instant], free: f64, share: f64, window: f64) -> f64 {
        let (mut seen, mut further, mut least) = (BTreeSet::new(), Vec::new(), free);
        for (at, id, _) in self.attempts() {
            if seen.insert(id) {
                continue;
            }
            further.push(at);
            let within = |then: &&Instant| **then <= at && (at - **then).as_secs_f64() <= window;
            let spent = further.iter().filter(within).count() as f64;
            let earned = 3.0 * request_times.iter().filter(within).count() as f64;
            least = least.min(free + share * earned - spent);
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
