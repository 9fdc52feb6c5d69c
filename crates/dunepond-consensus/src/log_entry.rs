//! Entries of the log: commands, and what voters record among themselves. The serialised names are those of the log's
//! format.

use serde::{Deserialize, Serialize};

use crate::{Command, ConsensusConfig, VoterSlot};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LogEntry {
    #[serde(rename = "Entry")]
    Command(Command),
    /// The configuration in the new leader's file differs from the one in force and replaces it.
    #[serde(rename = "Terms")]
    Config(ConsensusConfig),
    /// The first stage of the proposed version begins.
    #[serde(rename = "Stage")]
    StartStage { number: u64 },
    /// The rollback of a staged version is complete.
    #[serde(rename = "Returned")]
    RollbackCompleted { number: u64 },
    /// Records the identity of a voter's folder as it was last seen.
    #[serde(rename = "Seat")]
    VoterSlot {
        voter: String,
        #[serde(rename = "seat")]
        slot: VoterSlot,
    },
    /// The pending list of voters takes effect.
    #[serde(rename = "Voted")]
    VotersReplaced(VoterReplacement),
    /// Every lease from before this epoch has expired.
    #[serde(rename = "Calm")]
    ResumeLeases { epoch: u64 },
}

/// The change by which the pending list of voters takes effect. It is committed together with the raft library's own
/// membership change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoterReplacement {
    pub number: u64,
    #[serde(rename = "joins")]
    pub joining: Option<(String, VoterSlot)>,
    /// Name of the leaving voter and the id of its folder, if it has one.
    #[serde(rename = "leaves")]
    pub leaving: Option<(String, Option<u64>)>,
}
