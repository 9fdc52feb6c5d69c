//! Configuration of consensus and membership among brokers (the KDL node `fleet`).

mod parse;

use std::net::SocketAddr;
use std::path::PathBuf;

use dunepond_consensus::ConsensusConfig;
use dunepond_shard_map::MapConstraints;

use super::quotas::QuotaConfig;

const DEFAULT_MAP: MapConfig = MapConfig { min_replicas: 1, min_zones: 1, max_changed_ratio: 0.2 };
const DEFAULT_FILL_DEADLINE_SECONDS: f64 = 60.0;

/// Configuration of a broker that is a member of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Address at which other brokers reach this one, over UDP and TCP on the same port.
    pub listen_address: SocketAddr,
    /// Folder for configurations, votes and commitments to settle fills. A voter whose folder was lost does not vote
    /// after a restart.
    pub folder: PathBuf,
    /// Time for which a lease is valid, in seconds, counted from when the broker sent the request for it.
    pub lease_seconds: f64,
    /// Maximum drift of any broker's monotonic clock, as a ratio; 0.01 is 1%.
    pub clock_drift_ratio: f64,
    /// The switch bound, in seconds: once this time has passed since a new configuration was committed, no broker acts
    /// on the previous one alone.
    pub switch_bound_seconds: f64,
    /// Longest timeout of a query at any broker, in seconds. The longest query timeout in the deployment's settings is
    /// used instead if it is longer than this one, or if this one is `None`.
    pub longest_query_seconds: Option<f64>,
    /// Names and addresses of the voters: the brokers that vote in consensus.
    pub voters: Vec<BrokerAddress>,
    /// Names and addresses of other brokers that are known at startup; they do not vote.
    pub peers: Vec<BrokerAddress>,
    /// File with the secret that all brokers share. Without it, brokers are identified by the addresses they send from, so
    /// it is needed if network relays forward the messages between brokers.
    pub key_file: Option<PathBuf>,
    /// The version file, which contains a configuration version to propose to the fleet. It is read at startup and on
    /// SIGHUP.
    pub version_file: Option<PathBuf>,
    /// The audit log: a file to which this broker's decisions are written, one per line.
    pub audit_log_file: Option<PathBuf>,
    /// The partners: organisations that own zones, tenants and brokers.
    pub partners: Vec<PartnerConfig>,
    /// Limits on the bandwidth of fills between partners. A fill copies a segment's data to a new replica.
    pub links: Vec<LinkConfig>,
    /// The service that fills replicas, that is, copies a segment's data to each new replica; `None` if there is none.
    pub fills: Option<FillConfig>,
    /// How splits, merges and migrations of segments are carried out; `None` if they are disabled.
    pub rebalancing: Option<RebalanceConfig>,
    /// Constraints on new shard maps; `None` if configurations contain no shard maps.
    pub map: Option<MapConfig>,
    /// Quotas that are divided among the brokers by demand; `None` if each broker has an equal share of every quota.
    pub quotas: Option<QuotaConfig>,
}

/// Name and address of a broker.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokerAddress {
    /// Name of the broker, unique in the fleet.
    pub name: String,
    /// Address at which the broker is reached, over UDP and TCP.
    pub address: SocketAddr,
}

/// A partner: an organisation that owns zones. The work that its nodes do for the tenants of other partners is counted
/// as a debt of those partners.
#[derive(Clone, Debug, PartialEq)]
pub struct PartnerConfig {
    /// Name of the partner, unique in the fleet.
    pub name: String,
    /// Names of the zones in which the partner's nodes are.
    pub zones: Vec<String>,
    /// Names of the partner's tenants.
    pub tenants: Vec<String>,
    /// Names of the partner's brokers, which count the work for this partner. The counts of a broker that belongs to no
    /// partner are used for both sides of a debt.
    pub brokers: Vec<String>,
    /// Whether the partner's brokers also count the work that the partner's own nodes do for others. If so, a debt to
    /// this partner is the lower of the counts of both sides.
    pub metered: bool,
}

/// Limit on the bandwidth of fills, which copy segments' data to new replicas, from one partner to another.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConfig {
    /// Name of the partner that sends the segments' data.
    pub from: String,
    /// Name of the partner that receives the segments' data.
    pub to: String,
    /// Maximum rate of all fills from `from` to `to` together, in bytes per second.
    pub bytes_per_second: u64,
}

/// The operator's service that fills replicas (copies a segment's data to a new replica), with limits on its use.
#[derive(Clone, Debug, PartialEq)]
pub struct FillConfig {
    /// TCP address of the operator's service that fills replicas.
    pub address: SocketAddr,
    /// Deadline for all fills that a proposed configuration needs, in seconds. If the fills take longer, the
    /// configuration is withdrawn.
    pub deadline_seconds: f64,
    /// Size of one segment's data, in bytes.
    pub segment_bytes: u64,
    /// Maximum rate of one fill, which copies one segment's data to one new replica, in bytes per second.
    pub bytes_per_second: u64,
    /// Maximum number of fills that run at the same time.
    pub max_concurrent_fills: usize,
    /// Whether replicas on nodes in slow start (nodes that have just started) are filled too. The broker that is
    /// responsible for such a fill runs it even while it is partitioned from the other brokers. To allow this, debts
    /// are split among all brokers in advance, and each broker settles such fills from its share.
    pub fill_started_nodes: bool,
}

/// How plans of splits, merges and migrations of segments are carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct RebalanceConfig {
    /// File with the plan, read at startup and on SIGHUP.
    pub plan_file: PathBuf,
    /// Maximum number of actions (such as one split or one merge of segments) in one step of the plan.
    pub max_concurrent_actions: usize,
    /// Pause between two steps of the plan, in seconds.
    pub settle_seconds: f64,
    /// Maximum rate of all fills from one partner to another if there is no `link` node for them, in bytes per second;
    /// `None` for no limit.
    pub default_link_bytes_per_second: Option<u64>,
}

/// Constraints on new shard maps.
#[derive(Clone, Debug, PartialEq)]
pub struct MapConfig {
    /// Minimum number of filled replicas (replicas whose data is complete) of each segment.
    pub min_replicas: usize,
    /// Minimum number of zones in which each segment has a filled replica.
    pub min_zones: usize,
    /// Maximum ratio of segments that one configuration may change, from 0 to 1.
    pub max_changed_ratio: f64,
}

impl FleetConfig {
    /// Returns the consensus configuration of the broker with this name. `longest_query_seconds` is the longest query timeout
    /// in the deployment's settings; a longer one in this configuration takes precedence.
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
                .map_or(longest_query_seconds, |longest| longest.max(longest_query_seconds)),
            fill_deadline_seconds: fill_deadline.unwrap_or(DEFAULT_FILL_DEADLINE_SECONDS),
            max_changed_ratio: map.max_changed_ratio,
            maps_enabled: self.map.is_some(),
            map_requirements: MapConstraints { min_replicas: map.min_replicas, min_zones: map.min_zones },
        }
    }
}
