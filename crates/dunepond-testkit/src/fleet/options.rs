//! Options of a fleet.

use std::path::{Path, PathBuf};

/// Options of a fleet: its size, its timeouts and its configuration.
#[derive(Clone)]
pub struct FleetOptions {
    /// Path of the testkit's own executable, which runs each broker as a subcommand.
    pub program: PathBuf,
    /// Number of voters. The first brokers are the voters.
    pub voter_count: usize,
    /// Number of brokers, voters included.
    pub broker_count: usize,
    /// Number of nodes.
    pub node_count: usize,
    /// Number of segments that the key space is divided into.
    pub segment_count: usize,
    /// Duration of a lease, in seconds.
    pub lease_seconds: f64,
    /// Longest time that a change of version waits for the leases on the previous version to end, in seconds.
    pub switch_bound_seconds: f64,
    /// Query timeout of all query classes, in seconds.
    pub query_timeout_seconds: f64,
    /// Time, in seconds, after which a change is withdrawn if its fills are not complete.
    pub fill_deadline_seconds: f64,
    /// Seed of all random draws of the links.
    pub seed: u64,
    /// Indices of the brokers that belong to each partner. A broker that is in neither list belongs to no partner.
    pub partner_brokers: [Vec<usize>; 2],
    /// Duration of a node's slow start, in seconds. If set, the brokers also have the replicas on cold nodes filled, and they
    /// split the debts between partners in advance so that each can do so on its own.
    pub slow_start_seconds: Option<f64>,
    /// Whether each partner's brokers also count the work of its own nodes.
    pub metering_enabled: bool,
    /// Whether the operator's files configure the control plane. If not, the files are empty.
    pub control_plane_enabled: bool,
    /// Whether brokers write audit records.
    pub audit_enabled: bool,
    /// Additional lines for the `fleet` node of the operator's files. In each line `OWN` is replaced by a path that is unique
    /// to the broker: the fleet's folder followed by the broker's name.
    pub extra_kdl_lines: Vec<String>,
    /// Number of brokers that the settings state.
    pub configured_broker_count: usize,
    /// Quota of each tenant, in queries per second.
    pub tenant_quota_per_second: f64,
    /// Retry budget in the versions of the configuration.
    pub retry_budget: RetryBudget,
    /// Whether the brokers' folders fail as [`super::Fleet::set_disk_fault`] says. Copies of such a folder do not fail.
    pub disk_faults_enabled: bool,
}

/// Limit on retries and hedged requests in the versions of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Number of retries and hedged requests allowed for each query and each part that arrives in a budget window, in addition
    /// to `min_retries`.
    pub ratio: f64,
    /// Number of retries and hedged requests allowed in each budget window regardless of the load.
    pub min_retries: f64,
}

impl FleetOptions {
    /// Returns the options of a small fleet with short timeouts.
    pub fn new(program: &Path, voter_count: usize, broker_count: usize) -> Self {
        Self {
            program: program.to_path_buf(),
            voter_count,
            broker_count,
            node_count: 6,
            segment_count: 6,
            lease_seconds: 1.2,
            switch_bound_seconds: 3.0,
            query_timeout_seconds: 0.6,
            fill_deadline_seconds: 20.0,
            seed: 1,
            partner_brokers: Default::default(),
            slow_start_seconds: None,
            metering_enabled: false,
            control_plane_enabled: true,
            audit_enabled: true,
            extra_kdl_lines: Vec::new(),
            configured_broker_count: 1,
            tenant_quota_per_second: 1e6,
            retry_budget: RetryBudget { ratio: 0.1, min_retries: 20.0 },
            disk_faults_enabled: false,
        }
    }
}
