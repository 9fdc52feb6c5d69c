//! Closes connections whose client is not waiting for a response: idle and evicted connections, and those open in a
//! shutdown.
//!
//! Bytes may arrive between any check and the close that follows it, and closing a socket with unread bytes resets the
//! connection, which loses the part of the last response that is still in transit. So the socket is read once more
//! right before the close, and a request found there is served. Otherwise the write side is shut down and the client's
//! close is awaited (a lingering close): bytes that still arrive are discarded, and a client that has sent a request in
//! them sees the end of the stream without a response and retries elsewhere.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsRawFd;

use super::accept::{LISTEN_BACKLOG, MAX_ACCEPTS_PER_ITERATION};
use super::phase::{EndingPhase, LastRequest};
use super::timeouts::REQUEST_TIMEOUT_SECONDS;
use super::{ClientConnection, Downstream};
use crate::buffers::bytes_for_next_read;
use crate::clock::{TimerKey, Timers};
use crate::connection_end::ConnectionEnd;
use crate::iteration::Port;
use crate::read_turn::UnfinishedConnection;

/// A connection whose request is still incomplete this long after its request timer has started is evicted before idle
/// connections, whose clients have sent a request before. Several round trips long, so that a new client is not evicted
/// before its first request has arrived.
const EVICTABLE_AFTER_SECONDS: f64 = 0.25;
/// Maximum number of connections that are read to find one to evict, which bounds the time for that.
pub(super) const MAX_EVICTION_READS: usize = 16;
/// How long a client may take to close its side after the broker has shut down its own side and the client has received
/// all of its last response: several round trips.
const LINGER_SECONDS: f64 = 1.0;
/// How long a lingering connection may stay open after the last responses of a shutdown are due: the 50 ms by which any
/// time limit may be exceeded, well before the process is killed.
const SHUTDOWN_LINGER_SECONDS: f64 = 0.05;

/// The outcome of the last read before a close.
pub(super) enum FinalRead {
    /// Bytes have arrived; the connection is queued to be read.
    ReceivedData,
    /// Nothing has arrived.
    NoData,
    /// The connection had already ended; the value tells how.
    Disconnected(ConnectionEnd),
}

/// Whether the socket's send buffer contains bytes that the peer has not acknowledged; `false` if the operating system
/// cannot tell.
pub(super) fn has_unacknowledged(stream: &TcpStream) -> bool {
    let mut count: libc::c_int = 0;
    // SAFETY: the descriptor is open as long as the stream is borrowed, and the call writes a single integer.
    unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &mut count) == 0 && count > 0 }
}

impl Downstream {
    /// Accepts the connections in the backlogs, then closes the listeners. If accepting has to be paused before that,
    /// for example at the maximum number of connections, closes nothing and returns `false`: closing a listener resets
    /// the connections in its backlog. Accepts no more than a backlog holds, so that clients which go on to connect do not
    /// hold up the shutdown; their connections are reset.
    pub fn close_listeners(&mut self, now: f64, timers: &mut Timers) -> bool {
        self.resume_accepting();
        for port in Port::ALL {
            // Linux queues one connection more than the backlog that was asked for.
            let mut batches = 0..(LISTEN_BACKLOG + 1).div_ceil(MAX_ACCEPTS_PER_ITERATION);
            while batches.next().is_some() && self.accept(now, port, timers) {}
        }
        if self.accepting_paused {
            return false;
        }
        for listener in std::mem::take(&mut self.listeners) {
            self.handle.remove(listener.token);
        }
        true
    }

    /// From now on, closes each connection after its response, unless its next request has arrived by then.
    pub fn close_after_responses(&mut self) {
        self.closes_after_response = true;
    }

    /// Closes the idle connections. From now on, a connection that becomes idle is closed at once.
    pub fn close_idle(&mut self, now: f64, timers: &mut Timers) {
        self.close_when_idle = true;
        for id in self.connections_without_request(true) {
            self.close_if_no_data(now, id, timers);
        }
    }

    /// Closes the connections without a pending request, including those that have not sent any request yet.
    pub fn close_without_request(&mut self, now: f64, timers: &mut Timers) {
        for id in self.connections_without_request(false) {
            self.close_if_no_data(now, id, timers);
        }
    }

