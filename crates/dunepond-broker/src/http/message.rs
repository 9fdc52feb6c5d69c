//! Reads the bodies of messages, framed by length, in chunks or by the connection's close.

use std::rc::Rc;

use super::head::{Framing, Head, MAX_HEAD_BYTES};
use super::{HttpError, body_too_long};
use crate::body::Body;
use crate::buffers::{BUFFER_BYTES, Buffer, Pool};

/// A message whose head has been parsed.
pub struct Message {
    /// The parsed head.
    pub head: Head,
    /// The bytes of the body read so far; `None` if there are none or the body is streamed.
    pub body: Option<Buffer>,
    /// The body that the bytes of a streamed request are appended to.
    streamed_body: Option<Rc<Body>>,
    /// Length in bytes of the trailer lines parsed so far.
    trailer_bytes: usize,
    /// Length in bytes of the body read so far.
    body_length: u64,
    /// Length in bytes of the chunk extensions parsed so far.
    extension_bytes: u64,
}

impl Message {
    /// Creates a message whose body is read into a buffer.
    pub fn new(head: Head) -> Self {
        Self { head, body: None, streamed_body: None, trailer_bytes: 0, body_length: 0, extension_bytes: 0 }
    }

    /// Creates a message whose body is appended to `body`.
    pub fn streaming_into(head: Head, body: &Rc<Body>) -> Self {
        Self { streamed_body: Some(body.clone()), ..Self::new(head) }
    }

    /// Returns the bytes read so far of a body that is not streamed.
    pub fn body_bytes(&self) -> &[u8] {
        self.body.as_ref().map_or(&[], Buffer::filled)
    }

    /// Moves the bytes of the body that have arrived out of `input`. Returns `true` once the body is complete.
    ///
    /// Fails if the framing is malformed, if the trailers are longer than a head may be, if the chunk extensions are
    /// longer than a head and the body together, or if a body that is not streamed does not fit into a buffer.
    pub fn read_body(&mut self, input: &mut Buffer, pool: &Pool) -> Result<bool, HttpError> {
        loop {
            let next = match self.head.framing {
                Framing::Done | Framing::Length(0) => return Ok(true),
                Framing::Length(left) => {
                    self.move_body(input, left, pool)?.map(|moved| Framing::Length(left - moved))
                }
                Framing::UntilClose => self.move_body(input, usize::MAX, pool)?.map(|_| Framing::UntilClose),
                Framing::Chunk(0) => Some(Framing::ChunkTerminator),
                Framing::Chunk(left) => {
                    self.move_body(input, left, pool)?.map(|moved| Framing::Chunk(left - moved))
                }
                Framing::ChunkSize => self.parse_chunk_size(input)?,
                Framing::ChunkTerminator => parse_chunk_terminator(input)?,
                Framing::Trailer => self.parse_trailer_line(input)?,
            };
            match next {
                Some(framing) => self.head.framing = framing,
                None => return Ok(false),
            }
        }
    }

    /// Parses and removes the size line of a chunk; `None` until all of it has arrived.
    fn parse_chunk_size(&mut self, input: &mut Buffer) -> Result<Option<Framing>, HttpError> {
        match httparse::parse_chunk_size(input.filled()) {
            Err(_) => Err(HttpError::new(400, "body: not a chunk")),
            Ok(httparse::Status::Partial) => await_more(input),
            Ok(httparse::Status::Complete((used, size))) => {
                let digits = input.filled().iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
                self.extension_bytes += used.saturating_sub(digits + "\r\n".len()) as u64;
                if self.extension_bytes > MAX_HEAD_BYTES as u64 + self.body_length {
                    return Err(HttpError::new(400, "body: chunk extensions longer than the body"));
                }
                input.consume(used);
                match size {
                    0 => Ok(Some(Framing::Trailer)),
                    size if size > BUFFER_BYTES as u64 && self.streamed_body.is_none() => {
                        Err(body_too_long())
                    }
                    size => Ok(Some(Framing::Chunk(size as usize))),
                }
            }
        }
    }

    /// Parses and removes a trailer line, or the empty line after the trailers; `None` until all of it has arrived.
    fn parse_trailer_line(&mut self, input: &mut Buffer) -> Result<Option<Framing>, HttpError> {
        let Some(length) = input.filled().windows(2).position(|bytes| bytes == b"\r\n") else {
            return await_more(input);
        };
        input.consume(length + 2);
        if length == 0 {
            return Ok(Some(Framing::Done));
        }
        self.trailer_bytes += length + 2;
        if self.trailer_bytes > MAX_HEAD_BYTES {
            return Err(HttpError::new(400, "body: trailers over 16 KiB"));
        }
        Ok(Some(Framing::Trailer))
    }

    /// Handles a close of the connection by the sender, without a reset. Returns `true` if the close completes the
    /// body, as the end of a body without a length is marked by the close.
    pub fn finish_at_close(&mut self) -> bool {
        let is_complete = self.head.framing == Framing::UntilClose;
        if is_complete {
            self.head.framing = Framing::Done;
        }
        is_complete
    }

    /// Moves up to `left` bytes of the body out of `input`. Returns how many were moved, or `None` if `input` is empty.
    fn move_body(
        &mut self,
        input: &mut Buffer,
        left: usize,
        pool: &Pool,
    ) -> Result<Option<usize>, HttpError> {
        let available = input.filled();
        let available = &available[..available.len().min(left)];
        if available.is_empty() {
            return Ok(None);
        }
        let moved = match &self.streamed_body {
            Some(body) => {
                body.append(available);
                available.len()
            }
            None => self.body.get_or_insert_with(|| pool.acquire()).append(available),
        };
        if moved < available.len() {
            return Err(body_too_long());
        }
        input.consume(moved);
        self.body_length += moved as u64;
        Ok(Some(moved))
    }
}

/// Removes the line end after a chunk; `None` until all of it has arrived.
fn parse_chunk_terminator(input: &mut Buffer) -> Result<Option<Framing>, HttpError> {
    match input.filled() {
        [b'\r', b'\n', ..] => {
            input.consume(2);
            Ok(Some(Framing::ChunkSize))
        }
        [] | [b'\r'] => Ok(None),
        _ => Err(HttpError::new(400, "body: a chunk longer than it says")),
    }
}

/// Returns `None` for a chunk size or trailer line that has not completely arrived, or an error if it is already too long.
fn await_more(input: &Buffer) -> Result<Option<Framing>, HttpError> {
    if input.filled().len() > MAX_HEAD_BYTES {
        Err(HttpError::new(400, "body: a chunk without an end"))
    } else {
        Ok(None)
    }
}
