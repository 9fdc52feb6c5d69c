//! Pooled buffers that grow as they fill, and the write queue of a connection.

mod write_queue;

use std::cell::RefCell;
use std::io::{self, Read};
use std::rc::Rc;

pub use write_queue::WriteQueue;

/// The size of the largest buffer. The longest frame, and the longest body that is not streamed, fit into one buffer.
pub const BUFFER_BYTES: usize = 64 * 1024;
/// The sizes of buffers in bytes. A full buffer is replaced by one of the next size. Those of the first size are not limited, as
/// each connection may have one.
const SIZES: [usize; 3] = [2 * 1024, 16 * 1024, BUFFER_BYTES];
/// The size of a buffer that has grown once, in bytes.
pub const FIRST_GROWN_BYTES: usize = SIZES[1];
/// Size from which the allocator takes a block from the system by itself.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const LARGE_BLOCK_BYTES: libc::c_int = 32 * 1024;
/// Maximum size in bytes of the free buffers that a pool keeps; the others are deallocated when they are returned after a burst.
const MAX_FREE_BYTES: usize = 512 * 1024;

/// Has the allocator use one arena for all threads, and return large blocks to the system as soon as they are freed, to keep
/// the process within its memory limit: with an arena per thread, blocks that the disk threads allocate and the event loop
/// frees would stay in the arenas of the disk threads.
pub fn configure_allocator() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: mallopt only sets the allocator's own options; it may be called at any time.
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, 1);
        libc::mallopt(libc::M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
    }
}

/// What a pool and its clones share.
#[derive(Default)]
struct PoolState {
    /// The free buffers of each size.
    free: [Vec<Box<[u8]>>; SIZES.len()],
    free_bytes: usize,
    in_use_bytes: usize,
    /// The part of it that is limited: buffers that have grown.
    grown_bytes: usize,
    read_bytes: u64,
}

/// A pool of buffers, which limits nothing itself but tells how much is in use; clones share their buffers.
#[derive(Clone)]
pub struct Pool {
    state: Rc<RefCell<PoolState>>,
    limit_bytes: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_limit(usize::MAX)
    }
}

impl Pool {
    /// Creates a pool whose grown buffers are to take `limit_bytes` at the most.
    pub fn with_limit(limit_bytes: usize) -> Self {
        Self { state: Rc::default(), limit_bytes }
    }

    /// Returns an empty buffer of the smallest size, which goes back to the pool when it is dropped.
    pub fn acquire(&self) -> Buffer {
        Buffer { bytes: self.take(0), start: 0, end: 0, pool: self.clone() }
    }

    /// Returns an empty buffer for bytes that are moved elsewhere as they are read: of the largest size if there is room for it, so
    /// that few reads are needed, or else of the smallest.
    pub fn acquire_for_body(&self) -> Buffer {
        let size = if self.has_room(BUFFER_BYTES, 1.0) { SIZES.len() - 1 } else { 0 };
        Buffer { bytes: self.take(size), start: 0, end: 0, pool: self.clone() }
    }

    /// Returns a block of the size with this index.
    fn take(&self, size: usize) -> Box<[u8]> {
        let mut state = self.state.borrow_mut();
        state.in_use_bytes += SIZES[size];
        state.grown_bytes += grown_bytes(SIZES[size]);
        match state.free[size].pop() {
            Some(bytes) => {
                state.free_bytes -= bytes.len();
                bytes
            }
            None => vec![0; SIZES[size]].into_boxed_slice(),
        }
    }

    /// Takes back a block.
    fn put_back(&self, bytes: Box<[u8]>) {
        let mut state = self.state.borrow_mut();
        state.in_use_bytes -= bytes.len();
        state.grown_bytes -= grown_bytes(bytes.len());
        if state.free_bytes + bytes.len() <= MAX_FREE_BYTES
            && let Some(size) = SIZES.iter().position(|size| *size == bytes.len())
        {
            state.free_bytes += bytes.len();
            state.free[size].push(bytes);
        }
    }

    /// Whether `additional_bytes` of grown buffers fit into this share of the limit (0 to 1).
    pub fn has_room(&self, additional_bytes: usize, share: f64) -> bool {
        (self.state.borrow().grown_bytes + additional_bytes) as f64 <= share * self.limit_bytes as f64
    }

    /// Returns the size of the buffers in use, in bytes.
    pub fn in_use_bytes(&self) -> usize {
        self.state.borrow().in_use_bytes
    }

    /// Returns how many bytes have been read from streams into the pool's buffers since the start.
    pub fn read_bytes(&self) -> u64 {
        self.state.borrow().read_bytes
    }

