//! What was learned of nodes, keyed by their names, and how much of it holds after a restart.

use dunepond_routing::{IdleResetRecord, LatencyRecord, LearnedNode, LearnedSample, LearnedState, NodeId};
use serde::{Deserialize, Serialize};

use crate::{DecodeError, Timestamp, decode, encode, is_duration};

/// Time in which a snapshot loses half of its weight: nodes recover, and fail, within minutes.
const HALF_LIFE_SECONDS: f64 = 30.0;
/// Below this weight a snapshot is not used at all.
const MIN_WEIGHT_RATIO: f64 = 1.0 / 8.0;

/// A node as the endpoint list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeIdentity {
    /// Its id in the routing crate, which may differ after a restart.
    pub node: NodeId,
    /// Its name in the list.
    pub name: String,
    /// Address and port.
    pub address: String,
    /// Unix seconds at which its process started; 0 if unknown or long ago.
    pub started_at: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredNode {
    name: String,
    address: String,
    started_at: f64,
    ejected: bool,
    /// The oldest first.
    samples: Vec<LearnedSample>,
}

/// Everything that was learned, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedSnapshot {
    at: Timestamp,
    /// Names of the query classes, as their order may change between two starts.
    query_classes: Vec<String>,
    nodes: Vec<StoredNode>,
    latency_samples: Vec<LatencyRecord>,
    idle_resets: Vec<IdleResetRecord>,
    baseline_latency: Option<f64>,
}

/// How far a snapshot is trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Confidence {
    /// Seconds since it was written; `None` if neither clock can tell.
    pub elapsed_seconds: Option<f64>,
    /// Share of its nodes that the list has with the same process and address.
    pub unchanged_ratio: f64,
    /// The share of its samples that is used, from 0 to 1.
    pub weight: f64,
}

/// Whether the stored entry of a node is used, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrustDecision {
    /// It is used.
    Trusted {
        /// Number of its samples that are restored.
        sample_count: usize,
        /// Whether it starts out ejected, due its probation attempt at once.
        ejected: bool,
    },
    /// The weight of the snapshot is 0: it is too old or of unknown age, or too many of its nodes have changed.
    Expired,
    /// The node's process was restarted since.
    Restarted,
    /// The list names another address.
    AddressChanged,
    /// The list does not name the node.
    Unlisted,
}

/// What is restored to the router, and how that was decided.
#[derive(Clone, Debug, PartialEq)]
pub struct TrustedState {
    /// How far the snapshot as a whole is trusted.
    pub confidence: Confidence,
    /// The statistics for the router, with all ages as of now.
    pub learned: LearnedState,
    /// Decision for each stored node, by name.
    pub nodes: Vec<(String, TrustDecision)>,
}

/// The newest samples of `all`, the share of them that `weight` gives, rounded up.
fn newest<T>(all: &[T], weight: f64) -> &[T] {
    let count = (weight * all.len() as f64).ceil() as usize;
    &all[all.len() - count.min(all.len())..]
}

impl LearnedSnapshot {
    /// Captures what was learned. Nodes that are not in `listed` are left out.
    pub fn capture(
        at: Timestamp,
        query_classes: &[String],
        listed: &[NodeIdentity],
        learned: &LearnedState,
    ) -> Self {
        let nodes = learned.nodes.iter().filter_map(|node| {
            let identity = listed.iter().find(|identity| identity.node == node.node)?;
            Some(StoredNode {
                name: identity.name.clone(),
                address: identity.address.clone(),
                started_at: identity.started_at,
                ejected: node.ejected,
                samples: node.samples.clone(),
            })
        });
        Self {
            at,
            query_classes: query_classes.to_vec(),
            nodes: nodes.collect(),
            latency_samples: learned.latency_samples.clone(),
            idle_resets: learned.idle_resets.clone(),
            baseline_latency: learned.baseline_latency,
        }
    }

