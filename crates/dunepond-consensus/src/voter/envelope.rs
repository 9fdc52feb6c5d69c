//! Messages between voters. The serialised names are those of the protocol.

use serde::{Deserialize, Serialize};

use crate::codec::{self, Blob};
use crate::{ConsensusError, LeaseReply, LeaseRequest, VoterInfo, VoterSlot};

/// First byte of each message.
const PROTOCOL_VERSION: u8 = 2;

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Envelope {
    pub from: String,
    /// Of the sender.
    #[serde(rename = "seat")]
    pub slot: VoterSlot,
    /// The fleet whose state the sender holds, if any.
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    pub epoch: u64,
    #[serde(rename = "seated")]
    pub has_state: bool,
    /// The addressee's folder; 0: not known yet.
    #[serde(rename = "to")]
    pub to_folder: u64,
    pub body: Body,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Body {
    Hello {
        #[serde(rename = "blank")]
        folder_empty: bool,
        /// Keys of version extensions that the sender's build implements.
        #[serde(rename = "knows")]
        known_keys: Vec<String>,
    },
    #[serde(rename = "Heard")]
    HelloReply(HelloReply),
    Raft(Blob),
    #[serde(rename = "Ask")]
    LeaseRequest(LeaseRequest),
    #[serde(rename = "Told")]
    LeaseReply {
        broker: String,
        #[serde(rename = "told")]
        reply: LeaseReply,
    },
}

/// How things stand, for a voter that says hello.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct HelloReply {
    #[serde(rename = "blank")]
    pub folder_empty: bool,
    /// A later start of the addressee's folder than that of its hello.
    #[serde(rename = "seen")]
    pub seen_slot: Option<VoterSlot>,
    /// The addressee's folder as committed at `index`.
    #[serde(rename = "agreed")]
    pub agreed_slot: Option<VoterSlot>,
    /// The addressee votes, or will.
    #[serde(rename = "wanted")]
    pub is_wanted: bool,
    pub voters: Vec<VoterInfo>,
    pub index: u64,
    /// Keys of version extensions that the sender's build implements.
    #[serde(rename = "knows")]
    pub known_keys: Vec<String>,
}

impl Envelope {
    pub fn encode(&self) -> Vec<u8> {
        [&[PROTOCOL_VERSION], &codec::encode(self)[..]].concat()
    }

    /// `from`: who the link says it is.
    pub fn decode(from: &str, bytes: &[u8]) -> Result<Self, ConsensusError> {
        let malformed = || ConsensusError::MalformedMessage(from.to_string());
        let (&version, rest) = bytes.split_first().ok_or_else(malformed)?;
        if version != PROTOCOL_VERSION {
            let (from, ours) = (from.to_string(), PROTOCOL_VERSION);
            return Err(ConsensusError::NewerProtocol { from, version, ours });
        }
        let envelope: Self = codec::decode(rest).ok_or_else(malformed)?;
        if envelope.from != from {
            let (from, says) = (from.to_string(), envelope.from);
            return Err(ConsensusError::SenderMismatch { from, says });
        }
        Ok(envelope)
    }
}
