//! The client of the discovery agent. It requests a complete endpoint list first and after each interruption, and then
//! watches for changes.

mod call;
mod list;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use dunepond_config::{ConfigError, HostSettings};
use dunepond_routing::NodeId;
use serde_json::Value;
use tracing::{debug, info, warn};

pub use list::EndpointUpdate;

use crate::buffers::{Pool, WriteQueue};
use crate::clock::{TimerEvent, TimerKey, Timers};
use crate::connection_end::ConnectionEnd;
use crate::http::{self, ResponseReader};
use crate::iteration::{EventLoopHandle, LoopEvent, watch};
use crate::read_turn::{ReadTurn, Received, UnfinishedConnection, UnfinishedTurns};
use crate::socket_buffers::SocketBuffers;
use crate::upstream;
use call::{DiscoveryCall, ListState, Response};
use list::Directory;

#[cfg(test)]
mod tests;

/// How long the endpoint list counts as current after the agent has stopped answering. The platform does not check
/// whether a broker has received a change of the list. It assumes that the broker knows the change at the latest this
/// long after the agent had it and could be reached. A call whose response has been due for that long is closed, so
/// that a new call can bring the change. The other times of this module are fractions of this one.
const STALE_AFTER_SECONDS: f64 = 6.0;
/// How long the agent may hold a watch open. It is short enough that several calls can follow an unanswered one before
/// the endpoint list is stale.
const WATCH_TIMEOUT_MILLISECONDS: u64 = (STALE_AFTER_SECONDS / 4.0 * 1000.0) as u64;
/// How long after its due time a response counts as overdue. Another call is then made in parallel, since the
/// connection of the first may be broken. A call is closed once its response has been due for `STALE_AFTER_SECONDS`,
/// which is twelve times as long, so that at most twelve calls are open at a time; `RESERVED_DESCRIPTORS` in
/// `config.rs` allows for these.
pub const RESPONSE_OVERDUE_SECONDS: f64 = STALE_AFTER_SECONDS / 12.0;
/// Longest time after the response to a watch within which the next request must arrive for the agent to continue the
/// watch.
const WATCH_CONTINUATION_SECONDS: f64 = 0.2;
/// Shortest time between two requests. Prevents a busy loop with an agent that answers each watch at once.
const MIN_REQUEST_INTERVAL_SECONDS: f64 = WATCH_CONTINUATION_SECONDS / 4.0;
/// First backoff before an agent that is down is called again. Each further backoff is twice as long, up to
/// `MAX_BACKOFF_SECONDS`.
const FIRST_BACKOFF_SECONDS: f64 = WATCH_CONTINUATION_SECONDS / 2.0;
/// Longest backoff before an agent that is down is called again.
const MAX_BACKOFF_SECONDS: f64 = RESPONSE_OVERDUE_SECONDS;

/// The outcome of reading from a connection.
enum ReadResult {
    /// A complete response.
    Update(EndpointUpdate),
    /// No complete response yet.
    Nothing,
    /// The connection is closed and its call removed, so that the next call has moved to its index.
    Closed,
}

/// A client of the discovery agent.
pub struct DiscoveryClient {
    handle: EventLoopHandle,
    pool: Pool,
    /// Queues the connections for another turn.
    unfinished_turns: UnfinishedTurns,
    address: SocketAddr,
    /// The sizes of the system's buffers for connections that are opened.
    pub socket_buffers: SocketBuffers,
    /// The calls, oldest first. There is more than one only while the agent does not answer. The first response closes
    /// all other calls, so that an older response can never replace a newer one.
    calls: Vec<DiscoveryCall>,
    timer: Option<TimerKey>,
    list: ListState,
    /// Whether the most recent call found no free file descriptor. The call is repeated once one has been freed.
    pub out_of_descriptors: bool,
    last_request_at: f64,
    /// Seconds before the next call after a failed one.
    backoff: f64,
    /// Number of calls that ended since the start because the agent sent a malformed or unrequested message.
    pub malformed_messages: u64,
}

impl DiscoveryClient {
    /// Creates a client for the agent at `address`, without calling it.
    pub fn new(
        handle: EventLoopHandle,
        pool: &Pool,
        address: SocketAddr,
        settings: &HostSettings,
        unfinished_turns: &UnfinishedTurns,
    ) -> Self {
        let directory = Directory::new(settings.zones.clone());
        Self {
            handle,
            pool: pool.clone(),
            unfinished_turns: unfinished_turns.clone(),
            address,
            socket_buffers: SocketBuffers::default(),
            calls: Vec::new(),
            timer: None,
            list: ListState { version: None, had_invalid_row: false, directory },
            out_of_descriptors: false,
            last_request_at: f64::MIN,
            backoff: FIRST_BACKOFF_SECONDS,
            malformed_messages: 0,
        }
    }

