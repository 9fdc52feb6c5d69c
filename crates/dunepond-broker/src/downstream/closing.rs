//! Closes connections that are owed no answer: idle, evicted, or in a shutdown.
//!
//! Bytes may come between any check and the close behind it, and a close over unread bytes resets the connection and loses what of the
//! last answer is still on its way. So what has come is read at the last moment, and a request in it is served. With nothing there our side is
//! shut and the client's end is awaited (a lingering close): what crosses is discarded, and its client, which sees the end before an answer,
//! retries it elsewhere.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsRawFd;

use super::timeouts::REQUEST_TIMEOUT_SECONDS;
use super::{ClientConnection, Downstream, RequestPhase};
use crate::clock::{TimerKey, Timers};
use crate::connection_end::ConnectionEnd;

/// Who has not asked for so long makes room before those that rest, which have asked before. A bound of the program that
/// tells only at the cap, where by the fleet's page "new connections may be shut unread": some round trips, as whoever
/// means to ask does so right after it has connected, however long it then waits.
const EVICTABLE_AFTER_SECONDS: f64 = 0.25;
/// How long a client may take to close its side once it has been told of ours and has the whole of its last answer. A
/// bound of the program: some round trips, however long a query may take.
const LINGER_SECONDS: f64 = 1.0;
/// In a shutdown a lingering connection may stay this long after the last answers: the 50 ms by which the protocol page
/// makes every time limit longer. The kill comes later.
const SHUTDOWN_LINGER_SECONDS: f64 = 0.05;

/// What the last look at a connection has shown.
pub(super) enum FinalRead {
    /// Something has come, and will be read in its turn.
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
    /// Takes in what has come to the listeners so far, and closes them. False, and nothing is closed, while there is
    /// no room for all of it: those that wait at a listener are reset with it.
    pub fn close_listeners(&mut self, now: f64, timers: &mut Timers) -> bool {
        self.resume();
        for api in [false, true] {
            while self.accept(now, api, timers) {}
        }
        if self.paused {
            return false;
        }
        for door in std::mem::take(&mut self.listeners) {
            self.handle.remove(door.token);
        }
        true
    }

    /// From now on each connection ends with its answer.
    pub fn close_after_responses(&mut self) {
        self.closing = true;
    }

    /// Closes the idle connections, and from now on each one that becomes idle.
    pub fn close_resting(&mut self, now: f64, timers: &mut Timers) {
        self.close_when_idle = true;
        for id in self.unasked(true) {
            self.part(now, id, timers);
        }
    }

    /// Closes the connections on which nothing more was asked, also those that have not asked at all.
    pub fn close_without_request(&mut self, now: f64, timers: &mut Timers) {
        for id in self.unasked(false) {
            self.part(now, id, timers);
        }
    }

    /// Clients that are sending a request: what has come from them is read before `expire_pending_requests`.
    pub fn read_pending_requests(&mut self) {
        for id in self.awaiting_request.values().copied().collect::<Vec<_>>() {
            self.read_before_timeout(id);
        }
    }

    /// Ends every request that has not come completely.
    pub fn expire_pending_requests(&mut self, now: f64, timers: &mut Timers) {
        for id in self.awaiting_request.values().copied().collect::<Vec<_>>() {
            self.slow(now, id, timers);
        }
    }

    fn unasked(&self, only_idle: bool) -> Vec<usize> {
        let idle = |c: &ClientConnection| c.timer.is_some_and(|key| self.idle.contains_key(&key));
        let unasked =
            self.connections.iter().filter(|(_, c)| c.is_between_requests() && (!only_idle || idle(c)));
        unasked.map(|(id, _)| id).collect()
    }

    /// Its time is up: whatever it has sent by now is to be read before `slow`. Names the time that is up.
    pub fn read_before_timeout(&mut self, id: usize) -> Option<TimerKey> {
        let client = self.connections.get_mut(id)?;
        client.readable = true;
        self.again.push(id);
        client.timer
    }

    /// Its time is still up, after what it had sent was read.
    pub fn is_still_timed_out(&self, id: usize, timer: Option<TimerKey>) -> bool {
        timer.is_some() && self.connections.get(id).is_some_and(|client| client.timer == timer)
    }

