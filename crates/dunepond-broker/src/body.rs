//! The bytes of one request body as blocks that all its readers share: in memory, spilled to a file, or passed through.
//! Where a body goes is decided elsewhere (`body_store`); this holds what has arrived, and drops what no reader needs.

mod payload;
mod reader;

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use dunepond_body_buffer::{BodyId, FallbackReason};
use slab::Slab;

pub use payload::Payload;
pub use reader::BodyReader;

/// Bytes that are read, written and dropped together.
pub const BLOCK_BYTES: usize = 64 * 1024;

/// A block in memory, in the file, or both.
#[derive(Default)]
struct Block {
    bytes: Option<Bytes>,
    /// Handed to the disk threads.
    submitted: bool,
    /// Written to the file.
    on_file: bool,
    length: usize,
}

struct BodyState {
    length: Option<u64>,
    stated: bool,
    /// How much memory it may use while it arrives; `None` where all of it may stay in memory.
    limit: Option<u64>,
    arrived: u64,
    whole: bool,
    /// The blocks from number `first` on; earlier ones have been dropped.
    blocks: VecDeque<Block>,
    first: u64,
    tail: BytesMut,
    /// The offset of each reader.
    readers: Slab<u64>,
    /// Blocks are dropped once all readers have consumed them.
    pass_through: bool,
    /// No further reader comes; before that nothing is dropped.
    begun: bool,
    /// Blocks that a reader waits for and that are only in the file.
    wanted: BTreeSet<u64>,
    /// Blocks in the file that are in memory as well, or are being read into it, the oldest first.
    loaned: VecDeque<u64>,
    /// Those that are being read.
    loading: BTreeSet<u64>,
    lost: Option<FallbackReason>,
}

/// Collects the ids of dropped bodies.
pub type Dropped = Rc<RefCell<Vec<BodyId>>>;

/// A request body; it lives as long as its client sends it or an attempt may need it.
pub struct Body {
    /// Its number in the body store.
    pub id: BodyId,
    inner: RefCell<BodyState>,
    dropped: Dropped,
}

impl Drop for Body {
    fn drop(&mut self) {
        self.dropped.borrow_mut().push(self.id);
    }
}

impl Body {
    /// An empty body. `length` is the declared one; `limit` bounds its memory in bytes.
    pub fn new(id: BodyId, length: Option<u64>, limit: Option<u64>, dropped: &Dropped) -> Rc<Self> {
        let inner = BodyState {
            length,
            stated: length.is_some(),
            limit,
            arrived: 0,
            whole: false,
            blocks: VecDeque::new(),
            first: 0,
            tail: BytesMut::new(),
            readers: Slab::new(),
            pass_through: false,
            begun: false,
            wanted: BTreeSet::new(),
            loaned: VecDeque::new(),
            loading: BTreeSet::new(),
            lost: None,
        };
        Rc::new(Self { id, inner: RefCell::new(inner), dropped: dropped.clone() })
    }

    /// Its length; what has arrived so far if no length was declared.
    pub fn length(&self) -> u64 {
        let inner = self.inner.borrow();
        inner.length.unwrap_or(inner.arrived)
    }

    /// How many bytes have arrived.
    pub fn arrived(&self) -> u64 {
        self.inner.borrow().arrived
    }

    /// Whether all of it has arrived.
    pub fn is_whole(&self) -> bool {
        self.inner.borrow().whole
    }

    /// Whether its length was declared before it arrived.
    pub fn has_known_length(&self) -> bool {
        self.inner.borrow().stated
    }

    /// Bounds its memory, in bytes.
    pub fn limit(&self, limit: u64) {
        self.inner.borrow_mut().limit = Some(limit);
    }

    /// Whether no more may be received before some of its memory is free.
    pub fn is_full(&self) -> bool {
        let limit = self.inner.borrow().limit;
        limit.is_some_and(|limit| self.in_memory() + BLOCK_BYTES as u64 > limit)
    }

