//! Hang-ups: a client that closes its connection has gone, and nothing is sent on for it. Its end may stand behind
//! requests that nobody has read yet, and no readiness tells of it again.

use std::io;
use std::net::TcpStream;

use dunepond_routing::QueryId;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::read::READS;
use super::{Clients, Phase};
use crate::buffers::Buffer;
use crate::clock::Alarms;
use crate::connection_end::Ending;

/// How old a look at its connection may be when something is sent on for a client. By the fleet's page an attempt "that
/// begins more than 0.1 s after the close is a break"; half of that is left for its frame to be written.
const SEEN: f64 = 0.05;

impl Clients {
    /// Whether it has gone, by a look that is not old and since which nothing was told of it. `next_hung_up` names it
    /// then.
    pub fn has_hung_up(&mut self, now: f64, id: usize) -> bool {
        let Some(client) = self.clients.get_mut(id) else { return false };
        if client.hung_up.is_none() && (client.readable || now - client.seen >= SEEN) {
            client.seen = now;
            let ending = self.look(now, id);
            self.clients[id].hung_up = ending;
            self.hung_up.extend(ending.map(|_| id));
        }
        self.clients[id].hung_up.is_some()
    }

    /// Something is to be read: of who waits for an answer that may be its end.
    pub fn look_ahead(&mut self, now: f64, id: usize) {
        let Some(client) = self.clients.get_mut(id) else { return };
        let waits = match &client.phase {
            Phase::Raw(raw) => raw.scan.is_some(),
            phase => matches!(phase, Phase::Waiting | Phase::Held(_)),
        };
        if waits {
            client.readable = true;
            self.has_hung_up(now, id);
        }
    }

    /// Lets go of one that has hung up; names the scan that was held for it.
    pub fn next_hung_up(&mut self, alarms: &mut Alarms) -> Option<Option<QueryId>> {
        let id = self.hung_up.pop()?;
        // It may have gone already, and its id to another.
        let ending = self.clients.get(id).and_then(|client| client.hung_up);
        Some(ending.and_then(|ending| self.end(id, ending, alarms)))
    }

    /// Whether what a client sends while it waits may be read ahead: its end stands behind all of that, and where it
    /// is more than the system holds for it, reaches us only once we have read on. Half of the buffers are kept for
    /// those that ask.
    pub(super) fn may_read_ahead(&self) -> bool {
        2 * self.pool.out() < self.most_buffers
    }

    /// Reads ahead what has come, as its end stands behind that. Where this may not be read yet, or there is no room
    /// for it, the system is asked.
    fn look(&mut self, now: f64, id: usize) -> Option<Ending> {
        let came = self.came(now);
        let (room, ahead_room) = (self.pool.out() < self.most_buffers, self.may_read_ahead());
        let client = &mut self.clients[id];
        let paced = client.more || matches!(&client.phase, Phase::Raw(raw) if !raw.all);
        // A body of no length is taken out of a buffer that is there and holds nothing.
        let had = client.input.is_some();
        for _ in 0..READS {
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
                Ok(0) => return Some(Ending::Closed),
                Ok(count) => client.arrivals.read(count, came),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    client.readable = false;
                    client.arrivals.all_read();
                    if !had && client.input.as_ref().is_some_and(Buffer::is_empty) {
                        client.input = None;
                    }
                    if client.ahead.back().is_some_and(Buffer::is_empty) {
                        client.ahead.pop_back();
                    }
                    return None;
                }
                Err(e) => return Some(Ending::of(&e)),
            }
        }
        if client.ahead.back().is_some_and(Buffer::is_empty) {
            client.ahead.pop_back();
        }
        closed_behind(&client.stream).then_some(Ending::Closed)
    }
}

/// Whether the peer has closed, be there what there may in front of that.
fn closed_behind(stream: &TcpStream) -> bool {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let told = poll(&mut asked, Some(&at_once));
    told.is_ok_and(|count| count > 0)
        && asked[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}
