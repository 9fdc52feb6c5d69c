//! Changes of voters and recoveries, as operators make them.

use dunepond_consensus::{
    Command, ConsensusError, LeaseClient, RECOVERY_CONFIRMATION, RecoveryOrder, Rejection, Voter,
    VoterChange, VoterInfo,
};

use super::Fleet;

/// Rejections that a summary shows.
const SHOWN_REJECTION_COUNT: usize = 6;
/// Seeds of a recovered voter.
const RECOVERED_VOTER_SEED: u64 = 77;
const RECOVERED_CLIENT_SEED: u64 = 78;

impl Fleet {
    /// As an operator does with a broker that shall vote: an empty folder, a file that names the voters with it, a start.
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

    /// Proposes that these brokers are the voters.
    ///
    /// # Errors
    /// There is no leader, or it rejects the change.
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

    /// The voters by the committed list, as the leader knows it.
    ///
    /// # Panics
    /// There is no leader.
    pub fn voter_indices(&self) -> Vec<usize> {
        let leader = self.leader().expect("somebody leads");
        let index = |name: &String| self.brokers.iter().position(|broker| broker.name == *name);
        let voters = self.state(leader).voters.voters.iter();
        voters.map(|voter| index(&voter.name).expect("a name of the fleet")).collect()
    }

    /// Whether no change of voters is pending, and all voters have the state.
    pub fn are_voters_ready(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let has_state = |n: &usize| self.brokers[*n].voter.as_ref().is_some_and(Voter::has_state);
        self.state(leader).voters.pending.is_none() && self.voter_indices().iter().all(has_state)
    }

    /// The fleet in some lines, for a test that fails.
    pub fn summary(&self) -> String {
        let lines: Vec<String> = (0..self.brokers.len()).map(|n| self.broker_summary(n)).collect();
        lines.join("\n")
    }

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

    /// What an operator writes to recover the fleet from this voter's folder without `lost_voters`.
    ///
    /// # Panics
    /// It is down, or does not vote.
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

    /// Starts a voter by an operator's order.
    ///
    /// # Errors
    /// The order does not fit the voter's folder.
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
