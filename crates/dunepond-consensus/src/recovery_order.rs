//! An operator's order to continue without a majority that is lost for good, and why it may not fit.

use serde::{Deserialize, Serialize};

/// The sentence that an operator has to write, word by word.
pub const RECOVERY_CONFIRMATION: &str =
    "what the lost voters alone agreed on is gone, and they must never come back with their folders";

/// The operator's order. It fits one folder at one position of its log and no other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryOrder {
    /// As the log of the voter's start says.
    #[serde(rename = "folder")]
    pub folder_id: u64,
    /// As the log of the voter's start says.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// Names of the voters that are given up.
    #[serde(rename = "lost")]
    pub lost_voters: Vec<String>,
    /// The highest version number that any broker's log names.
    #[serde(rename = "highest")]
    pub highest_number: u64,
    /// [`RECOVERY_CONFIRMATION`].
    #[serde(rename = "word")]
    pub confirmation: String,
}

/// Why a folder is not recovered by an operator's order.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecoveryError {
    /// There is nothing to continue from.
    #[error("the folder holds no state of a fleet")]
    NoState,
    /// The order names another folder.
    #[error("the order is for folder {said}, this is {is}")]
    WrongFolder {
        /// In the order.
        said: u64,
        /// In the folder.
        is: u64,
    },
    /// The order names another last position.
    #[error("the order is for a log up to {said}, the folder's goes up to {is}")]
    WrongPosition {
        /// In the order.
        said: u64,
        /// In the folder.
        is: u64,
    },
    /// A lost voter is none.
    #[error("`{0}` is no voter by the folder")]
    NotAVoter(String),
    /// The order gives up the voter that would continue.
    #[error("the order gives up this voter itself")]
    OwnVoter,
    /// A majority is left, which needs no order.
    #[error("the order gives up {lost} of {of} voters, and the others are a majority")]
    MajorityRemains {
        /// Given up.
        lost: usize,
        /// All voters.
        of: usize,
    },
    /// The folder has seen a higher version.
    #[error("the highest version is {said}, the folder has {is}")]
    VersionTooLow {
        /// In the order.
        said: u64,
        /// In the folder.
        is: u64,
    },
    /// The confirmation is not the required sentence.
    #[error("the word is not \"{RECOVERY_CONFIRMATION}\"")]
    WrongConfirmation,
    /// The log has an entry of another build.
    #[error("the folder's log has an entry that this build does not know: {0}")]
    UnknownEntry(String),
}

impl RecoveryError {
    /// What an operator can do, and what it risks.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoState => {
                "take the folder of a voter that was in the fleet; an empty one has nothing to continue from"
            }
            Self::WrongFolder { .. } | Self::WrongPosition { .. } => {
                "write the folder and the last position that this start names, after comparing all that are left: the one \
                 with the greatest last position has lost the least"
            }
            Self::NotAVoter(_) => "name voters of the list that this start names",
            Self::OwnVoter => "write it into the folder of a voter that stays",
            Self::MajorityRemains { .. } => {
                "start the others: a majority needs no such order, and risks nothing"
            }
            Self::VersionTooLow { .. } => {
                "look through the brokers' logs for the highest number of a version"
            }
            Self::WrongConfirmation => {
                "write the sentence as it stands once you have made sure that the lost voters are down for good: one \
                 that still runs, cut off, would continue as a fleet of its own, and parts could run at two owners"
            }
            Self::UnknownEntry(_) => "start it with the build that wrote the folder",
        }
    }
}
