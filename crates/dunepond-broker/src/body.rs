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
    length_declared: bool,
    /// How much memory it may use while it arrives; `None` where all of it may stay in memory.
    memory_limit: Option<u64>,
    received_bytes: u64,
    is_complete: bool,
    /// The blocks from number `first` on; earlier ones have been dropped.
    blocks: VecDeque<Block>,
    first_block: u64,
    tail: BytesMut,
    /// The offset of each reader.
    readers: Slab<u64>,
    /// Blocks are dropped once all readers have consumed them.
    pass_through: bool,
    /// No further reader comes; before that nothing is dropped.
    all_readers_attached: bool,
    /// Blocks that a reader waits for and that are only in the file.
    requested_blocks: BTreeSet<u64>,
    /// Blocks in the file that are in memory as well, or are being read into it, the oldest first.
    cached_blocks: VecDeque<u64>,
    /// Those that are being read.
    loading_blocks: BTreeSet<u64>,
    loss: Option<FallbackReason>,
}

/// Collects the ids of dropped bodies.
pub type DroppedBodies = Rc<RefCell<Vec<BodyId>>>;

/// A request body; it lives as long as its client sends it or an attempt may need it.
pub struct Body {
    /// Its number in the body store.
    pub id: BodyId,
    state: RefCell<BodyState>,
    dropped: DroppedBodies,
}

impl Drop for Body {
    fn drop(&mut self) {
        self.dropped.borrow_mut().push(self.id);
    }
}

impl Body {
    /// An empty body. `length` is the declared one; `limit` bounds its memory in bytes.
    pub fn new(id: BodyId, length: Option<u64>, limit: Option<u64>, dropped: &DroppedBodies) -> Rc<Self> {
        let state = BodyState {
            length,
            length_declared: length.is_some(),
            memory_limit: limit,
            received_bytes: 0,
            is_complete: false,
            blocks: VecDeque::new(),
            first_block: 0,
            tail: BytesMut::new(),
            readers: Slab::new(),
            pass_through: false,
            all_readers_attached: false,
            requested_blocks: BTreeSet::new(),
            cached_blocks: VecDeque::new(),
            loading_blocks: BTreeSet::new(),
            loss: None,
        };
        Rc::new(Self { id, state: RefCell::new(state), dropped: dropped.clone() })
    }

    /// Its length; what has arrived so far if no length was declared.
    pub fn length(&self) -> u64 {
        let state = self.state.borrow();
        state.length.unwrap_or(state.received_bytes)
    }

    /// How many bytes have arrived.
    pub fn received_bytes(&self) -> u64 {
        self.state.borrow().received_bytes
    }

    /// Whether all of it has arrived.
    pub fn is_complete(&self) -> bool {
        self.state.borrow().is_complete
    }

    /// Whether its length was declared before it arrived.
    pub fn has_known_length(&self) -> bool {
        self.state.borrow().length_declared
    }

    /// Bounds its memory, in bytes.
    pub fn set_memory_limit(&self, limit: u64) {
        self.state.borrow_mut().memory_limit = Some(limit);
    }

    /// Whether no more may be received before some of its memory is free.
    pub fn is_full(&self) -> bool {
        let limit = self.state.borrow().memory_limit;
        limit.is_some_and(|limit| self.memory_bytes() + BLOCK_BYTES as u64 > limit)
    }

    /// From now on blocks are dropped once all readers have consumed them.
    pub fn set_pass_through(&self) {
        self.state.borrow_mut().pass_through = true;
    }

    /// Whether blocks are dropped once all readers have consumed them.
    pub fn is_pass_through(&self) -> bool {
        self.state.borrow().pass_through
    }

    /// No further reader comes: a pass-through body may drop what its readers have consumed.
    pub fn set_all_readers_attached(&self) {
        let mut state = self.state.borrow_mut();
        state.all_readers_attached = true;
        state.drop_consumed();
    }

    /// How many bytes of it are in memory.
    pub fn memory_bytes(&self) -> u64 {
        let state = self.state.borrow();
        let blocks = state.blocks.iter().filter_map(|b| b.bytes.as_ref());
        (blocks.map(Bytes::len).sum::<usize>() + state.tail.len()) as u64
    }

    /// How many bytes of it are only in memory.
    pub fn unwritten_bytes(&self) -> u64 {
        let state = self.state.borrow();
        let blocks = state.blocks.iter().filter(|b| !b.on_file).filter_map(|b| b.bytes.as_ref());
        (blocks.map(Bytes::len).sum::<usize>() + state.tail.len()) as u64
    }

    /// Appends bytes that have arrived.
    pub fn append(&self, mut bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        state.received_bytes += bytes.len() as u64;
        while !bytes.is_empty() {
            if state.tail.capacity() == 0 {
                let left = state
                    .length
                    .map_or(BLOCK_BYTES as u64, |length| length - state.received_bytes.min(length));
                let room = (left as usize + bytes.len()).min(BLOCK_BYTES);
                state.tail = BytesMut::with_capacity(room);
            }
            let count = bytes.len().min(BLOCK_BYTES - state.tail.len());
            state.tail.extend_from_slice(&bytes[..count]);
            bytes = &bytes[count..];
            if state.tail.len() == BLOCK_BYTES {
                state.seal_tail();
            }
        }
        state.drop_consumed();
    }

    /// All of it has arrived.
    pub fn finish(&self) {
        let mut state = self.state.borrow_mut();
        state.seal_tail();
        state.is_complete = true;
        state.length = Some(state.received_bytes);
        state.drop_consumed();
    }

    /// It cannot be read any more.
    pub fn mark_lost(&self, reason: FallbackReason) {
        self.state.borrow_mut().loss = Some(reason);
    }

