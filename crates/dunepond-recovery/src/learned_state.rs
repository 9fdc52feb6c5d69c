//! What was learned of nodes, by their names, and what of it holds after a time without us.

use dunepond_routing::{LearnedNode, LearnedSample, LearnedState, NodeId};
use serde::{Deserialize, Serialize};

use crate::{DecodeError, Timestamp, decode, encode};

/// Seconds in which beliefs lose half of their weight: nodes are mended, and fail, within minutes.
const HALF: f64 = 30.0;
/// Below this weight nothing is believed: what little it says would only be in the way.
const LEAST: f64 = 1.0 / 8.0;

/// A node as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeIdentity {
    pub node: NodeId,
    pub name: String,
    pub address: String,
    /// Unix time at which its process started; 0 if long ago.
    pub started_at: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SavedNode {
    name: String,
    dial: String,
    started: f64,
    aside: bool,
    samples: Vec<LearnedSample>,
}

/// Everything that was learned, as it is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedSnapshot {
    at: Timestamp,
    /// Table types by their names: their order may change.
    table_types: Vec<String>,
    nodes: Vec<SavedNode>,
    fleet: Vec<(f64, f64, f64)>,
    reaped: Vec<(f64, f64, bool)>,
    ease: Option<f64>,
}

/// How much of a file counts, and by what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Confidence {
    /// Seconds since it was written; nothing where no clock tells.
    pub elapsed_seconds: Option<f64>,
    /// The part of its nodes that stand in the list as they did.
    pub unchanged_ratio: f64,
    /// 0 where nothing is believed.
    pub weight: f64,
}

/// What became of the beliefs of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrustDecision {
    /// So many samples, and whether it comes back as one that is due its trial.
    Trusted {
        sample_count: usize,
        ejected: bool,
    },
    Expired,
    /// Its process has started since.
    Restarted,
    /// It has another address.
    AddressChanged,
    /// The list does not name it.
    Unlisted,
}

/// What the decision module is to be told, and how it came to that.
#[derive(Clone, Debug, PartialEq)]
pub struct TrustedState {
    pub confidence: Confidence,
    pub learned: LearnedState,
    pub nodes: Vec<(String, TrustDecision)>,
}

