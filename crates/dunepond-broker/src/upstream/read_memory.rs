//! Bounds the memory for what nodes send, whatever number of them stops in the middle of a message.

use super::Upstream;
use crate::buffers::bytes_for_next_read;
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::read_turn::UnfinishedConnection;

/// Share of the buffers for nodes up to which further messages are begun. The rest is for those that have begun.
const BEGIN_RATIO: f64 = 0.5;

impl Upstream {
    /// Makes room for the next read from a connection. Returns `false` if the connection has to wait for that, which it does
    /// only before a message begins; the bytes then stay in the operating system.
    pub(super) fn make_room_for_read(&mut self, now: f64, id: usize, timers: &mut Timers) -> bool {
        let connection = &self.connections[id];
        let bytes = bytes_for_next_read(connection.input.as_ref());
        // A connection without an attempt is only checked for its end.
        if bytes == 0 || connection.outstanding.is_empty() {
            return true;
        }
        if connection.has_partial_message() {
            while !self.pools.nodes.has_room(bytes, 1.0) && self.close_longest_partial(now, id, timers) {}
            return true;
        }
        let may_begin = self.pools.nodes.has_room(bytes, BEGIN_RATIO);
        if !may_begin {
            self.connections[id].turn_unfinished = true;
            self.awaiting_memory.push_back(id);
        }
        may_begin
    }

    /// Closes the connection, other than `except`, that has waited the longest for the rest of a message; `false` if there is none.
    fn close_longest_partial(&mut self, now: f64, except: usize, timers: &mut Timers) -> bool {
        let others = self
            .connections
            .iter()
            .filter(|(id, connection)| *id != except && connection.has_partial_message());
        let longest = others.min_by_key(|(_, connection)| (connection.timer.is_none(), connection.timer));
        let Some((id, _)) = longest else { return false };
        self.evicted_for_memory += 1;
        self.close(now, id, ConnectionEnd::OutOfMemory, timers);
        true
    }

    /// Queues the connections that wait for memory to be read, if there is some.
    pub fn resume_awaiting_memory(&mut self) {
        if !self.awaiting_memory.is_empty()
            && self.pools.nodes.has_room(bytes_for_next_read(None), BEGIN_RATIO)
        {
            for id in std::mem::take(&mut self.awaiting_memory) {
                self.unfinished_turns.add(UnfinishedConnection::Upstream(id));
            }
        }
    }
}
