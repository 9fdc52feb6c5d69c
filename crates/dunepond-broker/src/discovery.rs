//! Discovery: the list of nodes, whole at first and after each break, then by a watch on what changes.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use dunepond_config::{Bad, Bounds, Fields};
use dunepond_routing::{Endpoint, EndpointState, NodeId};
use serde_json::Value;
use slab::Slab;
use tracing::{debug, info, warn};

use crate::buffers::{Buffer, Outflow, Pool};
use crate::clock::{Alarms, Due, Key};
use crate::connection_end::Ending;
use crate::http::{self, Message};
use crate::iteration::{Handle, Ready, watch};
use crate::upstream::{self, Listing};

/// What a silent agent does not tell counts as told so long after it fell silent: the page's one clock for silence, the same
/// for all deployments. What follows are shares of it.
const TOLD: f64 = 6.0;
/// How long a watch may wait: a quarter of that, so that several calls can follow a silent one before it is over.
const WATCH_MS: u64 = (TOLD / 4.0 * 1000.0) as u64;
/// How long after its time an answer is missed: another call goes out beside the one that is silent, as what is
/// broken may be that one connection, and is itself missed so soon, as it asks for what can be had at once. At this pace
/// there is one soon after an agent's return too: what it gets then counts at once. A twelfth is as many calls at once as
/// our own descriptors are reckoned for (`config.rs`); each is given all of `TOLD`, however slow the agent.
pub const OVERDUE: f64 = TOLD / 12.0;
/// By the protocol page a watch goes on if the next call comes so soon after the last answer.
const GOES_ON: f64 = 0.2;
/// Between two calls at least, far inside of that: an agent that answers a watch at once, whatever it is asked, must not make
/// us ask it in circles. A quarter, so that a turn of the loop that comes late still finds the watch alive.
const APART: f64 = GOES_ON / 4.0;
/// Before a call to an agent that is down is made again: at first, inside of what keeps a watch alive, and at most, which is
/// the pace of the silent.
const AGAIN: (f64, f64) = (GOES_ON / 2.0, OVERDUE);

/// A list, or what changed in it.
pub struct News {
    pub whole: bool,
    pub rows: Vec<(Endpoint, Listing)>,
}

/// One call to the agent, on a connection of its own.
struct Call {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    input: Option<Buffer>,
    message: Option<Message>,
    out: Outflow,
    /// An answer is awaited; to a watch, or to a call for the whole list.
    awaiting: bool,
    watches: bool,
    /// When its answer could be there.
    due: f64,
}

/// What reading a connection on has come to.
enum Heard {
    News(News),
    Nothing,
    /// The connection is gone, and another has its place.
    Ended,
}

/// The client of discovery: what it asks the agent on this machine, and what it has heard.
pub struct DiscoveryClient {
    handle: Handle,
    pool: Pool,
    address: SocketAddr,
    nodes: HashMap<String, NodeId>,
    /// Which indices the nodes have.
    taken: Slab<()>,
    zones: Vec<String>,
    /// The oldest first. More than one only while an agent is silent; the first answer ends all others, so that
    /// none that crossed it is ever taken for newer.
    calls: Vec<Call>,
    alarm: Option<Key>,
    /// The version to watch from; none before a whole list has come, and after each break.
    seq: Option<u64>,
    /// The last list had a line that would not do.
    spoilt: bool,
    /// There was no descriptor for a call: it can be made again once somebody has made room.
    pub short: bool,
    asked: f64,
    pause: f64,
}

impl DiscoveryClient {
    pub fn new(handle: Handle, pool: &Pool, address: SocketAddr, bounds: &Bounds) -> Self {
        let (pool, zones, nodes) = (pool.clone(), bounds.zones.clone(), HashMap::new());
        let (calls, alarm, seq, pause) = (Vec::new(), None, None, AGAIN.0);
        let (taken, spoilt, short, asked) = (Slab::new(), false, false, f64::MIN);
        Self { handle, pool, address, nodes, taken, zones, calls, alarm, seq, spoilt, short, asked, pause }
    }

    /// Calls the agent on a new connection: to watch on from where it was, or for the whole list.
    pub fn call(&mut self, now: f64, alarms: &mut Alarms) {
        let open = || -> Result<Call, Ending> {
            let stream = Rc::new(upstream::open(self.address)?);
            let token = watch(&self.handle, &stream, Ready::Discovery).map_err(|_| Ending::NoMeans)?;
            let out = Outflow::new(&self.pool);
            Ok(Call {
                stream,
                token,
                input: None,
                message: None,
                out,
                awaiting: true,
                watches: false,
                due: now,
            })
        };
        match open() {
            Ok(call) => {
                self.calls.push(call);
                self.ask(now, self.calls.len() - 1, alarms);
            }
            Err(ending) => {
                self.short = ending == Ending::NoDescriptor;
                self.ended(now, ending, alarms);
            }
        }
    }

