use std::collections::BTreeMap;

use super::{ReplicatedState, maps};
use crate::{ConsensusConfig, decode};

#[test]
fn unknown_parts_stay_in_snapshots() {
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
    let mut later = ReplicatedState::new(config, BTreeMap::new());
    later.unknown_parts.insert(String::from("omens"), ciborium::Value::from(vec![1, 2, 3]));
    let read = decode::replicated_state(&later.encode()).unwrap();
    assert_eq!(read.unknown_parts, later.unknown_parts);
    assert_eq!(read.encode(), later.encode());
    later.required_parts.insert(String::from("omens"));
    assert!(decode::replicated_state(&later.encode()).is_none());
}
