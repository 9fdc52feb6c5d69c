//! Errors that stop a voter, and reasons for which it does not accept a message.

use crate::{ConsensusConfigError, RecoveryError};

/// A folder that a voter cannot start from, or a message that it does not accept.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConsensusError {
    /// The operator's file is invalid.
    #[error("configuration: {0}")]
    Config(#[from] ConsensusConfigError),
    /// The broker, or the sender of a message, is not a voter.
    #[error("`{0}` is none of the voters of the file")]
    NotAVoter(String),
    /// The folder belongs to another broker.
    #[error("the folder is of broker `{owner}`, this is `{name}`")]
    ForeignFolder {
        /// Name of the broker that owns the folder.
        owner: String,
        /// Name of this broker.
        name: String,
    },
    /// The operator's order does not fit the folder.
    #[error("the operator's order on a lost majority: {0}")]
    Recovery(#[from] RecoveryError),
    /// A message from before the fleet was recovered.
    #[error("a message of `{from}` is of epoch {stated} of the fleet, this is {known}")]
    StaleEpoch {
        /// Name of the sender.
        from: String,
        /// Epoch of the message.
        stated: u64,
        /// Epoch that this voter knows.
        known: u64,
    },
    /// A message is from a fleet that was founded separately.
    #[error("a message of `{from}` is of another fleet")]
    OtherFleet {
        /// Name of the sender.
        from: String,
    },
    /// A stored record is malformed.
    #[error("a record of the folder cannot be decoded: {0}")]
    CorruptRecord(&'static str),
    /// The stored log is not usable.
    #[error("the folder's log has {0}")]
    CorruptLog(&'static str),
    /// A message is malformed.
    #[error("a message of `{0}` cannot be decoded")]
    MalformedMessage(String),
    /// A message has a protocol version that this build does not implement.
    #[error("a message of `{from}` has protocol version {version}, this broker speaks {supported}")]
    NewerProtocol {
        /// Name of the sender.
        from: String,
        /// Protocol version of the message.
        version: u8,
        /// Protocol version of this build.
        supported: u8,
    },
    /// A message names a sender that is not the peer at the other end of its link.
    #[error("a message that came from `{from}` says that it is from `{stated}`")]
    SenderMismatch {
        /// Name of the peer by the link.
        from: String,
        /// Name of the sender by the message.
        stated: String,
    },
}

impl ConsensusError {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Config(error) => error.help(),
            Self::NotAVoter(_) => "name it as `voter` in the file, or fix its name",
            Self::ForeignFolder { .. } => "give each broker a folder of its own",
            Self::Recovery(error) => error.help(),
            Self::StaleEpoch { .. } => {
                "nothing to do: the fleet was recovered without it, and it is notified; do not make it a voter again unasked"
            }
            Self::OtherFleet { .. } => {
                "two fleets were founded that know each other: stop the brokers of one, and empty their folders"
            }
            Self::CorruptRecord(_) | Self::CorruptLog(_) => {
                "move the folder away and restart: the voter starts empty and is brought up by the others"
            }
            Self::MalformedMessage(_) => "see what is between the brokers, and that they are of one build",
            Self::NewerProtocol { .. } => "upgrade this broker to the newer build",
            Self::SenderMismatch { .. } => "give each broker a name of its own; see what is between them",
        }
    }
}
