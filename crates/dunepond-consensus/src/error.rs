//! Errors that keep a voter from starting, and reasons for which it rejects a message.

use crate::{ConsensusConfigError, RecoveryError};

/// Why a voter cannot start with its data folder and configuration, or rejects a message.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConsensusError {
    /// The consensus configuration is invalid.
    #[error("invalid configuration: {0}")]
    Config(#[from] ConsensusConfigError),
    /// The broker, or the sender of a message, is not a voter.
    #[error("`{0}` is not a voter")]
    NotAVoter(String),
    /// The data folder belongs to another broker.
    #[error("the folder belongs to broker `{owner}`, and this broker is `{name}`")]
    ForeignFolder {
        /// Name of the broker that owns the folder.
        owner: String,
        /// Name of this broker.
        name: String,
    },
    /// The operator's order to recover a fleet that lost the majority of its voters is invalid, or was written for
    /// another folder or another last index of its log.
    #[error("the recovery order is rejected: {0}")]
    Recovery(#[from] RecoveryError),
    /// A message states an earlier epoch than the fleet's. Each recovery from a lost majority begins a new epoch, so
    /// the message is from before a recovery.
    #[error("the message from `{from}` has epoch {stated}, and the fleet is in epoch {known}")]
    StaleEpoch {
        /// Name of the sender.
        from: String,
        /// Epoch of the message.
        stated: u64,
        /// Epoch of the fleet that this voter knows.
        known: u64,
    },
    /// A message is from a voter of another fleet, which was founded independently of this one.
    #[error("the message from `{from}` belongs to another fleet")]
    OtherFleet {
        /// Name of the sender.
        from: String,
    },
    /// A stored record is malformed.
    #[error("cannot decode {0} in the folder")]
    CorruptRecord(&'static str),
    /// Entries are missing from the stored log.
    #[error("the log in the folder has {0}")]
    CorruptLog(&'static str),
    /// A message is malformed.
    #[error("cannot decode the message from `{0}`")]
    MalformedMessage(String),
    /// A message has a protocol version that this build does not implement.
    #[error(
        "the message from `{from}` has protocol version {version}, and this broker supports version {supported}"
    )]
    UnsupportedProtocol {
        /// Name of the sender.
        from: String,
        /// Protocol version of the message.
        version: u8,
        /// Protocol version of this build.
        supported: u8,
    },
    /// A message states a sender that is not the peer at the other end of its connection.
    #[error("the message that arrived from `{from}` states `{stated}` as its sender")]
    SenderMismatch {
        /// Name of the peer at the other end of the connection.
        from: String,
        /// Name of the sender that the message states.
        stated: String,
    },
}

impl ConsensusError {
    /// Returns what an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Config(error) => error.help(),
            Self::NotAVoter(_) => "list it as `voter` in the configuration file, or correct its name",
            Self::ForeignFolder { .. } => "give each broker its own folder",
            Self::Recovery(error) => error.help(),
            Self::StaleEpoch { .. } => {
                "nothing to do: the fleet was recovered without the sender, and the sender is notified; do not make it a \
                 voter again unless you decide to"
            }
            Self::OtherFleet { .. } => {
                "two fleets were founded whose brokers reach each other: stop the brokers of one fleet and empty their folders"
            }
            Self::CorruptRecord(_) | Self::CorruptLog(_) => {
                "move the folder away and restart: the voter starts with an empty folder and copies the state from the others"
            }
            Self::MalformedMessage(_) => {
                "check the network between the brokers, and that all of them run the same build"
            }
            Self::UnsupportedProtocol { .. } => "upgrade the broker that runs the older build",
            Self::SenderMismatch { .. } => {
                "give each broker a unique name, and check the network between the brokers"
            }
        }
    }
}
