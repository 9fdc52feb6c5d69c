//! A fleet of real brokers, each with its own files, folder and record, that reach each other over relays only; before them
//! nodes, a discovery server and a fill service, and clients that tell what became of each query.

mod clients;
mod filler;
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
pub use clients::{Clients, QueryOutcome, latency_quantile, outcome_ratio, served_ratio};
pub use filler::FillService;
pub use options::{FleetOptions, RetryBudget};
use records::RecordReader;
pub use records::RecordedPhase;

/// Query classes of the fleet's settings: idempotent ones of part of the segments and of all, and one that is not idempotent.
pub const QUERY_CLASSES: [&str; 3] = ["quick-find", "full-search", "fix-request"];
/// The query class whose parts must not run twice.
pub const NON_IDEMPOTENT_CLASS: &str = QUERY_CLASSES[2];
/// What one fill moves, by the files of these fleets.
pub const SEGMENT_BYTES: u64 = 1 << 20;
/// The secret of every fleet here.
pub const SHARED_KEY: &str = "a key of these fleets";
/// Nodes are of one and the other in turn.
const ZONES: [&str; 2] = ["a", "b"];
/// Clients' queries are all of the first, so that it comes to owe the second.
pub const PARTNERS: [&str; 2] = ["north", "south"];
const TENANTS: [&str; 2] = ["mill", "harbour"];

/// A broker as the others know it.
struct Peer {
    name: String,
    address: SocketAddr,
}

/// A fleet; all of it ends when this is dropped.
pub struct Fleet {
    /// What it is made of.
    pub options: FleetOptions,
    /// The relays between its brokers.
    pub links: Links,
    /// Its brokers.
    pub brokers: Vec<BrokerProcess>,
    /// Its nodes.
    pub nodes: Vec<Node>,
    /// The discovery server that all brokers ask.
    pub discovery: DiscoveryServer,
    /// The service that fills replicas.
    pub filler: FillService,
    /// What the second partner is owed by the first at most, where a test knows; in bytes.
    pub known_debt_bytes: Option<u64>,
    /// Where each broker listens for the others.
    pub peer_addresses: Vec<SocketAddr>,
    folder: PathBuf,
    record_reader: Mutex<RecordReader>,
    /// The map of each version that was ever proposed.
    maps: BTreeMap<u64, MapVersion>,
    /// The segments that each request of its clients asked for.
    requested: Arc<Mutex<BTreeMap<String, BTreeSet<u64>>>>,
}

/// The name of a broker by its place.
pub fn broker_name(broker: usize) -> String {
    format!("n{}", broker + 1)
}

impl Fleet {
    /// Version 1 is in force at all of them.
    pub fn start_with_version(options: FleetOptions) -> Self {
        let all = 0..options.brokers;
        let mut fleet = Self::start_ready(options);
        let first = fleet.config_version(1, &[], &[]);
        fleet.propose(0, &first);
        fleet.wait_active(all, 1);
        fleet
    }

    /// All of them are started, which may not have come to anything yet.
    pub fn start(options: FleetOptions) -> Self {
        let mut fleet = Self::prepare(options);
        fleet.brokers.iter_mut().for_each(BrokerProcess::start);
        fleet
    }

    /// All of them serve.
    pub fn start_ready(options: FleetOptions) -> Self {
        let fleet = Self::start(options);
        assert!(wait_until(|| fleet.brokers.iter().all(BrokerProcess::ready)), "not all brokers serve");
        fleet
    }

    /// The node to which the last non-idempotent part of a segment came.
    pub fn last_non_idempotent_node(&self, segment: u64) -> Option<String> {
        let mut runs = self.non_idempotent_runs();
        runs.retain(|run| run.segment_id == segment);
        runs.into_iter().max_by(|a, b| a.at.total_cmp(&b.at)).map(|run| run.node)
    }

    /// Discovery says that these nodes have just started.
    pub fn report_restarted(&self, nodes: &[usize]) {
        let mut endpoints = start::endpoints(&self.nodes, &[]);
        for node in nodes {
            endpoints[*node]["born_ms"] = json!(unix_ms());
        }
        self.discovery.publish(endpoints);
    }

    /// Discovery says from now on that this node has just started.
    pub fn report_cold(&self, node: &str) {
        let place = self.nodes.iter().position(|known| known.name == node).expect("a node of the fleet");
        self.report_restarted(&[place]);
    }

    /// Discovery says from now on that these nodes drain.
    pub fn drain_nodes(&self, nodes: &[&str]) {
        self.discovery.publish(start::endpoints(&self.nodes, nodes));
    }

    /// What this broker's folder does from now on, as in [`crate::faulty_disk`], where the options say that disks fail.
    pub fn set_disk_fault(&self, broker: usize, fault: &str) {
        fs::write(self.folder.join(format!("{}.disk", broker_name(broker))), fault).unwrap();
    }

    /// Partitions the brokers into groups; one that is in none is alone.
    pub fn partition(&self, groups: &[&[usize]]) {
        let names: Vec<Vec<_>> =
            groups.iter().map(|group| group.iter().map(|i| broker_name(*i)).collect()).collect();
        let names: Vec<Vec<&str>> =
            names.iter().map(|group| group.iter().map(String::as_str).collect()).collect();
        self.links.partition(&names.iter().map(Vec::as_slice).collect::<Vec<_>>());
    }

    /// Who leads, once all brokers' logs name the same.
    pub fn leader(&self) -> usize {
        self.leader_of(&(0..self.options.brokers).collect::<Vec<_>>())
    }

    /// Who leads, once the logs of these brokers name the same.
    ///
    /// # Panics
    /// Where they do not in time.
    pub fn leader_of(&self, brokers: &[usize]) -> usize {
        let named_by = |broker: &BrokerProcess| {
            let log = broker.log_text();
            let (_, name) = log.lines().rev().find_map(|line| line.split_once("fleet: led by "))?;
            self.links.names().iter().position(|known| known == name.trim())
        };
        let mut leader = None;
        let agreed = wait_until(|| {
            leader = named_by(&self.brokers[brokers[0]]);
            leader.is_some() && brokers.iter().all(|i| named_by(&self.brokers[*i]) == leader)
        });
        assert!(agreed, "no leader that all name");
        leader.unwrap()
    }

    /// Whether this broker's log has these words.
    pub fn log_contains(&self, broker: usize, words: &str) -> bool {
        self.brokers[broker].log_text().contains(words)
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
