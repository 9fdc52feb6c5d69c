//! Nodes that hold text and answer the probes of the prefilter from summaries of it, and the truth that answers are held to.

mod corpus;
mod node;
mod query;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;

use crate::part_runs;
use crate::stand_ins::{self, DiscoveryServer};
pub use corpus::{Corpus, term};
pub use node::{Node, ProbeBehavior};
pub use query::{SegmentResults, parse_answer, query_request};

/// Replica groups, each of one node.
pub const REPLICA_GROUP_COUNT: usize = 12;
/// Segments of the settings.
pub const SEGMENT_COUNT: usize = 48;
const REPLICAS_PER_SEGMENT: usize = 3;

/// A broker in front of one node a replica group, and what the segments truly hold.
pub struct PrefilterCluster {
    /// The broker.
    pub broker: stand_ins::Broker,
    /// Its nodes.
    pub nodes: Vec<Node>,
    /// What the nodes hold.
    pub corpus: Arc<Corpus>,
    /// The discovery server.
    pub discovery: DiscoveryServer,
    /// The operator's file.
    pub operator_file: PathBuf,
}

impl PrefilterCluster {
    /// Starts it by `program`, the testkit's own, with this text of the operator's file; `behavior` says how each node begins.
    ///
    /// Without `hedging` no part is ever sent twice for being late, so that counts do not hang on the machine's speed.
    pub fn start(
        program: &Path,
        operator_kdl: &str,
        search_time: Duration,
        hedging: bool,
        behavior: impl Fn(usize) -> ProbeBehavior,
    ) -> Self {
        let corpus = Corpus::new();
        let start_node = |i| Node::start(i, &corpus, behavior(i), search_time);
        let nodes: Vec<_> = (0..REPLICA_GROUP_COUNT).map(start_node).collect();
        let endpoints: Vec<_> = nodes.iter().map(|node| node.endpoint("ready")).collect();
        let discovery = DiscoveryServer::start(endpoints.clone());
        let mut config = stand_ins::config(discovery.address, endpoints);
        config["settings"]["familyInfo"]["cells"] = json!(REPLICA_GROUP_COUNT);
        config["settings"]["familyInfo"]["span"] = json!(REPLICAS_PER_SEGMENT);
        config["settings"]["familyInfo"]["slabs"] = json!(SEGMENT_COUNT);
        config["settings"]["ceilings"]["mostHeld"] = json!(8000);
        config["settings"]["ceilings"]["secondCopies"] = json!(hedging);
        config["log"] = json!("info");
        let operator_file = stand_ins::scratch_path("kdl");
        std::fs::write(&operator_file, operator_kdl).unwrap();
        let mut command = Command::new(program);
        command.arg("broker").arg("--operator").arg(&operator_file).arg("--disk").arg("/dev/null");
        let broker = stand_ins::Broker::from_child(stand_ins::launch_command(command, &config));
        Self { broker, nodes, corpus, discovery, operator_file }
    }

    /// Parts that were searched so far.
    pub fn searches(&self) -> usize {
        self.nodes.iter().map(Node::searches).sum()
    }

    /// Probes that came to nodes so far.
    pub fn probes(&self) -> usize {
        self.nodes.iter().map(Node::probes).sum()
    }

    /// Bytes of probes and their answers so far.
    pub fn probe_bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.counters.probe_bytes.load(Ordering::Relaxed)).sum()
    }

    /// How many parts ran more than once, over all nodes.
    pub fn repeated_parts(&self) -> usize {
        let counts = self.nodes.iter().flat_map(|node| node.counters.runs.lock().unwrap().clone());
        part_runs::repeated(counts).len()
    }

    /// Replaces the operator's file and has it read again.
    pub fn reload_config(&self, operator_kdl: &str) {
        std::fs::write(&self.operator_file, operator_kdl).unwrap();
        self.broker.signal("HUP");
    }
}

impl Drop for PrefilterCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.operator_file);
    }
}
