//! The HTTP/1.1 codec of both sides: heads by httparse, bodies by length or in chunks. The protocol's header names appear only here.

mod encode;
mod head;
mod message;

pub use encode::{encode_get, encode_response};
pub use head::{Head, parse_request, parse_response};
pub use message::Message;

/// Why a message is rejected.
#[derive(Debug, PartialEq)]
pub struct HttpError {
    /// The status of the error response.
    pub status: u16,
    /// The field at fault and what is wrong with it.
    pub reason: String,
}

impl HttpError {
    /// An error with a status and the reason for it.
    pub fn new(status: u16, reason: impl Into<String>) -> Self {
        Self { status, reason: reason.into() }
    }
}

/// The rejection of a body that is longer than a buffer and not streamed.
pub fn body_too_long() -> HttpError {
    HttpError::new(413, "body: over 64 KiB")
}

#[cfg(test)]
mod tests;
