//! The bytes of one request body, in blocks that all its readers share: in memory, spilled to a file, or passed
//! through (sent on to nodes as they arrive). `body_store` decides where a body is kept; this module holds the bytes
//! that have arrived and drops those that no reader needs any more.

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

/// Length of a block, which is read, written and dropped as a whole. Only the last block of a body may be shorter.
pub const BLOCK_BYTES: usize = 64 * 1024;

/// A block of a body, which is in memory, in the file, or both.
#[derive(Default)]
struct Block {
    /// The block's bytes; `None` if they are not in memory.
    bytes: Option<Bytes>,
    /// Whether the block has been handed to the disk threads to be written.
    submitted: bool,
    /// Whether the block is in the file.
    on_file: bool,
    length: usize,
}

/// The mutable state of a body.
struct BodyState {
    /// Length of the body in bytes, once it is known.
    length: Option<u64>,
    /// Whether the length was declared before the body arrived.
    length_declared: bool,
    /// How many bytes of memory the body may use while it arrives; `None` if all of it may stay in memory.
    memory_limit: Option<u64>,
    received_bytes: u64,
    is_complete: bool,
    /// The blocks from number `first_block` on. Earlier blocks have been dropped.
    blocks: VecDeque<Block>,
    first_block: u64,
    /// The most recent bytes of the body, which do not fill a block yet.
    tail: BytesMut,
    /// Offset of each reader in the body, in bytes.
    readers: Slab<u64>,
    /// Whether blocks are dropped once all readers have consumed them.
    pass_through: bool,
    /// Whether all readers of the body are attached. Until then no block is dropped, as a reader still to come needs
    /// it.
    all_readers_attached: bool,
    /// Numbers of the blocks that a reader waits for and that are only in the file.
    requested_blocks: BTreeSet<u64>,
    /// Numbers of the blocks in the file that are also in memory or are being read into it, the oldest first.
    cached_blocks: VecDeque<u64>,
    /// Numbers of the blocks that are being read from the file.
    loading_blocks: BTreeSet<u64>,
    /// Why the body cannot be read any more; `None` while it can.
    loss: Option<FallbackReason>,
}

/// Collects the ids of bodies that were dropped, until the body store releases their resources.
pub type DroppedBodies = Rc<RefCell<Vec<BodyId>>>;

