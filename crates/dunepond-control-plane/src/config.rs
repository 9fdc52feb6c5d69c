//! What a broker's part in the control plane is configured with.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use dunepond_consensus::ConsensusConfig;
use dunepond_quota::SharedQuotas;
use dunepond_storage::FileStore;

use crate::fill_client::FillClient;
use crate::slow_start::SlowStartPolicy;

/// Configuration of one broker's part.
#[derive(Clone, Debug)]
pub struct ControlPlaneConfig {
    /// Of consensus and leases; names this broker and the voters.
    pub terms: ConsensusConfig,
    /// Where other brokers reach this one, over UDP and TCP.
    pub listen_address: SocketAddr,
    /// An existing directory of this broker alone.
    pub data_directory: PathBuf,
    /// Brokers known from the start by name and address, this one among them or not.
    pub known_brokers: Vec<(String, SocketAddr)>,
    /// Holds the secret that all brokers share.
    pub key_file: Option<PathBuf>,
    /// The version or list of voters to propose.
    pub version_file: Option<PathBuf>,
    /// Where to append the audit log.
    pub audit_log_file: Option<PathBuf>,
    /// Who owns which brokers.
    pub partners: Vec<Partner>,
    /// Rates that fills may take between partners.
    pub link_rates: Vec<LinkRate>,
    /// How replicas are filled; `None`: not at all.
    pub fills: Option<FillConfig>,
    /// How nodes that were just started are spared by fills; `None`: not at all.
    pub slow_start: Option<SlowStartPolicy>,
    /// Quotas that all brokers share; `None`: each broker keeps its own.
    pub quotas: Option<QuotaConfig>,
    /// Plans of splits, merges and migrations.
    pub rebalancing: Option<RebalanceConfig>,
    /// Entries that lists by query class must have in a version.
    pub query_class_count: usize,
    /// Of all random draws, mixed with the broker's name and incarnation.
    pub seed: u64,
}

/// An owner of nodes and brokers.
#[derive(Clone, Debug)]
pub struct Partner {
    /// Its name.
    pub name: String,
    /// Its brokers: what they count speaks for its side.
    pub brokers: Vec<String>,
    /// They also count what its own nodes carry: the lesser of both sides' counts is owed.
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
    /// The operator's document.
    pub plan_file: PathBuf,
    /// Acts of one step at most.
    pub max_concurrent_acts: usize,
    /// Pause between two steps.
    pub settle_seconds: f64,
    /// Bytes a second that fills may take between two partners that no link rate names.
    pub default_link_rate: Option<u64>,
}

/// Configuration of fills.
#[derive(Clone, Debug)]
pub struct FillConfig {
    /// The operator's service that carries fills out.
    pub fill_service: SocketAddr,
    /// Bytes that a segment is taken to have.
    pub segment_bytes: u64,
    /// Rate of one fill at most.
    pub bytes_per_second: u64,
    /// Fills under way at most, in each lane.
    pub max_concurrent_fills: usize,
    /// Each broker also fills replicas on nodes that were just started, as far as they fall to it, and settles them out of
    /// its own share.
    pub fill_started_nodes: bool,
}

/// Called with the name of a point that a crash test may choose; true ends the control plane there.
pub type CrashPoints = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// Replacements of the outside in tests.
#[derive(Default)]
pub struct TestDoubles {
    /// In place of the data directory.
    pub storage: Option<Arc<dyn FileStore>>,
    /// In place of the fill service.
    pub fill_client: Option<Arc<dyn FillClient>>,
    /// Ends the control plane at chosen points.
    pub crashes_at: Option<CrashPoints>,
}
