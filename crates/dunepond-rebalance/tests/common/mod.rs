//! Builders of maps and plans for tests.
#![allow(dead_code)]

use dunepond_rebalance::{Capacity, DesiredState, NodeSpec, Operation, Plan, SegmentSizes, StepLimits};
use dunepond_shard_map::{KeyRange, MapConstraints, Replica, Segment, ShardMap, VerifiedMap, verify};

/// At most three actions in a step, any ratio of changed segments.
pub const LIMITS: StepLimits = StepLimits { max_actions: 3, max_changed_ratio: 1.0 };

/// A map of segments of equal width. `replica_nodes`: for each segment, the nodes with a replica; the first is the
/// owner.
pub fn map_of(replica_nodes: &[&[&str]]) -> VerifiedMap {
    let width = ((1_u128 << 64) / replica_nodes.len() as u128) as u64;
    let segments = replica_nodes.iter().enumerate().map(|(index, nodes)| {
        let replica = |node: &&str| Replica {
            node: node.to_string(),
            partner: partner_of(node),
            filled: true,
            share: 1.0 / nodes.len() as f64,
        };
        let to = (index + 1 < replica_nodes.len()).then(|| width * (index as u64 + 1));
        Segment {
            id: index as u64,
            keys: KeyRange { from: width * index as u64, to },
            owner: nodes[0].to_string(),
            replicas: nodes.iter().map(replica).collect(),
        }
    });
    let segments = segments.collect();
    let map = ShardMap { epoch: 4, hash: "xxh3-64".to_string(), segments, digest: String::new() };
    verify(&map.with_digest(), &[], &MapConstraints { min_replicas: 1, min_zones: 1 }).unwrap()
}

/// Partner that runs the node: "north" for `a` and `b`, "south" for `c` and `d`.
pub fn partner_of(node: &str) -> String {
    if node < "c" { "north".to_string() } else { "south".to_string() }
}

/// An unordered plan without capacities, for nodes `a` to `d`; segments have 10 bytes.
pub fn plan(operations: Vec<Operation>) -> Plan {
    Plan {
        id: "p".to_string(),
        proposed_by: "a test".to_string(),
        reason: "to see".to_string(),
        desired_state: DesiredState::Run,
        ordered: false,
        operations,
        nodes: ["a", "b", "c", "d"].map(|name| (name.to_string(), node(name, None, None))).into(),
        replica_groups: [
            ("left".to_string(), Capacity::default()),
            ("right".to_string(), Capacity::default()),
        ]
        .into(),
        partners: Default::default(),
        sizes: SegmentSizes { default_bytes: 10, segment_bytes: Default::default() },
    }
}

/// Spec of a node with this capacity; `a` and `c` are in replica group "left", the others in "right".
pub fn node(name: &str, bytes: Option<u64>, segments: Option<u64>) -> NodeSpec {
    let group = if ["a", "c"].contains(&name) { "left" } else { "right" };
    NodeSpec {
        partner: Some(partner_of(name)),
        replica_group: Some(group.to_string()),
        capacity: Capacity { bytes, segments },
    }
}

pub fn move_segment(segment: u64, from: &str, to: &str) -> Operation {
    Operation::Move { segment, from: from.to_string(), to: to.to_string() }
}

pub fn split(segment: u64, key: u64, into: [u64; 2]) -> Operation {
    Operation::Split { segment, split_keys: vec![key], into: into.to_vec() }
}

pub fn merge(segments: [u64; 2], into: u64) -> Operation {
    Operation::Merge { segments: segments.to_vec(), into }
}

pub fn change_owner(segment: u64, to: &str) -> Operation {
    Operation::ChangeOwner { segment, to: to.to_string() }
}
