//! Reads from client connections and parses complete requests, each connection in its turn.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;

use tracing::debug;

use super::{ArrivalTimes, ClientConnection, ClientEvent, Downstream, RequestPhase, error_body};
use crate::buffers::{BUFFER_BYTES, Buffer};
use crate::clock::{TimerEvent, Timers};
use crate::connection_end::ConnectionEnd;
use crate::http::{self, HttpError, Message};
use crate::search_api;

/// Reads from one client before all others have their turn; and how soon the one that sends on and on is read
/// again. Bounds of the program: a turn of some reads is short against the 50 ms by which the protocol page makes every
/// time limit longer, and no setting makes it longer.
pub(super) const MAX_READS_PER_TURN: usize = 4;
const RESUME_READING_SECONDS: f64 = 0.001;

/// One read behind what the input holds: of what was read ahead, as long as there is some; or else what came then at the
/// earliest.
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
    pub fn ready(&mut self, now: f64, id: usize, readable: bool, timers: &mut Timers) {
        let Some(client) = self.connections.get_mut(id) else { return };
        client.readable |= readable;
        if !client.out.is_empty() {
            self.write(now, id, timers);
        }
    }

    /// It is the turn of a client that had sent on and on.
    pub fn go_on(&mut self, id: usize) {
        if let Some(client) = self.connections.get_mut(id) {
            client.more = false;
            self.again.push(id);
        }
    }

    /// Reads on until there is a query, or nothing more for now.
    pub fn next(&mut self, now: f64, id: usize, timers: &mut Timers) -> ClientEvent {
        let mut reads = 0;
        loop {
            if let Some(came) = self.decode(now, id, timers) {
                // The end of who asks may have come with the request, and nothing would tell of it again.
                if self.is_disconnected(now, id) {
                    return ClientEvent::Nothing;
                }
                if self.connections.get(id).is_some_and(|client| client.readable) {
                    self.again.push(id);
                }
                return self.in_time(came);
            }
            let Some(client) = self.connections.get_mut(id) else { return ClientEvent::Nothing };
            // Before it is read, so that no buffer waits with it for the body to go on.
            if let RequestPhase::StreamingBody(raw) = &client.phase
                && !raw.all
                && !client.more
                && raw.body.is_full()
            {
                client.more = true;
                self.blocked_on_body.push(id);
            }
            let full = client.input.as_ref().is_some_and(Buffer::is_full);
            if full || client.more || !client.readable && client.ahead.is_empty() {
                if client.readable && !self.is_disconnected(now, id) {
                    self.schedule_resume_reading(now, id, timers);
                }
                return ClientEvent::Nothing;
            }
            if reads == MAX_READS_PER_TURN {
                client.more = true;
                timers.set(now + RESUME_READING_SECONDS, TimerEvent::ClientResume(id));
                return ClientEvent::Nothing;
            }
            reads += 1;
            if client.input.is_none() && self.pool.out() >= self.max_buffers {
                self.evict_for_buffer(id, timers);
            }
            let came = self.came(now);
            let client = &mut self.connections[id];
            let input = client.input.get_or_insert_with(|| self.pool.take());
            match read(input, &mut client.ahead, &mut client.arrivals, &client.stream, came) {
                Ok(0) => return ClientEvent::Disconnected(self.end(id, ConnectionEnd::Closed, timers)),
                Ok(_) if matches!(client.phase, RequestPhase::Lingering) => client.input = None,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    (client.readable, client.seen) = (false, now);
                    client.arrivals.drained();
                    if input.is_empty() {
                        client.input = None;
                    }
                }
                Err(e) => return ClientEvent::Disconnected(self.end(id, ConnectionEnd::of(&e), timers)),
            }
        }
    }

    /// There may be more behind what was read ahead of one that waits, and the end behind that.
    fn schedule_resume_reading(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let room = self.has_read_ahead_capacity();
        let client = &mut self.connections[id];
        if client.readable && !client.more && room {
            client.more = true;
            timers.set(now + RESUME_READING_SECONDS, TimerEvent::ClientResume(id));
        }
    }

    /// On the way to the end there may be less time for a body to come than the client leaves. A query without one keeps its
    /// time, as it is for the router to see that it would outlast the process.
    fn in_time(&self, mut came: ClientEvent) -> ClientEvent {
        if let ClientEvent::StreamedQuery(asked, _) = &mut came {
            asked.deadline = asked.deadline.min(self.until);
        }
        came
    }

    /// Ends whoever has been over a request the longest and holds a buffer for it.
    fn evict_for_buffer(&mut self, but: usize, timers: &mut Timers) {
        let holds =
            |c: &ClientConnection| c.input.is_some() || matches!(c.phase, RequestPhase::ReadingBody(_));
        let held =
            self.awaiting_request.values().copied().find(|id| *id != but && holds(&self.connections[*id]));
        held.map(|id| self.end(id, ConnectionEnd::IoTimeout, timers));
    }

    /// Takes a whole request out of what has been read; those that ask for no query are answered here.
    fn decode(&mut self, now: f64, id: usize, timers: &mut Timers) -> Option<ClientEvent> {
        loop {
            // At rest is only who has sent nothing: what was read together with the request before counts too.
            let client = self.connections.get(id)?;
            if client.has_unparsed() && client.timer.is_some_and(|key| self.idle.contains_key(&key)) {
                self.start_request_timer(now, id, timers);
            }
            let client = self.connections.get_mut(id)?;
            // Who asks on and on and takes no answer waits until it does.
            if client.out.waiting() > BUFFER_BYTES {
                return None;
            }
            if matches!(client.phase, RequestPhase::ReadingHead)
                && let Some(came) = client.arrivals.first_unparsed_at(client.unparsed_bytes())
            {
                client.began = came;
            }
            let input = client.input.as_mut()?;
            let outcome = match std::mem::replace(&mut client.phase, RequestPhase::AwaitingAdmission) {
                RequestPhase::ReadingHead => match http::request(input) {
                    Ok(None) => {
                        client.phase = RequestPhase::ReadingHead;
                        return None;
                    }
                    Ok(Some(head)) if self.raw && !head.segments.is_empty() && !client.api => {
                        let (keep, began) = (head.keep_alive, client.began);
                        client.keep = keep;
                        self.clear_timer(id, timers);
                        match self.validate_streamed(&head, began) {
                            Ok(asked) => return Some(ClientEvent::StreamedQuery(asked, Box::new(head))),
                            Err(why) => {
                                self.refuse(now, id, why, 0.0, timers);
                                continue;
                            }
                        }
                    }
                    Ok(Some(head)) if head.length().is_some_and(|length| length > BUFFER_BYTES as u64) => {
                        Err(http::body_too_long())
                    }
                    Ok(Some(head)) => {
                        client.keep = head.keep_alive;
                        if head.expects_continue {
                            client.out.put(b"HTTP/1.1 100 Continue\r\n\r\n");
                        }
                        client.phase = RequestPhase::ReadingBody(Box::new(Message::after(head)));
                        self.write(now, id, timers);
                        continue;
                    }
                    Err(refusal) => Err(refusal),
                },
                RequestPhase::ReadingBody(mut message) => match message.take(input, &self.pool) {
                    Ok(false) => {
                        client.phase = RequestPhase::ReadingBody(message);
                        return None;
                    }
                    Ok(true) => Ok(message),
                    Err(refusal) => Err(refusal),
                },
                RequestPhase::StreamingBody(mut raw) if !raw.all => {
                    self.moved.push(raw.body.id);
                    match raw.message.take(input, &self.pool) {
                        Ok(false) => {
                            client.phase = RequestPhase::StreamingBody(raw);
                            if input.is_empty() {
                                client.input = None;
                            }
                            return None;
                        }
                        Ok(true) => {
                            raw.all = true;
                            raw.body.end();
                            let held = raw.query.map(RequestPhase::InFlight);
                            client.phase = held.unwrap_or(RequestPhase::StreamingBody(raw));
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
            self.clear_timer(id, timers);
            let client = &mut self.connections[id];
            // Where the next request would begin is not known after one that cannot be read.
            client.keep &= outcome.is_ok();
            let began = client.began;
            if let Some(door) = self.api.clone().filter(|_| client.api) {
                let read = outcome.map_err(|why| search_api::refused(&why));
                match read.and_then(|message| door.read(&message.head, message.text(), began)) {
                    Ok(request) => return Some(ClientEvent::SearchRequest(Box::new(request))),
                    Err(e) => {
                        debug!("client {id}: {e}");
                        self.reply(now, id, e.status, &e.body().to_string(), 0.0, timers);
                        continue;
                    }
                }
            }
            let (status, body) = match outcome.and_then(|message| self.validate(&message, began)) {
                Ok(Some(asked)) => return Some(ClientEvent::Query(asked)),
                Ok(None) => (200, String::new()),
                Err(HttpError { status, why }) => (status, error_body(&why)),
            };
            if status == 400 || status == 413 {
                debug!("client {id}: answered {status}: {body}");
            }
            self.reply(now, id, status, &body, 0.0, timers);
        }
    }
}