    /// Calls the agent on a new connection, to continue the watch or to get a complete list.
    pub fn start_call(&mut self, now: f64, timers: &mut Timers) {
        match self.connect(now) {
            Ok(call) => {
                self.calls.push(call);
                self.send_request(now, self.calls.len() - 1, timers);
            }
            Err(reason) => {
                self.out_of_descriptors = reason == ConnectionEnd::DescriptorsExhausted;
                self.on_call_ended(now, reason, timers);
            }
        }
    }

    /// Opens a connection to the agent.
    fn connect(&self, now: f64) -> Result<DiscoveryCall, ConnectionEnd> {
        let stream = Rc::new(upstream::open(self.address, self.socket_buffers)?);
        let token = watch(&self.handle, &stream, LoopEvent::DiscoveryReady)
            .map_err(|_| ConnectionEnd::LocalResources)?;
        Ok(DiscoveryCall {
            stream,
            token,
            input: None,
            responses: ResponseReader::default(),
            write_queue: WriteQueue::new(&self.pool),
            awaiting_response: true,
            is_watch: false,
            response_due_at: now,
        })
    }

    /// Switches to another agent. The versions of two agents are unrelated, so a complete list is requested first.
    /// The last list of the old agent stays in use until the new one arrives.
    pub fn change_agent(&mut self, now: f64, address: SocketAddr, timers: &mut Timers) {
        if address != self.address {
            info!("discovery: agent changed from {} to {address}", self.address);
            self.calls.drain(..).for_each(|call| self.handle.remove(call.token));
            timers.cancel(self.timer.take());
            self.address = address;
            self.list.version = None;
            self.backoff = FIRST_BACKOFF_SECONDS;
            self.start_call(now, timers);
        }
    }

    /// Sends a watch if this is the only call and a version is known. Otherwise requests a complete list: if there
    /// are other calls, they are not being answered, and the agent may have restarted, after which its versions begin
    /// with 1 again. The agent answers a request for a complete list at once.
    fn send_request(&mut self, now: f64, at: usize, timers: &mut Timers) {
        let watch_from = self.list.version.filter(|_| self.calls.len() == 1);
        let (path, wait_milliseconds) = match watch_from {
            None => ("/v1/endpoints".to_string(), 0),
            Some(version) => (
                format!("/v1/endpoints?index={version}&wait={WATCH_TIMEOUT_MILLISECONDS}"),
                WATCH_TIMEOUT_MILLISECONDS,
            ),
        };
        self.last_request_at = now;
        let call = &mut self.calls[at];
        call.awaiting_response = true;
        call.is_watch = watch_from.is_some();
        call.response_due_at = now + wait_milliseconds as f64 / 1000.0;
        call.write_queue.queue_bytes(&http::encode_get(&path, &self.address.to_string()));
        timers.cancel(self.timer.take());
        let overdue_at = call.response_due_at + RESPONSE_OVERDUE_SECONDS;
        self.timer = Some(timers.schedule(overdue_at, TimerEvent::Discovery));
        self.write(now, at, timers);
    }

    /// Writes the pending bytes of a call. Returns `false` if that failed and the call has ended.
    fn write(&mut self, now: f64, at: usize, timers: &mut Timers) -> bool {
        let call = &mut self.calls[at];
        match call.write_queue.flush(&*call.stream) {
            // The connection is still being established.
            Err(e) if e.kind() == io::ErrorKind::NotConnected => true,
            Err(e) => {
                self.end_call(now, at, ConnectionEnd::from_io_error(&e), timers);
                false
            }
            Ok(()) => true,
        }
    }

    /// Handles the timer: a response is overdue, or the next request or call is due.
    pub fn on_timer(&mut self, now: f64, timers: &mut Timers) {
        self.timer = None;
        match self.calls.first() {
            Some(call) if call.awaiting_response => {
                let silence = now - self.last_request_at;
                warn!("discovery {}: no answer for {silence:.1} s; calling again", self.address);
                // Closes calls whose response would be stale by now. Closing them sooner would mean that no response
                // of a slow agent is ever received. A response is stale after twelve intervals of
                // `RESPONSE_OVERDUE_SECONDS`, so that at most twelve calls are open. The tolerance of half an
                // interval keeps that limit even if a timer fires early.
                let is_stale = |call: &&DiscoveryCall| {
                    now - call.response_due_at > STALE_AFTER_SECONDS - RESPONSE_OVERDUE_SECONDS / 2.0
                };
                while let Some(oldest) = self.calls.first().filter(is_stale) {
                    self.handle.remove(oldest.token);
                    self.calls.remove(0);
                    self.reset_version_without_watch();
                }
                self.start_call(now, timers);
            }
            Some(_) => self.send_request(now, 0, timers),
            None => self.start_call(now, timers),
        }
    }

    /// Closes a call that has failed.
    fn end_call(&mut self, now: f64, at: usize, reason: ConnectionEnd, timers: &mut Timers) {
        let call = self.calls.remove(at);
        self.handle.remove(call.token);
        self.malformed_messages += u64::from(reason == ConnectionEnd::ProtocolError);
        self.on_call_ended(now, reason, timers);
    }

