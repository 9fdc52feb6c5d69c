//! Parses requests from the bytes that have been read, in phases: begin, head, body, then validation. Requests that are
//! invalid or need no query are answered here.

use tracing::debug;

use super::phase::StreamedRequest;
use super::{ClientEvent, Downstream, RequestPhase, error_body};
use crate::buffers::BUFFER_BYTES;
use crate::clock::Timers;
use crate::http::{self, Head, HttpError, Message};
use crate::iteration::Port;
use crate::search_api::{self, SearchApi};

/// The interim response after which a client sends the body that it has withheld (`Expect: 100-continue`).
pub(super) const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The result of one parsing step.
enum Parsed {
    /// More bytes are needed.
    Incomplete,
    /// A head has been handled; parsing goes on with the bytes after it.
    HeadDone,
    /// The head of a valid streamed request has been parsed.
    Event(ClientEvent),
    /// A complete request has been parsed, or the request is malformed for the reason in the error.
    Request(Result<Box<Message>, HttpError>),
}

impl Downstream {
    /// Parses until there is a complete valid request, or the valid head of a streamed request; returns `None` if more
    /// bytes are needed.
    pub(super) fn decode(&mut self, now: f64, id: usize, timers: &mut Timers) -> Option<ClientEvent> {
        loop {
            if !self.begin_request(now, id, timers) {
                return None;
            }
            let event = match self.parse(now, id, timers) {
                Parsed::Incomplete => return None,
                Parsed::HeadDone => None,
                Parsed::Event(event) => Some(event),
                Parsed::Request(outcome) => self.finish_request(now, id, outcome, timers),
            };
            if event.is_some() {
                return event;
            }
        }
    }

    /// Starts the request timer of a client that was idle, and records when the first byte of the request arrived.
    /// Returns `false` if the client's bytes must not be parsed now.
    fn begin_request(&mut self, now: f64, id: usize, timers: &mut Timers) -> bool {
        let Some(client) = self.connections.get(id) else { return false };
        // A client with unparsed bytes is not idle, even if they were read together with its previous request.
        if client.has_unparsed() && client.timer.is_some_and(|key| self.idle.contains_key(&key)) {
            self.start_request_timer(now, id, timers);
        }
        let client = &mut self.connections[id];
        // If a client sends requests without reading the responses, its next request is parsed only after it has read
        // them.
        if client.output.pending_bytes() > BUFFER_BYTES || client.has_had_turn() {
            return false;
        }
        if client.is_reading_head()
            && let Some(received_at) = client.arrivals.first_unparsed_at(client.unparsed_bytes())
        {
            client.request_started_at = received_at;
        }
        true
    }

    /// Does the parsing step that belongs to the connection's current phase.
    fn parse(&mut self, now: f64, id: usize, timers: &mut Timers) -> Parsed {
        let client = &mut self.connections[id];
        if client.input.is_none() {
            return Parsed::Incomplete;
        }
        let Some(phase) = client.phase.request_mut() else { return Parsed::Incomplete };
        match std::mem::replace(phase, RequestPhase::Unreadable) {
            RequestPhase::ReadingHead => self.parse_head(now, id, timers),
            RequestPhase::ReadingBody(message) => self.parse_body(id, message),
            RequestPhase::StreamingBody(streamed) if !streamed.body_complete => {
                self.parse_streamed_body(id, streamed)
            }
            other => {
                *phase = other;
                Parsed::Incomplete
            }
        }
    }

    /// Parses the head of a request.
    fn parse_head(&mut self, now: f64, id: usize, timers: &mut Timers) -> Parsed {
        let client = &mut self.connections[id];
        let Some(input) = client.input.as_mut() else { return Parsed::Incomplete };
        let head = match http::parse_request(input) {
            Ok(Some(head)) => {
                client.requests_in_turn += 1;
                head
            }
            Ok(None) => {
                client.phase.set_request(RequestPhase::ReadingHead);
                return Parsed::Incomplete;
            }
            Err(error) => return Parsed::Request(Err(error)),
        };
        if self.accepts_streamed && !head.segments.is_empty() && client.port == Port::Queries {
            return self.begin_streamed_request(now, id, head, timers);
        }
        if head.declared_length().is_some_and(|length| length > BUFFER_BYTES as u64) {
            return Parsed::Request(Err(http::body_too_long()));
        }
        client.keep_alive = head.keep_alive;
        if head.expects_continue {
            client.output.queue_vec(CONTINUE_RESPONSE.to_vec());
        }
        client.phase.set_request(RequestPhase::ReadingBody(Box::new(Message::new(head))));
        self.write(now, id, timers);
        Parsed::HeadDone
    }