    /// Reads once more, whether a readiness has told of something or not.
    pub(super) fn final_read(&mut self, now: f64, id: usize) -> FinalRead {
        let came = self.came(now);
        let Some(client) = self.connections.get_mut(id) else {
            return FinalRead::Disconnected(ConnectionEnd::Closed);
        };
        if !client.ahead.is_empty() {
            self.again.push(id);
            return FinalRead::ReceivedData;
        }
        let mut input = client.input.take().unwrap_or_else(|| self.pool.take());
        let before = input.held().len();
        let read = loop {
            match input.read_from(&*client.stream) {
                _ if input.is_full() => break Ok(1),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        client.arrivals.read(input.held().len() - before, came);
        client.input =
            Some(input).filter(|input| !input.is_empty() && !matches!(client.phase, RequestPhase::Lingering));
        match read {
            Ok(0) => FinalRead::Disconnected(ConnectionEnd::Closed),
            Ok(_) => {
                client.readable = true;
                self.again.push(id);
                FinalRead::ReceivedData
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => FinalRead::Quiet,
            Err(e) => FinalRead::Disconnected(ConnectionEnd::of(&e)),
        }
    }

    /// Closes a connection on which nothing is asked; if something has just come, it stays for that.
    pub(super) fn part(&mut self, now: f64, id: usize, timers: &mut Timers) {
        // What was read together with the request before is a request, too.
        if self.connections.get(id).is_some_and(|c| c.input.is_some() || !c.ahead.is_empty()) {
            return self.start_request_timer(now, id, timers);
        }
        match self.final_read(now, id) {
            FinalRead::ReceivedData => self.start_request_timer(now, id, timers),
            FinalRead::Quiet => self.start_lingering(now, id, timers),
            FinalRead::Disconnected(ending) => drop(self.end(id, ending, timers)),
        }
    }

    /// Shuts our side, and waits for the client to close its own.
    pub(super) fn start_lingering(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let Some(client) = self.connections.get_mut(id) else { return };
        let _ = client.stream.shutdown(Shutdown::Write);
        client.phase = RequestPhase::Lingering;
        client.began = now;
        client.input = None;
        client.ahead.clear();
        // Closed before who is still sending its body has looked for its answer, the connection would take that back.
        let time = if client.responded_in_body {
            self.max_delivery_seconds().max(REQUEST_TIMEOUT_SECONDS)
        } else {
            LINGER_SECONDS
        };
        self.set_linger_timer(id, now + time, timers);
        self.make_room(timers);
    }

    /// Its side is awaited until then. On the way to the end nobody is waited for that is owed nothing.
    fn set_linger_timer(&mut self, id: usize, until: f64, timers: &mut Timers) {
        let key = self.set(id, until.min(self.until + SHUTDOWN_LINGER_SECONDS), timers);
        self.lingering.insert(key, id);
    }

    /// The rest of its last answer is still in the system's queue, and of use to it: closed now, the connection would be
    /// reset by whatever crosses that. It is awaited on; false if there is no more to wait for.
    pub(super) fn extend_linger(&mut self, now: f64, id: usize, timers: &mut Timers) -> bool {
        let until = self.until + SHUTDOWN_LINGER_SECONDS;
        let Some(client) = self.connections.get(id) else { return false };
        let lost = client.began + self.max_delivery_seconds();
        let on = matches!(client.phase, RequestPhase::Lingering)
            && now < lost.min(until)
            && has_unacknowledged(&client.stream);
        if on {
            self.set_linger_timer(id, lost.min(now + LINGER_SECONDS), timers);
        }
        on
    }

    /// Who makes room for others: never one that is owed an answer, and nobody who has sent something that is not
    /// read yet. One that has only just connected is given its time to ask, as long as such do not take up half of
    /// all. `None`, too, if all that could go have just been found to have something to say.
    pub(super) fn least(&mut self, now: f64) -> Option<usize> {
        let late = ((now + REQUEST_TIMEOUT_SECONDS - EVICTABLE_AFTER_SECONDS) * 1e6) as u64;
        loop {
            let many = 2 * self.awaiting_request.len() > self.most;
            let overdue = self.awaiting_request.iter().filter(|(key, _)| key.0 < late || many);
            let in_order = overdue.chain(&self.lingering).chain(&self.idle).chain(&self.awaiting_request);
            // Its turn to be read comes before its turn to go.
            let Some(id) = in_order.map(|(_, id)| *id).find(|id| !self.again.contains(id)) else { break };
            if !matches!(self.final_read(now, id), FinalRead::ReceivedData) {
                return Some(id);
            }
        }
        // All that could go wait to be read: whoever of them has closed needs no turn.
        let all = self.awaiting_request.values().chain(self.lingering.values()).chain(self.idle.values());
        let waiting: Vec<_> = all.copied().collect();
        waiting.into_iter().find(|id| matches!(self.final_read(now, *id), FinalRead::Disconnected(_)))
    }
}