    /// From now on blocks are dropped once all readers have consumed them.
    pub fn pass(&self) {
        self.inner.borrow_mut().pass_through = true;
    }

    /// Whether blocks are dropped once all readers have consumed them.
    pub fn is_pass_through(&self) -> bool {
        self.inner.borrow().pass_through
    }

    /// No further reader comes: a pass-through body may drop what its readers have consumed.
    pub fn begin(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.begun = true;
        inner.trim();
    }

    /// How many bytes of it are in memory.
    pub fn in_memory(&self) -> u64 {
        let inner = self.inner.borrow();
        let blocks = inner.blocks.iter().filter_map(|b| b.bytes.as_ref());
        (blocks.map(Bytes::len).sum::<usize>() + inner.tail.len()) as u64
    }

    /// How many bytes of it are only in memory.
    pub fn unwritten_bytes(&self) -> u64 {
        let inner = self.inner.borrow();
        let blocks = inner.blocks.iter().filter(|b| !b.on_file).filter_map(|b| b.bytes.as_ref());
        (blocks.map(Bytes::len).sum::<usize>() + inner.tail.len()) as u64
    }

    /// Appends bytes that have arrived.
    pub fn put(&self, mut bytes: &[u8]) {
        let mut inner = self.inner.borrow_mut();
        inner.arrived += bytes.len() as u64;
        while !bytes.is_empty() {
            if inner.tail.capacity() == 0 {
                let left =
                    inner.length.map_or(BLOCK_BYTES as u64, |length| length - inner.arrived.min(length));
                let room = (left as usize + bytes.len()).min(BLOCK_BYTES);
                inner.tail = BytesMut::with_capacity(room);
            }
            let count = bytes.len().min(BLOCK_BYTES - inner.tail.len());
            inner.tail.extend_from_slice(&bytes[..count]);
            bytes = &bytes[count..];
            if inner.tail.len() == BLOCK_BYTES {
                inner.seal();
            }
        }
        inner.trim();
    }

    /// All of it has arrived.
    pub fn end(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.seal();
        inner.whole = true;
        inner.length = Some(inner.arrived);
        inner.trim();
    }

    /// It cannot be read any more.
    pub fn lose(&self, reason: FallbackReason) {
        self.inner.borrow_mut().lost = Some(reason);
    }

    /// Why it cannot be read any more, if so.
    pub fn lost(&self) -> Option<FallbackReason> {
        self.inner.borrow().lost
    }

    /// The next block to be written to its file, with its offset there.
    pub fn next_write(&self) -> Option<(u64, Bytes)> {
        let mut inner = self.inner.borrow_mut();
        let first = inner.first;
        let (at, block) =
            inner.blocks.iter_mut().enumerate().find(|(_, b)| !b.submitted && b.bytes.is_some())?;
        block.submitted = true;
        Some(((first + at as u64) * BLOCK_BYTES as u64, block.bytes.clone()?))
    }

    /// The block at this offset could not be handed to the disk threads.
    pub fn give_back(&self, at: u64) {
        if let Some(block) = self.inner.borrow_mut().block(at / BLOCK_BYTES as u64) {
            block.submitted = false;
        }
    }

    /// No block is being written any more: those handed over and not written count as not handed over.
    pub fn take_back(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.blocks.iter_mut().for_each(|b| b.submitted = b.on_file);
    }

    /// The block at this offset is in the file; its memory is freed unless a reader is inside it.
    pub fn wrote(&self, at: u64) {
        let mut inner = self.inner.borrow_mut();
        let number = at / BLOCK_BYTES as u64;
        let busy = inner.readers.iter().any(|(_, place)| place / BLOCK_BYTES as u64 == number);
        if busy {
            inner.loaned.push_back(number);
        }
        if let Some(block) = inner.block(number) {
            block.on_file = true;
            if !busy {
                block.bytes = None;
            }
        }
    }

