//! Entries of the log: commands, and entries that the leader writes by itself. The serialized names are part of the
//! log's format.

use serde::{Deserialize, Serialize};

use crate::{Command, ConsensusConfig, FolderStart};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LogEntry {
    /// A command that a host proposed.
    #[serde(rename = "Entry")]
    Command(Command),
    /// Replaces the consensus configuration in force with the one in the leader's file, if the two differ.
    #[serde(rename = "Terms")]
    Config(ConsensusConfig),
    /// The first stage of the proposed version begins.
    #[serde(rename = "Stage")]
    StartStage { number: u64 },
    /// The rollback of the proposed version from its first stage is complete.
    #[serde(rename = "Returned")]
    RollbackCompleted { number: u64 },
    /// Records a voter's folder and the latest process start on it.
    #[serde(rename = "Seat")]
    VoterSlot {
        voter: String,
        #[serde(rename = "seat")]
        folder_start: FolderStart,
    },
    /// The pending list of voters takes effect.
    #[serde(rename = "Voted")]
    VotersReplaced(VoterReplacement),
    /// Ends the suspension of leases after the recovery that began this epoch. The leader writes the entry once every
    /// lease from before the recovery, and every query sent under one, has ended.
    #[serde(rename = "Calm")]
    ResumeLeases { epoch: u64 },
}

/// The change by which the pending list of voters takes effect. It is committed in the same entry as the raft library's
/// membership change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoterReplacement {
    /// Number of the pending list of voters.
    pub number: u64,
    /// Name of the joining voter and the identity of its folder, if one joins.
    #[serde(rename = "joins")]
    pub joining: Option<(String, FolderStart)>,
    /// Name of the leaving voter, if one leaves, and the id of its folder, if one is recorded.
    #[serde(rename = "leaves")]
    pub leaving: Option<(String, Option<u64>)>,
}
