//! Errors of the control plane. Each names the file, address or value at fault, and has a help text for the operator.

use std::path::PathBuf;

use dunepond_consensus::ConsensusConfigError;
use dunepond_membership::PeerError;
use thiserror::Error;

/// Why the control plane does not start.
#[derive(Debug, Error)]
pub enum ControlPlaneError {
    /// The configuration of consensus is inconsistent.
    #[error("{0}")]
    ConsensusConfig(#[from] ConsensusConfigError),
    /// The links to other brokers cannot be opened.
    #[error("links to other brokers: {0}")]
    Links(#[from] PeerError),
    /// The data directory is missing, in use or cannot be written.
    #[error("data directory {path}: {why}")]
    DataDirectory {
        /// The directory.
        path: PathBuf,
        /// Human-readable reason.
        why: String,
    },
    /// The shared secret cannot be read.
    #[error("key file {path}: {why}")]
    Key {
        /// The key file.
        path: PathBuf,
        /// Human-readable reason.
        why: String,
    },
    /// The audit log cannot be opened.
    #[error("audit log {path}: {why}")]
    AuditLog {
        /// The audit log's file.
        path: PathBuf,
        /// Human-readable reason.
        why: String,
    },
    /// The operating system refuses to start a thread.
    #[error("the control plane's thread cannot be started: {why}")]
    Thread {
        /// Human-readable reason.
        why: String,
    },
    /// The operator's recovery order for a lost majority of voters is invalid or does not match this voter's state.
    #[error("recovery order {path}: {why}")]
    LostMajority {
        /// The file with the recovery order.
        path: PathBuf,
        /// Human-readable reason.
        why: String,
        /// What an operator can do.
        help: String,
    },
    /// The stored voter, traffic counts or commitments cannot be opened.
    #[error("stored state: {why}")]
    Consensus {
        /// Human-readable reason.
        why: String,
        /// What an operator can do.
        help: String,
    },
}

impl ControlPlaneError {
    /// What an operator can do about the error.
    pub fn help(&self) -> String {
        match self {
            Self::ConsensusConfig(error) => error.help().to_string(),
            Self::Links(error) => error.help().to_string(),
            Self::DataDirectory { .. } => {
                "set 'folder' to an existing directory that only this broker uses and may write to"
                    .to_string()
            }
            Self::Key { .. } => {
                "set 'key' to a readable file of at least 16 bytes, the same at all brokers".to_string()
            }
            Self::AuditLog { .. } => "set 'record' to a file that this broker may append to".to_string(),
            Self::Thread { .. } => {
                "raise the limits of the machine or the service on threads and memory".to_string()
            }
            Self::Consensus { help, .. } | Self::LostMajority { help, .. } => help.clone(),
        }
    }
}

/// Why the operator's version file, with a configuration version or a list of voters, is not proposed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum VersionError {
    /// The version file does not exist.
    #[error("{path}: no such file")]
    NotFound {
        /// The version file.
        path: PathBuf,
    },
    /// The version file exists but cannot be read.
    #[error("{path}: cannot be read: {why}")]
    Unreadable {
        /// The version file.
        path: PathBuf,
        /// Human-readable reason.
        why: String,
    },
    /// The version file is not JSON, or not of the documented form.
    #[error("{path}:{line}:{column}: {why}")]
    Invalid {
        /// The version file.
        path: PathBuf,
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// Human-readable reason.
        why: String,
    },
    /// A list in the rules does not have exactly one entry for each query class of the deployment.
    #[error(
        "{path}: rules: {key} has {found} entries, but this deployment has {expected} query classes ('table-type')"
    )]
    QueryClassCount {
        /// The version file.
        path: PathBuf,
        /// Key of the list in the rules.
        key: &'static str,
        /// Number of entries in the list.
        found: usize,
        /// Number of query classes in the deployment.
        expected: usize,
    },
    /// The value of a routing rule is out of range.
    #[error("{path}: rules: {key} is {value}, but must be {expected}")]
    Rule {
        /// The version file.
        path: PathBuf,
        /// Key of the rule in the version file.
        key: &'static str,
        /// The value that was given.
        value: f64,
        /// The allowed range, in words.
        expected: &'static str,
    },
    /// The configuration version is too large for a message between brokers.
    #[error("{path}: the encoded version has {bytes} bytes, more than the maximum of {max_bytes}")]
    TooLarge {
        /// The version file.
        path: PathBuf,
        /// Size of the encoded version, in bytes.
        bytes: usize,
        /// Maximum size of an encoded version, in bytes.
        max_bytes: usize,
    },
    /// A voter's address is not an IP address with a port.
    #[error("{path}: voter {name}: `at` is {at:?}, which is not an IP address and port")]
    VoterAddress {
        /// The file with the list of voters.
        path: PathBuf,
        /// Name of the voter.
        name: String,
        /// The voter's address as written in the file.
        at: String,
    },
    /// This build does not know a key that every broker must know.
    #[error(
        "{path}: unknown key `{key}`: every broker must know the keys in a version's rules, standings and map, and \
         those listed in `must`"
    )]
    UnknownKey {
        /// The version file.
        path: PathBuf,
        /// Dot-separated path of the key in the file.
        key: String,
    },
    /// The shard map is not valid.
    #[error("{path}: the map has {faults} faults, the first: {first} ({help})")]
    Map {
        /// The version file.
        path: PathBuf,
        /// Number of faults in the map.
        faults: usize,
        /// Description of the first fault.
        first: String,
        /// What an operator can do about the first fault.
        help: String,
    },
}

