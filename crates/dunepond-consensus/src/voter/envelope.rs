//! Messages between voters. The serialised names are those of the protocol.

use serde::{Deserialize, Serialize};

use crate::codec::{self, Blob};
use crate::{ConsensusError, LeaseReply, LeaseRequest, VoterInfo, VoterSlot};

/// First byte of each message: the version of the protocol.
const PROTOCOL_VERSION: u8 = 2;

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Envelope {
    pub from: String,
    /// Identity of the sender's folder.
    #[serde(rename = "seat")]
    pub slot: VoterSlot,
    /// Id of the fleet whose state the sender holds, if it holds one.
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    pub epoch: u64,
    #[serde(rename = "seated")]
    pub has_state: bool,
    /// Id of the addressee's folder; 0 if it is not known yet.
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

/// What the sender knows about a voter that says hello, and about the list of voters.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct HelloReply {
    #[serde(rename = "blank")]
    pub folder_empty: bool,
    /// The later start of the addressee's folder, if the sender knows of one after that of the hello.
    #[serde(rename = "seen")]
    pub seen_slot: Option<VoterSlot>,
    /// The identity of the addressee's folder as committed at `index`.
    #[serde(rename = "agreed")]
    pub agreed_slot: Option<VoterSlot>,
    /// Whether the addressee votes, or will by the pending list.
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

    /// Decodes a message. `from` is the peer at the other end of the link.
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
