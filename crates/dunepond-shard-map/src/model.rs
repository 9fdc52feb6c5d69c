//! The shard map as it is stored and exchanged. The serialized names are those of the first release, hence the `rename`
//! attributes.

use serde::{Deserialize, Serialize};

use crate::KeyRange;

/// A replica of a segment: a node that stores the segment's data or is to be filled with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Name of the replica's node in discovery's endpoint list.
    pub node: String,
    /// Name of the partner (the organisation) that runs the replica's node.
    pub partner: String,
    /// Whether the replica's data is complete; false if it has to be filled first.
    pub filled: bool,
    /// Fraction of the segment's reads that the replica serves; the shares of a segment's replicas add up to 1.
    pub share: f64,
}

/// A segment, also called a shard: a range of keys with its replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Number of the segment, by which queries name it; client interfaces call this number `bucket`.
    pub id: u64,
    /// Keys of the segment.
    pub keys: KeyRange,
    /// Name of the only node that may be sent non-idempotent work for the segment; one of its filled replicas.
    pub owner: String,
    /// Replicas of the segment.
    #[serde(rename = "holders")]
    pub replicas: Vec<Replica>,
}

/// An unverified shard map, as it is stored and exchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardMap {
    /// Epoch of the map; each new map has a higher epoch than the map that it replaces.
    pub epoch: u64,
    /// Name of the hash function that maps keys to the key space; only [`KEY_HASH`](crate::KEY_HASH) is supported.
    pub hash: String,
    /// Segments of the map, in any order.
    pub segments: Vec<Segment>,
    /// Digest of all other fields in hexadecimal, see [`ShardMap::compute_digest`].
    pub digest: String,
}

/// A node, with the properties that a map is verified against.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node in discovery's endpoint list.
    pub name: String,
    /// Zone of the node, which is its failure domain.
    pub zone: String,
    /// Name of the partner (the organisation) that runs the node.
    pub partner: String,
    /// Whether the node is shutting down; it may then have no replicas in a new map.
    pub draining: bool,
}

/// Constraints on the replicas of every segment of a map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapConstraints {
    /// Smallest number of filled replicas of a segment.
    #[serde(rename = "least_holders")]
    pub min_replicas: usize,
    /// Smallest number of zones in which a segment has filled replicas.
    #[serde(rename = "least_zones")]
    pub min_zones: usize,
}

/// A replica that must be filled before the transition to a new map may end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequiredFill {
    /// Id of the replica's segment in the new map.
    pub segment: u64,
    /// Name of the node to fill.
    #[serde(rename = "holder")]
    pub replica: String,
    /// Names of the nodes that, under the old map, have complete data for all keys that the replica lacks; any of them
    /// may be the source of the fill.
    pub sources: Vec<String>,
}
