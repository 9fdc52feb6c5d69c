//! Writes responses, and keeps or closes the connection after them.

use dunepond_routing::QueryId;
use tracing::debug;

use super::closing::FinalRead;
use super::{ClientConnection, Downstream, RequestPhase, error_body};
use crate::clock::Timers;
use crate::http::{self, HttpError};

/// So long past the longest query timeout a client may take to read its response; later, the response counts as lost.
const DELIVERY_GRACE_SECONDS: f64 = 0.5;
/// How long an idle connection is kept open.
const IDLE_TIMEOUT_SECONDS: f64 = 4.0;
/// Idle connections may be all connections divided by this. Guards against clients that send one request and stay: they
/// would use up the descriptors.
const MAX_IDLE_DIVISOR: usize = 4;

impl Downstream {
    /// The client's request is in flight under this id until its response.
    pub fn assign_query(&mut self, id: usize, query: QueryId) {
        match self.connections.get_mut(id).map(|c| &mut c.phase) {
            // It is still sending a body that passes through.
            Some(RequestPhase::StreamingBody(streamed)) => streamed.query = Some(query),
            Some(phase) => *phase = RequestPhase::InFlight(query),
            None => {}
        }
    }

    /// Sends an error response to a request that was not read to its end; the connection closes after it. `retry_after` in seconds
    /// becomes `Retry-After`.
    pub fn refuse(&mut self, now: f64, id: usize, reason: HttpError, retry_after: f64, timers: &mut Timers) {
        if let Some(client) = self.connections.get_mut(id) {
            (client.keep_alive, client.responded_in_body) = (false, true);
        }
        debug!("client {id}: answered {}: {}", reason.status, reason.reason);
        self.reply(now, id, reason.status, &error_body(&reason.reason), retry_after, timers);
    }

    /// Sends the one final response to a client's request. `retry_after` in seconds becomes `Retry-After`.
    pub fn reply(
        &mut self,
        now: f64,
        id: usize,
        status: u16,
        body: &str,
        retry_after: f64,
        timers: &mut Timers,
    ) {
        let Some(client) = self.connections.get_mut(id) else { return };
        // The rest of a body would be parsed as the next request.
        client.responded_in_body |= matches!(client.phase, RequestPhase::StreamingBody(_));
        client.keep_alive &= !client.responded_in_body;
        // In a shutdown the last response closes the connection; it is not the last where another request has arrived.
        let closes = self.closes_after_response && client.keep_alive && !self.has_next_request(now, id);
        let client = &mut self.connections[id];
        client.keep_alive &= !closes;
        client.output.queue_bytes(&http::encode_response(status, body, retry_after, client.keep_alive));
        client.phase = RequestPhase::ReadingHead;
        self.pending_clients.push(id);
        self.write(now, id, timers);
    }

    /// Longest that a client may take to read a response, once writing has begun.
    pub(super) fn max_delivery_seconds(&self) -> f64 {
        self.settings.longest_query_seconds + DELIVERY_GRACE_SECONDS
    }

    /// Whether another request, or a part of one, has arrived.
    fn has_next_request(&mut self, now: f64, id: usize) -> bool {
        let read = self.connections.get(id).is_some_and(ClientConnection::has_unparsed);
        read || now < self.shutdown_deadline && matches!(self.final_read(now, id), FinalRead::ReceivedData)
    }

    pub(super) fn write(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let Some(client) = self.connections.get_mut(id) else { return };
        if let Err(e) = client.output.flush(&*client.stream) {
            // Its query in flight, if any, is handled when the end of the stream is read.
            debug!("client {id}: {e}");
            client.readable = true;
            return self.pending_clients.push(id);
        }
        let (taken, keep, timer) = (client.output.is_empty(), client.keep_alive, client.timer);
        match client.phase {
            _ if !taken && timer.is_some() => {}
            _ if !taken => drop(self.set_timer(id, now + self.max_delivery_seconds(), timers)),
            // All is written: if its timer stayed set, it would close the connection while its next query is in flight.
            RequestPhase::AwaitingAdmission | RequestPhase::InFlight(_) => self.clear_timer(id, timers),
            RequestPhase::ReadingHead if keep && self.close_when_idle => self.close_if_quiet(now, id, timers),
            RequestPhase::ReadingHead if keep => {
                self.start_idle_timer(id, now + IDLE_TIMEOUT_SECONDS, timers);
                self.schedule_resume_accepting(timers);
                if self.idle.len() > self.max_connections / MAX_IDLE_DIVISOR
                    && let Some(longest) = self.idle.first_key_value().map(|(_, id)| *id)
                {
                    self.close_if_quiet(now, longest, timers);
                }
            }
            RequestPhase::ReadingHead => self.start_lingering(now, id, timers),
            RequestPhase::ReadingBody(_) | RequestPhase::StreamingBody(_) | RequestPhase::Lingering => {}
        }
    }
}
