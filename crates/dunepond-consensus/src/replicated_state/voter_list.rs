//! The list of voters. The fleet is founded with the list in the operator's file; after that the list is only changed
//! by operators' documents, by each of which at most one voter joins and at most one leaves.

use serde::{Deserialize, Serialize};

use super::{ReplicatedState, StateChange};
use crate::log_entry::VoterReplacement;
use crate::{Rejection, VoterChange, VoterInfo};

/// The list of voters in force, and the pending list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterList {
    /// Number of the list in force; 0 for the founding list.
    pub number: u64,
    /// The voters of the list in force.
    #[serde(rename = "list")]
    pub voters: Vec<VoterInfo>,
    /// The list that was proposed and is not in force yet. If a voter joins by it, the list is pending until that voter
    /// has reported an empty folder.
    #[serde(rename = "next")]
    pub pending: Option<VoterChange>,
    /// Name and folder id of the voter that was removed last. Both are stored because messages to that voter may be
    /// needed until the raft library's membership change is complete.
    #[serde(rename = "left")]
    pub(crate) last_removed: Option<(String, u64)>,
}

/// The names of the voters that join and leave when the pending list takes effect.
#[derive(Debug, Default)]
pub(crate) struct PendingReplacement {
    pub joining: Option<String>,
    pub leaving: Option<String>,
}

/// Names that are in `to` and not in `from`.
fn added(from: &[VoterInfo], to: &[VoterInfo]) -> Vec<String> {
    let is_new = |voter: &&VoterInfo| !from.iter().any(|other| other.name == voter.name);
    to.iter().filter(is_new).map(|voter| voter.name.clone()).collect()
}

fn first_duplicate(voters: &[VoterInfo]) -> Option<&VoterInfo> {
    let is_duplicate = |i: usize, name: &str| voters[..i].iter().any(|other| other.name == name);
    voters.iter().enumerate().find(|(i, voter)| is_duplicate(*i, &voter.name)).map(|(_, voter)| voter)
}

impl VoterList {
    /// The list with which the fleet is founded.
    pub(crate) fn founding(names: &[String]) -> Self {
        let voters = names.iter().map(|name| VoterInfo { name: name.clone(), address: None }).collect();
        Self { number: 0, voters, pending: None, last_removed: None }
    }

    /// Whether the broker of this name is in the list of voters in force.
    pub fn contains(&self, name: &str) -> bool {
        self.voters.iter().any(|voter| voter.name == name)
    }

    /// Whether the broker of this name is in the list of voters in force, or joins by the pending list.
    pub fn contains_or_joining(&self, name: &str) -> bool {
        let mut pending = self.pending.iter().flat_map(|pending| &pending.voters);
        self.contains(name) || pending.any(|voter| voter.name == name)
    }

    /// Names of the voters of the list in force, and of the one that joins by the pending list.
    pub fn names_with_joining(&self) -> Vec<String> {
        let joining = self.pending.iter().flat_map(|pending| added(&self.voters, &pending.voters));
        self.voters.iter().map(|voter| voter.name.clone()).chain(joining).collect()
    }

    /// The voters that join and leave by the pending list; `None` if no list is pending.
    pub(crate) fn pending_replacement(&self) -> Option<PendingReplacement> {
        let pending = self.pending.as_ref()?;
        Some(PendingReplacement {
            joining: added(&self.voters, &pending.voters).pop(),
            leaving: added(&pending.voters, &self.voters).pop(),
        })
    }

    fn check(&self, change: &VoterChange) -> Result<(), Rejection> {
        if change.voters.is_empty() {
            return Err(Rejection::NoVoters);
        }
        if let Some(voter) = first_duplicate(&change.voters) {
            return Err(Rejection::DuplicateVoter(voter.name.clone()));
        }
        let expected = self.pending.as_ref().map_or(self.number, |pending| pending.number) + 1;
        if change.number != expected {
            return Err(Rejection::WrongVotersNumber { given: change.number, expected });
        }
        let (joins, leaves) = (added(&self.voters, &change.voters), added(&change.voters, &self.voters));
        let same_names = joins.is_empty() && leaves.is_empty();
        match &self.pending {
            // While a list is pending, only a change with the same voters as the list in force is accepted. It
            // withdraws the pending list.
            Some(pending) if !same_names => {
                return Err(Rejection::VotersPending { number: pending.number });
            }
            None if same_names && change.voters == self.voters => return Err(Rejection::VotersUnchanged),
            _ => {}
        }
        // Any majorities of two consecutive lists have to share a voter.
        if joins.len() > 1 || leaves.len() > 1 {
            return Err(Rejection::TooManyVoterChanges { joins, leaves });
        }
        Ok(())
    }
}

impl ReplicatedState {
    pub(super) fn check_voter_change(&self, change: &VoterChange) -> Result<(), Rejection> {
        self.voters.check(change)
    }

    /// Applies a change of voters. If a voter joins or leaves, the new list is pending until the leader replaces the
    /// voters; otherwise it takes effect at once.
    pub(super) fn change_voters(&mut self, change: VoterChange) -> StateChange {
        let number = change.number;
        let same_names = added(&self.voters.voters, &change.voters).is_empty()
            && added(&change.voters, &self.voters.voters).is_empty();
        if !same_names {
            self.voters.pending = Some(change);
            return StateChange::VotersPending(number);
        }
        let last_removed = self.voters.last_removed.take();
        self.voters = VoterList { number, voters: change.voters, pending: None, last_removed };
        StateChange::VotersChanged(number)
    }

    /// Checks that the replacement matches the pending list and the folder that is recorded for the leaving voter.
    pub(super) fn check_replacement(&self, replacement: &VoterReplacement) -> Result<(), Rejection> {
        let is_pending =
            self.voters.pending.as_ref().is_some_and(|pending| pending.number == replacement.number);
        let expected = self.voters.pending_replacement().unwrap_or_default();
        let leaving = expected.leaving.map(|name| {
            let folder = self.folder_starts.get(&name).map(|folder_start| folder_start.folder_id);
            (name, folder)
        });
        let joining = replacement.joining.as_ref().map(|(name, _)| name);
        if is_pending && expected.joining.as_ref() == joining && leaving == replacement.leaving {
            return Ok(());
        }
        Err(Rejection::VotersSuperseded { number: replacement.number })
    }

    /// Brings the pending list of voters into force.
    pub(super) fn replace_voters(&mut self, replacement: VoterReplacement) -> StateChange {
        let last_removed = replacement.leaving.and_then(|(name, folder)| Some((name, folder?)));
        if let Some((name, _)) = &last_removed {
            self.folder_starts.remove(name);
        }
        self.folder_starts.extend(replacement.joining);
        let pending = self.voters.pending.take().expect("the caller has checked that a list is pending");
        self.voters =
            VoterList { number: pending.number, voters: pending.voters, pending: None, last_removed };
        StateChange::VotersChanged(replacement.number)
    }
}
