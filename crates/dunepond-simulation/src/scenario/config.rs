//! Configuration of a scenario.

use dunepond_consensus::ConsensusConfig;
use dunepond_shard_map::MapConstraints;

/// Size of a simulated fleet, and how long it runs.
#[derive(Clone, Debug)]
pub struct ScenarioConfig {
    /// Number of brokers.
    pub broker_count: usize,
    /// Number of voters. The first brokers, by index, are the voters.
    pub voter_count: usize,
    /// Number of nodes.
    pub node_count: usize,
    /// Number of partners that own the nodes.
    pub partner_count: usize,
    /// Number of segments in the shard map.
    pub segment_count: u64,
    /// Number of zones over which the brokers are spread.
    pub zone_count: usize,
    /// Length of the part of the run in which faults are injected, in seconds; 0 for no faults.
    pub fault_seconds: f64,
    /// Length of the steady part of the run, before the faults, in seconds. In this part the brokers' load is
    /// measured, nothing fails, and a configuration version is proposed every few lease lengths.
    pub steady_seconds: f64,
    /// Length of a lease, in seconds.
    pub lease_seconds: f64,
    /// Seed of all random numbers; the same configuration and seed give the same run.
    pub seed: u64,
}

impl ScenarioConfig {
    /// A fleet of this many brokers; the other values are those of the experiment `fleet-at-size`.
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

    /// Consensus configuration of the brokers.
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
