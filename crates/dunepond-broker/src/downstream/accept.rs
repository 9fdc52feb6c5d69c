//! Accepts client connections. If the maximum number of connections is open, evicts one whose client is not waiting for
//! a response.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use socket2::{Domain, Protocol, Socket, Type};
use tracing::warn;

use super::{ArrivalTimes, ClientConnection, ConnectionPhase, Downstream, Listener};
use crate::buffers::WriteQueue;
use crate::clock::{self, TimerEvent, Timers};
use crate::connection_end::ConnectionEnd;
use crate::iteration::{LoopEvent, Port, watch};
use crate::read_turn::UnfinishedConnection;

/// Maximum number of connections accepted before other events are handled: keeps an iteration of the event loop short
/// compared with the 50 ms by which any time limit may be exceeded.
pub(super) const MAX_ACCEPTS_PER_ITERATION: usize = 32;
/// Delay before accepting is retried after accept() has failed, for example for lack of file descriptors. The request
/// timeouts of clients in the backlog are running meanwhile, and may be exceeded by at most 50 ms.
const ACCEPT_RETRY_SECONDS: f64 = 0.05;
/// Maximum number of connections in a listener's backlog.
pub(super) const LISTEN_BACKLOG: usize = 1024;

/// Opens a non-blocking listener. Fails if the address is in use or does not belong to this host.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG as i32)?;
    Ok(socket.into())
}

impl Downstream {
    /// Adds a listener, whose connections are accepted from now on.
    ///
    /// Fails if the event loop cannot watch the listener.
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

    /// Accepts a bounded number of connections from the backlog of a port; returns `true` if the backlog may contain
    /// more.
    pub fn accept(&mut self, now: f64, port: Port, timers: &mut Timers) -> bool {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Some(index) = self.listeners.iter().position(|entry| entry.port == port) else {
                return false;
            };
            let full = self.connections.len() >= self.max_connections;
            let candidate = if full { self.eviction_candidate(now) } else { None };
            if full && candidate.is_none() {
                // Retried soon while there are clients still to be read: reading may show that one of them awaits no
                // response, and such a client can be evicted to make room.
                let retry_soon = !self.clients_to_read.is_empty() || !self.unfinished_turns.is_empty();
                self.pause_accepting(now, retry_soon.then_some(now), timers);
                return false;
            }
            match self.listeners[index].listener.accept() {
                Ok((stream, peer)) => {
                    // The candidate is evicted only after accept() has succeeded: with an empty backlog, no room is
                    // needed.
                    candidate.map(|id| self.close(id, ConnectionEnd::IdleClosed, timers));
                    let paused_since = self.listeners[index].paused_since;
                    match self.register(now, stream, port, paused_since, timers) {
                        Ok(id) => self.unfinished_turns.add(UnfinishedConnection::Client(id)),
                        Err(e) => warn!("client {peer}: not accepted: {e}"),
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.listeners[index].paused_since = None;
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

    /// Closes one connection to free a file descriptor; returns `false` if no connection may be evicted.
    pub fn evict_one(&mut self, now: f64, timers: &mut Timers) -> bool {
        let candidate = self.eviction_candidate(now);
        candidate.map(|id| self.close(id, ConnectionEnd::IdleClosed, timers));
        candidate.is_some()
    }

    /// Registers an accepted connection with the event loop and starts its request timeout; returns its index.
    /// `paused_since` is the time at which accepting was paused, or `None` if the connection cannot have waited in the
    /// backlog since a pause.
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
        let connected_at = paused_since.map_or(received_at, |since| since.min(received_at));
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
            phase: ConnectionPhase::new(),
            readable: true,
            last_checked_at: f64::MIN,
            hides_its_end: false,
            disconnected: None,
            arrivals: ArrivalTimes::new(connected_at),
            request_started_at: now,
            keep_alive: true,
            requests_in_turn: 0,
            reads_in_turn: 0,
            reading_paused: false,
            timer: None,
        });
        self.start_request_timer(now, id, timers);
        Ok(id)
    }

    /// Stops accepting until a connection has closed or become idle, or until the time `until` if it is given.
    fn pause_accepting(&mut self, now: f64, until: Option<f64>, timers: &mut Timers) {
        if !self.accepting_paused {
            self.listeners.iter_mut().for_each(|entry| {
                entry.paused_since.get_or_insert(now);
            });
            self.accepting_paused =
                self.listeners.iter().all(|entry| self.handle.disable(&entry.token).is_ok());
        }
        if let Some(until) = until {
            self.schedule_resume(until, timers);
        }
    }

    /// Schedules the end of a pause at `at`, unless it ends earlier already.
    fn schedule_resume(&mut self, at: f64, timers: &mut Timers) {
        if self.resume_timer.is_some_and(|timer| clock::is_due(timer, at)) {
            return;
        }
        timers.cancel(self.resume_timer.take());
        self.resume_timer = Some(timers.schedule(at, TimerEvent::ResumeAccept));
    }

    /// If accepting connections is paused, schedules a timer that is due at once and resumes accepting.
    pub(super) fn schedule_resume_accepting(&mut self, timers: &mut Timers) {
        if self.accepting_paused {
            self.schedule_resume(0.0, timers);
        }
    }

    /// Handles the timer that ends a pause: watches the listeners again.
    pub fn on_resume_timer(&mut self) {
        self.resume_timer = None;
        self.resume_accepting();
    }

    /// Watches the listeners again after a pause.
    pub fn resume_accepting(&mut self) {
        if self.accepting_paused {
            self.accepting_paused =
                !self.listeners.iter().all(|entry| self.handle.enable(&entry.token).is_ok());
        }
    }

    /// Accepts no connections until `until` (Unix seconds), unless accepting is resumed earlier; new clients wait in
    /// the backlog.
    pub fn delay_accepting(&mut self, now: f64, until: f64, timers: &mut Timers) {
        self.pause_accepting(now, Some(until), timers);
    }
}
