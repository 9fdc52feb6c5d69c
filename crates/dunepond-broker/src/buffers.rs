//! Pooled buffers of one size, and the queue of chunks that wait to be written to one connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::rc::Rc;

use bytes::{Buf, Bytes};

use crate::body::BodyReader;

/// What the longest body or frame needs.
pub const BUFFER_BYTES: usize = 64 * 1024;
/// Free buffers kept; beyond them a burst's buffers go back to the system.
const MAX_FREE_BUFFERS: usize = 32;
/// Pieces of a chain written in one go.
const MAX_SLICES_PER_WRITE: usize = 16;

/// Has the allocator keep one heap for all threads. With one for each, what the disk's threads read for bodies and the
/// loop let go of stayed with them, beside what the next ones took: up to 10 MiB over the bound were seen. Mapping each
/// block by itself would give all of it back, but costs more than 20 us a block on the loop.
pub fn use_single_malloc_arena() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: mallopt only sets the allocator's own options; it may be called at any time.
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, 1);
    }
}

#[derive(Clone, Default)]
pub struct Pool {
    free: Rc<RefCell<Vec<Box<[u8]>>>>,
    out: Rc<Cell<usize>>,
}

impl Pool {
    pub fn take(&self) -> Buffer {
        let bytes = self.free.borrow_mut().pop();
        let bytes = bytes.unwrap_or_else(|| vec![0; BUFFER_BYTES].into_boxed_slice());
        self.out.set(self.out.get() + 1);
        Buffer { bytes, from: 0, to: 0, pool: self.clone() }
    }

    /// How many are in use.
    pub fn out(&self) -> usize {
        self.out.get()
    }

    /// What all of them take, the free ones too.
    pub fn bytes(&self) -> u64 {
        ((self.out.get() + self.free.borrow().len()) * BUFFER_BYTES) as u64
    }
}

/// Bytes that came in or go out; back in its pool once dropped.
pub struct Buffer {
    bytes: Box<[u8]>,
    from: usize,
    to: usize,
    pool: Pool,
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.out.set(self.pool.out.get() - 1);
        let mut free = self.pool.free.borrow_mut();
        if free.len() < MAX_FREE_BUFFERS {
            free.push(std::mem::take(&mut self.bytes));
        }
    }
}

impl Buffer {
    pub fn held(&self) -> &[u8] {
        &self.bytes[self.from..self.to]
    }

    pub fn is_empty(&self) -> bool {
        self.from == self.to
    }

    pub fn is_full(&self) -> bool {
        self.to - self.from == BUFFER_BYTES
    }

    pub fn consume(&mut self, count: usize) {
        self.from += count;
        if self.is_empty() {
            (self.from, self.to) = (0, 0);
        }
    }

    /// Takes as much of `bytes` as there is room for behind what it holds.
    pub fn put(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(BUFFER_BYTES - self.to);
        self.bytes[self.to..self.to + count].copy_from_slice(&bytes[..count]);
        self.to += count;
        count
    }

    /// Takes back so many of the bytes that were put last.
    fn take_back(&mut self, count: usize) {
        self.to -= count;
    }

    /// One read behind what it holds; `Ok(0)` is the end of the stream, as there is always room.
    pub fn read_from(&mut self, mut stream: impl Read) -> io::Result<usize> {
        if self.to == BUFFER_BYTES {
            self.bytes.copy_within(self.from..self.to, 0);
            (self.from, self.to) = (0, self.to - self.from);
        }
        let count = stream.read(&mut self.bytes[self.to..])?;
        self.to += count;
        Ok(count)
    }
}

/// A piece of what waits: bytes of its own, or a place in what others send as well and nobody copies.
enum Chunk {
    Owned(Buffer),
    SharedText(Rc<str>, usize),
    /// A few bytes that are not worth a buffer.
    Small(Bytes),
    Streamed(BodyReader),
}

