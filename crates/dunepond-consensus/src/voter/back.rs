//! A fleet whose majority is gone for good is brought back by an operator's word, from one voter's folder. What the lost
//! ones alone had agreed on is gone; what may go wrong by that is fenced: the fleet's epoch goes up, whoever has heard of
//! it believes none of before, and nobody has a lease before all that was allowed by the lost ones has surely ended.

use raft::eraftpb::{ConfState, EntryType};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::{Voter, fresh, node};
use crate::ledger::{Ledger, snapshot};
use crate::{ConsensusConfig, ConsensusError, ReplicatedState, StoredVoter};

/// Places in the log and terms by which it goes on further: no place means two things.
const FURTHER: u64 = 1 << 20;
/// What an operator has to write, word by word.
pub const WORD: &str =
    "what the lost voters alone agreed on is gone, and they must never come back with their folders";

/// The operator's word; it fits one folder at one place in its log and no other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryOrder {
    /// As the log of the voter's start says.
    #[serde(rename = "folder")]
    pub folder_id: u64,
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The voters that are given up.
    #[serde(rename = "lost")]
    pub lost_voters: Vec<String>,
    /// The highest number of a version that any broker's log names.
    #[serde(rename = "highest")]
    pub highest_number: u64,
    #[serde(rename = "word")]
    pub confirmation: String,
}

/// Why a folder is not gone on from by an operator's word.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecoveryError {
    #[error("the folder holds no fleet")]
    NoState,
    #[error("it is about folder {said}, this is {is}")]
    WrongFolder { said: u64, is: u64 },
    #[error("it is about a log up to {said}, the folder's goes up to {is}")]
    WrongPosition { said: u64, is: u64 },
    #[error("`{0}` is no voter by the folder")]
    NotAVoter(String),
    #[error("it gives up this voter itself")]
    OwnVoter,
    #[error("it gives up {lost} of {of} voters, and the others are a majority")]
    MajorityRemains { lost: usize, of: usize },
    #[error("the highest version is {said}, the folder has {is}")]
    VersionTooLow { said: u64, is: u64 },
    #[error("the word is not \"{WORD}\"")]
    WrongConfirmation,
    #[error("the folder's log has what this program does not know: {0}")]
    UnknownEntry(String),
}

impl RecoveryError {
    /// What an operator can do, and what it risks.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoState => {
                "take the folder of a voter that was in the fleet; an empty one has nothing to go on from"
            }
            Self::WrongFolder { .. } | Self::WrongPosition { .. } => {
                "write the folder and the last place that this start names, after comparing all that are left: the one \
                 with the greatest last place has lost the least"
            }
            Self::NotAVoter(_) => "name voters of the list that this start names",
            Self::OwnVoter => "write it into the folder of a voter that stays",
            Self::MajorityRemains { .. } => {
                "start the others: a majority needs no such word, and risks nothing"
            }
            Self::VersionTooLow { .. } => {
                "look through the brokers' logs for the highest number of a version"
            }
            Self::WrongConfirmation => {
                "write the sentence as it stands once you have made sure that the lost voters are down for good: one \
                 that runs still, cut off, would go on with a fleet of its own, and parts could run at two owners"
            }
            Self::UnknownEntry(_) => "start it with the program that wrote the folder",
        }
    }
}

impl Voter {
    /// As [`Voter::open`], and goes on alone from there by an operator's word; it votes in a new folder, alone until the
    /// others that stay have begun anew.
    pub fn recover(
        terms: ConsensusConfig,
        saved: StoredVoter,
        word: &RecoveryOrder,
        now: f64,
        seed: u64,
    ) -> Result<Self, ConsensusError> {
        let mut voter = Self::open(terms, saved, now, seed)?;
        voter.bring_back(now, word)?;
        Ok(voter)
    }

    /// Folder and last place of its log, for [`RecoveryOrder`].
    pub fn recovery_position(&self) -> (u64, u64) {
        (self.folder.id, self.raw.raft.raft_log.last_index())
    }

    fn bring_back(&mut self, now: f64, word: &RecoveryOrder) -> Result<(), RecoveryError> {
        let (folder, last) = self.recovery_position();
        if !self.has_state {
            return Err(RecoveryError::NoState);
        }
        if word.folder_id != folder {
            return Err(RecoveryError::WrongFolder { said: word.folder_id, is: folder });
        }
        if word.last_index != last {
            return Err(RecoveryError::WrongPosition { said: word.last_index, is: last });
        }
        let mut state = self.state.clone();
        // Also what it does not know to be agreed on: the lost ones may have.
        for entry in self.raw.store().after(state.index) {
            let change = entry.get_entry_type() != EntryType::EntryNormal;
            let bytes: &[u8] = if change { &entry.context } else { &entry.data };
            if !bytes.is_empty() {
                let item = ReplicatedState::item(bytes, &self.knows);
                let item = item.map_err(|why| RecoveryError::UnknownEntry(why.to_string()))?;
                let _ = state.apply(entry.index, item);
            }
        }
        if let Some(name) = word.lost_voters.iter().find(|name| !state.voters.contains(name)) {
            return Err(RecoveryError::NotAVoter(name.clone()));
        }
        if word.lost_voters.contains(&self.terms.name) {
            return Err(RecoveryError::OwnVoter);
        }
        let of = state.voters.voters.len();
        if word.lost_voters.len() * 2 < of {
            return Err(RecoveryError::MajorityRemains { lost: word.lost_voters.len(), of });
        }
        if word.highest_number < state.highest_number {
            return Err(RecoveryError::VersionTooLow { said: word.highest_number, is: state.highest_number });
        }
        if word.confirmation != WORD {
            return Err(RecoveryError::WrongConfirmation);
        }
        self.folder = fresh(&self.terms.name, &mut self.chance);
        (self.folder.starts, self.folder.run) = (1, self.chance.random());
        state.voters.voters.retain(|voter| !word.lost_voters.contains(&voter.name));
        (state.voters.pending, state.voters.left) = (None, None);
        state.voters.number += 1;
        state.voter_slots = [(self.terms.name.clone(), self.seat())].into();
        (state.highest_number, state.epoch, state.leases_suspended) =
            (word.highest_number, state.epoch + 1, true);
        state.index = last + FURTHER;
        let conf = ConfState::from((vec![self.folder.id], Vec::new()));
        let mut ledger = Ledger::default();
        ledger.restore(snapshot(state.index, self.raw.raft.term + FURTHER, conf, state.bytes()));
        self.raw = node(self.folder.id, state.index, ledger);
        self.orders.log_lines.push(format!(
            "goes on alone by an operator's word, epoch {}, without {}: nobody has a lease for {:.1} s",
            state.epoch,
            word.lost_voters.join(", "),
            state.quiescence_seconds(&self.terms)
        ));
        (self.state, self.cleared) = (state, true);
        self.orders.write_batch.folder = Some(self.folder.clone());
        self.watch.again(now, &self.state);
        Ok(())
    }
}
