//! A fleet of broker processes for tests and experiments, with the nodes, the discovery server, the fill service and the
//! clients that it needs.
//!
//! Each broker has its own operator's file, folder and audit record. Brokers reach each other only over relays, to which
//! a test can apply link faults. The clients return the outcome of each query.

mod clients;
mod fill_service;
mod operator_file;
mod options;
mod records;
mod start;
mod versions;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::json;

use crate::auditor::MapVersion;
use crate::links::Links;
use crate::processes::{BrokerProcess, wait_until};
use crate::restart_cluster::unix_ms;
use crate::stand_ins::{DiscoveryServer, Node};
pub use clients::{Clients, QueryOutcome, latency_quantile_seconds, outcome_ratio, served_ratio};
pub use fill_service::FillService;
pub use options::{FleetOptions, RetryBudget};
use records::RecordReader;
pub use records::RecordedPhase;

/// Query classes in the fleet's settings: an idempotent one whose queries ask for two segments, an idempotent one whose
/// queries ask for all segments, and a non-idempotent one whose queries ask for one segment.
pub const QUERY_CLASSES: [&str; 3] = ["quick-find", "full-search", "fix-request"];
/// Name of the non-idempotent query class: each part of its queries may run only once.
pub const NON_IDEMPOTENT_CLASS: &str = QUERY_CLASSES[2];
/// Size of a segment in bytes, as stated in the operator's files. A complete fill moves this many bytes.
pub const SEGMENT_BYTES: u64 = 1 << 20;
/// Secret that all brokers of a fleet share.
pub const SHARED_KEY: &str = "a key of these fleets";
/// Zones of the nodes. Consecutive nodes alternate between the two zones. Each zone belongs to the partner with the same
/// index in [`PARTNERS`].
const ZONES: [&str; 2] = ["a", "b"];
/// Names of the two partners. The clients' queries are all for the tenant of the first partner, so that the first partner
/// comes to owe the second one.
pub const PARTNERS: [&str; 2] = ["north", "south"];
/// Names of the tenants. Each tenant belongs to the partner with the same index in [`PARTNERS`].
const TENANTS: [&str; 2] = ["mill", "harbour"];

/// Name and own listening address of a broker.
struct Peer {
    name: String,
    address: SocketAddr,
}

/// A fleet of brokers with its nodes and services. Dropping it ends the brokers, removes their folders and, if the thread
/// panics, prints the brokers' audit records.
pub struct Fleet {
    /// Options that the fleet was started with.
    pub options: FleetOptions,
    /// Relays between the brokers.
    pub links: Links,
    /// Processes of the brokers.
    pub brokers: Vec<BrokerProcess>,
    /// Simulated nodes that the brokers query.
    pub nodes: Vec<Node>,
    /// Discovery server that all brokers watch for the list of nodes.
    pub discovery: DiscoveryServer,
    /// Service that fills replicas at the brokers' request.
    pub fill_service: FillService,
    /// Upper limit of the first partner's debt to the second, in bytes; `None` if the test knows no limit. The audit checks
    /// settlements against it.
    pub max_debt_bytes: Option<u64>,
    /// Address at which each broker listens for the other brokers, behind the relays.
    pub peer_addresses: Vec<SocketAddr>,
    /// Folder of the files of all brokers.
    folder: PathBuf,
    /// Reader of the brokers' audit records.
    record_reader: Mutex<RecordReader>,
    /// Map of each version that the test has given to a broker or expects from a plan, by the version's number.
    maps: BTreeMap<u64, MapVersion>,
    /// Segments that each request of the fleet's clients asked for, by the request's id.
    requested_segments: Arc<Mutex<BTreeMap<String, BTreeSet<u64>>>>,
}

/// Returns the name of the broker with this index.
pub fn broker_name(broker: usize) -> String {
    format!("n{}", broker + 1)
}

impl Fleet {
    /// Starts a fleet and waits until version 1 of the configuration is active at all brokers.
    pub fn start_with_active_version(options: FleetOptions) -> Self {
        let all = 0..options.broker_count;
        let mut fleet = Self::start_ready(options);
        let first = fleet.config_version(1, &[], &[]);
        fleet.propose(0, &first);
        fleet.wait_for_active_version(all, 1);
        fleet
    }

