//! Reads from client connections, with a bounded number of reads per connection and turn.

use std::collections::VecDeque;
use std::io::{self, Read};
use std::net::TcpStream;

use super::{ArrivalTimes, ClientConnection, ClientEvent, Downstream, RequestPhase};
use crate::buffers::Buffer;
use crate::clock::{TimerEvent, Timers};
use crate::connection_end::ConnectionEnd;
use crate::read_turn::{MAX_READS_PER_TURN, UnfinishedConnection};

/// Maximum number of requests of one client that are parsed in a turn. A client may send many that are answered at once, and one
/// may cost much, so that the others have their turns in between.
pub(super) const MAX_REQUESTS_PER_TURN: usize = 1;
/// Delay before the next read from a client that has sent more than is read in one turn.
const RESUME_READING_SECONDS: f64 = 0.001;

/// Delay before the next read from a client for whose bytes there is no memory.
const AWAIT_MEMORY_SECONDS: f64 = 0.01;

/// Appends the bytes of one read to `input` and returns their number. Reads from the read-ahead buffers as long as
/// these contain bytes, and otherwise from the socket. The socket's bytes arrived at `received_at` at the earliest.
fn read(
    input: &mut Buffer,
    read_ahead: &mut VecDeque<Buffer>,
    arrivals: &mut ArrivalTimes,
    stream: &TcpStream,
    received_at: f64,
) -> io::Result<usize> {
    let Some(first) = read_ahead.front_mut() else {
        let count = input.read_from(stream)?;
        arrivals.record(count, received_at);
        return Ok(count);
    };
    let count = input.read_from(first.filled())?;
    first.consume(count);
    if first.is_empty() {
        read_ahead.pop_front();
    }
    Ok(count)
}

impl Downstream {
    /// Handles a readiness event of a client connection: writes what is queued, and notes whether there may be bytes to read.
    pub fn on_ready(&mut self, now: f64, id: usize, readable: bool, timers: &mut Timers) {
        let Some(client) = self.connections.get_mut(id) else { return };
        client.readable |= readable;
        client.begin_turn();
        if !client.output.is_empty() {
            self.write(now, id, timers);
        }
    }

    /// Handles a readiness event of a client whose turn comes later: writes what is queued, and notes that bytes may have
    /// arrived by now.
    pub fn on_deferred(&mut self, now: f64, id: usize, readable: bool, timers: &mut Timers) {
        let received_at = self.received_at(now);
        let Some(client) = self.connections.get_mut(id) else { return };
        if readable {
            client.readable = true;
            client.arrivals.mark_pending(received_at);
        }
        if !client.output.is_empty() {
            self.write(now, id, timers);
        }
    }

    /// Resumes reading from a client after the broker paused it.
    pub fn resume_reading(&mut self, id: usize) {
        if let Some(client) = self.connections.get_mut(id) {
            client.reading_paused = false;
            client.begin_turn();
            self.clients_to_read.push(id);
        }
    }

    /// Reads from a client until there is a request for the router, its disconnect, or nothing more to read for now.
    pub fn next_event(&mut self, now: f64, id: usize, timers: &mut Timers) -> ClientEvent {
        loop {
            if let Some(event) = self.decode(now, id, timers) {
                return self.after_decoding(now, id, event);
            }
            if !self.connections.contains(id) {
                return ClientEvent::Nothing;
            }
            if self.ends_turn(id) {
                return ClientEvent::Nothing;
            }
            self.pause_for_full_body(id);
            if !self.connections[id].may_be_read() {
                if self.connections[id].readable && !self.check_disconnected(now, id) {
                    self.schedule_resume_reading(now, id, timers);
                }
                return ClientEvent::Nothing;
            }
            let client = &mut self.connections[id];
            if client.reads_in_turn == MAX_READS_PER_TURN {
                client.reading_paused = true;
                client.release_empty_input();
                timers.schedule(now + RESUME_READING_SECONDS, TimerEvent::ClientResume(id));
                return ClientEvent::Nothing;
            }
            client.reads_in_turn += 1;
            if !self.make_room_for_read(id, timers) {
                self.connections[id].reading_paused = true;
                timers.schedule(now + AWAIT_MEMORY_SECONDS, TimerEvent::ClientResume(id));
                return ClientEvent::Nothing;
            }
            if let Some(connection_end) = self.read_once(now, id) {
                return ClientEvent::Disconnected(self.close(id, connection_end, timers));
            }
        }
    }

    /// Whether a client has had its turn; if it may have sent more, it gets another one in the next iteration.
    fn ends_turn(&self, id: usize) -> bool {
        let client = &self.connections[id];
        let is_over = client.has_had_turn() && (client.readable || client.has_unparsed());
        if is_over {
            self.unfinished_turns.add(UnfinishedConnection::Client(id));
        }
        is_over
    }

