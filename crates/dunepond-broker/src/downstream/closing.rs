//! Closes connections that are owed no response: idle, evicted, or in a shutdown.
//!
//! Bytes may arrive between any check and the close that follows it, and closing a socket with unread bytes resets the connection, which
//! loses the part of the last response that is still in transit. So the socket is read once more right before, and a request found there is
//! served. Otherwise the write side is shut down and the client's close is awaited (a lingering close): what still arrives is discarded, and
//! the client, which sees the end of the stream without a response, retries elsewhere.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsRawFd;

use super::timeouts::REQUEST_TIMEOUT_SECONDS;
use super::{ClientConnection, Downstream, RequestPhase};
use crate::clock::{TimerKey, Timers};
use crate::connection_end::ConnectionEnd;
use crate::iteration::Port;

/// A connection without a request for so long is evicted before idle ones, which have sent a request before. Some round
/// trips: guards a new client against eviction before its first request has arrived.
const EVICTABLE_AFTER_SECONDS: f64 = 0.25;
/// How long a client may take to close its side after ours and after the whole of its last response: some round trips.
const LINGER_SECONDS: f64 = 1.0;
/// In a shutdown a lingering connection may stay this long after the last responses are due: the 50 ms by which any time
/// limit may be exceeded, well before the process is killed.
const SHUTDOWN_LINGER_SECONDS: f64 = 0.05;

/// The outcome of the last read before a close.
pub(super) enum FinalRead {
    /// Something has arrived; the connection is among those to be read.
    ReceivedData,
    Quiet,
    Disconnected(ConnectionEnd),
}

/// Whether the system still holds bytes that the peer has not acknowledged; `false` where it cannot tell.
fn has_unacknowledged(stream: &TcpStream) -> bool {
    let mut count: libc::c_int = 0;
    // SAFETY: the descriptor is open as long as the stream is borrowed, and the call writes one whole number.
    unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &mut count) == 0 && count > 0 }
}

impl Downstream {
    /// Accepts the whole backlog and closes the listeners. False, and nothing is closed, while there is no room for all of
    /// it: closing a listener resets the connections in its backlog.
    pub fn close_listeners(&mut self, now: f64, timers: &mut Timers) -> bool {
        self.resume_accepting();
        for port in Port::ALL {
            while self.accept(now, port, timers) {}
        }
        if self.accepting_paused {
            return false;
        }
        for listener in std::mem::take(&mut self.listeners) {
            self.handle.remove(listener.token);
        }
        true
    }

    /// From now on each connection closes after its response.
    pub fn close_after_responses(&mut self) {
        self.closes_after_response = true;
    }

    /// Closes the idle connections, and from now on each one that becomes idle.
    pub fn close_idle(&mut self, now: f64, timers: &mut Timers) {
        self.close_when_idle = true;
        for id in self.connections_without_request(true) {
            self.close_if_quiet(now, id, timers);
        }
    }

    /// Closes the connections without a pending request, also those that have not sent any.
    pub fn close_without_request(&mut self, now: f64, timers: &mut Timers) {
        for id in self.connections_without_request(false) {
            self.close_if_quiet(now, id, timers);
        }
    }

    /// Reads from clients that are sending a request what has arrived, before `expire_pending_requests`.
    pub fn read_pending_requests(&mut self) {
        for id in self.awaiting_request.values().copied().collect::<Vec<_>>() {
            self.read_before_timeout(id);
        }
    }

    /// Times out every request that has not arrived completely.
    pub fn expire_pending_requests(&mut self, now: f64, timers: &mut Timers) {
        for id in self.awaiting_request.values().copied().collect::<Vec<_>>() {
            self.on_timeout(now, id, timers);
        }
    }

    fn connections_without_request(&self, only_idle: bool) -> Vec<usize> {
        let idle = |c: &ClientConnection| c.timer.is_some_and(|key| self.idle.contains_key(&key));
        let unasked =
            self.connections.iter().filter(|(_, c)| c.is_between_requests() && (!only_idle || idle(c)));
        unasked.map(|(id, _)| id).collect()
    }

    /// A client's timer has fired: what it has sent by now is read before the timeout is handled. Returns that timer.
    pub fn read_before_timeout(&mut self, id: usize) -> Option<TimerKey> {
        let client = self.connections.get_mut(id)?;
        client.readable = true;
        self.pending_clients.push(id);
        client.timer
    }

    /// Whether the timer that fired is still the client's, after what it had sent was read.
    pub fn is_still_timed_out(&self, id: usize, timer: Option<TimerKey>) -> bool {
        timer.is_some() && self.connections.get(id).is_some_and(|client| client.timer == timer)
    }

