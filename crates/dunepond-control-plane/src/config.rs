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
    /// Configuration of consensus and leases, including the names of this broker and of the voters.
    pub consensus: ConsensusConfig,
    /// Address at which this broker listens for the other brokers, over UDP and TCP.
    pub listen_address: SocketAddr,
    /// Existing directory for this broker's state, which no other broker may use.
    pub data_directory: PathBuf,
    /// Names and addresses of brokers that are known at startup. May include this broker.
    pub known_brokers: Vec<(String, SocketAddr)>,
    /// File with the secret that all brokers share. With `None`, brokers are identified by their addresses.
    pub key_file: Option<PathBuf>,
    /// The operator's file with a configuration version or a list of voters to propose.
    pub version_file: Option<PathBuf>,
    /// File to which the audit log is appended. With `None` there is no audit log.
    pub audit_log_file: Option<PathBuf>,
    /// Partners and their brokers. If empty, traffic between partners is neither counted nor settled.
    pub partners: Vec<Partner>,
    /// Maximum rates of fills between pairs of partners.
    pub link_rates: Vec<LinkRate>,
    /// Configuration of fills. With `None` no replica is filled.
    pub fills: Option<FillConfig>,
    /// Limit on the fill traffic to nodes in slow start. With `None` there is no limit.
    pub slow_start: Option<SlowStartPolicy>,
    /// Quotas that all brokers share. With `None` each broker enforces its quotas alone.
    pub quotas: Option<QuotaConfig>,
    /// Configuration of rebalancing plans (splits, merges and moves of segments). With `None` this broker reads no plan
    /// file.
    pub rebalancing: Option<RebalanceConfig>,
    /// Number of query classes. In a configuration version, lists with an entry for each query class must have this
    /// length.
    pub query_class_count: usize,
    /// Memory for messages between brokers, in bytes: those being received, those being sent and those that wait.
    pub max_message_memory_bytes: usize,
    /// Seed of the random number generator, combined with the broker's name and incarnation.
    pub seed: u64,
}

/// An organization that runs nodes and brokers.
#[derive(Clone, Debug)]
pub struct Partner {
    /// Name of the partner.
    pub name: String,
    /// Names of the partner's brokers. Their traffic counts are attributed to the partner.
    pub brokers: Vec<String>,
    /// Whether the partner's brokers also count the traffic that the partner's own nodes carry for other partners. If
    /// so, a debt for this traffic is the lower of the two partners' counts.
    pub metered: bool,
}

/// Maximum rate of the fills from one partner to another.
#[derive(Clone, Debug)]
pub struct LinkRate {
    /// Name of the partner from whose nodes segments are copied.
    pub from: String,
    /// Name of the partner to whose nodes segments are copied.
    pub to: String,
    /// Maximum total rate of the fills from one partner to the other, in bytes per second.
    pub bytes_per_second: u64,
}

/// Configuration of the quotas that all brokers share.
#[derive(Clone, Debug)]
pub struct QuotaConfig {
    /// The shared quotas, and how many units of each quota every broker may use without a lease.
    pub shared: SharedQuotas,
    /// Minimum time between two changes of the brokers' shares, in seconds.
    pub plan_interval_seconds: f64,
}

/// Configuration of rebalancing plans.
#[derive(Clone, Debug)]
pub struct RebalanceConfig {
    /// The operator's plan file.
    pub plan_file: PathBuf,
    /// Maximum number of actions in one step of a plan.
    pub max_concurrent_actions: usize,
    /// Pause between two steps of a plan, in seconds.
    pub settle_seconds: f64,
    /// Maximum rate of the fills between two partners for which no [`LinkRate`] is configured, in bytes per second.
    /// With `None` this rate is unlimited.
    pub default_link_rate: Option<u64>,
}

/// Configuration of fills.
#[derive(Clone, Debug)]
pub struct FillConfig {
    /// Address of the operator's fill service, which copies the segments.
    pub fill_service: SocketAddr,
    /// Assumed size of each segment, in bytes.
    pub segment_bytes: u64,
    /// Maximum rate of one fill, in bytes per second.
    pub bytes_per_second: u64,
    /// Maximum number of concurrent fill attempts. It applies separately to the fills that a proposed configuration
    /// version requires and to the broker's own fills of nodes in slow start.
    pub max_concurrent_fills: usize,
    /// Whether each broker also fills the nodes in slow start that it is responsible for, and settles these fills from
    /// its own share of the debts.
    pub fill_started_nodes: bool,
}

/// A point at which a test may simulate a crash of the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// A fill that the proposed configuration version requires is done. The leader has proposed the fill's settlement,
    /// if there is one, but not yet the log entry that the fill is completed.
    SettlementProposed,
    /// A fill that the broker planned itself for a node in slow start is done. The bytes that it does not settle are
    /// counted as traffic between the partners, but its settlement was not yet sent to the leader.
    OwnFillDone,
}

/// Called with each crash point that the control plane reaches. If it returns true, the control plane ends there as in
/// a crash.
pub type CrashHook = Arc<dyn Fn(CrashPoint) -> bool + Send + Sync>;

/// Replacements of external dependencies in tests.
#[derive(Default)]
pub struct TestDoubles {
    /// Replaces the files of the data directory.
    pub storage: Option<Arc<dyn FileStore>>,
    /// Replaces the client of the fill service.
    pub fill_client: Option<Arc<dyn FillClient>>,
    /// Simulates crashes of the control plane.
    pub crash_hook: Option<CrashHook>,
}