    /// Calls another agent in place of this one. Its versions are its own, so that its whole list comes first;
    /// until then the last list holds.
    pub fn move_to(&mut self, now: f64, address: SocketAddr, alarms: &mut Alarms) {
        if address != self.address {
            info!("discovery: from {} to {address}", self.address);
            self.calls.drain(..).for_each(|call| self.handle.remove(call.token));
            alarms.unset(self.alarm.take());
            (self.address, self.seq, self.pause) = (address, None, AGAIN.0);
            self.call(now, alarms);
        }
    }

    /// A watch if it is the only call. One beside a silent watch asks for the whole list: that is answered at once,
    /// and the agent may have begun anew and count its versions from 1.
    fn ask(&mut self, now: f64, at: usize, alarms: &mut Alarms) {
        let from = self.seq.filter(|_| self.calls.len() == 1);
        let (path, wait) = match from {
            None => ("/v1/endpoints".to_string(), 0),
            Some(seq) => (format!("/v1/endpoints?index={seq}&wait={WATCH_MS}"), WATCH_MS),
        };
        let call = &mut self.calls[at];
        (self.asked, call.awaiting, call.watches) = (now, true, from.is_some());
        call.due = now + wait as f64 / 1000.0;
        call.out.put(&http::get(&path, &self.address.to_string()));
        alarms.unset(self.alarm.take());
        self.alarm = Some(alarms.set(call.due + OVERDUE, Due::Discovery));
        self.write(now, at, alarms);
    }

    /// False once that has ended it.
    fn write(&mut self, now: f64, at: usize, alarms: &mut Alarms) -> bool {
        let call = &mut self.calls[at];
        match call.out.flush(&*call.stream) {
            // Not up yet.
            Err(e) if e.kind() == io::ErrorKind::NotConnected => true,
            Err(e) => {
                self.end(now, at, Ending::of(&e), alarms);
                false
            }
            Ok(()) => true,
        }
    }

    /// The agent's time is up: its answer's, or that of a pause.
    pub fn due(&mut self, now: f64, alarms: &mut Alarms) {
        self.alarm = None;
        match self.calls.first() {
            Some(call) if call.awaiting => {
                warn!("discovery {}: silent for {:.1} s; called again", self.address, now - self.asked);
                // Each has all the time in which its answer is of use. Ended sooner to make room, an answer that
                // is slow to come, or comes in pieces, would never be heard; and one that drips for ever ends here.
                // To half a pace: whether the twelfth rings a moment early must not decide on a thirteenth.
                let old = |call: &&Call| now - call.due > TOLD - OVERDUE / 2.0;
                while let Some(oldest) = self.calls.first().filter(old) {
                    self.handle.remove(oldest.token);
                    self.calls.remove(0);
                    self.watch_broken();
                }
                self.call(now, alarms);
            }
            Some(_) => self.ask(now, 0, alarms),
            None => self.call(now, alarms),
        }
    }

    /// The one way a call goes that was not answered.
    fn end(&mut self, now: f64, at: usize, ending: Ending, alarms: &mut Alarms) {
        let call = self.calls.remove(at);
        self.handle.remove(call.token);
        self.ended(now, ending, alarms);
    }

    /// The last list holds until the next one; that is asked for after a pause, or when the calls that are still
    /// out have been silent for long enough.
    fn ended(&mut self, now: f64, ending: Ending, alarms: &mut Alarms) {
        warn!("discovery {}: connection {ending}; the last list holds", self.address);
        self.watch_broken();
        if self.calls.is_empty() || self.alarm.is_none() {
            alarms.unset(self.alarm.take());
            self.alarm = Some(alarms.set(now + self.pause, Due::Discovery));
            // Our own lack says nothing of the agent.
            if ending != Ending::NoDescriptor {
                self.pause = (2.0 * self.pause).min(AGAIN.1);
            }
        }
    }

    /// Without a watch that is out, what comes next is a whole list.
    fn watch_broken(&mut self) {
        if !self.calls.iter().any(|call| call.watches) {
            self.seq = None;
        }
    }

    pub fn ready(&mut self, now: f64, readable: bool, alarms: &mut Alarms) -> Vec<News> {
        let (mut news, mut at) = (Vec::new(), 0);
        // Which connection it was is not told: they are few, and mostly one.
        while at < self.calls.len() {
            if !self.write(now, at, alarms) {
                continue;
            }
            match if readable { self.hear(now, at, alarms) } else { Heard::Nothing } {
                // All others are gone.
                Heard::News(one) => {
                    news.push(one);
                    at = 0;
                }
                Heard::Nothing => at += 1,
                Heard::Ended => {}
            }
        }
        news
    }

