//! Accepts client connections, and evicts a connection that is owed no response where the bound on connections is reached.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use socket2::{Domain, Protocol, Socket, Type};
use tracing::warn;

use super::{ArrivalTimes, ClientConnection, Downstream, Listener, RequestPhase};
use crate::buffers::WriteQueue;
use crate::clock::{TimerEvent, Timers};
use crate::connection_end::ConnectionEnd;
use crate::iteration::{LoopEvent, Port, watch};

/// Connections accepted before other events are handled: keeps an iteration short against the 50 ms by which any time
/// limit may be exceeded.
const MAX_ACCEPTS_PER_ITERATION: usize = 32;
/// How soon accepting is tried again after it has failed for lack of resources: a client in the backlog has a request
/// timeout that is running, which may be exceeded by 50 ms.
const ACCEPT_RETRY_SECONDS: f64 = 0.05;
const LISTEN_BACKLOG: i32 = 1024;

/// Opens a non-blocking listener. Fails where the address is in use or not one of this host.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

impl Downstream {
    /// Accepts connections at one more listener.
    ///
    /// Fails where the event loop cannot watch the listener.
    pub fn add_listener(&mut self, listener: TcpListener, port: Port) -> calloop::Result<()> {
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = self.handle.insert_source(source, move |_, _, iteration| {
            iteration.events.push_back(LoopEvent::Accept(port));
            Ok(PostAction::Continue)
        });
        self.listeners.push(Listener {
            listener,
            token: token.map_err(|e| e.error)?,
            port,
            paused_since: None,
        });
        Ok(())
    }

    /// Accepts some of the connections in the backlog; true if there may be more.
    pub fn accept(&mut self, now: f64, port: Port, timers: &mut Timers) -> bool {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Some(at) = self.listeners.iter().position(|entry| entry.port == port) else {
                return false;
            };
            let full = self.connections.len() >= self.max_connections;
            let candidate = if full { self.eviction_candidate(now) } else { None };
            if full && candidate.is_none() {
                // A connection that is still to be read may turn out to be owed no response.
                let soon = !self.pending_clients.is_empty();
                self.pause_accepting(now, soon.then_some(now), timers);
                return false;
            }
            match self.listeners[at].listener.accept() {
                Ok((stream, peer)) => {
                    // Not before accept(): the backlog may be empty.
                    candidate.map(|id| self.close(id, ConnectionEnd::IdleClosed, timers));
                    let paused_since = self.listeners[at].paused_since;
                    match self.register(now, stream, port, paused_since, timers) {
                        Ok(id) => self.pending_clients.push(id),
                        Err(e) => warn!("client {peer}: not accepted: {e}"),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.listeners[at].paused_since = None;
                    return false;
                }
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    warn!("accepting paused: {e}");
                    self.pause_accepting(now, Some(now + ACCEPT_RETRY_SECONDS), timers);
                    return false;
                }
            }
        }
        true
    }

    /// Closes one connection to free a descriptor; false if all connections are owed a response.
    pub fn evict_one(&mut self, now: f64, timers: &mut Timers) -> bool {
        let candidate = self.eviction_candidate(now);
        candidate.map(|id| self.close(id, ConnectionEnd::IdleClosed, timers));
        candidate.is_some()
    }

    fn register(
        &mut self,
        now: f64,
        stream: TcpStream,
        port: Port,
        paused_since: Option<f64>,
        timers: &mut Timers,
    ) -> calloop::Result<usize> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let received_at = self.received_at(now);
        let connected = paused_since.map_or(received_at, |since| since.min(received_at));
        let entry = self.connections.vacant_entry();
        let id = entry.key();
        let token = watch(&self.handle, &stream, move |readable| LoopEvent::ClientReady(id, readable));
        entry.insert(ClientConnection {
            stream,
            port,
            token: token?,
            input: None,
            read_ahead: VecDeque::new(),
            output: WriteQueue::new(&self.pool),
            phase: RequestPhase::ReadingHead,
            readable: true,
            last_checked_at: f64::MIN,
            disconnected: None,
            arrivals: ArrivalTimes::new(connected),
            request_started_at: now,
            keep_alive: true,
            responded_in_body: false,
            reading_paused: false,
            timer: None,
        });
        self.start_request_timer(now, id, timers);
        Ok(id)
    }

    /// Stops accepting until a connection has gone, or until a time.
    fn pause_accepting(&mut self, now: f64, until: Option<f64>, timers: &mut Timers) {
        if !self.accepting_paused {
            self.listeners.iter_mut().for_each(|entry| {
                entry.paused_since.get_or_insert(now);
            });
            self.accepting_paused =
                self.listeners.iter().all(|entry| self.handle.disable(&entry.token).is_ok());
        }
        if let Some(until) = until {
            timers.schedule(until, TimerEvent::ResumeAccept);
        }
    }

    /// Accepting may go on; not at once, as this may run in the listener's own callback.
    pub(super) fn schedule_resume_accepting(&self, timers: &mut Timers) {
        if self.accepting_paused {
            timers.schedule(0.0, TimerEvent::ResumeAccept);
        }
    }

    /// Accepts connections again after a pause.
    pub fn resume_accepting(&mut self) {
        if self.accepting_paused {
            self.accepting_paused =
                !self.listeners.iter().all(|entry| self.handle.enable(&entry.token).is_ok());
        }
    }

    /// Accepts no connection before `until` (Unix seconds) or an explicit resume; clients wait in the backlog.
    pub fn delay_accepting(&mut self, now: f64, until: f64, timers: &mut Timers) {
        self.pause_accepting(now, Some(until), timers);
    }
}
