//! The client of the discovery agent: a complete endpoint list at first and after each break, then a watch for changes.

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

use crate::buffers::{Buffer, Pool, WriteQueue};
use crate::clock::{TimerEvent, TimerKey, Timers};
use crate::connection_end::ConnectionEnd;
use crate::http::{self, Message};
use crate::iteration::{EventLoopHandle, LoopEvent, watch};
use crate::upstream::{self, EndpointInfo};

/// A change that the agent has not reported counts as known this long after the agent fell silent. The other times here are
/// fractions of this one.
const STALE_AFTER_SECONDS: f64 = 6.0;
/// How long the agent may hold a watch open: short enough for several calls after an unanswered one before the list is stale.
const WATCH_TIMEOUT_MILLISECONDS: u64 = (STALE_AFTER_SECONDS / 4.0 * 1000.0) as u64;
/// How long after it was due a response counts as overdue; another call is then made beside the silent one, whose connection
/// may be broken. Bounds the calls at once to twelve, which `RESERVED_DESCRIPTORS` in `config.rs` allows for.
pub const RESPONSE_OVERDUE_SECONDS: f64 = STALE_AFTER_SECONDS / 12.0;
/// The agent keeps a watch alive if the next request comes within this time after its response.
const WATCH_CONTINUATION_SECONDS: f64 = 0.2;
/// Shortest time between two requests. Guards against polling in a busy loop an agent that answers each watch at once.
const MIN_REQUEST_INTERVAL_SECONDS: f64 = WATCH_CONTINUATION_SECONDS / 4.0;
/// First and longest backoff before an agent that is down is called again.
const BACKOFF_RANGE_SECONDS: (f64, f64) = (WATCH_CONTINUATION_SECONDS / 2.0, RESPONSE_OVERDUE_SECONDS);

/// A complete endpoint list (`whole`), or only the rows that changed.
pub struct EndpointUpdate {
    /// Rows that are not in it are no longer listed.
    pub whole: bool,
    /// The rows, in the list's order.
    pub endpoints: Vec<(Endpoint, EndpointInfo)>,
}

/// One call to the agent, on a connection of its own.
struct DiscoveryCall {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    input: Option<Buffer>,
    message: Option<Message>,
    out: WriteQueue,
    /// A request is out; `is_watch` tells whether it is a watch or asks for a complete list.
    awaiting_response: bool,
    is_watch: bool,
    /// When the agent should have answered, in Unix seconds.
    due: f64,
}

/// The outcome of reading from a connection.
enum ReadResult {
    /// A complete response.
    Update(EndpointUpdate),
    /// No complete response yet.
    Nothing,
    /// The connection is closed and removed; the next call has taken its index.
    Closed,
}

/// The client of the discovery agent.
pub struct DiscoveryClient {
    handle: EventLoopHandle,
    pool: Pool,
    address: SocketAddr,
    nodes: HashMap<String, NodeId>,
    /// The node ids in use; a free one is reused.
    taken: Slab<()>,
    zones: Vec<String>,
    /// Oldest first; more than one only while the agent is silent. The first response closes all others, so that an older one
    /// is never taken for newer.
    calls: Vec<DiscoveryCall>,
    timer: Option<TimerKey>,
    /// The version of the list to watch from; `None` before a complete list has come, and after each break.
    seq: Option<u64>,
    /// The last list had an invalid row.
    had_invalid_row: bool,
    /// A call found no free file descriptor; it is repeated once one has been freed.
    pub short: bool,
    asked: f64,
    pause: f64,
}

impl DiscoveryClient {
    /// Makes no call yet.
    pub fn new(handle: EventLoopHandle, pool: &Pool, address: SocketAddr, bounds: &Bounds) -> Self {
        let (pool, zones, nodes) = (pool.clone(), bounds.zones.clone(), HashMap::new());
        let (calls, timer, seq, pause) = (Vec::new(), None, None, BACKOFF_RANGE_SECONDS.0);
        let (taken, had_invalid_row, short, asked) = (Slab::new(), false, false, f64::MIN);
        Self {
            handle,
            pool,
            address,
            nodes,
            taken,
            zones,
            calls,
            timer,
            seq,
            had_invalid_row,
            short,
            asked,
            pause,
        }
    }

    /// Calls the agent on a new connection: to continue the watch, or for a complete list.
    pub fn call(&mut self, now: f64, timers: &mut Timers) {
        let open = || -> Result<DiscoveryCall, ConnectionEnd> {
            let stream = Rc::new(upstream::open(self.address)?);
            let token = watch(&self.handle, &stream, LoopEvent::DiscoveryReady)
                .map_err(|_| ConnectionEnd::LocalResources)?;
            let out = WriteQueue::new(&self.pool);
            Ok(DiscoveryCall {
                stream,
                token,
                input: None,
                message: None,
                out,
                awaiting_response: true,
                is_watch: false,
                due: now,
            })
        };
        match open() {
            Ok(call) => {
                self.calls.push(call);
                self.ask(now, self.calls.len() - 1, timers);
            }
            Err(ending) => {
                self.short = ending == ConnectionEnd::DescriptorsExhausted;
                self.ended(now, ending, timers);
            }
        }
    }

