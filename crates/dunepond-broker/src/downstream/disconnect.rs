//! Detects disconnected clients, for which nothing more is sent. The end of a connection may stand behind requests that nobody has read yet,
//! and no readiness event tells of it again.

use std::io;
use std::net::TcpStream;

use dunepond_routing::QueryId;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::read::MAX_READS_PER_TURN;
use super::{Downstream, RequestPhase};
use crate::buffers::Buffer;
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;

/// How old a look at its connection may be when something is sent on for a client. By the fleet's page an attempt "that
/// begins more than 0.1 s after the close is a break"; half of that is left for its frame to be written.
const CHECK_VALID_SECONDS: f64 = 0.05;

impl Downstream {
    /// Whether it has gone, by a look that is not old and since which nothing was told of it. `next_disconnected` names it
    /// then.
    pub fn is_disconnected(&mut self, now: f64, id: usize) -> bool {
        let Some(client) = self.connections.get_mut(id) else { return false };
        if client.disconnected.is_none() && (client.readable || now - client.seen >= CHECK_VALID_SECONDS) {
            client.seen = now;
            let ending = self.look(now, id);
            self.connections[id].disconnected = ending;
            self.disconnected.extend(ending.map(|_| id));
        }
        self.connections[id].disconnected.is_some()
    }

    /// Something is to be read: of who waits for an answer that may be its end.
    pub fn check_while_waiting(&mut self, now: f64, id: usize) {
        let Some(client) = self.connections.get_mut(id) else { return };
        let waits = match &client.phase {
            RequestPhase::StreamingBody(raw) => raw.query.is_some(),
            phase => matches!(phase, RequestPhase::AwaitingAdmission | RequestPhase::InFlight(_)),
        };
        if waits {
            client.readable = true;
            self.is_disconnected(now, id);
        }
    }

    /// Lets go of one that has disconnected; names the query that was held for it.
    pub fn next_disconnected(&mut self, timers: &mut Timers) -> Option<Option<QueryId>> {
        let id = self.disconnected.pop()?;
        // It may have gone already, and its id to another.
        let ending = self.connections.get(id).and_then(|client| client.disconnected);
        Some(ending.and_then(|ending| self.end(id, ending, timers)))
    }

    /// Whether what a client sends while it waits may be read ahead: its end stands behind all of that, and where it
    /// is more than the system holds for it, reaches us only once we have read on. Half of the buffers are kept for
    /// those that ask.
    pub(super) fn has_read_ahead_capacity(&self) -> bool {
        2 * self.pool.out() < self.max_buffers
    }

    /// Reads ahead what has come, as its end stands behind that. Where this may not be read yet, or there is no room
    /// for it, the system is asked.
    fn look(&mut self, now: f64, id: usize) -> Option<ConnectionEnd> {
        let came = self.came(now);
        let (room, ahead_room) = (self.pool.out() < self.max_buffers, self.has_read_ahead_capacity());
        let client = &mut self.connections[id];
        let paced = client.more || matches!(&client.phase, RequestPhase::StreamingBody(raw) if !raw.all);
        // A body of no length is taken out of a buffer that is there and holds nothing.
        let had = client.input.is_some();
        for _ in 0..MAX_READS_PER_TURN {
            if paced || client.input.is_none() && !room {
                break;
            }
            let input = client.input.get_or_insert_with(|| self.pool.take());
            let behind = input.is_full() || !client.ahead.is_empty();
            if behind && !ahead_room {
                break;
            }
            if behind && client.ahead.back().is_none_or(Buffer::is_full) {
                client.ahead.push_back(self.pool.take());
            }
            let last = if behind { client.ahead.back_mut() } else { None };
            match last.unwrap_or(input).read_from(&*client.stream) {
                Ok(0) => return Some(ConnectionEnd::Closed),
                Ok(count) => client.arrivals.read(count, came),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    client.readable = false;
                    client.arrivals.drained();
                    if !had && client.input.as_ref().is_some_and(Buffer::is_empty) {
                        client.input = None;
                    }
                    if client.ahead.back().is_some_and(Buffer::is_empty) {
                        client.ahead.pop_back();
                    }
                    return None;
                }
                Err(e) => return Some(ConnectionEnd::of(&e)),
            }
        }
        if client.ahead.back().is_some_and(Buffer::is_empty) {
            client.ahead.pop_back();
        }
        peer_has_closed(&client.stream).then_some(ConnectionEnd::Closed)
    }
}

/// Whether the peer has closed, be there what there may in front of that.
fn peer_has_closed(stream: &TcpStream) -> bool {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let told = poll(&mut asked, Some(&at_once));
    told.is_ok_and(|count| count > 0)
        && asked[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}
