//! Read positions in a body.

use std::rc::Rc;

use bytes::Bytes;

use super::{BLOCK_BYTES, Body};

/// The read position of one frame in a body.
pub struct BodyReader {
    /// The body that it reads.
    pub body: Rc<Body>,
    key: usize,
}

impl BodyReader {
    /// A reader at the start of a body.
    pub fn new(body: &Rc<Body>) -> Self {
        let key = body.state.borrow_mut().readers.insert(0);
        Self { body: body.clone(), key }
    }

    /// How many bytes it has consumed.
    pub fn offset(&self) -> u64 {
        self.body.state.borrow().readers[self.key]
    }

    /// How many bytes are left.
    pub fn remaining(&self) -> u64 {
        self.body.length() - self.offset()
    }

    /// Appends up to `most` blocks to `into` that can be written now; none where the next one is not in memory.
    pub fn available_chunks(&self, most: usize, into: &mut Vec<Bytes>) {
        let mut state = self.body.state.borrow_mut();
        let place = state.readers[self.key];
        let (mut number, mut skip) = (place / BLOCK_BYTES as u64, (place % BLOCK_BYTES as u64) as usize);
        for _ in 0..most {
            let Some(block) = state.block(number).filter(|block| skip < block.length) else { return };
            match &block.bytes {
                Some(bytes) => into.push(bytes.slice(skip..)),
                None => {
                    // Only the next block: reading ahead for one reader could evict the block of another.
                    if skip > 0 || number == place / BLOCK_BYTES as u64 {
                        state.requested_blocks.insert(number);
                    }
                    return;
                }
            }
            (number, skip) = (number + 1, 0);
        }
    }

    /// Consumes `count` bytes.
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
        let place = state.readers.remove(self.key);
        state.release_block(place / BLOCK_BYTES as u64);
        state.drop_consumed();
    }
}
