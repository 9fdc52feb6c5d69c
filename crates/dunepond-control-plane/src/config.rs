//! Configuration of a broker's control plane.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use dunepond_consensus::ConsensusConfig;
use dunepond_quota::SharedQuotas;
use dunepond_storage::FileStore;

use crate::fill_client::FillClient;
use crate::slow_start::SlowStartPolicy;

/// Configuration of one broker's control plane.
#[derive(Clone, Debug)]
pub struct ControlPlaneConfig {
    /// Terms of consensus and leases, with the names of this broker and the voters.
    pub terms: ConsensusConfig,
    /// Where other brokers reach this one, over UDP and TCP.
    pub listen_address: SocketAddr,
    /// An existing directory that no other broker uses.
    pub data_directory: PathBuf,
    /// Names and addresses of brokers that are known from the start, this one among them or not.
    pub known_brokers: Vec<(String, SocketAddr)>,
    /// File with the secret that all brokers share; `None`: brokers are known by their addresses.
    pub key_file: Option<PathBuf>,
    /// The operator's document, a version or a list of voters, to propose.
    pub version_file: Option<PathBuf>,
    /// File to which the audit log is appended; `None`: no audit log.
    pub audit_log_file: Option<PathBuf>,
    /// Partners and their brokers; without any, nothing is counted or settled.
    pub partners: Vec<Partner>,
    /// Rates that fills may take between partners.
    pub link_rates: Vec<LinkRate>,
    /// How replicas are filled; `None`: not at all.
    pub fills: Option<FillConfig>,
    /// What fills may send to nodes in slow start; `None`: no limit.
    pub slow_start: Option<SlowStartPolicy>,
    /// Quotas that all brokers share; `None`: each broker keeps its own.
    pub quotas: Option<QuotaConfig>,
    /// Plans of splits, merges and migrations; `None`: none is read here.
    pub rebalancing: Option<RebalanceConfig>,
    /// Number of query classes, and so of entries in a version's lists by query class.
    pub query_class_count: usize,
    /// Seed of all random numbers, mixed with the broker's name and incarnation.
    pub seed: u64,
}

/// An owner of nodes and brokers.
#[derive(Clone, Debug)]
pub struct Partner {
    /// Its name.
    pub name: String,
    /// Its brokers: their counts speak for its side.
    pub brokers: Vec<String>,
    /// Its brokers also count what its own nodes carry: the lesser of both sides' counts is owed.
    pub metered: bool,
}

/// What fills may take of the link from one partner to another.
#[derive(Clone, Debug)]
pub struct LinkRate {
    /// Partner that the data come from.
    pub from: String,
    /// Partner that the data go to.
    pub to: String,
    /// All fills together, in bytes a second.
    pub bytes_per_second: u64,
}

/// Configuration of the quotas that all brokers share.
#[derive(Clone, Debug)]
pub struct QuotaConfig {
    /// The quotas and the floor of each broker.
    pub shared: SharedQuotas,
    /// Least time between two changes of the brokers' shares, in seconds.
    pub plan_interval_seconds: f64,
}

/// Configuration of rebalancing plans.
#[derive(Clone, Debug)]
pub struct RebalanceConfig {
    /// The operator's plan.
    pub plan_file: PathBuf,
    /// Most actions of one step.
    pub max_concurrent_actions: usize,
    /// Pause between two steps, in seconds.
    pub settle_seconds: f64,
    /// Bytes a second that fills may take between two partners that no link rate names.
    pub default_link_rate: Option<u64>,
}

/// Configuration of fills.
#[derive(Clone, Debug)]
pub struct FillConfig {
    /// The operator's service that carries fills out.
    pub fill_service: SocketAddr,
    /// Size that each segment is taken to have.
    pub segment_bytes: u64,
    /// Highest rate of one fill.
    pub bytes_per_second: u64,
    /// Most attempts that run at once, for fills of versions and for the broker's own each.
    pub max_concurrent_fills: usize,
    /// Each broker also fills nodes in slow start that it is responsible for, and settles these fills from its own share.
    pub fill_started_nodes: bool,
}

/// A point at which a crash test may end the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// The settlement of a version's fill, if it has one, was entered into the log, and its completion was not.
    SettlementEntered,
    /// A fill of the broker's own is done and counted, and the leader was not told.
    OwnFillDone,
}

/// Called when a point is reached; true ends the control plane there.
pub type CrashPoints = Arc<dyn Fn(CrashPoint) -> bool + Send + Sync>;

/// Replacements of what is outside the process, for tests.
#[derive(Default)]
pub struct TestDoubles {
    /// In place of the data directory.
    pub storage: Option<Arc<dyn FileStore>>,
    /// In place of the fill service.
    pub fill_client: Option<Arc<dyn FillClient>>,
    /// Ends the control plane at chosen points.
    pub crashes_at: Option<CrashPoints>,
}
