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
        broker.kept = Kept::default();
        (broker.votes, broker.terms.voters) = (true, voters.to_vec());
        self.start(n);
    }

    /// Asks for these voters; the places are counted from 0.
    pub fn vote(&mut self, places: &[usize]) -> Result<(), Refusal> {
        let leader = self.leader().ok_or(Refusal::NotLeader(None))?;
        let voters = &self.state(leader).voters;
        let number = voters.next.as_ref().map_or(voters.number, |next| next.number) + 1;
        let named = |n: &usize| Named { name: self.brokers[*n].name.clone(), at: None };
        let voters = places.iter().map(named).collect();
        let (who, why) = (String::from("ann"), String::from("a test"));
        self.propose(Entry::Vote(Box::new(Voting { number, voters, who, why, at: 0.0 })))
    }

    /// Those of the agreed list, as the leader knows it.
    pub fn voting(&self) -> Vec<usize> {
        let leader = self.leader().expect("somebody leads");
        let place = |name: &String| self.brokers.iter().position(|broker| broker.name == *name);
        let list = self.state(leader).voters.list.iter();
        list.map(|voter| place(&voter.name).expect("a name of the fleet")).collect()
    }

    /// No change of voters is open, and all that vote hold the state.
    pub fn staffed(&self) -> bool {
        self.leader().is_some_and(|leader| {
            self.state(leader).voters.next.is_none()
                && self.voting().iter().all(|n| self.brokers[*n].voter.as_ref().is_some_and(Voter::seated))
        })
    }

    /// For whoever looks at a test that failed.
    pub fn shown(&self) -> String {
        let of = |n: usize| {
            let broker = &self.brokers[n];
            let voter = broker.voter.as_ref().map(|v| (v.leads(), v.seated(), v.state().index, v.leader()));
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
    pub fn word(&self, n: usize, lost: &[&str]) -> Recovery {
        let voter = self.brokers[n].voter.as_ref().expect("a voter that is up");
        let ((folder, last), lost) = (voter.held(), lost.iter().map(|name| name.to_string()).collect());
        Recovery { folder, last, lost, highest: voter.state().highest + 1, word: String::from(WORD) }
    }

    /// Starts it by an operator's word.
    pub fn bring_back(&mut self, n: usize, word: &Recovery) -> Result<(), AgreeError> {
        if self.up(n) {
            self.kill(n);
        }
        let clock = self.clock(n);
        let broker = &mut self.brokers[n];
        let mut saved = Saved::new();
        broker.disk.iter().for_each(|record| saved.take(record).expect("a record of its own"));
        broker.voter = Some(Voter::recover(broker.terms.clone(), saved, word, clock, 77)?);
        broker.member = Some(Member::new(broker.terms.clone(), Some(broker.kept.clone()), clock, 78));
        Ok(())
    }
}