    /// Queues a read from each client that has not sent a complete request, so that what the clients have sent by now
    /// is handled before `expire_pending_requests` times out the requests that are still incomplete.
    pub fn read_pending_requests(&mut self) {
        for id in self.awaiting_request.values().copied().collect::<Vec<_>>() {
            self.read_before_timeout(id);
        }
    }

    /// Times out every request that has not arrived completely yet.
    pub fn expire_pending_requests(&mut self, now: f64, timers: &mut Timers) {
        for id in self.awaiting_request.values().copied().collect::<Vec<_>>() {
            self.on_timeout(now, id, timers);
        }
    }

    /// Returns the connections without a pending request; only the idle connections if `only_idle`.
    fn connections_without_request(&self, only_idle: bool) -> Vec<usize> {
        let is_idle = |c: &ClientConnection| c.timer.is_some_and(|key| self.idle.contains_key(&key));
        let without_request =
            self.connections.iter().filter(|(_, c)| c.is_between_requests() && (!only_idle || is_idle(c)));
        without_request.map(|(id, _)| id).collect()
    }

    /// Queues a read from a client whose timer has fired, so that what the client has sent by now is read before the
    /// timeout is handled. Returns the timer, which is to be passed to `is_still_timed_out`.
    pub fn read_before_timeout(&mut self, id: usize) -> Option<TimerKey> {
        let client = self.connections.get_mut(id)?;
        client.readable = true;
        client.begin_turn();
        self.clients_to_read.push(id);
        client.timer
    }

    /// Returns whether the client has timed out, that is, whether `timer`, which has fired, is still its timer. To be
    /// called after the read that `read_before_timeout` has queued: handling the bytes may have replaced or cancelled
    /// the timer.
    pub fn is_still_timed_out(&self, id: usize, timer: Option<TimerKey>) -> bool {
        timer.is_some() && self.connections.get(id).is_some_and(|client| client.timer == timer)
    }

    /// Reads from a connection once more, even without a readiness event, before it is closed. A connection on which bytes have
    /// arrived is queued to be read.
    pub(super) fn final_read(&mut self, now: f64, id: usize) -> FinalRead {
        let read = self.read_before_close(now, id);
        if matches!(read, FinalRead::ReceivedData) {
            self.queue_read(id);
        }
        read
    }

