//! The write queue of a connection: copied bytes, shared texts and streamed bodies in order.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};
use std::rc::Rc;

use bytes::{Buf, Bytes};

use super::{Buffer, Pool};
use crate::body::BodyReader;

/// Chunks of a write queue that are written with one system call.
const MAX_SLICES_PER_WRITE: usize = 16;

/// A piece of a write queue: bytes of its own, or a position in bytes that other queues share.
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
            Self::Owned(buffer) => buffer.held().len() as u64,
            Self::SharedText(text, at) => (text.len() - *at) as u64,
            Self::Small(bytes) => bytes.len() as u64,
            Self::Streamed(reader) => reader.left(),
        }
    }

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Consumes up to `count` bytes; returns how many.
    fn consume(&mut self, count: usize) -> usize {
        match self {
            Self::Owned(buffer) => {
                let count = count.min(buffer.held().len());
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
                let count = (count as u64).min(reader.left());
                reader.advance(count);
                count as usize
            }
        }
    }
}

/// What waits to be written to one connection. Offsets count bytes since it was opened.
pub struct WriteQueue {
    chain: VecDeque<Chunk>,
    pool: Pool,
    put: u64,
    written: u64,
    /// How many chunks are streamed bodies: without any, all chunks are available.
    bodies: usize,
    /// The next piece of a streamed body is not available yet.
    starved: bool,
    copied: u64,
}

impl WriteQueue {
    /// An empty queue.
    pub fn new(pool: &Pool) -> Self {
        let (chain, pool) = (VecDeque::new(), pool.clone());
        Self { chain, pool, put: 0, written: 0, bodies: 0, starved: false, copied: 0 }
    }

    /// Queues a copy of `bytes`.
    pub fn put(&mut self, mut bytes: &[u8]) {
        self.put += bytes.len() as u64;
        self.copied += bytes.len() as u64;
        while !bytes.is_empty() {
            let count = match self.chain.back_mut() {
                Some(Chunk::Owned(last)) => last.put(bytes),
                _ => 0,
            };
            bytes = &bytes[count..];
            if !bytes.is_empty() {
                self.chain.push_back(Chunk::Owned(self.pool.take()));
            }
        }
    }

    /// Queues a few bytes that go before a body: a buffer for them would be in use as long as the body takes.
    pub fn queue_small(&mut self, bytes: Vec<u8>) {
        self.put += bytes.len() as u64;
        self.copied += bytes.len() as u64;
        self.chain.push_back(Chunk::Small(bytes.into()));
    }

    /// Queues a shared text, which is not copied.
    pub fn queue_text(&mut self, text: &Rc<str>) {
        self.put += text.len() as u64;
        self.chain.push_back(Chunk::SharedText(text.clone(), 0));
    }

    /// Queues a body whose length is known; it is written as it becomes available.
    pub fn queue_body(&mut self, reader: BodyReader) {
        if reader.left() == 0 {
            return;
        }
        self.put += reader.left();
        self.bodies += 1;
        self.chain.push_back(Chunk::Streamed(reader));
    }

    /// Removes what was queued from the offset `from` on, as far as it is not written; `from` lies between two frames.
    /// Returns the body that was in it.
    pub fn take_back(&mut self, from: u64) -> Option<BodyReader> {
        let mut body = None;
        while self.put > from.max(self.written) {
            let Some(last) = self.chain.back_mut() else { break };
            let over = self.put - from.max(self.written);
            let held = last.len();
            if let Chunk::Owned(buffer) = last
                && held > over
            {
                buffer.take_back(over as usize);
                self.put -= over;
                break;
            }
            self.put -= held;
            if let Some(Chunk::Streamed(reader)) = self.chain.pop_back() {
                self.bodies -= 1;
                body = Some(reader);
            }
        }
        body
    }

    /// The offset behind the last queued byte.
    pub fn end(&self) -> u64 {
        self.put
    }

    /// The offset behind the last written byte.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Whether all is written.
    pub fn is_empty(&self) -> bool {
        self.put == self.written
    }

    /// How many bytes wait to be written.
    pub fn waiting(&self) -> usize {
        (self.put - self.written) as usize
    }

    /// Whether the last flush stopped because the next piece of a body is not available.
    pub fn is_awaiting_body(&self) -> bool {
        self.starved
    }

    /// The first streamed body in the queue.
    pub fn body(&self) -> Option<&BodyReader> {
        self.chain.iter().find_map(Chunk::reader)
    }

    /// How many bytes were copied into it since the last call.
    pub fn take_copied(&mut self) -> u64 {
        std::mem::take(&mut self.copied)
    }

    /// Writes until all is written, the stream would block, or the next piece is not available.
    ///
    /// Fails with the stream's error, or with `WriteZero` where it accepts no byte.
    pub fn flush(&mut self, mut stream: impl Write) -> io::Result<()> {
        self.starved = false;
        while !self.chain.is_empty() {
            match self.write_once(&mut stream) {
                Ok(None) => {
                    self.starved = true;
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

    /// Writes the first chunks with one system call; `None` if the next piece of a body is not available.
    fn write_once(&self, stream: &mut impl Write) -> io::Result<Option<usize>> {
        let first = || self.chain.iter().take(MAX_SLICES_PER_WRITE);
        // Keeps the blocks of the first body alive that the slices point into.
        let mut blocks = Vec::new();
        if self.bodies > 0
            && let Some(reader) = first().find_map(Chunk::reader)
        {
            reader.pieces(MAX_SLICES_PER_WRITE, &mut blocks);
        }
        // What stands behind the first body is not written before all of that is.
        let slices = first().map_while(plain).chain(blocks.iter().map(|block| IoSlice::new(block)));
        let slices: Vec<_> = slices.take(2 * MAX_SLICES_PER_WRITE).collect();
        if slices.is_empty() { Ok(None) } else { stream.write_vectored(&slices).map(Some) }
    }

    /// Discards the first `count` bytes, which have been written.
    fn consume(&mut self, mut count: usize) {
        self.written += count as u64;
        while let Some(first) = self.chain.front_mut() {
            count -= first.consume(count);
            if !first.is_empty() {
                break;
            }
            if let Some(Chunk::Streamed(_)) = self.chain.pop_front() {
                self.bodies -= 1;
            }
        }
    }
}

/// The bytes of a chunk other than a streamed body.
fn plain(piece: &Chunk) -> Option<IoSlice<'_>> {
    match piece {
        Chunk::Owned(buffer) => Some(IoSlice::new(buffer.held())),
        Chunk::SharedText(text, at) => Some(IoSlice::new(&text.as_bytes()[*at..])),
        Chunk::Small(bytes) => Some(IoSlice::new(bytes)),
        Chunk::Streamed(_) => None,
    }
}
