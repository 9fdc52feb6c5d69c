//! Changes of voters, as operators make them.

use dunepond_consensus::*;

use crate::fleet::Fleet;

impl Fleet {
    /// As an operator does with a broker that shall vote: an empty folder, a file that names the voters with it, a start.
    pub fn enlist(&mut self, n: usize, voters: &[String]) {
        if self.up(n) {
            self.kill(n);
        }
        let broker = &mut self.brokers[n];
        broker.disk.clear();
        broker.kept = PersistedState::default();
        (broker.votes, broker.terms.voters) = (true, voters.to_vec());
        self.start(n);
    }

    /// Asks for these voters; the places are counted from 0.
    pub fn vote(&mut self, places: &[usize]) -> Result<(), Rejection> {
        let leader = self.leader().ok_or(Rejection::NotLeader(None))?;
        let voters = &self.state(leader).voters;
        let number = voters.pending.as_ref().map_or(voters.number, |next| next.number) + 1;
        let named = |n: &usize| VoterInfo { name: self.brokers[*n].name.clone(), address: None };
        let voters = places.iter().map(named).collect();
        let (who, why) = (String::from("ann"), String::from("a test"));
        self.propose(Command::ChangeVoters(Box::new(VoterChange {
            number,
            voters,
            proposed_by: who,
            reason: why,
            proposed_at_unix_seconds: 0.0,
        })))
    }

    /// Those of the agreed list, as the leader knows it.
    pub fn voting(&self) -> Vec<usize> {
        let leader = self.leader().expect("somebody leads");
        let place = |name: &String| self.brokers.iter().position(|broker| broker.name == *name);
        let list = self.state(leader).voters.voters.iter();
        list.map(|voter| place(&voter.name).expect("a name of the fleet")).collect()
    }

    /// No change of voters is open, and all that vote hold the state.
    pub fn staffed(&self) -> bool {
        self.leader().is_some_and(|leader| {
            self.state(leader).voters.pending.is_none()
                && self.voting().iter().all(|n| self.brokers[*n].voter.as_ref().is_some_and(Voter::has_state))
        })
    }

    /// For whoever looks at a test that failed.
    pub fn shown(&self) -> String {
        let of = |n: usize| {
            let broker = &self.brokers[n];
            let voter =
                broker.voter.as_ref().map(|v| (v.is_leader(), v.has_state(), v.state().index, v.leader()));
            let refusals: Vec<_> = broker.refusals.iter().rev().take(6).collect();
            let (phase, live) = (self.phase(n), self.live(n));
            format!(
                "{}: {phase:?}, live {live}, {voter:?}, {refusals:?}, {:?}",
                broker.name,
                broker.log.last()
            )
        };
        (0..self.brokers.len()).map(of).collect::<Vec<_>>().join("\n")
    }
}

impl Fleet {
    /// What an operator writes to go on from this voter's folder without `lost`.
    pub fn word(&self, n: usize, lost: &[&str]) -> RecoveryOrder {
        let voter = self.brokers[n].voter.as_ref().expect("a voter that is up");
        let ((folder, last), lost) =
            (voter.recovery_position(), lost.iter().map(|name| name.to_string()).collect());
        RecoveryOrder {
            folder_id: folder,
            last_index: last,
            lost_voters: lost,
            highest_number: voter.state().highest_number + 1,
            confirmation: String::from(RECOVERY_CONFIRMATION),
        }
    }

    /// Starts it by an operator's word.
    pub fn bring_back(&mut self, n: usize, word: &RecoveryOrder) -> Result<(), ConsensusError> {
        if self.up(n) {
            self.kill(n);
        }
        let clock = self.clock(n);
        let broker = &mut self.brokers[n];
        let mut saved = StoredVoter::new();
        broker.disk.iter().for_each(|record| saved.apply_record(record).expect("a record of its own"));
        broker.voter = Some(Voter::recover(broker.terms.clone(), saved, word, clock, 77)?);
        broker.member = Some(LeaseClient::new(broker.terms.clone(), Some(broker.kept.clone()), clock, 78));
        Ok(())
    }
}
