//! Messages between brokers.

use dunepond_consensus::{LeaseReply, LeaseRequest};
use postcard::ser_flavors::Size;
use postcard::serialize_with_flavor;

/// A message between brokers.
#[derive(Clone)]
pub(super) enum Message {
    /// An encoded message between voters.
    Consensus(Vec<u8>),
    LeaseRequest(LeaseRequest),
    LeaseReply(LeaseReply),
}

impl Message {
    /// Size in bytes of the message as real brokers encode it, without the overhead of the connection.
    pub fn size_bytes(&self) -> u64 {
        let size = match self {
            Self::Consensus(bytes) => Ok(bytes.len()),
            Self::LeaseRequest(request) => serialize_with_flavor(request, Size::default()),
            Self::LeaseReply(reply) => serialize_with_flavor(reply, Size::default()),
        };
        size.expect("a message that can be encoded") as u64
    }
}

/// A message in flight. `from` and `to` are indices of brokers.
#[derive(Clone)]
pub(super) struct InFlight {
    pub size_bytes: u64,
    pub from: usize,
    pub to: usize,
    pub message: Message,
}
