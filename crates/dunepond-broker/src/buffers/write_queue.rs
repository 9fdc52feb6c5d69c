//! The write queue of a connection: copied bytes, shared texts and streamed bodies in order.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};
use std::rc::Rc;

use bytes::{Buf, Bytes};

use super::{Buffer, Pool};
use crate::body::BodyReader;

/// Chunks of a write queue that are written with one system call.
const MAX_SLICES_PER_WRITE: usize = 16;

/// A chunk of a write queue: bytes of its own, or a position in bytes that other queues share.
enum Chunk {
    Owned(Buffer),
    SharedText(Rc<str>, usize),
    /// Too few bytes for a buffer of their own.
    Small(Bytes),
    Streamed(BodyReader),
}

impl Chunk {
    /// The reader of a streamed body.
    fn reader(&self) -> Option<&BodyReader> {
        if let Self::Streamed(reader) = self { Some(reader) } else { None }
    }

    fn len(&self) -> u64 {
        match self {
            Self::Owned(buffer) => buffer.filled().len() as u64,
            Self::SharedText(text, at) => (text.len() - *at) as u64,
            Self::Small(bytes) => bytes.len() as u64,
            Self::Streamed(reader) => reader.remaining(),
        }
    }

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Consumes up to `count` bytes; returns how many.
    fn consume(&mut self, count: usize) -> usize {
        match self {
            Self::Owned(buffer) => {
                let count = count.min(buffer.filled().len());
                buffer.consume(count);
                count
            }
            Self::SharedText(text, at) => {
                let count = count.min(text.len() - *at);
                *at += count;
                count
            }
            Self::Small(bytes) => {
                let count = count.min(bytes.len());
                bytes.advance(count);
                count
            }
            Self::Streamed(reader) => {
                let count = (count as u64).min(reader.remaining());
                reader.advance(count);
                count as usize
            }
        }
    }
}

/// What waits to be written to one connection. Offsets count bytes since it was opened.
pub struct WriteQueue {
    chunks: VecDeque<Chunk>,
    pool: Pool,
    end_offset: u64,
    written_offset: u64,
    /// How many chunks are streamed bodies: without any, all chunks are available.
    streamed_chunks: usize,
    /// The next chunk of a streamed body is not available yet.
    awaiting_body: bool,
    copied_bytes: u64,
}

impl WriteQueue {
    /// An empty queue.
    pub fn new(pool: &Pool) -> Self {
        let (chunks, pool) = (VecDeque::new(), pool.clone());
        Self {
            chunks,
            pool,
            end_offset: 0,
            written_offset: 0,
            streamed_chunks: 0,
            awaiting_body: false,
            copied_bytes: 0,
        }
    }

    /// Queues a copy of `bytes`.
    pub fn queue_bytes(&mut self, mut bytes: &[u8]) {
        self.end_offset += bytes.len() as u64;
        self.copied_bytes += bytes.len() as u64;
        while !bytes.is_empty() {
            let count = match self.chunks.back_mut() {
                Some(Chunk::Owned(last)) => last.append(bytes),
                _ => 0,
            };
            bytes = &bytes[count..];
            if !bytes.is_empty() {
                self.chunks.push_back(Chunk::Owned(self.pool.acquire()));
            }
        }
    }

    /// Queues a few bytes that go before a body: a buffer for them would be in use as long as the body takes.
    pub fn queue_small(&mut self, bytes: Vec<u8>) {
        self.end_offset += bytes.len() as u64;
        self.copied_bytes += bytes.len() as u64;
        self.chunks.push_back(Chunk::Small(bytes.into()));
    }

    /// Queues a shared text, which is not copied.
    pub fn queue_text(&mut self, text: &Rc<str>) {
        self.end_offset += text.len() as u64;
        self.chunks.push_back(Chunk::SharedText(text.clone(), 0));
    }

    /// Queues a body whose length is known; it is written as it becomes available.
    pub fn queue_body(&mut self, reader: BodyReader) {
        if reader.remaining() == 0 {
            return;
        }
        self.end_offset += reader.remaining();
        self.streamed_chunks += 1;
        self.chunks.push_back(Chunk::Streamed(reader));
    }