impl LearnedSnapshot {
    /// `known` are all nodes of the list; what is believed of one that it does not name is not kept.
    pub fn capture(
        at: Timestamp,
        table_types: &[String],
        known: &[NodeIdentity],
        beliefs: &LearnedState,
    ) -> Self {
        let nodes = beliefs.nodes.iter().filter_map(|belief| {
            let identity = known.iter().find(|identity| identity.node == belief.node)?;
            Some(SavedNode {
                name: identity.name.clone(),
                dial: identity.address.clone(),
                started: identity.started_at,
                aside: belief.ejected,
                samples: belief.samples.clone(),
            })
        });
        Self {
            at,
            table_types: table_types.to_vec(),
            nodes: nodes.collect(),
            fleet: beliefs.latency_samples.clone(),
            reaped: beliefs.idle_resets.clone(),
            ease: beliefs.baseline_latency,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Whatever reads as these types is checked too: a time that is none, or below nothing, is nobody's.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let saved: Self = decode(bytes)?;
        let time = |t: f64| t.is_finite() && t >= 0.0;
        let sample = |s: &LearnedSample| {
            time(s.sent_ago) && time(s.latency) && time(s.ended_ago) && s.class < saved.table_types.len()
        };
        let node = |n: &SavedNode| time(n.started) && n.samples.iter().all(sample);
        let good = saved.at.is_time()
            && saved.nodes.iter().all(node)
            && saved.fleet.iter().all(|f| time(f.0) && time(f.1) && time(f.2))
            && saved.reaped.iter().all(|r| time(r.0) && time(r.1))
            && saved.ease.is_none_or(time);
        if good { Ok(saved) } else { Err(DecodeError("a time or a table type out of bounds".to_string())) }
    }

    pub fn at(&self) -> &Timestamp {
        &self.at
    }

    pub fn table_types(&self) -> &[String] {
        &self.table_types
    }

    /// Its nodes as they stood, as a list would name them.
    pub fn identities(&self) -> Vec<NodeIdentity> {
        let identity = |(node, saved): (NodeId, &SavedNode)| NodeIdentity {
            node,
            name: saved.name.clone(),
            address: saved.dial.clone(),
            started_at: saved.started,
        };
        self.nodes.iter().enumerate().map(identity).collect()
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    fn same(saved: &SavedNode, present: &[NodeIdentity]) -> Result<NodeId, TrustDecision> {
        let identity =
            present.iter().find(|identity| identity.name == saved.name).ok_or(TrustDecision::Unlisted)?;
        if identity.started_at > saved.started {
            return Err(TrustDecision::Restarted);
        }
        if identity.address != saved.dial { Err(TrustDecision::AddressChanged) } else { Ok(identity.node) }
    }

    /// How much it counts at this time before this list.
    pub fn confidence(&self, now: &Timestamp, present: &[NodeIdentity]) -> Confidence {
        let elapsed = now.seconds_since(&self.at);
        let same = self.nodes.iter().filter(|saved| Self::same(saved, present).is_ok()).count();
        let same = same as f64 / self.nodes.len().max(1) as f64;
        let aged = elapsed.map_or(0.0, |elapsed| 0.5f64.powf(elapsed / HALF));
        let weight = aged * same;
        Confidence {
            elapsed_seconds: elapsed,
            unchanged_ratio: same,
            weight: if weight < LEAST { 0.0 } else { weight },
        }
    }

    /// What holds of it now, before this list.
    pub fn restore(&self, now: &Timestamp, table_types: &[String], present: &[NodeIdentity]) -> TrustedState {
        let weight = self.confidence(now, present);
        let elapsed = weight.elapsed_seconds.unwrap_or(0.0);
        let place = |index: usize| table_types.iter().position(|name| *name == self.table_types[index]);
        let mut beliefs = LearnedState::default();
        let mut nodes = Vec::new();
        for saved in &self.nodes {
            let verdict = match Self::same(saved, present) {
                Err(verdict) => verdict,
                Ok(_) if weight.weight == 0.0 => TrustDecision::Expired,
                Ok(node) => {
                    // The newest, as many as the weight leaves; and none of a table type that there is no more.
                    let most = (weight.weight * saved.samples.len() as f64).ceil() as usize;
                    let newest = &saved.samples[saved.samples.len() - most.min(saved.samples.len())..];
                    let aged = newest.iter().filter_map(|s| {
                        let (sent_ago, ago) = (s.sent_ago + elapsed, s.ended_ago + elapsed);
                        Some(LearnedSample { class: place(s.class)?, sent_ago, ended_ago: ago, ..s.clone() })
                    });
                    let samples: Vec<_> = aged.collect();
                    let verdict =
                        TrustDecision::Trusted { sample_count: samples.len(), ejected: saved.aside };
                    beliefs.nodes.push(LearnedNode { node, ejected: saved.aside, samples });
                    verdict
                }
            };
            nodes.push((saved.name.clone(), verdict));
        }
        if weight.weight > 0.0 {
            let most = (weight.weight * self.fleet.len() as f64).ceil() as usize;
            let newest = &self.fleet[self.fleet.len() - most.min(self.fleet.len())..];
            beliefs.latency_samples =
                newest.iter().map(|(took, ago, share)| (*took, ago + elapsed, *share)).collect();
            beliefs.idle_resets =
                self.reaped.iter().map(|(ago, idle, broke)| (ago + elapsed, *idle, *broke)).collect();
            beliefs.baseline_latency = self.ease;
        }
        TrustedState { confidence: weight, learned: beliefs, nodes }
    }
}
