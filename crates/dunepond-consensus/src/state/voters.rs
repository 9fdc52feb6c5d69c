//! Who votes. The list of the file founds the fleet; from then on an operator's word changes it, one voter at a time.

use serde::{Deserialize, Serialize};

use super::{ReplicatedState, StateChange, VoterSlot};
use crate::Rejection;

/// A broker that votes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoterInfo {
    pub name: String,
    /// Where the others reach it, as the operator's word says; `None`: as the files do.
    #[serde(default)]
    #[serde(rename = "at")]
    pub address: Option<String>,
}

/// An operator's word on who votes from now on: the whole list, one voter other than the one in force at most.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterChange {
    /// One more than that of the list in force, or of the change that waits.
    pub number: u64,
    pub voters: Vec<VoterInfo>,
    /// For people; Unix seconds.
    #[serde(rename = "who")]
    pub proposed_by: String,
    #[serde(rename = "why")]
    pub reason: String,
    #[serde(rename = "at")]
    pub proposed_at_unix_seconds: f64,
}

/// The voters in force, and the change that waits for its new voter to be there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterList {
    /// Of the last word that was agreed on; 0: as founded.
    pub number: u64,
    #[serde(rename = "list")]
    pub voters: Vec<VoterInfo>,
    #[serde(rename = "next")]
    pub pending: Option<VoterChange>,
    /// Who left last, with its folder: it may be needed until the library's change is over.
    pub(crate) left: Option<(String, u64)>,
}

/// What makes the list that waits the one in force: agreed on with the library's own change of voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Voted {
    pub number: u64,
    pub joins: Option<(String, VoterSlot)>,
    /// With the folder that stops to count, if it has one.
    pub leaves: Option<(String, Option<u64>)>,
}

/// Names that are in `to` and not in `from`.
fn beyond(from: &[VoterInfo], to: &[VoterInfo]) -> Vec<String> {
    let known = |voter: &&VoterInfo| !from.iter().any(|other| other.name == voter.name);
    to.iter().filter(known).map(|voter| voter.name.clone()).collect()
}

impl VoterList {
    pub(crate) fn founded(names: &[String]) -> Self {
        let voters = names.iter().map(|name| VoterInfo { name: name.clone(), address: None }).collect();
        Self { number: 0, voters, pending: None, left: None }
    }

    pub fn contains(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter.name == name)
    }

    /// It votes, or shall.
    pub fn contains_or_joining(&self, name: &str) -> bool {
        self.contains(name)
            || self.pending.iter().flat_map(|next| &next.voters).any(|voter| voter.name == name)
    }

    /// All that vote, and who shall.
    pub fn names_with_joining(&self) -> Vec<String> {
        let shall = self.pending.iter().flat_map(|next| beyond(&self.voters, &next.voters));
        self.voters.iter().map(|voter| voter.name.clone()).chain(shall).collect()
    }

    /// Who joins and who leaves by the change that waits.
    pub(crate) fn moving(&self) -> Option<(Option<String>, Option<String>)> {
        let next = self.pending.as_ref()?;
        let one = |mut names: Vec<String>| names.pop();
        Some((one(beyond(&self.voters, &next.voters)), one(beyond(&next.voters, &self.voters))))
    }

    fn check(&self, voting: &VoterChange) -> Result<(), Rejection> {
        if voting.voters.is_empty() {
            return Err(Rejection::NoVoters);
        }
        let twice =
            |(i, voter): &(usize, &VoterInfo)| voting.voters[..*i].iter().any(|v| v.name == voter.name);
        if let Some((_, voter)) = voting.voters.iter().enumerate().find(twice) {
            return Err(Rejection::DuplicateVoter(voter.name.clone()));
        }
        let highest = self.pending.as_ref().map_or(self.number, |next| next.number);
        if voting.number != highest + 1 {
            return Err(Rejection::WrongVotersNumber { given: voting.number, expected: highest + 1 });
        }
        let (joins, leaves) = (beyond(&self.voters, &voting.voters), beyond(&voting.voters, &self.voters));
        match &self.pending {
            // The list in force again: the change that waits is given up.
            Some(next) if !(joins.is_empty() && leaves.is_empty()) => {
                return Err(Rejection::VotersPending { number: next.number });
            }
            None if joins.is_empty() && leaves.is_empty() && voting.voters == self.voters => {
                return Err(Rejection::VotersUnchanged);
            }
            _ => {}
        }
        if joins.len() > 1 || leaves.len() > 1 {
            return Err(Rejection::TooManyVoterChanges { joins, leaves });
        }
        Ok(())
    }
}

impl ReplicatedState {
    pub(super) fn check_voting(&self, voting: &VoterChange) -> Result<(), Rejection> {
        self.voters.check(voting)
    }

    /// It waits until the one that joins is there; without one that joins or leaves it is in force at once.
    pub(super) fn vote(&mut self, voting: VoterChange) -> StateChange {
        let number = voting.number;
        let moves = !beyond(&self.voters.voters, &voting.voters).is_empty()
            || !beyond(&voting.voters, &self.voters.voters).is_empty();
        if moves {
            self.voters.pending = Some(voting);
            return StateChange::VotersPending(number);
        }
        self.voters =
            VoterList { number, voters: voting.voters, pending: None, left: self.voters.left.take() };
        StateChange::VotersChanged(number)
    }

    pub(super) fn check_voted(&self, voted: &Voted) -> Result<(), Rejection> {
        let waits = self.voters.pending.as_ref().is_some_and(|next| next.number == voted.number);
        let (joins, leaves) = self.voters.moving().unwrap_or_default();
        let folder = leaves.as_ref().map(|name| self.voter_slots.get(name).map(|seat| seat.folder_id));
        let fits = joins.as_ref() == voted.joins.as_ref().map(|(name, _)| name)
            && leaves.as_ref() == voted.leaves.as_ref().map(|(name, _)| name)
            && folder == voted.leaves.as_ref().map(|(_, folder)| *folder);
        if waits && fits { Ok(()) } else { Err(Rejection::VotersSuperseded { number: voted.number }) }
    }

    pub(super) fn voted(&mut self, voted: Voted) -> StateChange {
        let left = voted.leaves.and_then(|(name, folder)| Some((name, folder?)));
        if let Some((name, _)) = &left {
            self.voter_slots.remove(name);
        }
        self.voter_slots.extend(voted.joins);
        let next = self.voters.pending.take().expect("checked");
        self.voters = VoterList { number: next.number, voters: next.voters, pending: None, left };
        StateChange::VotersChanged(voted.number)
    }
}
