//! Messages and their bodies: by length, in chunks or until the connection closes.

use std::rc::Rc;

use super::head::{Framing, Head, MAX_HEAD_BYTES};
use super::{HttpError, body_too_long};
use crate::body::Body;
use crate::buffers::{BUFFER_BYTES, Buffer, Pool};

/// A message whose head has been parsed.
pub struct Message {
    /// The parsed head.
    pub head: Head,
    /// What has been read of the body, unless that is streamed.
    pub body: Option<Buffer>,
    /// Where the body of a streamed request goes.
    streamed_body: Option<Rc<Body>>,
}

impl Message {
    /// A message whose body is read into a buffer.
    pub fn new(head: Head) -> Self {
        Self { head, body: None, streamed_body: None }
    }

    /// A message whose body is read into `body` from the first byte on.
    pub fn streaming_into(head: Head, body: &Rc<Body>) -> Self {
        Self { head, body: None, streamed_body: Some(body.clone()) }
    }

    /// What has been read of a body that is not streamed.
    pub fn body_bytes(&self) -> &[u8] {
        self.body.as_ref().map_or(&[], Buffer::filled)
    }

    /// Moves what has arrived of the body out of `input`; true once the body is complete.
    ///
    /// Fails where the framing is malformed, or where a body that is not streamed exceeds a buffer.
    pub fn read_body(&mut self, input: &mut Buffer, pool: &Pool) -> Result<bool, HttpError> {
        loop {
            self.head.framing = match self.head.framing {
                Framing::Done | Framing::Length(0) => return Ok(true),
                Framing::Length(left) => match self.move_body(input, left, pool)? {
                    0 => return Ok(false),
                    moved => Framing::Length(left - moved),
                },
                Framing::UntilClose => match self.move_body(input, usize::MAX, pool)? {
                    0 => return Ok(false),
                    _ => Framing::UntilClose,
                },
                Framing::Chunk(0) => Framing::ChunkTerminator,
                Framing::Chunk(left) => match self.move_body(input, left, pool)? {
                    0 => return Ok(false),
                    moved => Framing::Chunk(left - moved),
                },
                Framing::ChunkSize => match httparse::parse_chunk_size(input.filled()) {
                    Err(_) => return Err(HttpError::new(400, "body: not a chunk")),
                    Ok(httparse::Status::Partial) => return self.await_more(input),
                    Ok(httparse::Status::Complete((used, size))) => {
                        input.consume(used);
                        match size {
                            0 => Framing::Trailer,
                            size if size > BUFFER_BYTES as u64 && self.streamed_body.is_none() => {
                                return Err(body_too_long());
                            }
                            size => Framing::Chunk(size as usize),
                        }
                    }
                },
                Framing::ChunkTerminator => match input.filled() {
                    [b'\r', b'\n', ..] => {
                        input.consume(2);
                        Framing::ChunkSize
                    }
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(HttpError::new(400, "body: a chunk longer than it says")),
                },
                Framing::Trailer => match input.filled().windows(2).position(|w| w == b"\r\n") {
                    None => return self.await_more(input),
                    Some(at) => {
                        input.consume(at + 2);
                        if at == 0 { Framing::Done } else { Framing::Trailer }
                    }
                },
            }
        }
    }

    /// The sender has closed the connection (not reset it). True if that completes a body without a length.
    pub fn finish_at_close(&mut self) -> bool {
        let ends = self.head.framing == Framing::UntilClose;
        if ends {
            self.head.framing = Framing::Done;
        }
        ends
    }

    /// A chunk's size or a trailer is incomplete; bounds how long it may get.
    fn await_more(&self, input: &Buffer) -> Result<bool, HttpError> {
        if input.filled().len() > MAX_HEAD_BYTES {
            Err(HttpError::new(400, "body: a chunk without an end"))
        } else {
            Ok(false)
        }
    }

    /// Moves up to `left` bytes of the body out of `input`; returns how many.
    fn move_body(&mut self, input: &mut Buffer, left: usize, pool: &Pool) -> Result<usize, HttpError> {
        let held = input.filled();
        let held = &held[..held.len().min(left)];
        if held.is_empty() {
            return Ok(0);
        }
        let moved = match &self.streamed_body {
            Some(body) => {
                body.append(held);
                held.len()
            }
            None => self.body.get_or_insert_with(|| pool.acquire()).append(held),
        };
        if moved < held.len() {
            return Err(body_too_long());
        }
        input.consume(moved);
        Ok(moved)
    }
}
