//! Which voter is asked next for something that only the leader can do.

use dunepond_consensus::LeaseClient;

/// The search for the leader, by one kind of request.
#[derive(Default)]
pub struct LeaderSearch {
    /// The leader, as the last voter that was asked has named it.
    named_leader: Option<String>,
    voters_tried: usize,
}

impl LeaderSearch {
    /// A voter has answered that it does not lead, and which one does, if it knows.
    pub fn on_not_leader(&mut self, leader: Option<String>) {
        self.named_leader = leader;
    }

    /// The leader as the last voter has named it or as the leases have it, else one voter after the other.
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
