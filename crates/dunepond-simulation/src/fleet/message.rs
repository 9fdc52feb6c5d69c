//! Messages between brokers.

use dunepond_consensus::{LeaseReply, LeaseRequest};
use postcard::ser_flavors::Size;
use postcard::serialize_with_flavor;

#[derive(Clone)]
pub(super) enum Message {
    /// Between voters, encoded.
    Consensus(Vec<u8>),
    LeaseRequest(LeaseRequest),
    LeaseReply(LeaseReply),
}

impl Message {
    /// Bytes as the hosts send them, without the links' own overhead.
    pub fn size_bytes(&self) -> u64 {
        let size = match self {
            Self::Consensus(bytes) => Ok(bytes.len()),
            Self::LeaseRequest(request) => serialize_with_flavor(request, Size::default()),
            Self::LeaseReply(reply) => serialize_with_flavor(reply, Size::default()),
        };
        size.expect("plain data") as u64
    }
}

/// A message on its way; brokers by index.
#[derive(Clone)]
pub(super) struct InFlight {
    pub size_bytes: u64,
    pub from: usize,
    pub to: usize,
    pub message: Message,
}
