//! Test harness for the prefilter: stand-in nodes that answer its probes from bloom filters over their segments, and the true
//! content of the segments against which tests check answers.

mod corpus;
mod node;
mod query;

use std::collections::BTreeSet;
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
pub use query::{SegmentResults, parse_response, query_request};

/// Number of replica groups, each with one node.
pub const REPLICA_GROUP_COUNT: usize = 12;
/// Number of segments in the broker's settings.
pub const SEGMENT_COUNT: usize = 48;
/// Number of replica groups that hold a replica of each segment.
const REPLICAS_PER_SEGMENT: usize = 3;

/// A broker process in front of one stand-in node per replica group, and the true content of the segments.
pub struct PrefilterCluster {
    /// The broker process.
    pub broker: stand_ins::Broker,
    /// The nodes behind the broker, one per replica group.
    pub nodes: Vec<Node>,
    /// The content of all segments, which the nodes share.
    pub corpus: Arc<Corpus>,
    /// The discovery server that lists the nodes.
    pub discovery: DiscoveryServer,
    /// The operator's file that the broker reads, in KDL.
    pub operator_file: PathBuf,
}

impl PrefilterCluster {
    /// Starts the nodes and a broker that is hosted by the testkit program at `program`. `operator_kdl` is the text of the
    /// operator's file, `search_time` the duration of each search on a node, and `behavior` the initial behavior of each node.
    ///
    /// Without `hedging` the broker never sends a second copy of a late part, so that counts do not depend on the speed of the
    /// machine.
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
        let broker = stand_ins::Broker::wait_until_listening(stand_ins::launch_command(command, &config));
        Self { broker, nodes, corpus, discovery, operator_file }
    }

    /// Returns the number of parts that the nodes have searched so far.
    pub fn search_count(&self) -> usize {
        self.nodes.iter().map(Node::search_count).sum()
    }

    /// Returns the number of probes that the nodes have received so far.
    pub fn probe_count(&self) -> usize {
        self.nodes.iter().map(Node::probe_count).sum()
    }

    /// Returns the total size of the probes and their answers so far, in bytes.
    pub fn probe_bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.counters.probe_bytes.load(Ordering::Relaxed)).sum()
    }

    /// Returns the ids of all parts that ran at the nodes.
    pub fn part_ids(&self) -> BTreeSet<String> {
        self.nodes.iter().flat_map(|node| node.counters.runs.lock().unwrap().clone().into_keys()).collect()
    }

    /// Returns the number of parts that ran more than once over all nodes.
    pub fn repeated_part_count(&self) -> usize {
        let counts = self.nodes.iter().flat_map(|node| node.counters.runs.lock().unwrap().clone());
        part_runs::repeated_part_ids(counts).len()
    }

    /// Replaces the operator's file and makes the broker reload it (SIGHUP).
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
