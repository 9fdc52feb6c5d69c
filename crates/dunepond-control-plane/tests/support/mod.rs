//! Support for tests of a single control plane.

use dunepond_consensus::ConsensusConfig;
use dunepond_shard_map::MapConstraints;

/// Consensus configuration of a fleet whose only voter is `n1`, with short leases.
pub fn single_voter(maps_enabled: bool) -> ConsensusConfig {
    ConsensusConfig {
        name: "n1".to_string(),
        voters: vec!["n1".to_string()],
        lease_seconds: 0.3,
        drift_ratio: 0.01,
        switch_bound_seconds: 1.0,
        longest_query_seconds: 0.1,
        fill_deadline_seconds: 10.0,
        max_changed_ratio: 1.0,
        maps_enabled,
        map_requirements: MapConstraints { min_replicas: 1, min_zones: 1 },
    }
}