    /// Returns the memory of all buffers in bytes, including the free ones.
    pub fn allocated_bytes(&self) -> u64 {
        let state = self.state.borrow();
        (state.in_use_bytes + state.free_bytes) as u64
    }
}

/// The pools of a broker.
#[derive(Clone, Default)]
pub struct Pools {
    /// For what clients send, until their request is complete.
    pub clients: Pool,
    /// For what nodes and discovery send, until a message is complete.
    pub nodes: Pool,
    /// For frames that wait to be written to nodes.
    pub frames: Pool,
}

impl Pools {
    /// Returns how many bytes have been read from streams since the start.
    pub fn read_bytes(&self) -> u64 {
        self.clients.read_bytes() + self.nodes.read_bytes()
    }

    /// Returns the memory of all buffers in bytes, including the free ones.
    pub fn allocated_bytes(&self) -> u64 {
        [&self.clients, &self.nodes, &self.frames].map(Pool::allocated_bytes).iter().sum()
    }
}

/// Returns what counts towards a pool's limit of a buffer of this size.
fn grown_bytes(size: usize) -> usize {
    if size > SIZES[0] { size } else { 0 }
}

/// Returns by how many bytes the next read into `buffer` increases the grown buffers: none if the buffer has room or has the
/// largest size.
pub fn bytes_for_next_read(buffer: Option<&Buffer>) -> usize {
    match buffer {
        None => 0,
        Some(buffer) if buffer.end < buffer.bytes.len() || buffer.start > 0 => 0,
        Some(buffer) => buffer.next_size().map_or(0, |size| SIZES[size] - grown_bytes(buffer.bytes.len())),
    }
}

/// Returns by how many bytes the grown buffers increase if `count` bytes are appended to `buffer`.
pub fn bytes_to_append(buffer: Option<&Buffer>, count: usize) -> usize {
    let (end, allocated) = buffer.map_or((0, 0), |buffer| (buffer.end, buffer.bytes.len()));
    let needed = SIZES.iter().find(|size| **size >= end + count).unwrap_or(&BUFFER_BYTES);
    grown_bytes(*needed).saturating_sub(grown_bytes(allocated))
}

/// A buffer for bytes that were read or wait to be written, which grows as it fills; goes back to its pool when it is dropped.
pub struct Buffer {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
    pool: Pool,
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.put_back(std::mem::take(&mut self.bytes));
    }
}

impl Buffer {
    /// Returns the bytes that are not consumed yet.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Whether the buffer has no room for another byte.
    pub fn is_full(&self) -> bool {
        self.end - self.start == BUFFER_BYTES
    }

    /// Discards the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
        }
    }

    /// Returns what counts towards the pool's limit, in bytes.
    pub fn grown_bytes(&self) -> usize {
        grown_bytes(self.bytes.len())
    }

    /// Returns the memory of the buffer in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the index of the next size; `None` if the buffer has the largest one.
    fn next_size(&self) -> Option<usize> {
        SIZES.iter().position(|size| *size > self.bytes.len())
    }

    /// Replaces the buffer by one of the next size; `false` if it has the largest one.
    fn grow(&mut self) -> bool {
        let Some(size) = self.next_size() else { return false };
        let mut bytes = self.pool.take(size);
        let length = self.end - self.start;
        bytes[..length].copy_from_slice(&self.bytes[self.start..self.end]);
        self.pool.put_back(std::mem::replace(&mut self.bytes, bytes));
        (self.start, self.end) = (0, length);
        true
    }

    /// Appends as much of `bytes` as fits after the last byte; returns how many bytes were appended.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        while self.bytes.len() - self.end < bytes.len() && self.grow() {}
        let count = bytes.len().min(self.bytes.len() - self.end);
        self.bytes[self.end..self.end + count].copy_from_slice(&bytes[..count]);
        self.end += count;
        count
    }

    /// Removes the last `count` bytes.
    fn remove_last(&mut self, count: usize) {
        self.end -= count;
    }

    /// Reads from `stream` once, appends the bytes and returns their number. `Ok(0)` means the end of the stream,
    /// unless the buffer is full.
    pub fn read_from(&mut self, mut stream: impl Read) -> io::Result<usize> {
        if self.end == self.bytes.len() && (self.start > 0 || !self.grow()) {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        let count = stream.read(&mut self.bytes[self.end..])?;
        self.end += count;
        self.pool.state.borrow_mut().read_bytes += count as u64;
        Ok(count)
    }
}

#[cfg(test)]
mod tests;