impl VersionError {
    /// What an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NotFound { .. } => {
                "no action needed; to propose a version, write this file and send SIGHUP"
            }
            Self::Unreadable { .. } => "make the file readable for this broker and send SIGHUP",
            Self::Invalid { .. } => {
                "write the version as shown in docs/operators/fleet.md and send SIGHUP; nothing was changed"
            }
            Self::QueryClassCount { .. } => {
                "write one entry for each 'table-type', in the order of the settings, and send SIGHUP"
            }
            Self::Rule { .. } => "correct the value and send SIGHUP; nothing was changed",
            Self::UnknownKey { .. } => {
                "correct the key; or upgrade all brokers to a build that knows it, and propose the version there"
            }
            Self::VoterAddress { .. } => {
                "write `at` like 10.1.0.4:7400, or omit it if each broker's file has the address"
            }
            Self::TooLarge { .. } => "merge adjacent segments, so that the map has fewer of them",
            Self::Map { .. } => {
                "correct the map, or leave its digest empty to have it computed, and send SIGHUP"
            }
        }
    }
}

/// Why a rebalancing plan is not offered.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlanError {
    /// The plan file does not exist.
    #[error("{path}: no such file")]
    NotFound {
        /// The plan file.
        path: PathBuf,
    },
    /// The plan file exists but cannot be read.
    #[error("{path}: cannot be read: {why}")]
    Unreadable {
        /// The plan file.
        path: PathBuf,
        /// Human-readable reason.
        why: String,
    },
    /// The file does not contain a valid plan.
    #[error("{path}: {why}")]
    Invalid {
        /// The plan file.
        path: PathBuf,
        /// What is wrong with the plan.
        why: Box<dunepond_rebalance::RebalanceError>,
    },
}

impl PlanError {
    /// What an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NotFound { .. } => {
                "no action needed; to rebalance, write a plan to this file and send SIGHUP"
            }
            Self::Unreadable { .. } => "make the file readable for this broker and send SIGHUP",
            Self::Invalid { why, .. } => why.help(),
        }
    }
}

/// Why an attempt to fill a node failed. The fill is retried until the fill deadline.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FillError {
    /// The connection failed, or there was no response in time.
    #[error("the fill service at {at} cannot be reached: {why}")]
    Unreachable {
        /// Address of the fill service.
        at: String,
        /// Human-readable reason.
        why: String,
    },
    /// The response had a status other than 200.
    #[error("the fill service at {at} responded with status {status} to fill {id}")]
    Rejected {
        /// Address of the fill service.
        at: String,
        /// HTTP status of the response.
        status: u16,
        /// Id of the fill.
        id: String,
    },
    /// The body of the response was neither empty nor the documented JSON.
    #[error("the fill service at {at} sent an invalid response to fill {id}: {why}")]
    InvalidResponse {
        /// Address of the fill service.
        at: String,
        /// Id of the fill.
        id: String,
        /// Human-readable reason.
        why: String,
    },
}

impl FillError {
    /// What an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Unreachable { .. } => "check that the fill service runs at the address of 'fills at='",
            Self::Rejected { .. } => {
                "check the fill service's log; the fill is requested again until its deadline"
            }
            Self::InvalidResponse { .. } => {
                "the fill service must respond with an empty body, or with JSON that has `source` and `bytes`"
            }
        }
    }
}

#[cfg(test)]
mod tests;