impl Chunk {
    fn is_empty(&self) -> bool {
        match self {
            Self::Owned(buffer) => buffer.is_empty(),
            Self::SharedText(text, at) => *at == text.len(),
            Self::Small(bytes) => bytes.is_empty(),
            Self::Streamed(reader) => reader.left() == 0,
        }
    }

    /// Lets so much be written of it, or all that it has.
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

/// What waits to be written to one connection, counted in bytes since it was opened.
pub struct WriteQueue {
    chain: VecDeque<Chunk>,
    pool: Pool,
    put: u64,
    written: u64,
    /// Bodies in the chain: without any, a write asks nobody whether there is something to be had.
    bodies: usize,
    /// What comes next is not there yet.
    starved: bool,
    copied: u64,
}

impl WriteQueue {
    pub fn new(pool: &Pool) -> Self {
        let (chain, pool) = (VecDeque::new(), pool.clone());
        Self { chain, pool, put: 0, written: 0, bodies: 0, starved: false, copied: 0 }
    }

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

    /// Puts what goes before a body: a buffer for each frame would be held for as long as its body takes.
    pub fn queue_small(&mut self, bytes: Vec<u8>) {
        self.put += bytes.len() as u64;
        self.copied += bytes.len() as u64;
        self.chain.push_back(Chunk::Small(bytes.into()));
    }

    /// Puts a text that others send as well; it is written from where it is.
    pub fn queue_text(&mut self, text: &Rc<str>) {
        self.put += text.len() as u64;
        self.chain.push_back(Chunk::SharedText(text.clone(), 0));
    }

    /// Puts a body whose length is known; it is written as it can be had.
    pub fn queue_body(&mut self, reader: BodyReader) {
        if reader.left() == 0 {
            return;
        }
        self.put += reader.left();
        self.bodies += 1;
        self.chain.push_back(Chunk::Streamed(reader));
    }

