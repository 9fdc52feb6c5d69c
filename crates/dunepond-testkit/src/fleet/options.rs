//! What a fleet is made of.

use std::path::{Path, PathBuf};

/// How large a fleet is, and at which pace it goes.
#[derive(Clone)]
pub struct FleetOptions {
    /// The testkit's own program, which hosts brokers.
    pub program: PathBuf,
    /// Brokers that vote: the first ones.
    pub voters: usize,
    /// All brokers.
    pub brokers: usize,
    /// Nodes.
    pub nodes: usize,
    /// Segments of the key space.
    pub segment_count: usize,
    /// The lease of a voter on its vote, in seconds.
    pub lease_seconds: f64,
    /// The longest that a change waits for leases, in seconds.
    pub lease_bound_seconds: f64,
    /// The query timeout of all query classes, in seconds.
    pub query_timeout_seconds: f64,
    /// A change whose fills are not done by then is withdrawn; in seconds.
    pub fill_deadline_seconds: f64,
    /// Of all that the links draw.
    pub seed: u64,
    /// Brokers of each partner; the rest belong to none.
    pub partner_brokers: [Vec<usize>; 2],
    /// Cold replicas are filled by each broker, and debts split in advance; a node is cold for so many seconds.
    pub slow_start_seconds: Option<f64>,
    /// Both partners count what their own nodes carry.
    pub metered: bool,
    /// Whether the operator's files name a fleet at all.
    pub control_plane_enabled: bool,
    /// Whether brokers record what they do.
    pub audit_enabled: bool,
    /// More lines for `fleet` in the operator's files; `OWN` stands for a path of each broker's own.
    pub extra_lines: Vec<String>,
    /// How many brokers the settings speak of.
    pub balancers: usize,
    /// The quota of each tenant, in queries a second.
    pub tenant_quota: f64,
    /// Retries that versions allow.
    pub retry_budget: RetryBudget,
    /// Whether folders fail as [`super::Fleet::set_disk_fault`] says. Copies of such a folder do not.
    pub faulty_disks: bool,
}

/// Retries and hedged requests that versions allow.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// As a share of the requests that are admitted.
    pub ratio: f64,
    /// Beside that share.
    pub min_retries: f64,
}

impl FleetOptions {
    /// A small fleet with short times.
    pub fn new(program: &Path, voters: usize, brokers: usize) -> Self {
        Self {
            program: program.to_path_buf(),
            voters,
            brokers,
            nodes: 6,
            segment_count: 6,
            lease_seconds: 1.2,
            lease_bound_seconds: 3.0,
            query_timeout_seconds: 0.6,
            fill_deadline_seconds: 20.0,
            seed: 1,
            partner_brokers: Default::default(),
            slow_start_seconds: None,
            metered: false,
            control_plane_enabled: true,
            audit_enabled: true,
            extra_lines: Vec::new(),
            balancers: 1,
            tenant_quota: 1e6,
            retry_budget: RetryBudget { ratio: 0.1, min_retries: 20.0 },
            faulty_disks: false,
        }
    }
}
