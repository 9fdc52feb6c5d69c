//! An operator's order to continue without a majority that is lost for good, and the reasons for which it is rejected.

use serde::{Deserialize, Serialize};

/// The sentence that an operator has to write word for word.
pub const RECOVERY_CONFIRMATION: &str =
    "what the lost voters alone agreed on is gone, and they must never come back with their folders";

/// The operator's order. It is valid for one folder at one position of its log and for no other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryOrder {
    /// Id of the folder, as the voter logs it at its start.
    #[serde(rename = "folder")]
    pub folder_id: u64,
    /// Last index of the folder's log, as the voter logs it at its start.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// Names of the voters that are given up.
    #[serde(rename = "lost")]
    pub lost_voters: Vec<String>,
    /// The highest version number that any broker's log names.
    #[serde(rename = "highest")]
    pub highest_number: u64,
    /// Confirmation by the operator; it has to equal [`RECOVERY_CONFIRMATION`].
    #[serde(rename = "word")]
    pub confirmation: String,
}

/// Why a folder is not recovered by an operator's order.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecoveryError {
    /// The folder holds no state from which a fleet could continue.
    #[error("the folder holds no state of a fleet")]
    NoState,
    /// The order names another folder.
    #[error("the order is for folder {stated}, this is {actual}")]
    WrongFolder {
        /// Id in the order.
        stated: u64,
        /// Id of the folder.
        actual: u64,
    },
    /// The order names another last index.
    #[error("the order is for a log up to {stated}, the folder's goes up to {actual}")]
    WrongPosition {
        /// Index in the order.
        stated: u64,
        /// Index in the folder.
        actual: u64,
    },
    /// A voter that the order gives up is not a voter.
    #[error("`{0}` is no voter by the folder")]
    NotAVoter(String),
    /// The order gives up the voter that would have to continue.
    #[error("the order gives up this voter itself")]
    OwnVoter,
    /// The remaining voters are a majority, which needs no order.
    #[error("the order gives up {lost} of {of} voters, and the others are a majority")]
    MajorityRemains {
        /// Number of voters that the order gives up.
        lost: usize,
        /// Number of all voters.
        of: usize,
    },
    /// The folder has seen a higher version.
    #[error("the highest version is {stated}, the folder has {actual}")]
    VersionTooLow {
        /// Number in the order.
        stated: u64,
        /// Number in the folder.
        actual: u64,
    },
    /// The confirmation is not the required sentence.
    #[error("the word is not \"{RECOVERY_CONFIRMATION}\"")]
    WrongConfirmation,
    /// The log has an entry that this build does not know.
    #[error("the folder's log has an entry that this build does not know: {0}")]
    UnknownEntry(String),
}

impl RecoveryError {
    /// What an operator can do, and which risk it carries.
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