    /// Validates the head of a streamed request; answers it if it is invalid.
    fn begin_streamed_request(&mut self, now: f64, id: usize, head: Head, timers: &mut Timers) -> Parsed {
        let client = &mut self.connections[id];
        client.keep_alive = head.keep_alive;
        let received_at = client.request_started_at;
        self.clear_timer(id, timers);
        match self.validate_streamed(&head, received_at) {
            Ok(request) => {
                self.connections[id].phase.set_request(RequestPhase::AwaitingBody);
                Parsed::Event(ClientEvent::StreamedQuery(request, Box::new(head)))
            }
            Err(error) => {
                self.reject_and_close(now, id, error, 0.0, timers);
                Parsed::HeadDone
            }
        }
    }

    /// Parses the body of a request that is not streamed.
    fn parse_body(&mut self, id: usize, mut message: Box<Message>) -> Parsed {
        let client = &mut self.connections[id];
        let Some(input) = client.input.as_mut() else { return Parsed::Incomplete };
        match message.read_body(input, &self.pool) {
            Ok(false) => {
                client.phase.set_request(RequestPhase::ReadingBody(message));
                Parsed::Incomplete
            }
            Ok(true) => {
                client.phase.set_request(RequestPhase::AwaitingAdmission);
                Parsed::Request(Ok(message))
            }
            Err(error) => Parsed::Request(Err(error)),
        }
    }

    /// Moves what has arrived of a streamed body from the input buffer into that body.
    fn parse_streamed_body(&mut self, id: usize, mut streamed: Box<StreamedRequest>) -> Parsed {
        self.bodies_received.push(streamed.body.id);
        let client = &mut self.connections[id];
        let Some(input) = client.input.as_mut() else { return Parsed::Incomplete };
        match streamed.message.read_body(input, &self.pool) {
            Ok(false) => client.phase.set_request(RequestPhase::StreamingBody(streamed)),
            Ok(true) => {
                streamed.body_complete = true;
                streamed.body.finish();
                client.phase.set_request(match streamed.query {
                    Some(query) => RequestPhase::InFlight(query),
                    None => RequestPhase::StreamingBody(streamed),
                });
            }
            Err(error) => return Parsed::Request(Err(error)),
        }
        client.release_empty_input();
        Parsed::Incomplete
    }

    /// Validates a complete request; answers it if it is malformed, invalid or needs no query.
    fn finish_request(
        &mut self,
        now: f64,
        id: usize,
        outcome: Result<Box<Message>, HttpError>,
        timers: &mut Timers,
    ) -> Option<ClientEvent> {
        self.connections[id].release_empty_input();
        self.clear_timer(id, timers);
        self.malformed_messages += u64::from(outcome.is_err());
        let is_search_api = self.connections[id].port == Port::SearchApi;
        match self.search_api.clone().filter(|_| is_search_api) {
            Some(api) => self.finish_search_request(now, id, &api, outcome, timers),
            None => self.finish_query_request(now, id, outcome, timers),
        }
    }

    /// Validates a complete request of the search API; answers it if it is malformed or invalid.
    fn finish_search_request(
        &mut self,
        now: f64,
        id: usize,
        api: &SearchApi,
        outcome: Result<Box<Message>, HttpError>,
        timers: &mut Timers,
    ) -> Option<ClientEvent> {
        let received_at = self.connections[id].request_started_at;
        let message = outcome.map_err(|reason| search_api::error_response(&reason));
        match message.and_then(|message| api.parse_request(&message.head, message.body_bytes(), received_at))
        {
            Ok(request) => Some(ClientEvent::SearchRequest(Box::new(request))),
            Err(error) => {
                debug!("client {id}: {error}");
                self.reply(now, id, error.status, &error.body().to_string(), 0.0, timers);
                None
            }
        }
    }

    /// Validates a complete request on the broker's own port; answers it if it is malformed, invalid or a readiness
    /// check.
    fn finish_query_request(
        &mut self,
        now: f64,
        id: usize,
        outcome: Result<Box<Message>, HttpError>,
        timers: &mut Timers,
    ) -> Option<ClientEvent> {
        let received_at = self.connections[id].request_started_at;
        let (status, body) = match outcome.and_then(|message| self.validate(&message, received_at)) {
            Ok(Some(request)) => return Some(ClientEvent::Query(request)),
            Ok(None) => (200, String::new()),
            Err(HttpError { status, reason }) => (status, error_body(&reason)),
        };
        if status == 400 || status == 413 {
            debug!("client {id}: answered {status}: {body}");
        }
        self.reply(now, id, status, &body, 0.0, timers);
        None
    }
}
