//! Bounds the memory for what nodes send, whatever number of them stops in the middle of a message.

use super::{NodeConnection, Upstream};
use crate::buffers::{Buffer, FIRST_GROWN_BYTES, bytes_for_next_read, bytes_to_append};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::read_turn::UnfinishedConnection;

/// Share of the grown buffers for nodes up to which further buffers grow. The rest is for those that have grown.
const FIRST_GROWTH_RATIO: f64 = 0.5;

impl NodeConnection {
    /// Returns by how many bytes the grown buffers increase with the next read: the input buffer, and that of the response's body
    /// into which its bytes are moved.
    fn bytes_for_next_read(&self) -> usize {
        let input_bytes = bytes_for_next_read(self.input.as_ref());
        if !self.responses.has_partial_response() {
            return input_bytes;
        }
        let moved = input_bytes.max(self.input.as_ref().map_or(0, Buffer::allocated_bytes));
        input_bytes + bytes_to_append(self.responses.body(), moved)
    }

    /// Whether the connection has a buffer that has grown.
    fn has_grown_buffer(&self) -> bool {
        self.input.iter().chain(self.responses.body()).any(|buffer| buffer.grown_bytes() > 0)
    }
}

impl Upstream {
    /// Makes room for the next read from a connection. Returns `false` if the connection has to wait for that, which it does
    /// only before a buffer of its own has grown; the bytes then stay in the operating system.
    pub(super) fn make_room_for_read(&mut self, now: f64, id: usize, timers: &mut Timers) -> bool {
        let connection = &self.connections[id];
        let bytes = connection.bytes_for_next_read();
        if bytes == 0 {
            return true;
        }
        if connection.has_grown_buffer() {
            while !self.pools.nodes.has_room(bytes, 1.0) && self.close_longest_partial(now, id, timers) {}
            return true;
        }
        let may_grow = self.pools.nodes.has_room(bytes, FIRST_GROWTH_RATIO);
        if !may_grow {
            self.connections[id].turn_unfinished = true;
            self.awaiting_memory.push_back(id);
        }
        may_grow
    }

    /// Closes the connection, other than `except`, that has a grown buffer and has waited the longest for the rest of a message;
    /// `false` if there is none.
    fn close_longest_partial(&mut self, now: f64, except: usize, timers: &mut Timers) -> bool {
        let others =
            self.connections.iter().filter(|(id, connection)| *id != except && connection.has_grown_buffer());
        let longest = others.min_by_key(|(_, connection)| (connection.timer.is_none(), connection.timer));
        let Some((id, _)) = longest else { return false };
        self.evicted_for_memory += 1;
        self.close(now, id, ConnectionEnd::OutOfMemory, timers);
        true
    }

    /// Queues the connections that wait for memory to be read, if there is some.
    pub fn resume_awaiting_memory(&mut self) {
        if !self.awaiting_memory.is_empty()
            && self.pools.nodes.has_room(FIRST_GROWN_BYTES, FIRST_GROWTH_RATIO)
        {
            for id in std::mem::take(&mut self.awaiting_memory) {
                self.unfinished_turns.add(UnfinishedConnection::Upstream(id));
            }
        }
    }
}