    /// Takes back what was put from a place on, as far as nothing of it has been written: `from` lies between two
    /// frames. Gives back the body that was in it.
    pub fn take_back(&mut self, from: u64) -> Option<BodyReader> {
        let mut body = None;
        while self.put > from.max(self.written) {
            let Some(last) = self.chain.back_mut() else { break };
            let over = self.put - from.max(self.written);
            let held = match last {
                Chunk::Owned(buffer) => buffer.held().len() as u64,
                Chunk::SharedText(text, at) => (text.len() - *at) as u64,
                Chunk::Small(bytes) => bytes.len() as u64,
                Chunk::Streamed(reader) => reader.left(),
            };
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

    /// The place of the last byte put so far.
    pub fn end(&self) -> u64 {
        self.put
    }

    pub fn written(&self) -> u64 {
        self.written
    }

    pub fn is_empty(&self) -> bool {
        self.put == self.written
    }

    pub fn waiting(&self) -> usize {
        (self.put - self.written) as usize
    }

    /// It could be written on, if only the next piece of a body were there.
    pub fn is_awaiting_body(&self) -> bool {
        self.starved
    }

    /// The body that is being written, or is next.
    pub fn body(&self) -> Option<&BodyReader> {
        self.chain
            .iter()
            .find_map(|piece| if let Chunk::Streamed(reader) = piece { Some(reader) } else { None })
    }

    /// Bytes copied into it since the last call.
    pub fn take_copied(&mut self) -> u64 {
        std::mem::take(&mut self.copied)
    }

    /// Writes until all is out, the stream takes no more now, or the next piece is not there yet.
    pub fn flush(&mut self, mut stream: impl Write) -> io::Result<()> {
        self.starved = false;
        while !self.chain.is_empty() {
            let mut loaned = Vec::new();
            let outcome = if self.bodies == 0 {
                let slices: Vec<_> = self.chain.iter().take(MAX_SLICES_PER_WRITE).filter_map(plain).collect();
                stream.write_vectored(&slices)
            } else {
                // What bodies lend is kept alive beside the slices that point into it.
                let mut counts = Vec::new();
                for piece in self.chain.iter().take(MAX_SLICES_PER_WRITE) {
                    let before = loaned.len();
                    if let Chunk::Streamed(reader) = piece {
                        reader.pieces(MAX_SLICES_PER_WRITE, &mut loaned);
                        counts.push(loaned.len() - before);
                        break;
                    }
                    counts.push(0);
                }
                let mut pieces = loaned.iter();
                let slices = self.chain.iter().zip(&counts).flat_map(|(piece, count)| {
                    let bodies: Vec<_> = pieces.by_ref().take(*count).map(|b| IoSlice::new(b)).collect();
                    plain(piece).into_iter().chain(bodies)
                });
                let slices: Vec<_> = slices.take(2 * MAX_SLICES_PER_WRITE).collect();
                if slices.is_empty() {
                    self.starved = true;
                    return Ok(());
                }
                stream.write_vectored(&slices)
            };
            let mut count = match outcome {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            };
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
        Ok(())
    }
}

fn plain(piece: &Chunk) -> Option<IoSlice<'_>> {
    match piece {
        Chunk::Owned(buffer) => Some(IoSlice::new(buffer.held())),
        Chunk::SharedText(text, at) => Some(IoSlice::new(&text.as_bytes()[*at..])),
        Chunk::Small(bytes) => Some(IoSlice::new(bytes)),
        Chunk::Streamed(_) => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::body::Body;

    /// Takes a few bytes at a time, and nothing more once it is full.
    struct Narrow(Vec<u8>, usize);

    impl Write for Narrow {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let count = bytes.len().min(999).min(self.1 - self.0.len());
            if count == 0 {
                return Err(io::ErrorKind::WouldBlock.into());
            }
            self.0.extend_from_slice(&bytes[..count]);
            Ok(count)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn what_is_put_comes_out_in_order_however_little_the_stream_takes() {
        let pool = Pool::default();
        let bytes: Vec<u8> = (0..3 * BUFFER_BYTES).map(|i| (i % 251) as u8).collect();
        let mut out = WriteQueue::new(&pool);
        bytes.chunks(10_000).for_each(|piece| out.put(piece));
        let mut stream = Narrow(Vec::new(), BUFFER_BYTES);
        out.flush(&mut stream).unwrap();
        assert_eq!((out.written(), out.waiting()), (BUFFER_BYTES as u64, 2 * BUFFER_BYTES));
        stream.1 = bytes.len();
        out.flush(&mut stream).unwrap();
        assert!(out.is_empty() && stream.0 == bytes);
        assert_eq!(pool.free.borrow().len(), 3);
    }

    #[test]
    fn what_is_shared_goes_out_in_its_place_and_is_not_copied() {
        let pool = Pool::default();
        let text: Rc<str> = "text".into();
        let body = Body::new(1, Some(6), None, &Default::default());
        body.put(b"bo");
        let mut out = WriteQueue::new(&pool);
        out.put(b"<");
        out.queue_text(&text);
        out.queue_body(BodyReader::new(&body));
        out.put(b">");
        assert_eq!((out.end(), out.take_copied()), (12, 2));
        let mut stream = Narrow(Vec::new(), BUFFER_BYTES);
        out.flush(&mut stream).unwrap();
        assert!(out.is_awaiting_body() && stream.0 == b"<text");
        body.put(b"dies");
        body.end();
        out.flush(&mut stream).unwrap();
        assert!(out.is_empty() && !out.is_awaiting_body() && stream.0 == b"<textbodies>");
    }

    #[test]
    fn a_buffer_read_to_its_end_makes_room_for_the_rest_of_a_message() {
        let mut buffer = Pool::default().take();
        let mut stream = &vec![7; BUFFER_BYTES + 10][..];
        assert_eq!(buffer.read_from(&mut stream).unwrap(), BUFFER_BYTES);
        assert!(buffer.is_full());
        buffer.consume(100);
        assert_eq!(buffer.read_from(&mut stream).unwrap(), 10);
        assert_eq!(buffer.held().len(), BUFFER_BYTES - 90);
    }
}
