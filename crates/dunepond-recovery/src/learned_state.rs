//! The stored form of what a broker learned about nodes, and how much of it is restored after a restart. Nodes and query
//! classes are stored by name, since their indices may differ between two processes.

use dunepond_routing::{IdleUseRecord, LatencyRecord, LearnedNode, LearnedSample, LearnedState, NodeId};
use serde::{Deserialize, Serialize};

use crate::{DecodeError, Timestamp, decode, encode, is_duration};

/// Seconds after which the weight of a snapshot has halved. The time is short because nodes fail and recover within
/// minutes.
const HALF_LIFE_SECONDS: f64 = 30.0;
/// Smallest weight (0 to 1) with which a snapshot is used. Below it, nothing is restored from the snapshot.
const MIN_WEIGHT_RATIO: f64 = 1.0 / 8.0;

/// A node as the endpoint list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeIdentity {
    /// The node's id in the routing crate, which may differ after a restart of the broker.
    pub node: NodeId,
    /// The node's name in the endpoint list.
    pub name: String,
    /// The node's address and port.
    pub address: String,
    /// Time at which the node's process started, in Unix seconds; 0 if unknown or long ago.
    pub started_at: f64,
}

/// What was learned about one node, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredNode {
    name: String,
    address: String,
    started_at: f64,
    ejected: bool,
    /// The node's samples, oldest first. The class of a sample is an index into [`LearnedSnapshot::query_classes`].
    samples: Vec<LearnedSample>,
}

/// Everything that a broker learned about nodes, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedSnapshot {
    /// When the snapshot was captured; all ages in it are relative to this time.
    at: Timestamp,
    /// Names of the query classes, since their order may change between two starts.
    query_classes: Vec<String>,
    nodes: Vec<StoredNode>,
    latency_samples: Vec<LatencyRecord>,
    #[serde(rename = "idle_resets")]
    idle_uses: Vec<IdleUseRecord>,
    baseline_latency: Option<f64>,
}

/// How far a snapshot is trusted at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Confidence {
    /// Seconds since the snapshot was captured; `None` if they are unknown, because a clock was set back.
    pub elapsed_seconds: Option<f64>,
    /// Fraction (0 to 1) of the snapshot's nodes that are unchanged: the endpoint list still names them with the same
    /// address, and their process was not restarted.
    pub unchanged_ratio: f64,
    /// Fraction (0 to 1) of the snapshot's samples that is restored. The newest samples are restored, and the older ones
    /// are dropped. At 0, nothing is restored.
    pub weight: f64,
}

/// Whether what was stored about a node is restored, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrustDecision {
    /// The node's samples and ejection are restored.
    Trusted {
        /// Number of the node's samples that are restored.
        sample_count: usize,
        /// Whether the node starts out ejected. If so, its probation attempt, a trial request that tests whether the node
        /// has recovered, may be sent at once.
        ejected: bool,
    },
    /// The weight of the snapshot is 0, since the snapshot is too old, its age is unknown, or too many of its nodes
    /// have changed.
    Expired,
    /// The node's process was restarted after the snapshot was captured.
    Restarted,
    /// The endpoint list names the node with another address.
    AddressChanged,
    /// The endpoint list does not name the node.
    Unlisted,
}

/// What is restored to the router from a snapshot, with the decision about each node.
#[derive(Clone, Debug, PartialEq)]
pub struct TrustedState {
    /// How far the snapshot as a whole is trusted.
    pub confidence: Confidence,
    /// The learned state for the router, with ages relative to the time of the restore.
    pub learned: LearnedState,
    /// Name of each stored node and the decision about it.
    pub nodes: Vec<(String, TrustDecision)>,
}

/// Returns the newest elements of `all`, which is ordered oldest first. `weight` is the fraction (0 to 1) of the
/// elements to return; their number is rounded up.
fn newest<T>(all: &[T], weight: f64) -> &[T] {
    let count = (weight * all.len() as f64).ceil() as usize;
    &all[all.len() - count.min(all.len())..]
}

impl LearnedSnapshot {
    /// Captures what was learned, as of `at`. Nodes that are not in the endpoint list `listed` are left out.
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
            idle_uses: learned.idle_uses.clone(),
            baseline_latency: learned.baseline_latency,
        }
    }

    /// Encodes the snapshot as the payload of a snapshot file.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes the payload of a snapshot file. Rejects a payload in which a time or ratio is negative or not finite, or
    /// a sample has a query class that the snapshot does not name.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let snapshot: Self = decode(bytes)?;
        if snapshot.is_valid() {
            Ok(snapshot)
        } else {
            Err(DecodeError(
                "a time or ratio is negative or not finite, or a sample has an unknown query class"
                    .to_string(),
            ))
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
            && self
                .idle_uses
                .iter()
                .all(|idle_use| is_duration(idle_use.ago) && is_duration(idle_use.idle_seconds))
            && self.baseline_latency.is_none_or(is_duration)
    }

    /// Returns when the snapshot was captured.
    pub fn at(&self) -> &Timestamp {
        &self.at
    }

    /// Returns the names of the query classes; a sample's class is an index into them.
    pub fn query_classes(&self) -> &[String] {
        &self.query_classes
    }

    /// Returns the snapshot's nodes as an endpoint list would describe them. A snapshot stores names and no ids, so the
    /// nodes are numbered from 0.
    pub fn identities(&self) -> Vec<NodeIdentity> {
        let identity = |(node, stored): (NodeId, &StoredNode)| NodeIdentity {
            node,
            name: stored.name.clone(),
            address: stored.address.clone(),
            started_at: stored.started_at,
        };
        self.nodes.iter().enumerate().map(identity).collect()
    }

    /// Returns the number of nodes in the snapshot.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the present id of the node that `stored` describes, if the endpoint list `listed` still names it with
    /// the same process and address. Otherwise returns the reason why the node is not restored.
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

    /// Returns how far the snapshot is trusted at `now`, given the endpoint list `listed`.
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

    /// Returns what is restored from the snapshot at `now`, given the present query classes and the endpoint list `listed`.
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
            let idle_uses = self.idle_uses.iter();
            learned.idle_uses = idle_uses
                .map(|idle_use| IdleUseRecord { ago: idle_use.ago + elapsed, ..*idle_use })
                .collect();
            learned.baseline_latency = self.baseline_latency;
        }
        TrustedState { confidence, learned, nodes }
    }

    /// Returns the newest samples of `stored`, with ages increased by `elapsed` seconds. `weight` is the fraction of the
    /// samples to take, from 0 to 1. Of the samples taken, those of query classes that are not in `query_classes` are
    /// left out.
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
