//! Bounds how much is read from one connection before the other connections and the timers have their turn.
//!
//! Readiness events are edge-triggered, so a connection has to be read until nothing is left. As long as a peer sends
//! faster than the broker reads, that never happens. A turn therefore ends after a number of reads, and the connection
//! is queued for another turn in the next iteration of the event loop.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Read};
use std::rc::Rc;

use crate::buffers::Buffer;
use crate::iteration::LoopEvent;

/// Maximum number of reads from one connection in a turn: keeps a turn short compared with the 50 ms by which any time
/// limit may be exceeded.
pub const MAX_READS_PER_TURN: usize = 4;

/// The result of one read.
#[derive(Debug, PartialEq)]
pub enum Received {
    /// Bytes were appended to the buffer.
    Bytes,
    /// Nothing is left to read for now.
    Drained,
    /// The peer has closed its side of the connection.
    End,
    /// The turn is over, and bytes may be left.
    TurnOver,
}

/// The reads from one connection in one turn.
#[derive(Default)]
pub struct ReadTurn {
    reads: usize,
}

impl ReadTurn {
    /// Appends the bytes of one read from `stream` to `input`, unless the turn is over.
    ///
    /// Fails with the stream's error.
    pub fn read(&mut self, input: &mut Buffer, mut stream: impl Read) -> io::Result<Received> {
        while self.reads < MAX_READS_PER_TURN {
            self.reads += 1;
            match input.read_from(&mut stream) {
                Ok(0) => return Ok(Received::End),
                Ok(_) => return Ok(Received::Bytes),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Received::Drained),
                Err(e) => return Err(e),
            }
        }
        Ok(Received::TurnOver)
    }
}

/// A connection, or a request on one, whose turn has ended before all its bytes or searches were handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnfinishedConnection {
    /// The client connection with this index.
    Client(usize),
    /// The connection to a node with this index.
    Upstream(usize),
    /// The prefilter connection with this index.
    Prefilter(usize),
    /// The connections to the discovery agent.
    Discovery,
    /// The search API request with this id, whose searches are not all registered.
    SearchRequest(u64),
}

/// The connections that are queued for another turn.
#[derive(Default)]
struct TurnQueue {
    /// The connections in the order in which they get their turns.
    order: VecDeque<UnfinishedConnection>,
    /// The same connections, to look them up.
    queued: BTreeSet<UnfinishedConnection>,
}

/// The connections that get another turn without a further readiness event, the one that has waited the longest first; clones
/// share them.
#[derive(Clone, Default)]
pub struct UnfinishedTurns(Rc<RefCell<TurnQueue>>);

impl UnfinishedTurns {
    /// Queues a connection for another turn; does nothing if it is queued already.
    pub fn add(&self, connection: UnfinishedConnection) {
        let mut queue = self.0.borrow_mut();
        if queue.queued.insert(connection) {
            queue.order.push_back(connection);
        }
    }

    /// Whether no connection is queued.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().order.is_empty()
    }

    /// Returns the number of queued connections.
    pub fn len(&self) -> usize {
        self.0.borrow().order.len()
    }

    /// Whether a connection is queued.
    pub fn contains(&self, connection: UnfinishedConnection) -> bool {
        self.0.borrow().queued.contains(&connection)
    }

    /// Removes the connection whose turn is next, and returns the event that gives it this turn.
    pub fn pop(&self) -> Option<LoopEvent> {
        let mut queue = self.0.borrow_mut();
        let connection = queue.order.pop_front()?;
        queue.queued.remove(&connection);
        Some(match connection {
            UnfinishedConnection::Client(id) => LoopEvent::ClientReady(id, true),
            UnfinishedConnection::Upstream(id) => LoopEvent::UpstreamReady(id, true),
            UnfinishedConnection::Prefilter(id) => LoopEvent::PrefilterReady(id, true),
            UnfinishedConnection::Discovery => LoopEvent::DiscoveryReady(true),
            UnfinishedConnection::SearchRequest(id) => LoopEvent::SearchesPending(id),
        })
    }
}

#[cfg(test)]
mod tests;
