//! What is simulated.

use dunepond_consensus::ConsensusConfig;
use dunepond_shard_map::MapConstraints;

/// Size of a fleet, and for how long it runs.
#[derive(Clone, Debug)]
pub struct ScenarioConfig {
    /// How many brokers there are.
    pub broker_count: usize,
    /// How many brokers vote: the first ones.
    pub voter_count: usize,
    /// Nodes of the store.
    pub node_count: usize,
    /// Partners that own the nodes.
    pub partner_count: usize,
    /// Segments of the map.
    pub segment_count: u64,
    /// Zones of the brokers.
    pub zone_count: usize,
    /// Simulated time with faults; 0: no faults.
    pub fault_seconds: f64,
    /// Simulated time before that, in which nothing fails and a version is proposed every few leases; what is measured.
    pub steady_seconds: f64,
    /// Length of a lease.
    pub lease_seconds: f64,
    /// The same seed gives the same run.
    pub seed: u64,
}

impl ScenarioConfig {
    /// A fleet of this many brokers; the other numbers are those of the experiment `fleet-at-size`.
    pub fn with_brokers(broker_count: usize, seed: u64) -> Self {
        Self {
            broker_count,
            voter_count: 5.min(broker_count),
            node_count: (broker_count * 2).clamp(20, 5000),
            partner_count: (broker_count / 10).clamp(5, 200),
            segment_count: 60,
            zone_count: 5,
            fault_seconds: 20.0,
            steady_seconds: 0.0,
            lease_seconds: 2.0,
            seed,
        }
    }

    /// Configuration of the brokers.
    pub fn consensus_config(&self) -> ConsensusConfig {
        ConsensusConfig {
            name: String::from("n0"),
            voters: (1..=self.voter_count).map(|number| format!("n{number}")).collect(),
            lease_seconds: self.lease_seconds,
            drift_ratio: 0.01,
            switch_bound_seconds: 2.0 * self.lease_seconds + 1.5,
            longest_query_seconds: 1.0,
            fill_deadline_seconds: 8.0,
            max_changed_ratio: 1.0,
            maps_enabled: true,
            map_requirements: MapConstraints { min_replicas: 1, min_zones: 1 },
        }
    }
}
