//! Selection of the voter to which the next lease request is sent.

use std::collections::BTreeMap;

use crate::{ConsensusConfig, VoterInfo};

/// Number of lease durations for which a voter that did not grant a request is avoided; it is only asked again within
/// that time if all other voters are avoided, too.
const AVOIDANCE_LEASES: f64 = 10.0;
/// Largest number of voters that are remembered from the reply of a former voter; see [`VoterSelection::set_hints`].
const MAX_HINT_COUNT: usize = 16;

/// The known voters, and which of them is asked next.
pub(super) struct VoterSelection {
    /// Names of the voters in the operator's file.
    configured: Vec<String>,
    /// Voters of the committed list; empty while none is known.
    committed: Vec<VoterInfo>,
    /// Number of the committed list of voters.
    number: u64,
    /// Names of the voters in the reply of a former voter.
    hints: Vec<String>,
    /// The voter to ask first: the leader that granted the last lease, or, if that leader is not a known voter or did
    /// not grant a recent request, the voter that was asked for the lease.
    preferred: Option<String>,
    /// Name of the leader that granted the last lease.
    leader: Option<String>,
    /// Voters that did not grant a request, with the time when that was noticed.
    unresponsive: BTreeMap<String, f64>,
    /// Counter that rotates through the voters while none is preferred.
    rotation: usize,
    avoidance_seconds: f64,
}

impl VoterSelection {
    pub fn new(config: &ConsensusConfig, rotation: usize) -> Self {
        Self {
            configured: config.voters.clone(),
            committed: Vec::new(),
            number: 0,
            hints: Vec::new(),
            preferred: None,
            leader: None,
            unresponsive: BTreeMap::new(),
            rotation,
            avoidance_seconds: AVOIDANCE_LEASES * config.lease_seconds,
        }
    }

    pub fn set_committed(&mut self, committed: Vec<VoterInfo>, number: u64) {
        (self.committed, self.number) = (committed, number);
    }

    /// Sets further voters that may be asked, taken from the reply of a former voter. The reply need not be trusted,
    /// since a grant is checked in the same way whichever voter sent it.
    pub fn set_hints(&mut self, voters: Vec<VoterInfo>) {
        self.hints = voters.into_iter().map(|voter| voter.name).take(MAX_HINT_COUNT).collect();
    }

    /// Returns the name of the voter to ask next.
    pub fn select(&self, now: f64) -> String {
        if let Some(voter) = &self.preferred {
            return voter.clone();
        }
        // Voters in the file and in hints are only asked if every committed voter is avoided. This broker needs them to
        // find the present voters if these changed while it was partitioned.
        let committed: Vec<&String> = self.committed.iter().map(|voter| &voter.name).collect();
        let others = self.configured.iter().chain(&self.hints);
        let others: Vec<&String> = others.filter(|name| !committed.contains(name)).collect();
        let responsive = |voters: &[&String]| {
            let mut rotated = (0..voters.len()).map(|n| voters[(self.rotation + n) % voters.len()]);
            rotated.find(|voter| !self.is_unresponsive(now, voter)).cloned()
        };
        responsive(&committed).or_else(|| responsive(&others)).unwrap_or_else(|| {
            let all: Vec<&String> = committed.iter().chain(&others).copied().collect();
            all[self.rotation % all.len()].clone()
        })
    }

    fn is_unresponsive(&self, now: f64, voter: &str) -> bool {
        self.unresponsive.get(voter).is_some_and(|at| now - at < self.avoidance_seconds)
    }

    /// Records that `voter` did not grant a request, so that another one is asked next.
    pub fn mark_unresponsive(&mut self, now: f64, voter: &str) {
        self.unresponsive.insert(voter.to_string(), now);
        if self.preferred.as_deref() == Some(voter) {
            self.preferred = None;
        }
        self.rotation += 1;
    }

    /// Records that `leader` granted a lease through the voter `via`.
    pub fn granted(&mut self, now: f64, leader: &str, via: String) {
        self.unresponsive.remove(&via);
        self.leader = Some(leader.to_string());
        let is_voter = self.names().iter().any(|name| name == leader);
        let is_reachable = is_voter && !self.is_unresponsive(now, leader);
        self.preferred = Some(if is_reachable { leader.to_string() } else { via });
    }

    pub fn forget_leader(&mut self) {
        self.leader = None;
    }

    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    pub fn committed(&self) -> &[VoterInfo] {
        &self.committed
    }

    pub fn number(&self) -> u64 {
        self.number
    }

    /// Names of the committed voters, or those of the file while no committed list is known.
    pub fn names(&self) -> Vec<String> {
        if self.committed.is_empty() {
            return self.configured.clone();
        }
        self.committed.iter().map(|voter| voter.name.clone()).collect()
    }

    /// The committed voters, if they differ from those in the file.
    pub fn differing_from_file(&self) -> Option<&[VoterInfo]> {
        let same = self.committed.len() == self.configured.len()
            && self.committed.iter().all(|voter| self.configured.contains(&voter.name));
        (!self.committed.is_empty() && !same).then_some(&self.committed)
    }
}
