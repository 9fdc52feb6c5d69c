//! How connections close that nobody is owed an answer on: at rest, for want of room, on the way to the end.
//!
//! Bytes may come between any look and the close behind it, and a close over unread bytes resets the connection, with
//! it what of the last answer is still on its way. So what has come is read at the last moment, and a request in it is
//! taken. With nothing there our side is shut and the other awaited (a lingering close): what crosses is thrown
//! away, never sent on, and its client, which sees the end before an answer, asks it again elsewhere.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsRawFd;

use super::timeouts::ASKS;
use super::{Client, Clients, Phase};
use crate::clock::{Alarms, Key};
use crate::connection_end::Ending;

/// Who has not asked for so long makes room before those that rest, which have asked before. A bound of the program that
/// tells only at the cap, where by the fleet's page "new connections may be shut unread": some round trips, as whoever
/// means to ask does so right after it has connected, however long it then waits.
const LATE: f64 = 0.25;
/// How long a client may take to close its side once it has been told of ours and has the whole of its last answer. A
/// bound of the program: some round trips, however long a query may take.
const LINGERS: f64 = 1.0;
/// On the way to the end who lingers may stay for so long after all is answered: the 50 ms by which the protocol page
/// makes every time limit longer. The kill comes later.
const STAYS: f64 = 0.05;

/// What the last look at a connection has shown.
pub(super) enum Last {
    /// Something has come, and will be read in its turn.
    Said,
    Silent,
    Gone(Ending),
}

/// Whether the system still holds something that the peer's has not acknowledged. Where it cannot tell, there is
/// nothing.
fn has_unsent(stream: &TcpStream) -> bool {
    let mut count: libc::c_int = 0;
    // SAFETY: the descriptor is open as long as the stream is borrowed, and the call writes one whole number.
    unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &mut count) == 0 && count > 0 }
}