/// A request body. It exists while its client sends it or an attempt may need it.
pub struct Body {
    /// The body's id in the body store.
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
    /// Creates an empty body. `length` is the declared length; `memory_limit` limits the body's memory, in bytes. The
    /// id is added to `dropped` when the body is dropped.
    pub fn new(
        id: BodyId,
        length: Option<u64>,
        memory_limit: Option<u64>,
        dropped: &DroppedBodies,
    ) -> Rc<Self> {
        let state = BodyState {
            length,
            length_declared: length.is_some(),
            memory_limit,
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

    /// Returns the length of the body in bytes; until the length is known, the number of bytes that have arrived.
    pub fn length(&self) -> u64 {
        let state = self.state.borrow();
        state.length.unwrap_or(state.received_bytes)
    }

    /// Returns how many bytes have arrived.
    pub fn received_bytes(&self) -> u64 {
        self.state.borrow().received_bytes
    }

    /// Returns whether the whole body has arrived.
    pub fn is_complete(&self) -> bool {
        self.state.borrow().is_complete
    }

    /// Returns whether the length was declared before the body arrived.
    pub fn has_known_length(&self) -> bool {
        self.state.borrow().length_declared
    }

    /// Limits the body's memory, in bytes.
    pub fn set_memory_limit(&self, limit: u64) {
        self.state.borrow_mut().memory_limit = Some(limit);
    }

    /// Returns whether some of the body's memory has to be freed before more bytes of the body may be received.
    pub fn is_full(&self) -> bool {
        let limit = self.state.borrow().memory_limit;
        limit.is_some_and(|limit| self.memory_bytes() + BLOCK_BYTES as u64 > limit)
    }

    /// Makes the body pass through: from now on blocks are dropped once all readers have consumed them.
    pub fn set_pass_through(&self) {
        self.state.borrow_mut().pass_through = true;
    }

    /// Returns whether blocks are dropped once all readers have consumed them.
    pub fn is_pass_through(&self) -> bool {
        self.state.borrow().pass_through
    }

    /// States that all readers are attached, so that a pass-through body may drop what they have consumed.
    pub fn set_all_readers_attached(&self) {
        let mut state = self.state.borrow_mut();
        state.all_readers_attached = true;
        state.drop_consumed();
    }

    /// Returns how many bytes of the body are in memory.
    pub fn memory_bytes(&self) -> u64 {
        let state = self.state.borrow();
        let blocks = state.blocks.iter().filter_map(|b| b.bytes.as_ref());
        (blocks.map(Bytes::len).sum::<usize>() + state.tail.len()) as u64
    }

    /// Returns how many bytes of the body are only in memory.
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
                let remaining = state
                    .length
                    .map_or(BLOCK_BYTES as u64, |length| length - state.received_bytes.min(length));
                let capacity = (remaining as usize + bytes.len()).min(BLOCK_BYTES);
                state.tail = BytesMut::with_capacity(capacity);
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

    /// Marks the body as completely received.
    pub fn finish(&self) {
        let mut state = self.state.borrow_mut();
        state.seal_tail();
        state.is_complete = true;
        state.length = Some(state.received_bytes);
        state.drop_consumed();
    }

    /// Marks the body as lost: it cannot be read any more, for the given reason.
    pub fn mark_lost(&self, reason: FallbackReason) {
        self.state.borrow_mut().loss = Some(reason);
    }

    /// Returns why the body cannot be read any more; `None` if it can.
    pub fn loss(&self) -> Option<FallbackReason> {
        self.state.borrow().loss
    }

    /// Returns the next block to be written to the file, with its offset, and marks it as handed to the disk threads.
    pub fn next_write(&self) -> Option<(u64, Bytes)> {
        let mut state = self.state.borrow_mut();
        let first = state.first_block;
        let (index, block) =
            state.blocks.iter_mut().enumerate().find(|(_, b)| !b.submitted && b.bytes.is_some())?;
        block.submitted = true;
        Some(((first + index as u64) * BLOCK_BYTES as u64, block.bytes.clone()?))
    }

    /// Undoes `next_write` for the block at `offset`, which could not be handed to the disk threads.
    pub fn unsubmit_block(&self, offset: u64) {
        if let Some(block) = self.state.borrow_mut().block(offset / BLOCK_BYTES as u64) {
            block.submitted = false;
        }
    }

    /// Marks the blocks that are not in the file as not handed to the disk threads. Called after a disk fault, when
    /// none of the body's writes is pending any more.
    pub fn unsubmit_unwritten(&self) {
        let mut state = self.state.borrow_mut();
        state.blocks.iter_mut().for_each(|b| b.submitted = b.on_file);
    }

    /// Records that the block at `offset` is in the file. Its memory is freed unless a reader is inside the block.
    pub fn on_block_written(&self, offset: u64) {
        let mut state = self.state.borrow_mut();
        let number = offset / BLOCK_BYTES as u64;
        let is_being_read = state.readers.iter().any(|(_, reader)| reader / BLOCK_BYTES as u64 == number);
        if is_being_read {
            state.cached_blocks.push_back(number);
        }
        if let Some(block) = state.block(number) {
            block.on_file = true;
            if !is_being_read {
                block.bytes = None;
            }
        }
    }

    /// Returns whether all bytes of the body that have arrived are in the file.
    pub fn is_on_disk(&self) -> bool {
        let state = self.state.borrow();
        state.tail.is_empty() && state.blocks.iter().all(|b| b.on_file)
    }

    /// Returns the blocks to be read from the file now, as offset and length. Their number is limited, so that at most
    /// `max_cached` blocks (at least one) of the file are also in memory.
    pub fn next_reads(&self, max_cached: usize) -> Vec<(u64, usize)> {
        let mut state = self.state.borrow_mut();
        let mut reads = Vec::new();
        for number in std::mem::take(&mut state.requested_blocks) {
            let block =
                number.checked_sub(state.first_block).and_then(|index| state.blocks.get(index as usize));
            let is_available = block.is_none_or(|b| !b.on_file || b.bytes.is_some());
            if is_available || state.loading_blocks.contains(&number) {
                continue;
            }
            // Evicts the oldest block. A reader that still needs it requests it again.
            while state.cached_blocks.len() >= max_cached.max(1) {
                let Some(position) =
                    state.cached_blocks.iter().position(|cached| !state.loading_blocks.contains(cached))
                else {
                    break;
                };
                let oldest = state.cached_blocks.remove(position).unwrap_or_default();
                if let Some(block) = state.block(oldest).filter(|b| b.on_file) {
                    block.bytes = None;
                }
            }
            if state.cached_blocks.len() >= max_cached.max(1) {
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

    /// Returns whether a reader waits for a block that is only in the file.
    pub fn has_pending_reads(&self) -> bool {
        !self.state.borrow().requested_blocks.is_empty()
    }

    /// Records that the block at `offset` has been read from the file.
    pub fn on_block_read(&self, offset: u64, bytes: Bytes) {
        let mut state = self.state.borrow_mut();
        let number = offset / BLOCK_BYTES as u64;
        state.loading_blocks.remove(&number);
        let is_cached = state.cached_blocks.contains(&number);
        if let Some(block) = state.block(number).filter(|_| is_cached) {
            block.bytes = Some(bytes);
        }
        // Frees the block again if the reader that requested it is gone.
        state.release_block(number);
    }
}

impl BodyState {
    /// Returns the block with this number; `None` if it has been dropped or has not arrived.
    fn block(&mut self, number: u64) -> Option<&mut Block> {
        number.checked_sub(self.first_block).and_then(|index| self.blocks.get_mut(index as usize))
    }

    /// Makes a block of the bytes in `tail`, if there are any.
    fn seal_tail(&mut self) {
        if !self.tail.is_empty() {
            let bytes = std::mem::take(&mut self.tail).freeze();
            self.blocks.push_back(Block { length: bytes.len(), bytes: Some(bytes), ..Block::default() });
        }
    }

    /// Frees the memory of a block that a reader has left, if the block is in the file and no reader is inside it.
    fn release_block(&mut self, number: u64) {
        if !self.readers.iter().any(|(_, offset)| offset / BLOCK_BYTES as u64 == number)
            && !self.loading_blocks.contains(&number)
            && let Some(position) = self.cached_blocks.iter().position(|cached| *cached == number)
        {
            self.cached_blocks.remove(position);
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
        let consumed = self.readers.iter().map(|(_, offset)| *offset).min().unwrap_or(arrived);
        while !self.blocks.is_empty()
            && (self.first_block * BLOCK_BYTES as u64 + self.blocks[0].length as u64) <= consumed
        {
            self.blocks.pop_front();
            self.first_block += 1;
        }
    }
}

#[cfg(test)]
mod tests;
