//! A fleet whose majority is gone for good is brought back by an operator's word, from one voter's folder. What the lost
//! ones alone had agreed on is gone; what may go wrong by that is fenced: the fleet's epoch goes up, whoever has heard of
//! it believes none of before, and nobody has a lease before all that was allowed by the lost ones has surely ended.

use raft::eraftpb::{ConfState, EntryType};
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::{Voter, fresh, node};
use crate::ledger::{Ledger, snapshot};
use crate::{AgreeError, Saved, State, Terms};

/// Places in the log and terms by which it goes on further: no place means two things.
const FURTHER: u64 = 1 << 20;
/// What an operator has to write, word by word.
pub const WORD: &str =
    "what the lost voters alone agreed on is gone, and they must never come back with their folders";

/// The operator's word; it fits one folder at one place in its log and no other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recovery {
    /// As the log of the voter's start says.
    #[serde(rename = "folder")]
    pub folder: u64,
    #[serde(rename = "last")]
    pub last: u64,
    /// The voters that are given up.
    #[serde(rename = "lost")]
    pub lost: Vec<String>,
    /// The highest number of a version that any broker's log names.
    #[serde(rename = "highest")]
    pub highest: u64,
    #[serde(rename = "word")]
    pub word: String,
}

/// Why a folder is not gone on from by an operator's word.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecoveryError {
    #[error("the folder holds no fleet")]
    Nothing,
    #[error("it is about folder {said}, this is {is}")]
    Folder { said: u64, is: u64 },
    #[error("it is about a log up to {said}, the folder's goes up to {is}")]
    Last { said: u64, is: u64 },
    #[error("`{0}` is no voter by the folder")]
    NoVoter(String),
    #[error("it gives up this voter itself")]
    Own,
    #[error("it gives up {lost} of {of} voters, and the others are a majority")]
    Majority { lost: usize, of: usize },
    #[error("the highest version is {said}, the folder has {is}")]
    Highest { said: u64, is: u64 },
    #[error("the word is not \"{WORD}\"")]
    Word,
    #[error("the folder's log has what this program does not know: {0}")]
    Unknown(String),
}

impl RecoveryError {
    /// What an operator can do, and what it risks.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Nothing => {
                "take the folder of a voter that was in the fleet; an empty one has nothing to go on from"
            }
            Self::Folder { .. } | Self::Last { .. } => {
                "write the folder and the last place that this start names, after comparing all that are left: the one \
                 with the greatest last place has lost the least"
            }
            Self::NoVoter(_) => "name voters of the list that this start names",
            Self::Own => "write it into the folder of a voter that stays",
            Self::Majority { .. } => "start the others: a majority needs no such word, and risks nothing",
            Self::Highest { .. } => "look through the brokers' logs for the highest number of a version",
            Self::Word => {
                "write the sentence as it stands once you have made sure that the lost voters are down for good: one \
                 that runs still, cut off, would go on with a fleet of its own, and parts could run at two owners"
            }
            Self::Unknown(_) => "start it with the program that wrote the folder",
        }
    }
}

impl Voter {
    /// As [`Voter::open`], and goes on alone from there by an operator's word; it votes in a new folder, alone until the
    /// others that stay have begun anew.
    pub fn recover(
        terms: Terms,
        saved: Saved,
        word: &Recovery,
        now: f64,
        seed: u64,
    ) -> Result<Self, AgreeError> {
        let mut voter = Self::open(terms, saved, now, seed)?;
        voter.bring_back(now, word)?;
        Ok(voter)
    }

    /// Folder and last place of its log, for [`Recovery`].
    pub fn held(&self) -> (u64, u64) {
        (self.folder.id, self.raw.raft.raft_log.last_index())
    }

    fn bring_back(&mut self, now: f64, word: &Recovery) -> Result<(), RecoveryError> {
        let (folder, last) = self.held();
        if !self.seated {
            return Err(RecoveryError::Nothing);
        }
        if word.folder != folder {
            return Err(RecoveryError::Folder { said: word.folder, is: folder });
        }
        if word.last != last {
            return Err(RecoveryError::Last { said: word.last, is: last });
        }
        let mut state = self.state.clone();
        // Also what it does not know to be agreed on: the lost ones may have.
        for entry in self.raw.store().after(state.index) {
            let change = entry.get_entry_type() != EntryType::EntryNormal;
            let bytes: &[u8] = if change { &entry.context } else { &entry.data };
            if !bytes.is_empty() {
                let item = State::item(bytes, &self.knows);
                let item = item.map_err(|why| RecoveryError::Unknown(why.to_string()))?;
                let _ = state.apply(entry.index, item);
            }
        }
        if let Some(name) = word.lost.iter().find(|name| !state.voters.votes(name)) {
            return Err(RecoveryError::NoVoter(name.clone()));
        }
        if word.lost.contains(&self.terms.name) {
            return Err(RecoveryError::Own);
        }
        let of = state.voters.list.len();
        if word.lost.len() * 2 < of {
            return Err(RecoveryError::Majority { lost: word.lost.len(), of });
        }
        if word.highest < state.highest {
            return Err(RecoveryError::Highest { said: word.highest, is: state.highest });
        }
        if word.word != WORD {
            return Err(RecoveryError::Word);
        }
        self.folder = fresh(&self.terms.name, &mut self.chance);
        (self.folder.starts, self.folder.run) = (1, self.chance.random());
        state.voters.list.retain(|voter| !word.lost.contains(&voter.name));
        (state.voters.next, state.voters.left) = (None, None);
        state.voters.number += 1;
        state.seats = [(self.terms.name.clone(), self.seat())].into();
        (state.highest, state.epoch, state.quiet) = (word.highest, state.epoch + 1, true);
        state.index = last + FURTHER;
        let conf = ConfState::from((vec![self.folder.id], Vec::new()));
        let mut ledger = Ledger::default();
        ledger.restore(snapshot(state.index, self.raw.raft.term + FURTHER, conf, state.bytes()));
        self.raw = node(self.folder.id, state.index, ledger);
        self.orders.log.push(format!(
            "goes on alone by an operator's word, epoch {}, without {}: nobody has a lease for {:.1} s",
            state.epoch,
            word.lost.join(", "),
            state.wait(&self.terms)
        ));
        (self.state, self.cleared) = (state, true);
        self.orders.save.folder = Some(self.folder.clone());
        self.watch.again(now, &self.state);
        Ok(())
    }
}