    /// Schedules another call after a backoff, unless the timer of a remaining call is pending. The last endpoint
    /// list stays in use until a response arrives.
    fn on_call_ended(&mut self, now: f64, reason: ConnectionEnd, timers: &mut Timers) {
        warn!("discovery {}: connection {reason}; keeping the last endpoint list", self.address);
        self.reset_version_without_watch();
        if self.calls.is_empty() || self.timer.is_none() {
            timers.cancel(self.timer.take());
            self.timer = Some(timers.schedule(now + self.backoff, TimerEvent::Discovery));
            // A local lack of file descriptors is not a failure of the agent.
            if reason != ConnectionEnd::DescriptorsExhausted {
                self.backoff = (2.0 * self.backoff).min(MAX_BACKOFF_SECONDS);
            }
        }
    }

    /// Forgets the version of the endpoint list if no watch is open, so that the next request is for a complete list.
    fn reset_version_without_watch(&mut self) {
        if !self.calls.iter().any(|call| call.is_watch) {
            self.list.version = None;
        }
    }

    /// Reads and writes on all connections. Returns the updates that arrived, in order.
    pub fn on_ready(&mut self, now: f64, readable: bool, timers: &mut Timers) -> Vec<EndpointUpdate> {
        let (mut updates, mut at) = (Vec::new(), 0);
        // The event does not say which connection is ready. There are few, so all are tried.
        while at < self.calls.len() {
            if !self.write(now, at, timers) {
                continue;
            }
            let result = if readable { self.read_responses(now, at, timers) } else { ReadResult::Nothing };
            match result {
                // The response has closed all other calls.
                ReadResult::Update(update) => {
                    updates.push(update);
                    at = 0;
                }
                ReadResult::Nothing => at += 1,
                ReadResult::Closed => {}
            }
        }
        updates
    }

    /// Reads from one connection until it has a complete response, nothing more to read, or its turn is over.
    fn read_responses(&mut self, now: f64, at: usize, timers: &mut Timers) -> ReadResult {
        let mut turn = ReadTurn::default();
        loop {
            match self.calls[at].parse_response(&self.pool, &mut self.list) {
                Ok(Some(response)) => return ReadResult::Update(self.on_response(now, at, response, timers)),
                Ok(None) => {}
                Err(error) => {
                    warn!("discovery: {error}");
                    self.end_call(now, at, ConnectionEnd::ProtocolError, timers);
                    return ReadResult::Closed;
                }
            }
            let call = &mut self.calls[at];
            let input = call.input.get_or_insert_with(|| self.pool.acquire_for_body());
            let reason = match turn.read(input, &*call.stream) {
                // A response without a length is complete when the agent closes the connection.
                Ok(Received::End) if call.responses.finish_at_close() => continue,
                Ok(Received::End) => ConnectionEnd::Closed,
                Ok(Received::Bytes) => continue,
                Ok(Received::TurnOver) => {
                    self.unfinished_turns.add(UnfinishedConnection::Discovery);
                    return ReadResult::Nothing;
                }
                Err(e) if e.kind() != io::ErrorKind::NotConnected => ConnectionEnd::from_io_error(&e),
                // Nothing has arrived, or the connection is still being established.
                Ok(Received::Drained) | Err(_) => {
                    if input.is_empty() {
                        call.input = None;
                    }
                    return ReadResult::Nothing;
                }
            };
            self.end_call(now, at, reason, timers);
            return ReadResult::Closed;
        }
    }

    /// Closes all calls except the one that was answered, and schedules the next request.
    fn on_response(
        &mut self,
        now: f64,
        at: usize,
        response: Response,
        timers: &mut Timers,
    ) -> EndpointUpdate {
        let Response { update, keep_alive } = response;
        self.backoff = FIRST_BACKOFF_SECONDS;
        if !update.endpoints.is_empty() {
            debug!("discovery: {} endpoints, complete list: {}", update.endpoints.len(), update.complete);
        }
        let mut answered = self.calls.swap_remove(at);
        answered.awaiting_response = false;
        self.calls.drain(..).for_each(|call| self.handle.remove(call.token));
        if keep_alive {
            self.calls.push(answered);
        } else {
            // The agent closes this connection, so the watch continues on a new one.
            self.handle.remove(answered.token);
        }
        timers.cancel(self.timer.take());
        let next_request_at = now.max(self.last_request_at + MIN_REQUEST_INTERVAL_SECONDS);
        self.timer = Some(timers.schedule(next_request_at, TimerEvent::Discovery));
        update
    }

    /// Returns the name of the zone with this index; empty if there is none.
    pub fn zone_name(&self, zone: usize) -> String {
        self.list.directory.zone_name(zone)
    }

    /// Frees the id of a removed node.
    pub fn forget(&mut self, node: NodeId, host: &str) {
        self.list.directory.forget(node, host);
    }

    /// Parses the endpoint list of the configuration. An invalid row is logged and skipped.
    pub fn parse_configured_list(&mut self, list: &Value) -> Result<EndpointUpdate, ConfigError> {
        self.list.directory.parse_list(list).map(|parsed| parsed.update)
    }
}
