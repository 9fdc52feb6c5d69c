//! What can be wrong with a broker's part in the fleet, where, and what an operator can do about it.

use std::path::PathBuf;

use dunepond_consensus::ConsensusConfigError;
use dunepond_membership::PeerError;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum ControlPlaneError {
    #[error("{0}")]
    Terms(#[from] ConsensusConfigError),
    #[error("links: {0}")]
    Links(#[from] PeerError),
    #[error("folder {path}: {why}")]
    DataDirectory { path: PathBuf, why: String },
    #[error("key {path}: {why}")]
    Key { path: PathBuf, why: String },
    #[error("record {path}: {why}")]
    AuditLog { path: PathBuf, why: String },
    #[error("the thread cannot be started: {why}")]
    Thread { why: String },
    #[error("word on a lost majority {path}: {why}")]
    LostMajority { path: PathBuf, why: String, help: String },
    #[error("agreement: {why}")]
    Consensus { why: String, help: String },
}

impl ControlPlaneError {
    /// What an operator can do.
    pub fn help(&self) -> String {
        match self {
            Self::Terms(error) => error.help().to_string(),
            Self::Links(error) => error.help().to_string(),
            Self::DataDirectory { .. } => {
                "give 'folder' a directory that this broker alone may write to".to_string()
            }
            Self::Key { .. } => {
                "give 'key' a readable file with 16 bytes or more, the same at all brokers".to_string()
            }
            Self::AuditLog { .. } => "give 'record' a file that this broker may append to".to_string(),
            Self::Thread { .. } => {
                "the machine has no room for a further thread: look at its limits".to_string()
            }
            Self::Consensus { help, .. } | Self::LostMajority { help, .. } => help.clone(),
        }
    }
}

/// Why a version file is not proposed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum VersionError {
    #[error("{path}: is not there")]
    NotFound { path: PathBuf },
    #[error("{path}: {why}")]
    Unreadable { path: PathBuf, why: String },
    #[error("{path}:{line}:{column}: {why}")]
    Invalid { path: PathBuf, line: usize, column: usize, why: String },
    #[error("{path}: rules: {key} has {found} entries, this deployment has {expected} table types")]
    QueryClassCount { path: PathBuf, key: &'static str, found: usize, expected: usize },
    #[error("{path}: rules: {key} is {value}, not {expected}")]
    Rule { path: PathBuf, key: &'static str, value: f64, expected: &'static str },
    #[error("{path}: it comes to {bytes} bytes, more than the {most} that a version may have")]
    TooLarge { path: PathBuf, bytes: usize, most: usize },
    #[error("{path}: voter {name}: at is {at:?}, not an address and port")]
    VoterAddress { path: PathBuf, name: String, at: String },
    #[error(
        "{path}: `{key}` is not known to this program, and a version's rules, standings and maps must be"
    )]
    UnknownKey { path: PathBuf, key: String },
    #[error("{path}: map: {faults} faults; the first: {first} ({help})")]
    Map { path: PathBuf, faults: usize, first: String, help: String },
}

impl VersionError {
    pub fn help(&self) -> &'static str {
        match self {
            Self::NotFound { .. } => "nothing to do; to propose a version put it there and send SIGHUP",
            Self::Unreadable { .. } => "make the file readable for this broker and send SIGHUP",
            Self::Invalid { .. } => {
                "write the version as docs/operators/fleet.md shows it, and send SIGHUP; nothing was changed"
            }
            Self::QueryClassCount { .. } => "give each table type an entry, in the order of the settings",
            Self::Rule { .. } => "put the value right and send SIGHUP; nothing was changed",
            Self::UnknownKey { .. } => {
                "mend the key's name; or bring all brokers to the program that knows it, and propose it there"
            }
            Self::VoterAddress { .. } => "give `at` as 10.1.0.4:7400, or leave it out where each file has it",
            Self::TooLarge { .. } => "give the map fewer segments: join those that go together",
            Self::Map { .. } => {
                "put the map right, or leave its digest empty to have it computed, and send SIGHUP"
            }
        }
    }
}

/// Why a plan of moves is not offered.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlanError {
    #[error("{path}: is not there")]
    NotFound { path: PathBuf },
    #[error("{path}: {why}")]
    Unreadable { path: PathBuf, why: String },
    #[error("{path}: {why}")]
    Invalid { path: PathBuf, why: Box<dunepond_rebalance::MoveError> },
}

impl PlanError {
    pub fn help(&self) -> &'static str {
        match self {
            Self::NotFound { .. } => "nothing to do; to move segments put a plan there and send SIGHUP",
            Self::Unreadable { .. } => "make the file readable for this broker and send SIGHUP",
            Self::Invalid { why, .. } => why.help(),
        }
    }
}

/// Why a fill came to nothing. It is tried again until the version's deadline.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FillError {
    #[error("the filler at {at} cannot be reached: {why}")]
    Unreachable { at: String, why: String },
    #[error("the filler at {at} answered {status} for {id}")]
    Rejected { at: String, status: u16, id: String },
    #[error("the filler at {at} says of {id} what cannot be read: {why}")]
    InvalidResponse { at: String, id: String, why: String },
}

impl FillError {
    pub fn help(&self) -> &'static str {
        match self {
            Self::Unreachable { .. } => "look whether the filler runs at the address of 'fills at='",
            Self::Rejected { .. } => {
                "look at the filler's log; the fill is asked for again until the deadline"
            }
            Self::InvalidResponse { .. } => {
                "the filler answers with no body, or with JSON of source and bytes"
            }
        }
    }
}

#[cfg(test)]
mod tests;
