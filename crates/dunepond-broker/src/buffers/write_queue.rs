//! The write queue of a connection, which holds copied bytes, shared texts and streamed bodies in order.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};
use std::rc::Rc;

use bytes::{Buf, Bytes};

use super::{Buffer, Pool};
use crate::body::BodyReader;

/// Maximum number of chunks of a write queue that are written with one system call.
const MAX_SLICES_PER_WRITE: usize = 16;

/// A chunk of a write queue: bytes that only this queue uses, or bytes shared with other queues and a position in them.
enum Chunk {
    /// Copied bytes in a pooled buffer.
    Owned(Buffer),
    /// A shared text and the position of its first byte that is not written yet.
    SharedText(Rc<str>, usize),
    /// Bytes that are stored outside the buffer pool.
    Exact(Bytes),
    /// The unwritten rest of a streamed body.
    Streamed(BodyReader),
}

impl Chunk {
    /// Returns the reader of a streamed body; `None` for other chunks.
    fn reader(&self) -> Option<&BodyReader> {
        if let Self::Streamed(reader) = self { Some(reader) } else { None }
    }

    /// Returns the number of bytes left to write.
    fn len(&self) -> u64 {
        match self {
            Self::Owned(buffer) => buffer.filled().len() as u64,
            Self::SharedText(text, position) => (text.len() - *position) as u64,
            Self::Exact(bytes) => bytes.len() as u64,
            Self::Streamed(reader) => reader.remaining(),
        }
    }

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Discards up to `count` bytes at the start of the chunk, as they have been written; returns how many bytes it
    /// discarded.
    fn consume(&mut self, count: usize) -> usize {
        match self {
            Self::Owned(buffer) => {
                let count = count.min(buffer.filled().len());
                buffer.consume(count);
                count
            }
            Self::SharedText(text, position) => {
                let count = count.min(text.len() - *position);
                *position += count;
                count
            }
            Self::Exact(bytes) => {
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

/// The bytes that wait to be written to one connection. Offsets are counted in bytes from the first byte queued on the
/// connection.
pub struct WriteQueue {
    chunks: VecDeque<Chunk>,
    pool: Pool,
    /// The offset after the last queued byte.
    end_offset: u64,
    /// The offset after the last written byte.
    written_offset: u64,
    /// The number of chunks that are streamed bodies; if it is 0, all bytes of the queue are in memory.
    streamed_chunks: usize,
    /// Whether the last flush stopped because the next chunk of a streamed body was not available.
    awaiting_body: bool,
    /// Number of bytes copied into the queue since the last call of `take_copied_bytes`.
    copied_bytes: u64,
}

impl WriteQueue {
    /// Creates an empty queue, which takes its buffers from `pool`.
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

    /// Queues bytes without copying them. Takes no buffer from the pool, as a buffer would be in use, whole, as long as writing
    /// takes.
    pub fn queue_vec(&mut self, bytes: Vec<u8>) {
        self.end_offset += bytes.len() as u64;
        self.copied_bytes += bytes.len() as u64;
        self.chunks.push_back(Chunk::Exact(bytes.into()));
    }

    /// Queues a shared text without copying it.
    pub fn queue_text(&mut self, text: &Rc<str>) {
        self.end_offset += text.len() as u64;
        self.chunks.push_back(Chunk::SharedText(text.clone(), 0));
    }

    /// Queues a streamed body whose length is known; its bytes are written as they become available.
    pub fn queue_body(&mut self, reader: BodyReader) {
        if reader.remaining() == 0 {
            return;
        }
        self.end_offset += reader.remaining();
        self.streamed_chunks += 1;
        self.chunks.push_back(Chunk::Streamed(reader));
    }

    /// Removes the unwritten bytes from the offset `from` to the end of the queue; `from` must be the boundary between
    /// two frames. Returns the streamed body among the removed bytes, if any.
    pub fn withdraw_from(&mut self, from: u64) -> Option<BodyReader> {
        let mut body = None;
        while self.end_offset > from.max(self.written_offset) {
            let Some(last) = self.chunks.back_mut() else { break };
            let removable = self.end_offset - from.max(self.written_offset);
            let chunk_length = last.len();
            if let Chunk::Owned(buffer) = last
                && chunk_length > removable
            {
                buffer.remove_last(removable as usize);
                self.end_offset -= removable;
                break;
            }
            self.end_offset -= chunk_length;
            if let Some(Chunk::Streamed(reader)) = self.chunks.pop_back() {
                self.streamed_chunks -= 1;
                body = Some(reader);
            }
        }
        body
    }

    /// Returns the offset after the last queued byte.
    pub fn end_offset(&self) -> u64 {
        self.end_offset
    }

    /// Returns the offset after the last written byte.
    pub fn written_offset(&self) -> u64 {
        self.written_offset
    }

    /// Whether all queued bytes are written.
    pub fn is_empty(&self) -> bool {
        self.end_offset == self.written_offset
    }

    /// Returns the number of bytes that wait to be written.
    pub fn pending_bytes(&self) -> usize {
        (self.end_offset - self.written_offset) as usize
    }

    /// Whether the last flush stopped because the next chunk of a streamed body was not available.
    pub fn is_awaiting_body(&self) -> bool {
        self.awaiting_body
    }

    /// Returns the first streamed body in the queue.
    pub fn next_body(&self) -> Option<&BodyReader> {
        self.chunks.iter().find_map(Chunk::reader)
    }

    /// Returns the number of bytes copied into the queue since the last call of this method.
    pub fn take_copied_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.copied_bytes)
    }

    /// Writes until all bytes are written, the stream would block, or the next chunk of a streamed body is not available.
    ///
    /// Fails with the stream's error, or with `WriteZero` if the stream accepts no byte.
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

    /// Writes the first chunks with one system call and returns the number of bytes written; `None` if the next chunk
    /// of a streamed body is not available.
    fn write_once(&self, stream: &mut impl Write) -> io::Result<Option<usize>> {
        let first_chunks = || self.chunks.iter().take(MAX_SLICES_PER_WRITE);
        // Keeps alive the blocks of the first streamed body, as the slices below refer to them.
        let mut blocks = Vec::new();
        if self.streamed_chunks > 0
            && let Some(reader) = first_chunks().find_map(Chunk::reader)
        {
            reader.available_chunks(MAX_SLICES_PER_WRITE, &mut blocks);
        }
        // Chunks after the first streamed body are left out: they are written only once the whole of that body is
        // written.
        let slices =
            first_chunks().map_while(memory_slice).chain(blocks.iter().map(|block| IoSlice::new(block)));
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

/// Returns the bytes of a chunk; `None` for a streamed body.
fn memory_slice(chunk: &Chunk) -> Option<IoSlice<'_>> {
    match chunk {
        Chunk::Owned(buffer) => Some(IoSlice::new(buffer.filled())),
        Chunk::SharedText(text, position) => Some(IoSlice::new(&text.as_bytes()[*position..])),
        Chunk::Exact(bytes) => Some(IoSlice::new(bytes)),
        Chunk::Streamed(_) => None,
    }
}
