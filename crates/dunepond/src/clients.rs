//! The clients: their connections, the requests that come on them and the answers that go back.

use std::collections::BTreeSet;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use dunepond_decide::{Part, ScanId};
use dunepond_settings::Bounds;
use log::{debug, warn};
use serde_json::{Value, json};
use slab::Slab;
use socket2::{Domain, Protocol, Socket, Type};

use crate::buffers::{Buffer, Outflow, Pool, SIZE};
use crate::clock::{Alarms, Due, Key};
use crate::ending::Ending;
use crate::http::{self, Message, Refusal, refusal};
use crate::{World, watch};

/// Longest that a client may take over sending a request or taking an answer, once either has begun.
const SLOW: f64 = 10.0;
/// How long a client may take to close its side after its last answer.
const PARTING: f64 = 1.0;
/// How soon accepting is tried again after it has failed for want of means.
const NO_MEANS: f64 = 0.05;
const BACKLOG: i32 = 1024;
const LONGEST_ID: usize = 200;

/// A scan as a client asks for it.
pub struct Asked {
    pub call_id: String,
    pub table_type: usize,
    pub customer: usize,
    pub expires_at: f64,
    pub resent: bool,
    pub parts: Vec<Part>,
    pub text: Rc<str>,
}

/// What a client's connection brings next.
pub enum Came {
    Scan(Asked),
    /// It has gone, and with it whoever waited for this scan.
    Left(Option<ScanId>),
    Nothing,
}

enum Phase {
    /// Between requests, or inside of a head.
    Head,
    Body(Box<Message>),
    /// Asked, and not answered yet.
    Waiting,
    Held(ScanId),
    /// Answered for the last time; what still comes is thrown away until the client closes.
    Parting,
}

struct Client {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    input: Option<Buffer>,
    out: Outflow,
    phase: Phase,
    /// There may be something to read: readiness is told only once.
    readable: bool,
    /// When the first byte of this request was read.
    began: f64,
    keep: bool,
    alarm: Option<Key>,
    /// Its place among those that wait for nothing.
    idle: Option<u64>,
}

pub struct Clients {
    handle: LoopHandle<'static, World>,
    pool: Pool,
    clients: Slab<Client>,
    most: usize,
    bounds: Rc<Bounds>,
    listener: Option<(TcpListener, RegistrationToken)>,
    paused: bool,
    /// Who has been idle, longest first.
    idle: BTreeSet<(u64, usize)>,
    turns: u64,
    /// Connections with something left to read that no readiness will tell of again.
    pub again: Vec<usize>,
    /// Scans can be served, as far as the list goes.
    pub may_serve: bool,
    /// After SIGTERM: not ready; then also: each connection closes after its answer.
    pub leaving: bool,
    pub closing: bool,
}

pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Clients {
    pub fn new(
        handle: LoopHandle<'static, World>,
        pool: &Pool,
        bounds: Rc<Bounds>,
        most: usize,
        listener: TcpListener,
    ) -> calloop::Result<Self> {
        let source = Generic::new(listener.try_clone()?, Interest::READ, Mode::Level);
        let token = handle.insert_source(source, |_, _, world| {
            world.accept();
            Ok(PostAction::Continue)
        });
        let token = token.map_err(|e| e.error)?;
        Ok(Self {
            handle,
            pool: pool.clone(),
            clients: Slab::new(),
            most,
            bounds,
            listener: Some((listener, token)),
            paused: false,
            idle: BTreeSet::new(),
            turns: 0,
            again: Vec::new(),
            may_serve: false,
            leaving: false,
            closing: false,
        })
    }

    pub fn accept(&mut self, now: f64, alarms: &mut Alarms) {
        while let Some((listener, _)) = &self.listener {
            if self.clients.len() >= self.most {
                // Room is made at the cost of whoever has waited for nothing the longest.
                match self.idle.first().map(|idle| idle.1) {
                    Some(id) => drop(self.end(id, Ending::Unused, alarms)),
                    None => return self.pause(None, alarms),
                }
                continue;
            }
            match listener.accept() {
                Ok((stream, peer)) => match self.enter(now, stream, alarms) {
                    Ok(id) => self.again.push(id),
                    Err(e) => warn!("client {peer}: not taken in: {e}"),
                },
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    warn!("accepting pauses: {e}");
                    return self.pause(Some(now + NO_MEANS), alarms);
                }
            }
        }
    }

    fn enter(&mut self, now: f64, stream: TcpStream, alarms: &mut Alarms) -> calloop::Result<usize> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let entry = self.clients.vacant_entry();
        let id = entry.key();
        let token = watch(&self.handle, &stream, move |world, readable| world.client_ready(id, readable));
        entry.insert(Client {
            stream,
            token: token?,
            input: None,
            out: Outflow::new(&self.pool),
            phase: Phase::Head,
            readable: true,
            began: now,
            keep: true,
            // Not idle before it has had its time to ask: what it asks may be on its way already.
            alarm: Some(alarms.set(now + SLOW, Due::ClientSlow(id))),
            idle: None,
        });
        Ok(id)
    }

    /// Stops accepting until a connection has gone, or until a time.
    fn pause(&mut self, until: Option<f64>, alarms: &mut Alarms) {
        if let Some((_, token)) = &self.listener
            && !self.paused
        {
            self.paused = self.handle.disable(token).is_ok();
        }
        if let Some(until) = until {
            alarms.set(until, Due::Accept);
        }
    }

    /// Somebody may be accepted again; not here, as this may be the listener's own callback.
    fn make_room(&self, alarms: &mut Alarms) {
        if self.paused {
            alarms.set(0.0, Due::Accept);
        }
    }

    pub fn resume(&mut self) {
        if let Some((_, token)) = &self.listener
            && self.paused
        {
            self.paused = self.handle.enable(token).is_err();
        }
    }

    /// Takes in what has come to the listener so far, and closes it.
    pub fn close_listener(&mut self, now: f64, alarms: &mut Alarms) {
        self.accept(now, alarms);
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
    }

    /// From now on each connection ends with its answer; what idle ones have to say is read once more.
    pub fn close_with_answers(&mut self) {
        self.closing = true;
        self.again.extend(self.unasked());
    }

    /// Ends the connections on which nothing has been asked.
    pub fn close_unasked(&mut self, alarms: &mut Alarms) {
        for id in self.unasked() {
            self.end(id, Ending::Unused, alarms);
        }
    }

    fn unasked(&self) -> Vec<usize> {
        self.clients.iter().filter(|(_, c)| c.unasked()).map(|(id, _)| id).collect()
    }

    pub fn count(&self) -> usize {
        self.clients.len()
    }

    pub fn ready(&mut self, now: f64, id: usize, readable: bool, alarms: &mut Alarms) {
        let Some(client) = self.clients.get_mut(id) else { return };
        client.readable |= readable;
        if !client.out.is_empty() {
            self.write(now, id, alarms);
        }
    }

    /// Reads on until there is a scan, or nothing more for now.
    pub fn next(&mut self, now: f64, id: usize, alarms: &mut Alarms) -> Came {
        loop {
            if let Some(asked) = self.decode(now, id, alarms) {
                return Came::Scan(asked);
            }
            let Some(client) = self.clients.get_mut(id) else { return Came::Nothing };
            let full = client.input.as_ref().is_some_and(Buffer::is_full);
            if !client.readable || full {
                return Came::Nothing;
            }
            let input = client.input.get_or_insert_with(|| self.pool.take());
            let fresh = input.is_empty();
            match input.read_from(&*client.stream) {
                Ok(0) => return Came::Left(self.end(id, Ending::Closed, alarms)),
                Ok(_) if matches!(client.phase, Phase::Parting) => client.input = None,
                Ok(_) if fresh && matches!(client.phase, Phase::Head) => client.began = now,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    client.readable = false;
                    if input.is_empty() {
                        client.input = None;
                    }
                    let begun = client.input.is_some() || matches!(client.phase, Phase::Body(_));
                    if begun && client.asking() && client.alarm.is_none() {
                        client.alarm = Some(alarms.set(now + SLOW, Due::ClientSlow(id)));
                    }
                }
                Err(e) => return Came::Left(self.end(id, Ending::of(&e), alarms)),
            }
        }
    }

    /// Takes a whole request out of what has been read; those that ask for no scan are answered here.
    fn decode(&mut self, now: f64, id: usize, alarms: &mut Alarms) -> Option<Asked> {
        loop {
            // Idle is only who has sent nothing: what was read together with the request before counts too.
            if self.clients.get(id)?.input.as_ref().is_some_and(|input| !input.is_empty()) {
                self.unrest(id);
            }
            let client = self.clients.get_mut(id)?;
            // Who asks on and on and takes no answer waits until it does.
            if client.out.waiting() > SIZE {
                return None;
            }
            let input = client.input.as_mut()?;
            let outcome = match std::mem::replace(&mut client.phase, Phase::Waiting) {
                Phase::Head => match http::request(input) {
                    Ok(None) => {
                        client.phase = Phase::Head;
                        return None;
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
                other => {
                    client.phase = other;
                    return None;
                }
            };
            if input.is_empty() {
                client.input = None;
            }
            alarms.unset(client.alarm.take());
            // Where the next request would begin is not known after one that cannot be read.
            client.keep &= outcome.is_ok();
            let began = client.began;
            let (status, body) = match outcome.and_then(|message| self.route(&message, began)) {
                Ok(Some(asked)) => return Some(asked),
                Ok(None) => (200, String::new()),
                Err(Refusal { status, why }) => (status, complaint(&why)),
            };
            if status == 400 || status == 413 {
                debug!("client {id}: answered {status}: {body}");
            }
            self.reply(now, id, status, &body, 0.0, alarms);
        }
    }

    fn route(&self, message: &Message, began: f64) -> Result<Option<Asked>, Refusal> {
        let head = &message.head;
        let path = head.path.split('?').next().unwrap_or_default();
        if path == "/ready" {
            return match (head.method.as_str(), self.may_serve && !self.leaving) {
                ("GET", true) => Ok(None),
                ("GET", false) => Err(refusal(503, "not ready")),
                _ => Err(refusal(405, "/ready: only GET")),
            };
        }
        let first = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let index = |name: &str| self.bounds.table_types.iter().position(|t| t == name);
        let table_type = index(first).ok_or_else(|| refusal(404, "path: nothing is served here"))?;
        if head.method != "POST" {
            return Err(refusal(405, "path: only POST"));
        }
        if !head.class.is_empty() && index(&head.class) != Some(table_type) {
            return Err(refusal(400, "X-Call-Class: not the table type in the path"));
        }
        asked(message, table_type, began, &self.bounds).map(Some)
    }

    /// This client's scan is held under that number until it is answered.
    pub fn holds(&mut self, id: usize, scan: ScanId) {
        if let Some(client) = self.clients.get_mut(id) {
            client.phase = Phase::Held(scan);
        }
    }

    /// The one final answer to a client's request.
    pub fn reply(&mut self, now: f64, id: usize, status: u16, body: &str, wait: f64, alarms: &mut Alarms) {
        let Some(client) = self.clients.get_mut(id) else { return };
        client.keep &= !self.closing;
        client.out.put(&http::answer(status, body, wait, client.keep));
        client.phase = Phase::Head;
        client.began = now;
        self.again.push(id);
        self.write(now, id, alarms);
    }

    fn write(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        let Some(client) = self.clients.get_mut(id) else { return };
        if let Err(e) = client.out.flush(&*client.stream) {
            // Whether a scan is still waiting shows when the end is read.
            debug!("client {id}: {e}");
            client.readable = true;
            return self.again.push(id);
        }
        if !client.out.is_empty() {
            if client.alarm.is_none() {
                client.alarm = Some(alarms.set(now + SLOW, Due::ClientSlow(id)));
            }
            return;
        }
        // It has taken all: held against it later, this alarm would end it while its next scan is held.
        alarms.unset(client.alarm.take());
        if !matches!(client.phase, Phase::Head) {
            return;
        }
        if client.keep {
            return self.rest(id, alarms);
        }
        // Closed at once, with something unread, it would take the answer back.
        let _ = client.stream.shutdown(Shutdown::Write);
        client.phase = Phase::Parting;
        client.alarm = Some(alarms.set(now + PARTING, Due::ClientSlow(id)));
    }

    fn rest(&mut self, id: usize, alarms: &mut Alarms) {
        self.unrest(id);
        self.make_room(alarms);
        self.turns += 1;
        self.idle.insert((self.turns, id));
        self.clients[id].idle = Some(self.turns);
    }

    fn unrest(&mut self, id: usize) {
        if let Some(turn) = self.clients.get_mut(id).and_then(|c| c.idle.take()) {
            self.idle.remove(&(turn, id));
        }
    }

    /// A client has taken too long.
    pub fn slow(&mut self, now: f64, id: usize, alarms: &mut Alarms) -> Option<ScanId> {
        let client = self.clients.get_mut(id)?;
        client.alarm = None;
        if !client.out.is_empty() || !client.asking() {
            return self.end(id, Ending::Stalled, alarms);
        }
        if client.input.is_none() && matches!(client.phase, Phase::Head) {
            self.rest(id, alarms);
            return None;
        }
        client.keep = false;
        self.reply(now, id, 408, &complaint("request: not whole in time"), 0.0, alarms);
        None
    }

    /// The one way a connection goes; names the scan that was held for it.
    fn end(&mut self, id: usize, ending: Ending, alarms: &mut Alarms) -> Option<ScanId> {
        self.unrest(id);
        let client = self.clients.try_remove(id)?;
        alarms.unset(client.alarm);
        self.handle.remove(client.token);
        debug!("client {id}: connection {ending}");
        self.make_room(alarms);
        match client.phase {
            Phase::Held(scan) => Some(scan),
            _ => None,
        }
    }
}

impl Client {
    fn asking(&self) -> bool {
        matches!(self.phase, Phase::Head | Phase::Body(_))
    }

    fn unasked(&self) -> bool {
        matches!(self.phase, Phase::Head) && self.input.is_none() && self.out.is_empty()
    }
}

pub fn complaint(why: &str) -> String {
    json!({ "error": why }).to_string()
}

/// Reads a scan out of a request, naming the field that will not do.
fn asked(message: &Message, table_type: usize, began: f64, bounds: &Bounds) -> Result<Asked, Refusal> {
    let head = &message.head;
    let bad = |why: String| refusal(400, why);
    let id = &head.call_id;
    if id.is_empty() || id.len() > LONGEST_ID || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(bad("X-Call-Id: missing, too long or not in plain characters".to_string()));
    }
    let budget = head.budget.parse::<f64>().ok().filter(|b| b.is_finite());
    let budget = budget.ok_or_else(|| bad("X-Budget: not a number of seconds".to_string()))?;
    if budget <= 0.0 {
        return Err(bad("X-Budget: spent".to_string()));
    }
    let body: Value = serde_json::from_slice(message.text()).map_err(|e| bad(format!("body: {e}")))?;
    let text = body.get("body").and_then(Value::as_str).ok_or_else(|| bad("body: not a text".to_string()))?;
    let buckets = body.get("buckets").and_then(Value::as_array).filter(|b| !b.is_empty());
    let buckets = buckets.ok_or_else(|| bad("buckets: not a list of parts".to_string()))?;
    let mut parts = Vec::with_capacity(buckets.len());
    let mut seen = BTreeSet::new();
    for bucket in buckets {
        let seg = bucket.get("bucket").and_then(Value::as_u64).filter(|seg| *seg < bounds.segs as u64);
        let seg = seg.ok_or_else(|| bad("buckets.bucket: no such shard".to_string()))? as usize;
        if !seen.insert(seg) {
            return Err(bad(format!("buckets.bucket: {seg} is named twice")));
        }
        let weight = bucket.get("part").and_then(Value::as_f64).filter(|w| w.is_finite() && *w >= 0.0);
        let weight = weight.ok_or_else(|| bad("buckets.part: not a share".to_string()))?;
        parts.push(Part { seg, weight });
    }
    // A customer that the settings do not list is served as one more.
    let customer = bounds.customers.iter().position(|c| *c == head.caller);
    Ok(Asked {
        call_id: id.clone(),
        table_type,
        customer: customer.unwrap_or(bounds.customers.len()),
        expires_at: began + budget,
        resent: head.again,
        parts,
        text: text.into(),
    })
}
