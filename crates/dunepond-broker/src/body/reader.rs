//! Reads a streamed body for one of the frames that it is sent in.

use std::rc::Rc;

use bytes::Bytes;

use super::{BLOCK_BYTES, Body};

/// Reads a streamed body for one frame, from a read position of its own.
pub struct BodyReader {
    /// The body that is read.
    pub body: Rc<Body>,
    key: usize,
}

impl BodyReader {
    /// Creates a reader at the start of a body.
    pub fn new(body: &Rc<Body>) -> Self {
        let key = body.state.borrow_mut().readers.insert(0);
        Self { body: body.clone(), key }
    }

    /// Returns how many bytes this reader has consumed.
    pub fn offset(&self) -> u64 {
        self.body.state.borrow().readers[self.key]
    }

    /// Returns how many bytes this reader has not consumed.
    pub fn remaining(&self) -> u64 {
        self.body.length() - self.offset()
    }

    /// Appends to `chunks` up to `max_chunks` chunks that are in memory and can be written now. Appends none if the
    /// next block is not in memory; that block is then requested from the file that the body was spilled to.
    pub fn available_chunks(&self, max_chunks: usize, chunks: &mut Vec<Bytes>) {
        let mut state = self.body.state.borrow_mut();
        let offset = state.readers[self.key];
        let (mut number, mut skip) = (offset / BLOCK_BYTES as u64, (offset % BLOCK_BYTES as u64) as usize);
        for _ in 0..max_chunks {
            let Some(block) = state.block(number).filter(|block| skip < block.length) else { return };
            match &block.bytes {
                Some(bytes) => chunks.push(bytes.slice(skip..)),
                None => {
                    // Requests only the next block: reading ahead for one reader could evict a block that another
                    // reader needs.
                    if skip > 0 || number == offset / BLOCK_BYTES as u64 {
                        state.requested_blocks.insert(number);
                    }
                    return;
                }
            }
            (number, skip) = (number + 1, 0);
        }
    }

    /// Consumes `count` bytes, and frees the blocks that no reader needs any more.
    pub fn advance(&self, count: u64) {
        let mut state = self.body.state.borrow_mut();
        let from = state.readers[self.key] / BLOCK_BYTES as u64;
        state.readers[self.key] += count;
        let to = state.readers[self.key] / BLOCK_BYTES as u64;
        for number in from..to {
            state.release_block(number);
        }
        state.drop_consumed();
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        let mut state = self.body.state.borrow_mut();
        let offset = state.readers.remove(self.key);
        state.release_block(offset / BLOCK_BYTES as u64);
        state.drop_consumed();
    }
}
