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
                Framing::Trailer => parse_trailer_line(input)?,
            };
            match next {
                Some(framing) => self.head.framing = framing,
                None => return Ok(false),
            }
        }
    }

    fn parse_chunk_size(&self, input: &mut Buffer) -> Result<Option<Framing>, HttpError> {
        match httparse::parse_chunk_size(input.filled()) {
            Err(_) => Err(HttpError::new(400, "body: not a chunk")),
            Ok(httparse::Status::Partial) => await_more(input),
            Ok(httparse::Status::Complete((used, size))) => {
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

    /// The sender has closed the connection (not reset it). True if that completes a body without a length.
    pub fn finish_at_close(&mut self) -> bool {
        let ends = self.head.framing == Framing::UntilClose;
        if ends {
            self.head.framing = Framing::Done;
        }
        ends
    }

    /// Moves up to `left` bytes of the body out of `input`; returns how many, `None` if there are none.
    fn move_body(
        &mut self,
        input: &mut Buffer,
        left: usize,
        pool: &Pool,
    ) -> Result<Option<usize>, HttpError> {
        let held = input.filled();
        let held = &held[..held.len().min(left)];
        if held.is_empty() {
            return Ok(None);
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
        Ok(Some(moved))
    }
}

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

fn parse_trailer_line(input: &mut Buffer) -> Result<Option<Framing>, HttpError> {
    let Some(length) = input.filled().windows(2).position(|bytes| bytes == b"\r\n") else {
        return await_more(input);
    };
    input.consume(length + 2);
    Ok(Some(if length == 0 { Framing::Done } else { Framing::Trailer }))
}

/// A chunk's size or a trailer is incomplete; bounds how long it may get.
fn await_more(input: &Buffer) -> Result<Option<Framing>, HttpError> {
    if input.filled().len() > MAX_HEAD_BYTES {
        Err(HttpError::new(400, "body: a chunk without an end"))
    } else {
        Ok(None)
    }
}
