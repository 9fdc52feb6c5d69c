//! What an entry of the log holds: a command, or something that voters settle among themselves. The serialised names are
//! those of the log's format.

use serde::{Deserialize, Serialize};

use crate::{Command, ConsensusConfig, VoterSlot};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LogEntry {
    #[serde(rename = "Entry")]
    Command(Command),
    /// The new leader's file states other terms than those in force.
    #[serde(rename = "Terms")]
    Config(ConsensusConfig),
    /// The first stage of the proposed version begins.
    #[serde(rename = "Stage")]
    StartStage { number: u64 },
    /// The rollback of a staged version is complete.
    #[serde(rename = "Returned")]
    RollbackCompleted { number: u64 },
    /// Identity of a voter's folder, as last seen.
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

/// What makes the pending list of voters take effect; committed together with the raft library's own membership change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoterReplacement {
    pub number: u64,
    #[serde(rename = "joins")]
    pub joining: Option<(String, VoterSlot)>,
    /// With the id of its folder, if it has one.
    #[serde(rename = "leaves")]
    pub leaving: Option<(String, Option<u64>)>,
}
