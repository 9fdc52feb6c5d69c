//! An operator's order to recover a fleet whose majority of voters is permanently lost, and the reasons for which the
//! order is rejected.

use serde::{Deserialize, Serialize};

/// The sentence that an operator has to repeat word for word in a [`RecoveryOrder`].
pub const RECOVERY_CONFIRMATION: &str =
    "what the lost voters alone agreed on is gone, and they must never come back with their folders";

/// An operator's order to recover the fleet from one voter's folder. The order is only valid for the folder with the
/// stated id, and only while that folder's log ends at the stated index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecoveryOrder {
    /// Id of the voter's data folder, as the voter logs it when its process starts.
    #[serde(rename = "folder")]
    pub folder_id: u64,
    /// Last index of the log in the folder, as the voter logs it when its process starts.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// Names of the voters that are permanently lost.
    #[serde(rename = "lost")]
    pub lost_voters: Vec<String>,
    /// The highest configuration version number in any broker's log output.
    #[serde(rename = "highest")]
    pub highest_number: u64,
    /// Confirmation by the operator; it has to equal [`RECOVERY_CONFIRMATION`].
    #[serde(rename = "word")]
    pub confirmation: String,
}

/// Why an operator's recovery order is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecoveryError {
    /// The folder contains no state from which a fleet could continue.
    #[error("the folder contains no state of a fleet")]
    NoState,
    /// The folder id in the order is not that of this folder.
    #[error("the order is for folder {stated}, and this folder is {actual}")]
    WrongFolder {
        /// Folder id in the order.
        stated: u64,
        /// Id of the folder.
        actual: u64,
    },
    /// The last index in the order is not that of the folder's log.
    #[error("the order is for a log up to index {stated}, and the folder's log ends at index {actual}")]
    WrongPosition {
        /// Last index in the order.
        stated: u64,
        /// Last index of the folder's log.
        actual: u64,
    },
    /// The order lists a broker as a lost voter, but the broker is not a voter.
    #[error("`{0}` is not a voter according to the folder")]
    NotAVoter(String),
    /// Among the lost voters, the order lists the voter from whose folder the fleet would continue.
    #[error("the order lists this voter itself as lost")]
    OwnVoter,
    /// The remaining voters are a majority, which can continue without an order.
    #[error("the order lists {lost} of {total} voters as lost, and the others are a majority")]
    MajorityRemains {
        /// Number of voters that the order lists as lost.
        lost: usize,
        /// Number of all voters.
        total: usize,
    },
    /// The order states a highest configuration version number that is lower than the one in the folder.
    #[error("the order states {stated} as the highest version number, and the folder contains {actual}")]
    VersionTooLow {
        /// Configuration version number in the order.
        stated: u64,
        /// Highest configuration version number in the folder.
        actual: u64,
    },
    /// The confirmation is not the required sentence.
    #[error("`word` is not \"{RECOVERY_CONFIRMATION}\"")]
    WrongConfirmation,
    /// The log has an entry that this build does not know.
    #[error("the folder's log has an entry that this build does not know: {0}")]
    UnknownEntry(String),
}

impl RecoveryError {
    /// Returns what an operator can do about the error, and the risk of doing so.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NoState => {
                "use the folder of a voter that belonged to the fleet; the fleet cannot continue from an empty folder"
            }
            Self::WrongFolder { .. } | Self::WrongPosition { .. } => {
                "compare the folders of all remaining voters and use the one with the highest last index, which has lost the \
                 least; write the folder id and the last index that the voter logs at its start"
            }
            Self::NotAVoter(_) => "only list voters that the voter logs at its start",
            Self::OwnVoter => "put the order into the folder of a voter that is not lost",
            Self::MajorityRemains { .. } => {
                "start the other voters: a majority continues without an order, and without its risk"
            }
            Self::VersionTooLow { .. } => "search the logs of all brokers for the highest version number",
            Self::WrongConfirmation => {
                "repeat the sentence exactly, after making sure that the lost voters are permanently down: voters that still \
                 run behind a partition could continue as a second fleet, and parts could run at two owners"
            }
            Self::UnknownEntry(_) => "start the voter with the build that wrote the folder",
        }
    }
}