    /// Reads from a connection once more before it is closed.
    fn read_before_close(&mut self, now: f64, id: usize) -> FinalRead {
        let received_at = self.received_at(now);
        let Some(client) = self.connections.get_mut(id) else {
            return FinalRead::Disconnected(ConnectionEnd::Closed);
        };
        if !client.read_ahead.is_empty() {
            return FinalRead::ReceivedData;
        }
        let mut input = client.input.take().unwrap_or_else(|| self.pool.acquire());
        let before = input.filled().len();
        let read = loop {
            // A buffer without room does not grow for this: that more has arrived is enough to know.
            let has_room = bytes_for_next_read(Some(&input)) == 0;
            let read = if has_room { input.read_from(&*client.stream) } else { client.stream.peek(&mut [0]) };
            match read {
                _ if input.is_full() => break Ok(1),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        client.arrivals.record(input.filled().len() - before, received_at);
        client.input = Some(input).filter(|input| !input.is_empty() && !client.phase.is_ending());
        match read {
            Ok(0) => FinalRead::Disconnected(ConnectionEnd::Closed),
            Ok(_) => {
                client.readable = true;
                FinalRead::ReceivedData
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => FinalRead::NoData,
            Err(e) => FinalRead::Disconnected(ConnectionEnd::from_io_error(&e)),
        }
    }

    /// Closes a connection without a pending request, unless bytes of a next request have arrived.
    pub(super) fn close_if_no_data(&mut self, now: f64, id: usize, timers: &mut Timers) {
        // Unparsed bytes that were read together with the previous request belong to the next request.
        if self.connections.get(id).is_some_and(|c| c.input.is_some() || !c.read_ahead.is_empty()) {
            return self.start_request_timer(now, id, timers);
        }
        match self.final_read(now, id) {
            FinalRead::ReceivedData => self.start_request_timer(now, id, timers),
            FinalRead::NoData => self.start_lingering(now, id, timers),
            FinalRead::Disconnected(connection_end) => drop(self.close(id, connection_end, timers)),
        }
    }

    /// Shuts down the write side of a connection, and waits for the client to close its side.
    pub(super) fn start_lingering(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let Some(client) = self.connections.get_mut(id) else { return };
        let _ = client.stream.shutdown(Shutdown::Write);
        let ending = client.phase.ending();
        client.phase.linger();
        client.request_started_at = now;
        client.discard_received();
        // Closing while the client is still sending would reset the connection before it reads the response.
        let linger_seconds = match ending {
            Some(EndingPhase::DeliveringLast(LastRequest::Unfinished)) => {
                self.max_delivery_seconds().max(REQUEST_TIMEOUT_SECONDS)
            }
            _ => LINGER_SECONDS,
        };
        self.set_linger_timer(id, now + linger_seconds, timers);
        self.schedule_resume_accepting(timers);
    }

    /// Sets the timer that ends a connection's lingering at `until`, or, in a shutdown, at the latest
    /// `SHUTDOWN_LINGER_SECONDS` after the last responses are due.
    fn set_linger_timer(&mut self, id: usize, until: f64, timers: &mut Timers) {
        let key = self.set_timer(id, until.min(self.shutdown_deadline + SHUTDOWN_LINGER_SECONDS), timers);
        self.lingering.insert(key, id);
    }

    /// Waits longer for a lingering client that has not acknowledged all of its last response: closing now could reset
    /// the connection and lose the response. Returns `false` if the client has acknowledged everything or the time
    /// limit for it has passed.
    pub(super) fn extend_linger(&mut self, now: f64, id: usize, timers: &mut Timers) -> bool {
        let until = self.shutdown_deadline + SHUTDOWN_LINGER_SECONDS;
        let Some(client) = self.connections.get(id) else { return false };
        let deadline = client.request_started_at + self.max_delivery_seconds();
        let extend = client.phase.ending() == Some(EndingPhase::Lingering)
            && now < deadline.min(until)
            && has_unacknowledged(&client.stream);
        if extend {
            self.set_linger_timer(id, deadline.min(now + LINGER_SECONDS), timers);
        }
        extend
    }

    /// Returns the connection to evict: never one whose client is waiting for a response or has sent bytes that are not
    /// read yet. A connection whose request timer has run for less than `EVICTABLE_AFTER_SECONDS` is the last choice,
    /// unless connections without a complete request are more than half of `max_connections`. Returns `None` if there
    /// is no connection to choose from, or if those that were looked at turn out to have sent bytes; these get a turn each.
    pub(super) fn eviction_candidate(&mut self, now: f64) -> Option<usize> {
        let evictable_until = now + REQUEST_TIMEOUT_SECONDS - EVICTABLE_AFTER_SECONDS;
        for _ in 0..MAX_EVICTION_READS {
            let too_many_new = 2 * self.awaiting_request.len() > self.max_connections;
            let is_evictable = |timer: &TimerKey| too_many_new || timer.is_before(evictable_until);
            let evictable = self.awaiting_request.iter().filter(|(timer, _)| is_evictable(timer));
            let in_order = evictable.chain(&self.lingering).chain(&self.idle).chain(&self.awaiting_request);
            // A connection that is queued to be read is not evicted before it has been read.
            let Some(id) = in_order.map(|(_, id)| *id).find(|id| !self.is_queued(*id)) else {
                break;
            };
            if !matches!(self.read_before_close(now, id), FinalRead::ReceivedData) {
                return Some(id);
            }
            self.unfinished_turns.add(UnfinishedConnection::Client(id));
        }
        // A candidate that is queued to be read may be evicted nevertheless if its client has disconnected.
        let all = self.awaiting_request.values().chain(self.lingering.values()).chain(self.idle.values());
        let candidates: Vec<_> = all.copied().take(MAX_EVICTION_READS).collect();
        candidates
            .into_iter()
            .find(|id| matches!(self.read_before_close(now, *id), FinalRead::Disconnected(_)))
    }
}