    /// Removes what was queued from the offset `from` on, as far as it is not written; `from` lies between two frames.
    /// Returns the body that was in it.
    pub fn withdraw_from(&mut self, from: u64) -> Option<BodyReader> {
        let mut body = None;
        while self.end_offset > from.max(self.written_offset) {
            let Some(last) = self.chunks.back_mut() else { break };
            let over = self.end_offset - from.max(self.written_offset);
            let held = last.len();
            if let Chunk::Owned(buffer) = last
                && held > over
            {
                buffer.remove_last(over as usize);
                self.end_offset -= over;
                break;
            }
            self.end_offset -= held;
            if let Some(Chunk::Streamed(reader)) = self.chunks.pop_back() {
                self.streamed_chunks -= 1;
                body = Some(reader);
            }
        }
        body
    }

    /// The offset behind the last queued byte.
    pub fn end_offset(&self) -> u64 {
        self.end_offset
    }

    /// The offset behind the last written byte.
    pub fn written_offset(&self) -> u64 {
        self.written_offset
    }

    /// Whether all is written.
    pub fn is_empty(&self) -> bool {
        self.end_offset == self.written_offset
    }

    /// How many bytes wait to be written.
    pub fn pending_bytes(&self) -> usize {
        (self.end_offset - self.written_offset) as usize
    }

    /// Whether the last flush stopped because the next chunk of a body is not available.
    pub fn is_awaiting_body(&self) -> bool {
        self.awaiting_body
    }

    /// The first streamed body in the queue.
    pub fn next_body(&self) -> Option<&BodyReader> {
        self.chunks.iter().find_map(Chunk::reader)
    }

    /// How many bytes were copied into it since the last call.
    pub fn take_copied_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.copied_bytes)
    }

    /// Writes until all is written, the stream would block, or the next chunk is not available.
    ///
    /// Fails with the stream's error, or with `WriteZero` where it accepts no byte.
    pub fn flush(&mut self, mut stream: impl Write) -> io::Result<()> {
        self.awaiting_body = false;
        while !self.chunks.is_empty() {
            match self.write_once(&mut stream) {
                Ok(None) => {
                    self.awaiting_body = true;
                    return Ok(());
                }
                Ok(Some(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(Some(count)) => self.consume(count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Writes the first chunks with one system call; `None` if the next chunk of a body is not available.
    fn write_once(&self, stream: &mut impl Write) -> io::Result<Option<usize>> {
        let first = || self.chunks.iter().take(MAX_SLICES_PER_WRITE);
        // Keeps the blocks of the first body alive that the slices point into.
        let mut blocks = Vec::new();
        if self.streamed_chunks > 0
            && let Some(reader) = first().find_map(Chunk::reader)
        {
            reader.available_chunks(MAX_SLICES_PER_WRITE, &mut blocks);
        }
        // What stands behind the first body is not written before all of that is.
        let slices = first().map_while(memory_slice).chain(blocks.iter().map(|block| IoSlice::new(block)));
        let slices: Vec<_> = slices.take(2 * MAX_SLICES_PER_WRITE).collect();
        if slices.is_empty() { Ok(None) } else { stream.write_vectored(&slices).map(Some) }
    }

    /// Discards the first `count` bytes, which have been written.
    fn consume(&mut self, mut count: usize) {
        self.written_offset += count as u64;
        while let Some(first) = self.chunks.front_mut() {
            count -= first.consume(count);
            if !first.is_empty() {
                break;
            }
            if let Some(Chunk::Streamed(_)) = self.chunks.pop_front() {
                self.streamed_chunks -= 1;
            }
        }
    }
}

/// The bytes of a chunk other than a streamed body.
fn memory_slice(chunk: &Chunk) -> Option<IoSlice<'_>> {
    match chunk {
        Chunk::Owned(buffer) => Some(IoSlice::new(buffer.filled())),
        Chunk::SharedText(text, at) => Some(IoSlice::new(&text.as_bytes()[*at..])),
        Chunk::Small(bytes) => Some(IoSlice::new(bytes)),
        Chunk::Streamed(_) => None,
    }
}
