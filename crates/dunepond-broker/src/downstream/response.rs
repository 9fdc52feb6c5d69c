//! Writes responses, and keeps the connection open or closes it after them.

use dunepond_routing::QueryId;
use tracing::debug;

use super::closing::FinalRead;
use super::phase::EndingPhase;
use super::{ClientConnection, Downstream, RequestPhase, error_body};
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::http::{self, HttpError};
use crate::read_turn::UnfinishedConnection;

/// How much longer than the longest query timeout a client may take to read its response, before the response counts as
/// lost.
const DELIVERY_GRACE_SECONDS: f64 = 0.5;
/// How long an idle connection is kept open.
const IDLE_TIMEOUT_SECONDS: f64 = 4.0;
/// The number of idle connections is at most the maximum number of connections divided by this. Guards against clients
/// that send one request and stay connected, which would use up the file descriptors.
const MAX_IDLE_DIVISOR: usize = 4;

impl Downstream {
    /// Records that the client's request is in flight under the id `query` until its response.
    pub fn assign_query(&mut self, id: usize, query: QueryId) {
        match self.connections.get_mut(id).and_then(|client| client.phase.request_mut()) {
            // The client is still sending the body, which is passed through to the nodes as it arrives.
            Some(RequestPhase::StreamingBody(streamed)) => streamed.query = Some(query),
            Some(phase) => *phase = RequestPhase::InFlight(query),
            None => {}
        }
    }

    /// Sends an error response to a request that was not read to its end, and closes the connection after it. `retry_after`
    /// is the value of `Retry-After` in seconds.
    pub fn reject_and_close(
        &mut self,
        now: f64,
        id: usize,
        reason: HttpError,
        retry_after: f64,
        timers: &mut Timers,
    ) {
        debug!("client {id}: answered {}: {}", reason.status, reason.reason);
        self.reply(now, id, reason.status, &error_body(&reason.reason), retry_after, timers);
    }

    /// Sends the one final response to a client's request; does nothing if the connection ends already with a response.
    /// `retry_after` is the value of `Retry-After` in seconds.
    pub fn reply(
        &mut self,
        now: f64,
        id: usize,
        status: u16,
        body: &str,
        retry_after: f64,
        timers: &mut Timers,
    ) {
        let Some(keeps_open) = self.keeps_open_after_response(now, id) else { return };
        let client = &mut self.connections[id];
        client.output.queue_vec(http::encode_response(status, body, retry_after, keeps_open));
        if keeps_open {
            client.phase.set_request(RequestPhase::ReadingHead);
        } else {
            client.phase.deliver_last();
            client.discard_received();
        }
        // The client's next request waits for a turn of its own; otherwise requests that are answered at once would follow one
        // another without an end.
        if client.readable || client.has_unparsed() {
            self.unfinished_turns.add(UnfinishedConnection::Client(id));
        }
        self.write(now, id, timers);
    }

    /// Whether the connection stays open after the response to its current request; `None` if it has no request, as it is
    /// closed or ends.
    fn keeps_open_after_response(&mut self, now: f64, id: usize) -> Option<bool> {
        let client = self.connections.get(id)?;
        // Where a request is not read to its end, its rest would be parsed as the next one.
        let may_stay_open = client.phase.request()?.is_read_whole() && client.keep_alive;
        // In a shutdown the connection closes after its last response. This response is not the last one if another
        // request has arrived.
        Some(may_stay_open && (!self.closes_after_response || self.has_next_request(now, id)))
    }

    /// Returns how long a client may take to read a response once writing has begun, in seconds.
    pub(super) fn max_delivery_seconds(&self) -> f64 {
        self.settings.longest_query_seconds + DELIVERY_GRACE_SECONDS
    }

    /// Whether another request, or a part of one, has arrived.
    fn has_next_request(&mut self, now: f64, id: usize) -> bool {
        let has_unparsed = self.connections.get(id).is_some_and(ClientConnection::has_unparsed);
        has_unparsed
            || now < self.shutdown_deadline && matches!(self.final_read(now, id), FinalRead::ReceivedData)
    }

    /// Returns how many bytes of responses are not written, as their clients do not read them.
    pub fn unread_bytes(&self) -> usize {
        self.connections.iter().map(|(_, client)| client.output.pending_bytes()).sum()
    }

    /// Has the connections of the slowest readers closed, if the responses that are not written take more memory than they
    /// may.
    fn disconnect_slow_readers(&mut self) {
        let mut excess_bytes = self.unread_bytes().saturating_sub(self.max_unread_bytes);
        // A client that has left responses unread may have another request in flight, whose time runs then.
        let is_delivering =
            |client: &ClientConnection| client.timer.is_some_and(|key| self.delivering.contains_key(&key));
        let in_flight =
            self.connections.iter().filter(|(_, client)| !is_delivering(client)).map(|(id, _)| id);
        let mut slowest = Vec::new();
        for id in self.delivering.values().copied().chain(in_flight) {
            if excess_bytes == 0 {
                break;
            }
            let pending_bytes = self.connections[id].output.pending_bytes();
            if pending_bytes > 0 {
                excess_bytes = excess_bytes.saturating_sub(pending_bytes);
                slowest.push(id);
            }
        }
        for id in slowest {
            let client = &mut self.connections[id];
            client.disconnected.get_or_insert(ConnectionEnd::SlowConsumer);
            self.slow_readers_closed += 1;
            self.disconnected_clients.push(id);
        }
    }

    /// Writes what is queued for a client. Once all is written, sets or clears the timer as the connection's phase
    /// requires, or closes the connection.
    pub(super) fn write(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let Some(client) = self.connections.get_mut(id) else { return };
        if let Err(e) = client.output.flush(&*client.stream) {
            // The connection is not closed here. The next read finds the end of its stream, which also ends the
            // client's query in flight, if any.
            debug!("client {id}: {e}");
            client.readable = true;
            return self.clients_to_read.push(id);
        }
        let (all_written, timer) = (client.output.is_empty(), client.timer);
        match client.phase.request() {
            _ if !all_written && timer.is_some() => self.disconnect_slow_readers(),
            _ if !all_written => {
                let key = self.set_timer(id, now + self.max_delivery_seconds(), timers);
                self.delivering.insert(key, id);
                self.disconnect_slow_readers();
            }
            // A timer left set would close the connection while the query is in flight.
            Some(RequestPhase::AwaitingAdmission | RequestPhase::InFlight(_)) => self.clear_timer(id, timers),
            Some(RequestPhase::ReadingHead) if self.close_when_idle => self.close_if_no_data(now, id, timers),
            Some(RequestPhase::ReadingHead) => {
                self.start_idle_timer(id, now + IDLE_TIMEOUT_SECONDS, timers);
                self.schedule_resume_accepting(timers);
                if self.idle.len() > self.max_connections / MAX_IDLE_DIVISOR
                    && let Some(longest) = self.idle.first_key_value().map(|(_, id)| *id)
                {
                    self.close_if_no_data(now, longest, timers);
                }
            }
            Some(
                RequestPhase::ReadingBody(_)
                | RequestPhase::AwaitingBody
                | RequestPhase::StreamingBody(_)
                | RequestPhase::Unreadable,
            ) => {}
            None if client.phase.ending() == Some(EndingPhase::Lingering) => {}
            None => self.start_lingering(now, id, timers),
        }
    }
}
