//! The bytes of one request body as a chain of blocks that all its readers share: in memory, spilled to a file, or passing through.
//! Where a body goes is decided elsewhere (`body_store`); this holds what has come, lends it out and drops what nobody needs.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use dunepond_body_buffer::{BodyId, Reason};
use slab::Slab;

/// Bytes that are read, written and let go of together.
pub const BLOCK_BYTES: usize = 64 * 1024;

#[derive(Default)]
struct Block {
    bytes: Option<Bytes>,
    /// Handed to the files tier, and written there.
    submitted: bool,
    on_file: bool,
    length: usize,
}

struct BodyState {
    length: Option<u64>,
    stated: bool,
    /// What it may take of the memory while it comes in; none where all of it may stay there.
    limit: Option<u64>,
    arrived: u64,
    whole: bool,
    /// Block number `first` stands first; what came before has been let go of.
    blocks: VecDeque<Block>,
    first: u64,
    tail: BytesMut,
    /// Where each frame stands in it.
    readers: Slab<u64>,
    /// A body that passes lets go of what all its readers are through with.
    pass_through: bool,
    /// It has been read once at least: before, what is there waits for its readers.
    begun: bool,
    /// Blocks that a reader waits for and that are in the file only.
    wanted: BTreeSet<u64>,
    /// Read back and lent out, the oldest first; and what of it is still being read.
    loaned: VecDeque<u64>,
    loading: BTreeSet<u64>,
    lost: Option<Reason>,
}

/// Where the numbers of bodies go that nobody holds any more.
pub type Dropped = Rc<RefCell<Vec<BodyId>>>;

pub struct Body {
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

    /// How long it is; what has come of it where that is not known ahead.
    pub fn length(&self) -> u64 {
        let inner = self.inner.borrow();
        inner.length.unwrap_or(inner.arrived)
    }

    pub fn arrived(&self) -> u64 {
        self.inner.borrow().arrived
    }

    pub fn is_whole(&self) -> bool {
        self.inner.borrow().whole
    }

    /// Its length was stated ahead.
    pub fn has_known_length(&self) -> bool {
        self.inner.borrow().stated
    }

    pub fn limit(&self, limit: u64) {
        self.inner.borrow_mut().limit = Some(limit);
    }

    /// No more may come in before something of it has gone on.
    pub fn is_full(&self) -> bool {
        let limit = self.inner.borrow().limit;
        limit.is_some_and(|limit| self.in_memory() + BLOCK_BYTES as u64 > limit)
    }

    pub fn pass(&self) {
        self.inner.borrow_mut().pass_through = true;
    }

    pub fn is_pass_through(&self) -> bool {
        self.inner.borrow().pass_through
    }

    /// Its readers are all there that it will have.
    pub fn begin(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.begun = true;
        inner.trim();
    }

    /// What it takes of the memory.
    pub fn in_memory(&self) -> u64 {
        let inner = self.inner.borrow();
        let blocks = inner.blocks.iter().filter_map(|b| b.bytes.as_ref());
        (blocks.map(Bytes::len).sum::<usize>() + inner.tail.len()) as u64
    }

    /// What has come and is neither in a file nor let go of.
    pub fn unwritten_bytes(&self) -> u64 {
        let inner = self.inner.borrow();
        let blocks = inner.blocks.iter().filter(|b| !b.on_file).filter_map(|b| b.bytes.as_ref());
        (blocks.map(Bytes::len).sum::<usize>() + inner.tail.len()) as u64
    }

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

    /// All of it has come.
    pub fn end(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.seal();
        inner.whole = true;
        inner.length = Some(inner.arrived);
        inner.trim();
    }

    /// Why it cannot be read any more.
    pub fn lose(&self, reason: Reason) {
        self.inner.borrow_mut().lost = Some(reason);
    }

    pub fn lost(&self) -> Option<Reason> {
        self.inner.borrow().lost
    }

    /// The next block to be written to its file, with its place there.
    pub fn next_write(&self) -> Option<(u64, Bytes)> {
        let mut inner = self.inner.borrow_mut();
        let first = inner.first;
        let (at, block) =
            inner.blocks.iter_mut().enumerate().find(|(_, b)| !b.submitted && b.bytes.is_some())?;
        block.submitted = true;
        Some(((first + at as u64) * BLOCK_BYTES as u64, block.bytes.clone()?))
    }

    /// A block could not be handed over.
    pub fn give_back(&self, at: u64) {
        if let Some(block) = self.inner.borrow_mut().block(at / BLOCK_BYTES as u64) {
            block.submitted = false;
        }
    }

    /// Nothing is being written any more: what was handed over and not written is to be written again, if at all.
    pub fn take_back(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.blocks.iter_mut().for_each(|b| b.submitted = b.on_file);
    }

