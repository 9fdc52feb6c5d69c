//! What the parts of a query carry.

use std::rc::Rc;

use super::Body;

/// What each part of a query carries.
#[derive(Clone)]
pub enum Payload {
    /// A text that arrived with the request.
    Inline(Rc<str>),
    /// The body of a streamed request.
    Streamed(Rc<Body>),
    /// A body that no attempt can need any more.
    Released,
}

impl Payload {
    /// Its length in bytes.
    pub fn length(&self) -> u64 {
        match self {
            Self::Inline(text) => text.len() as u64,
            Self::Streamed(body) => body.length(),
            Self::Released => 0,
        }
    }

    /// The streamed body, if it is one.
    pub fn body(&self) -> Option<&Rc<Body>> {
        if let Self::Streamed(body) = self { Some(body) } else { None }
    }
}
