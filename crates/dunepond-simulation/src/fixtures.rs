//! Configurations, shard maps, versions and settlements of small fleets, for tests and scenarios.

use dunepond_consensus::{ConfigVersion, ConsensusConfig, ExcludedNodes, RoutingRules};
use dunepond_settlement::Settlement;
use dunepond_shard_map::{KeyRange, MapConstraints, Replica, Segment, ShardMap};

/// Ratio by which a broker's clock may run too fast or too slow, in the configurations that [`consensus_config`]
/// creates.
pub const DRIFT_RATIO: f64 = 0.01;
/// Number of segments in the maps that [`shard_map`] creates.
pub const SEGMENT_COUNT: u64 = 4;

/// Configuration of the broker `name` in a fleet with the voters `n1` to `n{voter_count}`.
pub fn consensus_config(name: &str, voter_count: usize) -> ConsensusConfig {
    ConsensusConfig {
        name: name.to_string(),
        voters: (1..=voter_count).map(|number| format!("n{number}")).collect(),
        lease_seconds: 1.0,
        drift_ratio: DRIFT_RATIO,
        switch_bound_seconds: 2.0,
        longest_query_seconds: 0.5,
        fill_deadline_seconds: 5.0,
        max_changed_ratio: 1.0,
        maps_enabled: true,
        map_requirements: MapConstraints { min_replicas: 1, min_zones: 1 },
    }
}

/// Routing rules that allow at most `max_attempts` attempts of each part of a query.
pub fn routing_rules(max_attempts: usize) -> RoutingRules {
    RoutingRules {
        minimum_shares: vec![0.5],
        complete_at: vec![1.0],
        retry_budget_ratio: 0.1,
        retry_budget_min: 10.0,
        drain_grace_seconds: 1.0,
        slow_start_multiple: 2.0,
        max_attempts,
        hedging_enabled: true,
        keyed_retries_enabled: true,
        max_retry_after_seconds: 5.0,
    }
}

/// A map of [`SEGMENT_COUNT`] segments with two filled replicas each. From each epoch to the next, the owner of one
/// segment changes. If `with_unfilled`, segment 0 has a third replica, which has to be filled first.
pub fn shard_map(epoch: u64, with_unfilled: bool) -> ShardMap {
    let width = (1u128 << 64) / u128::from(SEGMENT_COUNT);
    let replica = |node: String, filled, share| {
        let partner = String::from("north");
        Replica { node, partner, filled, share }
    };
    let segments = (0..SEGMENT_COUNT).map(|id| {
        // How often the owner of this segment has changed up to this epoch.
        let change_count = (epoch + SEGMENT_COUNT - 1 - id) / SEGMENT_COUNT;
        let mut replicas = vec![replica(format!("s{id}a"), true, 0.5), replica(format!("s{id}b"), true, 0.5)];
        if with_unfilled && id == 0 {
            replicas.push(replica(format!("cold{epoch}"), false, 0.0));
        }
        let keys = KeyRange::between(u128::from(id) * width, u128::from(id + 1) * width);
        let owner = format!("s{id}{}", ["a", "b"][change_count as usize % 2]);
        Segment { id, keys, owner, replicas }
    });
    let segments = segments.collect();
    ShardMap { epoch, hash: String::from("xxh3-64"), segments, digest: String::new() }.with_digest()
}

/// Configuration version `number` with this map. The rules' maximum number of attempts depends on the version number,
/// so that the rules of successive versions differ.
pub fn config_version(number: u64, map: Option<ShardMap>) -> ConfigVersion {
    ConfigVersion {
        number,
        based_on: None,
        first_stage_ratio: None,
        rules: routing_rules(1 + number as usize % 8),
        excluded_nodes: ExcludedNodes::default(),
        map,
        proposed_by: String::from("ann"),
        reason: String::from("a test"),
        proposed_at_unix_seconds: 0.0,
        extensions: Vec::new(),
    }
}

/// The settlement of a fill in version 1. `fill` is a part of the settlement's id and makes the id unique.
pub fn settlement(fill: &str) -> Settlement {
    let text = String::from;
    Settlement {
        id: format!("1/{fill}/s0a@fleet"),
        debtor: text("north"),
        creditor: text("south"),
        bytes: 10,
        segment: 0,
        holder: text("s0a"),
        source: text("s0b"),
    }
}
