//! Changes of the voters and recovery after lost voters, as operators carry them out.

use dunepond_consensus::{
    Command, ConsensusError, LeaseClient, RECOVERY_CONFIRMATION, RecoveryOrder, Rejection, Voter,
    VoterChange, VoterInfo,
};

use super::Fleet;

/// Maximum number of rejected lease replies, the latest ones, that a broker's summary shows.
const SHOWN_REJECTION_COUNT: usize = 6;
/// Seed of the random choices of a recovered voter.
const RECOVERED_VOTER_SEED: u64 = 77;
/// Seed of the random choices of a recovered voter's lease client.
const RECOVERED_CLIENT_SEED: u64 = 78;

impl Fleet {
    /// Starts a broker as a voter the way an operator does: with an empty folder, and with a configuration file that
    /// names `voters`, which include the broker.
    pub fn start_as_voter(&mut self, n: usize, voters: &[String]) {
        if self.is_running(n) {
            self.kill(n);
        }
        let broker = &mut self.brokers[n];
        broker.wipe_folder();
        broker.is_voter = true;
        broker.config.voters = voters.to_vec();
        self.start(n);
    }

    /// Proposes to make the brokers with these indices the voters, in place of the current ones.
    ///
    /// # Errors
    /// There is no leader, or the leader rejects the change.
    pub fn change_voters(&mut self, brokers: &[usize]) -> Result<(), Rejection> {
        let leader = self.leader().ok_or(Rejection::NotLeader(None))?;
        let current = &self.state(leader).voters;
        let number = current.pending.as_ref().map_or(current.number, |pending| pending.number) + 1;
        let info = |n: &usize| VoterInfo { name: self.brokers[*n].name.clone(), address: None };
        self.propose(Command::ChangeVoters(Box::new(VoterChange {
            number,
            voters: brokers.iter().map(info).collect(),
            proposed_by: String::from("ann"),
            reason: String::from("a test"),
            proposed_at_unix_seconds: 0.0,
        })))
    }

    /// Indices of the brokers on the committed list of voters, as known to the leader.
    ///
    /// # Panics
    /// There is no leader.
    pub fn voter_indices(&self) -> Vec<usize> {
        let leader = self.leader().expect("a fleet with a leader");
        let index = |name: &String| self.brokers.iter().position(|broker| broker.name == *name);
        let voters = self.state(leader).voters.voters.iter();
        voters.map(|voter| index(&voter.name).expect("a broker of the fleet")).collect()
    }

    /// Whether there is a leader, no change of the voters is pending, and all voters have the replicated state.
    pub fn are_voters_ready(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let has_state = |n: &usize| self.brokers[*n].voter.as_ref().is_some_and(Voter::has_state);
        self.state(leader).voters.pending.is_none() && self.voter_indices().iter().all(has_state)
    }

    /// A description of the fleet for the messages of failed tests, with one line for each broker.
    pub fn summary(&self) -> String {
        let lines: Vec<String> = (0..self.brokers.len()).map(|n| self.broker_summary(n)).collect();
        lines.join("\n")
    }

    /// A description of one broker in one line.
    fn broker_summary(&self, n: usize) -> String {
        let broker = &self.brokers[n];
        let voter = broker
            .voter
            .as_ref()
            .map(|voter| (voter.is_leader(), voter.has_state(), voter.state().index, voter.leader()));
        let rejections: Vec<_> = broker.rejections.iter().rev().take(SHOWN_REJECTION_COUNT).collect();
        let (phase, has_lease, last_line) = (self.phase(n), self.has_lease(n), broker.log.last());
        format!("{}: {phase:?}, lease {has_lease}, {voter:?}, {rejections:?}, {last_line:?}", broker.name)
    }

    /// The order with which an operator recovers the fleet from the folder of voter `n` after the loss of
    /// `lost_voters`.
    ///
    /// # Panics
    /// The broker is down, or does not vote.
    pub fn recovery_order(&self, n: usize, lost_voters: &[&str]) -> RecoveryOrder {
        let voter = self.brokers[n].voter.as_ref().expect("a voter that is up");
        let (folder_id, last_index) = voter.recovery_position();
        RecoveryOrder {
            folder_id,
            last_index,
            lost_voters: lost_voters.iter().map(ToString::to_string).collect(),
            highest_number: voter.state().highest_number + 1,
            confirmation: String::from(RECOVERY_CONFIRMATION),
        }
    }

    /// Restarts voter `n` with an operator's recovery order.
    ///
    /// # Errors
    /// The order does not match the voter's folder.
    pub fn recover(&mut self, n: usize, order: &RecoveryOrder) -> Result<(), ConsensusError> {
        if self.is_running(n) {
            self.kill(n);
        }
        let clock = self.clock(n);
        let broker = &mut self.brokers[n];
        let (config, stored) = (broker.config.clone(), broker.stored_voter());
        broker.voter = Some(Voter::recover(config.clone(), stored, order, clock, RECOVERED_VOTER_SEED)?);
        let persisted = Some(broker.persisted_leases.clone());
        broker.lease_client = Some(LeaseClient::new(config, persisted, clock, RECOVERED_CLIENT_SEED));
        Ok(())
    }
}
