//! Errors of the control plane, each with its place and with what an operator can do about it.

use std::path::PathBuf;

use dunepond_consensus::ConsensusConfigError;
use dunepond_membership::PeerError;
use thiserror::Error;

/// Why the control plane does not start.
#[derive(Debug, Error)]
pub enum ControlPlaneError {
    /// The terms of consensus contradict each other.
    #[error("{0}")]
    Terms(#[from] ConsensusConfigError),
    /// The links to other brokers cannot be opened.
    #[error("links: {0}")]
    Links(#[from] PeerError),
    /// The data directory is missing, in use or cannot be written.
    #[error("folder {path}: {why}")]
    DataDirectory {
        /// The directory.
        path: PathBuf,
        /// Reason, for people.
        why: String,
    },
    /// The shared secret cannot be read.
    #[error("key {path}: {why}")]
    Key {
        /// The key file.
        path: PathBuf,
        /// Reason, for people.
        why: String,
    },
    /// The audit log cannot be opened.
    #[error("record {path}: {why}")]
    AuditLog {
        /// The audit log's file.
        path: PathBuf,
        /// Reason, for people.
        why: String,
    },
    /// The operating system refuses a thread.
    #[error("the thread cannot be started: {why}")]
    Thread {
        /// Reason, for people.
        why: String,
    },
    /// An operator's order on a lost majority does not fit.
    #[error("word on a lost majority {path}: {why}")]
    LostMajority {
        /// The order's file.
        path: PathBuf,
        /// Reason, for people.
        why: String,
        /// What an operator can do.
        help: String,
    },
    /// The voter, the counts or the commitments cannot be opened.
    #[error("agreement: {why}")]
    Consensus {
        /// Reason, for people.
        why: String,
        /// What an operator can do.
        help: String,
    },
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
    /// There is no such file.
    #[error("{path}: is not there")]
    NotFound {
        /// The file.
        path: PathBuf,
    },
    /// The file cannot be read.
    #[error("{path}: {why}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Reason, for people.
        why: String,
    },
    /// The file is no JSON of the documented form.
    #[error("{path}:{line}:{column}: {why}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// Reason, for people.
        why: String,
    },
    /// A list by query class has another length than the deployment's.
    #[error("{path}: rules: {key} has {found} entries, this deployment has {expected} table types")]
    QueryClassCount {
        /// The file.
        path: PathBuf,
        /// Key of the list.
        key: &'static str,
        /// Entries of the list.
        found: usize,
        /// Query classes of the deployment.
        expected: usize,
    },
    /// A rule's value is out of range.
    #[error("{path}: rules: {key} is {value}, not {expected}")]
    Rule {
        /// The file.
        path: PathBuf,
        /// Key of the rule.
        key: &'static str,
        /// Its value.
        value: f64,
        /// The range, for people.
        expected: &'static str,
    },
    /// The version is too large for a message.
    #[error("{path}: it comes to {bytes} bytes, more than the {most} that a version may have")]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Size of the version.
        bytes: usize,
        /// Largest size, in bytes.
        most: usize,
    },
    /// A voter's address has no IP address and port.
    #[error("{path}: voter {name}: at is {at:?}, not an address and port")]
    VoterAddress {
        /// The file.
        path: PathBuf,
        /// Name of the voter.
        name: String,
        /// The address as given.
        at: String,
    },
    /// A key that has to be known to each broker is not known to this build.
    #[error(
        "{path}: `{key}` is not known to this program, and a version's rules, standings and maps must be"
    )]
    UnknownKey {
        /// The file.
        path: PathBuf,
        /// Path of the key.
        key: String,
    },
    /// The shard map is not valid.
    #[error("{path}: map: {faults} faults; the first: {first} ({help})")]
    Map {
        /// The file.
        path: PathBuf,
        /// Number of faults.
        faults: usize,
        /// The first fault.
        first: String,
        /// What an operator can do about the first.
        help: String,
    },
}

impl VersionError {
    /// What an operator can do.
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

/// Why a rebalancing plan is not offered.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlanError {
    /// There is no such file.
    #[error("{path}: is not there")]
    NotFound {
        /// The file.
        path: PathBuf,
    },
    /// The file cannot be read.
    #[error("{path}: {why}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Reason, for people.
        why: String,
    },
    /// The file holds no valid plan.
    #[error("{path}: {why}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The fault.
        why: Box<dunepond_rebalance::RebalanceError>,
    },
}

impl PlanError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NotFound { .. } => "nothing to do; to move segments put a plan there and send SIGHUP",
            Self::Unreadable { .. } => "make the file readable for this broker and send SIGHUP",
            Self::Invalid { why, .. } => why.help(),
        }
    }
}

/// Why an attempt to fill a node has failed. The fill is retried until the version's deadline.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FillError {
    /// No connection, or no answer in time.
    #[error("the filler at {at} cannot be reached: {why}")]
    Unreachable {
        /// Address of the fill service.
        at: String,
        /// Reason, for people.
        why: String,
    },
    /// An answer other than 200.
    #[error("the filler at {at} answered {status} for {id}")]
    Rejected {
        /// Address of the fill service.
        at: String,
        /// HTTP status.
        status: u16,
        /// Id of the fill.
        id: String,
    },
    /// A body that is neither empty nor the documented JSON.
    #[error("the filler at {at} says of {id} what cannot be read: {why}")]
    InvalidResponse {
        /// Address of the fill service.
        at: String,
        /// Id of the fill.
        id: String,
        /// Reason, for people.
        why: String,
    },
}

impl FillError {
    /// What an operator can do.
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