    /// A block is in the file; its memory goes unless somebody is reading there.
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

    /// All that has come is in the file.
    pub fn is_on_disk(&self) -> bool {
        let inner = self.inner.borrow();
        inner.tail.is_empty() && inner.blocks.iter().all(|b| b.on_file)
    }

    /// Blocks to be read back now, with place and length; so many at most may be lent out.
    pub fn next_reads(&self, most: usize) -> Vec<(u64, usize)> {
        let mut inner = self.inner.borrow_mut();
        let mut reads = Vec::new();
        for number in std::mem::take(&mut inner.wanted) {
            let block = number.checked_sub(inner.first).and_then(|at| inner.blocks.get(at as usize));
            let there = block.is_none_or(|b| !b.on_file || b.bytes.is_some());
            if there || inner.loading.contains(&number) {
                continue;
            }
            // The oldest that is there makes room: who still needs it asks for it again.
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

    pub fn has_pending_reads(&self) -> bool {
        !self.inner.borrow().wanted.is_empty()
    }

    pub fn read(&self, at: u64, bytes: Bytes) {
        let mut inner = self.inner.borrow_mut();
        let number = at / BLOCK_BYTES as u64;
        inner.loading.remove(&number);
        let loaned = inner.loaned.contains(&number);
        if let Some(block) = inner.block(number).filter(|_| loaned) {
            block.bytes = Some(bytes);
        }
        // Whoever asked for it may have gone meanwhile.
        inner.leave(number);
    }
}

impl BodyState {
    fn block(&mut self, number: u64) -> Option<&mut Block> {
        number.checked_sub(self.first).and_then(|at| self.blocks.get_mut(at as usize))
    }

    fn seal(&mut self) {
        if !self.tail.is_empty() {
            let bytes = std::mem::take(&mut self.tail).freeze();
            self.blocks.push_back(Block { length: bytes.len(), bytes: Some(bytes), ..Block::default() });
        }
    }

    /// Lets go of what no reader will come to, where no new one may come.
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

/// What each part of a query carries.
#[derive(Clone)]
pub enum Payload {
    Inline(Rc<str>),
    Streamed(Rc<Body>),
    /// No attempt can need it any more.
    Released,
}

impl Payload {
    pub fn length(&self) -> u64 {
        match self {
            Self::Inline(text) => text.len() as u64,
            Self::Streamed(body) => body.length(),
            Self::Released => 0,
        }
    }

    pub fn body(&self) -> Option<&Rc<Body>> {
        if let Self::Streamed(body) = self { Some(body) } else { None }
    }
}

/// One frame's way through a body. What is left of it goes when the frame does.
pub struct BodyReader {
    pub body: Rc<Body>,
    key: usize,
}

impl BodyReader {
    pub fn new(body: &Rc<Body>) -> Self {
        let key = body.inner.borrow_mut().readers.insert(0);
        Self { body: body.clone(), key }
    }

    pub fn place(&self) -> u64 {
        self.body.inner.borrow().readers[self.key]
    }

    pub fn left(&self) -> u64 {
        self.body.length() - self.place()
    }

    /// What can be written now, so many pieces at most; none where it has to come first.
    pub fn pieces(&self, most: usize, into: &mut Vec<Bytes>) {
        let mut inner = self.body.inner.borrow_mut();
        let place = inner.readers[self.key];
        let (mut number, mut skip) = (place / BLOCK_BYTES as u64, (place % BLOCK_BYTES as u64) as usize);
        for _ in 0..most {
            let Some(block) = inner.block(number).filter(|block| skip < block.length) else { return };
            match &block.bytes {
                Some(bytes) => into.push(bytes.slice(skip..)),
                None => {
                    // Only the next one: what would be read ahead for one could push out another's.
                    if skip > 0 || number == place / BLOCK_BYTES as u64 {
                        inner.wanted.insert(number);
                    }
                    return;
                }
            }
            (number, skip) = (number + 1, 0);
        }
    }

    pub fn advance(&self, count: u64) {
        let mut inner = self.body.inner.borrow_mut();
        let from = inner.readers[self.key] / BLOCK_BYTES as u64;
        inner.readers[self.key] += count;
        let to = inner.readers[self.key] / BLOCK_BYTES as u64;
        for number in from..to {
            inner.leave(number);
        }
        inner.trim();
    }
}

impl BodyState {
    /// A reader is through with a block; lent out from a file, it need not be there any longer.
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
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        let mut inner = self.body.inner.borrow_mut();
        let place = inner.readers.remove(self.key);
        inner.leave(place / BLOCK_BYTES as u64);
        inner.trim();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn body(length: usize) -> (Rc<Body>, Vec<u8>, Dropped) {
        let dropped = Dropped::default();
        let bytes: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
        (Body::new(7, Some(length as u64), None, &dropped), bytes, dropped)
    }

    /// Reads on as far as it goes, and what it got.
    fn drain(reader: &BodyReader) -> Vec<u8> {
        let mut got = Vec::new();
        loop {
            let mut pieces = Vec::new();
            reader.pieces(2, &mut pieces);
            if pieces.is_empty() {
                return got;
            }
            for piece in pieces {
                got.extend_from_slice(&piece);
                reader.advance(piece.len() as u64);
            }
        }
    }

    #[test]
    fn what_is_kept_is_read_as_often_as_asked_and_gone_with_its_last_holder() {
        let (body, bytes, dropped) = body(3 * BLOCK_BYTES + 5);
        bytes.chunks(10_000).for_each(|piece| body.put(piece));
        body.end();
        for _ in 0..2 {
            let reader = BodyReader::new(&body);
            assert!(drain(&reader) == bytes);
            assert_eq!(reader.left(), 0);
        }
        assert_eq!(body.in_memory(), bytes.len() as u64);
        let reader = BodyReader::new(&body);
        drop(body);
        assert!(dropped.borrow().is_empty());
        drop(reader);
        assert_eq!(*dropped.borrow(), [7]);
    }

    #[test]
    fn what_passes_is_let_go_of_once_the_slowest_is_through() {
        let (body, bytes, _) = body(4 * BLOCK_BYTES);
        body.pass();
        let (quick, slow) = (BodyReader::new(&body), BodyReader::new(&body));
        body.begin();
        body.put(&bytes[..2 * BLOCK_BYTES]);
        assert!(drain(&quick) == bytes[..2 * BLOCK_BYTES]);
        assert_eq!((body.in_memory(), slow.place()), (2 * BLOCK_BYTES as u64, 0));
        slow.advance(BLOCK_BYTES as u64);
        assert_eq!(body.in_memory(), BLOCK_BYTES as u64);
        drop(slow);
        assert_eq!(body.in_memory(), 0);
        body.put(&bytes[2 * BLOCK_BYTES..]);
        body.end();
        assert!(drain(&quick) == bytes[2 * BLOCK_BYTES..]);
        assert_eq!(body.in_memory(), 0);
    }

    #[test]
    fn what_nobody_reads_any_more_is_thrown_away_as_it_comes() {
        let (body, bytes, _) = body(4 * BLOCK_BYTES);
        body.pass();
        body.begin();
        body.put(&bytes);
        assert_eq!(body.in_memory(), 0);
    }

    #[test]
    fn what_is_in_a_file_is_read_back_a_few_blocks_at_a_time() {
        let (body, bytes, _) = body(3 * BLOCK_BYTES);
        body.put(&bytes);
        body.end();
        while let Some((at, _)) = body.next_write() {
            body.wrote(at);
        }
        assert!(body.is_on_disk());
        assert_eq!(body.in_memory(), 0);
        let reader = BodyReader::new(&body);
        let mut got = Vec::new();
        while reader.left() > 0 {
            got.extend(drain(&reader));
            for (at, length) in body.next_reads(1) {
                assert!(body.in_memory() <= BLOCK_BYTES as u64);
                let from = at as usize;
                body.read(at, Bytes::copy_from_slice(&bytes[from..from + length]));
            }
        }
        assert!(got == bytes);
        assert_eq!(body.in_memory(), 0);
    }

    #[test]
    fn two_readers_far_apart_take_turns_with_one_block() {
        let (body, bytes, _) = body(3 * BLOCK_BYTES);
        body.put(&bytes);
        body.end();
        while let Some((at, _)) = body.next_write() {
            body.wrote(at);
        }
        let (ahead, behind) = (BodyReader::new(&body), BodyReader::new(&body));
        ahead.advance(2 * BLOCK_BYTES as u64);
        let (mut one, mut other) = (Vec::new(), Vec::new());
        for _ in 0..20 {
            one.extend(drain(&ahead));
            other.extend(drain(&behind));
            for (at, length) in body.next_reads(1) {
                let from = at as usize;
                body.read(at, Bytes::copy_from_slice(&bytes[from..from + length]));
            }
        }
        assert!(one == bytes[2 * BLOCK_BYTES..] && other == bytes);
    }

    #[test]
    fn a_block_that_was_not_written_is_still_there_to_be_passed_on() {
        let (body, bytes, _) = body(2 * BLOCK_BYTES);
        body.put(&bytes);
        body.end();
        let (at, _) = body.next_write().unwrap();
        body.wrote(at);
        body.next_write().unwrap();
        body.take_back();
        assert_eq!((body.unwritten_bytes(), body.is_on_disk()), (BLOCK_BYTES as u64, false));
        assert_eq!(body.next_write().unwrap().0, BLOCK_BYTES as u64);
    }
}
