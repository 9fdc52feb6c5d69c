use std::collections::BTreeMap;

use super::{ReplicatedState, maps};
use crate::{ConsensusConfig, decode};

#[test]
fn unknown_parts_are_preserved_in_snapshots() {
    let config = ConsensusConfig {
        name: String::from("n1"),
        voters: vec![String::from("n1")],
        lease_seconds: 1.0,
        drift_ratio: 0.01,
        switch_bound_seconds: 3.0,
        longest_query_seconds: 1.0,
        fill_deadline_seconds: 1.0,
        max_changed_ratio: 1.0,
        maps_enabled: false,
        map_requirements: maps::MapConstraints { min_replicas: 1, min_zones: 1 },
    };
    let mut later_state = ReplicatedState::new(config, BTreeMap::new());
    later_state.unknown_parts.insert(String::from("omens"), ciborium::Value::from(vec![1, 2, 3]));
    let read = decode::replicated_state(&later_state.encode()).unwrap();
    assert_eq!(read.unknown_parts, later_state.unknown_parts);
    assert_eq!(read.encode(), later_state.encode());
    // A required part that this build does not know makes the snapshot unusable.
    later_state.required_parts.insert(String::from("omens"));
    assert!(decode::replicated_state(&later_state.encode()).is_none());
}
