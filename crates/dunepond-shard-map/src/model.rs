//! The shard map as it is stored and exchanged. Names in the stored form are those of its first release, hence the `rename`s.

use serde::{Deserialize, Serialize};

use crate::KeyRange;

/// A node that stores a segment, or is to store it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// The node's name on discovery's endpoint list.
    pub node: String,
    /// The partner that runs the node.
    pub partner: String,
    /// Its data is complete; false for a replica that is to be filled first.
    pub filled: bool,
    /// Its part of the segment's reads; the shares of a segment's replicas add up to 1.
    pub share: f64,
}

/// A shard: a range of keys with its replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The shard's number in queries (`bucket` on the platform's doors).
    pub id: u64,
    /// Its keys.
    pub keys: KeyRange,
    /// The only node that may be sent non-idempotent work; one of the filled replicas.
    pub owner: String,
    /// The nodes that store it.
    #[serde(rename = "holders")]
    pub replicas: Vec<Replica>,
}

/// A shard map as it is stored and exchanged, not verified.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardMap {
    /// Grows with each map.
    pub epoch: u64,
    /// How keys are hashed into the space; only [`KEY_HASH`](crate::KEY_HASH) is known.
    pub hash: String,
    /// In any order.
    pub segments: Vec<Segment>,
    /// Of all other fields, see [`ShardMap::compute_digest`]. Hexadecimal.
    pub digest: String,
}

/// A node, as far as a map is verified against it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Its name on discovery's endpoint list.
    pub name: String,
    /// Its failure domain.
    pub zone: String,
    /// The partner that runs it.
    pub partner: String,
    /// It is shutting down and takes no new replicas.
    pub draining: bool,
}

/// What every segment of a map must satisfy besides covering the keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapConstraints {
    /// Filled replicas of a segment, at least.
    #[serde(rename = "least_holders")]
    pub min_replicas: usize,
    /// Zones with a filled replica, at least.
    #[serde(rename = "least_zones")]
    pub min_zones: usize,
}

/// A replica that must be filled before a map may be in force alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequiredFill {
    /// The segment's id in the new map.
    pub segment: u64,
    /// The node to fill.
    #[serde(rename = "holder")]
    pub replica: String,
    /// Nodes that are filled with all keys concerned under the old map; any of them may be the source.
    pub sources: Vec<String>,
}