    /// Encodes the payload of a snapshot file.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a payload. Times that are negative or not finite, and unknown query classes, are refused.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let snapshot: Self = decode(bytes)?;
        if snapshot.is_valid() {
            Ok(snapshot)
        } else {
            Err(DecodeError("a time or a table type out of bounds".to_string()))
        }
    }

    fn is_valid(&self) -> bool {
        let sample = |s: &LearnedSample| {
            is_duration(s.sent_ago)
                && is_duration(s.latency)
                && is_duration(s.ended_ago)
                && s.class < self.query_classes.len()
        };
        self.at.is_valid()
            && self.nodes.iter().all(|n| is_duration(n.started_at) && n.samples.iter().all(sample))
            && self.latency_samples.iter().all(|sample| {
                is_duration(sample.latency) && is_duration(sample.ago) && is_duration(sample.node_share)
            })
            && self.idle_resets.iter().all(|reset| is_duration(reset.ago) && is_duration(reset.idle_seconds))
            && self.baseline_latency.is_none_or(is_duration)
    }

    /// When it was captured.
    pub fn at(&self) -> &Timestamp {
        &self.at
    }

    /// Names of the query classes, in the order of its samples' indices.
    pub fn query_classes(&self) -> &[String] {
        &self.query_classes
    }

    /// Its nodes as an endpoint list would have named them.
    pub fn identities(&self) -> Vec<NodeIdentity> {
        let identity = |(node, stored): (NodeId, &StoredNode)| NodeIdentity {
            node,
            name: stored.name.clone(),
            address: stored.address.clone(),
            started_at: stored.started_at,
        };
        self.nodes.iter().enumerate().map(identity).collect()
    }

    /// Number of its nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// The node's present number, if the list still names the same process at the same address.
    fn find_unchanged(stored: &StoredNode, listed: &[NodeIdentity]) -> Result<NodeId, TrustDecision> {
        let Some(identity) = listed.iter().find(|identity| identity.name == stored.name) else {
            return Err(TrustDecision::Unlisted);
        };
        if identity.started_at > stored.started_at {
            Err(TrustDecision::Restarted)
        } else if identity.address != stored.address {
            Err(TrustDecision::AddressChanged)
        } else {
            Ok(identity.node)
        }
    }

    /// How far the snapshot is trusted now, given the endpoint list.
    pub fn confidence(&self, now: &Timestamp, listed: &[NodeIdentity]) -> Confidence {
        let elapsed_seconds = now.seconds_since(&self.at);
        let unchanged =
            self.nodes.iter().filter(|stored| Self::find_unchanged(stored, listed).is_ok()).count();
        let unchanged_ratio = unchanged as f64 / self.nodes.len().max(1) as f64;
        let freshness = elapsed_seconds.map_or(0.0, |elapsed| 0.5f64.powf(elapsed / HALF_LIFE_SECONDS));
        let weight = freshness * unchanged_ratio;
        let weight = if weight < MIN_WEIGHT_RATIO { 0.0 } else { weight };
        Confidence { elapsed_seconds, unchanged_ratio, weight }
    }

    /// What is restored of it now, given the endpoint list.
    pub fn restore(
        &self,
        now: &Timestamp,
        query_classes: &[String],
        listed: &[NodeIdentity],
    ) -> TrustedState {
        let confidence = self.confidence(now, listed);
        let (elapsed, weight) = (confidence.elapsed_seconds.unwrap_or(0.0), confidence.weight);
        let mut learned = LearnedState::default();
        let mut nodes = Vec::new();
        for stored in &self.nodes {
            let decision = match Self::find_unchanged(stored, listed) {
                Err(decision) => decision,
                Ok(_) if weight == 0.0 => TrustDecision::Expired,
                Ok(node) => {
                    let samples = self.aged_samples(stored, weight, elapsed, query_classes);
                    let sample_count = samples.len();
                    learned.nodes.push(LearnedNode { node, ejected: stored.ejected, samples });
                    TrustDecision::Trusted { sample_count, ejected: stored.ejected }
                }
            };
            nodes.push((stored.name.clone(), decision));
        }
        if weight > 0.0 {
            let latencies = newest(&self.latency_samples, weight).iter();
            learned.latency_samples =
                latencies.map(|sample| LatencyRecord { ago: sample.ago + elapsed, ..*sample }).collect();
            let resets = self.idle_resets.iter();
            learned.idle_resets =
                resets.map(|reset| IdleResetRecord { ago: reset.ago + elapsed, ..*reset }).collect();
            learned.baseline_latency = self.baseline_latency;
        }
        TrustedState { confidence, learned, nodes }
    }

    /// The share of the node's newest samples that `weight` gives, without those of query classes that no longer exist.
    fn aged_samples(
        &self,
        stored: &StoredNode,
        weight: f64,
        elapsed: f64,
        query_classes: &[String],
    ) -> Vec<LearnedSample> {
        let class_of =
            |index: usize| query_classes.iter().position(|name| *name == self.query_classes[index]);
        let aged = newest(&stored.samples, weight).iter().filter_map(|sample| {
            Some(LearnedSample {
                class: class_of(sample.class)?,
                sent_ago: sample.sent_ago + elapsed,
                ended_ago: sample.ended_ago + elapsed,
                ..sample.clone()
            })
        });
        aged.collect()
    }
}
