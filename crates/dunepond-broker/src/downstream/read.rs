//! Reading from clients: whole requests out of what has come, each client in its turn.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;

use tracing::debug;

use super::{Arrivals, Came, Client, Clients, Phase, complaint};
use crate::buffers::{Buffer, SIZE};
use crate::clock::{Alarms, Due};
use crate::connection_end::Ending;
use crate::http::{self, Message, Refusal};
use crate::search_api;

/// Reads from one client before all others have their turn; and how soon the one that sends on and on is read
/// again. Bounds of the program: a turn of some reads is short against the 50 ms by which the protocol page makes every
/// time limit longer, and no setting makes it longer.
pub(super) const READS: usize = 4;
const SOON: f64 = 0.001;

/// One read behind what the input holds: of what was read ahead, as long as there is some; or else what came then at the
/// earliest.
fn read(
    input: &mut Buffer,
    ahead: &mut VecDeque<Buffer>,
    arrivals: &mut Arrivals,
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

impl Clients {
    pub fn ready(&mut self, now: f64, id: usize, readable: bool, alarms: &mut Alarms) {
        let Some(client) = self.clients.get_mut(id) else { return };
        client.readable |= readable;
        if !client.out.is_empty() {
            self.write(now, id, alarms);
        }
    }

    /// It is the turn of a client that had sent on and on.
    pub fn go_on(&mut self, id: usize) {
        if let Some(client) = self.clients.get_mut(id) {
            client.more = false;
            self.again.push(id);
        }
    }

    /// Reads on until there is a scan, or nothing more for now.
    pub fn next(&mut self, now: f64, id: usize, alarms: &mut Alarms) -> Came {
        let mut reads = 0;
        loop {
            if let Some(came) = self.decode(now, id, alarms) {
                // The end of who asks may have come with the request, and nothing would tell of it again.
                if self.has_hung_up(now, id) {
                    return Came::Nothing;
                }
                if self.clients.get(id).is_some_and(|client| client.readable) {
                    self.again.push(id);
                }
                return self.in_time(came);
            }
            let Some(client) = self.clients.get_mut(id) else { return Came::Nothing };
            // Before it is read, so that no buffer waits with it for the body to go on.
            if let Phase::Raw(raw) = &client.phase
                && !raw.all
                && !client.more
                && raw.body.is_full()
            {
                client.more = true;
                self.stalled.push(id);
            }
            let full = client.input.as_ref().is_some_and(Buffer::is_full);
            if full || client.more || !client.readable && client.ahead.is_empty() {
                if client.readable && !self.has_hung_up(now, id) {
                    self.reads_on(now, id, alarms);
                }
                return Came::Nothing;
            }
            if reads == READS {
                client.more = true;
                alarms.set(now + SOON, Due::ClientMore(id));
                return Came::Nothing;
            }
            reads += 1;
            if client.input.is_none() && self.pool.out() >= self.most_buffers {
                self.spare(id, alarms);
            }
            let came = self.came(now);
            let client = &mut self.clients[id];
            let input = client.input.get_or_insert_with(|| self.pool.take());
            match read(input, &mut client.ahead, &mut client.arrivals, &client.stream, came) {
                Ok(0) => return Came::Left(self.end(id, Ending::Closed, alarms)),
                Ok(_) if matches!(client.phase, Phase::Lingering) => client.input = None,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    (client.readable, client.seen) = (false, now);
                    client.arrivals.all_read();
                    if input.is_empty() {
                        client.input = None;
                    }
                }
                Err(e) => return Came::Left(self.end(id, Ending::of(&e), alarms)),
            }
        }
    }

    /// There may be more behind what was read ahead of one that waits, and the end behind that.
    fn reads_on(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        let room = self.may_read_ahead();
        let client = &mut self.clients[id];
        if client.readable && !client.more && room {
            client.more = true;
            alarms.set(now + SOON, Due::ClientMore(id));
        }
    }

    /// On the way to the end there may be less time for a body to come than the client leaves. A scan without one keeps its
    /// time, as it is for the module to see that it would outlast the process.
    fn in_time(&self, mut came: Came) -> Came {
        if let Came::Opens(asked, _) = &mut came {
            asked.expires_at = asked.expires_at.min(self.until);
        }
        came
    }

    /// Ends whoever has been over a request the longest and holds a buffer for it.
    fn spare(&mut self, but: usize, alarms: &mut Alarms) {
        let holds = |c: &Client| c.input.is_some() || matches!(c.phase, Phase::Body(_));
        let held = self.asking.values().copied().find(|id| *id != but && holds(&self.clients[*id]));
        held.map(|id| self.end(id, Ending::Stalled, alarms));
    }

    /// Takes a whole request out of what has been read; those that ask for no scan are answered here.
    fn decode(&mut self, now: f64, id: usize, alarms: &mut Alarms) -> Option<Came> {
        loop {
            // At rest is only who has sent nothing: what was read together with the request before counts too.
            let client = self.clients.get(id)?;
            if client.has_read() && client.alarm.is_some_and(|key| self.resting.contains_key(&key)) {
                self.asks(now, id, alarms);
            }
            let client = self.clients.get_mut(id)?;
            // Who asks on and on and takes no answer waits until it does.
            if client.out.waiting() > SIZE {
                return None;
            }
            if matches!(client.phase, Phase::Head)
                && let Some(came) = client.arrivals.first_of(client.unused())
            {
                client.began = came;
            }
            let input = client.input.as_mut()?;
            let outcome = match std::mem::replace(&mut client.phase, Phase::Waiting) {
                Phase::Head => match http::request(input) {
                    Ok(None) => {
                        client.phase = Phase::Head;
                        return None;
                    }
                    Ok(Some(head)) if self.raw && !head.buckets.is_empty() && !client.api => {
                        let (keep, began) = (head.keep, client.began);
                        client.keep = keep;
                        self.calm(id, alarms);
                        match self.route_raw(&head, began) {
                            Ok(asked) => return Some(Came::Opens(asked, Box::new(head))),
                            Err(why) => {
                                self.refuse(now, id, why, 0.0, alarms);
                                continue;
                            }
                        }
                    }
                    Ok(Some(head)) if head.length().is_some_and(|length| length > SIZE as u64) => {
                        Err(http::too_long())
                    }
                    Ok(Some(head)) => {
                        client.keep = head.keep;
                        if head.expects {
                            client.out.put(b"HTTP/1.1 100 Continue\r\n\r\n");
                        }
                        client.phase = Phase::Body(Box::new(Message::after(head)));
                        self.write(now, id, alarms);
                        continue;
                    }
                    Err(refusal) => Err(refusal),
                },
                Phase::Body(mut message) => match message.take(input, &self.pool) {
                    Ok(false) => {
                        client.phase = Phase::Body(message);
                        return None;
                    }
                    Ok(true) => Ok(message),
                    Err(refusal) => Err(refusal),
                },
                Phase::Raw(mut raw) if !raw.all => {
                    self.moved.push(raw.body.id);
                    match raw.message.take(input, &self.pool) {
                        Ok(false) => {
                            client.phase = Phase::Raw(raw);
                            if input.is_empty() {
                                client.input = None;
                            }
                            return None;
                        }
                        Ok(true) => {
                            raw.all = true;
                            raw.body.end();
                            let held = raw.scan.map(Phase::Held);
                            client.phase = held.unwrap_or(Phase::Raw(raw));
                            if input.is_empty() {
                                client.input = None;
                            }
                            return None;
                        }
                        Err(refusal) => Err(refusal),
                    }
                }
                other => {
                    client.phase = other;
                    return None;
                }
            };
            if input.is_empty() {
                client.input = None;
            }
            self.calm(id, alarms);
            let client = &mut self.clients[id];
            // Where the next request would begin is not known after one that cannot be read.
            client.keep &= outcome.is_ok();
            let began = client.began;
            if let Some(door) = self.api.clone().filter(|_| client.api) {
                let read = outcome.map_err(|why| search_api::refused(&why));
                match read.and_then(|message| door.read(&message.head, message.text(), began)) {
                    Ok(request) => return Some(Came::Api(Box::new(request))),
                    Err(e) => {
                        debug!("client {id}: {e}");
                        self.reply(now, id, e.status, &e.body().to_string(), 0.0, alarms);
                        continue;
                    }
                }
            }
            let (status, body) = match outcome.and_then(|message| self.route(&message, began)) {
                Ok(Some(asked)) => return Some(Came::Scan(asked)),
                Ok(None) => (200, String::new()),
                Err(Refusal { status, why }) => (status, complaint(&why)),
            };
            if status == 400 || status == 413 {
                debug!("client {id}: answered {status}: {body}");
            }
            self.reply(now, id, status, &body, 0.0, alarms);
        }
    }
}