    /// Reads one connection on.
    fn hear(&mut self, now: f64, at: usize, alarms: &mut Alarms) -> Heard {
        loop {
            match self.answer(at) {
                Ok(Some((news, keep))) => return Heard::News(self.heard(now, at, news, keep, alarms)),
                Ok(None) => {}
                Err(why) => {
                    warn!("discovery: {why}");
                    self.end(now, at, Ending::Garbled, alarms);
                    return Heard::Ended;
                }
            }
            let call = &mut self.calls[at];
            let input = call.input.get_or_insert_with(|| self.pool.take());
            let ending = match input.read_from(&*call.stream) {
                // A list that states no length ends so.
                Ok(0) if call.message.as_mut().is_some_and(Message::closed) => continue,
                Ok(0) => Ending::Closed,
                Ok(_) => continue,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    if input.is_empty() {
                        call.input = None;
                    }
                    return Heard::Nothing;
                }
                Err(e) => Ending::of(&e),
            };
            self.end(now, at, ending, alarms);
            return Heard::Ended;
        }
    }

    /// Takes one whole answer out of what has come, or says why it will not do.
    fn answer(&mut self, at: usize) -> Result<Option<(News, bool)>, String> {
        let call = &mut self.calls[at];
        let Some(input) = &mut call.input else { return Ok(None) };
        if !call.awaiting && !input.is_empty() {
            return Err("an answer to no question".to_string());
        }
        if call.message.is_none() {
            call.message = http::response(input).map_err(|refusal| refusal.why)?.map(Message::after);
        }
        let Some(message) = &mut call.message else { return Ok(None) };
        // What it says beside that need not be waited for.
        if message.head.status != 200 {
            return Err(format!("answered {}", message.head.status));
        }
        if !message.take(input, &self.pool).map_err(|refusal| refusal.why)? {
            return Ok(None);
        }
        let keep = message.head.keep;
        let list = dunepond_config::json(message.text()).map_err(|e| format!("list: {e}"))?;
        call.message = None;
        let (seq, news, spoilt) = self.read(&list).map_err(|Bad(why)| why)?;
        if !news.whole && self.seq.is_none_or(|before| seq < before) {
            return Err(format!("changes up to version {seq}, which do not follow what is known"));
        }
        // What a spoilt line wanted to tell no watch tells again: all of it is asked for. A whole list may be spoilt for
        // good: it is asked for once more, and then lived with.
        let again = spoilt && !(news.whole && self.spoilt);
        self.spoilt = spoilt;
        self.seq = Some(seq).filter(|_| !again);
        Ok(Some((news, keep)))
    }

    /// Ends all other calls, and asks on soon.
    fn heard(&mut self, now: f64, at: usize, news: News, keep: bool, alarms: &mut Alarms) -> News {
        self.pause = AGAIN.0;
        if !news.rows.is_empty() {
            debug!("discovery: {} lines, whole: {}", news.rows.len(), news.whole);
        }
        let mut answered = self.calls.swap_remove(at);
        answered.awaiting = false;
        self.calls.drain(..).for_each(|call| self.handle.remove(call.token));
        if keep {
            self.calls.push(answered);
        } else {
            // Its way to end a connection; the watch goes on over another one.
            self.handle.remove(answered.token);
        }
        alarms.unset(self.alarm.take());
        self.alarm = Some(alarms.set(now.max(self.asked + APART), Due::Discovery));
        news
    }

    /// A zone's name, by its index.
    pub fn zone(&self, zone: usize) -> String {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// Nothing names this node any more: its index may be given to another.
    pub fn forget(&mut self, node: NodeId, host: &str) {
        if self.nodes.remove(host).is_some() {
            self.taken.remove(node);
        }
    }

    /// Reads a list; a line that will not do is named and skipped. Gives the version too, and whether there was such a line.
    pub fn read(&mut self, list: &Value) -> Result<(u64, News, bool), Bad> {
        let list = Fields::of("list", list)?;
        let (seq, whole) = (list.count("seq")?, list.mark("whole")?);
        let (mut rows, mut spoilt) = (Vec::new(), false);
        for row in list.list("hosts")? {
            match self.row(row) {
                Ok(row) => rows.push(row),
                Err(Bad(why)) => {
                    warn!("discovery: a line is skipped: {why}");
                    spoilt = true;
                }
            }
        }
        Ok((seq, News { whole, rows }, spoilt))
    }

    fn row(&mut self, row: &Value) -> Result<(Endpoint, Listing), Bad> {
        let row = Fields::of("hosts", row)?;
        let host = row.text("host")?;
        let standing = match row.text("health")? {
            "ready" => EndpointState::Active,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Removed,
            _ => return Err(row.bad("health", "unknown word")),
        };
        let dial: Option<SocketAddr> = match row.optional_text("dial")? {
            Some(dial) => Some(dial.parse().map_err(|_| row.bad("dial", "not an address:port"))?),
            None if standing == EndpointState::Removed => None,
            None => return Err(row.bad("dial", "missing")),
        };
        let cell = row.count("block")? as usize;
        let site = row.optional_text("site")?.unwrap_or_default();
        let started = row.number_or("born_ms", 0.0)? / 1000.0;
        let zone = self.zones.iter().position(|zone| zone == site).unwrap_or_else(|| {
            self.zones.push(site.to_string());
            self.zones.len() - 1
        });
        let node = *self.nodes.entry(host.to_string()).or_insert_with(|| {
            let node = self.taken.insert(());
            info!("discovery: node {node} is {host} at {}", dial.map_or("?".to_string(), |d| d.to_string()));
            node
        });
        let host = host.to_string();
        Ok((
            Endpoint { node, replica_group: cell, zone, state: standing, started_at: started },
            Listing { host, dial, cell, started, standing },
        ))
    }
}
