//! Consensus and membership among brokers (`fleet`).

mod parse;

use std::net::SocketAddr;
use std::path::PathBuf;

use dunepond_consensus::ConsensusConfig;
use dunepond_shard_map::MapConstraints;

use super::quotas::QuotaConfig;

const DEFAULT_MAP: MapConfig = MapConfig { min_replicas: 1, min_zones: 1, max_changed_ratio: 0.2 };
const DEFAULT_FILL_DEADLINE_SECONDS: f64 = 60.0;

/// What a broker needs to take part in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Where the others reach this broker: UDP and TCP at the same port.
    pub listen_address: SocketAddr,
    /// Where configurations, votes and promises are stored; a voter that has lost them does not vote after a start.
    pub folder: PathBuf,
    /// How long a lease is valid.
    pub lease_seconds: f64,
    /// How far the rates of two clocks may differ.
    pub clock_drift_ratio: f64,
    /// Seconds after which no two brokers act on rules that contradict each other.
    pub switch_bound_seconds: f64,
    /// The longest timeout of a query at any broker; the deployment's settings count where theirs is longer.
    pub longest_query_seconds: Option<f64>,
    /// Members of the quorum.
    pub voters: Vec<BrokerAddress>,
    /// Other brokers that are known from the start.
    pub peers: Vec<BrokerAddress>,
    /// A file with the secret that all brokers share; needed where relays stand between them.
    pub key_file: Option<PathBuf>,
    /// The version file: a configuration to propose, read at the start and at SIGHUP.
    pub version_file: Option<PathBuf>,
    /// Where decisions of this broker are logged, a line each.
    pub audit_log_file: Option<PathBuf>,
    /// Owners of zones, with their nodes, tenants and brokers.
    pub partners: Vec<PartnerConfig>,
    /// What fills may take between partners.
    pub links: Vec<LinkConfig>,
    /// The service that fills replicas.
    pub fills: Option<FillConfig>,
    /// Plans of splits, merges and migrations.
    pub rebalancing: Option<RebalanceConfig>,
    /// What a new shard map must keep; absent, configurations bring no maps.
    pub map: Option<MapConfig>,
    /// Quotas that all brokers share; absent, each has an even share.
    pub quotas: Option<QuotaConfig>,
}

/// A broker's name and address.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokerAddress {
    /// Unique in the fleet.
    pub name: String,
    /// Address at which it is reached, over UDP and TCP.
    pub address: SocketAddr,
}

/// An owner of zones. What its nodes carry for tenants of others is counted.
#[derive(Clone, Debug, PartialEq)]
pub struct PartnerConfig {
    /// Unique in the fleet.
    pub name: String,
    /// Zones in which its nodes are.
    pub zones: Vec<String>,
    /// Names of its tenants.
    pub tenants: Vec<String>,
    /// Brokers whose counts speak for its side. A broker of no partner is a witness for both sides.
    pub brokers: Vec<String>,
    /// Its brokers also count what its own nodes carry: the lesser of both sides' counts is what it is owed.
    pub metered: bool,
}

/// What fills may take from one partner to another.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConfig {
    /// A partner's name.
    pub from: String,
    /// A partner's name.
    pub to: String,
    /// Highest rate of all fills together.
    pub bytes_per_second: u64,
}

/// The operator's service that fills replicas, and how it is used.
#[derive(Clone, Debug, PartialEq)]
pub struct FillConfig {
    /// Address of the service, over TCP.
    pub address: SocketAddr,
    /// A configuration whose fills take longer is withdrawn.
    pub deadline_seconds: f64,
    /// The size of one segment's data.
    pub segment_bytes: u64,
    /// Highest rate of one fill.
    pub bytes_per_second: u64,
    /// Fills under way at once, at most.
    pub max_concurrent_fills: usize,
    /// Replicas on nodes in slow start are filled too, each by the broker that is responsible for it, partitioned or not. For
    /// this debts are split among all brokers in advance.
    pub fill_started_nodes: bool,
}

/// How plans of splits, merges and migrations are carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct RebalanceConfig {
    /// The plan, read at the start and at SIGHUP.
    pub plan_file: PathBuf,
    /// Changes of one step, at most.
    pub max_concurrent_actions: usize,
    /// Pause between two steps.
    pub settle_seconds: f64,
    /// What fills may take between two partners that no `link` names.
    pub default_link_bytes_per_second: Option<u64>,
}

/// What a new shard map must keep.
#[derive(Clone, Debug, PartialEq)]
pub struct MapConfig {
    /// Least number of replicas of each segment.
    pub min_replicas: usize,
    /// Zones in which each segment has a replica.
    pub min_zones: usize,
    /// Share of the segments that one configuration may change.
    pub max_changed_ratio: f64,
}

impl FleetConfig {
    /// The terms of the consensus for the broker of this name. `longest_query_seconds` is what the deployment's settings
    /// state.
    pub fn consensus_config(&self, name: &str, longest_query_seconds: f64) -> ConsensusConfig {
        let map = self.map.clone().unwrap_or(DEFAULT_MAP);
        let fill_deadline = self.fills.as_ref().map(|fills| fills.deadline_seconds);
        ConsensusConfig {
            name: name.to_string(),
            voters: self.voters.iter().map(|voter| voter.name.clone()).collect(),
            lease_seconds: self.lease_seconds,
            drift_ratio: self.clock_drift_ratio,
            switch_bound_seconds: self.switch_bound_seconds,
            longest_query_seconds: self
                .longest_query_seconds
                .map_or(longest_query_seconds, |stated| stated.max(longest_query_seconds)),
            fill_deadline_seconds: fill_deadline.unwrap_or(DEFAULT_FILL_DEADLINE_SECONDS),
            max_changed_ratio: map.max_changed_ratio,
            maps_enabled: self.map.is_some(),
            map_requirements: MapConstraints { min_replicas: map.min_replicas, min_zones: map.min_zones },
        }
    }
}
