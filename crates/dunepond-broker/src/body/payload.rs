//! The payload that is sent with each part of a query.

use std::rc::Rc;

use super::Body;

/// The payload that is sent with each part of a query.
#[derive(Clone)]
pub enum Payload {
    /// A text in memory, from a request that is not streamed.
    Inline(Rc<str>),
    /// The body of a streamed request.
    Streamed(Rc<Body>),
    /// A streamed body that has been released, as no attempt needs it any more.
    Released,
}

impl Payload {
    /// Returns the length in bytes; 0 for a released body.
    pub fn length(&self) -> u64 {
        match self {
            Self::Inline(text) => text.len() as u64,
            Self::Streamed(body) => body.length(),
            Self::Released => 0,
        }
    }

    /// Returns the streamed body; `None` for other payloads.
    pub fn body(&self) -> Option<&Rc<Body>> {
        if let Self::Streamed(body) = self { Some(body) } else { None }
    }
}