    /// Why it cannot be read any more, if so.
    pub fn loss(&self) -> Option<FallbackReason> {
        self.state.borrow().loss
    }

    /// The next block to be written to its file, with its offset there.
    pub fn next_write(&self) -> Option<(u64, Bytes)> {
        let mut state = self.state.borrow_mut();
        let first = state.first_block;
        let (at, block) =
            state.blocks.iter_mut().enumerate().find(|(_, b)| !b.submitted && b.bytes.is_some())?;
        block.submitted = true;
        Some(((first + at as u64) * BLOCK_BYTES as u64, block.bytes.clone()?))
    }

    /// The block at this offset could not be handed to the disk threads.
    pub fn unsubmit_block(&self, at: u64) {
        if let Some(block) = self.state.borrow_mut().block(at / BLOCK_BYTES as u64) {
            block.submitted = false;
        }
    }

    /// No block is being written any more: those handed over and not written count as not handed over.
    pub fn unsubmit_unwritten(&self) {
        let mut state = self.state.borrow_mut();
        state.blocks.iter_mut().for_each(|b| b.submitted = b.on_file);
    }

    /// The block at this offset is in the file; its memory is freed unless a reader is inside it.
    pub fn on_block_written(&self, at: u64) {
        let mut state = self.state.borrow_mut();
        let number = at / BLOCK_BYTES as u64;
        let busy = state.readers.iter().any(|(_, place)| place / BLOCK_BYTES as u64 == number);
        if busy {
            state.cached_blocks.push_back(number);
        }
        if let Some(block) = state.block(number) {
            block.on_file = true;
            if !busy {
                block.bytes = None;
            }
        }
    }

    /// Whether all that has arrived is in the file.
    pub fn is_on_disk(&self) -> bool {
        let state = self.state.borrow();
        state.tail.is_empty() && state.blocks.iter().all(|b| b.on_file)
    }

    /// Blocks to be read from the file now, as offset and length; `most` bounds how many may be in memory as well.
    pub fn next_reads(&self, most: usize) -> Vec<(u64, usize)> {
        let mut state = self.state.borrow_mut();
        let mut reads = Vec::new();
        for number in std::mem::take(&mut state.requested_blocks) {
            let block = number.checked_sub(state.first_block).and_then(|at| state.blocks.get(at as usize));
            let there = block.is_none_or(|b| !b.on_file || b.bytes.is_some());
            if there || state.loading_blocks.contains(&number) {
                continue;
            }
            // Evicts the oldest: a reader that still needs it requests it again.
            while state.cached_blocks.len() >= most.max(1) {
                let Some(at) =
                    state.cached_blocks.iter().position(|cached| !state.loading_blocks.contains(cached))
                else {
                    break;
                };
                let oldest = state.cached_blocks.remove(at).unwrap_or_default();
                if let Some(block) = state.block(oldest).filter(|b| b.on_file) {
                    block.bytes = None;
                }
            }
            if state.cached_blocks.len() >= most.max(1) {
                state.requested_blocks.insert(number);
                continue;
            }
            state.cached_blocks.push_back(number);
            state.loading_blocks.insert(number);
            let length = state.block(number).map_or(0, |b| b.length);
            reads.push((number * BLOCK_BYTES as u64, length));
        }
        reads
    }

    /// Whether a reader waits for a block that is only in the file.
    pub fn has_pending_reads(&self) -> bool {
        !self.state.borrow().requested_blocks.is_empty()
    }

    /// The block at this offset has been read from the file.
    pub fn on_block_read(&self, at: u64, bytes: Bytes) {
        let mut state = self.state.borrow_mut();
        let number = at / BLOCK_BYTES as u64;
        state.loading_blocks.remove(&number);
        let is_cached = state.cached_blocks.contains(&number);
        if let Some(block) = state.block(number).filter(|_| is_cached) {
            block.bytes = Some(bytes);
        }
        // The reader that requested it may be gone.
        state.release_block(number);
    }
}

impl BodyState {
    fn block(&mut self, number: u64) -> Option<&mut Block> {
        number.checked_sub(self.first_block).and_then(|at| self.blocks.get_mut(at as usize))
    }

    /// Makes a block of the bytes that arrived last.
    fn seal_tail(&mut self) {
        if !self.tail.is_empty() {
            let bytes = std::mem::take(&mut self.tail).freeze();
            self.blocks.push_back(Block { length: bytes.len(), bytes: Some(bytes), ..Block::default() });
        }
    }

    /// A reader has left a block: if it is in the file and no reader is inside it, its memory is freed.
    fn release_block(&mut self, number: u64) {
        if !self.readers.iter().any(|(_, place)| place / BLOCK_BYTES as u64 == number)
            && !self.loading_blocks.contains(&number)
            && let Some(at) = self.cached_blocks.iter().position(|cached| *cached == number)
        {
            self.cached_blocks.remove(at);
            if let Some(block) = self.block(number).filter(|b| b.on_file) {
                block.bytes = None;
            }
        }
    }

    /// Drops the blocks that all readers of a pass-through body have consumed.
    fn drop_consumed(&mut self) {
        if !self.pass_through || !self.all_readers_attached {
            return;
        }
        let arrived = self.received_bytes - self.tail.len() as u64;
        let through = self.readers.iter().map(|(_, place)| *place).min().unwrap_or(arrived);
        while !self.blocks.is_empty()
            && (self.first_block * BLOCK_BYTES as u64 + self.blocks[0].length as u64) <= through
        {
            self.blocks.pop_front();
            self.first_block += 1;
        }
    }
}

#[cfg(test)]
mod tests;