    /// Whether all that has arrived is in the file.
    pub fn is_on_disk(&self) -> bool {
        let inner = self.inner.borrow();
        inner.tail.is_empty() && inner.blocks.iter().all(|b| b.on_file)
    }

    /// Blocks to be read from the file now, as offset and length; `most` bounds how many may be in memory as well.
    pub fn next_reads(&self, most: usize) -> Vec<(u64, usize)> {
        let mut inner = self.inner.borrow_mut();
        let mut reads = Vec::new();
        for number in std::mem::take(&mut inner.wanted) {
            let block = number.checked_sub(inner.first).and_then(|at| inner.blocks.get(at as usize));
            let there = block.is_none_or(|b| !b.on_file || b.bytes.is_some());
            if there || inner.loading.contains(&number) {
                continue;
            }
            // Evicts the oldest: a reader that still needs it requests it again.
            while inner.loaned.len() >= most.max(1) {
                let Some(at) = inner.loaned.iter().position(|loaned| !inner.loading.contains(loaned)) else {
                    break;
                };
                let oldest = inner.loaned.remove(at).unwrap_or_default();
                if let Some(block) = inner.block(oldest).filter(|b| b.on_file) {
                    block.bytes = None;
                }
            }
            if inner.loaned.len() >= most.max(1) {
                inner.wanted.insert(number);
                continue;
            }
            inner.loaned.push_back(number);
            inner.loading.insert(number);
            let length = inner.block(number).map_or(0, |b| b.length);
            reads.push((number * BLOCK_BYTES as u64, length));
        }
        reads
    }

    /// Whether a reader waits for a block that is only in the file.
    pub fn has_pending_reads(&self) -> bool {
        !self.inner.borrow().wanted.is_empty()
    }

    /// The block at this offset has been read from the file.
    pub fn read(&self, at: u64, bytes: Bytes) {
        let mut inner = self.inner.borrow_mut();
        let number = at / BLOCK_BYTES as u64;
        inner.loading.remove(&number);
        let loaned = inner.loaned.contains(&number);
        if let Some(block) = inner.block(number).filter(|_| loaned) {
            block.bytes = Some(bytes);
        }
        // The reader that requested it may be gone.
        inner.leave(number);
    }
}

impl BodyState {
    fn block(&mut self, number: u64) -> Option<&mut Block> {
        number.checked_sub(self.first).and_then(|at| self.blocks.get_mut(at as usize))
    }

    /// Makes a block of the bytes that arrived last.
    fn seal(&mut self) {
        if !self.tail.is_empty() {
            let bytes = std::mem::take(&mut self.tail).freeze();
            self.blocks.push_back(Block { length: bytes.len(), bytes: Some(bytes), ..Block::default() });
        }
    }

    /// A reader has left a block: if it is in the file and no reader is inside it, its memory is freed.
    fn leave(&mut self, number: u64) {
        if !self.readers.iter().any(|(_, place)| place / BLOCK_BYTES as u64 == number)
            && !self.loading.contains(&number)
            && let Some(at) = self.loaned.iter().position(|loaned| *loaned == number)
        {
            self.loaned.remove(at);
            if let Some(block) = self.block(number).filter(|b| b.on_file) {
                block.bytes = None;
            }
        }
    }

    /// Drops the blocks that all readers of a pass-through body have consumed.
    fn trim(&mut self) {
        if !self.pass_through || !self.begun {
            return;
        }
        let arrived = self.arrived - self.tail.len() as u64;
        let through = self.readers.iter().map(|(_, place)| *place).min().unwrap_or(arrived);
        while !self.blocks.is_empty()
            && (self.first * BLOCK_BYTES as u64 + self.blocks[0].length as u64) <= through
        {
            self.blocks.pop_front();
            self.first += 1;
        }
    }
}

#[cfg(test)]
mod tests;
