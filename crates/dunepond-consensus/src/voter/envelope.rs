//! Messages between voters. The serialized names are part of the protocol.

use serde::{Deserialize, Serialize};

use crate::codec::{self, Blob};
use crate::{ConsensusError, FolderStart, LeaseReply, LeaseRequest, VoterInfo};

/// First byte of each message: the version of the protocol.
const PROTOCOL_VERSION: u8 = 2;

/// A message between voters, with the identity of its sender.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Envelope {
    /// Name of the sender.
    pub from: String,
    /// The sender's data folder, and the process start on it that sent the message.
    #[serde(rename = "seat")]
    pub folder_start: FolderStart,
    /// Id of the fleet whose state the sender has; not meaningful unless `has_state`.
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    /// Epoch of the fleet in the sender's state.
    pub epoch: u64,
    /// Whether the sender has a state of the fleet.
    #[serde(rename = "seated")]
    pub has_state: bool,
    /// Id of the receiver's data folder, or 0 to allow any. A receiver drops the message if it runs on a folder with
    /// another id.
    #[serde(rename = "to")]
    pub to_folder: u64,
    pub body: Body,
}

/// The content of a message between voters.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Body {
    /// Introduces the sender, and asks the receiver two questions: whether the sender runs on the latest of its data folders
    /// that the receiver knows of, and whether the sender is still a voter.
    Hello {
        /// Whether the sender's folder contains no state of the fleet.
        #[serde(rename = "blank")]
        folder_empty: bool,
        /// Keys of version extensions that the sender's build implements.
        #[serde(rename = "knows")]
        known_keys: Vec<String>,
    },
    /// Replies to a hello, or to a message that was sent from an obsolete folder.
    #[serde(rename = "Heard")]
    HelloReply(HelloReply),
    /// A message of the raft library.
    Raft(Blob),
    /// A broker's lease request that a follower forwards to the leader.
    #[serde(rename = "Ask")]
    LeaseRequest(LeaseRequest),
    /// The leader's reply to a forwarded lease request.
    #[serde(rename = "Told")]
    LeaseReply {
        /// Name of the broker that sent the request.
        broker: String,
        #[serde(rename = "told")]
        reply: LeaseReply,
    },
}

/// What the sender has recorded about the receiver's data folder and about the list of voters, which may no longer
/// include the receiver.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct HelloReply {
    /// Whether the sender's folder contains no state of the fleet.
    #[serde(rename = "blank")]
    pub folder_empty: bool,
    /// A later process start on the receiver's folder than the one that sent the hello, if the sender of this reply
    /// knows of one. The receiver then knows that its folder was restored from a copy.
    #[serde(rename = "seen")]
    pub seen_start: Option<FolderStart>,
    /// The receiver's folder and process start in the sender's state, which is applied up to `index`; `None` if that
    /// state contains none.
    #[serde(rename = "agreed")]
    pub committed_start: Option<FolderStart>,
    /// Whether the receiver is in the list of voters in force or joins by the pending list, according to the sender's
    /// state.
    #[serde(rename = "wanted")]
    pub is_wanted: bool,
    /// The voters of the list in force, according to the sender's state.
    pub voters: Vec<VoterInfo>,
    /// Log index up to which the sender has applied the log.
    pub index: u64,
    /// Keys of version extensions that the sender's build implements.
    #[serde(rename = "knows")]
    pub known_keys: Vec<String>,
}

impl Envelope {
    pub fn encode(&self) -> Vec<u8> {
        [&[PROTOCOL_VERSION], &codec::encode(self)[..]].concat()
    }

    /// Decodes a message. `from` is the name of the peer at the other end of the connection.
    pub fn decode(from: &str, bytes: &[u8]) -> Result<Self, ConsensusError> {
        let malformed = || ConsensusError::MalformedMessage(from.to_string());
        let (&version, rest) = bytes.split_first().ok_or_else(malformed)?;
        if version != PROTOCOL_VERSION {
            let (from, supported) = (from.to_string(), PROTOCOL_VERSION);
            return Err(ConsensusError::UnsupportedProtocol { from, version, supported });
        }
        let envelope: Self = codec::decode(rest).ok_or_else(malformed)?;
        if envelope.from != from {
            let (from, stated) = (from.to_string(), envelope.from);
            return Err(ConsensusError::SenderMismatch { from, stated });
        }
        Ok(envelope)
    }
}