    /// Returns the event of a decoded request, or `Nothing` if its client has disconnected.
    fn after_decoding(&mut self, now: f64, id: usize, event: ClientEvent) -> ClientEvent {
        // The client may have closed the connection right after the request, and no further event would report that.
        if self.check_disconnected(now, id) {
            return ClientEvent::Nothing;
        }
        if self.connections.get(id).is_some_and(|client| client.readable) {
            self.clients_to_read.push(id);
        }
        self.cap_streamed_deadline(event)
    }

    /// Pauses a client whose streamed body has no room. Called before reading, so that the client occupies no read
    /// buffer while it waits for room in the body.
    fn pause_for_full_body(&mut self, id: usize) {
        let client = &mut self.connections[id];
        if let Some(streamed) = client.phase.streamed()
            && !streamed.body_complete
            && !client.reading_paused
            && streamed.body.is_full()
        {
            client.reading_paused = true;
            self.blocked_on_body.push(id);
        }
    }

    /// Reads from a client once; returns how the connection ended, if it did.
    fn read_once(&mut self, now: f64, id: usize) -> Option<ConnectionEnd> {
        let received_at = self.received_at(now);
        let client = &mut self.connections[id];
        let received = if client.phase.is_ending() {
            (&*client.stream).read(&mut self.discarded)
        } else {
            let is_body = matches!(
                client.phase.request(),
                Some(RequestPhase::ReadingBody(_) | RequestPhase::StreamingBody(_))
            );
            let acquire = || if is_body { self.pool.acquire_for_body() } else { self.pool.acquire() };
            let input = client.input.get_or_insert_with(acquire);
            read(input, &mut client.read_ahead, &mut client.arrivals, &client.stream, received_at)
        };
        match received {
            Ok(0) => return Some(ConnectionEnd::Closed),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                (client.readable, client.last_checked_at) = (false, now);
                client.arrivals.mark_drained();
                client.release_empty_input();
            }
            Err(e) => return Some(ConnectionEnd::from_io_error(&e)),
        }
        None
    }

    /// Schedules another read of a client that waits for a response: it may have sent more than was read ahead, and a
    /// disconnect may come after that.
    fn schedule_resume_reading(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let has_capacity = self.has_read_ahead_capacity();
        let client = &mut self.connections[id];
        if client.readable && !client.reading_paused && has_capacity {
            client.reading_paused = true;
            timers.schedule(now + RESUME_READING_SECONDS, TimerEvent::ClientResume(id));
        }
    }

    /// Limits the deadline of a streamed query in a shutdown to the time at which the last responses are due. A query that is
    /// not streamed keeps its deadline: the router rejects it if it would outlast the process.
    fn cap_streamed_deadline(&self, mut event: ClientEvent) -> ClientEvent {
        if let ClientEvent::StreamedQuery(request, _) = &mut event {
            request.deadline = request.deadline.min(self.shutdown_deadline);
        }
        event
    }

    /// Closes connections until the next read from a client has room among the read buffers. Returns `false` if there is none to
    /// close.
    fn make_room_for_read(&mut self, id: usize, timers: &mut Timers) -> bool {
        let client = &self.connections[id];
        if client.phase.is_ending() {
            return true;
        }
        let bytes = client.bytes_for_next_read();
        while bytes > 0 && !self.pool.has_room(bytes, 1.0) {
            if !self.evict_for_buffer(id, bytes, timers) {
                return false;
            }
        }
        true
    }

    /// Frees read buffers by closing a connection: of the connections that occupy buffers, except `except`, the one that has
    /// been sending its request for the longest time, of those that occupy `bytes` if there are any, or else one whose body
    /// waits for room. A connection that waits for its turn is left, as its request may be complete. Returns `false` if there is
    /// none.
    fn evict_for_buffer(&mut self, except: usize, bytes: usize, timers: &mut Timers) -> bool {
        let held = |id: &usize| self.connections[*id].buffer_bytes();
        let is_candidate = |id: &usize| *id != except && held(id) > 0 && !self.is_queued(*id);
        let others = || self.awaiting_request.values().copied().filter(is_candidate);
        let evicted = others().find(|id| held(id) >= bytes).or_else(|| others().next());
        let is_upload = |client: &ClientConnection| {
            client.phase.streamed().is_some_and(|streamed| streamed.query.is_none())
        };
        let mut uploads = self.connections.iter().filter(|(_, client)| is_upload(client)).map(|(id, _)| id);
        let Some(id) = evicted.or_else(|| uploads.find(is_candidate)) else {
            return false;
        };
        self.evicted_for_memory += 1;
        self.close(id, ConnectionEnd::OutOfMemory, timers);
        true
    }
}
