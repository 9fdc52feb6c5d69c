//! What was learned of nodes, by their names, and what of it holds after a time without us.

use dunepond_routing::{Beliefs, NodeBelief, NodeId, SampleBelief};
use serde::{Deserialize, Serialize};

use crate::{Stamp, Unread, decode, encode};

/// Seconds in which beliefs lose half of their weight: nodes are mended, and fail, within minutes.
const HALF: f64 = 30.0;
/// Below this weight nothing is believed: what little it says would only be in the way.
const LEAST: f64 = 1.0 / 8.0;

/// A node as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    pub node: NodeId,
    pub name: String,
    pub dial: String,
    /// Unix time at which its process started; 0 if long ago.
    pub started: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SavedNode {
    name: String,
    dial: String,
    started: f64,
    aside: bool,
    samples: Vec<SampleBelief>,
}

/// Everything that was learned, as it is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedBeliefs {
    at: Stamp,
    /// Table types by their names: their order may change.
    table_types: Vec<String>,
    nodes: Vec<SavedNode>,
    fleet: Vec<(f64, f64, f64)>,
    reaped: Vec<(f64, f64, bool)>,
    ease: Option<f64>,
}

/// How much of a file counts, and by what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weight {
    /// Seconds since it was written; nothing where no clock tells.
    pub elapsed: Option<f64>,
    /// The part of its nodes that stand in the list as they did.
    pub same: f64,
    /// 0 where nothing is believed.
    pub weight: f64,
}

/// What became of the beliefs of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// So many samples, and whether it comes back as one that is due its trial.
    Believed {
        samples: usize,
        aside: bool,
    },
    TooOld,
    /// Its process has started since.
    Started,
    /// It has another address.
    Moved,
    /// The list does not name it.
    Gone,
}

/// What the decision module is to be told, and how it came to that.
#[derive(Clone, Debug, PartialEq)]
pub struct Believed {
    pub weight: Weight,
    pub beliefs: Beliefs,
    pub nodes: Vec<(String, Verdict)>,
}

impl SavedBeliefs {
    /// `known` are all nodes of the list; what is believed of one that it does not name is not kept.
    pub fn of(at: Stamp, table_types: &[String], known: &[Identity], beliefs: &Beliefs) -> Self {
        let nodes = beliefs.nodes.iter().filter_map(|belief| {
            let identity = known.iter().find(|identity| identity.node == belief.node)?;
            Some(SavedNode {
                name: identity.name.clone(),
                dial: identity.dial.clone(),
                started: identity.started,
                aside: belief.aside,
                samples: belief.samples.clone(),
            })
        });
        Self {
            at,
            table_types: table_types.to_vec(),
            nodes: nodes.collect(),
            fleet: beliefs.fleet.clone(),
            reaped: beliefs.reaped.clone(),
            ease: beliefs.ease,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Whatever reads as these types is checked too: a time that is none, or below nothing, is nobody's.
    pub fn decode(bytes: &[u8]) -> Result<Self, Unread> {
        let saved: Self = decode(bytes)?;
        let time = |t: f64| t.is_finite() && t >= 0.0;
        let sample = |s: &SampleBelief| {
            time(s.sent_ago) && time(s.took) && time(s.ago) && s.table_type < saved.table_types.len()
        };
        let node = |n: &SavedNode| time(n.started) && n.samples.iter().all(sample);
        let good = saved.at.is_time()
            && saved.nodes.iter().all(node)
            && saved.fleet.iter().all(|f| time(f.0) && time(f.1) && time(f.2))
            && saved.reaped.iter().all(|r| time(r.0) && time(r.1))
            && saved.ease.is_none_or(time);
        if good { Ok(saved) } else { Err(Unread("a time or a table type out of bounds".to_string())) }
    }

    pub fn at(&self) -> &Stamp {
        &self.at
    }

    pub fn table_types(&self) -> &[String] {
        &self.table_types
    }

    /// Its nodes as they stood, as a list would name them.
    pub fn identities(&self) -> Vec<Identity> {
        let identity = |(node, saved): (NodeId, &SavedNode)| Identity {
            node,
            name: saved.name.clone(),
            dial: saved.dial.clone(),
            started: saved.started,
        };
        self.nodes.iter().enumerate().map(identity).collect()
    }

    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    fn same(saved: &SavedNode, present: &[Identity]) -> Result<NodeId, Verdict> {
        let identity = present.iter().find(|identity| identity.name == saved.name).ok_or(Verdict::Gone)?;
        if identity.started > saved.started {
            return Err(Verdict::Started);
        }
        if identity.dial != saved.dial { Err(Verdict::Moved) } else { Ok(identity.node) }
    }

    /// How much it counts at this time before this list.
    pub fn weight(&self, now: &Stamp, present: &[Identity]) -> Weight {
        let elapsed = now.since(&self.at);
        let same = self.nodes.iter().filter(|saved| Self::same(saved, present).is_ok()).count();
        let same = same as f64 / self.nodes.len().max(1) as f64;
        let aged = elapsed.map_or(0.0, |elapsed| 0.5f64.powf(elapsed / HALF));
        let weight = aged * same;
        Weight { elapsed, same, weight: if weight < LEAST { 0.0 } else { weight } }
    }

    /// What holds of it now, before this list.
    pub fn believe(&self, now: &Stamp, table_types: &[String], present: &[Identity]) -> Believed {
        let weight = self.weight(now, present);
        let elapsed = weight.elapsed.unwrap_or(0.0);
        let place = |index: usize| table_types.iter().position(|name| *name == self.table_types[index]);
        let mut beliefs = Beliefs::default();
        let mut nodes = Vec::new();
        for saved in &self.nodes {
            let verdict = match Self::same(saved, present) {
                Err(verdict) => verdict,
                Ok(_) if weight.weight == 0.0 => Verdict::TooOld,
                Ok(node) => {
                    // The newest, as many as the weight leaves; and none of a table type that there is no more.
                    let most = (weight.weight * saved.samples.len() as f64).ceil() as usize;
                    let newest = &saved.samples[saved.samples.len() - most.min(saved.samples.len())..];
                    let aged = newest.iter().filter_map(|s| {
                        let (sent_ago, ago) = (s.sent_ago + elapsed, s.ago + elapsed);
                        Some(SampleBelief { table_type: place(s.table_type)?, sent_ago, ago, ..s.clone() })
                    });
                    let samples: Vec<_> = aged.collect();
                    let verdict = Verdict::Believed { samples: samples.len(), aside: saved.aside };
                    beliefs.nodes.push(NodeBelief { node, aside: saved.aside, samples });
                    verdict
                }
            };
            nodes.push((saved.name.clone(), verdict));
        }
        if weight.weight > 0.0 {
            let most = (weight.weight * self.fleet.len() as f64).ceil() as usize;
            let newest = &self.fleet[self.fleet.len() - most.min(self.fleet.len())..];
            beliefs.fleet = newest.iter().map(|(took, ago, share)| (*took, ago + elapsed, *share)).collect();
            beliefs.reaped =
                self.reaped.iter().map(|(ago, idle, broke)| (ago + elapsed, *idle, *broke)).collect();
            beliefs.ease = self.ease;
        }
        Believed { weight, beliefs, nodes }
    }
}
