//! The HTTP/1.1 codec for connections to clients, to nodes and to the discovery agent. Heads are parsed by `httparse`;
//! bodies are framed by length, in chunks or by the connection's close. Header names appear only in this module.

mod encode;
mod head;
mod message;
mod response;

pub use encode::{encode_get, encode_response};
pub use head::{Head, parse_request};
pub use message::Message;
pub use response::ResponseReader;

/// Why a message is rejected.
#[derive(Debug, PartialEq)]
pub struct HttpError {
    /// The status of the error response.
    pub status: u16,
    /// The invalid field, and what is wrong with it.
    pub reason: String,
}

impl HttpError {
    /// Creates an error with a status and a reason.
    pub fn new(status: u16, reason: impl Into<String>) -> Self {
        Self { status, reason: reason.into() }
    }
}

/// Returns the error for a body that is not streamed and is longer than a buffer.
pub fn body_too_long() -> HttpError {
    HttpError::new(413, "body: over 64 KiB")
}

#[cfg(test)]
mod tests;