impl Clients {
    /// Takes in what has come to the listeners so far, and closes them. False, and nothing is closed, while there is
    /// no room for all of it: those that wait at a listener are reset with it.
    pub fn close_listeners(&mut self, now: f64, alarms: &mut Alarms) -> bool {
        self.resume();
        for api in [false, true] {
            while self.accept(now, api, alarms) {}
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
    pub fn close_with_answers(&mut self) {
        self.closing = true;
    }

    /// Closes the connections at rest, those of now and of later.
    pub fn close_resting(&mut self, now: f64, alarms: &mut Alarms) {
        self.rest_is_over = true;
        for id in self.unasked(true) {
            self.part(now, id, alarms);
        }
    }

    /// Closes the connections on which nothing more was asked, also those that have not asked at all.
    pub fn close_unasked(&mut self, now: f64, alarms: &mut Alarms) {
        for id in self.unasked(false) {
            self.part(now, id, alarms);
        }
    }

    /// What has come from those that are over a request is to be read before `close_asking`.
    pub fn hear_asking(&mut self) {
        for id in self.asking.values().copied().collect::<Vec<_>>() {
            self.hear_out(id);
        }
    }

    /// Nobody may be over a request any longer.
    pub fn close_asking(&mut self, now: f64, alarms: &mut Alarms) {
        for id in self.asking.values().copied().collect::<Vec<_>>() {
            self.slow(now, id, alarms);
        }
    }

    fn unasked(&self, rests: bool) -> Vec<usize> {
        let resting = |c: &Client| c.alarm.is_some_and(|key| self.resting.contains_key(&key));
        let unasked = self.clients.iter().filter(|(_, c)| c.unasked() && (!rests || resting(c)));
        unasked.map(|(id, _)| id).collect()
    }

    /// Its time is up: whatever it has sent by now is to be read before `slow`. Names the time that is up.
    pub fn hear_out(&mut self, id: usize) -> Option<Key> {
        let client = self.clients.get_mut(id)?;
        client.readable = true;
        self.again.push(id);
        client.alarm
    }

    /// Its time is still up, after what it had sent was read.
    pub fn is_still_slow(&self, id: usize, alarm: Option<Key>) -> bool {
        alarm.is_some() && self.clients.get(id).is_some_and(|client| client.alarm == alarm)
    }

    /// Reads once more, whether a readiness has told of something or not.
    pub(super) fn last_read(&mut self, now: f64, id: usize) -> Last {
        let came = self.came(now);
        let Some(client) = self.clients.get_mut(id) else { return Last::Gone(Ending::Closed) };
        if !client.ahead.is_empty() {
            self.again.push(id);
            return Last::Said;
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
            Some(input).filter(|input| !input.is_empty() && !matches!(client.phase, Phase::Lingering));
        match read {
            Ok(0) => Last::Gone(Ending::Closed),
            Ok(_) => {
                client.readable = true;
                self.again.push(id);
                Last::Said
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Last::Silent,
            Err(e) => Last::Gone(Ending::of(&e)),
        }
    }

    /// Closes a connection on which nothing is asked; if something has just come, it stays for that.
    pub(super) fn part(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        // What was read together with the request before is a request, too.
        if self.clients.get(id).is_some_and(|c| c.input.is_some() || !c.ahead.is_empty()) {
            return self.asks(now, id, alarms);
        }
        match self.last_read(now, id) {
            Last::Said => self.asks(now, id, alarms),
            Last::Silent => self.linger(now, id, alarms),
            Last::Gone(ending) => drop(self.end(id, ending, alarms)),
        }
    }

    /// Shuts our side, and waits for the client to close its own.
    pub(super) fn linger(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        let Some(client) = self.clients.get_mut(id) else { return };
        let _ = client.stream.shutdown(Shutdown::Write);
        client.phase = Phase::Lingering;
        client.began = now;
        client.input = None;
        client.ahead.clear();
        // Closed before who is still sending its body has looked for its answer, the connection would take that back.
        let time = if client.in_body { self.longest_taking().max(ASKS) } else { LINGERS };
        self.lingers(id, now + time, alarms);
        self.make_room(alarms);
    }

    /// Its side is awaited until then. On the way to the end nobody is waited for that is owed nothing.
    fn lingers(&mut self, id: usize, until: f64, alarms: &mut Alarms) {
        let key = self.set(id, until.min(self.until + STAYS), alarms);
        self.lingering.insert(key, id);
    }

    /// The rest of its last answer is still in the system's queue, and of use to it: closed now, the connection would be
    /// reset by whatever crosses that. It is awaited on; false if there is no more to wait for.
    pub(super) fn lingers_on(&mut self, now: f64, id: usize, alarms: &mut Alarms) -> bool {
        let until = self.until + STAYS;
        let Some(client) = self.clients.get(id) else { return false };
        let lost = client.began + self.longest_taking();
        let on =
            matches!(client.phase, Phase::Lingering) && now < lost.min(until) && has_unsent(&client.stream);
        if on {
            self.lingers(id, lost.min(now + LINGERS), alarms);
        }
        on
    }

    /// Who makes room for others: never one that is owed an answer, and nobody who has sent something that is not
    /// read yet. One that has only just connected is given its time to ask, as long as such do not take up half of
    /// all. `None`, too, if all that could go have just been found to have something to say.
    pub(super) fn least(&mut self, now: f64) -> Option<usize> {
        let late = ((now + ASKS - LATE) * 1e6) as u64;
        loop {
            let many = 2 * self.asking.len() > self.most;
            let overdue = self.asking.iter().filter(|(key, _)| key.0 < late || many);
            let in_order = overdue.chain(&self.lingering).chain(&self.resting).chain(&self.asking);
            // Its turn to be read comes before its turn to go.
            let Some(id) = in_order.map(|(_, id)| *id).find(|id| !self.again.contains(id)) else { break };
            if !matches!(self.last_read(now, id), Last::Said) {
                return Some(id);
            }
        }
        // All that could go wait to be read: whoever of them has closed needs no turn.
        let all = self.asking.values().chain(self.lingering.values()).chain(self.resting.values());
        let waiting: Vec<_> = all.copied().collect();
        waiting.into_iter().find(|id| matches!(self.last_read(now, *id), Last::Gone(_)))
    }
}
