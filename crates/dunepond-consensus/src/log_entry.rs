//! Entries of the log: commands, and entries that the leader writes by itself. The serialized names are part of the
//! log's format.

use serde::{Deserialize, Serialize};

use crate::{Command, ConsensusConfig, VoterSlot};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LogEntry {
    /// A command that a host proposed.
    #[serde(rename = "Entry")]
    Command(Command),
    /// The consensus configuration in the leader's file, which differs from the one in force, replaces it.
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
        slot: VoterSlot,
    },
    /// The pending list of voters takes effect.
    #[serde(rename = "Voted")]
    VotersReplaced(VoterReplacement),
    /// Leases are granted again after the recovery that began this epoch, since every earlier lease has expired.
    #[serde(rename = "Calm")]
    ResumeLeases { epoch: u64 },
}

/// The change by which the pending list of voters takes effect. It is committed in the same entry as the raft library's
/// membership change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoterReplacement {
    /// Number of the pending list.
    pub number: u64,
    /// Name of the joining voter and the identity of its folder, if one joins.
    #[serde(rename = "joins")]
    pub joining: Option<(String, VoterSlot)>,
    /// Name of the leaving voter, if one leaves, and the id of its folder, if one is recorded.
    #[serde(rename = "leaves")]
    pub leaving: Option<(String, Option<u64>)>,
}
