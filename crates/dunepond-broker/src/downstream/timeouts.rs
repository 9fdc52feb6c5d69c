//! The timer of each client connection, and the one place where a connection is closed.

use dunepond_routing::QueryId;
use tracing::debug;

use super::closing::has_unacknowledged;
use super::{Downstream, error_body};
use crate::clock::{TimerEvent, TimerKey, Timers};
use crate::connection_end::ConnectionEnd;
use crate::http::HttpError;
use crate::iteration::Port;
use crate::search_api;
use crate::socket_buffers::discard_unsent;

/// How long a client may take to send a request, counted from its connect or, for a later request, from its first byte.
/// Guards against hundreds of clients that send nothing, or half a request, and use up all connections.
pub(super) const REQUEST_TIMEOUT_SECONDS: f64 = 2.0;

impl Downstream {
    /// Starts the request timeout of a client.
    pub(super) fn start_request_timer(&mut self, now: f64, id: usize, timers: &mut Timers) {
        // In a shutdown, the time at which the last responses are due may come first.
        let key = self.set_timer(id, (now + REQUEST_TIMEOUT_SECONDS).min(self.shutdown_deadline), timers);
        self.awaiting_request.insert(key, id);
    }

    /// Marks a connection as idle; it stays open until `until` at most.
    pub(super) fn start_idle_timer(&mut self, id: usize, until: f64, timers: &mut Timers) {
        let key = self.set_timer(id, until, timers);
        self.idle.insert(key, id);
    }

    /// Sets a client's timer to fire at `at` (Unix seconds), replacing the timer that is set.
    pub(super) fn set_timer(&mut self, id: usize, at: f64, timers: &mut Timers) -> TimerKey {
        self.clear_timer(id, timers);
        let key = timers.schedule(at, TimerEvent::ClientTimeout(id));
        self.connections[id].timer = Some(key);
        key
    }

    /// Cancels a client's timer, if one is set.
    pub(super) fn clear_timer(&mut self, id: usize, timers: &mut Timers) {
        if let Some(key) = self.connections.get_mut(id).and_then(|c| c.timer.take()) {
            timers.cancel(Some(key));
            self.awaiting_request.remove(&key);
            self.idle.remove(&key);
            self.lingering.remove(&key);
            self.delivering.remove(&key);
        }
    }

    /// Handles a client's timer that has fired. Returns the client's query in flight if the connection was closed.
    pub fn on_timeout(&mut self, now: f64, id: usize, timers: &mut Timers) -> Option<QueryId> {
        self.clear_timer(id, timers);
        if self.extend_linger(now, id, timers) {
            return None;
        }
        let client = self.connections.get_mut(id)?;
        if !client.output.is_empty() || !client.awaiting_request() {
            return self.close(id, ConnectionEnd::IoTimeout, timers);
        }
        if client.is_between_requests() {
            self.close_if_no_data(now, id, timers);
            return None;
        }
        let reason = HttpError::new(408, "request: not whole in time");
        let body = if client.port == Port::SearchApi {
            search_api::error_response(&reason).body().to_string()
        } else {
            error_body(&reason.reason)
        };
        self.reply(now, id, 408, &body, 0.0, timers);
        None
    }

    /// Closes a connection and returns its query in flight, if any. Every close of a connection goes through here.
    pub(super) fn close(
        &mut self,
        id: usize,
        connection_end: ConnectionEnd,
        timers: &mut Timers,
    ) -> Option<QueryId> {
        self.clear_timer(id, timers);
        let client = self.connections.try_remove(id)?;
        self.handle.remove(client.token);
        if connection_end.discards_unsent() && has_unacknowledged(&client.stream) {
            discard_unsent(&*client.stream);
        }
        debug!("client {id}: connection {connection_end}");
        self.schedule_resume_accepting(timers);
        client.phase.query()
    }
}
