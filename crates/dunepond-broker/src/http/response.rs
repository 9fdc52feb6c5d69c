//! Reads the responses on a connection, one after the other.

use super::head::{Head, MAX_HEAD_BYTES, parse_response_head};
use super::{HttpError, Message};
use crate::buffers::{Buffer, Pool};

/// Status of a response that changes the protocol of the connection; not an interim response.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Reads responses and skips the interim ones (1xx), which a server may send before the response to a request.
#[derive(Default)]
pub struct ResponseReader {
    /// The response whose head is read and whose body may not be.
    message: Option<Message>,
    /// Length in bytes of the interim responses before the present response.
    interim_bytes: usize,
}

impl ResponseReader {
    /// Removes the head of the present response from `input`, and the interim responses before it. Returns the response, whose
    /// body is to be read next; `None` until its head has arrived.
    ///
    /// Fails if a head is malformed or too long, if the interim responses together are longer than a head may be, or if the
    /// server changes the protocol.
    pub fn read_head(&mut self, input: &mut Buffer) -> Result<Option<&mut Message>, HttpError> {
        while self.message.is_none() {
            let length_before = input.filled().len();
            let Some(head) = parse_response_head(input)? else { return Ok(None) };
            if is_interim(&head)? {
                self.interim_bytes += length_before - input.filled().len();
                if self.interim_bytes > MAX_HEAD_BYTES {
                    return Err(HttpError::new(400, "interim responses: over 16 KiB"));
                }
                continue;
            }
            self.message = Some(Message::new(head));
        }
        Ok(self.message.as_mut())
    }

    /// Removes from `input` what has arrived of the present response, and returns the response once it is complete.
    ///
    /// Fails as [`Self::read_head`] and [`Message::read_body`] do.
    pub fn read(&mut self, input: &mut Buffer, pool: &Pool) -> Result<Option<Message>, HttpError> {
        let Some(message) = self.read_head(input)? else { return Ok(None) };
        let is_complete = message.read_body(input, pool)?;
        Ok(if is_complete { self.finish() } else { None })
    }

    /// Returns what has been read of the present response's body; `None` if there is nothing.
    pub fn body(&self) -> Option<&Buffer> {
        self.message.as_ref()?.body.as_ref()
    }

    /// Whether a part of a response has been read, and not all of it.
    pub fn has_partial_response(&self) -> bool {
        self.message.is_some() || self.interim_bytes > 0
    }

    /// Handles a close of the connection by the server, as [`Message::finish_at_close`] does.
    pub fn finish_at_close(&mut self) -> bool {
        self.message.as_mut().is_some_and(Message::finish_at_close)
    }

    /// Begins with the next response; returns the present one.
    fn finish(&mut self) -> Option<Message> {
        self.interim_bytes = 0;
        self.message.take()
    }
}

/// Whether a head is that of an interim response. Fails if it changes the protocol, as the broker never asks for that.
fn is_interim(head: &Head) -> Result<bool, HttpError> {
    match head.status {
        SWITCHING_PROTOCOLS => {
            Err(HttpError::new(400, "status: 101 without a request to change the protocol"))
        }
        status => Ok((100..200).contains(&status)),
    }
}