    /// Starts a fleet without waiting until its brokers are ready.
    pub fn start(options: FleetOptions) -> Self {
        let mut fleet = Self::prepare(options);
        fleet.brokers.iter_mut().for_each(BrokerProcess::start);
        fleet
    }

    /// Starts a fleet and waits until all brokers are ready.
    ///
    /// # Panics
    /// Panics if a broker is not ready within [`crate::processes::WAIT_TIMEOUT`].
    pub fn start_ready(options: FleetOptions) -> Self {
        let fleet = Self::start(options);
        assert!(
            wait_until(|| fleet.brokers.iter().all(BrokerProcess::is_ready)),
            "expected all brokers to be ready before the timeout"
        );
        fleet
    }

    /// Returns the name of the node that received the last non-idempotent part of this segment, if there was one.
    pub fn last_non_idempotent_node(&self, segment: u64) -> Option<String> {
        let mut runs = self.non_idempotent_runs();
        runs.retain(|run| run.segment_id == segment);
        runs.into_iter().max_by(|a, b| a.arrived_at.total_cmp(&b.arrived_at)).map(|run| run.node)
    }

    /// Has discovery report from now on that the nodes with these indices have just started.
    pub fn report_nodes_restarted(&self, nodes: &[usize]) {
        let mut endpoints = start::endpoints(&self.nodes, &[]);
        for node in nodes {
            endpoints[*node]["born_ms"] = json!(unix_ms());
        }
        self.discovery.publish(endpoints);
    }

    /// Has discovery report from now on that the node with this name has just started.
    ///
    /// # Panics
    /// Panics if the fleet has no such node.
    pub fn report_node_restarted(&self, node: &str) {
        let index = self.nodes.iter().position(|known| known.name == node).expect("a node of the fleet");
        self.report_nodes_restarted(&[index]);
    }

    /// Has discovery report from now on that exactly the nodes with these names are draining.
    pub fn drain_nodes(&self, nodes: &[&str]) {
        self.discovery.publish(start::endpoints(&self.nodes, nodes));
    }

    /// Sets the disk fault of this broker's folder. [`crate::faulty_disk`] lists the faults. It has an effect only if
    /// [`FleetOptions::disk_faults_enabled`] is set.
    pub fn set_disk_fault(&self, broker: usize, fault: &str) {
        fs::write(self.folder.join(format!("{}.disk", broker_name(broker))), fault).unwrap();
    }

    /// Partitions the brokers into groups, given by their indices. A broker that is in no group is isolated from all others.
    pub fn partition(&self, groups: &[&[usize]]) {
        let names: Vec<Vec<_>> =
            groups.iter().map(|group| group.iter().map(|i| broker_name(*i)).collect()).collect();
        let names: Vec<Vec<&str>> =
            names.iter().map(|group| group.iter().map(String::as_str).collect()).collect();
        self.links.partition(&names.iter().map(Vec::as_slice).collect::<Vec<_>>());
    }

    /// Waits until the logs of all brokers name the same leader and returns the leader's index.
    ///
    /// # Panics
    /// Panics if the logs do not agree within [`crate::processes::WAIT_TIMEOUT`].
    pub fn wait_for_leader(&self) -> usize {
        self.wait_for_leader_of(&(0..self.options.broker_count).collect::<Vec<_>>())
    }

    /// Waits until the logs of these brokers name the same leader and returns the leader's index.
    ///
    /// # Panics
    /// Panics if the logs do not agree within [`crate::processes::WAIT_TIMEOUT`].
    pub fn wait_for_leader_of(&self, brokers: &[usize]) -> usize {
        let leader_logged_by = |broker: &BrokerProcess| {
            let log = broker.log_text();
            let (_, name) = log.lines().rev().find_map(|line| line.split_once("fleet: led by "))?;
            self.links.process_names().iter().position(|known| known == name.trim())
        };
        let mut leader = None;
        let agreed = wait_until(|| {
            leader = leader_logged_by(&self.brokers[brokers[0]]);
            leader.is_some() && brokers.iter().all(|i| leader_logged_by(&self.brokers[*i]) == leader)
        });
        assert!(
            agreed,
            "expected the logs of brokers {brokers:?} to name the same leader before the timeout"
        );
        leader.unwrap()
    }

    /// Returns whether this broker's log contains this text.
    pub fn log_contains(&self, broker: usize, text: &str) -> bool {
        self.brokers[broker].log_text().contains(text)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.brokers.clear();
        if thread::panicking() {
            self.print_records();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
