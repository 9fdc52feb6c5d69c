//! The envelope and header that precede the payload of every message between brokers, in datagrams and HTTP bodies
//! alike.

use crate::identity::PeerId;
use crate::request_kind::KindCode;
use crate::version::VersionRange;
use serde::{Deserialize, Serialize};

/// The part of a message that precedes its header. Brokers of all versions can read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The protocol version of the rest of the message.
    pub version: u8,
    /// The protocol versions that the sender supports. A message of version 1 does not state them, and counts as
    /// stating version 1 alone.
    pub supported: VersionRange,
    /// Sequence number. Each incarnation of a sender numbers its datagrams to each receiver in increasing order, and
    /// its requests to each receiver in a separate sequence. The number is 0 in version 1, and in responses and
    /// refusals.
    pub sequence: u64,
}

impl Envelope {
    /// The envelope of a message of version 1, which states neither a range nor a sequence number.
    pub const VERSION_1: Envelope = Envelope { version: 1, supported: VersionRange::exactly(1), sequence: 0 };
}

/// Sender, receiver and purpose of a message. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageHeader {
    /// Identity of the sender.
    pub from: PeerId,
    /// Name of the receiver.
    pub to: String,
    /// The address token that the sender issues to the receiver, which echoes it to prove that it receives messages at
    /// its address; 0 if the message issues none.
    pub issued_token: u64,
    /// The address token that the receiver issued to the sender, which the sender returns; 0 if the sender knows none,
    /// or if the type of the message has none.
    pub echoed_token: u64,
    /// Type of the message, with the fields that only this type has.
    pub message_type: MessageType,
}

/// The type of a message. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageType {
    /// A datagram of the gossip library.
    Gossip,
    /// A request to the receiver.
    Request {
        /// Id of the request, which the response repeats.
        id: u64,
        /// Kind of the request.
        kind: KindCode,
        /// Time for which the sender waits for the response, in milliseconds.
        timeout_ms: u32,
    },
    /// The response to a request.
    Response {
        /// Id of the request, as the request states it.
        id: u64,
    },
    /// A refusal, whose payload is a [`RefusalReason`](crate::RefusalReason).
    Refusal {
        /// Id of the refused request; 0 if a datagram was refused, or the request could not be decoded.
        id: u64,
    },
    /// A datagram without a payload, which states the sender's versions and contains address tokens. This type exists
    /// from version 2 on.
    Hello,
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Protocol version, sender's version range and sequence number.
    pub envelope: Envelope,
    /// Sender, receiver and purpose.
    pub header: MessageHeader,
    /// Payload, whose form depends on the type of the message.
    pub payload: &'a [u8],
}
