//! Detects disconnected clients, so that no further attempt is sent for them. The end of a client's stream may follow
//! requests that are not read yet. As no further readiness event reports the end then, the socket is checked before an
//! attempt is sent.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;

use dunepond_routing::QueryId;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::{Downstream, RequestPhase};
use crate::buffers::{Buffer, Pool, bytes_for_next_read};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::read_turn::MAX_READS_PER_TURN;

/// Maximum age of a client's last disconnect check when an attempt is sent for that client. An attempt must not begin
/// more than 0.1 s after the client has disconnected; half of that time is left for writing the attempt's frame.
const CHECK_VALID_SECONDS: f64 = 0.05;
/// Share of the read buffers up to which clients that wait for a response are read ahead; the rest is for new requests.
const READ_AHEAD_RATIO: f64 = 0.5;

impl Downstream {
    /// Returns whether a client has disconnected. Checks the socket again if the last check is `CHECK_VALID_SECONDS`
    /// old or if there may be bytes to read. `next_disconnected` closes the connection of a client found disconnected.
    pub fn check_disconnected(&mut self, now: f64, id: usize) -> bool {
        let Some(client) = self.connections.get_mut(id) else { return false };
        if client.disconnected.is_none()
            && (client.readable || now - client.last_checked_at >= CHECK_VALID_SECONDS)
        {
            client.last_checked_at = now;
            let connection_end = self.probe_disconnect(now, id);
            self.connections[id].disconnected = connection_end;
            self.disconnected_clients.extend(connection_end.map(|_| id));
        }
        self.connections[id].disconnected.is_some()
    }

    /// Whether the client had sent so much more, at its last check, that the end of its stream could not be seen. It may be gone,
    /// so that no further attempt is sent for it.
    pub fn hides_its_end(&self, id: usize) -> bool {
        self.connections.get(id).is_some_and(|client| client.hides_its_end)
    }

    /// Checks a client whose socket is readable for a disconnect, if it waits for a response.
    pub fn check_waiting_client(&mut self, now: f64, id: usize) {
        let Some(client) = self.connections.get_mut(id) else { return };
        let is_waiting = match client.phase.request() {
            Some(RequestPhase::StreamingBody(streamed)) => streamed.query.is_some(),
            phase => phase.is_some_and(RequestPhase::is_read_whole),
        };
        if is_waiting {
            client.readable = true;
            self.check_disconnected(now, id);
        }
    }

    /// Closes the connection of one disconnected client and returns its query in flight, if any; `None` if no
    /// disconnected client is left to be closed.
    pub fn next_disconnected(&mut self, timers: &mut Timers) -> Option<Option<QueryId>> {
        let id = self.disconnected_clients.pop()?;
        // The connection may be closed already, and its index reused.
        let connection_end = self.connections.get(id).and_then(|client| client.disconnected);
        Some(connection_end.and_then(|connection_end| self.close(id, connection_end, timers)))
    }

    /// Whether there are buffers for reading ahead what a client sends while it waits for a response. The end of its
    /// stream is seen only once all earlier bytes in the socket's receive buffer have been read.
    pub(super) fn has_read_ahead_capacity(&self) -> bool {
        self.pool.has_room(0, READ_AHEAD_RATIO)
    }

    /// Returns how a client's connection has ended; `None` if it is still open. Reads ahead what has arrived, as the
    /// end of the stream comes after it. If the client may not be read now, or there is no buffer, polls the socket for
    /// the peer's close instead.
    fn probe_disconnect(&mut self, now: f64, id: usize) -> Option<ConnectionEnd> {
        let received_at = self.received_at(now);
        let may_read_ahead = self.has_read_ahead_capacity();
        let client = &mut self.connections[id];
        client.hides_its_end = false;
        let is_uploading = client.phase.streamed().is_some_and(|streamed| !streamed.body_complete);
        let is_read_blocked = client.reading_paused || is_uploading || client.phase.is_ending();
        // An input buffer that exists is kept even if it is empty: parsing an empty body needs one.
        let had_input = client.input.is_some();
        for _ in 0..MAX_READS_PER_TURN {
            let last = client.read_ahead.back().or(client.input.as_ref());
            let bytes = bytes_for_next_read(last);
            if is_read_blocked || bytes > 0 && !self.pool.has_room(bytes, READ_AHEAD_RATIO) {
                break;
            }
            let buffer =
                buffer_to_fill(&mut client.input, &mut client.read_ahead, &self.pool, may_read_ahead);
            let Some(buffer) = buffer else { break };
            match buffer.read_from(&*client.stream) {
                Ok(0) => return Some(ConnectionEnd::Closed),
                Ok(count) => client.arrivals.record(count, received_at),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    client.readable = false;
                    client.arrivals.mark_drained();
                    if !had_input {
                        client.release_empty_input();
                    }
                    client.release_empty_read_ahead();
                    return None;
                }
                Err(e) => return Some(ConnectionEnd::from_io_error(&e)),
            }
        }
        client.release_empty_read_ahead();
        if peer_has_closed(&client.stream) {
            return Some(ConnectionEnd::Closed);
        }
        client.hides_its_end = !is_uploading && client.stream.peek(&mut [0]).is_ok();
        None
    }
}

/// Returns the buffer for the next read: the input buffer or, if it is full and reading ahead is allowed, a read-ahead
/// buffer; `None` if there is no buffer to read into.
fn buffer_to_fill<'a>(
    input: &'a mut Option<Buffer>,
    read_ahead: &'a mut VecDeque<Buffer>,
    pool: &Pool,
    may_read_ahead: bool,
) -> Option<&'a mut Buffer> {
    let input = input.get_or_insert_with(|| pool.acquire());
    if !input.is_full() && read_ahead.is_empty() {
        return Some(input);
    }
    if !may_read_ahead {
        return None;
    }
    if read_ahead.back().is_none_or(Buffer::is_full) {
        read_ahead.push_back(pool.acquire());
    }
    read_ahead.back_mut()
}

/// Whether the peer has closed the connection, even if bytes before the end of the stream are not read yet.
fn peer_has_closed(stream: &TcpStream) -> bool {
    let mut poll_fds = [PollFd::new(stream, PollFlags::RDHUP)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    let polled = poll(&mut poll_fds, Some(&no_wait));
    polled.is_ok_and(|count| count > 0)
        && poll_fds[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}
