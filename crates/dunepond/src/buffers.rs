//! Buffers of one size, used again from a pool, and the chain of them that waits to be written.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::rc::Rc;

/// What the longest body or frame needs.
pub const SIZE: usize = 64 * 1024;
/// Free buffers kept; beyond them a burst's buffers go back to the system.
const KEPT: usize = 64;
/// Pieces of a chain written in one go.
const AT_ONCE: usize = 16;

#[derive(Clone, Default)]
pub struct Pool {
    free: Rc<RefCell<Vec<Box<[u8]>>>>,
    out: Rc<Cell<usize>>,
}

impl Pool {
    pub fn take(&self) -> Buffer {
        let bytes = self.free.borrow_mut().pop();
        let bytes = bytes.unwrap_or_else(|| vec![0; SIZE].into_boxed_slice());
        self.out.set(self.out.get() + 1);
        Buffer { bytes, from: 0, to: 0, pool: self.clone() }
    }

    /// How many are in use.
    pub fn out(&self) -> usize {
        self.out.get()
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
        if free.len() < KEPT {
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
        self.to - self.from == SIZE
    }

    pub fn consume(&mut self, count: usize) {
        self.from += count;
        if self.is_empty() {
            (self.from, self.to) = (0, 0);
        }
    }

    /// Takes as much of `bytes` as there is room for behind what it holds.
    pub fn put(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(SIZE - self.to);
        self.bytes[self.to..self.to + count].copy_from_slice(&bytes[..count]);
        self.to += count;
        count
    }

    /// One read behind what it holds; `Ok(0)` is the end of the stream, as there is always room.
    pub fn read_from(&mut self, mut stream: impl Read) -> io::Result<usize> {
        if self.to == SIZE {
            self.bytes.copy_within(self.from..self.to, 0);
            (self.from, self.to) = (0, self.to - self.from);
        }
        let count = stream.read(&mut self.bytes[self.to..])?;
        self.to += count;
        Ok(count)
    }
}

/// What waits to be written to one connection, counted in bytes since it was opened.
pub struct Outflow {
    chain: VecDeque<Buffer>,
    pool: Pool,
    put: u64,
    written: u64,
}

impl Outflow {
    pub fn new(pool: &Pool) -> Self {
        Self { chain: VecDeque::new(), pool: pool.clone(), put: 0, written: 0 }
    }

    pub fn put(&mut self, mut bytes: &[u8]) {
        self.put += bytes.len() as u64;
        while !bytes.is_empty() {
            let count = self.chain.back_mut().map_or(0, |last| last.put(bytes));
            bytes = &bytes[count..];
            if !bytes.is_empty() {
                self.chain.push_back(self.pool.take());
            }
        }
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

    /// Writes until all is out or the stream takes no more now.
    pub fn flush(&mut self, mut stream: impl Write) -> io::Result<()> {
        while !self.chain.is_empty() {
            let slices: Vec<_> = self.chain.iter().take(AT_ONCE).map(|b| IoSlice::new(b.held())).collect();
            let mut count = match stream.write_vectored(&slices) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            };
            self.written += count as u64;
            while let Some(first) = self.chain.front_mut() {
                let part = count.min(first.held().len());
                first.consume(part);
                count -= part;
                if !first.is_empty() {
                    break;
                }
                self.chain.pop_front();
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
        let bytes: Vec<u8> = (0..3 * SIZE).map(|i| (i % 251) as u8).collect();
        let mut out = Outflow::new(&pool);
        bytes.chunks(10_000).for_each(|piece| out.put(piece));
        let mut stream = Narrow(Vec::new(), SIZE);
        out.flush(&mut stream).unwrap();
        assert_eq!((out.written(), out.waiting()), (SIZE as u64, 2 * SIZE));
        stream.1 = bytes.len();
        out.flush(&mut stream).unwrap();
        assert!(out.is_empty() && stream.0 == bytes);
        assert_eq!(pool.free.borrow().len(), 3);
    }

    #[test]
    fn a_buffer_read_to_its_end_makes_room_for_the_rest_of_a_message() {
        let mut buffer = Pool::default().take();
        let mut stream = &vec![7; SIZE + 10][..];
        assert_eq!(buffer.read_from(&mut stream).unwrap(), SIZE);
        assert!(buffer.is_full());
        buffer.consume(100);
        assert_eq!(buffer.read_from(&mut stream).unwrap(), 10);
        assert_eq!(buffer.held().len(), SIZE - 90);
    }
}