    /// Changes to another agent. Its versions are unrelated, so a complete list is requested first; until then the last one holds.
    pub fn move_to(&mut self, now: f64, address: SocketAddr, timers: &mut Timers) {
        if address != self.address {
            info!("discovery: agent changed from {} to {address}", self.address);
            self.calls.drain(..).for_each(|call| self.handle.remove(call.token));
            timers.unset(self.timer.take());
            (self.address, self.seq, self.pause) = (address, None, BACKOFF_RANGE_SECONDS.0);
            self.call(now, timers);
        }
    }

    /// Sends a watch if this is the only call. Beside a silent watch a complete list is requested: the agent answers that at once,
    /// and may have restarted and count its versions from 1.
    fn ask(&mut self, now: f64, at: usize, timers: &mut Timers) {
        let from = self.seq.filter(|_| self.calls.len() == 1);
        let (path, wait) = match from {
            None => ("/v1/endpoints".to_string(), 0),
            Some(seq) => (
                format!("/v1/endpoints?index={seq}&wait={WATCH_TIMEOUT_MILLISECONDS}"),
                WATCH_TIMEOUT_MILLISECONDS,
            ),
        };
        let call = &mut self.calls[at];
        (self.asked, call.awaiting_response, call.is_watch) = (now, true, from.is_some());
        call.due = now + wait as f64 / 1000.0;
        call.out.put(&http::get(&path, &self.address.to_string()));
        timers.unset(self.timer.take());
        self.timer = Some(timers.set(call.due + RESPONSE_OVERDUE_SECONDS, TimerEvent::Discovery));
        self.write(now, at, timers);
    }

    /// Returns `false` if the call has ended.
    fn write(&mut self, now: f64, at: usize, timers: &mut Timers) -> bool {
        let call = &mut self.calls[at];
        match call.out.flush(&*call.stream) {
            // Still connecting.
            Err(e) if e.kind() == io::ErrorKind::NotConnected => true,
            Err(e) => {
                self.end(now, at, ConnectionEnd::of(&e), timers);
                false
            }
            Ok(()) => true,
        }
    }

    /// The timer has fired: an answer is overdue, or a pause between two requests is over.
    pub fn due(&mut self, now: f64, timers: &mut Timers) {
        self.timer = None;
        match self.calls.first() {
            Some(call) if call.awaiting_response => {
                warn!("discovery {}: no answer for {:.1} s; calling again", self.address, now - self.asked);
                // Closes calls whose response would be stale by now, no sooner, or a slow agent would never be heard. Half an
                // interval of tolerance, so that a timer that fires early does not allow a thirteenth call.
                let old = |call: &&DiscoveryCall| {
                    now - call.due > STALE_AFTER_SECONDS - RESPONSE_OVERDUE_SECONDS / 2.0
                };
                while let Some(oldest) = self.calls.first().filter(old) {
                    self.handle.remove(oldest.token);
                    self.calls.remove(0);
                    self.reset_index_without_watch();
                }
                self.call(now, timers);
            }
            Some(_) => self.ask(now, 0, timers),
            None => self.call(now, timers),
        }
    }

    /// Closes a call that was not answered.
    fn end(&mut self, now: f64, at: usize, ending: ConnectionEnd, timers: &mut Timers) {
        let call = self.calls.remove(at);
        self.handle.remove(call.token);
        self.ended(now, ending, timers);
    }

    /// Schedules another call after a backoff, unless calls that are still out have a timer. The last list holds meanwhile.
    fn ended(&mut self, now: f64, ending: ConnectionEnd, timers: &mut Timers) {
        warn!("discovery {}: connection {ending}; keeping the last endpoint list", self.address);
        self.reset_index_without_watch();
        if self.calls.is_empty() || self.timer.is_none() {
            timers.unset(self.timer.take());
            self.timer = Some(timers.set(now + self.pause, TimerEvent::Discovery));
            // A local lack of descriptors is no failure of the agent.
            if ending != ConnectionEnd::DescriptorsExhausted {
                self.pause = (2.0 * self.pause).min(BACKOFF_RANGE_SECONDS.1);
            }
        }
    }

    /// Without an open watch the next request is for a complete list.
    fn reset_index_without_watch(&mut self) {
        if !self.calls.iter().any(|call| call.is_watch) {
            self.seq = None;
        }
    }

    /// Reads and writes on all connections; returns the updates that arrived, in their order.
    pub fn ready(&mut self, now: f64, readable: bool, timers: &mut Timers) -> Vec<EndpointUpdate> {
        let (mut news, mut at) = (Vec::new(), 0);
        // The event does not say which connection is ready; there are few.
        while at < self.calls.len() {
            if !self.write(now, at, timers) {
                continue;
            }
            match if readable { self.hear(now, at, timers) } else { ReadResult::Nothing } {
                // All other calls have been closed.
                ReadResult::Update(one) => {
                    news.push(one);
                    at = 0;
                }
                ReadResult::Nothing => at += 1,
                ReadResult::Closed => {}
            }
        }
        news
    }

