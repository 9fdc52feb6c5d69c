//! Reads from client connections, a bounded number of reads per connection and turn.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;

use super::{ArrivalTimes, ClientConnection, ClientEvent, Downstream, RequestPhase};
use crate::buffers::Buffer;
use crate::clock::{TimerEvent, Timers};
use crate::connection_end::ConnectionEnd;

/// Reads from one client before all others have their turn: short against the 50 ms by which any time limit may be exceeded.
pub(super) const MAX_READS_PER_TURN: usize = 4;
/// How soon a client that keeps sending is read again.
const RESUME_READING_SECONDS: f64 = 0.001;

/// Appends one read to the input: from what was read ahead, as long as there is some, or else from the socket, whose bytes
/// arrived at `came` at the earliest.
fn read(
    input: &mut Buffer,
    ahead: &mut VecDeque<Buffer>,
    arrivals: &mut ArrivalTimes,
    stream: &TcpStream,
    came: f64,
) -> io::Result<usize> {
    let Some(first) = ahead.front_mut() else {
        let count = input.read_from(stream)?;
        arrivals.read(count, came);
        return Ok(count);
    };
    let count = input.read_from(first.held())?;
    first.consume(count);
    if first.is_empty() {
        ahead.pop_front();
    }
    Ok(count)
}

impl Downstream {
    /// A readiness event: writes what is queued; reading is left to its turn.
    pub fn ready(&mut self, now: f64, id: usize, readable: bool, timers: &mut Timers) {
        let Some(client) = self.connections.get_mut(id) else { return };
        client.readable |= readable;
        if !client.out.is_empty() {
            self.write(now, id, timers);
        }
    }

    /// A client that was paused may be read again.
    pub fn go_on(&mut self, id: usize) {
        if let Some(client) = self.connections.get_mut(id) {
            client.more = false;
            self.again.push(id);
        }
    }

    /// Reads until there is a query, or nothing more for now.
    pub fn next(&mut self, now: f64, id: usize, timers: &mut Timers) -> ClientEvent {
        let mut reads = 0;
        loop {
            if let Some(event) = self.decode(now, id, timers) {
                return self.after_decoding(now, id, event);
            }
            if !self.connections.contains(id) {
                return ClientEvent::Nothing;
            }
            self.pause_for_full_body(id);
            if !self.connections[id].may_be_read() {
                if self.connections[id].readable && !self.is_disconnected(now, id) {
                    self.schedule_resume_reading(now, id, timers);
                }
                return ClientEvent::Nothing;
            }
            if reads == MAX_READS_PER_TURN {
                self.connections[id].more = true;
                timers.schedule(now + RESUME_READING_SECONDS, TimerEvent::ClientResume(id));
                return ClientEvent::Nothing;
            }
            reads += 1;
            if self.connections[id].input.is_none() && self.pool.out() >= self.max_buffers {
                self.evict_for_buffer(id, timers);
            }
            if let Some(ending) = self.read_once(now, id) {
                return ClientEvent::Disconnected(self.end(id, ending, timers));
            }
        }
    }

    /// A request has been decoded: hands it on, unless its client has disconnected.
    fn after_decoding(&mut self, now: f64, id: usize, event: ClientEvent) -> ClientEvent {
        // The client may have closed right after the request, and no further event would report it.
        if self.is_disconnected(now, id) {
            return ClientEvent::Nothing;
        }
        if self.connections.get(id).is_some_and(|client| client.readable) {
            self.again.push(id);
        }
        self.in_time(event)
    }

    /// Pauses a client whose streamed body has no room. Before reading, so that no buffer is held while the body waits.
    fn pause_for_full_body(&mut self, id: usize) {
        let client = &mut self.connections[id];
        if let RequestPhase::StreamingBody(raw) = &client.phase
            && !raw.all
            && !client.more
            && raw.body.is_full()
        {
            client.more = true;
            self.blocked_on_body.push(id);
        }
    }

    /// Reads once; returns how the connection ended, if it did.
    fn read_once(&mut self, now: f64, id: usize) -> Option<ConnectionEnd> {
        let came = self.came(now);
        let client = &mut self.connections[id];
        let input = client.input.get_or_insert_with(|| self.pool.take());
        match read(input, &mut client.ahead, &mut client.arrivals, &client.stream, came) {
            Ok(0) => return Some(ConnectionEnd::Closed),
            Ok(_) if matches!(client.phase, RequestPhase::Lingering) => client.input = None,
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                (client.readable, client.seen) = (false, now);
                client.arrivals.drained();
                client.release_empty_input();
            }
            Err(e) => return Some(ConnectionEnd::of(&e)),
        }
        None
    }

    /// A waiting client may have sent more than was read ahead, and a disconnect may stand behind that.
    fn schedule_resume_reading(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let room = self.has_read_ahead_capacity();
        let client = &mut self.connections[id];
        if client.readable && !client.more && room {
            client.more = true;
            timers.schedule(now + RESUME_READING_SECONDS, TimerEvent::ClientResume(id));
        }
    }

    /// In a shutdown a streamed body has until the last responses are due. A query without one keeps its deadline: the
    /// router rejects it if it would outlast the process.
    fn in_time(&self, mut came: ClientEvent) -> ClientEvent {
        if let ClientEvent::StreamedQuery(asked, _) = &mut came {
            asked.deadline = asked.deadline.min(self.until);
        }
        came
    }

    /// Closes the client that has been sending a request the longest and holds a buffer for it.
    fn evict_for_buffer(&mut self, but: usize, timers: &mut Timers) {
        let holds =
            |c: &ClientConnection| c.input.is_some() || matches!(c.phase, RequestPhase::ReadingBody(_));
        let held =
            self.awaiting_request.values().copied().find(|id| *id != but && holds(&self.connections[*id]));
        held.map(|id| self.end(id, ConnectionEnd::IoTimeout, timers));
    }
}
