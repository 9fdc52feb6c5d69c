//! Selects the voter to which this broker sends a request that only the leader can handle.

use dunepond_consensus::LeaseClient;

/// The state of the search for the leader, for one kind of request.
#[derive(Default)]
pub struct LeaderSearch {
    /// The leader that the last reply named; used once, by the next request.
    named_leader: Option<String>,
    /// Number of requests for which no leader was known, so that the voters were tried in turn.
    voters_tried: usize,
}

impl LeaderSearch {
    /// Handles the reply of a voter that does not lead. `leader` is the leader that the reply names, if any.
    pub fn on_not_leader(&mut self, leader: Option<String>) {
        self.named_leader = leader;
    }

    /// The voter to send the next request to: the leader that the last reply named, else the leader known from leases,
    /// else the next voter in turn.
    pub fn next_voter(&mut self, lease_client: &LeaseClient) -> String {
        if let Some(voter) = self.named_leader.take() {
            return voter;
        }
        if let Some(leader) = lease_client.leader() {
            return leader.to_string();
        }
        self.voters_tried += 1;
        let voters = lease_client.voters();
        voters[self.voters_tried % voters.len()].clone()
    }
}
