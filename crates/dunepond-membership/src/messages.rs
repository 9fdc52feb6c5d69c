//! What every message between brokers states before its payload, datagrams and HTTP bodies alike.

use crate::identity::PeerId;
use crate::request_kind::KindCode;
use crate::version::VersionRange;
use serde::{Deserialize, Serialize};

/// The part of a message that precedes its header, in a form that all versions read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The protocol version of the rest of the message.
    pub version: u8,
    /// The versions that the sender speaks; version 1 does not state them and counts as that version alone.
    pub supported: VersionRange,
    /// Grows with each datagram, and apart from them each request, of a sender's incarnation to one receiver. 0 in version 1 and in responses.
    pub sequence: u64,
}

impl Envelope {
    /// As a program of version 1 writes it.
    pub const VERSION_1: Envelope = Envelope { version: 1, supported: VersionRange::exactly(1), sequence: 0 };
}

/// Sender, receiver and purpose of a message. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageHeader {
    /// The sender.
    pub from: PeerId,
    /// The receiver's name.
    pub to: String,
    /// The address token that the sender issues to the receiver; 0 for none.
    pub issued_token: u64,
    /// The address token that the sender has from the receiver; 0 for none.
    pub echoed_token: u64,
    /// What the message is.
    pub message_type: MessageType,
}

/// What a message is. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageType {
    /// A datagram of the gossip library.
    Gossip,
    /// A request to the receiver.
    Request {
        /// Repeated by the response.
        id: u64,
        /// What the request is about.
        kind: KindCode,
        /// How long the sender waits, in milliseconds.
        timeout_ms: u32,
    },
    /// The response to a request.
    Response {
        /// The request's.
        id: u64,
    },
    /// Carries a [`RefusalReason`](crate::RefusalReason).
    Refusal {
        /// The request's; 0 for a datagram.
        id: u64,
    },
    /// Without a payload: states the sender's versions and carries address tokens. From version 2 on.
    Hello,
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Its version and sequence number.
    pub envelope: Envelope,
    /// Its header.
    pub header: MessageHeader,
    /// What it carries.
    pub payload: &'a [u8],
}
