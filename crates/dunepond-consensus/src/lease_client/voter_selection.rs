//! Selection of the voter that is asked next.

use std::collections::BTreeMap;

use crate::{ConsensusConfig, VoterInfo};

/// Number of leases for which a voter that did not reply is asked only if no other is left.
const AVOIDANCE_LEASES: f64 = 10.0;
/// Largest number of voters that are remembered from the reply of a former voter.
const MAX_HINT_COUNT: usize = 16;

pub(super) struct VoterSelection {
    /// Voters in the operator's file.
    configured: Vec<String>,
    /// Voters of the committed list; empty while none is known.
    agreed: Vec<VoterInfo>,
    /// Number of the committed list.
    number: u64,
    /// Voters that a former voter named.
    hints: Vec<String>,
    /// The leader, or a voter that forwards to it.
    preferred: Option<String>,
    leader: Option<String>,
    /// Voters that did not reply, with the time of the request that failed.
    unresponsive: BTreeMap<String, f64>,
    /// Counter that rotates through the voters while none is preferred.
    rotation: usize,
    avoidance_seconds: f64,
}

impl VoterSelection {
    pub fn new(config: &ConsensusConfig, rotation: usize) -> Self {
        Self {
            configured: config.voters.clone(),
            agreed: Vec::new(),
            number: 0,
            hints: Vec::new(),
            preferred: None,
            leader: None,
            unresponsive: BTreeMap::new(),
            rotation,
            avoidance_seconds: AVOIDANCE_LEASES * config.lease_seconds,
        }
    }

    pub fn set_agreed(&mut self, agreed: Vec<VoterInfo>, number: u64) {
        (self.agreed, self.number) = (agreed, number);
    }

    /// Sets voters to ask. A hint only says where to ask: a grant from there has to be valid by itself.
    pub fn set_hints(&mut self, voters: Vec<VoterInfo>) {
        self.hints = voters.into_iter().map(|voter| voter.name).take(MAX_HINT_COUNT).collect();
    }

    pub fn select(&self, now: f64) -> String {
        if let Some(voter) = &self.preferred {
            return voter.clone();
        }
        // Voters of the file are asked only if no committed voter replies: the voters may have changed while this
        // broker was cut off.
        let agreed: Vec<&String> = self.agreed.iter().map(|voter| &voter.name).collect();
        let others = self.configured.iter().chain(&self.hints);
        let others: Vec<&String> = others.filter(|name| !agreed.contains(name)).collect();
        let responsive = |voters: &[&String]| {
            let mut in_turn = (0..voters.len()).map(|n| voters[(self.rotation + n) % voters.len()]);
            in_turn.find(|voter| !self.is_unresponsive(now, voter)).cloned()
        };
        responsive(&agreed).or_else(|| responsive(&others)).unwrap_or_else(|| {
            let all: Vec<&String> = agreed.iter().chain(&others).copied().collect();
            all[self.rotation % all.len()].clone()
        })
    }

    fn is_unresponsive(&self, now: f64, voter: &str) -> bool {
        self.unresponsive.get(voter).is_some_and(|at| now - at < self.avoidance_seconds)
    }

    pub fn mark_unresponsive(&mut self, now: f64, voter: &str) {
        self.unresponsive.insert(voter.to_string(), now);
        if self.preferred.as_deref() == Some(voter) {
            self.preferred = None;
        }
        self.rotation += 1;
    }

    /// Records that a lease of `leader` was granted through the voter `via`.
    pub fn granted(&mut self, now: f64, leader: &str, via: String) {
        self.unresponsive.remove(&via);
        self.leader = Some(leader.to_string());
        let is_voter = self.names().iter().any(|name| name == leader);
        let direct = is_voter && !self.is_unresponsive(now, leader);
        self.preferred = Some(if direct { leader.to_string() } else { via });
    }

    pub fn forget_leader(&mut self) {
        self.leader = None;
    }

    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    pub fn agreed(&self) -> &[VoterInfo] {
        &self.agreed
    }

    pub fn number(&self) -> u64 {
        self.number
    }

    /// Names of the committed voters, or those of the file while no committed list is known.
    pub fn names(&self) -> Vec<String> {
        if self.agreed.is_empty() {
            return self.configured.clone();
        }
        self.agreed.iter().map(|voter| voter.name.clone()).collect()
    }

    /// The committed voters, if the file names others.
    pub fn unlike_file(&self) -> Option<&[VoterInfo]> {
        let same = self.agreed.len() == self.configured.len()
            && self.agreed.iter().all(|voter| self.configured.contains(&voter.name));
        (!self.agreed.is_empty() && !same).then_some(&self.agreed)
    }
}
