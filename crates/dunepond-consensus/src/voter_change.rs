//! Voters as documents name them: by name and address, and by the identity of their folder.

use serde::{Deserialize, Serialize};

/// A voter, by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoterInfo {
    /// Of the broker.
    pub name: String,
    /// Where the others reach it; `None`: as their files state.
    #[serde(default)]
    #[serde(rename = "at")]
    pub address: Option<String>,
}

/// An operator's document: the whole list of voters, which differs from the one in force by one voter at most.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterChange {
    /// One more than that of the list in force, or of the pending one.
    pub number: u64,
    /// The list.
    pub voters: Vec<VoterInfo>,
    /// Who proposed it.
    #[serde(rename = "who")]
    pub proposed_by: String,
    /// Why, in the proposer's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// When, in Unix seconds; shown to people only.
    #[serde(rename = "at")]
    pub proposed_at_unix_seconds: f64,
}

/// A voter's folder as its peers saw it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSlot {
    /// Drawn when the folder was empty.
    #[serde(rename = "folder")]
    pub folder_id: u64,
    /// Starts on the folder.
    #[serde(rename = "starts")]
    pub start_count: u64,
    /// Drawn at each start.
    #[serde(rename = "run")]
    pub run_id: u64,
}
