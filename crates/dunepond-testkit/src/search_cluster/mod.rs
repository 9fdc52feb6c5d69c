//! Nodes that hold documents and answer searches, or spoil them; and a broker with both of its client ports open.

mod documents;
mod node;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::{Value, json};

use crate::part_runs;
use crate::stand_ins::{self, Answer, Broker, Client, DiscoveryServer};
pub use documents::{DOCUMENTS_PER_SEGMENT, SEGMENT_COUNT, ranked_documents, score};
pub use node::{Node, NodeProtocol, SearchNodeBehavior};

/// Parts and queries that the broker may hold.
const MAX_HELD: usize = 4000;
/// The latency objective of [`SearchCluster::start_with_long_timeouts`], in milliseconds.
const LONG_OBJECTIVE_MS: f64 = 10_000.0;
/// The query timeout of [`SearchCluster::start_with_long_timeouts`], in milliseconds.
const LONG_TIMEOUT_MS: f64 = 15_000.0;

/// A broker with both client ports open, in front of nodes that all hold all segments.
pub struct SearchCluster {
    /// The broker.
    pub broker: Broker,
    /// Where it listens for the search API.
    pub api_address: SocketAddr,
    /// Its nodes.
    pub nodes: Vec<Node>,
    _discovery: DiscoveryServer,
    operator_file: PathBuf,
}

impl SearchCluster {
    /// Starts one node for each protocol, and the broker by `program`, the testkit's own; `more` goes into the operator's file.
    pub fn start(program: &Path, protocols: &[NodeProtocol], more: &str) -> Self {
        Self::start_with_command(protocols, more, Self::testkit_command(program))
    }

    /// As [`SearchCluster::start`], with long timeouts: for tests of who is asked and how often, which a busy machine must not decide.
    pub fn start_with_long_timeouts(program: &Path, protocols: &[NodeProtocol]) -> Self {
        let lengthen = |config: &mut Value| {
            for service in config["settings"]["services"].as_array_mut().unwrap() {
                service["aimMs"] = json!(LONG_OBJECTIVE_MS);
                service["deadlineMs"] = json!(LONG_TIMEOUT_MS);
            }
        };
        Self::start_with(protocols, "", lengthen, Self::testkit_command(program))
    }

    fn testkit_command(program: &Path) -> impl Fn(&Path) -> Command {
        move |operator_file| {
            let mut command = Command::new(program);
            command.arg("broker").arg("--operator").arg(operator_file).arg("--disk").arg("/dev/null");
            command
        }
    }

    /// As [`SearchCluster::start`], by a command that runs a broker with the operator's file that it is given.
    pub fn start_with_command(
        protocols: &[NodeProtocol],
        more: &str,
        command: impl Fn(&Path) -> Command,
    ) -> Self {
        Self::start_with(protocols, more, |_| {}, command)
    }

    fn start_with(
        protocols: &[NodeProtocol],
        more: &str,
        change: impl Fn(&mut Value),
        command: impl Fn(&Path) -> Command,
    ) -> Self {
        let numbered = protocols.iter().enumerate();
        let nodes: Vec<_> = numbered.map(|(i, protocol)| Node::start(&format!("s-{i}"), *protocol)).collect();
        let endpoints: Vec<_> = nodes.iter().map(Node::endpoint).collect();
        let discovery = DiscoveryServer::start(endpoints.clone());
        let mut config = config(discovery.address, endpoints);
        change(&mut config);
        let operator_file = stand_ins::scratch_path("kdl");
        // A port of the system's choosing: the broker names it in its log, before it listens at the first one.
        let operator_kdl =
            format!("search listen=\"127.0.0.1:0\" searches=20\nsearch-nodes \"127.0.0.2\"\n{more}");
        std::fs::write(&operator_file, operator_kdl).unwrap();
        let broker = Broker::from_child(stand_ins::launch_command(command(&operator_file), &config));
        let api_address = broker
            .startup_log
            .lines()
            .find_map(|line| line.split_once("the API listening at ")?.1.parse().ok())
            .expect("the API's address in the log");
        Self { api_address, broker, nodes, _discovery: discovery, operator_file }
    }

    /// Sends a request to the search API on a connection of its own and waits for the answer.
    pub fn request(&self, method: &str, target: &str, body: &str) -> Answer {
        Client::connect_to(self.api_address).request(&http_request(method, target, body))
    }

    /// How many parts ran more than once, over all nodes.
    pub fn repeated_parts(&self) -> usize {
        let counts = self.nodes.iter().flat_map(|node| node.runs.lock().unwrap().clone());
        part_runs::repeated(counts).len()
    }

    /// How many parts ran, each as often as it did.
    pub fn runs(&self) -> u32 {
        self.nodes.iter().map(Node::runs).sum()
    }
}

impl Drop for SearchCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

/// `find` may be answered from half of its parts, `all` needs each, `fix` must not run twice.
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

/// The text of a request to the search API.
pub fn http_request(method: &str, target: &str, body: &str) -> String {
    format!("{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