    /// Reads once more, whether a readiness event has been reported or not.
    pub(super) fn final_read(&mut self, now: f64, id: usize) -> FinalRead {
        let received_at = self.received_at(now);
        let Some(client) = self.connections.get_mut(id) else {
            return FinalRead::Disconnected(ConnectionEnd::Closed);
        };
        if !client.read_ahead.is_empty() {
            self.pending_clients.push(id);
            return FinalRead::ReceivedData;
        }
        let mut input = client.input.take().unwrap_or_else(|| self.pool.acquire());
        let before = input.filled().len();
        let read = loop {
            match input.read_from(&*client.stream) {
                _ if input.is_full() => break Ok(1),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        client.arrivals.record(input.filled().len() - before, received_at);
        client.input =
            Some(input).filter(|input| !input.is_empty() && !matches!(client.phase, RequestPhase::Lingering));
        match read {
            Ok(0) => FinalRead::Disconnected(ConnectionEnd::Closed),
            Ok(_) => {
                client.readable = true;
                self.pending_clients.push(id);
                FinalRead::ReceivedData
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => FinalRead::Quiet,
            Err(e) => FinalRead::Disconnected(ConnectionEnd::from_io_error(&e)),
        }
    }

    /// Closes a connection without a pending request; if something has just arrived, it stays open for that.
    pub(super) fn close_if_quiet(&mut self, now: f64, id: usize, timers: &mut Timers) {
        // What was read together with the previous request is a request, too.
        if self.connections.get(id).is_some_and(|c| c.input.is_some() || !c.read_ahead.is_empty()) {
            return self.start_request_timer(now, id, timers);
        }
        match self.final_read(now, id) {
            FinalRead::ReceivedData => self.start_request_timer(now, id, timers),
            FinalRead::Quiet => self.start_lingering(now, id, timers),
            FinalRead::Disconnected(ending) => drop(self.close(id, ending, timers)),
        }
    }

    /// Shuts down the write side, and waits for the client to close its side.
    pub(super) fn start_lingering(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let Some(client) = self.connections.get_mut(id) else { return };
        let _ = client.stream.shutdown(Shutdown::Write);
        client.phase = RequestPhase::Lingering;
        client.request_started_at = now;
        client.input = None;
        client.read_ahead.clear();
        // A client that is still sending its body reads the response later; a close before that would reset it.
        let time = if client.responded_in_body {
            self.max_delivery_seconds().max(REQUEST_TIMEOUT_SECONDS)
        } else {
            LINGER_SECONDS
        };
        self.set_linger_timer(id, now + time, timers);
        self.schedule_resume_accepting(timers);
    }

    /// Awaits the client's close until then, but in a shutdown not beyond the last responses.
    fn set_linger_timer(&mut self, id: usize, until: f64, timers: &mut Timers) {
        let key = self.set_timer(id, until.min(self.shutdown_deadline + SHUTDOWN_LINGER_SECONDS), timers);
        self.lingering.insert(key, id);
    }

    /// Waits on for a lingering client that has not acknowledged all of its last response: a close now could reset the
    /// connection and lose it. False if there is nothing more to wait for.
    pub(super) fn extend_linger(&mut self, now: f64, id: usize, timers: &mut Timers) -> bool {
        let until = self.shutdown_deadline + SHUTDOWN_LINGER_SECONDS;
        let Some(client) = self.connections.get(id) else { return false };
        let deadline = client.request_started_at + self.max_delivery_seconds();
        let wait_on = matches!(client.phase, RequestPhase::Lingering)
            && now < deadline.min(until)
            && has_unacknowledged(&client.stream);
        if wait_on {
            self.set_linger_timer(id, deadline.min(now + LINGER_SECONDS), timers);
        }
        wait_on
    }

    /// The connection to evict: never one that is owed a response or has sent something that is not read yet. One that has
    /// only just connected is spared as long as such connections are not half of all. `None`, too, if all candidates have
    /// just been found to have sent something.
    pub(super) fn eviction_candidate(&mut self, now: f64) -> Option<usize> {
        let evictable_until = now + REQUEST_TIMEOUT_SECONDS - EVICTABLE_AFTER_SECONDS;
        loop {
            let too_many = 2 * self.awaiting_request.len() > self.max_connections;
            let is_evictable = |timer: &TimerKey| too_many || timer.is_before(evictable_until);
            let overdue = self.awaiting_request.iter().filter(|(timer, _)| is_evictable(timer));
            let in_order = overdue.chain(&self.lingering).chain(&self.idle).chain(&self.awaiting_request);
            // A connection that is to be read is not evicted before that.
            let Some(id) = in_order.map(|(_, id)| *id).find(|id| !self.pending_clients.contains(id)) else {
                break;
            };
            if !matches!(self.final_read(now, id), FinalRead::ReceivedData) {
                return Some(id);
            }
        }
        // All candidates are to be read: one that has disconnected need not be.
        let all = self.awaiting_request.values().chain(self.lingering.values()).chain(self.idle.values());
        let waiting: Vec<_> = all.copied().collect();
        waiting.into_iter().find(|id| matches!(self.final_read(now, *id), FinalRead::Disconnected(_)))
    }
}