    /// Reads from one connection until it has a complete response or nothing more to read.
    fn hear(&mut self, now: f64, at: usize, timers: &mut Timers) -> ReadResult {
        loop {
            match self.answer(at) {
                Ok(Some((news, keep))) => return ReadResult::Update(self.heard(now, at, news, keep, timers)),
                Ok(None) => {}
                Err(why) => {
                    warn!("discovery: {why}");
                    self.end(now, at, ConnectionEnd::ProtocolError, timers);
                    return ReadResult::Closed;
                }
            }
            let call = &mut self.calls[at];
            let input = call.input.get_or_insert_with(|| self.pool.take());
            let ending = match input.read_from(&*call.stream) {
                // A response without a length ends at the close.
                Ok(0) if call.message.as_mut().is_some_and(Message::finish_at_close) => continue,
                Ok(0) => ConnectionEnd::Closed,
                Ok(_) => continue,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    if input.is_empty() {
                        call.input = None;
                    }
                    return ReadResult::Nothing;
                }
                Err(e) => ConnectionEnd::of(&e),
            };
            self.end(now, at, ending, timers);
            return ReadResult::Closed;
        }
    }

    /// Parses a complete response from the bytes received, if there is one.
    fn answer(&mut self, at: usize) -> Result<Option<(EndpointUpdate, bool)>, String> {
        let call = &mut self.calls[at];
        let Some(input) = &mut call.input else { return Ok(None) };
        if !call.awaiting_response && !input.is_empty() {
            return Err("an answer to no question".to_string());
        }
        if call.message.is_none() {
            call.message = http::response(input).map_err(|refusal| refusal.why)?.map(Message::after);
        }
        let Some(message) = &mut call.message else { return Ok(None) };
        // An error's body is not awaited.
        if message.head.status != 200 {
            return Err(format!("answered {}", message.head.status));
        }
        if !message.take(input, &self.pool).map_err(|refusal| refusal.why)? {
            return Ok(None);
        }
        let keep = message.head.keep_alive;
        let list = dunepond_config::json(message.text()).map_err(|e| format!("list: {e}"))?;
        call.message = None;
        let (seq, news, had_invalid_row) = self.read(&list).map_err(|Bad(why)| why)?;
        if !news.whole && self.seq.is_none_or(|before| seq < before) {
            return Err(format!("changes up to version {seq}, which do not follow what is known"));
        }
        // A watch does not repeat the change of an invalid row, so the complete list is requested. A complete list may stay
        // invalid: it is requested once more and then accepted without that row.
        let again = had_invalid_row && !(news.whole && self.had_invalid_row);
        self.had_invalid_row = had_invalid_row;
        self.seq = Some(seq).filter(|_| !again);
        Ok(Some((news, keep)))
    }

    /// Closes all other calls, and schedules the next request.
    fn heard(
        &mut self,
        now: f64,
        at: usize,
        news: EndpointUpdate,
        keep: bool,
        timers: &mut Timers,
    ) -> EndpointUpdate {
        self.pause = BACKOFF_RANGE_SECONDS.0;
        if !news.endpoints.is_empty() {
            debug!("discovery: {} endpoints, complete list: {}", news.endpoints.len(), news.whole);
        }
        let mut answered = self.calls.swap_remove(at);
        answered.awaiting_response = false;
        self.calls.drain(..).for_each(|call| self.handle.remove(call.token));
        if keep {
            self.calls.push(answered);
        } else {
            // The agent closes this connection; the watch continues on another one.
            self.handle.remove(answered.token);
        }
        timers.unset(self.timer.take());
        self.timer =
            Some(timers.set(now.max(self.asked + MIN_REQUEST_INTERVAL_SECONDS), TimerEvent::Discovery));
        news
    }

    /// A zone's name, by its index.
    pub fn zone(&self, zone: usize) -> String {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// Frees the id of a node that nothing refers to any more.
    pub fn forget(&mut self, node: NodeId, host: &str) {
        if self.nodes.remove(host).is_some() {
            self.taken.remove(node);
        }
    }

    /// Reads a list; an invalid row is logged and skipped. Returns the list's version, its rows, and whether a row was invalid.
    pub fn read(&mut self, list: &Value) -> Result<(u64, EndpointUpdate, bool), Bad> {
        let list = Fields::of("list", list)?;
        let (seq, whole) = (list.count("seq")?, list.mark("whole")?);
        let (mut endpoints, mut had_invalid_row) = (Vec::new(), false);
        for row in list.list("hosts")? {
            match self.row(row) {
                Ok(row) => endpoints.push(row),
                Err(Bad(why)) => {
                    warn!("discovery: endpoint skipped: {why}");
                    had_invalid_row = true;
                }
            }
        }
        Ok((seq, EndpointUpdate { whole, endpoints }, had_invalid_row))
    }

    fn row(&mut self, row: &Value) -> Result<(Endpoint, EndpointInfo), Bad> {
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
            EndpointInfo { host, dial, cell, started, standing },
        ))
    }
}
