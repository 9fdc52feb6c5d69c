//! Descriptions of voters in documents: their names, addresses and data folders.

use serde::{Deserialize, Serialize};

/// A voter, identified by the name of its broker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoterInfo {
    /// Name of the broker.
    pub name: String,
    /// Address at which other brokers reach the voter; `None` means that each broker uses the address in its own
    /// configuration file.
    #[serde(default)]
    #[serde(rename = "at")]
    pub address: Option<String>,
}

/// An operator's document with the complete new list of voters. Compared with the list in force, at most one voter may
/// join and at most one may leave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterChange {
    /// Number of the list: one more than that of the pending list, or of the list in force if none is pending.
    pub number: u64,
    /// The voters of the new list.
    pub voters: Vec<VoterInfo>,
    /// Who proposed the list.
    #[serde(rename = "who")]
    pub proposed_by: String,
    /// The reason, in the proposer's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// When the list was proposed, in Unix seconds; only shown to people.
    #[serde(rename = "at")]
    pub proposed_at_unix_seconds: f64,
}

/// A voter's data folder, and the latest process start on that folder which was known when this value was sent or
/// stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderStart {
    /// Id of the folder, drawn at random when the folder was empty.
    #[serde(rename = "folder")]
    pub folder_id: u64,
    /// Number of times that the voter's process was started on the folder.
    #[serde(rename = "starts")]
    pub start_count: u64,
    /// Random number drawn at each process start. If two process starts have the same count but different numbers, one
    /// of them was made on a copy of the folder.
    #[serde(rename = "run")]
    pub run_id: u64,
}
