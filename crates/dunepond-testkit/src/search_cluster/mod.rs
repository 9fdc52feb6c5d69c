//! Test harness for searches: stand-in nodes that hold documents and answer searches, correctly or with faults, and a broker
//! with both of its client ports open.

mod documents;
mod node;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::{Value, json};

use crate::part_runs;
use crate::stand_ins::{self, Broker, Client, DiscoveryServer, Response};
pub use documents::{DOCUMENTS_PER_SEGMENT, SEGMENT_COUNT, ranked_documents, score};
pub use node::{Node, NodeProtocol, SearchNodeBehavior};

/// Maximum number of parts and queries that the broker holds at a time.
const MAX_HELD: usize = 4000;
/// Latency objective of [`SearchCluster::start_with_long_timeouts`], in milliseconds.
const LONG_OBJECTIVE_MS: f64 = 10_000.0;
/// Query timeout of [`SearchCluster::start_with_long_timeouts`], in milliseconds.
const LONG_TIMEOUT_MS: f64 = 15_000.0;

/// A broker process with both client ports open, in front of stand-in nodes that each hold every segment.
pub struct SearchCluster {
    /// The broker process.
    pub broker: Broker,
    /// The address of the broker's search API.
    pub api_address: SocketAddr,
    /// The nodes behind the broker.
    pub nodes: Vec<Node>,
    _discovery: DiscoveryServer,
    operator_file: PathBuf,
}

impl SearchCluster {
    /// Starts one node for each entry of `protocols`, and a broker that is hosted by the testkit program at `program`.
    /// `extra_operator_kdl` is appended to the text of the operator's file.
    pub fn start(program: &Path, protocols: &[NodeProtocol], extra_operator_kdl: &str) -> Self {
        Self::start_with_command(protocols, extra_operator_kdl, Self::testkit_command(program))
    }

    /// Like [`SearchCluster::start`], but with long timeouts, so that tests which count attempts by node do not fail on a busy
    /// machine.
    pub fn start_with_long_timeouts(program: &Path, protocols: &[NodeProtocol]) -> Self {
        let set_long_timeouts = |config: &mut Value| {
            for service in config["settings"]["services"].as_array_mut().unwrap() {
                service["aimMs"] = json!(LONG_OBJECTIVE_MS);
                service["deadlineMs"] = json!(LONG_TIMEOUT_MS);
            }
        };
        Self::start_with(protocols, "", set_long_timeouts, Self::testkit_command(program))
    }

    /// Returns a function that builds the command of a broker hosted by the testkit program, from the operator's file.
    fn testkit_command(program: &Path) -> impl Fn(&Path) -> Command {
        move |operator_file| {
            let mut command = Command::new(program);
            command.arg("broker").arg("--operator").arg(operator_file).arg("--disk").arg("/dev/null");
            command
        }
    }

    /// Like [`SearchCluster::start`], but runs the broker with the command that `command` builds from the path of the operator's
    /// file.
    pub fn start_with_command(
        protocols: &[NodeProtocol],
        extra_operator_kdl: &str,
        command: impl Fn(&Path) -> Command,
    ) -> Self {
        Self::start_with(protocols, extra_operator_kdl, |_| {}, command)
    }

    /// Starts the nodes and the broker. `adjust_config` changes the broker's configuration, and `command` builds the broker's
    /// command from the path of the operator's file.
    fn start_with(
        protocols: &[NodeProtocol],
        extra_operator_kdl: &str,
        adjust_config: impl Fn(&mut Value),
        command: impl Fn(&Path) -> Command,
    ) -> Self {
        let numbered_protocols = protocols.iter().enumerate();
        let nodes: Vec<_> =
            numbered_protocols.map(|(i, protocol)| Node::start(&format!("s-{i}"), *protocol)).collect();
        let endpoints: Vec<_> = nodes.iter().map(Node::endpoint).collect();
        let discovery = DiscoveryServer::start(endpoints.clone());
        let mut config = config(discovery.address, endpoints);
        adjust_config(&mut config);
        let operator_file = stand_ins::scratch_path("kdl");
        // The operating system chooses the port of the search API. The broker logs it before the client port's "listening on"
        // line, so that the startup log contains it.
        let operator_kdl = format!(
            "search listen=\"127.0.0.1:0\" searches=20\nsearch-nodes \"127.0.0.2\"\n{extra_operator_kdl}"
        );
        std::fs::write(&operator_file, operator_kdl).unwrap();
        let broker =
            Broker::wait_until_listening(stand_ins::launch_command(command(&operator_file), &config));
        let api_address = broker
            .startup_log
            .lines()
            .find_map(|line| line.split_once("the API listening at ")?.1.parse().ok())
            .expect("expected the address of the search API in the startup log");
        Self { api_address, broker, nodes, _discovery: discovery, operator_file }
    }

    /// Sends a request to the search API on a new connection and waits for the answer.
    pub fn request(&self, method: &str, target: &str, body: &str) -> Response {
        Client::connect_to(self.api_address).request(&http_request(method, target, body))
    }

    /// Returns the ids of all parts that ran at the nodes.
    pub fn part_ids(&self) -> BTreeSet<String> {
        self.nodes.iter().flat_map(|node| node.runs.lock().unwrap().clone().into_keys()).collect()
    }

    /// Returns the ids of the parts that ran more than once over all nodes.
    pub fn repeated_part_ids(&self) -> Vec<String> {
        let counts = self.nodes.iter().flat_map(|node| node.runs.lock().unwrap().clone());
        part_runs::repeated_part_ids(counts)
    }

    /// Returns the number of parts that ran more than once over all nodes.
    pub fn repeated_part_count(&self) -> usize {
        self.repeated_part_ids().len()
    }

    /// Returns the total number of part runs on all nodes; a part that ran twice counts twice.
    pub fn run_count(&self) -> u32 {
        self.nodes.iter().map(Node::run_count).sum()
    }
}

impl Drop for SearchCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

/// Returns a broker configuration with three query classes: `find` may be answered from half of its parts, `all` needs every
/// part, and `fix` is not idempotent and must not run twice.
fn config(discovery: SocketAddr, endpoints: Vec<Value>) -> Value {
    let mut config = stand_ins::config(discovery, endpoints);
    let services = config["settings"]["services"].as_array_mut().unwrap();
    let mut all = services[0].clone();
    all["name"] = json!("all");
    services.push(all);
    let family = &mut config["settings"]["familyInfo"];
    family["leastShare"] = json!([0.5, 1.0, 1.0]);
    family["wholeAt"] = json!([1.0, 1.0, 1.0]);
    family["secondStep"] = json!([0, 0, 0]);
    config["settings"]["ceilings"]["mostHeld"] = json!(MAX_HELD);
    config["log"] = json!("info");
    config
}

/// Returns the text of an HTTP request to the search API.
pub fn http_request(method: &str, target: &str, body: &str) -> String {
    format!("{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
