//! Who votes. The list of the file founds the fleet; from then on an operator's word changes it, one voter at a time.

use serde::{Deserialize, Serialize};

use super::{Change, Seat, State};
use crate::Refusal;

/// A broker that votes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Named {
    pub name: String,
    /// Where the others reach it, as the operator's word says; `None`: as the files do.
    #[serde(default)]
    #[serde(rename = "at")]
    pub at: Option<String>,
}

/// An operator's word on who votes from now on: the whole list, one voter other than the one in force at most.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Voting {
    /// One more than that of the list in force, or of the change that waits.
    pub number: u64,
    pub voters: Vec<Named>,
    /// For people; Unix seconds.
    #[serde(rename = "who")]
    pub who: String,
    #[serde(rename = "why")]
    pub why: String,
    #[serde(rename = "at")]
    pub at: f64,
}

/// The voters in force, and the change that waits for its new voter to be there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Voters {
    /// Of the last word that was agreed on; 0: as founded.
    pub number: u64,
    #[serde(rename = "list")]
    pub list: Vec<Named>,
    #[serde(rename = "next")]
    pub next: Option<Voting>,
    /// Who left last, with its folder: it may be needed until the library's change is over.
    pub(crate) left: Option<(String, u64)>,
}

/// What makes the list that waits the one in force: agreed on with the library's own change of voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Voted {
    pub number: u64,
    pub joins: Option<(String, Seat)>,
    /// With the folder that stops to count, if it has one.
    pub leaves: Option<(String, Option<u64>)>,
}

/// Names that are in `to` and not in `from`.
fn beyond(from: &[Named], to: &[Named]) -> Vec<String> {
    let known = |voter: &&Named| !from.iter().any(|other| other.name == voter.name);
    to.iter().filter(known).map(|voter| voter.name.clone()).collect()
}

impl Voters {
    pub(crate) fn founded(names: &[String]) -> Self {
        let list = names.iter().map(|name| Named { name: name.clone(), at: None }).collect();
        Self { number: 0, list, next: None, left: None }
    }

    pub fn votes(&self, name: &str) -> bool {
        self.list.iter().any(|voter| voter.name == name)
    }

    /// It votes, or shall.
    pub fn wants(&self, name: &str) -> bool {
        self.votes(name) || self.next.iter().flat_map(|next| &next.voters).any(|voter| voter.name == name)
    }

    /// All that vote, and who shall.
    pub fn all(&self) -> Vec<String> {
        let shall = self.next.iter().flat_map(|next| beyond(&self.list, &next.voters));
        self.list.iter().map(|voter| voter.name.clone()).chain(shall).collect()
    }

    /// Who joins and who leaves by the change that waits.
    pub(crate) fn moving(&self) -> Option<(Option<String>, Option<String>)> {
        let next = self.next.as_ref()?;
        let one = |mut names: Vec<String>| names.pop();
        Some((one(beyond(&self.list, &next.voters)), one(beyond(&next.voters, &self.list))))
    }

    fn check(&self, voting: &Voting) -> Result<(), Refusal> {
        if voting.voters.is_empty() {
            return Err(Refusal::NoVoters);
        }
        let twice = |(i, voter): &(usize, &Named)| voting.voters[..*i].iter().any(|v| v.name == voter.name);
        if let Some((_, voter)) = voting.voters.iter().enumerate().find(twice) {
            return Err(Refusal::VoterTwice(voter.name.clone()));
        }
        let highest = self.next.as_ref().map_or(self.number, |next| next.number);
        if voting.number != highest + 1 {
            return Err(Refusal::VotersNumber { given: voting.number, expected: highest + 1 });
        }
        let (joins, leaves) = (beyond(&self.list, &voting.voters), beyond(&voting.voters, &self.list));
        match &self.next {
            // The list in force again: the change that waits is given up.
            Some(next) if !(joins.is_empty() && leaves.is_empty()) => {
                return Err(Refusal::VotersWait { number: next.number });
            }
            None if joins.is_empty() && leaves.is_empty() && voting.voters == self.list => {
                return Err(Refusal::VotersSame);
            }
            _ => {}
        }
        if joins.len() > 1 || leaves.len() > 1 {
            return Err(Refusal::VotersAtOnce { joins, leaves });
        }
        Ok(())
    }
}

impl State {
    pub(super) fn check_voting(&self, voting: &Voting) -> Result<(), Refusal> {
        self.voters.check(voting)
    }

    /// It waits until the one that joins is there; without one that joins or leaves it is in force at once.
    pub(super) fn vote(&mut self, voting: Voting) -> Change {
        let number = voting.number;
        let moves = !beyond(&self.voters.list, &voting.voters).is_empty()
            || !beyond(&voting.voters, &self.voters.list).is_empty();
        if moves {
            self.voters.next = Some(voting);
            return Change::Voting(number);
        }
        self.voters = Voters { number, list: voting.voters, next: None, left: self.voters.left.take() };
        Change::Voters(number)
    }

    pub(super) fn check_voted(&self, voted: &Voted) -> Result<(), Refusal> {
        let waits = self.voters.next.as_ref().is_some_and(|next| next.number == voted.number);
        let (joins, leaves) = self.voters.moving().unwrap_or_default();
        let folder = leaves.as_ref().map(|name| self.seats.get(name).map(|seat| seat.folder));
        let fits = joins.as_ref() == voted.joins.as_ref().map(|(name, _)| name)
            && leaves.as_ref() == voted.leaves.as_ref().map(|(name, _)| name)
            && folder == voted.leaves.as_ref().map(|(_, folder)| *folder);
        if waits && fits { Ok(()) } else { Err(Refusal::VotersPassed { number: voted.number }) }
    }

    pub(super) fn voted(&mut self, voted: Voted) -> Change {
        let left = voted.leaves.and_then(|(name, folder)| Some((name, folder?)));
        if let Some((name, _)) = &left {
            self.seats.remove(name);
        }
        self.seats.extend(voted.joins);
        let next = self.voters.next.take().expect("checked");
        self.voters = Voters { number: next.number, list: next.voters, next: None, left };
        Change::Voters(voted.number)
    }
}
